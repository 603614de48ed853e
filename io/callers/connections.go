package callers

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// freeHeadBytes is the length up to which the head of a request does not count against MaxHeadBytes.
	freeHeadBytes = 4 << 10
	// blockedWriteInterval is the time between two checks for writes that have been blocked for WriteTimeout.
	blockedWriteInterval = 5 * time.Second
)

// connectionTable holds the open connections of callers, at most max. When a new one would exceed max, the one that has waited
// longest for a request is closed: first one that has never sent a whole request, then an idle one. When all of them have
// requests in flight, the new one is closed.
type connectionTable struct {
	max          int
	maxHeadBytes int64
	// headBytes is the number of bytes by which the heads that are read or served, and pipelined requests, exceed
	// freeHeadBytes each. A connection that would exceed maxHeadBytes makes the one that has been reading a long head for the
	// longest time close.
	headBytes atomic.Int64
	onClosed  func(reason string)
	// closing is set once connections that wait for a request are to be closed.
	closing atomic.Bool

	mu   sync.Mutex
	open map[*pipeliningConn]struct{}
	// empty is closed when closing is set and no connection is open.
	empty chan struct{}
}

func newConnectionTable(o Options) *connectionTable {
	return &connectionTable{
		max: o.MaxConnections, maxHeadBytes: o.MaxHeadBytes, onClosed: o.OnClosed, open: map[*pipeliningConn]struct{}{},
		empty: make(chan struct{}),
	}
}

// add adds a connection, and reports whether it may stay.
func (t *connectionTable) add(c *pipeliningConn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closing.Load() {
		return false
	}
	if t.max > 0 && len(t.open) >= t.max && !t.evictWaiting() {
		t.onClosed("connections")
		return false
	}
	t.open[c] = struct{}{}
	return true
}

func (t *connectionTable) remove(c *pipeliningConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, open := t.open[c]; !open {
		return
	}
	delete(t.open, c)
	if t.closing.Load() && len(t.open) == 0 {
		close(t.empty)
	}
}

// closeWaiting closes the connections that wait for a request, and the others once they do. A request that has been read whole is
// served first.
func (t *connectionTable) closeWaiting() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closing.Store(true)
	if len(t.open) == 0 {
		close(t.empty)
	}
	for c := range t.open {
		c.evict()
	}
}

func (t *connectionTable) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open)
}

// evictWaiting closes the connection that has waited longest for a request, and removes it. The caller holds t.mu.
func (t *connectionTable) evictWaiting() bool {
	for {
		var victim *pipeliningConn
		for c := range t.open {
			if c.phase.Load() != phaseServing && (victim == nil || c.waitsBefore(victim)) {
				victim = c
			}
		}
		if victim == nil {
			return false
		}
		// It fails if a request has arrived meanwhile; the next one is tried then.
		if victim.evict() {
			delete(t.open, victim)
			t.onClosed("connections")
			return true
		}
	}
}

// addHeadBytes counts n bytes of a head, or evicts a connection for them. It reports whether c itself may continue.
func (t *connectionTable) addHeadBytes(c *pipeliningConn, n int64) bool {
	total := t.headBytes.Add(n)
	if t.maxHeadBytes == 0 || total <= t.maxHeadBytes {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	victim := c
	for other := range t.open {
		if other.phase.Load() != phaseServing && !other.evicted.Load() && other.countedBytes.Load() > 0 &&
			other.longSince.Load() < victim.longSince.Load() {
			victim = other
		}
	}
	t.onClosed("heads")
	if !victim.evict() {
		return false
	}
	// Without this the next bytes would evict another connection before this one has closed.
	victim.uncount()
	return victim != c
}

// closeBlocked closes connections on which one write has been blocked for WriteTimeout.
func (t *connectionTable) closeBlocked(now time.Time) {
	t.mu.Lock()
	var blocked []*pipeliningConn
	for c := range t.open {
		if since := c.writingSince.Load(); since != 0 && now.UnixNano()-since > int64(WriteTimeout) {
			blocked = append(blocked, c)
		}
	}
	t.mu.Unlock()
	for _, c := range blocked {
		// The blocked write returns an error, and the connection is closed.
		_ = c.Conn.SetWriteDeadline(aLongTimeAgo)
		t.onClosed("blocked-write")
	}
}

// run closes blocked connections until stop is closed.
func (t *connectionTable) run(stop <-chan struct{}) {
	ticker := time.NewTicker(blockedWriteInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-ticker.C:
			t.closeBlocked(now)
		}
	}
}

// aLongTimeAgo is a deadline that ends a blocked read or write at once.
var aLongTimeAgo = time.Unix(1, 0)

// The phases of a connection.
const (
	// phaseNew: no request has arrived whole.
	phaseNew int32 = iota
	phaseServing
	// phaseIdle: a request was served, and the next one has not arrived whole.
	phaseIdle
)

// connectionState is what the connectionTable knows of a connection.
type connectionState struct {
	table *connectionTable
	phase atomic.Int32
	// since is the time in Unix nanoseconds at which phase was set.
	since atomic.Int64
	// headBytes counts the bytes that were read since the connection last waited for a request; countedBytes is the part of
	// them, and of the pipelined bytes, that counts against the table's limit.
	headBytes, countedBytes atomic.Int64
	// longSince is the time in Unix nanoseconds at which headBytes exceeded freeHeadBytes.
	longSince atomic.Int64
	// evicted is set when the connection is to be closed while it waits for a request.
	evicted atomic.Bool
	// writingSince is the time in Unix nanoseconds at which the current write began, or 0.
	writingSince atomic.Int64
	removed      sync.Once
}

// waitsBefore reports whether s is closed before o.
func (s *connectionState) waitsBefore(o *pipeliningConn) bool {
	if fresh, otherFresh := s.phase.Load() == phaseNew, o.phase.Load() == phaseNew; fresh != otherFresh {
		return fresh
	}
	return s.since.Load() < o.since.Load()
}

// setPhase is called by net/http when a request has arrived whole and when its response has been sent.
func (c *pipeliningConn) setPhase(state http.ConnState) {
	switch state {
	case http.StateActive:
		// The lock keeps an eviction from setting its deadline after this.
		c.mu.Lock()
		defer c.mu.Unlock()
		c.phase.Store(phaseServing)
		if c.evicted.Load() {
			// The request arrived whole while the connection was being evicted. It is served, and the connection closed after it.
			_ = c.SetReadDeadline(time.Time{})
		}
	case http.StateIdle:
		c.since.Store(time.Now().UnixNano())
		c.phase.Store(phaseIdle)
		c.headBytes.Store(0)
		c.uncount()
		if c.table.closing.Load() {
			c.evict()
		}
	}
}

// evict makes a connection that waits for a request close. It reports whether it waits.
func (c *pipeliningConn) evict() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase.Load() == phaseServing {
		return false
	}
	c.evicted.Store(true)
	// An error means that the connection is already closed.
	_ = c.SetReadDeadline(aLongTimeAgo)
	return true
}

// mustClose reports whether the connection was evicted and waits for a request.
func (c *pipeliningConn) mustClose() bool { return c.evicted.Load() && c.phase.Load() != phaseServing }

// countHead counts bytes of a request's head, and reports whether the connection may read on. Bytes of bodies do not count.
func (c *pipeliningConn) countHead(n int) bool {
	if n == 0 || c.phase.Load() == phaseServing {
		return true
	}
	total := c.headBytes.Add(int64(n))
	if excess := min(total-freeHeadBytes, int64(n)); excess > 0 {
		if total-int64(n) <= freeHeadBytes {
			c.longSince.Store(time.Now().UnixNano())
		}
		c.countedBytes.Add(excess)
		return c.table.addHeadBytes(c, excess)
	}
	return true
}

// countPipelined counts bytes of pipelined requests until the current response has been sent, and reports whether there is room
// to read more.
func (c *pipeliningConn) countPipelined(n int) bool {
	c.countedBytes.Add(int64(n))
	total := c.table.headBytes.Add(int64(n))
	return c.table.maxHeadBytes == 0 || total <= c.table.maxHeadBytes
}

// uncount gives back the bytes that the connection counted.
func (c *pipeliningConn) uncount() {
	c.table.headBytes.Add(-c.countedBytes.Swap(0))
}

// forget removes the connection from its table.
func (c *pipeliningConn) forget() {
	c.removed.Do(func() {
		c.table.remove(c)
		c.uncount()
	})
}

// Write writes to the caller.
func (c *pipeliningConn) Write(p []byte) (int, error) {
	c.writingSince.Store(time.Now().UnixNano())
	defer c.writingSince.Store(0)
	return c.Conn.Write(p)
}
