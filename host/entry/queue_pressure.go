package entry

import (
	"sync"
	"time"

	"vanillatally/core/admission"
)

// queuePressures holds the queue pressure of each service of the configuration: the smoothed fraction of its requests that
// queues would make late.
type queuePressures struct {
	mu      sync.Mutex
	entries map[string]admission.Pressure
}

// decide updates the pressure of the service with the request, and decides whether the request is admitted. The duration is
// the time after which a refused caller may retry.
func (p *queuePressures) decide(now time.Duration, service string, r admission.Request) (admission.Decision, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pressure := p.entries[service].WithRequest(now, r.LateFromQueueing())
	p.entries[service] = pressure
	return admission.Decide(pressure, r)
}
