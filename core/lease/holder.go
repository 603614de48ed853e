package lease

import (
	"math"
	"time"
)

// NoExpiry is the expiry of a lease that needs no renewal.
const NoExpiry = time.Duration(math.MaxInt64)

// Holder is the lease of one incarnation as its holder sees it. It is immutable. The zero value holds no lease.
type Holder struct {
	incarnation uint64
	expiry      time.Duration
	// lastRequest is when the last round of renewal requests was sent.
	lastRequest time.Duration
	// unwitnessed is set while the ledger has no witnesses for the incarnation; the lease doesn't expire then.
	unwitnessed bool
}

// NewHolder returns the lease of an incarnation whose ledger entry was sent to the store at sent.
// It is valid without a renewal at first, because a witness waits Timing.WitnessTTL after it has seen the entry.
func NewHolder(timing Timing, incarnation uint64, sent time.Duration) Holder {
	return Holder{incarnation: incarnation, expiry: sent + timing.HolderTTL, lastRequest: -timing.RenewInterval}
}

// WithWitnesses returns the lease after the ledger was read with n witnesses of the incarnation.
func (h Holder) WithWitnesses(n int) Holder {
	h.unwitnessed = n == 0 && h.incarnation > 0
	return h
}

// AddingWitnesses returns the lease with an expiry. The holder calls it before it writes its first witnesses to the
// store at now, because the write may take effect although its answer is lost.
func (h Holder) AddingWitnesses(timing Timing, now time.Duration) Holder {
	h.unwitnessed = false
	h.expiry = max(h.expiry, now+timing.HolderTTL)
	return h
}

// Expiry returns the time at which the lease expires unless it is renewed.
func (h Holder) Expiry() time.Duration {
	if h.unwitnessed {
		return NoExpiry
	}
	return h.expiry
}

// Incarnation returns the incarnation that holds the lease, 0 if there is none.
func (h Holder) Incarnation() uint64 { return h.incarnation }

// Valid reports whether the lease has not expired at now.
func (h Holder) Valid(now time.Duration) bool { return now < h.Expiry() }

// RenewalDue reports whether a round of renewal requests is due. If so, the returned lease counts it as sent at now.
func (h Holder) RenewalDue(timing Timing, now time.Duration) (Holder, bool) {
	if h.incarnation == 0 || h.unwitnessed || now < h.lastRequest+timing.RenewInterval {
		return h, false
	}
	h.lastRequest = now
	return h, true
}

// Renewed returns the lease after a witness granted the renewal request that was sent at sent.
// Answers to other incarnations, such as late answers to an earlier process, are ignored.
func (h Holder) Renewed(timing Timing, incarnation uint64, sent, now time.Duration) Holder {
	if incarnation == h.incarnation && sent <= now {
		h.expiry = max(h.expiry, sent+timing.HolderTTL)
	}
	return h
}
