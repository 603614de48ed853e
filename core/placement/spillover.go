package placement

import "time"

// Spillover is the part of a region's objects that have their home away, because the region's servers are too few for its
// callers. It is an immutable value; the zero value keeps all objects near.
type Spillover struct {
	// Share is in [0, maxSpill].
	Share float64
	// load is the smoothed load for each slot of the near servers.
	load float64
	at   time.Duration
}

const (
	maxSpill = 0.9
	// spillRate is the part of the objects that moves in a second. It keeps the part of a region's requests that changes
	// its region within a few seconds small, and the cold runs that a move costs.
	spillRate = 0.03
	// spillAbove and returnBelow are the loads of near servers beyond which objects move.
	spillAbove  = 0.85
	returnBelow = 0.45
	// loadMemory is the time constant of the smoothed load.
	loadMemory = time.Second
	// maxLoadAge bounds the time that one measurement stands for.
	maxLoadAge = 500 * time.Millisecond
)

// NewSpillover returns the spill at the start, when no load was measured: callers are taken to be spread evenly over regions
// regions, and the near servers to have slots of all.
func NewSpillover(now time.Duration, near, all float64, regions int) Spillover {
	if all <= 0 || regions < 1 {
		return Spillover{at: now}
	}
	return Spillover{Share: min(max(0, 1-near/all*float64(regions)), maxSpill), at: now}
}

// WithLoad returns the spill after a measurement of the requests for each slot of the near and the other servers.
func (s Spillover) WithLoad(now time.Duration, near, away float64) Spillover {
	age := min(now-s.at, maxLoadAge)
	s.at = now
	part := float64(age) / float64(loadMemory)
	s.load += (near - s.load) * min(part, 1)
	step := spillRate * age.Seconds()
	switch {
	case s.load > spillAbove && away < s.load:
		s.Share = min(s.Share+step, maxSpill)
	case s.load < returnBelow:
		s.Share = max(s.Share-step, 0)
	}
	return s
}

// HomeRemote reports whether the object has its home away.
func (s Spillover) HomeRemote(object uint64) bool {
	const buckets = 1 << 16
	return float64(RendezvousWeight(object, buckets)%buckets) < s.Share*buckets
}
