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

// simulation runs nodes in simulated time. Messages may be lost, delayed, duplicated and so reordered.
type simulation struct {
	now   time.Duration
	rng   *rand.Rand
	store lateStore
	hosts map[string]*simHost
	queue []simEvent
	loss  float64
	twice float64
	delay time.Duration
	cut   map[[2]string]bool
	// latency replaces delay when it is set.
	latency func(from, to string) time.Duration
	setup   func(*node)
	factor  float64
	terms   lease.Timing
	limits  map[string]budget.Limits
	// excess is, by budget, the worst sum of admissions over an interval minus rate times its length.
	excess map[string]float64
	last   map[string]time.Duration
	broken []string
	sent   map[string]int
	// bytes counts the encoded bodies by sender when encode is set.
	bytes   map[string]int
	encode  func(any) int
	refused int
	wanted  int
}

type simEvent struct {
	at       time.Duration
	from, to string
	body     any
}

type simHost struct {
	node     *node
	id       string
	started  time.Duration
	skew     float64
	paused   time.Duration
	exchange time.Duration
	ticked   time.Duration
	leaving  bool
}

func (h *simHost) clock(s *simulation) time.Duration {
	return time.Duration(float64(s.now-h.started)*h.skew) + time.Second
}

// lateStore loses answers and lets writes take effect late.
type lateStore struct {
	*store.Memory
	late    bool
	pending []func()
}

func (l *lateStore) Put(ctx context.Context, key string, value []byte, expect store.Version) (store.Version, error) {
	if l.late {
		l.pending = append(l.pending, func() { _, _ = l.Memory.Put(ctx, key, value, expect) })
		return 0, store.ErrUnknownOutcome
	}
	return l.Memory.Put(ctx, key, value, expect)
}

func newSimulation(seed uint64, limits map[string]budget.Limits) *simulation {
	return &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), store: lateStore{Memory: store.NewMemory(0, 0)},
		hosts: map[string]*simHost{}, cut: map[[2]string]bool{}, delay: 2 * time.Millisecond,
		factor: budget.ClockFactor, terms: lease.DefaultTiming(), limits: limits, setup: func(*node) {},
		excess: map[string]float64{}, last: map[string]time.Duration{}, sent: map[string]int{}, bytes: map[string]int{},
	}
}

// start starts a process, which replaces an earlier one with the same id.
func (s *simulation) start(id string, skew float64) {
	h := &simHost{id: id, started: s.now, skew: skew}
	h.ticked = h.clock(s) - time.Duration(s.rng.Int64N(int64(tickInterval)))
	region, _, _ := strings.Cut(id, "-")
	h.node = newNode(ledger.Member{Host: id, Region: region, FailureDomain: id}, s.terms, s.factor, s.rng.Uint64(), h.clock(s))
	s.setup(h.node)
	h.node.setLimits(h.clock(s), s.limits)
	s.hosts[id] = h
}

func (s *simulation) ids() []string { return sortedKeys(s.hosts) }

// step advances the time, delivers what is due and runs every host that is not paused.
func (s *simulation) step(d time.Duration) {
	s.now += d
	if !s.store.late {
		for _, put := range s.store.pending {
			put()
		}
		s.store.pending = nil
	}
	sort.SliceStable(s.queue, func(i, j int) bool { return s.queue[i].at < s.queue[j].at })
	for len(s.queue) > 0 && s.queue[0].at <= s.now {
		e := s.queue[0]
		s.queue = s.queue[1:]
		switch h := s.hosts[e.to]; {
		case h == nil:
		case h.paused > s.now:
			e.at = h.paused
			s.queue = append(s.queue, e)
			sort.SliceStable(s.queue, func(i, j int) bool { return s.queue[i].at < s.queue[j].at })
		default:
			h.node.handleMessage(h.clock(s), e.from, e.body)
			s.flush(h)
		}
	}
	for _, id := range s.ids() {
		if h := s.hosts[id]; h.paused <= s.now {
			s.run(h)
		}
	}
	s.checkSlots()
}

func (s *simulation) run(h *simHost) {
	now := h.clock(s)
	if now >= h.ticked+tickInterval {
		h.ticked = now
		h.node.tick(now)
		s.flush(h)
	}
	if now >= h.exchange || h.node.storeWriteDue(now, h.leaving) && now >= h.exchange-minPollInterval+2*tickInterval {
		h.exchange = now + minPollInterval
		clock := func() time.Duration { return h.clock(s) }
		written, _ := h.node.syncWithStore(context.Background(), &s.store, clock, h.leaving)
		if written {
			h.node.sendLedgerToMembers()
		}
		s.flush(h)
	}
}

func (s *simulation) flush(h *simHost) {
	for _, m := range h.node.takeOutgoing() {
		s.sent[h.id]++
		if s.encode != nil {
			s.bytes[h.id] += s.encode(m.body)
		}
		copies := 1
		if s.rng.Float64() < s.twice {
			copies = 2
		}
		for range copies {
			if s.cut[[2]string{h.id, m.to}] || s.rng.Float64() < s.loss {
				continue
			}
			at := s.now + time.Duration(s.rng.Int64N(int64(s.delay)+1))
			if s.latency != nil {
				at = s.now + s.latency(h.id, m.to)
			}
			s.queue = append(s.queue, simEvent{at, h.id, m.to, m.body})
		}
	}
}

// admit lets a host admit one request, as the driver does, and adds it to the merged history.
func (s *simulation) admit(h *simHost, name string, cost float64) bool {
	if h.paused > s.now {
		return false
	}
	now := h.clock(s)
	c := (*h.node.limiters.Load())[name]
	s.wanted++
	c.attemptedCost += cost
	c.maxCost = max(c.maxCost, min(cost, c.limits.Burst))
	if !c.takeTokens(now, cost, h.node.leaseValid(now)) {
		s.refused++
		return false
	}
	l := s.limits[name]
	s.excess[name] = max(0, s.excess[name]-l.Rate*(s.now-s.last[name]).Seconds()) + cost
	s.last[name] = s.now
	if s.excess[name] > l.Burst+1e-6 {
		s.broken = append(s.broken, fmt.Sprintf("%v: %s admitted %.3f over rate, burst is %v", s.now, name, s.excess[name], l.Burst))
	}
	return true
}

// checkSlots checks that no two processes, paused ones included, would use the same slot now.
func (s *simulation) checkSlots() {
	var seen uint64
	for _, id := range s.ids() {
		h := s.hosts[id]
		if !h.node.leaseValid(h.clock(s)) {
			continue
		}
		if both := seen & h.node.heldSlots; both != 0 {
			s.broken = append(s.broken, fmt.Sprintf("%v: slot %d is held twice, also by %s", s.now, bits.TrailingZeros64(both), id))
		}
		seen |= h.node.heldSlots
	}
}

// held returns the number of slots that some host uses now.
func (s *simulation) held() (n int) {
	for _, h := range s.hosts {
		if h.node.leaseValid(h.clock(s)) && h.paused <= s.now {
			n += bits.OnesCount64(h.node.heldSlots)
		}
	}
	return n
}
