// Package rollout decides how a service's traffic moves to a new version and when it is taken back.
package rollout

import "time"

// Observation is one finished request, as evidence about the version that ran it.
type Observation struct {
	Service string
	Version string
	Route   string
	// Server is the backend server that ran the request.
	Server string
	Failed bool
	// Latency is the backend server's time, without our own queues.
	Latency time.Duration
}
