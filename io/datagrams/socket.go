// Package datagrams exchanges small CBOR messages with other hosts over UDP. Messages may be lost, duplicated or reordered.
package datagrams

import (
	"context"
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// MaxMessageBytes is the size of the largest encoded message. It fits one IP packet without fragmentation.
const MaxMessageBytes = 1400

// Socket sends and receives messages of type M on one UDP socket.
type Socket[M any] struct {
	conn    *net.UDPConn
	receive func(from netip.AddrPort, message M)
	done    chan struct{}
}

// Listen opens a socket at address, an IP:port pair. Run calls receive for each message that can be decoded.
func Listen[M any](address string, receive func(from netip.AddrPort, message M)) (s *Socket[M], err error) {
	defer func() { err = errors.Wrapf(err, "listen for datagrams on %s", address) }()
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(parsed))
	if err != nil {
		return nil, err
	}
	return &Socket[M]{conn: conn, receive: receive, done: make(chan struct{})}, nil
}

// Run receives messages until ctx ends, then closes the socket. Datagrams that cannot be decoded are dropped.
func (s *Socket[M]) Run(ctx context.Context) (err error) {
	defer close(s.done)
	defer func() { err = errors.Wrap(err, "receive datagrams") }()
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	buffer := make([]byte, MaxMessageBytes+1)
	for {
		size, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			// An ICMP error for a datagram that was sent earlier, such as "port unreachable", is reported by the next read.
			continue
		}
		var message M
		if cbor.Unmarshal(buffer[:size], &message) == nil {
			s.receive(from, message)
		}
	}
}

// Done is closed when Run has returned.
func (s *Socket[M]) Done() <-chan struct{} { return s.done }

// Send sends the message to each address. Errors of single sends are ignored, since any datagram may be lost.
func (s *Socket[M]) Send(message M, addresses []netip.AddrPort) (err error) {
	defer func() { err = errors.Wrap(err, "send datagrams") }()
	encoded, err := cbor.Marshal(message)
	if err != nil {
		return err
	}
	if len(encoded) > MaxMessageBytes {
		return errors.Newf("message has %d bytes; the limit is %d", len(encoded), MaxMessageBytes)
	}
	for _, address := range addresses {
		_, _ = s.conn.WriteToUDPAddrPort(encoded, address)
	}
	return nil
}
