package budgets

import (
	"fmt"
	"math"
	"testing"
	"time"

	"vanillatally/core/budget"
	"vanillatally/io/store"
)

const (
	fleetSize        = 9
	maxSimulatedWait = 250 * time.Millisecond
	load             = 0.9
)

// request is a request that waits at a host for tokens until end.
type request struct {
	team string
	end  time.Duration
}

// divisionScheme counts the results of requests under one way of dividing the limits among the hosts.
type divisionScheme struct {
	waiting map[string][]request
	// served and refused count the admissions and the refusals, by team.
	served, refused map[string]float64
}

// serve calls take for each request that waits at a host, in order, and done when the request is admitted or refused. It
// returns whether any request still waits.
func (s *divisionScheme) serve(now time.Duration, host string, take func(team string) bool, done func(team string)) bool {
	kept := s.waiting[host][:0]
	for _, r := range s.waiting[host] {
		switch {
		case take(r.team):
			s.served[r.team]++
			done(r.team)
		case now >= r.end:
			s.refused[r.team]++
			done(r.team)
		default:
			kept = append(kept, r)
		}
	}
	s.waiting[host] = kept
	return len(kept) > 0
}

// refusedFraction returns the fraction of the requests that were refused, and a text with the counts by team.
func (s *divisionScheme) refusedFraction(teams []string) (fraction float64, text string) {
	refused, all := 0.0, 0.0
	for _, team := range teams {
		total := s.refused[team] + s.served[team]
		refused, all = refused+s.refused[team], all+total
		text += fmt.Sprintf(", %s %.0f/%.0f", team, s.refused[team], total)
	}
	return refused / max(1, all), fmt.Sprintf("%.4f%%%s", 100*refused/max(1, all), text)
}

// traffic offers the same requests to a simulated fleet and to a static equal division of the limits, the baseline. All
// requests are within the limits: they are the Poisson arrivals that a single bucket for the whole fleet admits.
type traffic struct {
	*simulation
	lending, equalDivision *divisionScheme
	offeredBuckets         map[string]budget.Bucket
	equalBuckets           map[string]budget.Bucket
	// weights returns the weight of each host in the distribution of the demand.
	weights func(host int) float64
}

func newTraffic(seed uint64) *traffic {
	tr := &traffic{
		simulation: newSimulation(seed, map[string]budget.Limits{
			"large": {Rate: 900, Burst: 900}, "medium": {Rate: 100, Burst: 50}, "tiny": {Rate: 2, Burst: 3},
		}),
		offeredBuckets: map[string]budget.Bucket{}, equalBuckets: map[string]budget.Bucket{},
		lending: &divisionScheme{waiting: map[string][]request{}}, equalDivision: &divisionScheme{waiting: map[string][]request{}},
	}
	// Round trips take 1.5 ms between failure domains and 55 ms between regions.
	tr.latency = func(from, to string) time.Duration {
		if from[0] == to[0] {
			return 750 * time.Microsecond
		}
		return 27500 * time.Microsecond
	}
	for i := range fleetSize {
		tr.start(host(i), 1)
	}
	for name, l := range tr.limits {
		tr.offeredBuckets[name] = l.EqualDivision(1, 0)
		for i := range fleetSize {
			tr.equalBuckets[name+host(i)] = l.EqualDivision(fleetSize, 0)
		}
	}
	return tr
}

func host(i int) string { return fmt.Sprintf("%c-%d", 'a'+i%3, i) }

// run resets the counts and offers demand for d.
func (tr *traffic) run(d time.Duration) {
	for _, s := range []*divisionScheme{tr.lending, tr.equalDivision} {
		s.served, s.refused = map[string]float64{}, map[string]float64{}
	}
	const step = 5 * time.Millisecond
	for end := tr.now + d; tr.now < end; {
		tr.step(step)
		total := 0.0
		for i := range fleetSize + 1 {
			if tr.hosts[host(i)] != nil {
				total += tr.weights(i)
			}
		}
		for i := range fleetSize + 1 {
			id := host(i)
			if tr.hosts[id] == nil {
				continue
			}
			for _, team := range sortedKeys(tr.limits) {
				for range tr.poisson(load * tr.limits[team].Rate * step.Seconds() * tr.weights(i) / total) {
					tr.arrive(id, team)
				}
			}
			tr.serveHost(tr.hosts[id])
		}
	}
}

func (tr *traffic) poisson(mean float64) (n int) {
	for p := tr.rng.Float64(); p > math.Exp(-mean); p *= tr.rng.Float64() {
		n++
	}
	return n
}

func (tr *traffic) arrive(id, team string) {
	b, ok := tr.offeredBuckets[team].Take(tr.now, 1)
	if tr.offeredBuckets[team] = b; !ok {
		return
	}
	lim := (*tr.hosts[id].node.limiters.Load())[team]
	lim.attemptedCost++
	lim.waitingCost++
	for _, s := range []*divisionScheme{tr.lending, tr.equalDivision} {
		s.waiting[id] = append(s.waiting[id], request{team, tr.now + maxSimulatedWait})
	}
}

// serveHost lets both schemes serve the requests that wait at a host.
func (tr *traffic) serveHost(h *simHost) {
	now, cells := h.clock(tr.simulation), *h.node.limiters.Load()
	short := tr.lending.serve(tr.now, h.id, func(team string) bool {
		return cells[team].takeTokens(now, 1, h.node.leaseValid(now))
	}, func(team string) { cells[team].waitingCost-- })
	if short {
		h.node.updateLoans(now)
		tr.queueOutgoing(h)
	}
	tr.equalDivision.serve(tr.now, h.id, func(team string) (ok bool) {
		tr.equalBuckets[team+h.id], ok = tr.equalBuckets[team+h.id].Take(tr.now, 1)
		return ok
	}, func(string) {})
}

func demandOnlyAt(hosts ...int) func(int) float64 {
	return func(i int) float64 {
		for _, h := range hosts {
			if h == i {
				return 1
			}
		}
		return 1e-9
	}
}

// Guards against refusals of requests that are within rate and burst: at most 0.1% in steady state for any distribution of
// the demand, and 1% in the 5 s after a change. After a host's death in an outage of the store the bound is the share of the
// dead host. VANILLATALLY_OUTAGE is the length of the outage in seconds; 3600 was measured as well.
// VANILLATALLY_STEADY is the length of the runs in steady state.
func TestRefusalsWithinRate(t *testing.T) {
	outage := time.Duration(environmentNumber("VANILLATALLY_OUTAGE", 20)) * time.Second
	steady := time.Duration(environmentNumber("VANILLATALLY_STEADY", 20)) * time.Second
	zipf := func(i int) float64 { return 1 / float64(i+1) }
	down := func(tr *traffic) { tr.store.SetFaults(store.Faults{Down: true}) }
	kill := func(tr *traffic) { delete(tr.hosts, host(4)) }
	for _, c := range []struct {
		name    string
		weights func(int) float64
		event   func(*traffic)
		during  time.Duration
		bound   float64
	}{
		{"steady, even", func(int) float64 { return 1 }, nil, steady, 0.001},
		{"steady, all on one host", demandOnlyAt(0), nil, steady, 0.001},
		{"steady, two hosts of one region", demandOnlyAt(0, 3), nil, steady, 0.001},
		{"steady, zipf", zipf, nil, steady, 0.001},
		{"host dies, even", func(int) float64 { return 1 }, kill, 5 * time.Second, 0.01},
		{"host dies, all on another", demandOnlyAt(0), kill, 5 * time.Second, 0.01},
		{"host joins", zipf, func(tr *traffic) { tr.start(host(fleetSize), 1) }, 5 * time.Second, 0.01},
		{"demand moves at once", demandOnlyAt(0), func(tr *traffic) { tr.weights = demandOnlyAt(7) }, 5 * time.Second, 0.01},
		{"store outage, all on one host", demandOnlyAt(0), down, outage, 0.001},
		{"store outage, demand moves", demandOnlyAt(0), func(tr *traffic) {
			down(tr)
			tr.weights = demandOnlyAt(7)
		}, 5 * time.Second, 0.01},
		{"host dies in an outage", zipf, func(tr *traffic) { down(tr); kill(tr) }, 20 * time.Second, 8.0 / 64},
	} {
		t.Run(c.name, func(t *testing.T) {
			tr := newTraffic(1)
			tr.weights = c.weights
			tr.run(10 * time.Second)
			if c.event != nil {
				c.event(tr)
			}
			tr.run(c.during)
			refused, text := tr.lending.refusedFraction(sortedKeys(tr.limits))
			_, baseline := tr.equalDivision.refusedFraction(sortedKeys(tr.limits))
			t.Logf("%s: refused %s; baseline %s", c.name, text, baseline)
			if refused > c.bound {
				t.Errorf("%.4f%% of the requests within the limits were refused, want at most %.1f%%", refused*100, c.bound*100)
			}
		})
	}
}
