package lease

import (
	"maps"
	"slices"
	"time"

	"vanillatally/core/ledger"
)

// Answer is a witness's answer to a renewal request.
type Answer string

// Answers to a renewal request.
const (
	// Granted renews the lease, counted from the sending of the request.
	Granted Answer = "granted"
	// NotWitness: by the ledger that this host knows, it is not a witness of that incarnation.
	NotWitness Answer = "not-witness"
	// VotedToFence: the witness has voted to fence the member.
	VotedToFence Answer = "promised"
	// Lapsed: the witness's own lease has expired, but it has not voted to fence the member and restarts the
	// member's WitnessTTL. See Witness.HandleLapsedAnswer for when this renews the lease.
	Lapsed Answer = "lapsed"
)

// record is the state of one member's lease at a witness.
type record struct {
	incarnation uint64
	// witnessesSince is ledger.Member.WitnessesSinceEpoch.
	witnessesSince uint64
	// lastRenewal is the time of the last renewal request, or the later time at which this host became a witness or
	// saw witnessesSince change. WitnessTTL counts from here.
	lastRenewal time.Duration
	// votedEpoch is the epoch at which the witness voted to fence the member, or 0.
	votedEpoch uint64
}

// Witness holds the leases of the members that have this host as a witness in the ledger. It is immutable.
// A restarted witness has no records and waits Timing.WitnessTTL before its first vote, because it has lost the times
// of its earlier renewals.
type Witness struct {
	epoch   uint64
	records map[string]record
}

// WithLedger returns the witness after it has read a ledger. A vote to fence ends when the member is still in the ledger
// at a later epoch, because the conditional write for which the vote was given can no longer succeed.
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
		if !ok || r.witnessesSince != m.WitnessesSinceEpoch {
			r.witnessesSince, r.lastRenewal = m.WitnessesSinceEpoch, now
		}
		if r.votedEpoch < l.Epoch {
			r.votedEpoch = 0
		}
		records[m.Host] = r
	}
	return Witness{l.Epoch, records}
}

// HandleRenewal answers a renewal request. ownLease is whether the witness's own lease is valid: a witness that was
// fenced without knowing it must not renew the leases of others.
func (w Witness) HandleRenewal(now time.Duration, member ledger.Process, ownLease bool) (Witness, Answer) {
	r, ok := w.records[member.Host]
	switch {
	case !ok || r.incarnation != member.Incarnation:
		return w, NotWitness
	case r.votedEpoch != 0:
		return w, VotedToFence
	}
	r.lastRenewal = now
	if !ownLease {
		return w.withRecord(member.Host, r), Lapsed
	}
	return w.withRecord(member.Host, r), Granted
}

// HandleLapsedAnswer reports whether the answer Lapsed from a witness renews this host's lease. It lets hosts recover
// without the store when all leases have expired, for example after the whole fleet was frozen.
//
// The answer renews the lease if the two hosts are witnesses of each other and this host has not voted to fence the
// other. Neither can then have been fenced before the other, because that takes the other's vote. Restarting the
// WitnessTTL of the other host keeps this true for the duration of the lease.
func (w Witness) HandleLapsedAnswer(now time.Duration, witness ledger.Process) (Witness, bool) {
	r, ok := w.records[witness.Host]
	if !ok || r.incarnation != witness.Incarnation || witness.Incarnation == 0 || r.votedEpoch != 0 {
		return w, false
	}
	r.lastRenewal = now
	return w.withRecord(witness.Host, r), true
}

func (w Witness) withRecord(host string, r record) Witness {
	records := maps.Clone(w.records)
	records[host] = r
	return Witness{w.epoch, records}
}

// MayVoteToFence reports whether the witness may vote to fence the member at the epoch: the witness knows this epoch
// and has had no renewal request for WitnessTTL.
func (w Witness) MayVoteToFence(timing Timing, now time.Duration, member ledger.Process, epoch uint64) bool {
	r, ok := w.records[member.Host]
	return ok && r.incarnation == member.Incarnation && epoch == w.epoch && now-r.lastRenewal >= timing.WitnessTTL
}

// VoteToFence records a vote to fence the member at the epoch, if MayVoteToFence allows it. The witness grants no
// renewal to the member while the vote stands.
func (w Witness) VoteToFence(timing Timing, now time.Duration, member ledger.Process, epoch uint64) (Witness, bool) {
	if !w.MayVoteToFence(timing, now, member, epoch) {
		return w, false
	}
	r := w.records[member.Host]
	r.votedEpoch = epoch
	return w.withRecord(member.Host, r), true
}

// ExpiredMembers returns the members without a renewal request for Timing.WitnessTTL, sorted by host.
func (w Witness) ExpiredMembers(timing Timing, now time.Duration) (expired []ledger.Process) {
	for host, r := range w.records {
		if now-r.lastRenewal >= timing.WitnessTTL {
			expired = append(expired, ledger.Process{Host: host, Incarnation: r.incarnation})
		}
	}
	slices.SortFunc(expired, func(a, b ledger.Process) int {
		if a.Host < b.Host {
			return -1
		}
		return 1
	})
	return expired
}
