// Package admission implements load shedding: it decides whether a request is worth sending while servers are busy. Above the
// capacity of a service, queues grow until every response is late and of little use. The package refuses the requests that
// the queues would make late, so that the accepted ones can meet their latency objective.
package admission

import (
	"math"
	"time"
)

// Request is the input of a decision.
type Request struct {
	// ExpectedLatency is the time until the response, including QueueWait, the time in a server's queue.
	ExpectedLatency, QueueWait time.Duration
	// TimeLeft is the time until the caller's deadline; LatencyObjective is the latency up to which the response has its full
	// value.
	TimeLeft, LatencyObjective time.Duration
	// Elapsed is the time since the request arrived.
	Elapsed time.Duration
}

// Pressure is the exponentially weighted moving average of the share of a service's requests that its queues would make late.
// It is an immutable value; the zero value has seen no requests.
type Pressure struct {
	lateShare float64
	at        time.Duration
}

const (
	// pressureTimeConstant is the time constant of the average. The queue of a shorter burst is worked off, even if late.
	pressureTimeConstant = 2 * time.Second
	// overloadPressure is the share above which the service counts as overloaded: requests that its queues make late are refused.
	overloadPressure = 0.4
)

// WithRequest returns the pressure after one more request; late is set if the queues make it late.
func (p Pressure) WithRequest(now time.Duration, late bool) Pressure {
	value := 0.0
	if late {
		value = 1
	}
	weight := 1 - math.Exp(-float64(now-p.at)/float64(pressureTimeConstant))
	return Pressure{lateShare: p.lateShare + (value-p.lateShare)*weight, at: now}
}

// High reports whether the service is overloaded rather than in a short burst.
func (p Pressure) High() bool { return p.lateShare > overloadPressure }

// LateFromQueueing reports whether the response is late because of the queue.
func (r Request) LateFromQueueing() bool { return r.QueueWait > r.allowedWait() }

// allowedWait is the time that the request may spend in the queue.
func (r Request) allowedWait() time.Duration {
	unqueued := r.ExpectedLatency - r.QueueWait
	return max(r.LatencyObjective-r.Elapsed-unqueued, time.Duration(maxRelativeWait*float64(unqueued)))
}

// Decision is the outcome of Decide.
type Decision string

// The decisions.
const (
	Accept Decision = "accept"
	// DeadlineUnreachable: no server can respond before the caller's deadline.
	DeadlineUnreachable Decision = "deadline-unreachable"
	// Overloaded: the service is overloaded, and its queues would make the response late.
	Overloaded Decision = "overloaded"
)

const (
	// usableTimeFraction is the fraction of the time left until the caller's deadline that the expected latency may take, since
	// the latter is an estimate.
	usableTimeFraction = 0.85
	// maxRelativeWait is how long a request that misses its objective in any case may wait, as a fraction of its latency
	// without the queue. Requests that can still meet their objective go first.
	maxRelativeWait = 0.35
)

// Decide decides about a request. If it is refused, wait is how long the caller should wait before a retry.
func Decide(p Pressure, r Request) (decision Decision, wait time.Duration) {
	switch {
	case float64(r.ExpectedLatency) > usableTimeFraction*float64(r.TimeLeft):
		return DeadlineUnreachable, r.QueueWait
	case r.LateFromQueueing() && p.High():
		return Overloaded, r.QueueWait - r.allowedWait()
	}
	return Accept, 0
}
