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

// Event is a kind of event that the client reports through Options.OnEvent.
type Event string

// The events.
const (
	// EventIdleConnectionRetired: the server closed an idle connection, or sent bytes on it that belong to no request.
	EventIdleConnectionRetired Event = "idle-connection-retired"
	// EventSilentConnectionRetired: a connection was retired because no bytes arrived within the inactivity timeout.
	EventSilentConnectionRetired Event = "silent-connection-retired"
	// EventBytesAfterResponse: further bytes followed a complete response.
	EventBytesAfterResponse Event = "bytes-after-response"
	// EventMismatch: a response had the ID of another request.
	EventMismatch Event = "response-mismatch"
	// EventTruncated: a response ended before it was complete.
	EventTruncated Event = "response-truncated"
)

// Options configures a Client. Zero values take the defaults of withDefaults.
type Options struct {
	// MaxConnections bounds the connections to one server, MaxIdle the idle ones among them.
	MaxConnections, MaxIdle int
	DialTimeout             time.Duration
	// PingAfter is the time since its last complete response after which an idle connection is pinged, PingTimeout the time
	// limit for the response. Their sum plus the sweep interval of 250 ms must stay below 2 s, the time within which a
	// connection that no longer responds must be detected.
	PingAfter, PingTimeout time.Duration
	// IdleTimeout closes connections that no request has used for this time.
	IdleTimeout time.Duration
	// PoolIdleTimeout drops the pool of a server that has got no request for this time.
	PoolIdleTimeout time.Duration
	// BufferBytes is the length up to which a response body is read and checked completely before any of it is passed on.
	BufferBytes int
	// RequestIDHeader is the header in which a response echoes the ID of its request; empty means X-Request-Id.
	RequestIDHeader string
	// DisablePings turns off pings of idle connections, for servers that would treat a ping as a request.
	DisablePings bool
	// AllowCloseDelimited accepts bodies without a stated length that end when the server closes the connection.
	AllowCloseDelimited bool
	// OnDial is called with the connect time of each new connection; nil ignores it.
	OnDial func(address string, took time.Duration)
	// OnEvent is called for each event; nil ignores them.
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

// Client sends requests to backend servers over pooled connections.
type Client struct {
	options Options
	// pools maps addresses to *Pool; a pool without requests for options.PoolIdleTimeout is dropped.
	pools   sync.Map
	pingIDs atomic.Uint64
	done    chan struct{}
}

// New returns a client. Run must be called in a goroutine to maintain its idle connections.
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

// sweepInterval is the interval at which idle connections are checked.
const sweepInterval = 250 * time.Millisecond

// Run pings idle connections and closes those that reached a timeout. When ctx ends, it closes all idle connections.
func (c *Client) Run(ctx context.Context) error {
	defer close(c.done)
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	var pings errgroup.Group
	// A ping on an unresponsive connection blocks for PingTimeout, so that many pings must be able to run at once.
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
		for _, conn := range p.takeUnverified(now.Add(-c.options.PingAfter)) {
			if now.Sub(conn.lastUsed) > c.options.IdleTimeout {
				p.retire(conn)
				continue
			}
			started := pings.TryGo(func() error { c.pingIdle(ctx, p, conn); return nil })
			if !started {
				// All ping goroutines are busy, so that the connection cannot be verified in time.
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
	p.putIdle(conn)
}

// ping sends "OPTIONS *", which has no side effect and to which every HTTP server sends some response.
func (c *Client) ping(ctx context.Context, conn *connection) *Failure {
	req, err := http.NewRequestWithContext(ctx, http.MethodOptions, "http://"+conn.pool.address, http.NoBody)
	if err != nil {
		return &Failure{Cause: CauseMalformed, Err: err}
	}
	req.URL.Opaque = "*"
	req.Header.Set(c.options.RequestIDHeader, c.nextPingID())
	deadline := time.Now().Add(c.options.PingTimeout)
	resp, f := c.exchange(ctx, conn, &Request{HTTP: req, ID: "", Deadline: deadline, InactivityTimeout: c.options.PingTimeout})
	if f != nil {
		return f
	}
	if resp.RemainingBody != nil {
		return &Failure{Cause: CauseMalformed, Sent: true}
	}
	return resp.reuseFailure
}

// CheckListening checks that a process listens at address, without a request: it returns nil if an idle connection is still open
// or a new one can be opened. The connection is kept for later requests.
func (c *Client) CheckListening(ctx context.Context, address string) *Failure {
	p := c.pool(address)
	conn := p.takeIdle(0)
	if conn == nil {
		var f *Failure
		if conn, f = p.dial(ctx); f != nil {
			return f
		}
		conn.lastUsed = time.Now()
	}
	p.putIdle(conn)
	return nil
}

// Probe opens a new connection to the server and pings it. It returns nil when the server responds.
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
	p.putIdle(conn)
	return nil
}

func (c *Client) nextPingID() string {
	var b [32]byte
	n := strconv.AppendUint(append(b[:0], 'p', '-'), c.pingIDs.Add(1), 36)
	return string(n)
}
