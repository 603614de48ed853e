package backends

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// Event is something that the client counts.
type Event string

// The events.
const (
	// EventIdleConnectionRetired: an idle connection was closed by the server or had bytes that belong to no request.
	EventIdleConnectionRetired Event = "idle-connection-retired"
	// EventSilentConnectionRetired: a connection was retired because it went silent.
	EventSilentConnectionRetired Event = "silent-connection-retired"
	// EventBytesAfterResponse: bytes followed a whole response.
	EventBytesAfterResponse Event = "bytes-after-response"
	// EventMismatch: a response carried another request's id.
	EventMismatch Event = "response-mismatch"
	// EventTruncated: a response ended early.
	EventTruncated Event = "response-truncated"
)

// Options bounds a Client. Zero values take the defaults of withDefaults.
type Options struct {
	// MaxConnections bounds the connections to one server, MaxIdle those of them that wait for a request.
	MaxConnections, MaxIdle int
	DialTimeout             time.Duration
	// PingAfter is the time after which an idle connection is pinged, PingTimeout the time for the answer.
	// Their sum plus the sweep interval of 250 ms stays below the 2 s in which silence must be found.
	PingAfter, PingTimeout time.Duration
	// IdleTimeout closes connections that no request used.
	IdleTimeout time.Duration
	// PoolIdleTimeout drops the pool of a server that got no request.
	PoolIdleTimeout time.Duration
	// BufferBytes is the length up to which a response is checked as a whole before any of it is passed on.
	BufferBytes int
	// RequestIDHeader is the header with which a response names its request; empty means X-Request-Id.
	RequestIDHeader string
	// DisablePings keeps idle connections unverified, for servers that would take a ping for a request.
	DisablePings bool
	// AllowCloseDelimited accepts bodies that end with an orderly close of their connection.
	AllowCloseDelimited bool
	// OnDial receives the time that each new connection took; nil ignores it.
	OnDial func(address string, took time.Duration)
	// OnEvent counts events; nil ignores them.
	OnEvent func(event Event, address string)
}

func (o Options) withDefaults() Options {
	if o.MaxConnections == 0 {
		o.MaxConnections = 36
	}
	if o.MaxIdle == 0 {
		o.MaxIdle = o.MaxConnections
	}
	if o.DialTimeout == 0 {
		o.DialTimeout = time.Second
	}
	if o.PingAfter == 0 {
		o.PingAfter = 700 * time.Millisecond
	}
	if o.PingTimeout == 0 {
		o.PingTimeout = 800 * time.Millisecond
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = 30 * time.Second
	}
	if o.PoolIdleTimeout == 0 {
		o.PoolIdleTimeout = time.Minute
	}
	if o.RequestIDHeader == "" {
		o.RequestIDHeader = "X-Request-Id"
	}
	if o.BufferBytes == 0 {
		o.BufferBytes = 64 << 10
	}
	return o
}

func (o *Options) count(event Event, address string) {
	if o.OnEvent != nil {
		o.OnEvent(event, address)
	}
}

// Client sends requests to backend servers.
type Client struct {
	options Options
	// pools maps addresses to *Pool; a pool without requests for options.PoolLifetime is dropped.
	pools sync.Map
	ids   atomic.Uint64
	done  chan struct{}
}

// New returns a client; Run must run beside it.
func New(options Options) *Client {
	return &Client{options: options.withDefaults(), done: make(chan struct{})}
}

func (c *Client) pool(address string) *Pool {
	if p, ok := c.pools.Load(address); ok {
		return p.(*Pool)
	}
	p, _ := c.pools.LoadOrStore(address, &Pool{address: address, options: &c.options, usedAt: time.Now()})
	return p.(*Pool)
}

// sweepInterval is how often idle connections are looked at.
const sweepInterval = 250 * time.Millisecond

// Run pings idle connections and closes unused ones until ctx ends, then closes all idle connections.
func (c *Client) Run(ctx context.Context) error {
	defer close(c.done)
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	var pings errgroup.Group
	// Pings wait for silent connections, so that many of them must be able to run at once.
	pings.SetLimit(256)
	for {
		select {
		case <-ctx.Done():
			err := pings.Wait()
			c.pools.Range(func(_, p any) bool { p.(*Pool).close(); return true })
			return err
		case now := <-ticker.C:
			c.sweep(ctx, now, &pings)
		}
	}
}

// Done is closed when Run has returned.
func (c *Client) Done() <-chan struct{} { return c.done }

func (c *Client) sweep(ctx context.Context, now time.Time, pings *errgroup.Group) {
	c.pools.Range(func(address, value any) bool {
		p := value.(*Pool)
		if p.unused(now.Add(-c.options.PoolIdleTimeout)) {
			c.pools.Delete(address)
			p.close()
			return true
		}
		if c.options.DisablePings {
			p.retireExpired(now)
			return true
		}
		for _, conn := range p.takeStale(now.Add(-c.options.PingAfter)) {
			if now.Sub(conn.used) > c.options.IdleTimeout {
				p.retire(conn)
				continue
			}
			started := pings.TryGo(func() error { c.pingIdle(ctx, p, conn); return nil })
			if !started {
				// Without a free pinger the connection cannot be verified in time.
				p.retire(conn)
			}
		}
		return true
	})
}

func (c *Client) pingIdle(ctx context.Context, p *Pool, conn *connection) {
	if !conn.alive() {
		c.options.count(EventIdleConnectionRetired, p.address)
		p.retire(conn)
		return
	}
	if f := c.ping(ctx, conn); f != nil {
		if f.Cause == CauseSilent || f.Cause == CauseDeadline {
			c.options.count(EventSilentConnectionRetired, p.address)
		}
		p.retire(conn)
		return
	}
	p.put(conn)
}

// ping asks the server for its options, which has no effect and which every HTTP server answers somehow.
func (c *Client) ping(ctx context.Context, conn *connection) *Failure {
	req, err := http.NewRequestWithContext(ctx, http.MethodOptions, "http://"+conn.pool.address, http.NoBody)
	if err != nil {
		return &Failure{Cause: CauseMalformed, Err: err}
	}
	req.URL.Opaque = "*"
	req.Header.Set(c.options.RequestIDHeader, c.nextID())
	deadline := time.Now().Add(c.options.PingTimeout)
	resp, f := c.exchange(ctx, conn, &Request{HTTP: req, ID: "", Deadline: deadline, InactivityTimeout: c.options.PingTimeout})
	if f != nil {
		return f
	}
	if resp.RemainingBody != nil {
		return &Failure{Cause: CauseMalformed, Sent: true}
	}
	return resp.leftover
}

// Probe opens a new connection to the server and pings it. A nil result says that the server answers.
func (c *Client) Probe(ctx context.Context, address string) error {
	p := c.pool(address)
	conn, f := p.dial(ctx)
	if f != nil {
		return f
	}
	if f := c.ping(ctx, conn); f != nil {
		p.retire(conn)
		return f
	}
	p.put(conn)
	return nil
}

func (c *Client) nextID() string {
	var b [32]byte
	n := strconv.AppendUint(append(b[:0], 'p', '-'), c.ids.Add(1), 36)
	return string(n)
}
