package entry

import (
	"sync"
	"time"

	"vanillatally/core/admission"
)

// queuePressures holds the pressure of each service of the configuration.
type queuePressures struct {
	mu      sync.Mutex
	entries map[string]admission.Pressure
}

// decide takes in a request and decides about it.
func (p *queuePressures) decide(now time.Duration, service string, r admission.Request) (admission.Decision, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pressure := p.entries[service].WithRequest(now, r.LateFromQueueing())
	p.entries[service] = pressure
	return admission.Decide(pressure, r)
}
