// Package admission decides whether a request is worth sending when servers are busy. It answers loads above the
// capacity of a service: when each request waits until it is late, the same work earns little, so that requests are
// refused while those that are accepted can still be in time.
package admission

import (
	"math"
	"time"
)

// Request is what one decision is about.
type Request struct {
	// ExpectedLatency is the time until the response, QueueWait the part of it in a server's queue.
	ExpectedLatency, QueueWait time.Duration
	// TimeLeft is the time until the caller gives up, LatencyObjective the time in which the response is fully useful.
	TimeLeft, LatencyObjective time.Duration
	// Elapsed is the time that the caller has spent already.
	Elapsed time.Duration
}

// Pressure is the smoothed part of a service's requests that its queues would make late. It is an immutable value; the
// zero value has seen nothing.
type Pressure struct {
	part float64
	at   time.Duration
}

const (
	// pressureMemory is the time constant of the smoothing. Queues of a shorter burst are worked off late.
	pressureMemory = 2 * time.Second
	// highPressure is the part above which the queues stand: what they make late is refused.
	highPressure = 0.4
)

// WithRequest returns the pressure after a request that is late by the queues or not.
func (p Pressure) WithRequest(now time.Duration, late bool) Pressure {
	value := 0.0
	if late {
		value = 1
	}
	weight := 1 - math.Exp(-float64(now-p.at)/float64(pressureMemory))
	return Pressure{part: p.part + (value-p.part)*weight, at: now}
}

// High reports whether the queues stand.
func (p Pressure) High() bool { return p.part > highPressure }

// LateFromQueueing reports whether the queue alone makes the request late.
func (r Request) LateFromQueueing() bool { return r.QueueWait > r.allowed() }

// allowed is the time that the request may wait.
func (r Request) allowed() time.Duration {
	alone := r.ExpectedLatency - r.QueueWait
	return max(r.LatencyObjective-r.Elapsed-alone, time.Duration(lateWait*float64(alone)))
}

// Decision is the outcome of Decide.
type Decision string

// The verdicts.
const (
	Accept Decision = "accept"
	// DeadlineUnreachable: no server can answer before the caller gives up.
	DeadlineUnreachable Decision = "deadline-unreachable"
	// Overloaded: the response would be late because others wait already.
	Overloaded Decision = "overloaded"
)

const (
	// leftMargin is the part of the caller's time that is used, since estimates err.
	leftMargin = 0.85
	// lateWait is the part of its own time that a request may wait when it is late in any case. Such requests yield to
	// those that can still be in time.
	lateWait = 0.35
)

// Decide returns whether the request is accepted. wait is how long the caller should stay away otherwise.
func Decide(p Pressure, r Request) (verdict Decision, wait time.Duration) {
	switch {
	case float64(r.ExpectedLatency) > leftMargin*float64(r.TimeLeft):
		return DeadlineUnreachable, r.QueueWait
	case r.LateFromQueueing() && p.High():
		return Overloaded, r.QueueWait - r.allowed()
	}
	return Accept, 0
}
