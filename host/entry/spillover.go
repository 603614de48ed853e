package entry

import (
	"sync"
	"time"

	"vanillatally/core/placement"
)

// spilloverInterval is how often the load of a service is looked at.
const spilloverInterval = 100 * time.Millisecond

// spillovers holds the part of the objects that have their home outside this host's region, by service.
type spillovers struct {
	mu      sync.Mutex
	entries map[string]serviceSpillover
}

type serviceSpillover struct {
	placement.Spillover
	updatedAt time.Duration
}

// update returns the service's spill after a look at its servers.
func (p *spillovers) update(now time.Duration, service string, servers []*server) placement.Spillover {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, begun := p.entries[service]
	if begun && now-known.updatedAt < spilloverInterval {
		return known.Spillover
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
	if !begun {
		known.Spillover = placement.NewSpillover(now, nearSlots, nearSlots+awaySlots, len(regions))
	}
	known.updatedAt = now
	known.Spillover = known.WithLoad(now, near/max(nearSlots, 1), away/max(awaySlots, 1))
	p.entries[service] = known
	return known.Spillover
}
