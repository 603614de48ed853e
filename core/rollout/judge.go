package rollout

import (
	"fmt"
	"maps"
	"math"
	"math/bits"
	"slices"
	"time"
)

// The size of a fault that the test has to find, and what it tolerates.
const (
	// FalsePositiveProbability bounds the probability that a version that is no worse than the tolerance is rolled back on the
	// sum of all hosts' evidence, over the whole rollout and all its routes. The hosts' own tests share the same again.
	FalsePositiveProbability = 0.0005
	// toleratedFailures and toleratedSlow are added to the old version's shares: no fault within them is looked for.
	toleratedFailures = 0.003
	toleratedSlow     = 0.05
	// MinDetectableFailures and BadSlow are the stated sizes above which a fault is found: this share of a route's requests
	// more than with the old version fails, or takes longer than SlowAbove.
	MinDetectableFailures = 0.05
	MinDetectableSlow     = 0.25
	// maxPerBatch bounds the log likelihood ratio of one batch, so that a burst of one second decides nothing.
	maxPerBatch = 6
	// falsePass bounds the probability that a version of the excluded size passes one step.
	falsePass = 0.001
	// memory is the factor by which the old version's counts fade with each batch: a half-life of 10 batches.
	memory = 0.933
	// maxRoutes bounds the routes that are judged; further ones are ignored.
	maxRoutes = 64
)

// The alternatives of the mixture: shares above the tolerated one.
var alternatives = [...]float64{0.01, 0.03, 0.1, 0.3, 0.9}

// signal is one sequential test of a share (of failures, or of slow requests) on one route.
//
// It is a Shiryaev-Roberts mixture of likelihood ratios. With nothing wrong, the mean of the statistic after n batches
// is at most n, so the probability that it ever reaches A within N batches is at most N/A.
type signal struct {
	// statistic holds the Shiryaev-Roberts statistic for each alternative, at least 0.
	statistic [len(alternatives)]float64
	// passed is the log likelihood ratio of "as good as the old" against the excluded size, since the step began.
	passed float64
	// oldSeen and oldHits are the old version's fading counts.
	oldSeen, oldHits float64
	// suspicion is the fading sum of each machine's log likelihood ratios; the machine with the highest is left out.
	suspicion [MaxServers]float64
	// machines is the set of machines that have served, as bits.
	machines uint32
}

// Judge holds the evidence about a new version. It is an immutable value: Add returns a new one.
type Judge struct {
	// threshold is the statistic at which a version is bad.
	threshold float64
	routes    map[string]verdict
}

// verdict holds the two tests of one route.
type verdict struct {
	failures, slow signal
	// requests counts those of the new version since the step began.
	requests uint64
	// traffic counts those of both versions since the start.
	traffic uint64
}

// NewJudge returns a judge without evidence for at most batches batches. The false alarm rate is shared among
// shares tests with separate evidence.
func NewJudge(batches int, shares int) Judge {
	const signals = 2
	return Judge{threshold: float64(max(batches, 1)) * signals * float64(max(shares, 1)) / FalsePositiveProbability, routes: map[string]verdict{}}
}

// NextStep returns the judge for the next step: what would let it pass starts again, suspicion is kept.
func (j Judge) NextStep() Judge {
	routes := maps.Clone(j.routes)
	for route, v := range routes {
		v.failures.passed, v.slow.passed, v.requests = 0, 0, 0
		routes[route] = v
	}
	j.routes = routes
	return j
}

// Add returns the judge with one more batch. excluded is the size of the fault that the current step has to exclude.
func (j Judge) Add(batch Batch, excluded EffectSize) Judge {
	routes := maps.Clone(j.routes)
	for _, route := range slices.Sorted(maps.Keys(batch)) {
		v, known := routes[route]
		if !known && len(routes) >= maxRoutes {
			continue
		}
		counts := batch[route]
		failures, slow := make([]sample, 0, len(counts.New)), make([]sample, 0, len(counts.New))
		for _, machine := range slices.Sorted(maps.Keys(counts.New)) {
			c := counts.New[machine]
			failures = append(failures, sample{machine: machine % MaxServers, n: float64(c.Requests), hits: float64(c.Failed)})
			slow = append(slow, sample{machine: machine % MaxServers, n: float64(c.LatencySamples), hits: float64(c.Slow)})
			v.requests += uint64(c.Requests)
			v.traffic += uint64(c.Requests)
		}
		v.traffic += uint64(counts.Old.Requests)
		v.failures = v.failures.add(float64(counts.Old.Requests), float64(counts.Old.Failed), failures, toleratedFailures, excluded.Failures)
		v.slow = v.slow.add(float64(counts.Old.LatencySamples), float64(counts.Old.Slow), slow, toleratedSlow, excluded.Slow)
		routes[route] = v
	}
	j.routes = routes
	return j
}

// EffectSize is a size of fault: shares above those of the old version.
type EffectSize struct {
	Failures, Slow float64
}

type sample struct {
	machine uint8
	n, hits float64
}

// base returns the share that the new version may have: the old version's over the same time, with its uncertainty
// and the tolerance. The newest batch counts on its own too, so that a fault of both versions is not held against one.
func (s signal) base(n, hits, tolerated float64) float64 {
	share := s.oldHits / max(s.oldSeen, 1)
	share += 2 * math.Sqrt(share*(1-share)/max(s.oldSeen, 1))
	if hits > 0 {
		// Without the larger denominator a single hit among few requests would excuse everything.
		share = max(share, hits/max(n, 10))
	}
	return min(share+tolerated, 0.98)
}

func (s signal) add(oldN, oldHits float64, samples []sample, tolerated, excluded float64) signal {
	s.oldSeen, s.oldHits = s.oldSeen*memory+oldN, s.oldHits*memory+oldHits
	if s.oldSeen > 0 && oldN == 0 {
		// The old version's share is kept when it has no traffic left to compare with.
		s.oldSeen, s.oldHits = s.oldSeen/memory, s.oldHits/memory
	}
	base := s.base(oldN, oldHits, tolerated)
	worst := s.suspect(samples, base)
	for i, extra := range alternatives {
		worse := newRatio(min(base+extra, 0.99), base)
		total, left := 0.0, 0.0
		for _, one := range samples {
			log := worse.of(one)
			total += log
			if int(one.machine) == worst {
				left += log
			}
		}
		if left > 0 {
			total -= left
		}
		s.statistic[i] = (1 + s.statistic[i]) * math.Exp(min(total, maxPerBatch))
	}
	bad := newRatio(min(base+excluded, 0.99), base)
	for _, one := range samples {
		if int(one.machine) == worst && bad.of(one) > 0 {
			continue
		}
		s.passed = min(s.passed-bad.of(one), 2*passAt)
	}
	return s
}

// suspect returns the machine to leave out, or -1 while one machine has served, and updates the suspicion.
// The choice rests on earlier batches only: with the newest one, each machine of a bad version would be left out in turn.
func (s *signal) suspect(samples []sample, base float64) int {
	worst := 0
	for machine, suspicion := range s.suspicion {
		if suspicion > s.suspicion[worst] {
			worst = machine
		}
	}
	worse := newRatio(min(base+0.3, 0.99), base)
	for _, one := range samples {
		if one.n > 0 {
			s.machines |= 1 << one.machine
			s.suspicion[one.machine] = max(0, s.suspicion[one.machine]*memory+worse.of(one))
		}
	}
	if bits.OnesCount32(s.machines) < 2 {
		return -1
	}
	return worst
}

// ratio is the log likelihood ratio of two shares for one hit and for one miss.
type ratio struct{ hit, miss float64 }

func newRatio(p, q float64) ratio {
	return ratio{hit: math.Log(p / q), miss: math.Log((1 - p) / (1 - q))}
}

func (r ratio) of(s sample) float64 { return s.hits*r.hit + (s.n-s.hits)*r.miss }

var passAt = math.Log(1 / falsePass)

func (s signal) mixture() (sum float64) {
	for _, statistic := range s.statistic {
		sum += statistic
	}
	return sum / float64(len(s.statistic))
}

// Regression tells whether the evidence is established that the version is worse on a route, and says why.
func (j Judge) Regression() (reason string, bad bool) {
	threshold := j.threshold * float64(max(len(j.routes), 1))
	for _, route := range slices.Sorted(maps.Keys(j.routes)) {
		v := j.routes[route]
		for _, test := range []struct {
			what string
			signal
		}{{"failures", v.failures}, {"latency", v.slow}} {
			if m := test.mixture(); m >= threshold {
				return fmt.Sprintf("%s on route %s: evidence %.3g of %.3g", test.what, route, m, threshold), true
			}
		}
	}
	return "", false
}

// UndecidedRoutes names the routes that have not passed the current step; none means that the step is passed.
// The second result tells whether any route had traffic.
func (j Judge) UndecidedRoutes() (routes []string, traffic bool) {
	for _, route := range slices.Sorted(maps.Keys(j.routes)) {
		v := j.routes[route]
		traffic = traffic || v.traffic > 0
		if v.traffic > 0 && (v.failures.passed < passAt || v.slow.passed < passAt) {
			routes = append(routes, route)
		}
	}
	return routes, traffic
}

// RoutesWithUndecidedFailures names the routes with traffic whose failures have not passed.
func (j Judge) RoutesWithUndecidedFailures() (routes []string) {
	for _, route := range slices.Sorted(maps.Keys(j.routes)) {
		if v := j.routes[route]; v.requests > 0 && v.failures.passed < passAt {
			routes = append(routes, route)
		}
	}
	return routes
}

// Evidence describes the judge for operators: each route's requests since the step began and its test statistics.
func (j Judge) Evidence() map[string]RouteEvidence {
	described := make(map[string]RouteEvidence, len(j.routes))
	for route, v := range j.routes {
		described[route] = RouteEvidence{
			Requests: v.requests, Failures: v.failures.mixture(), Latency: v.slow.mixture(),
			Threshold: j.threshold * float64(len(j.routes)), Passed: v.failures.passed >= passAt && v.slow.passed >= passAt,
		}
	}
	return described
}

// RouteEvidence is the state of one route's tests.
type RouteEvidence struct {
	Requests uint64 `json:"requests"`
	// Failures and Latency reach Threshold when the version is bad.
	Failures  float64 `json:"failures"`
	Latency   float64 `json:"latency"`
	Threshold float64 `json:"threshold"`
	Passed    bool    `json:"passed"`
}

// BatchInterval is the time that one batch covers.
const BatchInterval = time.Second
