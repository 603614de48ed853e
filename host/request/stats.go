package request

import (
	"math"
	"sync"
	"time"
)

// peakHalfLife is how fast the longest recent latency is forgotten.
const peakHalfLife = 30 * time.Second

// routeStats is what this host saw of one route of a service over all its servers.
type routeStats struct {
	mu      sync.Mutex
	mean    time.Duration
	peak    time.Duration
	peakAt  time.Duration
	samples int
	// consecutiveTimeouts counts attempts that ended in silence since the last response.
	consecutiveTimeouts int
}

// addResponse counts the latency of one response.
func (r *routeStats) addResponse(now, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples++
	r.consecutiveTimeouts = 0
	if r.samples == 1 {
		r.mean = latency
	}
	r.mean += (latency - r.mean) / 16
	r.raisePeak(now, latency)
}

func (r *routeStats) raisePeak(now, latency time.Duration) {
	if decayed := r.decayedPeak(now); latency > decayed {
		r.peak, r.peakAt = latency, now
	}
}

func (r *routeStats) decayedPeak(now time.Duration) time.Duration {
	return time.Duration(float64(r.peak) * math.Exp2(-float64(now-r.peakAt)/float64(peakHalfLife)))
}

// typicalLatency returns the smoothed latency, 0 before there are enough samples.
func (r *routeStats) typicalLatency() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.samples < 16 {
		return 0
	}
	return r.mean
}

// addTimeout notes that a connection counted as addTimeout.
func (r *routeStats) addTimeout() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.consecutiveTimeouts++
}

// inactivityTimeout returns the time without progress after which a connection counts as silent: the floor,
// or four times the longest recent latency of the route.
func (r *routeStats) inactivityTimeout(now, minimum time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	limit := max(minimum, 4*r.decayedPeak(now))
	// After two silences in a row the route may be slow rather than its connections silent, so that the limit
	// doubles until a response shows how long the route takes.
	return limit << min(max(r.consecutiveTimeouts-1, 0), 8)
}

// statsOf returns the statistics of a route.
func (p *pool) statsOf(route string) *routeStats {
	if s, ok := p.stats.Load(route); ok {
		return s.(*routeStats)
	}
	s, _ := p.stats.LoadOrStore(route, &routeStats{})
	return s.(*routeStats)
}
