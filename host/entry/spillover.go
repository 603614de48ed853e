package entry

import (
	"sync"
	"time"

	"vanillatally/core/placement"
)

// spilloverInterval is the time between two updates of a service's spillover.
const spilloverInterval = 100 * time.Millisecond

// spillovers holds, for each service, the share of affinity keys whose home is in another region because the servers of this
// host's region are overloaded.
type spillovers struct {
	mu      sync.Mutex
	entries map[string]serviceSpillover
}

type serviceSpillover struct {
	placement.Spillover
	updatedAt time.Duration
}

// update returns the service's spillover, which it updates from the load of the servers if the last update is old enough.
func (p *spillovers) update(now time.Duration, service string, servers []*server) placement.Spillover {
	p.mu.Lock()
	defer p.mu.Unlock()
	spillover, exists := p.entries[service]
	if exists && now-spillover.updatedAt < spilloverInterval {
		return spillover.Spillover
	}
	var near, away, nearSlots, awaySlots float64
	regions := map[string]bool{}
	for _, s := range servers {
		regions[s.Region] = true
		s.mu.Lock()
		outstanding := s.outstanding(now)
		s.mu.Unlock()
		if s.sameRegion {
			near, nearSlots = near+outstanding, nearSlots+float64(s.Slots)
		} else {
			away, awaySlots = away+outstanding, awaySlots+float64(s.Slots)
		}
	}
	if !exists {
		spillover.Spillover = placement.NewSpillover(now, nearSlots, nearSlots+awaySlots, len(regions))
	}
	spillover.updatedAt = now
	spillover.Spillover = spillover.WithLoad(now, near/max(nearSlots, 1), away/max(awaySlots, 1))
	p.entries[service] = spillover
	return spillover.Spillover
}
