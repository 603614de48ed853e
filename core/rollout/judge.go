package rollout

import (
	"fmt"
	"maps"
	"math"
	"math/bits"
	"slices"
	"time"
)

// The fault sizes that the sequential tests detect or tolerate, and their error probabilities.
const (
	// FalsePositiveProbability bounds the probability that a version within the tolerance is rolled back on the counts
	// summed over all hosts, during the whole rollout and over all its routes. The tests that each host runs on its own
	// counts (LocalJudge) together have the same bound once more.
	FalsePositiveProbability = 0.0005
	// toleratedFailures and toleratedSlow are how far the new version's shares of failed and of slow requests may lie
	// above the old version's without counting as a fault.
	toleratedFailures = 0.003
	toleratedSlow     = 0.05
	// MinDetectableFailures and MinDetectableSlow are the minimum detectable effects: the increases, over the old version,
	// of a route's share of failed requests and of requests slower than SlowThreshold from which a fault is found.
	MinDetectableFailures = 0.05
	MinDetectableSlow     = 0.25
	// maxLogRatioPerBatch bounds the log likelihood ratio of one batch, so that one second with many errors isn't enough to
	// reject the version.
	maxLogRatioPerBatch = 6
	// falsePassProbability bounds the probability that a version with a fault of the size that a step excludes passes it.
	falsePassProbability = 0.001
	// decayPerBatch is the exponential decay of the old version's counts with each batch: a half-life of 10 batches.
	decayPerBatch = 0.933
	// maxRoutes bounds the routes that are tested; further ones are ignored.
	maxRoutes = 64
)

// alternatives are the effect sizes of the mixture of hypotheses: increases over the tolerated share.
var alternatives = [...]float64{0.01, 0.03, 0.1, 0.3, 0.9}

// shareTest is a sequential test on one route: whether the new version's share of failed, or of slow, requests is higher
// than the old version's. A hit is a request that failed, or was slow.
//
// It is a Shiryaev-Roberts change detection test on a mixture of likelihood ratios. Without a fault, the expected value of
// the statistic after n batches is at most n, so that it reaches A within N batches with a probability of at most N/A.
type shareTest struct {
	// statistic holds the Shiryaev-Roberts statistic for each alternative, at least 0.
	statistic [len(alternatives)]float64
	// passLogRatio is the log likelihood ratio of "as good as the old version" against a fault of the excluded size, from
	// the requests since the step began.
	passLogRatio float64
	// oldTotal and oldHits are the old version's exponentially decaying counts.
	oldTotal, oldHits float64
	// outlierScores holds the exponentially decaying sum of each server's log likelihood ratios. The server with the highest
	// one is excluded from the evidence against the version.
	outlierScores [MaxServers]float64
	// serversSeen is a bit set of the servers that have finished requests.
	serversSeen uint32
}

// Judge compares a new version with the old one: for each route it holds sequential tests of the failures and of the
// latency. It is an immutable value: Add returns a new one.
type Judge struct {
	// threshold is the value of a test statistic, for a single route, from which the version counts as worse.
	threshold float64
	routes    map[string]routeTests
}

type routeTests struct {
	failures, slow shareTest
	// requests counts the new version's requests since the step began.
	requests uint64
	// allRequests counts the requests of both versions since the rollout started.
	allRequests uint64
}

// NewJudge returns a judge without data that will get at most the given number of batches. FalsePositiveProbability is
// divided by testCount, the number of judges that decide independently.
func NewJudge(batches int, testCount int) Judge {
	const testsPerRoute = 2
	return Judge{
		threshold: float64(max(batches, 1)) * testsPerRoute * float64(max(testCount, 1)) / FalsePositiveProbability,
		routes:    map[string]routeTests{},
	}
}

// NextStep returns the judge for the next step of the rollout. The new step has to be passed with new requests; the
// evidence against the version is kept.
func (j Judge) NextStep() Judge {
	routes := maps.Clone(j.routes)
	for route, v := range routes {
		v.failures.passLogRatio, v.slow.passLogRatio, v.requests = 0, 0, 0
		routes[route] = v
	}
	j.routes = routes
	return j
}

// Add returns the judge with one more batch. excluded is the fault size that the current step has to rule out.
func (j Judge) Add(batch Batch, excluded EffectSize) Judge {
	routes := maps.Clone(j.routes)
	for _, route := range slices.Sorted(maps.Keys(batch)) {
		v, known := routes[route]
		if !known && len(routes) >= maxRoutes {
			continue
		}
		counts := batch[route]
		failures, slow := make([]serverSample, 0, len(counts.New)), make([]serverSample, 0, len(counts.New))
		for _, server := range slices.Sorted(maps.Keys(counts.New)) {
			c := counts.New[server]
			failures = append(failures, serverSample{server: server % MaxServers, total: float64(c.Requests), hits: float64(c.Failed)})
			slow = append(slow, serverSample{server: server % MaxServers, total: float64(c.LatencySamples), hits: float64(c.Slow)})
			v.requests += uint64(c.Requests)
			v.allRequests += uint64(c.Requests)
		}
		v.allRequests += uint64(counts.Old.Requests)
		v.failures = v.failures.add(
			float64(counts.Old.Requests), float64(counts.Old.Failed), failures, toleratedFailures, excluded.Failures,
		)
		v.slow = v.slow.add(
			float64(counts.Old.LatencySamples), float64(counts.Old.Slow), slow, toleratedSlow, excluded.Slow,
		)
		routes[route] = v
	}
	j.routes = routes
	return j
}

// EffectSize is the size of a fault: by how much the shares of failed and of slow requests exceed the old version's.
type EffectSize struct {
	Failures, Slow float64
}

// serverSample holds one server's hits among its requests in a batch.
type serverSample struct {
	server      uint8
	total, hits float64
}

// allowedShare returns the share of hits that the new version may have: the old version's over the same time, plus two
// standard errors and the tolerance. If the old version's share in the newest batch alone is higher, that one is used, so
// that a sudden fault of both versions doesn't count against the new one.
func (s shareTest) allowedShare(n, hits, tolerated float64) float64 {
	share := s.oldHits / max(s.oldTotal, 1)
	share += 2 * math.Sqrt(share*(1-share)/max(s.oldTotal, 1))
	if hits > 0 {
		// With a denominator below 10, a single hit of the old version among few requests would excuse any fault.
		share = max(share, hits/max(n, 10))
	}
	return min(share+tolerated, 0.98)
}

// add returns the test with one more batch: the old version's hits among oldN requests, and the new version's samples.
func (s shareTest) add(oldN, oldHits float64, samples []serverSample, tolerated, excluded float64) shareTest {
	s.oldTotal, s.oldHits = s.oldTotal*decayPerBatch+oldN, s.oldHits*decayPerBatch+oldHits
	if s.oldTotal > 0 && oldN == 0 {
		// Without new traffic the old version's counts don't decay: they are all that is left to compare with.
		s.oldTotal, s.oldHits = s.oldTotal/decayPerBatch, s.oldHits/decayPerBatch
	}
	base := s.allowedShare(oldN, oldHits, tolerated)
	outlier := s.pickOutlier(samples, base)
	for i, increase := range alternatives {
		ratio := newLogLikelihoodRatio(min(base+increase, 0.99), base)
		total, outlierEvidence := 0.0, 0.0
		for _, sample := range samples {
			log := ratio.total(sample)
			total += log
			if int(sample.server) == outlier {
				outlierEvidence += log
			}
		}
		if outlierEvidence > 0 {
			total -= outlierEvidence
		}
		s.statistic[i] = (1 + s.statistic[i]) * math.Exp(min(total, maxLogRatioPerBatch))
	}
	excludedRatio := newLogLikelihoodRatio(min(base+excluded, 0.99), base)
	for _, sample := range samples {
		if int(sample.server) == outlier && excludedRatio.total(sample) > 0 {
			continue
		}
		s.passLogRatio = min(s.passLogRatio-excludedRatio.total(sample), 2*passThreshold)
	}
	return s
}

// pickOutlier returns the server to exclude, or -1 while fewer than two servers have finished requests, and updates the
// outlier scores. The choice uses the scores of earlier batches only: with the newest batch included, the servers of a
// faulty version would be excluded one after the other.
func (s *shareTest) pickOutlier(samples []serverSample, base float64) int {
	outlier := 0
	for server, score := range s.outlierScores {
		if score > s.outlierScores[outlier] {
			outlier = server
		}
	}
	ratio := newLogLikelihoodRatio(min(base+0.3, 0.99), base)
	for _, sample := range samples {
		if sample.total > 0 {
			s.serversSeen |= 1 << sample.server
			s.outlierScores[sample.server] = max(0, s.outlierScores[sample.server]*decayPerBatch+ratio.total(sample))
		}
	}
	if bits.OnesCount32(s.serversSeen) < 2 {
		return -1
	}
	return outlier
}

// logLikelihoodRatio holds the log likelihood ratio of two hit probabilities p and q for one hit and for one miss.
type logLikelihoodRatio struct{ hit, miss float64 }

func newLogLikelihoodRatio(p, q float64) logLikelihoodRatio {
	return logLikelihoodRatio{hit: math.Log(p / q), miss: math.Log((1 - p) / (1 - q))}
}

// total returns the log likelihood ratio of all requests of a sample.
func (r logLikelihoodRatio) total(s serverSample) float64 {
	return s.hits*r.hit + (s.total-s.hits)*r.miss
}

// passThreshold is the log likelihood ratio from which a test passes a step.
var passThreshold = math.Log(1 / falsePassProbability)

// mixture returns the test statistic: the mean over all alternatives.
func (s shareTest) mixture() (sum float64) {
	for _, statistic := range s.statistic {
		sum += statistic
	}
	return sum / float64(len(s.statistic))
}

// Regression reports whether the new version is significantly worse than the old one on any route, and why.
func (j Judge) Regression() (reason string, bad bool) {
	threshold := j.threshold * float64(max(len(j.routes), 1))
	for _, route := range slices.Sorted(maps.Keys(j.routes)) {
		v := j.routes[route]
		for _, test := range []struct {
			metric string
			shareTest
		}{{"failures", v.failures}, {"latency", v.slow}} {
			if m := test.mixture(); m >= threshold {
				return fmt.Sprintf("%s on route %s: evidence %.3g of %.3g", test.metric, route, m, threshold), true
			}
		}
	}
	return "", false
}

// UndecidedRoutes returns the routes with traffic whose tests haven't passed the current step; the step is passed when
// there are none. traffic reports whether any route had requests since the rollout started.
func (j Judge) UndecidedRoutes() (routes []string, traffic bool) {
	for _, route := range slices.Sorted(maps.Keys(j.routes)) {
		v := j.routes[route]
		traffic = traffic || v.allRequests > 0
		if v.allRequests > 0 && (v.failures.passLogRatio < passThreshold || v.slow.passLogRatio < passThreshold) {
			routes = append(routes, route)
		}
	}
	return routes, traffic
}

// RoutesWithUndecidedFailures returns the routes on which the new version had requests in the current step and whose
// failure test hasn't passed it.
func (j Judge) RoutesWithUndecidedFailures() (routes []string) {
	for _, route := range slices.Sorted(maps.Keys(j.routes)) {
		if v := j.routes[route]; v.requests > 0 && v.failures.passLogRatio < passThreshold {
			routes = append(routes, route)
		}
	}
	return routes
}

// Evidence returns, for operators, each route's requests since the step began and its test statistics.
func (j Judge) Evidence() map[string]RouteEvidence {
	described := make(map[string]RouteEvidence, len(j.routes))
	for route, v := range j.routes {
		described[route] = RouteEvidence{
			Requests: v.requests, Failures: v.failures.mixture(), Latency: v.slow.mixture(),
			Threshold: j.threshold * float64(len(j.routes)),
			Passed:    v.failures.passLogRatio >= passThreshold && v.slow.passLogRatio >= passThreshold,
		}
	}
	return described
}

// RouteEvidence is the state of one route's tests.
type RouteEvidence struct {
	Requests uint64 `json:"requests"`
	// Failures and Latency are test statistics. The version counts as worse when one of them reaches Threshold.
	Failures  float64 `json:"failures"`
	Latency   float64 `json:"latency"`
	Threshold float64 `json:"threshold"`
	Passed    bool    `json:"passed"`
}

// BatchInterval is the time that one Batch covers.
const BatchInterval = time.Second
