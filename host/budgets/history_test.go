package budgets

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"vanillatally/core/budget"
	"vanillatally/core/ledger"
	"vanillatally/io/store"
)

// fault is one fault or change in a history.
type fault struct {
	kind         string
	at, duration time.Duration
	host         int
	other        int
}

// history is a random fleet with its budgets, its demand and its faults.
type history struct {
	seed       uint64
	hosts      int
	clockRates []float64
	faults     []fault
	limits     map[string]budget.Limits
	costs      map[string]float64
	// demands says, for each third of a second, which hosts have demand: none, all, or the one with this number. A number
	// from hosts on means that host number - hosts borrows all that it can and spends nothing.
	demands       []int
	lossRate      float64
	duplicateRate float64
	maxDelay      time.Duration
}

// After historyLength no fault is injected for recoveryPeriod. At its end every slot must be in use again.
const (
	historyLength  = 12 * time.Second
	recoveryPeriod = 8 * time.Second
)

// Demands other than a single host that asks for all that it can get. With lightLoad every host sends one request for each
// budget in each step.
const (
	nobody, everybody, lightLoad = -1, -2, -3
)

var faultKinds = []string{
	"pause", "freeze", "kill", "restart", "join", "leave", "one-way", "two-way", "isolate", "unwitnessed",
	"store-down", "store-loses", "store-late", "lossy",
}

func histories(kinds []string) *rapid.Generator[history] {
	return rapid.Custom(func(t *rapid.T) history {
		h := history{seed: rapid.Uint64().Draw(t, "seed"), hosts: rapid.IntRange(2, 5).Draw(t, "hosts")}
		h.clockRates = rapid.SliceOfN(rapid.SampledFrom([]float64{0.99, 0.995, 1, 1.005, 1.01}), 8, 8).Draw(t, "skews")
		h.faults = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
			return fault{
				rapid.SampledFrom(kinds).Draw(t, "kind"),
				time.Duration(rapid.IntRange(1500, 10000).Draw(t, "at")) * time.Millisecond,
				time.Duration(rapid.IntRange(25, 4000).Draw(t, "long")) * time.Millisecond,
				rapid.IntRange(0, h.hosts-1).Draw(t, "host"), rapid.IntRange(0, h.hosts-1).Draw(t, "other"),
			}
		}), 0, 6).Draw(t, "faults")
		h.limits = map[string]budget.Limits{
			"small": {Rate: 2, Burst: 3},
			"team":  {Rate: rapid.Float64Range(10, 60).Draw(t, "rate"), Burst: rapid.Float64Range(5, 80).Draw(t, "burst")},
			"link":  {Rate: 5e5, Burst: 2e5},
		}
		h.costs = map[string]float64{"small": 1, "team": rapid.SampledFrom([]float64{0.4, 1, 2.5}).Draw(t, "cost"), "link": 15e3}
		h.demands = rapid.SliceOfN(rapid.IntRange(lightLoad, 2*h.hosts-1), 36, 36).Draw(t, "demands")
		h.lossRate = rapid.SampledFrom([]float64{0, 0, 0.05, 0.3}).Draw(t, "loss")
		h.duplicateRate = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "twice")
		h.maxDelay = time.Duration(rapid.SampledFrom([]int{2, 60, 400}).Draw(t, "delay")) * time.Millisecond
		return h
	})
}

func historyHost(i int) string { return fmt.Sprintf("%c-%d", 'a'+i%2, i) }

// inject applies a fault and returns the function that ends it, if any.
func (s *simulation) inject(f fault, h history) (undo func()) {
	id, other := historyHost(f.host), historyHost(f.other)
	cut := func(lost bool, pairs ...[2]string) {
		for _, p := range pairs {
			s.cutLinks[p] = lost
		}
	}
	switch f.kind {
	case "pause":
		if host := s.hosts[id]; host != nil {
			host.pausedUntil = s.now + f.duration
		}
	case "freeze":
		for _, host := range s.hosts {
			host.pausedUntil = s.now + f.duration
		}
	case "kill":
		delete(s.hosts, id)
	case "restart":
		delete(s.hosts, id)
		return func() { s.start(id, h.clockRates[f.host]) }
	case "join":
		s.start(historyHost(h.hosts+f.other), h.clockRates[7])
	case "leave":
		if host := s.hosts[id]; host != nil {
			host.leaving = true
		}
	case "one-way":
		cut(true, [2]string{id, other})
		return func() { cut(false, [2]string{id, other}) }
	case "two-way", "isolate", "unwitnessed":
		var pairs [][2]string
		var m ledger.Member
		if host := s.hosts[id]; host != nil {
			m, _ = host.node.ledger.Member(id)
		}
		for i := range h.hosts {
			if f.kind == "isolate" || f.kind == "two-way" && i == f.other ||
				f.kind == "unwitnessed" && slices.Contains(m.Witnesses, historyHost(i)) {
				pairs = append(pairs, [2]string{id, historyHost(i)}, [2]string{historyHost(i), id})
			}
		}
		cut(true, pairs...)
		return func() { cut(false, pairs...) }
	case "store-down":
		s.store.SetFaults(store.Faults{Down: true})
		return func() { s.store.SetFaults(store.Faults{}) }
	case "store-loses":
		s.store.SetFaults(store.Faults{LoseResponses: true})
		return func() { s.store.SetFaults(store.Faults{}) }
	case "store-late":
		s.store.delayWrites = true
		return func() { s.store.delayWrites = false }
	case "lossy":
		s.lossRate = 0.6
		return func() { s.lossRate = h.lossRate }
	}
	return nil
}

// run runs the history and returns its violations and the number of admissions.
func (h history) run(configure func(*simulation)) (violations []string, admitted int) {
	s := newSimulation(h.seed, h.limits)
	s.lossRate, s.duplicateRate, s.maxDelay = h.lossRate, h.duplicateRate, h.maxDelay
	configure(s)
	for i := range h.hosts {
		s.start(historyHost(i), h.clockRates[i])
	}
	const step = 25 * time.Millisecond
	undo := map[int]func(){}
	for s.now < historyLength && len(s.violations) == 0 {
		s.step(step)
		for i, f := range h.faults {
			if s.now >= f.at && s.now < f.at+step {
				undo[i] = s.inject(f, h)
			}
			if u := undo[i]; u != nil && s.now >= f.at+f.duration {
				u()
				delete(undo, i)
			}
		}
		demand, requestsPerStep := h.demands[min(len(h.demands)-1, int(s.now*3/time.Second))], 60
		if demand == lightLoad {
			requestsPerStep = 1
		}
		for i, id := range s.ids() {
			for name, lim := range *s.hosts[id].node.limiters.Load() {
				lim.waitingCost = 0
				if demand == i+h.hosts {
					lim.waitingCost = h.limits[name].Burst
				}
			}
			if demand == nobody || demand >= 0 && demand != i {
				continue
			}
			for _, budget := range []string{"small", "team", "link"} {
				for range requestsPerStep {
					if !s.admit(s.hosts[id], budget, h.costs[budget]) {
						break
					}
				}
			}
		}
	}
	for _, u := range undo {
		if u != nil {
			u()
		}
	}
	s.lossRate, s.maxDelay = 0, 2*time.Millisecond
	departed := 0
	for _, f := range h.faults {
		if f.kind == "kill" || f.kind == "leave" {
			departed++
		}
	}
	for end := s.now + recoveryPeriod; s.now < end && len(s.violations) == 0; {
		s.step(step)
	}
	for _, host := range s.hosts {
		// A host that dies while it has no witnesses cannot be fenced; the operator has to declare it dead.
		for _, m := range host.node.ledger.Members {
			if len(m.Witnesses) == 0 && s.hosts[m.Host] == nil {
				departed += 2
			}
		}
	}
	// A member whose witnesses are all gone cannot be fenced, so the slots are only checked after at most one departure.
	if n := s.usableSlots(); departed <= 1 && len(s.violations) == 0 && n != ledger.SlotCount {
		s.violations = append(s.violations, fmt.Sprintf("%d slots are in use after %v without faults, want all", n, recoveryPeriod))
	}
	return s.violations, s.attempted - s.refused
}

// Guards against a fleet that waits for the store after all its leases have expired at once, because every host was paused
// during an outage of the store. The hosts have to renew each other's leases.
func TestAllHostsPausedDuringStoreOutage(t *testing.T) {
	s := newSimulation(1, map[string]budget.Limits{"t": {Rate: 10, Burst: 10}})
	for i := range 3 {
		s.start(historyHost(i), 1)
	}
	run := func(d time.Duration) {
		for end := s.now + d; s.now < end; {
			s.step(10 * time.Millisecond)
		}
	}
	run(3 * time.Second)
	s.store.SetFaults(store.Faults{Down: true})
	s.inject(fault{kind: "freeze", duration: 5 * time.Second}, history{})
	run(7 * time.Second)
	if n := s.usableSlots(); n != ledger.SlotCount || len(s.violations) > 0 {
		t.Fatalf("%d slots are in use 2 s after all hosts were paused, want all; violations: %v", n, s.violations)
	}
}

// environmentNumber returns the number in an environment variable, or otherwise if it holds none. Such variables set the length
// or the seed of a run.
func environmentNumber(key string, otherwise int) int {
	if v, err := strconv.Atoi(os.Getenv(key)); err == nil {
		return v
	}
	return otherwise
}

// Guards against admissions above burst + rate × t in any interval t and against slots that two hosts use at once, under
// random faults of all kinds. VANILLATALLY_HISTORIES=10000 runs more histories, VANILLATALLY_SEED starts at another seed.
func TestHistoriesNeverExceedLimits(t *testing.T) {
	count, seed := environmentNumber("VANILLATALLY_HISTORIES", 200), environmentNumber("VANILLATALLY_SEED", 1)
	gen := histories(faultKinds)
	var g errgroup.Group
	g.SetLimit(2)
	results := make([]int, count)
	for i := range count {
		h := gen.Example(seed + i)
		g.Go(func() error {
			violations, admitted := h.run(func(*simulation) {})
			results[i] = admitted
			if len(violations) > 0 {
				return fmt.Errorf("seed %d: %s\nfaults %+v", seed+i, violations[0], h.faults)
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	total := 0
	for _, n := range results {
		total += n
	}
	if total < 100*count {
		t.Fatalf("%d admissions in %d histories are too few for a meaningful check", total, count)
	}
	t.Logf("%d histories, %d admissions, 0 violations", count, total)
}
