// Package permit decides how many requests each host may run at a backend server, so that all hosts
// together stay within the server's slots.
package permit

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"vanillatally/core/ledger"
)

// Lifetime is how long a permit holds after the report that it answers.
const Lifetime = time.Second

// The holder counts the lifetime from sending its report and the owner from receiving it, on clocks
// that differ by at most 1%. So the holder always stops first.
const (
	holderLifetime = Lifetime * 99 / 100
	ownerLifetime  = Lifetime * 102 / 100
)

// SettleDelay is how long a new owner waits until the permits of an unknown earlier owner have expired.
const SettleDelay = ownerLifetime

// Usage is what one team has at a host for one server.
type Usage struct {
	Team    string `cbor:"team"`
	InUse   int    `cbor:"in-use,omitempty"`
	Waiting int    `cbor:"waiting,omitempty"`
	// OldestWait is how long the first of the waiting requests has waited.
	OldestWait time.Duration `cbor:"oldest,omitempty"`
}

// Report is a host's whole state for one server. It replaces the host's earlier reports.
type Report struct {
	Server string `cbor:"server"`
	// Instance identifies the process, Sequence rises with each of its reports.
	Instance uint64 `cbor:"instance"`
	Sequence uint64 `cbor:"sequence"`
	// Held is the number of permits that the host uses or may still use.
	Held int `cbor:"held"`
	// OwnerEpoch and Seen identify the last grant that the host has applied.
	OwnerEpoch   uint64  `cbor:"tenure"`
	AppliedGrant uint64  `cbor:"seen"`
	Teams        []Usage `cbor:"teams,omitempty"`
}

// Grant is the number of permits that a host may use from now on.
type Grant struct {
	Server   string `cbor:"server"`
	Instance uint64 `cbor:"instance"`
	// OwnerEpoch is the epoch at which the owner took over; Number rises with each grant to the host.
	OwnerEpoch uint64 `cbor:"tenure"`
	Number     uint64 `cbor:"number"`
	// AckedReport is the last report that the owner has taken in; the permits expire a lifetime after it.
	AckedReport uint64 `cbor:"acked"`
	Limit       int    `cbor:"limit"`
	// Shares divides Limit over the teams; InUse is the team's part.
	Shares []Usage `cbor:"shares,omitempty"`
}

// Owner returns the member that hands out a server's permits: the first in rendezvous order among the
// members in the server's region, or among all when there are none.
func Owner(l ledger.Ledger, server, region string) string {
	var owner string
	var best uint64
	var near bool
	for _, m := range l.Members {
		if m.Leaving {
			continue
		}
		here := m.Region == region
		if near && !here {
			continue
		}
		weight := xxhash.Sum64String(server + "\x00" + m.Host)
		if owner == "" || here && !near || weight > best {
			owner, best, near = m.Host, weight, here
		}
	}
	return owner
}

// HostPermits is a host's permits for one server. It is passed by value; its methods return the next value.
type HostPermits struct {
	// Used is the number of running requests. It may exceed Limit after a recall or an expiry, never
	// because a request was started.
	Used  int
	Limit int
	// Expiry is when the permits expire on the host's clock.
	Expiry       time.Duration
	OwnerEpoch   uint64
	AppliedGrant uint64
}

// Acquire starts a request if a permit is free.
func (h HostPermits) Acquire(now time.Duration) (HostPermits, bool) {
	if h.Used >= h.Limit || now >= h.Expiry {
		return h, false
	}
	h.Used++
	return h, true
}

// Apply takes over a grant that answers a report sent at sent. Late and doubled grants are ignored.
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

// Held is what the host reports: what it uses or may still use.
func (h HostPermits) Held(now time.Duration) int {
	if now >= h.Expiry {
		return h.Used
	}
	return max(h.Used, h.Limit)
}
