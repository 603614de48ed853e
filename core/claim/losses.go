package claim

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"vanillatally/core/ledger"
)

// LostProcess is a process that was removed from the ledger without having left. At is the time of the removal on the
// local clock; messages carry the age instead.
type LostProcess struct {
	Process Process       `cbor:"holder"`
	At      time.Duration `cbor:"at"`
}

// Rereplication states that Owner knew all records of some slots and has made new copies, at current members, of those
// whose copy was at the process Lost.
type Rereplication struct {
	Owner Process `cbor:"owner"`
	Lost  Process `cbor:"lost"`
	// Slots has one bit for each slot. A slot that answers Unknown is not included, because it has to stay blocked
	// when its owner changes.
	Slots uint64 `cbor:"slots"`
}

// maxLostProcesses bounds LossHistory.Lost. More losses within the retention time shorten the known history, which
// blocks slots rather than granting a request twice.
const maxLostProcesses = 1024

// LossHistory is a host's record of lost processes. It is immutable.
type LossHistory struct {
	// Complete is set when no loss since the first epoch was missed.
	Complete bool
	// From is the time from which no loss was missed, unless Complete is set.
	From time.Duration
	// Lost holds the losses within the retention time, oldest first.
	Lost       []LostProcess
	lastLedger ledger.Ledger
}

// Observe returns the history after the host has read a ledger.
func (h LossHistory) Observe(l ledger.Ledger, now time.Duration, retention time.Duration) LossHistory {
	if l.Epoch <= h.lastLedger.Epoch {
		return h
	}
	var newlyLost []LostProcess
	lostCount := l.LostCount - h.lastLedger.LostCount
	if lostCount > 0 {
		// The ledger doesn't say which of the removed members had left, so all of them count as lost.
		for _, m := range h.lastLedger.Members {
			if former := (Process{Host: m.Host, Incarnation: m.Incarnation}); !IsMember(l, former) {
				newlyLost = append(newlyLost, LostProcess{Process: former, At: now})
			}
		}
	}
	switch skipped := lostCount > uint64(len(newlyLost)); {
	case h.lastLedger.Epoch == 0:
		h.Complete, h.From = !skipped, now
	case skipped:
		// A process joined and was lost between the two ledgers, so it is not known.
		h.Complete, h.From = false, now
	}
	h.lastLedger = l
	return h.withLost(newlyLost, now, retention)
}

// Merge adds the history of another host, with times converted to the local clock.
func (h LossHistory) Merge(complete bool, from time.Duration, lost []LostProcess, now, retention time.Duration) LossHistory {
	h.Complete = h.Complete || complete
	h.From = min(h.From, from)
	return h.withLost(lost, now, retention)
}

func (h LossHistory) withLost(lost []LostProcess, now, retention time.Duration) LossHistory {
	merged := slices.DeleteFunc(slices.Clone(h.Lost), func(l LostProcess) bool { return now-l.At > retention })
	for _, l := range lost {
		present := slices.ContainsFunc(merged, func(k LostProcess) bool { return k.Process == l.Process })
		if !present && now-l.At <= retention {
			merged = append(merged, l)
		}
	}
	slices.SortFunc(merged, func(a, b LostProcess) int { return cmp.Compare(a.At, b.At) })
	if excess := len(merged) - maxLostProcesses; excess > 0 {
		h.Complete, h.From = false, merged[excess-1].At
		merged = merged[excess:]
	}
	h.Lost = merged
	return h
}

// HasOriginalOwner reports whether the slot has had the same owner process since the ledger was created.
func HasOriginalOwner(l ledger.Ledger, slot int) bool {
	return l.Slots[slot].PreviousHolder == "" && OwnerEpoch(l, slot) == 1
}

// PreviousOwner returns the host that held the slot before its current owner process, which may be the same host.
func PreviousOwner(l ledger.Ledger, slot int) string {
	s := l.Slots[slot]
	if s.SinceEpoch < Incarnation(l, s.Holder) {
		// The previous owner is an earlier process of the same host.
		return s.Holder
	}
	return s.PreviousHolder
}

// BlockedUntil returns the time until which a slot answers Unknown. It applies after the slot's records were gathered
// from all members, if its previous owner was no longer among them. A claim is lost when its owner and the holder of its
// copy are both lost. So each other loss within the retention time blocks the slot, unless the previous owner had
// rereplicated after that loss.
func (h LossHistory) BlockedUntil(
	slot int, previous string, rereplications []Rereplication, retention time.Duration,
) time.Duration {
	var until time.Duration
	if !h.Complete {
		until = h.From + retention
	}
	previousOwner := Process{}
	for _, l := range h.Lost {
		if l.Process.Host == previous && l.Process.Incarnation > previousOwner.Incarnation {
			previousOwner = l.Process
		}
	}
	for _, l := range h.Lost {
		rereplicated := func(c Rereplication) bool {
			return c.Owner == previousOwner && c.Lost == l.Process && c.Slots>>slot&1 != 0
		}
		if l.Process == previousOwner || slices.ContainsFunc(rereplications, rereplicated) {
			continue
		}
		until = max(until, l.At+retention)
	}
	return until
}

// BlockedUntilUnknownOwner replaces BlockedUntil when the previous owner is still a member but had not finished taking
// over the slot itself. The owner before it is not known, so any two losses within the retention time block the slot.
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

// CopyCandidates returns the members other than owner in the order in which it prefers them as holders of its copies:
// members that are leaving come last, the others are in rendezvous hash order.
func CopyCandidates(l ledger.Ledger, owner string) []Process {
	type candidate struct {
		process Process
		leaving bool
		weight  uint64
	}
	var candidates []candidate
	for _, m := range l.Members {
		if m.Host != owner {
			candidates = append(candidates, candidate{
				Process{m.Host, m.Incarnation}, m.Leaving, xxhash.Sum64String(owner + "\x00" + m.Host),
			})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.leaving != b.leaving {
			if a.leaving {
				return 1
			}
			return -1
		}
		return cmp.Compare(b.weight, a.weight)
	})
	processes := make([]Process, len(candidates))
	for i, m := range candidates {
		processes[i] = m.process
	}
	return processes
}
