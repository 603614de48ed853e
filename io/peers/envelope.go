package peers

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// ProtocolVersion is sent in every message. A receiver ignores unknown fields and rejects messages of unknown kinds with an
// error, so that hosts of two versions can run side by side.
const ProtocolVersion = 1

// maxMessageBytes is the maximum size of a message. It leaves room for a configuration or ledger of 1 MB.
const maxMessageBytes = 2 << 20

// envelope is a message on a connection.
type envelope struct {
	Version int    `cbor:"v"`
	Kind    string `cbor:"kind,omitempty"`
	// ID identifies a message to which a reply is expected; 0 means that none is.
	ID uint64 `cbor:"id,omitempty"`
	// ReplyTo is the ID of the message to which this is the reply, or 0.
	ReplyTo uint64 `cbor:"reply-to,omitempty"`
	// Error is set in a reply if the handler failed.
	Error string          `cbor:"error,omitempty"`
	Body  cbor.RawMessage `cbor:"body,omitempty"`
}

func encodeEnvelope(e envelope) ([]byte, error) {
	e.Version = ProtocolVersion
	return cbor.Marshal(e)
}

// decodeEnvelope decodes a message. Incomplete CBOR and trailing bytes are errors.
func decodeEnvelope(data []byte) (e envelope, err error) {
	defer func() { err = errors.Wrap(err, "decode envelope") }()
	err = cbor.Unmarshal(data, &e)
	if err == nil && e.Version < 1 {
		err = errors.Newf("version %d is below 1", e.Version)
	}
	return e, err
}

const nonceBytes = 16

// hello is a message of the handshake that opens a connection. Both sides prove that they know the shared secret with a MAC
// over the host ids and nonces of both. The MAC contains the direction, so that an attacker can't reflect one side's MAC to
// it as that of the other side.
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

// computeMAC returns the MAC for one direction, "dial" or "accept". own is the hello of the side that proves its knowledge of the
// secret, other that of the side that verifies it.
func computeMAC(secret []byte, direction string, own, other hello) []byte {
	mac := hmac.New(sha256.New, secret)
	for _, part := range [][]byte{[]byte(direction), []byte(own.Host), own.Nonce, []byte(other.Host), other.Nonce} {
		mac.Write([]byte{byte(len(part) >> 8), byte(len(part))})
		mac.Write(part)
	}
	return mac.Sum(nil)
}

// verifyMAC checks the MAC that a peer sent for one direction.
func verifyMAC(secret []byte, direction string, peer, own hello, mac []byte) error {
	if len(peer.Nonce) != nonceBytes || peer.Host == "" || len(peer.Host) > 255 {
		return errors.New("hello has no valid host id or no nonce of 16 bytes")
	}
	if !hmac.Equal(mac, computeMAC(secret, direction, peer, own)) {
		return errors.Newf("host %q does not know the shared secret", peer.Host)
	}
	return nil
}
