package peers

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"
)

const (
	// path is where a host accepts connections of other hosts.
	path = "/v1/peer"
	// dialLimit bounds connecting and the hello.
	dialLimit = time.Second
	// callLimit bounds a call whose context has no deadline.
	callLimit = 2 * time.Second
	// redialDelay is the shortest time between two failed attempts to connect to the same host.
	redialDelay = 200 * time.Millisecond
	// frameBytes estimates WebSocket framing for the byte counts.
	frameBytes = 8
)

// Stats counts what a host exchanged with its peers.
type Stats struct {
	MessagesIn, MessagesOut, BytesIn, BytesOut atomic.Uint64
	// UnknownKinds counts messages that this version does not know.
	UnknownKinds atomic.Uint64
	// Malformed counts messages that could not be decoded.
	Malformed atomic.Uint64
	// Rejected counts connections that failed the hello.
	Rejected atomic.Uint64
}

func (s *Stats) sent(n int)     { s.MessagesOut.Add(1); s.BytesOut.Add(uint64(n + frameBytes)) }
func (s *Stats) received(n int) { s.MessagesIn.Add(1); s.BytesIn.Add(uint64(n + frameBytes)) }

// Options configure a Node.
type Options struct {
	Host   string
	Secret []byte
	Table  *HandlerTable
	// Address returns the IP:port of a host.
	Address func(host string) (string, bool)
}

// Node is this host's end of the connections to its peers. It implements Caller and http.Handler.
type Node struct {
	options Options
	stats   Stats
	group   errgroup.Group
	ctx     context.Context
	cancel  context.CancelFunc
	done    chan struct{}

	mu sync.Mutex
	// connections holds at most one usable connection for each peer host or dialled address.
	connections map[string]*connection
	// dialing holds a channel for each attempt under way; it is closed at its end.
	dialing map[string]chan struct{}
	// refusedAt holds the time of the last failed attempt.
	refusedAt map[string]time.Time
}

// New returns a node without connections.
func New(options Options) *Node {
	ctx, cancel := context.WithCancel(context.Background())
	return &Node{
		options: options, ctx: ctx, cancel: cancel, done: make(chan struct{}),
		connections: map[string]*connection{}, dialing: map[string]chan struct{}{}, refusedAt: map[string]time.Time{},
	}
}

// Stats returns the live counters.
func (n *Node) Stats() *Stats { return &n.stats }

// Done is closed when all connections have ended after Close.
func (n *Node) Done() <-chan struct{} { return n.done }

// Close ends all connections and waits for them. It may be called once.
func (n *Node) Close() {
	n.cancel()
	_ = n.group.Wait()
	close(n.done)
}

// Call implements Caller. A name with a colon is taken as an address, for seeds whose id is not known yet.
func (n *Node) Call(ctx context.Context, to, kind string, body []byte) ([]byte, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, callLimit)
		defer cancel()
	}
	c, err := n.connect(ctx, to)
	if err != nil {
		return nil, err
	}
	return c.call(ctx, kind, body)
}

// Send implements Caller. It connects first if there is no connection.
func (n *Node) Send(ctx context.Context, to, kind string, body []byte) error {
	c, err := n.connect(ctx, to)
	if err != nil {
		return err
	}
	return c.enqueue(envelope{Kind: kind, Body: body})
}

// connect returns the connection to a host, dialling once however many callers wait for it.
func (n *Node) connect(ctx context.Context, to string) (*connection, error) {
	for {
		n.mu.Lock()
		if c := n.connections[to]; c != nil {
			n.mu.Unlock()
			return c, nil
		}
		if wait := n.dialing[to]; wait != nil {
			n.mu.Unlock()
			select {
			case <-wait:
				continue
			case <-ctx.Done():
				return nil, errors.Mark(ctx.Err(), ErrUnreachable)
			}
		}
		if time.Since(n.refusedAt[to]) < redialDelay {
			n.mu.Unlock()
			return nil, errors.Mark(errors.Newf("%s refused a connection just now", to), ErrUnreachable)
		}
		wait := make(chan struct{})
		n.dialing[to] = wait
		n.mu.Unlock()
		c, err := n.dial(to)
		n.mu.Lock()
		delete(n.dialing, to)
		if err != nil {
			n.refusedAt[to] = time.Now()
		} else {
			delete(n.refusedAt, to)
		}
		n.mu.Unlock()
		close(wait)
		return c, errors.Mark(err, ErrUnreachable)
	}
}

// dial connects under the node's own context, so that a caller that leaves does not end it for the others.
func (n *Node) dial(to string) (c *connection, err error) {
	defer func() { err = errors.Wrapf(err, "connect to %s", to) }()
	address := to
	if !strings.Contains(to, ":") {
		known, ok := n.options.Address(to)
		if !ok {
			return nil, errors.New("its address is not known")
		}
		address = known
	}
	ctx, cancel := context.WithTimeout(n.ctx, dialLimit)
	defer cancel()
	socket, _, err := websocket.Dial(ctx, "ws://"+address+path, &websocket.DialOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return nil, err
	}
	socket.SetReadLimit(maxMessageBytes)
	peer, err := n.greet(ctx, socket)
	if err == nil && address != to && peer != to {
		err = errors.Newf("host %q answers at the address of %q", peer, to)
	}
	if err != nil {
		_ = socket.CloseNow()
		return nil, err
	}
	return n.add(peer, to, socket), nil
}

// greet is the dialling side of the hello and returns the peer's host id.
func (n *Node) greet(ctx context.Context, socket *websocket.Conn) (string, error) {
	own := hello{Host: n.options.Host, Nonce: newNonce()}
	if err := writeHello(ctx, socket, own); err != nil {
		return "", err
	}
	peer, err := readHello(ctx, socket)
	if err != nil {
		return "", err
	}
	if err := checkProof(n.options.Secret, "accept", hello{Host: peer.Host, Nonce: peer.Nonce}, own, peer.MAC); err != nil {
		return "", err
	}
	own.MAC = proof(n.options.Secret, "dial", own, peer)
	return peer.Host, writeHello(ctx, socket, own)
}

// ServeHTTP accepts a connection of another host.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != path {
		http.NotFound(w, r)
		return
	}
	socket, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return
	}
	socket.SetReadLimit(maxMessageBytes)
	ctx, cancel := context.WithTimeout(n.ctx, dialLimit)
	defer cancel()
	peer, err := n.accept(ctx, socket)
	if err != nil {
		n.stats.Rejected.Add(1)
		_ = socket.Close(websocket.StatusPolicyViolation, "hello failed")
		return
	}
	<-n.add(peer, peer, socket).done
}

// accept is the accepting side of the hello and returns the peer's host id.
func (n *Node) accept(ctx context.Context, socket *websocket.Conn) (string, error) {
	peer, err := readHello(ctx, socket)
	if err != nil {
		return "", err
	}
	own := hello{Host: n.options.Host, Nonce: newNonce()}
	own.MAC = proof(n.options.Secret, "accept", own, peer)
	if err := writeHello(ctx, socket, own); err != nil {
		return "", err
	}
	final, err := readHello(ctx, socket)
	if err != nil {
		return "", err
	}
	return peer.Host, checkProof(n.options.Secret, "dial", peer, own, final.MAC)
}

// add registers a connection under the peer's id and the name it was dialled by, and serves it.
func (n *Node) add(peer, alias string, socket *websocket.Conn) *connection {
	c := newConnection(peer, socket, n.options.Table, &n.stats)
	n.mu.Lock()
	for _, name := range []string{peer, alias} {
		n.connections[name] = c
	}
	n.mu.Unlock()
	n.group.Go(func() error {
		c.run(n.ctx)
		n.mu.Lock()
		defer n.mu.Unlock()
		for _, name := range []string{peer, alias} {
			if n.connections[name] == c {
				delete(n.connections, name)
			}
		}
		return nil
	})
	return c
}

func writeHello(ctx context.Context, socket *websocket.Conn, h hello) error {
	data, err := cbor.Marshal(h)
	if err != nil {
		return err
	}
	return socket.Write(ctx, websocket.MessageBinary, data)
}

func readHello(ctx context.Context, socket *websocket.Conn) (h hello, err error) {
	defer func() { err = errors.Wrap(err, "read hello") }()
	_, data, err := socket.Read(ctx)
	if err != nil {
		return h, err
	}
	return h, cbor.Unmarshal(data, &h)
}
