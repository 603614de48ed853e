package backends

import (
	"context"
	"net"
	"sync"
	"time"
)

// Pool holds the connections to one backend server.
type Pool struct {
	address string
	options *Options
	mu      sync.Mutex
	// idle is ordered by last use, the newest at the end; it has at most options.MaxIdle entries, and older ones are closed.
	idle []*connection
	// open counts the connections, at most options.MaxConnections; a request beyond them is refused before it is sent.
	open   int
	closed bool
	// usedAt is the time of the last request; a pool that is unused for options.PoolLifetime is dropped.
	usedAt time.Time
}

// take returns an idle connection that was verified within maxAge (0 means any), or nil.
func (p *Pool) take(maxAge time.Duration) *connection {
	for {
		p.mu.Lock()
		n := len(p.idle)
		if n == 0 {
			p.mu.Unlock()
			return nil
		}
		c := p.idle[n-1]
		if maxAge > 0 && time.Since(c.verified) > maxAge {
			p.mu.Unlock()
			return nil
		}
		p.idle[n-1] = nil
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		if c.expired(time.Now()) {
			p.retire(c)
			continue
		}
		if c.alive() {
			return c
		}
		p.options.count(EventIdleConnectionRetired, p.address)
		p.retire(c)
	}
}

// dial opens a connection within ctx and the dial timeout.
func (p *Pool) dial(ctx context.Context) (*connection, *Failure) {
	p.mu.Lock()
	if p.closed || p.open >= p.options.MaxConnections {
		p.mu.Unlock()
		return nil, &Failure{Cause: CausePoolExhausted}
	}
	p.open++
	p.mu.Unlock()
	dialer := net.Dialer{Timeout: p.options.DialTimeout, KeepAlive: -1}
	begun := time.Now()
	raw, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		p.forget()
		return nil, classify(ctx, err, false, CauseDial).asDial()
	}
	if p.options.OnDial != nil {
		p.options.OnDial(p.address, time.Since(begun))
	}
	c, err := newConnection(raw, p)
	if err != nil {
		p.retire(c)
		return nil, &Failure{Cause: CauseDial, Err: err}
	}
	return c, nil
}

// asDial keeps the cause of a connection attempt exact: a dial time-out is not a silent connection.
func (f *Failure) asDial() *Failure {
	if f.Cause == CauseSilent {
		f.Cause = CauseDial
	}
	return f
}

// put returns a connection whose last response was whole and left no byte behind.
func (p *Pool) put(c *connection) {
	c.release()
	// The deadlines of the exchange must not end the next one.
	if err := c.raw.SetDeadline(time.Time{}); err != nil {
		p.retire(c)
		return
	}
	var surplus *connection
	p.mu.Lock()
	if p.closed {
		surplus = c
	} else {
		if len(p.idle) >= p.options.MaxIdle {
			surplus = p.idle[0]
			copy(p.idle, p.idle[1:])
			p.idle = p.idle[:len(p.idle)-1]
		}
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if surplus != nil {
		p.retire(surplus)
	}
}

// retire closes a connection for good. Its buffers are not reused, since a reader may still hold them.
func (p *Pool) retire(c *connection) {
	p.forget()
	// The connection is given up in any case.
	_ = c.raw.Close()
}

func (p *Pool) forget() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// takeStale removes the idle connections that were last verified before limit, for pinging.
func (p *Pool) takeStale(limit time.Time) []*connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	var stale []*connection
	kept := p.idle[:0]
	for _, c := range p.idle {
		if c.verified.Before(limit) {
			stale = append(stale, c)
		} else {
			kept = append(kept, c)
		}
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	return stale
}

// retireExpired closes the idle connections that are not used again.
func (p *Pool) retireExpired(now time.Time) {
	p.mu.Lock()
	var expired []*connection
	kept := p.idle[:0]
	for _, c := range p.idle {
		if c.expired(now) || now.Sub(c.used) > p.options.IdleTimeout {
			expired = append(expired, c)
		} else {
			kept = append(kept, c)
		}
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	p.mu.Unlock()
	for _, c := range expired {
		p.retire(c)
	}
}

// unused reports whether no request used the pool since limit and none is in flight.
func (p *Pool) unused(limit time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.usedAt.Before(limit) && p.open == len(p.idle)
}

// close closes the idle connections; those in use are closed when their exchange ends.
func (p *Pool) close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		p.retire(c)
	}
}
