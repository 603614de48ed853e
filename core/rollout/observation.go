// Package rollout implements canary releases: it decides when a service's traffic moves on to a new version step by step,
// and when the version is rolled back, from sequential tests that compare its failures and latency with the old version's.
package rollout

import "time"

// Observation is the outcome of one finished request, for comparing the versions.
type Observation struct {
	Service string
	Version string
	Route   string
	// Server is the backend server that handled the request.
	Server string
	Failed bool
	// Latency is the time that the backend server took, without the time in the queues of the host.
	Latency time.Duration
}
