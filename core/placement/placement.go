// Package placement chooses the backend server for a request from the servers' load, their round-trip time, and which of them
// handled the request's object recently. An object is the data that requests with the same affinity key need; a server that
// has it cached runs them faster (warm) than another one (cold).
//
// When a service is near its capacity, it can't run every request cold. An object therefore has one home server, chosen by
// rendezvous hashing weighted with the servers' slots, in the region of its callers or in the other regions. Its requests go
// elsewhere only if the wait at the home costs more than the distance or the cold run.
package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Candidate is the state of a backend server at the time of a choice.
type Candidate struct {
	// RendezvousWeight is the server's weight for the request's object before it is scaled with its slots. Among servers with
	// equal slots, the one with the highest weight is the object's home.
	RendezvousWeight uint64
	// Local is set for servers in this host's region.
	Local bool
	// RoundTripTime is the network round-trip time to the server.
	RoundTripTime time.Duration
	// Slots is the number of requests that the server runs at once, at least 1.
	Slots int
	// Outstanding estimates the requests that run or wait at the server, including those of other hosts.
	Outstanding float64
	// Warm is set when this host knows that the server handled the object recently.
	Warm bool
	// RelativeServiceTime is the server's service time divided by that of its peers; above 1 for a slow server.
	RelativeServiceTime float64
	// SuccessRate is the moving average of the share of requests that succeeded, in (0, 1].
	SuccessRate float64
	// Excluded servers are never chosen.
	Excluded bool
}

// Request is the request for which a server is chosen.
type Request struct {
	// Sticky is set when the request runs faster at a server that handled its object recently.
	Sticky bool
	// HomeRemote is set when the object's home is outside this host's region.
	HomeRemote bool
	// WarmServiceTime and ColdServiceTime are the service times with and without the object cached. MeanServiceTime is that of
	// the requests that run at present.
	WarmServiceTime, ColdServiceTime, MeanServiceTime time.Duration
	// Random returns uniform numbers in [0, 1); they break ties between equal servers.
	Random func() float64
}

// Choice is the outcome of Choose.
type Choice struct {
	// Index is that of the chosen candidate, or -1 when every candidate is excluded.
	Index int
	// ExpectedLatency is the time until the response; QueueWait is the part of it that is spent in the server's queue.
	ExpectedLatency, QueueWait time.Duration
	// Queued is set when all slots of the server are expected to be in use.
	Queued bool
	// KnownWarm is set when this host sent the object to the server recently, or the request isn't sticky.
	KnownWarm bool
	// coldPenalty is the cost to other requests of the additional slot time that a cold run takes.
	coldPenalty time.Duration
}

const (
	// contentionDelay is the delay, as a part of the mean service time, that is expected at a server whose slots are all used
	// but that has no queue, because other hosts send requests there too.
	contentionDelay = 0.3
	// An object may have a home in this region and one outside, of which one is in use. otherHomeHitRate is the probability
	// that the other one has the object cached.
	otherHomeHitRate = 0.3
	// coldCost is the penalty of a cold run, as a multiple of the slot time that it takes beyond a warm one.
	coldCost = 3.5
	// minSuccess keeps the cost of a failing server finite.
	minSuccess = 0.05
	// maxTieBreak bounds the random part of the cost, as a part of the warm service time.
	maxTieBreak = 0.05
)

// RendezvousWeight returns the weight of a server for an object in rendezvous hashing. It is uniformly distributed.
func RendezvousWeight(object, server uint64) uint64 {
	x := object ^ server*0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

// Hash returns the number by which RendezvousWeight knows an object or a server.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// HashParts returns the result of Hash for the concatenation of head and parts.
func HashParts(head string, parts [][]byte) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	// A Digest returns no errors.
	_, _ = digest.WriteString(head)
	for _, part := range parts {
		_, _ = digest.Write(part)
	}
	return digest.Sum64()
}

// Choose returns the candidate with the least expected time until a successful response.
func Choose(r Request, candidates []Candidate) Choice {
	homes := findHomes(candidates)
	best, bestCost := Choice{Index: -1}, time.Duration(0)
	for i := range candidates {
		c := &candidates[i]
		if c.Excluded {
			continue
		}
		option := c.estimate(r, homes.hitProbability(r, c, i))
		option.Index, option.KnownWarm = i, !r.Sticky || c.Warm
		cost := time.Duration(float64(option.ExpectedLatency+option.coldPenalty)/max(c.SuccessRate, minSuccess)) +
			time.Duration(maxTieBreak*r.Random()*float64(r.WarmServiceTime))
		if best.Index < 0 || cost < bestCost {
			best, bestCost = option, cost
		}
	}
	return best
}

// homes are the indexes of the object's home in this host's region and outside it, or -1.
type homes struct{ local, remote int }

// hitProbability returns the probability that candidate i has the request's object cached.
func (h homes) hitProbability(r Request, c *Candidate, i int) float64 {
	switch {
	case !r.Sticky || c.Warm:
		return 1
	case i == h.local && !r.HomeRemote, i == h.remote && (r.HomeRemote || h.local < 0):
		return 1
	case i == h.remote, i == h.local:
		return otherHomeHitRate
	}
	return 0
}

// estimate returns the expected latency of a request at the candidate; hitRate is the probability that the object is cached
// there.
func (c *Candidate) estimate(r Request, hitRate float64) Choice {
	serve := time.Duration(hitRate*float64(r.WarmServiceTime) + (1-hitRate)*float64(r.ColdServiceTime))
	slots := float64(max(c.Slots, 1))
	load := c.Outstanding / slots
	wait := contentionDelay * load * load
	if ahead := c.Outstanding + 1 - slots; ahead > 0 {
		wait += ahead / slots
	}
	slowness := max(c.RelativeServiceTime, 0.1)
	penalty := time.Duration(coldCost * (1 - hitRate) * float64(r.ColdServiceTime-r.WarmServiceTime))
	delay := time.Duration(wait * slowness * float64(r.MeanServiceTime))
	return Choice{
		ExpectedLatency: c.RoundTripTime + delay + time.Duration(slowness*float64(serve)), QueueWait: delay,
		Queued: c.Outstanding+1 > slots, coldPenalty: penalty,
	}
}

// packedFreeServers is the number of servers with a free slot that Pack leaves.
const packedFreeServers = 2

// Pack excludes all but the first servers of a new version that gets only a small share of the requests. The few requests then
// meet about the load that the servers will have when the version gets all of them, so that faults under load show. The
// order of the candidates has to be the same at every host. A server without a free slot doesn't count.
func Pack(candidates []Candidate) {
	free := 0
	for i := range candidates {
		c := &candidates[i]
		if c.Excluded {
			continue
		}
		c.Excluded = free == packedFreeServers
		if !c.Excluded && c.Outstanding+1 <= float64(c.Slots) {
			free++
		}
	}
}

// findHomes returns the homes of the request's object: in each group, the candidate that ranks first.
func findHomes(candidates []Candidate) homes {
	local, remote := noFirst, noFirst
	for i := range candidates {
		c := &candidates[i]
		if c.Excluded {
			continue
		}
		if c.Local {
			local = local.withServer(i, c.RendezvousWeight, c.Slots)
		} else {
			remote = remote.withServer(i, c.RendezvousWeight, c.Slots)
		}
	}
	return homes{local: local.index, remote: remote.index}
}
