package claim

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"vanillatally/core/ledger"
)

// LostProcess is a process that was removed from the ledger without having left, at the time At on the clock of whoever holds
// the value; messages carry ages.
type LostProcess struct {
	Process Process       `cbor:"holder"`
	At      time.Duration `cbor:"at"`
}

// Rereplication states that an owner has copied to a living member all records of some slots whose copy was at
// a lost process, and that it knew all records of these slots.
type Rereplication struct {
	Owner Process `cbor:"owner"`
	Lost  Process `cbor:"lost"`
	// Slots has one bit for each slot. A slot that answers Unknown is never covered, because the block
	// has to outlive its owner.
	Slots uint64 `cbor:"slots"`
}

// maxLost bounds the losses and the covers that are remembered. More losses within the retention time
// shorten the known history instead, so slots are refused rather than granted.
const maxLost = 1024

// LossHistory is what a host knows about losses. It is immutable.
type LossHistory struct {
	// Complete says that the ledger was observed from its first epoch on.
	Complete bool
	// From is the time from which Lost has all losses, unless Complete is set.
	From time.Duration
	Lost []LostProcess
	seen ledger.Ledger
}

// Observe returns the history after the host has seen a ledger.
func (h LossHistory) Observe(l ledger.Ledger, now time.Duration, retention time.Duration) LossHistory {
	if l.Epoch <= h.seen.Epoch {
		return h
	}
	var lost []LostProcess
	missed := l.LostCount - h.seen.LostCount
	if missed > 0 {
		// Which of the members that are gone had left is not known, so all of them count as lost.
		for _, m := range h.seen.Members {
			if gone := (Process{Host: m.Host, Incarnation: m.Incarnation}); !IsMember(l, gone) {
				lost = append(lost, LostProcess{Process: gone, At: now})
			}
		}
	}
	switch hidden := missed > uint64(len(lost)); {
	case h.seen.Epoch == 0:
		h.Complete, h.From = !hidden, now
	case hidden:
		// A process joined and was lost in epochs that were skipped.
		h.Complete, h.From = false, now
	}
	h.seen = l
	return h.with(lost, now, retention)
}

// Merge adds what another host knows; its times have been turned into this host's.
func (h LossHistory) Merge(complete bool, from time.Duration, lost []LostProcess, now, retention time.Duration) LossHistory {
	h.Complete = h.Complete || complete
	h.From = min(h.From, from)
	return h.with(lost, now, retention)
}

func (h LossHistory) with(lost []LostProcess, now, retention time.Duration) LossHistory {
	merged := slices.DeleteFunc(slices.Clone(h.Lost), func(l LostProcess) bool { return now-l.At > retention })
	for _, l := range lost {
		known := slices.ContainsFunc(merged, func(k LostProcess) bool { return k.Process == l.Process })
		if !known && now-l.At <= retention {
			merged = append(merged, l)
		}
	}
	slices.SortFunc(merged, func(a, b LostProcess) int { return cmp.Compare(a.At, b.At) })
	if excess := len(merged) - maxLost; excess > 0 {
		h.Complete, h.From = false, merged[excess-1].At
		merged = merged[excess:]
	}
	h.Lost = merged
	return h
}

// HasOriginalOwner says that a slot has had no other owner since the ledger was created.
func HasOriginalOwner(l ledger.Ledger, slot int) bool {
	return l.Slots[slot].PreviousHolder == "" && OwnerEpoch(l, slot) == 1
}

// PreviousOwner returns the host that held the slot before the tenure of its holder.
func PreviousOwner(l ledger.Ledger, slot int) string {
	s := l.Slots[slot]
	if s.SinceEpoch < Incarnation(l, s.Holder) {
		// The slot was assigned to an earlier process of the same host.
		return s.Holder
	}
	return s.PreviousHolder
}

// BlockedUntil returns the time until which a slot answers Unknown, after all members were asked and
// its previous owner was not among them. A claim is lost when its owner and the holder of its copy are
// both lost, so each further loss within the retention time counts unless the owner has covered it.
func (h LossHistory) BlockedUntil(slot int, previous string, covers []Rereplication, retention time.Duration) time.Duration {
	var until time.Duration
	if !h.Complete {
		until = h.From + retention
	}
	owner := Process{}
	for _, l := range h.Lost {
		if l.Process.Host == previous && l.Process.Incarnation > owner.Incarnation {
			owner = l.Process
		}
	}
	for _, l := range h.Lost {
		covered := func(c Rereplication) bool { return c.Owner == owner && c.Lost == l.Process && c.Slots>>slot&1 != 0 }
		if l.Process == owner || slices.ContainsFunc(covers, covered) {
			continue
		}
		until = max(until, l.At+retention)
	}
	return until
}

// BlockedUntilUnknownOwner is BlockedUntil when the previous owner lives but had not taken over the slot
// itself: the owner before it is not known, so any two losses count.
func (h LossHistory) BlockedUntilUnknownOwner(retention time.Duration) time.Duration {
	var until time.Duration
	if !h.Complete {
		until = h.From + retention
	}
	if len(h.Lost) > 1 {
		until = max(until, h.Lost[len(h.Lost)-1].At+retention)
	}
	return until
}

// CopyCandidates returns the other members in the order in which an owner places its copies with them.
func CopyCandidates(l ledger.Ledger, owner string) []Process {
	type ranked struct {
		holder  Process
		leaving bool
		weight  uint64
	}
	var members []ranked
	for _, m := range l.Members {
		if m.Host != owner {
			members = append(members, ranked{Process{m.Host, m.Incarnation}, m.Leaving, xxhash.Sum64String(owner + "\x00" + m.Host)})
		}
	}
	slices.SortFunc(members, func(a, b ranked) int {
		if a.leaving != b.leaving {
			if a.leaving {
				return 1
			}
			return -1
		}
		return cmp.Compare(b.weight, a.weight)
	})
	holders := make([]Process, len(members))
	for i, m := range members {
		holders[i] = m.holder
	}
	return holders
}
