// Package balance chooses the backend server for a request by client-side load balancing: power of two choices and other
// policies, with outlier ejection, slow start and locality.
package balance

import (
	"math"
	"slices"
	"time"
)

// Health is what this host measured of one backend server on one route. It is an immutable value.
type Health struct {
	// SuccessRate is the moving average of the share of requests that succeeded, in [0, 1]. It is valid if Samples is above 0.
	SuccessRate float64
	// Latency is the moving average of the latency. It rises faster than it falls, so that a slow server is noticed at once.
	Latency time.Duration
	// Samples counts the results, up to maxSamples.
	Samples int
	// ConsecutiveFailures counts the failures since the last success.
	ConsecutiveFailures int
	// UpdatedAt is the time of the last result.
	UpdatedAt time.Duration
	// EjectedUntil is the end of the current ejection, 0 when there is none.
	EjectedUntil time.Duration
	// Ejections counts the recent ejections; each one lasts twice as long as the one before.
	Ejections int
}

const (
	maxSamples = 1000
	// successWeight is the weight of the newest result. It is high, since a server that fails fast looks idle and draws traffic.
	successWeight = 0.3
	// riseWeight and fallWeight are the weights of the newest latency when it is above and below the average.
	riseWeight = 0.4
	fallWeight = 0.1
	// latencyHalfLife is the half-life with which an old measurement decays. A server that is avoided for its latency gets no
	// new measurements and would never be tried again.
	latencyHalfLife = 5 * time.Second
	// minLatency is the lowest latency that counts, so that servers with very fast responses are still compared by their load.
	minLatency = 50 * time.Microsecond

	// A server is an outlier after this many consecutive failures. With at least minOutlierSamples results, it is one too if
	// most requests fail, or if its latency exceeds outlierLatencyFactor times the median of its pool.
	outlierConsecutiveFailures = 5
	minOutlierSamples          = 10
	outlierLatencyFactor       = 5
	baseEjection               = 2 * time.Second
	maxEjection                = time.Minute
	// MaxEjectedShare is the largest share of a pool that outlier ejection removes.
	MaxEjectedShare = 0.3
)

// WithResult returns the health after one more result. The latency of failures is not counted, since failing is often fast.
func (h Health) WithResult(now time.Duration, failed bool, latency time.Duration) Health {
	value := 1.0
	if failed {
		value = 0
	}
	if h.Samples == 0 {
		h.SuccessRate = 1
		if !failed {
			h.Latency = latency
		}
	}
	h.SuccessRate += (value - h.SuccessRate) * successWeight
	if failed {
		h.ConsecutiveFailures++
	} else {
		h.ConsecutiveFailures = 0
		h = h.WithLatency(now, latency)
	}
	h.Samples = min(h.Samples+1, maxSamples)
	h.UpdatedAt = now
	return h
}

// WithLatency returns the health after a wait that was neither a success nor a failure, such as for a connection without a
// response: the server is avoided for a while but does not count as failing.
func (h Health) WithLatency(now, latency time.Duration) Health {
	weight := fallWeight
	if latency > h.Latency {
		weight = riseWeight
	}
	h.Latency += time.Duration(float64(latency-h.Latency) * weight)
	h.UpdatedAt = now
	return h
}

// EffectiveLatency returns the latency, decayed by the age of the last measurement.
func (h Health) EffectiveLatency(now time.Duration) time.Duration {
	latency := h.Latency
	if idle := now - h.UpdatedAt; idle > 100*time.Millisecond {
		latency = time.Duration(float64(latency) * math.Exp2(-float64(idle)/float64(latencyHalfLife)))
	}
	return max(latency, minLatency)
}

// Outlier reports whether the server fails, or is slow compared with the median latency of its pool.
func (h Health) Outlier(median time.Duration) bool {
	if h.ConsecutiveFailures >= outlierConsecutiveFailures {
		return true
	}
	if h.Samples < minOutlierSamples {
		return false
	}
	return h.SuccessRate < 0.5 || median > 0 && h.Latency > outlierLatencyFactor*max(median, time.Millisecond)
}

// Ejected reports whether the server is ejected at the time now.
func (h Health) Ejected(now time.Duration) bool { return now < h.EjectedUntil }

// WithEjection returns the health with an ejection that starts now. The statistics are reset.
func (h Health) WithEjection(now time.Duration) Health {
	if now-h.EjectedUntil > maxEjection {
		h.Ejections = 0
	}
	length := min(baseEjection<<min(h.Ejections, 5), maxEjection)
	return Health{EjectedUntil: now + length, Ejections: h.Ejections + 1, UpdatedAt: now}
}

// MayEject reports whether one more server of a pool of the given size may be ejected when some are ejected already.
func MayEject(ejected, size int) bool { return float64(ejected+1) <= MaxEjectedShare*float64(size) }

// Median returns the median of latencies, which it sorts, or 0 if there are none.
func Median(latencies []time.Duration) time.Duration {
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[len(latencies)/2]
}
