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
	// oldShards spreads the counters of the old version, which has most of the traffic.
	oldShards = 8
	// latencyBuckets of the latency histogram: 4 for each power of two of microseconds.
	latencyBuckets = 128
	// minOldRequests is the old version's fading requests below which its 90th percentile is not known.
	minOldRequests = 50
	// decayFactor halves the histogram's weight in 10 s, so that both versions are compared over the same time.
	decayFactor = 0.933
)

// versionCounters are one version's requests on one route; each set has cache lines of its own.
type versionCounters struct {
	n, failed, timed, slow atomic.Uint32
	_                      [48]byte
}

// routeCounters count the evidence of one move on one route without locks.
type routeCounters struct {
	old [oldShards]versionCounters
	new [rollout.MaxServers]versionCounters
	// slowThreshold is the latency above which a request is slow, 0 while it is not known.
	slowThreshold atomic.Int64
	// latencies counts the old version's requests by bucket since the last batch.
	latencies [latencyBuckets]atomic.Uint32
	// decayedLatencies is the same over the last seconds; only the collecting loop uses it.
	decayedLatencies [latencyBuckets]float64
}

func newRouteCounters() *routeCounters { return &routeCounters{} }

func (c *routeCounters) observe(o *rollout.Observation, isNew bool) {
	hash := xxhash.Sum64String(o.Server)
	set := &c.old[hash%oldShards]
	if isNew {
		set = &c.new[hash%rollout.MaxServers]
	} else if !o.Failed {
		c.latencies[latencyBucket(o.Latency)].Add(1)
	}
	set.n.Add(1)
	if o.Failed {
		set.failed.Add(1)
		return
	}
	if above := c.slowThreshold.Load(); above > 0 {
		set.timed.Add(1)
		if int64(o.Latency) > above {
			set.slow.Add(1)
		}
	}
}

func latencyBucket(latency time.Duration) int {
	us := uint64(max(latency.Microseconds(), 4))
	power := bits.Len64(us) - 1
	return min(4*power+int(us>>(power-2)&3), latencyBuckets-1)
}

// bucketUpperBound returns the end of a bucket.
func bucketUpperBound(bucket int) time.Duration {
	power := bucket / 4
	return time.Duration(math.Ldexp(1+float64(bucket%4+1)/4, power)) * time.Microsecond
}

func (c *versionCounters) takeCounts() rollout.Counts {
	return rollout.Counts{Requests: c.n.Swap(0), Failed: c.failed.Swap(0), LatencySamples: c.timed.Swap(0), Slow: c.slow.Swap(0)}
}

// takeCounts returns the counts since the last call and updates the threshold of slow requests.
func (c *routeCounters) takeCounts() (counts rollout.RouteCounts, found bool) {
	for i := range c.old {
		counts.Old = counts.Old.Plus(c.old[i].takeCounts())
	}
	for i := range c.new {
		if sealed := c.new[i].takeCounts(); sealed.Requests > 0 {
			if counts.New == nil {
				counts.New = map[uint8]rollout.Counts{}
			}
			counts.New[uint8(i)] = sealed
		}
	}
	c.updateSlowThreshold()
	return counts, counts.Old.Requests > 0 || counts.New != nil
}

func (c *routeCounters) updateSlowThreshold() {
	total := 0.0
	for i := range c.decayedLatencies {
		c.decayedLatencies[i] = c.decayedLatencies[i]*decayFactor + float64(c.latencies[i].Swap(0))
		total += c.decayedLatencies[i]
	}
	if total < minOldRequests {
		// The last threshold stays: the old version may have no traffic left.
		return
	}
	for i, sum := 0, 0.0; i < latencyBuckets; i++ {
		if sum += c.decayedLatencies[i]; sum >= 0.9*total {
			c.slowThreshold.Store(int64(rollout.SlowThreshold(bucketUpperBound(i))))
			return
		}
	}
}
