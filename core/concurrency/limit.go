// Package concurrency estimates how many requests of a service a host may have at the backend servers at once, without messages
// between hosts: every response states how many requests wait at its server. The limit rises by steps while servers have room
// and falls by a part of itself while requests queue there, so that hosts with equal demand arrive at equal limits, and a host
// that stops leaves its part to the others within seconds.
package concurrency

import "time"

// Limit is the number of requests that a host may have in flight to the servers of one service. It is an immutable value.
type Limit struct {
	// value is at least minLimit and at most most.
	value, most float64
	// hosts is the number of hosts that share the slots, as far as is known at the start.
	hosts int
	// adapted is set after the first response.
	adapted bool
}

const (
	// minLimit keeps reports coming while all servers are busy.
	minLimit = 4
	// maxPerSlot bounds the limit by the slots of all servers; requests on their way to a distant server use no slot.
	maxPerSlot = 2
	// initialShare is the first limit as a multiple of an equal share of the slots. It is large, since callers are not spread
	// evenly, and a host that has restarted must not refuse requests that the servers have room for.
	initialShare = 4
	// increase and increaseFraction of the limit are added to it after as many responses without a queue as the limit allows
	// requests. The first makes hosts with equal demand arrive at equal limits, the second fills free slots within seconds.
	increase         = 1
	increaseFraction = 0.05
	// decreaseFraction is the fraction of the limit that a response with a queue takes away, divided by the limit: after as many
	// such responses as the limit allows requests, it has fallen by this fraction.
	decreaseFraction = 0.3
	// inUseFraction is the fraction of the limit that must be in use for it to rise.
	inUseFraction = 0.8
)

// New returns the limit of a host before it has seen responses, for servers with the given number of slots, shared by hosts.
func New(slots, hosts int) Limit {
	most := max(minLimit, float64(slots)*maxPerSlot)
	return Limit{
		value: min(max(minLimit, initialShare*float64(slots)/float64(max(hosts, 1))), most), most: most, hosts: hosts,
	}
}

// WithSlots returns the limit after the number of the servers' slots has changed: the limit changes in proportion. Before the
// first response it is the first limit for the new number, since a host that starts learns of the servers one by one.
func (l Limit) WithSlots(slots int) Limit {
	if !l.adapted {
		return New(slots, l.hosts)
	}
	most := max(minLimit, float64(slots)*maxPerSlot)
	l.value, l.most = min(max(l.value*most/l.most, minLimit), most), most
	return l
}

// Response is what a response says of its server.
type Response struct {
	// Wait is how long a request would wait at the server, by the requests that wait there. Allowed is how long it may wait and
	// still be answered within its latency objective.
	Wait, Allowed time.Duration
	// Full is set if the server rejected the request because it has no room.
	Full bool
}

// queues reports whether the queue of the server makes responses late.
func (r Response) queues() bool { return r.Full || r.Wait > r.Allowed }

// WithResponse returns the limit after a response that arrived while the host had inFlight requests at the servers.
func (l Limit) WithResponse(r Response, inFlight int) Limit {
	l.adapted = true
	switch {
	case r.queues():
		l.value = max(l.value-decreaseFraction, minLimit)
	case float64(inFlight) >= inUseFraction*l.value:
		l.value = min(l.value+increase/l.value+increaseFraction, l.most)
	}
	return l
}

// Allows reports whether a host with inFlight requests at the servers may send another one.
func (l Limit) Allows(inFlight int) bool { return float64(inFlight)+1 <= l.value }

// Value returns the limit in requests.
func (l Limit) Value() float64 { return l.value }
