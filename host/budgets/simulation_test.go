package budgets

import (
	"context"
	"fmt"
	"math/bits"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"vanillatally/core/budget"
	"vanillatally/core/lease"
	"vanillatally/core/ledger"
	"vanillatally/io/store"
)

// simulation runs nodes in simulated time. Messages may be lost, delayed, duplicated and thereby reordered.
type simulation struct {
	now           time.Duration
	rng           *rand.Rand
	store         delayedStore
	hosts         map[string]*simHost
	queue         []simEvent
	lossRate      float64
	duplicateRate float64
	maxDelay      time.Duration
	cutLinks      map[[2]string]bool
	// latency replaces the random delays up to maxDelay when it is set.
	latency     func(from, to string) time.Duration
	setup       func(*node)
	clockFactor float64
	timing      lease.Timing
	limits      map[string]budget.Limits
	// excess is, by budget, the maximum over all intervals that end now of the admitted cost minus rate times length.
	excess         map[string]float64
	lastAdmittedAt map[string]time.Duration
	violations     []string
	sentMessages   map[string]int
	// sentBytes counts the encoded bytes of message bodies by sender when encode is set.
	sentBytes map[string]int
	encode    func(any) int
	refused   int
	attempted int
}

type simEvent struct {
	at       time.Duration
	from, to string
	body     any
}

type simHost struct {
	node        *node
	id          string
	started     time.Duration
	clockRate   float64
	pausedUntil time.Duration
	nextSync    time.Duration
	lastTick    time.Duration
	leaving     bool
}

func (h *simHost) clock(s *simulation) time.Duration {
	return time.Duration(float64(s.now-h.started)*h.clockRate) + time.Second
}

// delayedStore applies writes late and answers them with an unknown outcome while delayWrites is set.
type delayedStore struct {
	*store.Memory
	delayWrites   bool
	delayedWrites []func()
}

func (l *delayedStore) Put(ctx context.Context, key string, value []byte, expect store.Version) (store.Version, error) {
	if l.delayWrites {
		l.delayedWrites = append(l.delayedWrites, func() { _, _ = l.Memory.Put(ctx, key, value, expect) })
		return 0, store.ErrUnknownOutcome
	}
	return l.Memory.Put(ctx, key, value, expect)
}

func newSimulation(seed uint64, limits map[string]budget.Limits) *simulation {
	return &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), store: delayedStore{Memory: store.NewMemory(0, 0)},
		hosts: map[string]*simHost{}, cutLinks: map[[2]string]bool{}, maxDelay: 2 * time.Millisecond,
		clockFactor: budget.ClockFactor, timing: lease.DefaultTiming(), limits: limits, setup: func(*node) {},
		excess: map[string]float64{}, lastAdmittedAt: map[string]time.Duration{},
		sentMessages: map[string]int{}, sentBytes: map[string]int{},
	}
}

// start starts a process, which replaces an earlier one with the same id.
func (s *simulation) start(id string, clockRate float64) {
	h := &simHost{id: id, started: s.now, clockRate: clockRate}
	h.lastTick = h.clock(s) - time.Duration(s.rng.Int64N(int64(tickInterval)))
	region, _, _ := strings.Cut(id, "-")
	h.node = newNode(ledger.Member{Host: id, Region: region, FailureDomain: id}, s.timing, s.clockFactor, s.rng.Uint64(), h.clock(s))
	s.setup(h.node)
	h.node.setLimits(h.clock(s), s.limits)
	s.hosts[id] = h
}

func (s *simulation) ids() []string { return sortedKeys(s.hosts) }

// step advances the time, delivers the messages that are due and runs every host that is not paused.
func (s *simulation) step(d time.Duration) {
	s.now += d
	if !s.store.delayWrites {
		for _, put := range s.store.delayedWrites {
			put()
		}
		s.store.delayedWrites = nil
	}
	sort.SliceStable(s.queue, func(i, j int) bool { return s.queue[i].at < s.queue[j].at })
	for len(s.queue) > 0 && s.queue[0].at <= s.now {
		e := s.queue[0]
		s.queue = s.queue[1:]
		switch h := s.hosts[e.to]; {
		case h == nil:
		case h.pausedUntil > s.now:
			e.at = h.pausedUntil
			s.queue = append(s.queue, e)
			sort.SliceStable(s.queue, func(i, j int) bool { return s.queue[i].at < s.queue[j].at })
		default:
			h.node.handleMessage(h.clock(s), e.from, e.body)
			s.queueOutgoing(h)
		}
	}
	for _, id := range s.ids() {
		if h := s.hosts[id]; h.pausedUntil <= s.now {
			s.runHost(h)
		}
	}
	s.checkSlots()
}

func (s *simulation) runHost(h *simHost) {
	now := h.clock(s)
	if now >= h.lastTick+tickInterval {
		h.lastTick = now
		h.node.tick(now)
		s.queueOutgoing(h)
	}
	if now >= h.nextSync || h.node.storeWriteDue(now, h.leaving) && now >= h.nextSync-minPollInterval+2*tickInterval {
		h.nextSync = now + minPollInterval
		clock := func() time.Duration { return h.clock(s) }
		written, _ := h.node.syncWithStore(context.Background(), &s.store, clock, h.leaving)
		if written {
			h.node.sendLedgerToMembers()
		}
		s.queueOutgoing(h)
	}
}

func (s *simulation) queueOutgoing(h *simHost) {
	for _, m := range h.node.takeOutgoing() {
		s.sentMessages[h.id]++
		if s.encode != nil {
			s.sentBytes[h.id] += s.encode(m.body)
		}
		copies := 1
		if s.rng.Float64() < s.duplicateRate {
			copies = 2
		}
		for range copies {
			if s.cutLinks[[2]string{h.id, m.to}] || s.rng.Float64() < s.lossRate {
				continue
			}
			at := s.now + time.Duration(s.rng.Int64N(int64(s.maxDelay)+1))
			if s.latency != nil {
				at = s.now + s.latency(h.id, m.to)
			}
			s.queue = append(s.queue, simEvent{at, h.id, m.to, m.body})
		}
	}
}

// admit lets a host admit one request, as Service does, and checks the limit over the admissions of all hosts.
func (s *simulation) admit(h *simHost, name string, cost float64) bool {
	if h.pausedUntil > s.now {
		return false
	}
	now := h.clock(s)
	lim := (*h.node.limiters.Load())[name]
	s.attempted++
	lim.attemptedCost += cost
	lim.maxCost = max(lim.maxCost, min(cost, lim.limits.Burst))
	if !lim.takeTokens(now, cost, h.node.leaseValid(now)) {
		s.refused++
		return false
	}
	l := s.limits[name]
	s.excess[name] = max(0, s.excess[name]-l.Rate*(s.now-s.lastAdmittedAt[name]).Seconds()) + cost
	s.lastAdmittedAt[name] = s.now
	if s.excess[name] > l.Burst+1e-6 {
		s.violations = append(s.violations, fmt.Sprintf("%v: %s admitted %.3f over rate, burst is %v",
			s.now, name, s.excess[name], l.Burst))
	}
	return true
}

// checkSlots records a violation if two processes, paused ones included, would use the same slot now.
func (s *simulation) checkSlots() {
	var seen uint64
	for _, id := range s.ids() {
		h := s.hosts[id]
		if !h.node.leaseValid(h.clock(s)) {
			continue
		}
		if both := seen & h.node.heldSlots; both != 0 {
			s.violations = append(s.violations, fmt.Sprintf("%v: slot %d is held twice, also by %s",
				s.now, bits.TrailingZeros64(both), id))
		}
		seen |= h.node.heldSlots
	}
}

// usableSlots returns the number of slots that running hosts use now.
func (s *simulation) usableSlots() (n int) {
	for _, h := range s.hosts {
		if h.node.leaseValid(h.clock(s)) && h.pausedUntil <= s.now {
			n += bits.OnesCount64(h.node.heldSlots)
		}
	}
	return n
}
