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
	// idle is ordered by last use, the most recent at the end. Beyond options.MaxIdle, the least recently used one is closed.
	idle []*connection
	// open counts the connections, idle and in use. When it has reached options.MaxConnections and none is idle, requests fail
	// with CausePoolExhausted before anything is sent.
	open   int
	closed bool
	// usedAt is the time of the last request. A pool without requests for options.PoolIdleTimeout is dropped.
	usedAt time.Time
}

// takeIdle returns the most recently used idle connection, or nil when there is none or it was not verified within maxAge (0
// means any).
func (p *Pool) takeIdle(maxAge time.Duration) *connection {
	for {
		p.mu.Lock()
		n := len(p.idle)
		if n == 0 {
			p.mu.Unlock()
			return nil
		}
		c := p.idle[n-1]
		if maxAge > 0 && time.Since(c.lastVerified) > maxAge {
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

// dial opens a connection within ctx and the dial timeout, unless the pool is exhausted.
func (p *Pool) dial(ctx context.Context) (*connection, *Failure) {
	p.mu.Lock()
	if p.closed || p.open >= p.options.MaxConnections {
		p.mu.Unlock()
		return nil, &Failure{Cause: CausePoolExhausted}
	}
	p.open++
	p.mu.Unlock()
	var opened *connection
	defer func() {
		// Also when OnDial panics.
		if opened == nil {
			p.decrementOpen()
		}
	}()
	dialer := net.Dialer{Timeout: p.options.DialTimeout, KeepAlive: -1}
	started := time.Now()
	raw, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, classify(ctx, err, false, CauseDial).asDialFailure()
	}
	defer func() {
		if opened == nil {
			// The connection is not used, whether or not Close fails.
			_ = raw.Close()
		}
	}()
	if p.options.OnDial != nil {
		p.options.OnDial(p.address, time.Since(started))
	}
	c, err := newConnection(raw, p)
	if err != nil {
		return nil, &Failure{Cause: CauseDial, Err: err}
	}
	opened = c
	return c, nil
}

// asDialFailure turns CauseSilent, which classify returns for a dial timeout, into CauseDial.
func (f *Failure) asDialFailure() *Failure {
	if f.Cause == CauseSilent {
		f.Cause = CauseDial
	}
	return f
}

// putIdle returns a connection to the pool. Its last response must have been complete and not followed by further bytes.
func (p *Pool) putIdle(c *connection) {
	c.releaseBuffers()
	// Clear the deadlines of the last exchange.
	if err := c.netConn.SetDeadline(time.Time{}); err != nil {
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

// retire closes a connection and removes it from the count. Its buffers are not reused, since a reader may still hold them.
func (p *Pool) retire(c *connection) {
	p.decrementOpen()
	// The connection is not used again, whether or not Close fails.
	_ = c.netConn.Close()
}

func (p *Pool) decrementOpen() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// takeUnverified removes and returns the idle connections that were last verified before the given time.
func (p *Pool) takeUnverified(before time.Time) []*connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	var unverified []*connection
	kept := p.idle[:0]
	for _, c := range p.idle {
		if c.lastVerified.Before(before) {
			unverified = append(unverified, c)
		} else {
			kept = append(kept, c)
		}
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	return unverified
}

// retireExpired closes the idle connections that have expired or reached IdleTimeout.
func (p *Pool) retireExpired(now time.Time) {
	p.mu.Lock()
	var expired []*connection
	kept := p.idle[:0]
	for _, c := range p.idle {
		if c.expired(now) || now.Sub(c.lastUsed) > p.options.IdleTimeout {
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

// unused reports whether no request has used the pool since the given time and none is in flight.
func (p *Pool) unused(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.usedAt.Before(since) && p.open == len(p.idle)
}

// close closes the idle connections. Connections in use are closed when their exchange ends.
func (p *Pool) close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		p.retire(c)
	}
}
