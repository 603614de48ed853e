package budget

import "time"

// Bucket is a token bucket for the shares that one host holds of one budget. It is a small value
// that is passed and returned by value, so that admission allocates nothing.
type Bucket struct {
	// Level is the number of tokens; Level + Outstanding never exceeds Cap. Corrections may make it negative.
	Level float64
	// Outstanding is the number of tokens lent to other hosts that may still be spent.
	Outstanding float64
	// Cap is the burst of the held shares.
	Cap float64
	// Rate is the refill of the held shares per second of the host's clock.
	Rate float64
	// RefilledAt is the time up to which Level includes the refill.
	RefilledAt time.Duration
}

// Refilled returns the bucket at now. A clock that went back changes nothing.
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

// Take returns the bucket after cost tokens were taken, and whether there were that many.
func (b Bucket) Take(now time.Duration, cost float64) (Bucket, bool) {
	b = b.Refilled(now)
	if b.Level < cost {
		return b, false
	}
	b.Level -= cost
	return b, true
}

// Corrected returns the bucket after a charge proved too small (amount above 0) or too large.
func (b Bucket) Corrected(now time.Duration, amount float64) Bucket {
	b = b.Refilled(now)
	b.Level -= amount
	return b.clamped()
}

// ShareTransfer is what a released share takes to its next holder.
type ShareTransfer struct {
	Tokens float64 `cbor:"tokens" json:"tokens"`
	// Outstanding counts loans of the previous holder; the next holder frees them after LenderLife.
	Outstanding float64 `cbor:"outstanding" json:"outstanding"`
}

// Split returns the bucket without part shares of whole, and what these shares carry away.
func (b Bucket) Split(now time.Duration, part, whole int) (rest Bucket, carry ShareTransfer) {
	if part <= 0 || whole <= 0 {
		return b, ShareTransfer{}
	}
	b = b.Refilled(now)
	gone := float64(min(part, whole)) / float64(whole)
	carry = ShareTransfer{Tokens: max(0, b.Level) * gone, Outstanding: b.Outstanding * gone}
	b.Level -= carry.Tokens
	b.Outstanding -= carry.Outstanding
	b.Cap *= 1 - gone
	b.Rate *= 1 - gone
	return b.clamped(), carry
}

// Merged returns the bucket with the shares of other, an empty bucket from Limits.Bucket, and their carry.
func (b Bucket) Merged(now time.Duration, other Bucket, carry ShareTransfer) Bucket {
	b = b.Refilled(now)
	out := min(max(0, carry.Outstanding), other.Cap)
	b.Outstanding += out
	b.Level += min(max(0, carry.Tokens), other.Cap-out)
	b.Cap += other.Cap
	b.Rate += other.Rate
	return b.clamped()
}

// WithLimits returns the bucket under other limits; tokens above the new cap are dropped.
func (b Bucket) WithLimits(now time.Duration, empty Bucket) Bucket {
	b = b.Refilled(now)
	b.Cap, b.Rate = empty.Cap, empty.Rate
	return b.clamped()
}
