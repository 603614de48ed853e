package balance

import (
	"math"
	"time"
)

// Tier orders servers by distance.
type Tier int

// The tiers.
const (
	SameFailureDomain Tier = iota
	SameRegion
	OtherRegion
	tierCount
)

// Candidate is the state of one backend server at the time of a choice.
type Candidate struct {
	Health Health
	Tier   Tier
	// InFlight counts this host's requests at the server, ReportedInFlight the requests that the server itself last reported.
	InFlight, ReportedInFlight, Slots int
	// Age is the time since the server was first seen.
	Age time.Duration
	// Down is set after a refused connection until the server is tried again.
	Down bool
	// ShedUntil is the time until which the server asked for no requests.
	ShedUntil time.Duration
	// Excluded servers are never chosen: tried already, or reserved for a request that must run alone.
	Excluded bool
}

// rampTime is how long a server that was just started gets less than its full share.
const (
	rampTime  = 30 * time.Second
	rampFloor = 0.1
)

// SlowStartFactor is the part of its full share that a server of this age gets.
func SlowStartFactor(age time.Duration) float64 {
	return min(1, rampFloor+(1-rampFloor)*float64(age)/float64(rampTime))
}

// load is the expected number of requests at the server for each slot.
func (c *Candidate) load() float64 {
	return float64(max(c.InFlight, c.ReportedInFlight)) / float64(max(c.Slots, 1))
}

// score is lower for a better server: the expected wait, with failures weighted heavily.
func (c *Candidate) score(now time.Duration) float64 {
	success := 1.0
	if c.Health.Samples > 0 {
		success = max(c.Health.SuccessRate, 0.01)
	}
	wait := (float64(max(c.InFlight, c.ReportedInFlight)) + 1) / float64(max(c.Slots, 1)) * float64(c.Health.EffectiveLatency(now))
	// The fourth power makes a server with half of its requests failing 16 times as costly.
	return wait / (SlowStartFactor(c.Age) * math.Pow(success, 4))
}

func (c *Candidate) healthy(now time.Duration) bool {
	return !c.Down && !c.Health.Ejected(now) && now >= c.ShedUntil
}
