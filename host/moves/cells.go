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
	// buckets of the latency histogram: 4 for each power of two of microseconds.
	buckets = 128
	// minOld is the old version's fading requests below which its 90th percentile is not known.
	minOld = 50
	// fading halves the histogram's weight in 10 s, so that both versions are compared over the same time.
	fading = 0.933
)

// counters are one version's requests on one route; each set has cache lines of its own.
type counters struct {
	n, failed, timed, slow atomic.Uint32
	_                      [48]byte
}

// cells count the evidence of one move on one route without locks.
type cells struct {
	old [oldShards]counters
	new [rollout.MaxServers]counters
	// slowAbove is the latency above which a request is slow, 0 while it is not known.
	slowAbove atomic.Int64
	// latencies counts the old version's requests by bucket since the last batch.
	latencies [buckets]atomic.Uint32
	// faded is the same over the last seconds; only the collecting loop uses it.
	faded [buckets]float64
}

func newCells() *cells { return &cells{} }

func (c *cells) observe(o *rollout.Observation, isNew bool) {
	hash := xxhash.Sum64String(o.Server)
	set := &c.old[hash%oldShards]
	if isNew {
		set = &c.new[hash%rollout.MaxServers]
	} else if !o.Failed {
		c.latencies[bucket(o.Latency)].Add(1)
	}
	set.n.Add(1)
	if o.Failed {
		set.failed.Add(1)
		return
	}
	if above := c.slowAbove.Load(); above > 0 {
		set.timed.Add(1)
		if int64(o.Latency) > above {
			set.slow.Add(1)
		}
	}
}

func bucket(latency time.Duration) int {
	us := uint64(max(latency.Microseconds(), 4))
	power := bits.Len64(us) - 1
	return min(4*power+int(us>>(power-2)&3), buckets-1)
}

// upper returns the end of a bucket.
func upper(bucket int) time.Duration {
	power := bucket / 4
	return time.Duration(math.Ldexp(1+float64(bucket%4+1)/4, power)) * time.Microsecond
}

func (c *counters) seal() rollout.Counts {
	return rollout.Counts{Requests: c.n.Swap(0), Failed: c.failed.Swap(0), LatencySamples: c.timed.Swap(0), Slow: c.slow.Swap(0)}
}

// seal returns the counts since the last call and updates the threshold of slow requests.
func (c *cells) seal() (counts rollout.RouteCounts, found bool) {
	for i := range c.old {
		counts.Old = counts.Old.Plus(c.old[i].seal())
	}
	for i := range c.new {
		if sealed := c.new[i].seal(); sealed.Requests > 0 {
			if counts.New == nil {
				counts.New = map[uint8]rollout.Counts{}
			}
			counts.New[uint8(i)] = sealed
		}
	}
	c.threshold()
	return counts, counts.Old.Requests > 0 || counts.New != nil
}

func (c *cells) threshold() {
	total := 0.0
	for i := range c.faded {
		c.faded[i] = c.faded[i]*fading + float64(c.latencies[i].Swap(0))
		total += c.faded[i]
	}
	if total < minOld {
		// The last threshold stays: the old version may have no traffic left.
		return
	}
	for i, sum := 0, 0.0; i < buckets; i++ {
		if sum += c.faded[i]; sum >= 0.9*total {
			c.slowAbove.Store(int64(rollout.SlowThreshold(upper(i))))
			return
		}
	}
}
