// Package datagrams exchanges small CBOR messages with other hosts over UDP. Messages may be lost, doubled or reordered.
package datagrams

import (
	"context"
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// MaxMessageBytes is the largest encoded message; it fits one unfragmented packet.
const MaxMessageBytes = 1400

// Socket sends and receives messages of type M.
type Socket[M any] struct {
	conn    *net.UDPConn
	receive func(from netip.AddrPort, message M)
	done    chan struct{}
}

// Listen opens the socket at address, an IP:port pair. receive is called for each message that can be decoded.
func Listen[M any](address string, receive func(from netip.AddrPort, message M)) (n *Socket[M], err error) {
	defer func() { err = errors.Wrapf(err, "listen for datagrams at %s", address) }()
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

// Run receives until ctx ends. Messages that cannot be decoded are dropped.
func (n *Socket[M]) Run(ctx context.Context) (err error) {
	defer close(n.done)
	defer func() { err = errors.Wrap(err, "receive datagrams") }()
	stop := context.AfterFunc(ctx, func() { _ = n.conn.Close() })
	defer stop()
	buffer := make([]byte, MaxMessageBytes+1)
	for {
		size, from, err := n.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			// An earlier datagram met a closed port.
			continue
		}
		var message M
		if cbor.Unmarshal(buffer[:size], &message) == nil {
			n.receive(from, message)
		}
	}
}

// Done is closed when Run has returned.
func (n *Socket[M]) Done() <-chan struct{} { return n.done }

// Send sends one message to each address. What cannot be sent is lost, like any datagram.
func (n *Socket[M]) Send(message M, addresses []netip.AddrPort) (err error) {
	defer func() { err = errors.Wrap(err, "send datagrams") }()
	encoded, err := cbor.Marshal(message)
	if err != nil {
		return err
	}
	if len(encoded) > MaxMessageBytes {
		return errors.Newf("message has %d bytes; accepted: at most %d", len(encoded), MaxMessageBytes)
	}
	for _, address := range addresses {
		_, _ = n.conn.WriteToUDPAddrPort(encoded, address)
	}
	return nil
}
