package entry

import (
	"sync"

	"vanillatally/core/config"
)

// trafficSplits distributes the requests of routes over weighted services by smooth weighted round robin, so that even a few
// requests in a row have the configured proportions.
type trafficSplits struct {
	mu sync.Mutex
	// credits holds, for each service of a route, the number of requests that its weight entitles it to minus the number
	// that it got. It is cleared when the configuration changes.
	credits map[splitKey]float64
}

type splitKey struct{ route, service string }

// pickService returns the service for the next request of the route.
func (t *trafficSplits) pickService(routeName string, route config.Route) string {
	if len(route.Split) == 0 {
		return route.Service
	}
	total := 0.0
	for _, part := range route.Split {
		total += part.Weight
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	best := route.Split[0].Service
	for _, part := range route.Split {
		key := splitKey{routeName, part.Service}
		t.credits[key] += part.Weight / total
		if t.credits[key] > t.credits[splitKey{routeName, best}] {
			best = part.Service
		}
	}
	t.credits[splitKey{routeName, best}]--
	return best
}

// reset clears the credits after a change of the configuration.
func (t *trafficSplits) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.credits)
}
