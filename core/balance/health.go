// Package balance chooses the backend server for a request.
package balance

import (
	"math"
	"slices"
	"time"
)

// Health is what this host saw of one backend server on one route. It is an immutable value.
type Health struct {
	// SuccessRate is the smoothed part of requests that succeeded, in [0, 1]; it is meaningful from Samples 1 on.
	SuccessRate float64
	// Latency is the smoothed latency. It rises faster than it falls, so that a slow server is noticed at once.
	Latency time.Duration
	// Samples counts results up to maxSamples.
	Samples int
	// ConsecutiveFailures counts failures in a row.
	ConsecutiveFailures int
	// UpdatedAt is the time of the last result.
	UpdatedAt time.Duration
	// EjectedUntil is the end of the current ejection, 0 when there is none.
	EjectedUntil time.Duration
	// Ejections counts recent ejections, each of which lasts twice as long as the one before.
	Ejections int
}

const (
	maxSamples = 1000
	// successWeight makes few results decide, since a server that fails fast looks idle and draws traffic.
	successWeight = 0.3
	riseWeight    = 0.4
	fallWeight    = 0.1
	// latencyHalfLife lets an avoided server be tried again, since its latency is measured only when it is used.
	latencyHalfLife = 5 * time.Second
	// minLatency keeps scores comparable when a server answers at once.
	minLatency = 50 * time.Microsecond

	failuresInARow = 5
	minSamples     = 10
	// slowFactor times the median latency of the pool makes a server an outlier.
	slowFactor   = 5
	baseEjection = 2 * time.Second
	maxEjection  = time.Minute
	// MaxEjectedShare is the largest part of a pool that outlier ejection removes.
	MaxEjectedShare = 0.3
)

// WithResult returns the health after one more result. The latency of a failure is not counted, since failing is often fast.
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

// WithLatency returns the health after a wait that was neither a success nor a failure, such as on a silent connection:
// the server is avoided for a while but does not count as failing.
func (h Health) WithLatency(now, latency time.Duration) Health {
	weight := fallWeight
	if latency > h.Latency {
		weight = riseWeight
	}
	h.Latency += time.Duration(float64(latency-h.Latency) * weight)
	h.UpdatedAt = now
	return h
}

// EffectiveLatency is the latency with the decay of an old measurement.
func (h Health) EffectiveLatency(now time.Duration) time.Duration {
	latency := h.Latency
	if idle := now - h.UpdatedAt; idle > 100*time.Millisecond {
		latency = time.Duration(float64(latency) * math.Exp2(-float64(idle)/float64(latencyHalfLife)))
	}
	return max(latency, minLatency)
}

// Outlier reports whether the server fails or is slow compared with the pool's median latency.
func (h Health) Outlier(median time.Duration) bool {
	if h.ConsecutiveFailures >= failuresInARow {
		return true
	}
	if h.Samples < minSamples {
		return false
	}
	return h.SuccessRate < 0.5 || median > 0 && h.Latency > slowFactor*max(median, time.Millisecond)
}

// Ejected reports whether outlier ejection is in force.
func (h Health) Ejected(now time.Duration) bool { return now < h.EjectedUntil }

// WithEjection returns the health with an ejection that starts now. The statistics start afresh after it.
func (h Health) WithEjection(now time.Duration) Health {
	if now-h.EjectedUntil > maxEjection {
		h.Ejections = 0
	}
	length := min(baseEjection<<min(h.Ejections, 5), maxEjection)
	return Health{EjectedUntil: now + length, Ejections: h.Ejections + 1, UpdatedAt: now}
}

// MayEject reports whether one more of size servers can be ejected when ejected are already.
func MayEject(ejected, size int) bool { return float64(ejected+1) <= MaxEjectedShare*float64(size) }

// Median returns the middle of latencies, which it sorts; 0 when there are none.
func Median(latencies []time.Duration) time.Duration {
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[len(latencies)/2]
}
