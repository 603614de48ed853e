package entry

import (
	"sync"
	"time"

	"vanillatally/core/admission"
)

// pressures holds the pressure of each service of the configuration.
type pressures struct {
	mu  sync.Mutex
	all map[string]admission.Pressure
}

// decide takes in a request and decides about it.
func (p *pressures) decide(now time.Duration, service string, r admission.Request) (admission.Decision, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pressure := p.all[service].WithRequest(now, r.LateFromQueueing())
	p.all[service] = pressure
	return admission.Decide(pressure, r)
}
