package lease

import (
	"math"
	"time"
)

// NoExpiry is the end of a lease that needs no renewal.
const NoExpiry = time.Duration(math.MaxInt64)

// Holder is the holder's side of one incarnation's lease. It is immutable. The zero value holds no lease.
type Holder struct {
	incarnation uint64
	until       time.Duration
	// sent is the time of the last round of renewal requests.
	sent time.Duration
	// alone is set while the ledger names no witnesses for the incarnation.
	alone bool
}

// NewHolder returns the lease of an incarnation whose ledger entry was sent to the store at sent.
// It needs no renewal at first, because every witness waits Terms.Witness after it sees the entry.
func NewHolder(t Timing, incarnation uint64, sent time.Duration) Holder {
	return Holder{incarnation: incarnation, until: sent + t.HolderTTL, sent: -t.RenewInterval}
}

// WithWitnesses returns the lease after the ledger named n witnesses.
func (h Holder) WithWitnesses(n int) Holder {
	h.alone = n == 0 && h.incarnation > 0
	return h
}

// AddingWitnesses returns the lease before its holder, which has no witnesses, asks the store at now to name some.
// The lease ends unless a witness renews it, because the write may take effect without an answer.
func (h Holder) AddingWitnesses(t Timing, now time.Duration) Holder {
	h.alone = false
	h.until = max(h.until, now+t.HolderTTL)
	return h
}

// Expiry returns the end of the lease.
func (h Holder) Expiry() time.Duration {
	if h.alone {
		return NoExpiry
	}
	return h.until
}

// Incarnation returns the incarnation that holds the lease, or 0.
func (h Holder) Incarnation() uint64 { return h.incarnation }

// Valid reports whether the lease holds at now.
func (h Holder) Valid(now time.Duration) bool { return now < h.Expiry() }

// RenewalDue reports whether a round of renewal requests is due, and returns the lease with this round noted as sent.
func (h Holder) RenewalDue(t Timing, now time.Duration) (Holder, bool) {
	if h.incarnation == 0 || h.alone || now < h.sent+t.RenewInterval {
		return h, false
	}
	h.sent = now
	return h, true
}

// Renewed returns the lease after a witness renewed it in answer to a request that was sent at sent.
// Answers to other incarnations, such as late ones to an earlier process, change nothing.
func (h Holder) Renewed(t Timing, incarnation uint64, sent, now time.Duration) Holder {
	if incarnation == h.incarnation && sent <= now {
		h.until = max(h.until, sent+t.HolderTTL)
	}
	return h
}
