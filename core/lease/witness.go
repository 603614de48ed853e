package lease

import (
	"maps"
	"slices"
	"time"

	"vanillatally/core/ledger"
)

// Answer is a witness's answer to a renewal request.
type Answer string

// The answers to a renewal request.
const (
	// Granted renews the lease from the sending of the request.
	Granted Answer = "granted"
	// NotWitness: this host is not a witness of that incarnation by the ledger that it knows.
	NotWitness Answer = "not-witness"
	// VotedToFence: the witness has voted to fence the member.
	VotedToFence Answer = "promised"
	// Lapsed: the witness's own lease does not hold, but it has not voted to fence the member and counts its
	// silence anew. This renews the lease of a member that vouches for the witness in turn.
	Lapsed Answer = "lapsed"
)

// record is what a witness knows about a member that it witnesses.
type record struct {
	incarnation uint64
	// since is the member's WitnessesSince.
	since uint64
	// last is the time of the last renewal, or of the moment when the witness learned of its duty or of
	// a change of since.
	last time.Duration
	// promised is the epoch at which the witness voted to fence the member, or 0.
	promised uint64
}

// Witness is the witness's side of the leases that a host witnesses, one record for each member
// that names it in the ledger. It is immutable. A restarted witness starts without records and waits
// Terms.Witness before its first vote, because it does not know its earlier renewals.
type Witness struct {
	epoch   uint64
	records map[string]record
}

// WithLedger returns the witness's state after it learned of a ledger. A promise ends when a later epoch still
// names the member: the conditional write that the promise was made for can no longer succeed.
func (w Witness) WithLedger(now time.Duration, self string, l ledger.Ledger) Witness {
	records := map[string]record{}
	for _, m := range l.Members {
		if !slices.Contains(m.Witnesses, self) {
			continue
		}
		r, ok := w.records[m.Host]
		if !ok || r.incarnation != m.Incarnation {
			r = record{incarnation: m.Incarnation}
			ok = false
		}
		if !ok || r.since != m.WitnessesSinceEpoch {
			r.since, r.last = m.WitnessesSinceEpoch, now
		}
		if r.promised < l.Epoch {
			r.promised = 0
		}
		records[m.Host] = r
	}
	return Witness{l.Epoch, records}
}

// HandleRenewal decides about a renewal request. ownLease is whether the witness's own lease holds: a witness that
// was itself fenced without knowing must not keep others alive.
func (w Witness) HandleRenewal(now time.Duration, o ledger.Process, ownLease bool) (Witness, Answer) {
	r, ok := w.records[o.Host]
	switch {
	case !ok || r.incarnation != o.Incarnation:
		return w, NotWitness
	case r.promised != 0:
		return w, VotedToFence
	}
	r.last = now
	if !ownLease {
		return w.with(o.Host, r), Lapsed
	}
	return w.with(o.Host, r), Granted
}

// HandleLapsedAnswer decides whether the answer Lapsed of the witness o renews this host's lease, so that hosts whose leases
// all lapsed, as in a freeze of the whole fleet, recover without the store. It does when this host witnesses o
// in turn and has not voted to fence it: neither can have been removed before the other, because that takes
// the other's vote. Counting o's silence anew keeps it so for the time of the lease.
func (w Witness) HandleLapsedAnswer(now time.Duration, o ledger.Process) (Witness, bool) {
	r, ok := w.records[o.Host]
	if !ok || r.incarnation != o.Incarnation || o.Incarnation == 0 || r.promised != 0 {
		return w, false
	}
	r.last = now
	return w.with(o.Host, r), true
}

func (w Witness) with(host string, r record) Witness {
	records := maps.Clone(w.records)
	records[host] = r
	return Witness{w.epoch, records}
}

// MayVoteToFence reports whether the witness may vote to fence the member at the epoch.
func (w Witness) MayVoteToFence(t Timing, now time.Duration, o ledger.Process, epoch uint64) bool {
	r, ok := w.records[o.Host]
	return ok && r.incarnation == o.Incarnation && epoch == w.epoch && now-r.last >= t.WitnessTTL
}

// VoteToFence votes to fence the member at the epoch, if the member has been silent for long enough.
func (w Witness) VoteToFence(t Timing, now time.Duration, o ledger.Process, epoch uint64) (Witness, bool) {
	if !w.MayVoteToFence(t, now, o, epoch) {
		return w, false
	}
	r := w.records[o.Host]
	r.promised = epoch
	return w.with(o.Host, r), true
}

// SilentMembers returns the members that have been silent for Terms.Witness, in order of their names.
func (w Witness) SilentMembers(t Timing, now time.Duration) (silent []ledger.Process) {
	for host, r := range w.records {
		if now-r.last >= t.WitnessTTL {
			silent = append(silent, ledger.Process{Host: host, Incarnation: r.incarnation})
		}
	}
	slices.SortFunc(silent, func(a, b ledger.Process) int {
		if a.Host < b.Host {
			return -1
		}
		return 1
	})
	return silent
}
