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
	// silences counts attempts that ended in silence since the last response.
	silences int
}

// add counts the latency of one response.
func (r *routeStats) add(now, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples++
	r.silences = 0
	if r.samples == 1 {
		r.mean = latency
	}
	r.mean += (latency - r.mean) / 16
	r.raise(now, latency)
}

func (r *routeStats) raise(now, latency time.Duration) {
	if decayed := r.decayed(now); latency > decayed {
		r.peak, r.peakAt = latency, now
	}
}

func (r *routeStats) decayed(now time.Duration) time.Duration {
	return time.Duration(float64(r.peak) * math.Exp2(-float64(now-r.peakAt)/float64(peakHalfLife)))
}

// typical returns the smoothed latency, 0 before there are enough samples.
func (r *routeStats) typical() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.samples < 16 {
		return 0
	}
	return r.mean
}

// silent notes that a connection counted as silent.
func (r *routeStats) silent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silences++
}

// silence returns the time without progress after which a connection counts as silent: the floor,
// or four times the longest recent latency of the route.
func (r *routeStats) silence(now, floor time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	limit := max(floor, 4*r.decayed(now))
	// After two silences in a row the route may be slow rather than its connections silent, so that the limit
	// doubles until a response shows how long the route takes.
	return limit << min(max(r.silences-1, 0), 8)
}

// statsOf returns the statistics of a route.
func (p *pool) statsOf(route string) *routeStats {
	if s, ok := p.stats.Load(route); ok {
		return s.(*routeStats)
	}
	s, _ := p.stats.LoadOrStore(route, &routeStats{})
	return s.(*routeStats)
}
