// Package placement chooses the backend server for a request from what is known about the load of the servers, their
// distance, and which of them handled the request's object lately. It answers loads at which cold work would need more
// slots than there are: an object stays at its home in the region of its callers, or at one home elsewhere, and leaves
// them only when the wait there costs more than the distance or the cold run elsewhere.
package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Candidate is the state of one backend server at the time of a choice.
type Candidate struct {
	// RendezvousWeight orders the servers of a region for the request's object; the highest is the object's home.
	RendezvousWeight uint64
	// Local servers are in this host's region, whose callers come here.
	Local bool
	// RoundTripTime is the round trip to the server.
	RoundTripTime time.Duration
	// Slots is the number of requests that the server runs at once, at least 1.
	Slots int
	// Outstanding estimates the requests that run or wait at the server, those of other hosts included.
	Outstanding float64
	// Warm is set when this host knows that the server handled the object lately.
	Warm bool
	// RelativeServiceTime is the server's service time over that of its peers, 1 when it is as fast.
	RelativeServiceTime float64
	// SuccessRate is the smoothed part of requests that succeeded, in (0, 1].
	SuccessRate float64
	// Excluded servers are never chosen.
	Excluded bool
}

// Request is what one choice is about.
type Request struct {
	// Sticky requests run faster at a server that handled their object lately.
	Sticky bool
	// HomeRemote is set when the object has its home outside this host's region.
	HomeRemote bool
	// WarmServiceTime and ColdServiceTime are the service times with and without the object at hand; MeanServiceTime is that of the requests that run now.
	WarmServiceTime, ColdServiceTime, MeanServiceTime time.Duration
	// Random is uniform in [0, 1); it breaks ties between servers that look alike.
	Random func() float64
}

// Choice is the outcome of Choose.
type Choice struct {
	// Index is that of the chosen candidate, or -1 when every candidate is excluded.
	Index int
	// ExpectedLatency is the time until the response, QueueWait the part of it in the server's queue.
	ExpectedLatency, QueueWait time.Duration
	// Queued is set when all slots of the server are expected to be taken.
	Queued bool
	// KnownWarm is set when this host sent the object to the server lately, or the request has none.
	KnownWarm bool
	// spent is what the slot time of a cold run costs the requests of others.
	spent time.Duration
}

const (
	// crowding is the part of a mean service time by which a full server without a queue is expected to delay a request,
	// because other hosts send there too.
	crowding = 0.3
	// otherChance is the probability that an object is at hand at that of its two homes that is not in use.
	otherChance = 0.3
	// coldCost is the cost of the slot time that a cold run takes beyond a warm one, as a part of that time.
	coldCost = 3.5
	// minSuccess keeps the penalty of a failing server finite.
	minSuccess = 0.05
	// tieBreak is the largest random part of a service time.
	tieBreak = 0.05
)

// RendezvousWeight is the weight of a server for an object in rendezvous hashing.
func RendezvousWeight(object, server uint64) uint64 {
	x := object ^ server*0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

// Hash identifies an object or a server.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// Choose returns the candidate with the least expected time until a successful response.
func Choose(r Request, candidates []Candidate) Choice {
	homes := findHomes(candidates)
	best, bestCost := Choice{Index: -1}, time.Duration(0)
	for i := range candidates {
		c := &candidates[i]
		if c.Excluded {
			continue
		}
		option := c.expect(r, homes.chance(r, c, i))
		option.Index, option.KnownWarm = i, !r.Sticky || c.Warm
		cost := time.Duration(float64(option.ExpectedLatency+option.spent)/max(c.SuccessRate, minSuccess)) + time.Duration(tieBreak*r.Random()*float64(r.WarmServiceTime))
		if best.Index < 0 || cost < bestCost {
			best, bestCost = option, cost
		}
	}
	return best
}

// homes are the candidates at which an object stays, as indexes or -1: near is in this host's region, away is not.
type homes struct{ near, away int }

// chance is the probability that candidate i has the request's object at hand.
func (h homes) chance(r Request, c *Candidate, i int) float64 {
	switch {
	case !r.Sticky || c.Warm:
		return 1
	case i == h.near && !r.HomeRemote, i == h.away && (r.HomeRemote || h.near < 0):
		return 1
	case i == h.away, i == h.near:
		return otherChance
	}
	return 0
}

// expect estimates the time that a request takes at the candidate when its object is at hand with the given probability.
func (c *Candidate) expect(r Request, warm float64) Choice {
	serve := time.Duration(warm*float64(r.WarmServiceTime) + (1-warm)*float64(r.ColdServiceTime))
	slots := float64(max(c.Slots, 1))
	load := c.Outstanding / slots
	wait := crowding * load * load
	if ahead := c.Outstanding + 1 - slots; ahead > 0 {
		wait += ahead / slots
	}
	slowness := max(c.RelativeServiceTime, 0.1)
	spent := time.Duration(coldCost * (1 - warm) * float64(r.ColdServiceTime-r.WarmServiceTime))
	delay := time.Duration(wait * slowness * float64(r.MeanServiceTime))
	return Choice{ExpectedLatency: c.RoundTripTime + delay + time.Duration(slowness*float64(serve)), QueueWait: delay, Queued: c.Outstanding+1 > slots, spent: spent}
}

// packed is the number of servers with a free slot that Pack leaves.
const packed = 2

// Pack excludes all but the first servers of a version on trial, so that its few requests meet the load that they will
// have when the version gets all of them. The servers are packed in the order of the candidates, which is the same at
// every host; a full server does not count.
func Pack(candidates []Candidate) {
	free := 0
	for i := range candidates {
		c := &candidates[i]
		if c.Excluded {
			continue
		}
		c.Excluded = free == packed
		if !c.Excluded && c.Outstanding+1 <= float64(c.Slots) {
			free++
		}
	}
}

// findHomes returns the candidates that rendezvous hashing makes the object's homes.
func findHomes(candidates []Candidate) homes {
	found := homes{near: -1, away: -1}
	for i := range candidates {
		c := &candidates[i]
		if c.Excluded {
			continue
		}
		home := &found.away
		if c.Local {
			home = &found.near
		}
		if *home < 0 || c.RendezvousWeight > candidates[*home].RendezvousWeight {
			*home = i
		}
	}
	return found
}
