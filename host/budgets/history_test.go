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

// fault is one disturbance of a history.
type fault struct {
	kind     string
	at, long time.Duration
	host     int
	other    int
}

// history is a fleet, its budgets, its demand and its faults, chosen by rapid.
type history struct {
	seed   uint64
	hosts  int
	skews  []float64
	faults []fault
	limits map[string]budget.Limits
	costs  map[string]float64
	// demands says for each third of a second who asks: nobody, everybody, or one host. Numbers from hosts on
	// mean that a host borrows all that it can and spends nothing.
	demands []int
	loss    float64
	twice   float64
	delay   time.Duration
}

// After historyLength follows a calm without faults, after which every slot must be in use again.
const (
	historyLength = 12 * time.Second
	calm          = 8 * time.Second
)

// The demands besides a single host that asks for all that it gets. With gently, all hosts ask for a little.
const (
	nobody, everybody, gently = -1, -2, -3
)

var faultKinds = []string{"pause", "freeze", "kill", "restart", "join", "leave", "one-way", "two-way", "isolate", "unwitnessed", "store-down", "store-loses", "store-late", "lossy"}

func histories(kinds []string) *rapid.Generator[history] {
	return rapid.Custom(func(t *rapid.T) history {
		h := history{seed: rapid.Uint64().Draw(t, "seed"), hosts: rapid.IntRange(2, 5).Draw(t, "hosts")}
		h.skews = rapid.SliceOfN(rapid.SampledFrom([]float64{0.99, 0.995, 1, 1.005, 1.01}), 8, 8).Draw(t, "skews")
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
		h.demands = rapid.SliceOfN(rapid.IntRange(gently, 2*h.hosts-1), 36, 36).Draw(t, "demands")
		h.loss = rapid.SampledFrom([]float64{0, 0, 0.05, 0.3}).Draw(t, "loss")
		h.twice = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "twice")
		h.delay = time.Duration(rapid.SampledFrom([]int{2, 60, 400}).Draw(t, "delay")) * time.Millisecond
		return h
	})
}

func name(i int) string { return fmt.Sprintf("%c-%d", 'a'+i%2, i) }

// inject applies a fault and returns its end, if it has one.
func (s *simulation) inject(f fault, h history) (undo func()) {
	id, other := name(f.host), name(f.other)
	cut := func(lost bool, pairs ...[2]string) {
		for _, p := range pairs {
			s.cut[p] = lost
		}
	}
	switch f.kind {
	case "pause":
		if host := s.hosts[id]; host != nil {
			host.paused = s.now + f.long
		}
	case "freeze":
		for _, host := range s.hosts {
			host.paused = s.now + f.long
		}
	case "kill":
		delete(s.hosts, id)
	case "restart":
		delete(s.hosts, id)
		return func() { s.start(id, h.skews[f.host]) }
	case "join":
		s.start(name(h.hosts+f.other), h.skews[7])
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
			if f.kind == "isolate" || f.kind == "two-way" && i == f.other || f.kind == "unwitnessed" && slices.Contains(m.Witnesses, name(i)) {
				pairs = append(pairs, [2]string{id, name(i)}, [2]string{name(i), id})
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
		s.store.late = true
		return func() { s.store.late = false }
	case "lossy":
		s.loss = 0.6
		return func() { s.loss = h.loss }
	}
	return nil
}

// play runs the history and returns what it broke.
func (h history) play(configure func(*simulation)) (broken []string, admitted int) {
	s := newSimulation(h.seed, h.limits)
	s.loss, s.twice, s.delay = h.loss, h.twice, h.delay
	configure(s)
	for i := range h.hosts {
		s.start(name(i), h.skews[i])
	}
	const step = 25 * time.Millisecond
	undo := map[int]func(){}
	for s.now < historyLength && len(s.broken) == 0 {
		s.step(step)
		for i, f := range h.faults {
			if s.now >= f.at && s.now < f.at+step {
				undo[i] = s.inject(f, h)
			}
			if u := undo[i]; u != nil && s.now >= f.at+f.long {
				u()
				delete(undo, i)
			}
		}
		want, tries := h.demands[min(len(h.demands)-1, int(s.now*3/time.Second))], 60
		if want == gently {
			tries = 1
		}
		for i, id := range s.ids() {
			for name, c := range *s.hosts[id].node.limiters.Load() {
				c.waitingCost = 0
				if want == i+h.hosts {
					c.waitingCost = h.limits[name].Burst
				}
			}
			if want == nobody || want >= 0 && want != i {
				continue
			}
			for _, budget := range []string{"small", "team", "link"} {
				for range tries {
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
	s.loss, s.delay = 0, 2*time.Millisecond
	gone := 0
	for _, f := range h.faults {
		if f.kind == "kill" || f.kind == "leave" {
			gone++
		}
	}
	for end := s.now + calm; s.now < end && len(s.broken) == 0; {
		s.step(step)
	}
	for _, host := range s.hosts {
		// A host that dies while it has no witnesses cannot be fenced; the operator must forget it.
		for _, m := range host.node.ledger.Members {
			if len(m.Witnesses) == 0 && s.hosts[m.Host] == nil {
				gone += 2
			}
		}
	}
	// A member whose witnesses have all gone with it cannot be fenced, so at most one departure is judged.
	if n := s.held(); gone <= 1 && len(s.broken) == 0 && n != ledger.SlotCount {
		s.broken = append(s.broken, fmt.Sprintf("%d slots are in use after %v without faults", n, calm))
	}
	return s.broken, s.wanted - s.refused
}

// Guards against a fleet that waits for the store after all its leases have lapsed at once.
func TestFreezeOfAllHostsInAnOutage(t *testing.T) {
	s := newSimulation(1, map[string]budget.Limits{"t": {Rate: 10, Burst: 10}})
	for i := range 3 {
		s.start(name(i), 1)
	}
	run := func(d time.Duration) {
		for end := s.now + d; s.now < end; {
			s.step(10 * time.Millisecond)
		}
	}
	run(3 * time.Second)
	s.store.SetFaults(store.Faults{Down: true})
	s.inject(fault{kind: "freeze", long: 5 * time.Second}, history{})
	run(7 * time.Second)
	if n := s.held(); n != ledger.SlotCount || len(s.broken) > 0 {
		t.Fatalf("%d slots in use 2 s after a freeze, broken: %v", n, s.broken)
	}
}

// environment returns a number from the environment, for long runs and other seeds.
func environment(key string, otherwise int) int {
	if v, err := strconv.Atoi(os.Getenv(key)); err == nil {
		return v
	}
	return otherwise
}

// Guards against admissions above burst + rate × t in any interval and against slots with two users, under
// all faults. VANILLATALLY_HISTORIES=10000 runs more histories, VANILLATALLY_SEED starts at another seed.
func TestHistoriesNeverExceedLimits(t *testing.T) {
	count, seed := environment("VANILLATALLY_HISTORIES", 200), environment("VANILLATALLY_SEED", 1)
	gen := histories(faultKinds)
	var g errgroup.Group
	g.SetLimit(2)
	results := make([]int, count)
	for i := range count {
		h := gen.Example(seed + i)
		g.Go(func() error {
			broken, admitted := h.play(func(*simulation) {})
			results[i] = admitted
			if len(broken) > 0 {
				return fmt.Errorf("seed %d: %s\nfaults %+v", seed+i, broken[0], h.faults)
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
		t.Fatalf("only %d admissions in %d histories: the check saw too little", total, count)
	}
	t.Logf("%d histories, %d admissions, 0 violations", count, total)
}
