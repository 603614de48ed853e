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
	// peerPath is the URL path at which a host accepts connections from other hosts.
	peerPath = "/v1/peer"
	// dialTimeout bounds the connection attempt with its handshake.
	dialTimeout = time.Second
	// defaultCallTimeout bounds a call whose context has no deadline.
	defaultCallTimeout = 2 * time.Second
	// redialDelay is the time after a failed connection attempt in which calls to the same host fail at once.
	redialDelay = 200 * time.Millisecond
	// frameOverheadBytes is the assumed size of a WebSocket frame header, for the byte counts.
	frameOverheadBytes = 8
)

// Stats counts the messages that a host has exchanged with other hosts.
type Stats struct {
	MessagesIn, MessagesOut, BytesIn, BytesOut atomic.Uint64
	// UnknownKinds counts messages of a kind without a handler.
	UnknownKinds atomic.Uint64
	// Malformed counts messages that could not be decoded.
	Malformed atomic.Uint64
	// Rejected counts incoming connections that failed the handshake.
	Rejected atomic.Uint64
}

func (s *Stats) sent(n int) { s.MessagesOut.Add(1); s.BytesOut.Add(uint64(n + frameOverheadBytes)) }

func (s *Stats) received(n int) { s.MessagesIn.Add(1); s.BytesIn.Add(uint64(n + frameOverheadBytes)) }

// Options configure a Node.
type Options struct {
	Host   string
	Secret []byte
	Table  *HandlerTable
	// Address returns the IP:port of a host; false if it isn't known.
	Address func(host string) (string, bool)
}

// Node holds this host's connections to other hosts. It implements Caller, and http.Handler for incoming connections.
type Node struct {
	options Options
	stats   Stats
	group   errgroup.Group
	ctx     context.Context
	cancel  context.CancelFunc
	done    chan struct{}

	mu sync.Mutex
	// connections holds at most one usable connection for each host id, or address that was dialed.
	connections map[string]*connection
	// dialing holds a channel for each connection attempt in progress, which is closed when the attempt ends.
	dialing map[string]chan struct{}
	// dialFailedAt holds the times of failed connection attempts, until one succeeds.
	dialFailedAt map[string]time.Time
}

// New returns a node without connections. It connects when a message is sent.
func New(options Options) *Node {
	ctx, cancel := context.WithCancel(context.Background())
	return &Node{
		options: options, ctx: ctx, cancel: cancel, done: make(chan struct{}),
		connections: map[string]*connection{}, dialing: map[string]chan struct{}{}, dialFailedAt: map[string]time.Time{},
	}
}

// Stats returns the counters, which keep counting.
func (n *Node) Stats() *Stats { return &n.stats }

// Done returns a channel that is closed when Close has closed all connections.
func (n *Node) Done() <-chan struct{} { return n.done }

// Close closes all connections and waits until they have ended. It must be called at most once.
func (n *Node) Close() {
	n.cancel()
	_ = n.group.Wait()
	close(n.done)
}

// Call implements Caller. to is a host id, or the address (with a colon) of a seed host whose id is not known yet.
func (n *Node) Call(ctx context.Context, to, kind string, body []byte) ([]byte, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultCallTimeout)
		defer cancel()
	}
	c, err := n.connect(ctx, to)
	if err != nil {
		return nil, err
	}
	return c.call(ctx, kind, body)
}

// Send implements Caller. If there is no connection, it waits for a connection attempt.
func (n *Node) Send(ctx context.Context, to, kind string, body []byte) error {
	c, err := n.connect(ctx, to)
	if err != nil {
		return err
	}
	return c.enqueue(envelope{Kind: kind, Body: body})
}

// connect returns the connection to a host, or dials it. Concurrent callers share one attempt.
func (n *Node) connect(ctx context.Context, to string) (*connection, error) {
	for {
		n.mu.Lock()
		if c := n.connections[to]; c != nil {
			n.mu.Unlock()
			return c, nil
		}
		if attempt := n.dialing[to]; attempt != nil {
			n.mu.Unlock()
			select {
			case <-attempt:
				continue
			case <-ctx.Done():
				return nil, errors.Mark(ctx.Err(), ErrUnreachable)
			}
		}
		if time.Since(n.dialFailedAt[to]) < redialDelay {
			n.mu.Unlock()
			return nil, errors.Mark(errors.Newf("the last attempt to connect to %s failed moments ago", to), ErrUnreachable)
		}
		attempt := make(chan struct{})
		n.dialing[to] = attempt
		n.mu.Unlock()
		c, err := n.dial(to)
		n.mu.Lock()
		delete(n.dialing, to)
		if err != nil {
			n.dialFailedAt[to] = time.Now()
		} else {
			delete(n.dialFailedAt, to)
		}
		n.mu.Unlock()
		close(attempt)
		return c, errors.Mark(err, ErrUnreachable)
	}
}

// dial connects to a host. It uses the context of the node, since other callers may wait for the connection when the caller's
// context ends.
func (n *Node) dial(to string) (c *connection, err error) {
	defer func() { err = errors.Wrapf(err, "connect to %s", to) }()
	address := to
	if !strings.Contains(to, ":") {
		known, ok := n.options.Address(to)
		if !ok {
			return nil, errors.New("the address of the host is not known")
		}
		address = known
	}
	ctx, cancel := context.WithTimeout(n.ctx, dialTimeout)
	defer cancel()
	socket, _, err := websocket.Dial(ctx, "ws://"+address+peerPath, &websocket.DialOptions{
		CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return nil, err
	}
	socket.SetReadLimit(maxMessageBytes)
	peer, err := n.handshakeAsDialer(ctx, socket)
	if err == nil && address != to && peer != to {
		err = errors.Newf("the address belongs to host %q, not %q", peer, to)
	}
	if err != nil {
		_ = socket.CloseNow()
		return nil, err
	}
	return n.addConnection(peer, to, socket), nil
}

// handshakeAsDialer authenticates an outgoing connection and returns the peer's host id.
func (n *Node) handshakeAsDialer(ctx context.Context, socket *websocket.Conn) (string, error) {
	own := hello{Host: n.options.Host, Nonce: newNonce()}
	if err := writeHello(ctx, socket, own); err != nil {
		return "", err
	}
	peer, err := readHello(ctx, socket)
	if err != nil {
		return "", err
	}
	if err := verifyMAC(n.options.Secret, "accept", hello{Host: peer.Host, Nonce: peer.Nonce}, own, peer.MAC); err != nil {
		return "", err
	}
	own.MAC = computeMAC(n.options.Secret, "dial", own, peer)
	return peer.Host, writeHello(ctx, socket, own)
}

// ServeHTTP accepts a connection from another host, and returns when the connection has ended.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != peerPath {
		http.NotFound(w, r)
		return
	}
	socket, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return
	}
	socket.SetReadLimit(maxMessageBytes)
	ctx, cancel := context.WithTimeout(n.ctx, dialTimeout)
	defer cancel()
	peer, err := n.handshakeAsAcceptor(ctx, socket)
	if err != nil {
		n.stats.Rejected.Add(1)
		_ = socket.Close(websocket.StatusPolicyViolation, "hello failed")
		return
	}
	<-n.addConnection(peer, peer, socket).done
}

// handshakeAsAcceptor authenticates an incoming connection and returns the peer's host id.
func (n *Node) handshakeAsAcceptor(ctx context.Context, socket *websocket.Conn) (string, error) {
	peer, err := readHello(ctx, socket)
	if err != nil {
		return "", err
	}
	own := hello{Host: n.options.Host, Nonce: newNonce()}
	own.MAC = computeMAC(n.options.Secret, "accept", own, peer)
	if err := writeHello(ctx, socket, own); err != nil {
		return "", err
	}
	final, err := readHello(ctx, socket)
	if err != nil {
		return "", err
	}
	return peer.Host, verifyMAC(n.options.Secret, "dial", peer, own, final.MAC)
}

// addConnection registers a connection under the peer's id and under alias, the id or address that was dialed, and serves
// it until it ends.
func (n *Node) addConnection(peer, alias string, socket *websocket.Conn) *connection {
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
