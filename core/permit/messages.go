// Package permit limits the concurrent requests of all hosts together at a backend server. One host, the owner of the
// server, divides the server's slots into permits that the other hosts hold for a short time, fairly between teams. Its
// functions do no input or output.
package permit

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"vanillatally/core/ledger"
)

// Lifetime is how long a permit is valid after the report that it answers, without the margins for clock error.
const Lifetime = time.Second

// The holder counts the lifetime from sending its report and the owner from receiving it. The margins make the permit
// expire at the holder first when both clocks err by 1%.
const (
	holderLifetime = Lifetime * 99 / 100
	ownerLifetime  = Lifetime * 102 / 100
)

// SettleDelay is how long a new owner waits when it doesn't know which permits the former owner granted. All of them
// have expired by then.
const SettleDelay = ownerLifetime

// Usage is the number of permits in use and of waiting requests of a team at one host for one server.
type Usage struct {
	Team    string `cbor:"team"`
	InUse   int    `cbor:"in-use,omitempty"`
	Waiting int    `cbor:"waiting,omitempty"`
	// OldestWait is how long the first waiting request has waited.
	OldestWait time.Duration `cbor:"oldest,omitempty"`
}

// Report is a host's complete state for one server. It replaces earlier reports of the host.
type Report struct {
	Server string `cbor:"server"`
	// Instance identifies the host's process; Sequence rises with each report of the process.
	Instance uint64 `cbor:"instance"`
	Sequence uint64 `cbor:"sequence"`
	// Held is the number of permits that the host uses or may still use.
	Held int `cbor:"held"`
	// OwnerEpoch and AppliedGrant identify the last grant that the host has applied, see Grant.Number.
	OwnerEpoch   uint64  `cbor:"tenure"`
	AppliedGrant uint64  `cbor:"seen"`
	Teams        []Usage `cbor:"teams,omitempty"`
}

// Grant is the owner's message to a host with the number of permits that the host has for a server.
type Grant struct {
	Server   string `cbor:"server"`
	Instance uint64 `cbor:"instance"`
	// OwnerEpoch is the ledger epoch at which the owner took over the server. Number rises each time that the owner
	// changes a limit.
	OwnerEpoch uint64 `cbor:"tenure"`
	Number     uint64 `cbor:"number"`
	// AckedReport is the sequence of the last report that the owner has processed. The permits expire Lifetime after it.
	AckedReport uint64 `cbor:"acked"`
	Limit       int    `cbor:"limit"`
	// Shares divides Limit between the teams; Usage.InUse is the share of the team.
	Shares []Usage `cbor:"shares,omitempty"`
}

// Owner returns the member that grants a server's permits: the first in rendezvous hash order among the members in the
// server's region, or among all members if there are none. Leaving members are not considered.
func Owner(l ledger.Ledger, server, region string) string {
	var owner string
	var best uint64
	var bestInRegion bool
	for _, m := range l.Members {
		if m.Leaving {
			continue
		}
		sameRegion := m.Region == region
		if bestInRegion && !sameRegion {
			continue
		}
		weight := xxhash.Sum64String(server + "\x00" + m.Host)
		if owner == "" || sameRegion && !bestInRegion || weight > best {
			owner, best, bestInRegion = m.Host, weight, sameRegion
		}
	}
	return owner
}

// HostPermits holds a host's permits for one server. It is passed by value; its methods return a new value.
type HostPermits struct {
	// Used is the number of running requests. It exceeds Limit only when permits were withdrawn or have expired.
	Used  int
	Limit int
	// Expiry is the time on the host's clock at which the permits expire.
	Expiry       time.Duration
	OwnerEpoch   uint64
	AppliedGrant uint64
}

// Acquire uses a permit for a request, if one is free.
func (h HostPermits) Acquire(now time.Duration) (HostPermits, bool) {
	if h.Used >= h.Limit || now >= h.Expiry {
		return h, false
	}
	h.Used++
	return h, true
}

// Apply applies a grant that answers a report sent at sent. Late and duplicate grants don't change the limit.
func (h HostPermits) Apply(g Grant, sent time.Duration) HostPermits {
	if g.OwnerEpoch < h.OwnerEpoch {
		return h
	}
	if expiry := sent + holderLifetime; expiry > h.Expiry {
		h.Expiry = expiry
	}
	if g.OwnerEpoch > h.OwnerEpoch || g.Number > h.AppliedGrant {
		h.OwnerEpoch, h.AppliedGrant, h.Limit = g.OwnerEpoch, g.Number, g.Limit
	}
	return h
}

// Held returns the number of permits that the host uses or may still use, which it reports to the owner.
func (h HostPermits) Held(now time.Duration) int {
	if now >= h.Expiry {
		return h.Used
	}
	return max(h.Used, h.Limit)
}
