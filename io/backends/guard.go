package backends

import "sync"

// exchangeGuard lets another goroutine abort an exchange, and keeps it from touching the connection after the exchange ended.
type exchangeGuard struct {
	mu               sync.Mutex
	ended, abandoned bool
}

// abandonFunc returns a function that aborts the current exchange.
func (c *connection) abandonFunc() func() {
	g := c.exchangeGuard
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if !g.ended {
			g.abandoned = true
			// An error means that the connection is already closed.
			_ = c.netConn.SetDeadline(aLongTimeAgo)
		}
	}
}

// abandoned reports whether the current exchange was aborted.
func (c *connection) abandoned() bool {
	if c.exchangeGuard == nil {
		return false
	}
	c.exchangeGuard.mu.Lock()
	defer c.exchangeGuard.mu.Unlock()
	return c.exchangeGuard.abandoned
}

// endExchange marks the exchange as ended, and reports whether the connection can be reused, that is, was not aborted.
func (c *connection) endExchange() bool {
	if c.exchangeGuard == nil {
		return true
	}
	c.exchangeGuard.mu.Lock()
	defer c.exchangeGuard.mu.Unlock()
	c.exchangeGuard.ended = true
	return !c.exchangeGuard.abandoned
}
