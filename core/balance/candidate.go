package balance

import (
	"math"
	"time"
)

// Tier is the distance of a server: tiers are filled in their order.
type Tier int

// The tiers.
const (
	SameFailureDomain Tier = iota
	SameRegion
	OtherRegion
	tierCount
)

// Candidate is the state of a backend server at the time of a choice.
type Candidate struct {
	Health Health
	Tier   Tier
	// InFlight counts this host's requests at the server; ReportedInFlight counts all requests there, as last reported by the
	// server itself.
	InFlight, ReportedInFlight, Slots int
	// Age is the time since the server was first seen.
	Age time.Duration
	// Down is set after a refused connection, until the server is tried again.
	Down bool
	// ShedUntil is the time until which the server asked to get no requests.
	ShedUntil time.Duration
	// Excluded servers are never chosen, since the request was tried there before, or they are reserved for a request that must
	// run alone.
	Excluded bool
}

// A server that was first seen less than slowStartTime ago gets a part of its full share, from slowStartFloor on.
const (
	slowStartTime  = 30 * time.Second
	slowStartFloor = 0.1
)

// SlowStartFactor returns the part of its full share that a server gets in slow start; age is the time since it was first seen.
func SlowStartFactor(age time.Duration) float64 {
	return min(1, slowStartFloor+(1-slowStartFloor)*float64(age)/float64(slowStartTime))
}

// load is the expected number of requests per slot at the server.
func (c *Candidate) load() float64 {
	return float64(max(c.InFlight, c.ReportedInFlight)) / float64(max(c.Slots, 1))
}

// score is the expected wait at the server, increased for failures and during slow start. Lower is better.
func (c *Candidate) score(now time.Duration) float64 {
	success := 1.0
	if c.Health.Samples > 0 {
		success = max(c.Health.SuccessRate, 0.01)
	}
	wait := (float64(max(c.InFlight, c.ReportedInFlight)) + 1) / float64(max(c.Slots, 1)) * float64(c.Health.EffectiveLatency(now))
	// With the fourth power, a server that fails half of its requests costs 16 times as much.
	return wait / (SlowStartFactor(c.Age) * math.Pow(success, 4))
}

// healthy reports whether the server may get requests: it is not down, ejected or shedding load.
func (c *Candidate) healthy(now time.Duration) bool {
	return !c.Down && !c.Health.Ejected(now) && now >= c.ShedUntil
}
