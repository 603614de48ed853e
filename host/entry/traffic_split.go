package entry

import (
	"sync"

	"vanillatally/core/config"
)

// trafficSplits distributes requests over the trafficSplits of weighted splits, in the exact proportions over any few requests.
type trafficSplits struct {
	mu sync.Mutex
	// credits holds, for each route and part, the requests that the part is owed; it is emptied with each configuration.
	credits map[splitKey]float64
}

type splitKey struct{ route, service string }

// pickService returns the service for the next request of a route.
func (p *trafficSplits) pickService(name string, route config.Route) string {
	if len(route.Split) == 0 {
		return route.Service
	}
	total := 0.0
	for _, part := range route.Split {
		total += part.Weight
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	best := route.Split[0].Service
	for _, part := range route.Split {
		key := splitKey{name, part.Service}
		p.credits[key] += part.Weight / total
		if p.credits[key] > p.credits[splitKey{name, best}] {
			best = part.Service
		}
	}
	p.credits[splitKey{name, best}]--
	return best
}

// reset forgets the parts of an earlier configuration.
func (p *trafficSplits) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.credits)
}
