package entry

import (
	"sync"
	"time"
)

const (
	// defaultIntraRegionRTT and defaultInterRegionRTT are the round-trip times inside a region and between regions until
	// some are measured.
	defaultIntraRegionRTT = time.Millisecond
	defaultInterRegionRTT = 100 * time.Millisecond
	// maxRTT is the largest accepted measurement: a lost packet delays a connection by a second.
	maxRTT = 500 * time.Millisecond
	// rttWeight is the weight of one measurement in the moving average.
	rttWeight = 0.1
)

// regionRTTs holds the round-trip time to each region of the settings.
type regionRTTs struct {
	ownRegion string
	mu        sync.Mutex
	entries   map[string]time.Duration
}

func (r *regionRTTs) rtt(region string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rtt, ok := r.entries[region]; ok {
		return rtt
	}
	if region == r.ownRegion {
		return defaultIntraRegionRTT
	}
	return defaultInterRegionRTT
}

// observe updates the round-trip time to the region with the time that a new connection took.
func (r *regionRTTs) observe(region string, elapsed time.Duration) {
	if elapsed > maxRTT {
		return
	}
	previous := r.rtt(region)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries[region] = previous + time.Duration(rttWeight*float64(elapsed-previous))
}
