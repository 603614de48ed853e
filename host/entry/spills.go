package entry

import (
	"sync"
	"time"

	"vanillatally/core/placement"
)

// spillEvery is how often the load of a service is looked at.
const spillEvery = 100 * time.Millisecond

// spills holds the part of the objects that have their home outside this host's region, by service.
type spills struct {
	mu  sync.Mutex
	all map[string]serviceSpill
}

type serviceSpill struct {
	placement.Spillover
	at time.Duration
}

// update returns the service's spill after a look at its servers.
func (p *spills) update(now time.Duration, service string, servers []*server) placement.Spillover {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, begun := p.all[service]
	if begun && now-known.at < spillEvery {
		return known.Spillover
	}
	var near, away, nearSlots, awaySlots float64
	regions := map[string]bool{}
	for _, s := range servers {
		regions[s.Region] = true
		s.mu.Lock()
		outstanding := s.outstanding(now)
		s.mu.Unlock()
		if s.near {
			near, nearSlots = near+outstanding, nearSlots+float64(s.Slots)
		} else {
			away, awaySlots = away+outstanding, awaySlots+float64(s.Slots)
		}
	}
	if !begun {
		known.Spillover = placement.NewSpillover(now, nearSlots, nearSlots+awaySlots, len(regions))
	}
	known.at = now
	known.Spillover = known.WithLoad(now, near/max(nearSlots, 1), away/max(awaySlots, 1))
	p.all[service] = known
	return known.Spillover
}
