package backends

import "sync"

// guard lets another goroutine give up an exchange without touching the connection after the exchange ended.
type guard struct {
	mu               sync.Mutex
	ended, abandoned bool
}

// abandon returns the function that gives up the current exchange.
func (c *connection) abandon() func() {
	g := c.guard
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if !g.ended {
			g.abandoned = true
			// An error means that the connection is closed already.
			_ = c.raw.SetDeadline(past)
		}
	}
}

// abandoned reports whether the current exchange was given up.
func (c *connection) abandoned() bool {
	if c.guard == nil {
		return false
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	return c.guard.abandoned
}

// endGuard ends the exchange, and reports whether the connection can be used for another one.
func (c *connection) endGuard() bool {
	if c.guard == nil {
		return true
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.ended = true
	return !c.guard.abandoned
}
