package peers

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"golang.org/x/sync/errgroup"
)

const (
	// writeQueueLength bounds the messages that wait to be written; a full queue refuses the message.
	writeQueueLength = 1024
	// maxHandlers bounds the messages of one connection that are handled at once.
	maxHandlers = 256
	writeLimit  = 2 * time.Second
	// silenceLimit is how long a connection may be silent before it is pinged, and the ping may last as long,
	// so that a connection that went silent is retired within 2 s.
	silenceLimit = 900 * time.Millisecond
	// DeadPeerTimeout is the time from the last sign of a peer until its connection is closed, at most.
	DeadPeerTimeout = 2 * silenceLimit
)

// connection is one authenticated WebSocket to a peer host, used in both directions.
type connection struct {
	peer   string
	socket *websocket.Conn
	table  *HandlerTable
	stats  *Stats
	queue  chan []byte
	done   chan struct{}
	nextID atomic.Uint64
	// lastRead is the monotonic time of the last message, in nanoseconds since start.
	lastRead atomic.Int64
	start    time.Time

	mu sync.Mutex
	// pending holds the calls that wait for an answer; each is bounded by its context.
	pending map[uint64]chan envelope
}

func newConnection(peer string, socket *websocket.Conn, table *HandlerTable, stats *Stats) *connection {
	return &connection{
		peer: peer, socket: socket, table: table, stats: stats,
		queue: make(chan []byte, writeQueueLength), done: make(chan struct{}),
		pending: map[uint64]chan envelope{}, start: time.Now(),
	}
}

// run serves the connection until it fails or ctx ends, then closes done.
func (c *connection) run(ctx context.Context) {
	defer close(c.done)
	group, ctx := errgroup.WithContext(ctx)
	handlers := &errgroup.Group{}
	handlers.SetLimit(maxHandlers)
	group.Go(func() error { return c.readLoop(ctx, handlers) })
	group.Go(func() error { return c.writeLoop(ctx) })
	group.Go(func() error { return c.pingLoop(ctx) })
	_ = group.Wait()
	_ = c.socket.CloseNow()
	_ = handlers.Wait()
}

func (c *connection) readLoop(ctx context.Context, handlers *errgroup.Group) error {
	for {
		_, data, err := c.socket.Read(ctx)
		if err != nil {
			return err
		}
		c.lastRead.Store(int64(time.Since(c.start)))
		c.stats.received(len(data))
		message, err := decodeEnvelope(data)
		if err != nil {
			c.stats.Malformed.Add(1)
			return err
		}
		if message.ReplyTo != 0 {
			c.answer(message)
			continue
		}
		handlers.Go(func() error {
			c.handle(ctx, message)
			return nil
		})
	}
}

// answer passes an answer to its call; an answer that comes after the call's deadline is dropped.
func (c *connection) answer(message envelope) {
	c.mu.Lock()
	waiting := c.pending[message.ReplyTo]
	delete(c.pending, message.ReplyTo)
	c.mu.Unlock()
	if waiting != nil {
		waiting <- message
	}
}

func (c *connection) handle(ctx context.Context, message envelope) {
	reply := envelope{ReplyTo: message.ID}
	handler, ok := c.table.Lookup(message.Kind)
	if ok {
		body, err := handler(ctx, c.peer, message.Body)
		reply.Body = body
		if err != nil {
			reply.Body, reply.Error = nil, err.Error()
		}
	} else {
		c.stats.UnknownKinds.Add(1)
		reply.Error = "unknown message kind " + message.Kind
	}
	if message.ID != 0 {
		_ = c.enqueue(reply)
	}
}

func (c *connection) enqueue(message envelope) error {
	data, err := encodeEnvelope(message)
	if err != nil {
		return err
	}
	select {
	case c.queue <- data:
		return nil
	case <-c.done:
		return errors.Mark(errors.Newf("connection to %s is closed", c.peer), ErrUnreachable)
	default:
		return errors.Mark(errors.Newf("%d messages wait for %s", writeQueueLength, c.peer), ErrUnreachable)
	}
}

func (c *connection) writeLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case data := <-c.queue:
			write, cancel := context.WithTimeout(ctx, writeLimit)
			err := c.socket.Write(write, websocket.MessageBinary, data)
			cancel()
			if err != nil {
				return err
			}
			c.stats.sent(len(data))
		}
	}
}

// pingLoop retires a connection that lost its peer although it is still open.
func (c *connection) pingLoop(ctx context.Context) error {
	ticker := time.NewTicker(silenceLimit)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if time.Since(c.start)-time.Duration(c.lastRead.Load()) < silenceLimit {
			continue
		}
		ping, cancel := context.WithTimeout(ctx, silenceLimit)
		err := c.socket.Ping(ping)
		cancel()
		if err != nil {
			return errors.Wrapf(err, "ping %s", c.peer)
		}
	}
}

// call sends a request and waits for its answer until ctx or the connection ends.
func (c *connection) call(ctx context.Context, kind string, body []byte) ([]byte, error) {
	id := c.nextID.Add(1)
	waiting := make(chan envelope, 1)
	c.mu.Lock()
	c.pending[id] = waiting
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.pending, id)
		c.mu.Unlock()
	}()
	if err := c.enqueue(envelope{Kind: kind, ID: id, Body: body}); err != nil {
		return nil, err
	}
	select {
	case reply := <-waiting:
		if reply.Error != "" {
			return nil, errors.Newf("%s: %s", c.peer, reply.Error)
		}
		return reply.Body, nil
	case <-c.done:
		return nil, errors.Mark(errors.Newf("connection to %s was lost", c.peer), ErrUnreachable)
	case <-ctx.Done():
		return nil, errors.Mark(errors.Wrapf(ctx.Err(), "no answer from %s", c.peer), ErrUnreachable)
	}
}
