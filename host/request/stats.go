package request

import (
	"math"
	"sync"
	"time"
)

// peakHalfLife is the half-life of the decaying maximum latency.
const peakHalfLife = 30 * time.Second

// routeStats holds statistics of one route over all servers of its service.
type routeStats struct {
	mu      sync.Mutex
	mean    time.Duration
	peak    time.Duration
	peakAt  time.Duration
	samples int
	// consecutiveTimeouts counts the attempts that ended with an inactivity timeout since the last response.
	consecutiveTimeouts int
}

// addResponse records the latency of a response.
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

// typicalLatency returns the smoothed mean latency, or 0 before 16 responses.
func (r *routeStats) typicalLatency() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.samples < 16 {
		return 0
	}
	return r.mean
}

// addTimeout counts an inactivity timeout.
func (r *routeStats) addTimeout() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.consecutiveTimeouts++
}

// inactivityTimeout returns the inactivity timeout of attempts on the route: four times the decaying maximum latency, at least
// minimum.
func (r *routeStats) inactivityTimeout(now, minimum time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	limit := max(minimum, 4*r.decayedPeak(now))
	// From the second timeout in a row on, the route may be slow rather than its connections unresponsive. Each of these
	// timeouts doubles the limit, until a response shows how long the route takes.
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
