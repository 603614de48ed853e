package placement

import "time"

// Spillover is the share of a region's objects that have their home in other regions because the region has too few servers
// for its callers. It is an immutable value; the zero value keeps all objects local.
type Spillover struct {
	// Share is in [0, maxSpillover].
	Share float64
	// load is the moving average of the requests per slot of the local servers.
	load float64
	at   time.Duration
}

const (
	maxSpillover = 0.9
	// spilloverRate is the share of the objects that may move in a second. It is small since each move costs cold runs, and so
	// that few of a region's requests change their region within a few seconds.
	spilloverRate = 0.03
	// Objects move to other regions while the local load is above spillAboveLoad, and back while it is below returnBelowLoad.
	spillAboveLoad  = 0.85
	returnBelowLoad = 0.45
	// loadTimeConstant is the time constant of the moving average of the load.
	loadTimeConstant = time.Second
	// maxLoadAge bounds the time for which one measurement counts.
	maxLoadAge = 500 * time.Millisecond
)

// NewSpillover returns the spillover before any load was measured. It assumes that callers are spread evenly over the given
// number of regions, and that the local servers have localSlots of allSlots slots.
func NewSpillover(now time.Duration, localSlots, allSlots float64, regions int) Spillover {
	if allSlots <= 0 || regions < 1 {
		return Spillover{at: now}
	}
	return Spillover{Share: min(max(0, 1-localSlots/allSlots*float64(regions)), maxSpillover), at: now}
}

// WithLoad returns the spillover after a measurement of the requests per slot at the local and at the remote servers.
func (s Spillover) WithLoad(now time.Duration, local, remote float64) Spillover {
	age := min(now-s.at, maxLoadAge)
	s.at = now
	part := float64(age) / float64(loadTimeConstant)
	s.load += (local - s.load) * min(part, 1)
	step := spilloverRate * age.Seconds()
	switch {
	case s.load > spillAboveLoad && remote < s.load:
		s.Share = min(s.Share+step, maxSpillover)
	case s.load < returnBelowLoad:
		s.Share = max(s.Share-step, 0)
	}
	return s
}

// HomeRemote reports whether the object has its home in another region.
func (s Spillover) HomeRemote(object uint64) bool {
	const buckets = 1 << 16
	return float64(RendezvousWeight(object, buckets)%buckets) < s.Share*buckets
}
