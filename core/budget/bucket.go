package budget

import "time"

// Bucket is the token bucket of one host for its shares of one limit. It is passed by value and its methods return a new
// value, so that admission doesn't allocate memory.
type Bucket struct {
	// Level is the number of available tokens. Level + Outstanding never exceeds Cap. Corrections may make Level
	// negative.
	Level float64
	// Outstanding is the number of tokens lent to other hosts, which may still spend them.
	Outstanding float64
	// Cap is the capacity: the burst of the host's shares.
	Cap float64
	// Rate is the refill rate of the host's shares, per second of the host's clock.
	Rate float64
	// RefilledAt is the time up to which Level includes the refill.
	RefilledAt time.Duration
}

// Refilled returns the bucket refilled up to now. If the clock went backwards, nothing is refilled.
func (b Bucket) Refilled(now time.Duration) Bucket {
	if now > b.RefilledAt {
		b.Level += b.Rate * (now - b.RefilledAt).Seconds()
		b.RefilledAt = now
	}
	return b.clamped()
}

func (b Bucket) clamped() Bucket {
	b.Outstanding = max(0, b.Outstanding)
	b.Level = max(-b.Cap, min(b.Level, b.Cap-b.Outstanding))
	return b
}

// Take returns the bucket without cost tokens and true, or the refilled bucket and false if it has fewer.
func (b Bucket) Take(now time.Duration, cost float64) (Bucket, bool) {
	b = b.Refilled(now)
	if b.Level < cost {
		return b, false
	}
	b.Level -= cost
	return b, true
}

// Corrected returns the bucket after the actual cost of a request turned out to be amount above its charge, or below it
// if amount is negative.
func (b Bucket) Corrected(now time.Duration, amount float64) Bucket {
	b = b.Refilled(now)
	b.Level -= amount
	return b.clamped()
}

// ShareTransfer is the state of released shares that passes to their next holder.
type ShareTransfer struct {
	Tokens float64 `cbor:"tokens" json:"tokens"`
	// Outstanding is the number of tokens lent by the former holder; the next holder counts them for LenderTTL.
	Outstanding float64 `cbor:"outstanding" json:"outstanding"`
}

// Split returns the bucket without released of its held shares, and the state that passes to their next holder.
func (b Bucket) Split(now time.Duration, released, held int) (rest Bucket, transfer ShareTransfer) {
	if released <= 0 || held <= 0 {
		return b, ShareTransfer{}
	}
	b = b.Refilled(now)
	fraction := float64(min(released, held)) / float64(held)
	transfer = ShareTransfer{Tokens: max(0, b.Level) * fraction, Outstanding: b.Outstanding * fraction}
	b.Level -= transfer.Tokens
	b.Outstanding -= transfer.Outstanding
	b.Cap *= 1 - fraction
	b.Rate *= 1 - fraction
	return b.clamped(), transfer
}

// Merged returns the bucket with the shares of other, an empty bucket from Limits.Bucket, and the state that their former
// holder released.
func (b Bucket) Merged(now time.Duration, other Bucket, transfer ShareTransfer) Bucket {
	b = b.Refilled(now)
	outstanding := min(max(0, transfer.Outstanding), other.Cap)
	b.Outstanding += outstanding
	b.Level += min(max(0, transfer.Tokens), other.Cap-outstanding)
	b.Cap += other.Cap
	b.Rate += other.Rate
	return b.clamped()
}

// WithLimits returns the bucket with the cap and rate of empty. Tokens above the new cap are dropped.
func (b Bucket) WithLimits(now time.Duration, empty Bucket) Bucket {
	b = b.Refilled(now)
	b.Cap, b.Rate = empty.Cap, empty.Rate
	return b.clamped()
}
