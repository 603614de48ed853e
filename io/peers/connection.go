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
	// writeQueueLength bounds the messages that wait to be written. When the queue is full, sending fails.
	writeQueueLength = 1024
	// maxHandlers bounds the messages of one connection that are handled concurrently.
	maxHandlers  = 256
	writeTimeout = 2 * time.Second
	// silenceTimeout is how long a peer may be silent before it is pinged, and how long it may take to respond to the ping, so
	// that a connection to a peer that is gone is closed within 2 s.
	silenceTimeout = 900 * time.Millisecond
	// DeadPeerTimeout is the longest time from the last message of a peer until its connection is closed.
	DeadPeerTimeout = 2 * silenceTimeout
)

// connection is an authenticated WebSocket connection to another host. Both hosts send requests over it.
type connection struct {
	peer       string
	socket     *websocket.Conn
	table      *HandlerTable
	stats      *Stats
	writeQueue chan []byte
	done       chan struct{}
	nextID     atomic.Uint64
	// lastRead is the time of the last message from the peer, in nanoseconds since start on the monotonic clock.
	lastRead atomic.Int64
	start    time.Time

	mu sync.Mutex
	// pendingCalls holds the calls that wait for a reply, by the message's ID. Each one ends with its context.
	pendingCalls map[uint64]chan envelope
}

func newConnection(peer string, socket *websocket.Conn, table *HandlerTable, stats *Stats) *connection {
	return &connection{
		peer: peer, socket: socket, table: table, stats: stats,
		writeQueue: make(chan []byte, writeQueueLength), done: make(chan struct{}),
		pendingCalls: map[uint64]chan envelope{}, start: time.Now(),
	}
}

// run reads and writes messages until the connection fails or ctx ends, and then closes done.
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

// readLoop delivers replies, and starts a handler for each other message.
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
			c.deliverReply(message)
			continue
		}
		handlers.Go(func() error {
			c.handle(ctx, message)
			return nil
		})
	}
}

// deliverReply passes a reply to the call that waits for it. A reply after the call's deadline is dropped.
func (c *connection) deliverReply(message envelope) {
	c.mu.Lock()
	replies := c.pendingCalls[message.ReplyTo]
	delete(c.pendingCalls, message.ReplyTo)
	c.mu.Unlock()
	if replies != nil {
		replies <- message
	}
}

// handle calls the handler of a message, and queues the reply if the peer expects one.
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

// enqueue puts a message into the write queue. It doesn't block.
func (c *connection) enqueue(message envelope) error {
	data, err := encodeEnvelope(message)
	if err != nil {
		return err
	}
	select {
	case c.writeQueue <- data:
		return nil
	case <-c.done:
		return errors.Mark(errors.Newf("connection to %s is closed", c.peer), ErrUnreachable)
	default:
		return errors.Mark(errors.Newf("write queue of %d messages to %s is full", writeQueueLength, c.peer), ErrUnreachable)
	}
}

// writeLoop writes the queued messages.
func (c *connection) writeLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case data := <-c.writeQueue:
			writeCtx, cancel := context.WithTimeout(ctx, writeTimeout)
			err := c.socket.Write(writeCtx, websocket.MessageBinary, data)
			cancel()
			if err != nil {
				return err
			}
			c.stats.sent(len(data))
		}
	}
}

// pingLoop pings the peer when it has been silent, and fails when it doesn't respond. This finds connections whose peer is
// unreachable although they are still open.
func (c *connection) pingLoop(ctx context.Context) error {
	ticker := time.NewTicker(silenceTimeout)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if time.Since(c.start)-time.Duration(c.lastRead.Load()) < silenceTimeout {
			continue
		}
		pingCtx, cancel := context.WithTimeout(ctx, silenceTimeout)
		err := c.socket.Ping(pingCtx)
		cancel()
		if err != nil {
			return errors.Wrapf(err, "ping %s", c.peer)
		}
	}
}

// call sends a request and waits for the reply until ctx or the connection ends.
func (c *connection) call(ctx context.Context, kind string, body []byte) ([]byte, error) {
	id := c.nextID.Add(1)
	replies := make(chan envelope, 1)
	c.mu.Lock()
	c.pendingCalls[id] = replies
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.pendingCalls, id)
		c.mu.Unlock()
	}()
	if err := c.enqueue(envelope{Kind: kind, ID: id, Body: body}); err != nil {
		return nil, err
	}
	select {
	case reply := <-replies:
		if reply.Error != "" {
			return nil, errors.Newf("%s: %s", c.peer, reply.Error)
		}
		return reply.Body, nil
	case <-c.done:
		return nil, errors.Mark(errors.Newf("connection to %s was lost", c.peer), ErrUnreachable)
	case <-ctx.Done():
		return nil, errors.Mark(errors.Wrapf(ctx.Err(), "no reply from %s", c.peer), ErrUnreachable)
	}
}
