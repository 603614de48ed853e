package permits

import (
	"context"
	"sync"
	"time"

	"vanillatally/core/permit"
)

// keptReports is the number of reports whose sending times are kept. A grant that acknowledges an older report is ignored.
const keptReports = 64

// permitCache holds this host's permits for one server and the requests that wait for a permit.
type permitCache struct {
	mu      sync.Mutex
	permits permit.HostPermits
	// teams holds at most maxTeams entries.
	teams   map[string]*teamState
	waiting int
	// removed is set once the server is no longer among those of SetServers.
	removed bool

	owner      string
	sequence   uint64
	sentAt     [keptReports]time.Duration
	reportedAt time.Duration
	// reportedWaiting and reportedHeld are the numbers of the last report. reportUrgent is set if the next report must
	// not wait for an interval.
	reportedWaiting int
	reportedHeld    int
	reportUrgent    bool
	// unansweredSince is when the oldest report was sent to which the owner has not responded, or 0 if there is none.
	unansweredSince time.Duration
	// peakUsed is the highest number of permits in use since peakSince.
	peakUsed  int
	peakSince time.Duration
}

// teamState holds the requests of one team at the server.
type teamState struct {
	name    string
	inUse   int
	share   int // the team's share of this host's permits
	waiters []*waiter
	// release is made once per team, so that Acquire does not allocate when a permit is free.
	release func()
}

type waiter struct {
	ready chan struct{}
	// granted and refused are guarded by permitCache.mu. One of them is set before ready is closed.
	granted, refused bool
	waitingSince     time.Duration
}

// Acquire waits until team gets a permit for a request to server or ctx ends. The caller must call release exactly once when
// the request has ended.
func (s *Service) Acquire(ctx context.Context, server, team string) (release func(), err error) {
	e := (*s.servers.Load())[server]
	if e == nil {
		return nil, ErrUnknownServer
	}
	c, now := &e.cache, s.options.Now()
	c.mu.Lock()
	t := c.teams[team]
	if t == nil {
		if t = c.addTeam(team, s.releaseFunc(e)); t == nil {
			c.mu.Unlock()
			return nil, ErrQueueFull
		}
	}
	if c.waiting == 0 && c.startRequest(t, now, s.mayFallBack(e)) {
		c.mu.Unlock()
		return t.release, nil
	}
	if c.waiting >= maxWaiting || c.removed {
		c.mu.Unlock()
		return nil, ErrQueueFull
	}
	w := &waiter{ready: make(chan struct{}), waitingSince: now}
	t.waiters = append(t.waiters, w)
	c.waiting++
	wake := c.reportedWaiting == 0 && !c.reportUrgent
	if wake {
		c.reportUrgent = true
	}
	c.mu.Unlock()
	if wake {
		s.wakeReporter()
	}
	return c.waitForPermit(ctx, t, w)
}

// waitForPermit blocks until the waiter gets a permit, is refused because the server was removed, or ctx ends.
func (c *permitCache) waitForPermit(ctx context.Context, t *teamState, w *waiter) (func(), error) {
	select {
	case <-w.ready:
	case <-ctx.Done():
	}
	c.mu.Lock()
	if !w.granted && !w.refused {
		for i := range t.waiters {
			if t.waiters[i] == w {
				t.waiters = append(t.waiters[:i], t.waiters[i+1:]...)
				c.waiting--
				break
			}
		}
	}
	c.mu.Unlock()
	switch {
	case w.granted && ctx.Err() == nil:
		return t.release, nil
	case w.granted:
		t.release()
	case w.refused:
		return nil, ErrUnknownServer
	}
	return nil, ctx.Err()
}

// mayFallBack reports whether this host may run one request at a time without a permit while the server's owner is
// unreachable. Hosts may do so for the servers of their own failure domain.
func (s *Service) mayFallBack(e *serverState) bool {
	return e.server.Load().FailureDomain == s.options.FailureDomain
}

// startRequest counts a request of the team as running if there is a permit for it. The caller must hold mu.
func (c *permitCache) startRequest(t *teamState, now time.Duration, mayFallBack bool) bool {
	next, ok := c.permits.Acquire(now)
	if !ok {
		ownerUnreachable := c.unansweredSince != 0 && now-c.unansweredSince >= permit.Lifetime && now >= c.permits.Expiry
		if !mayFallBack || !ownerUnreachable || next.Used > 0 {
			return false
		}
		next.Used++
	}
	c.permits = next
	c.peakUsed = max(c.peakUsed, next.Used)
	t.inUse++
	return true
}

// addTeam adds a team, or returns nil if maxTeams teams have requests. The caller must hold mu.
func (c *permitCache) addTeam(name string, releaseTeam func(*teamState)) *teamState {
	if len(c.teams) >= maxTeams {
		for n, t := range c.teams {
			if t.inUse == 0 && len(t.waiters) == 0 {
				delete(c.teams, n)
			}
		}
		if len(c.teams) >= maxTeams {
			return nil
		}
	}
	t := &teamState{name: name}
	t.release = func() { releaseTeam(t) }
	c.teams[name] = t
	return t
}

// releaseFunc returns the function that ends a request of a team at the server.
func (s *Service) releaseFunc(e *serverState) func(*teamState) {
	return func(t *teamState) {
		c, now := &e.cache, s.options.Now()
		c.mu.Lock()
		c.permits.Used--
		t.inUse--
		returnsRecalled := c.permits.Used >= c.permits.Limit && c.reportedHeld > c.permits.Limit
		if c.waiting > 0 {
			c.serveWaiters(now, s.mayFallBack(e))
		}
		if returnsRecalled {
			c.reportUrgent = true
		}
		c.mu.Unlock()
		if returnsRecalled {
			s.wakeReporter()
		}
	}
}

// serveWaiters starts waiting requests while there are permits. The caller must hold mu.
func (c *permitCache) serveWaiters(now time.Duration, mayFallBack bool) {
	for c.waiting > 0 {
		t := c.nextTeam()
		if !c.startRequest(t, now, mayFallBack) {
			return
		}
		w := t.waiters[0]
		t.waiters[0] = nil
		t.waiters = t.waiters[1:]
		c.waiting--
		w.granted = true
		close(w.ready)
	}
}

// nextTeam returns the team with waiting requests that is furthest below its share, and among equals the one whose first
// request has waited longest.
func (c *permitCache) nextTeam() (best *teamState) {
	for _, t := range c.teams {
		if len(t.waiters) == 0 {
			continue
		}
		if best == nil || t.share-t.inUse > best.share-best.inUse ||
			t.share-t.inUse == best.share-best.inUse && t.waiters[0].waitingSince < best.waiters[0].waitingSince {
			best = t
		}
	}
	return best
}

// refuseWaiters refuses all waiting requests because the server was removed.
func (c *permitCache) refuseWaiters() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removed = true
	for _, t := range c.teams {
		for _, w := range t.waiters {
			w.refused = true
			close(w.ready)
		}
		c.waiting -= len(t.waiters)
		t.waiters = nil
	}
}

// reportDue reports whether a report to the owner is due. It first gives up permits that were idle for idleTimeout.
func (c *permitCache) reportDue(now time.Duration, owner string, mayFallBack bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serveWaiters(now, mayFallBack)
	if now-c.peakSince >= idleTimeout {
		if c.permits.Limit > c.peakUsed {
			c.permits.Limit = c.peakUsed
			c.reportUrgent = true
		}
		c.peakUsed, c.peakSince = c.permits.Used, now
	}
	held := c.permits.Held(now)
	active := held > 0 || c.waiting > 0 || c.reportedHeld > 0 || c.reportedWaiting > 0
	changed := c.waiting != c.reportedWaiting || held != c.reportedHeld || owner != c.owner
	since := now - c.reportedAt
	return c.reportUrgent || active && (since >= renewInterval || changed && since >= changeInterval)
}

// newReport returns a report of the present state to the owner and records it as sent.
func (c *permitCache) newReport(now time.Duration, server string, instance uint64, owner string) permit.Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	if owner != c.owner {
		c.owner, c.unansweredSince = owner, 0
	}
	c.sequence++
	c.sentAt[c.sequence%keptReports] = now
	c.reportedAt, c.reportUrgent, c.reportedWaiting, c.reportedHeld = now, false, c.waiting, c.permits.Held(now)
	if c.unansweredSince == 0 {
		c.unansweredSince = max(now, 1)
	}
	r := permit.Report{
		Server: server, Instance: instance, Sequence: c.sequence, Held: c.reportedHeld,
		OwnerEpoch: c.permits.OwnerEpoch, AppliedGrant: c.permits.AppliedGrant,
	}
	for _, t := range c.teams {
		if t.inUse > 0 || len(t.waiters) > 0 {
			u := permit.Usage{Team: t.name, InUse: t.inUse, Waiting: len(t.waiters)}
			if u.Waiting > 0 {
				u.OldestWait = now - t.waiters[0].waitingSince
			}
			r.Teams = append(r.Teams, u)
		}
	}
	return r
}

// recordResponse records that the owner responded to a report. If the response has no grant, because the owner has not
// taken over the server yet, the next report follows after retryDelay.
func (c *permitCache) recordResponse(now time.Duration, owner string, granted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owner == owner {
		c.unansweredSince = 0
	}
	if !granted {
		c.reportedAt = now - renewInterval + retryDelay
	}
}

// applyGrant applies a grant. It reports whether the grant recalled permits, which the owner can use again only after the
// next report.
func (c *permitCache) applyGrant(now time.Duration, owner string, g permit.Grant) (recalled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if owner != c.owner || g.AckedReport == 0 || g.AckedReport > c.sequence || c.sequence-g.AckedReport >= keptReports {
		return false
	}
	heldBefore := c.permits.Held(now)
	newer := g.OwnerEpoch > c.permits.OwnerEpoch || g.OwnerEpoch == c.permits.OwnerEpoch && g.Number > c.permits.AppliedGrant
	c.permits = c.permits.Apply(g, c.sentAt[g.AckedReport%keptReports])
	if newer {
		for _, t := range c.teams {
			t.share = 0
		}
		for _, u := range g.Shares {
			if t := c.teams[u.Team]; t != nil {
				t.share = u.InUse
			}
		}
	}
	c.serveWaiters(now, false)
	if c.permits.Held(now) < heldBefore {
		c.reportUrgent, recalled = true, true
	}
	return recalled
}
