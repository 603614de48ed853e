package entry

import (
	"sync"
	"time"

	"vanillatally/core/config"
)

const (
	// warmObjectiveFraction and coldPart of a route's objective are its service times before any was measured.
	warmObjectiveFraction = 0.5
	coldObjectiveFraction = 1.4
	// serviceTimeWeight is the weight of one measurement of a service time.
	serviceTimeWeight = 0.1
	// warmColdThreshold separates warm from cold runs: the part of the way from the warm to the cold time.
	warmColdThreshold = 0.45
)

// routeServiceTimes holds the measured service times of a route at one service.
type routeServiceTimes struct {
	mu         sync.Mutex
	warm, cold float64
	// service is shared by the routes of a service.
	service *meanServiceTime
}

// meanServiceTime holds the mean service time of the requests of a service, whatever their route: those that wait before
// another request.
type meanServiceTime struct {
	mu   sync.Mutex
	mean float64
}

func (t *meanServiceTime) value() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(t.mean)
}

func (t *meanServiceTime) observe(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mean += (float64(d) - t.mean) * serviceTimeWeight
}

func newRouteServiceTimes(route config.Route, service *meanServiceTime) *routeServiceTimes {
	latencyObjective := float64(latencyObjective(route))
	return &routeServiceTimes{warm: warmObjectiveFraction * latencyObjective, cold: coldObjectiveFraction * latencyObjective, service: service}
}

func latencyObjective(route config.Route) time.Duration {
	if route.Objective > 0 {
		return time.Duration(route.Objective)
	}
	return time.Duration(route.Timeout) / 2
}

// estimates returns the service times.
func (t *routeServiceTimes) estimates() (warm, cold, mean time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(t.warm), time.Duration(t.cold), t.service.value()
}

// observe takes in one service time and returns its ratio to what is usual for a run of its kind.
func (t *routeServiceTimes) observe(sticky bool, d time.Duration) (ratio float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	value := float64(d)
	t.service.observe(d)
	if !sticky {
		ratio = value / t.warm
		t.warm += (value - t.warm) * serviceTimeWeight
		t.cold = t.warm
		return ratio
	}
	if value < t.warm+warmColdThreshold*(t.cold-t.warm) {
		ratio = value / t.warm
		t.warm += (value - t.warm) * serviceTimeWeight
		return ratio
	}
	ratio = value / t.cold
	t.cold += (min(value, 2*t.cold) - t.cold) * serviceTimeWeight
	return ratio
}

// serviceTimes holds the routeTimes by route and service; it is emptied of routes that left the configuration.
type serviceTimes struct {
	mu      sync.Mutex
	entries map[routeServiceKey]*routeServiceTimes
	// services holds an entry for each service of a route that had a request.
	services map[string]*meanServiceTime
}

type routeServiceKey struct{ route, service string }

func (t *serviceTimes) forRoute(name, service string, route config.Route) *routeServiceTimes {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := routeServiceKey{name, service}
	found := t.entries[key]
	if found == nil {
		shared := t.services[service]
		if shared == nil {
			shared = &meanServiceTime{mean: float64(latencyObjective(route))}
			t.services[service] = shared
		}
		found = newRouteServiceTimes(route, shared)
		t.entries[key] = found
	}
	return found
}

// prune forgets routes that the configuration no longer has.
func (t *serviceTimes) prune(c *config.Configuration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key := range t.entries {
		if _, ok := c.Routes[key.route]; !ok {
			delete(t.entries, key)
		}
	}
}
