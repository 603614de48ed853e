package peers

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// ProtocolVersion is sent in every envelope. A receiver ignores unknown fields and counts unknown kinds,
// so that two versions can run side by side.
const ProtocolVersion = 1

// maxMessageBytes bounds one message; it holds a whole configuration or ledger of 1 MB.
const maxMessageBytes = 2 << 20

// envelope is one message on a connection.
type envelope struct {
	Version int    `cbor:"v"`
	Kind    string `cbor:"kind,omitempty"`
	// ID is above 0 when an answer is expected.
	ID uint64 `cbor:"id,omitempty"`
	// ReplyTo is the ID that this message answers, or 0.
	ReplyTo uint64 `cbor:"reply-to,omitempty"`
	// Error is the handler's error in an answer.
	Error string          `cbor:"error,omitempty"`
	Body  cbor.RawMessage `cbor:"body,omitempty"`
}

func encodeEnvelope(e envelope) ([]byte, error) {
	e.Version = ProtocolVersion
	return cbor.Marshal(e)
}

// decodeEnvelope rejects torn CBOR and trailing bytes.
func decodeEnvelope(data []byte) (e envelope, err error) {
	defer func() { err = errors.Wrap(err, "decode envelope") }()
	err = cbor.Unmarshal(data, &e)
	if err == nil && e.Version < 1 {
		err = errors.Newf("version %d is below 1", e.Version)
	}
	return e, err
}

const nonceBytes = 16

// hello opens a connection. Both sides prove that they know the shared secret with a MAC over both nonces,
// which differs by direction so that neither side can be made to answer for the other.
type hello struct {
	Host  string `cbor:"host"`
	Nonce []byte `cbor:"nonce"`
	MAC   []byte `cbor:"mac,omitempty"`
}

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)
	return nonce
}

// proof is the MAC of one direction; own and other are the hellos of the proving and the verifying side.
func proof(secret []byte, direction string, own, other hello) []byte {
	mac := hmac.New(sha256.New, secret)
	for _, part := range [][]byte{[]byte(direction), []byte(own.Host), own.Nonce, []byte(other.Host), other.Nonce} {
		mac.Write([]byte{byte(len(part) >> 8), byte(len(part))})
		mac.Write(part)
	}
	return mac.Sum(nil)
}

func checkProof(secret []byte, direction string, peer, own hello, mac []byte) error {
	if len(peer.Nonce) != nonceBytes || peer.Host == "" || len(peer.Host) > 255 {
		return errors.New("hello lacks a host id or a nonce of 16 bytes")
	}
	if !hmac.Equal(mac, proof(secret, direction, peer, own)) {
		return errors.Newf("host %q does not know the shared secret", peer.Host)
	}
	return nil
}
