package permits

import (
	"context"
	"sync"
	"time"

	"vanillatally/core/permit"
)

// sentKept is the number of reports whose sending time is remembered; a grant that answers an earlier
// one renews nothing.
const sentKept = 64

// cache holds this host's permits for one server and the requests that wait for one.
type cache struct {
	mu      sync.Mutex
	holding permit.HostPermits
	// teams holds at most maxTeams entries.
	teams   map[string]*team
	waiting int
	removed bool

	owner    string
	sequence uint64
	sent     [sentKept]time.Duration
	reported time.Duration
	// reportedWaiting and urgent say whether the owner has to hear of a change at once.
	reportedWaiting int
	reportedHeld    int
	urgent          bool
	// silentFrom is when the first report was sent that has no answer yet; 0 if there is none.
	silentFrom time.Duration
	// peak is the most permits used since peakFrom.
	peak     int
	peakFrom time.Duration
}

// team is what one team has at the server.
type team struct {
	name    string
	inUse   int
	share   int
	waiters []*waiter
	// release is made once, so that a cached permit costs no allocation.
	release func()
}

type waiter struct {
	ready chan struct{}
	// granted and refused are guarded by the cache's mu and set before ready is closed.
	granted, refused bool
	since            time.Duration
}

// Acquire waits, within ctx, for a permit at server. release must be called exactly once.
func (s *Service) Acquire(ctx context.Context, server, team string) (release func(), err error) {
	e := (*s.servers.Load())[server]
	if e == nil {
		return nil, ErrUnknownServer
	}
	c, now := &e.cache, s.options.Now()
	c.mu.Lock()
	t := c.teams[team]
	if t == nil {
		if t = c.addTeam(team, s.releaser(e)); t == nil {
			c.mu.Unlock()
			return nil, ErrQueueFull
		}
	}
	if c.waiting == 0 && c.take(t, now, s.fallback(e)) {
		c.mu.Unlock()
		return t.release, nil
	}
	if c.waiting >= maxWaiting || c.removed {
		c.mu.Unlock()
		return nil, ErrQueueFull
	}
	w := &waiter{ready: make(chan struct{}), since: now}
	t.waiters = append(t.waiters, w)
	c.waiting++
	first := c.reportedWaiting == 0 && !c.urgent
	if first {
		c.urgent = true
	}
	c.mu.Unlock()
	if first {
		s.wakeUp()
	}
	return c.wait(ctx, t, w)
}

// wait blocks until the waiter is served, refused or ctx ends.
func (c *cache) wait(ctx context.Context, t *team, w *waiter) (func(), error) {
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

// fallback says whether the one own permit may be used that a host has for a server of its failure
// domain while the server's owner is unreachable.
func (s *Service) fallback(e *entry) bool {
	return e.server.Load().FailureDomain == s.options.FailureDomain
}

// take starts a request; mu is held.
func (c *cache) take(t *team, now time.Duration, fallback bool) bool {
	h, ok := c.holding.Acquire(now)
	if !ok {
		silent := c.silentFrom != 0 && now-c.silentFrom >= permit.Lifetime && now >= c.holding.Expiry
		if !fallback || !silent || h.Used > 0 {
			return false
		}
		h.Used++
	}
	c.holding = h
	c.peak = max(c.peak, h.Used)
	t.inUse++
	return true
}

// addTeam returns nil when too many teams are active; mu is held.
func (c *cache) addTeam(name string, release func(*team)) *team {
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
	t := &team{name: name}
	t.release = func() { release(t) }
	c.teams[name] = t
	return t
}

func (s *Service) releaser(e *entry) func(*team) {
	return func(t *team) {
		c, now := &e.cache, s.options.Now()
		c.mu.Lock()
		c.holding.Used--
		t.inUse--
		recalled := c.holding.Used >= c.holding.Limit && c.reportedHeld > c.holding.Limit
		if c.waiting > 0 {
			c.serve(now, s.fallback(e))
		}
		if recalled {
			c.urgent = true
		}
		c.mu.Unlock()
		if recalled {
			s.wakeUp()
		}
	}
}

// serve starts waiting requests while there are permits; mu is held.
func (c *cache) serve(now time.Duration, fallback bool) {
	for c.waiting > 0 {
		t := c.next()
		if !c.take(t, now, fallback) {
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

// next returns the waiting team that is furthest below its share, then the one that waits longest.
func (c *cache) next() (best *team) {
	for _, t := range c.teams {
		if len(t.waiters) == 0 {
			continue
		}
		if best == nil || t.share-t.inUse > best.share-best.inUse ||
			t.share-t.inUse == best.share-best.inUse && t.waiters[0].since < best.waiters[0].since {
			best = t
		}
	}
	return best
}

func (c *cache) refuseAll() {
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

// due says whether a report has to be sent now. It gives up permits that were idle for idlePeriod.
func (c *cache) due(now time.Duration, owner string, fallback bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serve(now, fallback)
	if now-c.peakFrom >= idlePeriod {
		if c.holding.Limit > c.peak {
			c.holding.Limit = c.peak
			c.urgent = true
		}
		c.peak, c.peakFrom = c.holding.Used, now
	}
	held := c.holding.Held(now)
	active := held > 0 || c.waiting > 0 || c.reportedHeld > 0 || c.reportedWaiting > 0
	changed := c.waiting != c.reportedWaiting || held != c.reportedHeld || owner != c.owner
	since := now - c.reported
	return c.urgent || active && (since >= renewPeriod || changed && since >= changePeriod)
}

// report returns the state for the owner and notes it as sent.
func (c *cache) report(now time.Duration, server string, instance uint64, owner string) permit.Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	if owner != c.owner {
		c.owner, c.silentFrom = owner, 0
	}
	c.sequence++
	c.sent[c.sequence%sentKept] = now
	c.reported, c.urgent, c.reportedWaiting, c.reportedHeld = now, false, c.waiting, c.holding.Held(now)
	if c.silentFrom == 0 {
		c.silentFrom = max(now, 1)
	}
	r := permit.Report{
		Server: server, Instance: instance, Sequence: c.sequence, Held: c.reportedHeld,
		OwnerEpoch: c.holding.OwnerEpoch, AppliedGrant: c.holding.AppliedGrant,
	}
	for _, t := range c.teams {
		if t.inUse > 0 || len(t.waiters) > 0 {
			u := permit.Usage{Team: t.name, InUse: t.inUse, Waiting: len(t.waiters)}
			if u.Waiting > 0 {
				u.OldestWait = now - t.waiters[0].since
			}
			r.Teams = append(r.Teams, u)
		}
	}
	return r
}

// answered notes that the owner is reachable. One that has not taken over yet is asked again soon.
func (c *cache) answered(now time.Duration, owner string, granted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owner == owner {
		c.silentFrom = 0
	}
	if !granted {
		c.reported = now - renewPeriod + retryPeriod
	}
}

// apply takes over a grant and says whether the owner waits for permits that it has recalled.
func (c *cache) apply(now time.Duration, owner string, g permit.Grant) (recalled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if owner != c.owner || g.AckedReport == 0 || g.AckedReport > c.sequence || c.sequence-g.AckedReport >= sentKept {
		return false
	}
	before := c.holding.Held(now)
	fresh := g.OwnerEpoch > c.holding.OwnerEpoch || g.OwnerEpoch == c.holding.OwnerEpoch && g.Number > c.holding.AppliedGrant
	c.holding = c.holding.Apply(g, c.sent[g.AckedReport%sentKept])
	if fresh {
		for _, t := range c.teams {
			t.share = 0
		}
		for _, u := range g.Shares {
			if t := c.teams[u.Team]; t != nil {
				t.share = u.InUse
			}
		}
	}
	c.serve(now, false)
	if c.holding.Held(now) < before {
		c.urgent, recalled = true, true
	}
	return recalled
}
