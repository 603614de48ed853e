package entry

import (
	"sync"
	"time"

	"vanillatally/core/config"
	"vanillatally/core/pace"
)

const (
	// warmObjectiveFraction and coldObjectiveFraction of a route's latency objective are its service times until some are
	// measured.
	warmObjectiveFraction = 0.5
	coldObjectiveFraction = 1.4
	// serviceTimeWeight is the weight of one measurement in the moving averages of service times.
	serviceTimeWeight = 0.1
	// warmColdThreshold is the point between the warm (0) and the cold (1) service time below which a measurement counts as
	// warm.
	warmColdThreshold = 0.45
)

// routeServiceTimes holds the measured service times of a route at one service. A run is warm if the server had the data of
// the request's affinity key cached, and cold otherwise.
type routeServiceTimes struct {
	mu         sync.Mutex
	warm, cold float64
	// service is shared by all routes of the service.
	service *meanServiceTime
}

// meanServiceTime is the mean service time of a service's requests on all routes. It estimates how long a request waits for
// those queued before it.
type meanServiceTime struct {
	mu   sync.Mutex
	mean float64
}

func (t *meanServiceTime) value() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(t.mean)
}

func (t *meanServiceTime) observe(serviceTime time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mean += (float64(serviceTime) - t.mean) * serviceTimeWeight
}

func newRouteServiceTimes(route config.Route, service *meanServiceTime) *routeServiceTimes {
	latencyObjective := float64(latencyObjective(route))
	return &routeServiceTimes{
		warm: warmObjectiveFraction * latencyObjective, cold: coldObjectiveFraction * latencyObjective, service: service,
	}
}

// latencyObjective returns the route's latency objective; half of its timeout if it has none.
func latencyObjective(route config.Route) time.Duration {
	if route.Objective > 0 {
		return time.Duration(route.Objective)
	}
	return time.Duration(route.Timeout) / 2
}

// estimates returns the warm and the cold service time of the route and the mean one of the service.
func (t *routeServiceTimes) estimates() (warm, cold, mean time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(t.warm), time.Duration(t.cold), t.service.value()
}

// observe adds a measurement, and returns its ratio to the usual time of a warm or cold run. Requests that are not sticky
// have no cold runs. What the server's pace explains is left out of the measurement; the pace is at least 1.
func (t *routeServiceTimes) observe(sticky bool, serviceTime time.Duration, serverPace float64) (ratio float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	warmRun := !sticky || float64(serviceTime)/serverPace < t.warm+warmColdThreshold*(t.cold-t.warm)
	usual := t.cold
	if warmRun {
		usual = t.warm
	}
	measured := pace.Normalize(float64(serviceTime), usual, serverPace)
	t.service.observe(time.Duration(measured))
	if !sticky {
		ratio = measured / t.warm
		t.warm += (measured - t.warm) * serviceTimeWeight
		t.cold = t.warm
		return ratio
	}
	if warmRun {
		ratio = measured / t.warm
		t.warm += (measured - t.warm) * serviceTimeWeight
		return ratio
	}
	ratio = measured / t.cold
	t.cold += (min(measured, 2*t.cold) - t.cold) * serviceTimeWeight
	return ratio
}

// serviceTimes holds the service times by route and service. Those of routes that left the configuration are removed.
type serviceTimes struct {
	mu      sync.Mutex
	entries map[routeServiceKey]*routeServiceTimes
	// services holds the mean of each service that had a request.
	services map[string]*meanServiceTime
}

type routeServiceKey struct{ route, service string }

// forRoute returns the service times of the route at the service, which it creates for the first request.
func (t *serviceTimes) forRoute(routeName, service string, route config.Route) *routeServiceTimes {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := routeServiceKey{routeName, service}
	times := t.entries[key]
	if times == nil {
		shared := t.services[service]
		if shared == nil {
			shared = &meanServiceTime{mean: float64(latencyObjective(route))}
			t.services[service] = shared
		}
		times = newRouteServiceTimes(route, shared)
		t.entries[key] = times
	}
	return times
}

// prune removes routes that the configuration no longer has.
func (t *serviceTimes) prune(c *config.Configuration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key := range t.entries {
		if _, ok := c.Routes[key.route]; !ok {
			delete(t.entries, key)
		}
	}
}
