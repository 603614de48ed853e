package moves

import (
	"math"
	"math/bits"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"vanillatally/core/rollout"
)

const (
	// oldShards is the number of counter sets of the old version. It gets most of the traffic, and with several sets fewer
	// goroutines write to the same cache line.
	oldShards = 8
	// latencyBuckets is the number of buckets of the latency histogram: 4 for each power of two of microseconds.
	latencyBuckets = 128
	// minOldRequests is the minimum decayed number of the old version's requests for an estimate of their 90th percentile.
	minOldRequests = 50
	// decayFactor is applied once a second and halves the weight of older requests in 10 s, so that both versions are
	// compared over the same time.
	decayFactor = 0.933
)

// versionCounters counts the requests of one version on one route. The padding gives each set a cache line of its own.
type versionCounters struct {
	requests, failed, latencySamples, slow atomic.Uint32
	_                                      [48]byte
}

// routeCounters counts the requests of one route for one move, without locks. For a shift, the old version stands for the
// source and the new one for the destination.
type routeCounters struct {
	old [oldShards]versionCounters
	new [rollout.MaxServers]versionCounters
	// slowThreshold is the latency in nanoseconds above which a request is slow, or 0 before it is known.
	slowThreshold atomic.Int64
	// latencies is the histogram of the old version's latencies since the last call of takeCounts.
	latencies [latencyBuckets]atomic.Uint32
	// decayedLatencies is the exponentially decayed histogram. Only takeCounts uses it.
	decayedLatencies [latencyBuckets]float64
}

func newRouteCounters() *routeCounters { return &routeCounters{} }

// observe counts one finished request of the new version (isNew) or the old one.
func (c *routeCounters) observe(o *rollout.Observation, isNew bool) {
	hash := xxhash.Sum64String(o.Server)
	counters := &c.old[hash%oldShards]
	if isNew {
		counters = &c.new[hash%rollout.MaxServers]
	} else if !o.Failed {
		c.latencies[latencyBucket(o.Latency)].Add(1)
	}
	counters.requests.Add(1)
	if o.Failed {
		counters.failed.Add(1)
		return
	}
	if threshold := c.slowThreshold.Load(); threshold > 0 {
		counters.latencySamples.Add(1)
		if int64(o.Latency) > threshold {
			counters.slow.Add(1)
		}
	}
}

// latencyBucket returns the index of the histogram bucket for a latency.
func latencyBucket(latency time.Duration) int {
	us := uint64(max(latency.Microseconds(), 4))
	power := bits.Len64(us) - 1
	return min(4*power+int(us>>(power-2)&3), latencyBuckets-1)
}

// bucketUpperBound returns the latency at which a histogram bucket ends.
func bucketUpperBound(bucket int) time.Duration {
	power := bucket / 4
	return time.Duration(math.Ldexp(1+float64(bucket%4+1)/4, power)) * time.Microsecond
}

// takeCounts returns the counts and resets them.
func (c *versionCounters) takeCounts() rollout.Counts {
	return rollout.Counts{
		Requests: c.requests.Swap(0), Failed: c.failed.Swap(0), LatencySamples: c.latencySamples.Swap(0), Slow: c.slow.Swap(0),
	}
}

// takeCounts returns the counts since the last call and updates the latency threshold. found reports whether there were
// any requests.
func (c *routeCounters) takeCounts() (counts rollout.RouteCounts, found bool) {
	for i := range c.old {
		counts.Old = counts.Old.Plus(c.old[i].takeCounts())
	}
	for i := range c.new {
		if taken := c.new[i].takeCounts(); taken.Requests > 0 {
			if counts.New == nil {
				counts.New = map[uint8]rollout.Counts{}
			}
			counts.New[uint8(i)] = taken
		}
	}
	c.updateSlowThreshold()
	return counts, counts.Old.Requests > 0 || counts.New != nil
}

// updateSlowThreshold sets the latency threshold from the 90th percentile of the old version's latencies.
func (c *routeCounters) updateSlowThreshold() {
	total := 0.0
	for i := range c.decayedLatencies {
		c.decayedLatencies[i] = c.decayedLatencies[i]*decayFactor + float64(c.latencies[i].Swap(0))
		total += c.decayedLatencies[i]
	}
	if total < minOldRequests {
		// The last threshold is kept, since the old version may have no traffic left.
		return
	}
	for i, sum := 0, 0.0; i < latencyBuckets; i++ {
		if sum += c.decayedLatencies[i]; sum >= 0.9*total {
			c.slowThreshold.Store(int64(rollout.SlowThreshold(bucketUpperBound(i))))
			return
		}
	}
}
