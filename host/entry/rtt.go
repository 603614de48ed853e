package entry

import (
	"sync"
	"time"
)

const (
	// defaultIntraRegionRTT and farDistance are the round trips inside and between regions before any was measured.
	defaultIntraRegionRTT = time.Millisecond
	defaultInterRegionRTT = 100 * time.Millisecond
	// maxRTT bounds a measurement, since a lost packet delays a connection by a second.
	maxRTT = 500 * time.Millisecond
	// rttWeight is the weight of one measurement.
	rttWeight = 0.1
)

// regionRTTs holds the round trip to each region; it has one entry for each region of the settings.
type regionRTTs struct {
	ownRegion string
	mu        sync.Mutex
	entries   map[string]time.Duration
}

func (d *regionRTTs) rtt(region string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if known, ok := d.entries[region]; ok {
		return known
	}
	if region == d.ownRegion {
		return defaultIntraRegionRTT
	}
	return defaultInterRegionRTT
}

// observe takes in the time that a connection to the region took.
func (d *regionRTTs) observe(region string, took time.Duration) {
	if took > maxRTT {
		return
	}
	before := d.rtt(region)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries[region] = before + time.Duration(rttWeight*float64(took-before))
}
