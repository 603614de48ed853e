package budgets

import (
	"math/bits"
	"sync"
	"time"

	"vanillatally/core/budget"
)

// demandHorizon is the time for whose demand a host wants to have tokens at hand.
const demandHorizon = 200 * time.Millisecond

// openRequest is a loan request that has not been answered.
type openRequest struct {
	id     uint64
	lender string
	amount float64
	sentAt time.Duration
}

// lenderLevel is what a lender last said about its level.
type lenderLevel struct {
	tokens  float64
	knownAt time.Duration
}

// limiter is the state of one budget on this host, under its own lock. Cells are the shards of the hot path.
type limiter struct {
	name string

	mu     sync.Mutex
	limits budget.Limits
	// slots is the set of the budget's slots in the ledger.
	slots uint64
	// heldSlots is the set of slots whose shares bucket includes; it is a subset of slots.
	heldSlots        uint64
	bucket           budget.Bucket
	outstandingLoans budget.OutstandingLoans
	// borrowedLoans and asked hold at most budget.MaxBorrowed entries each.
	borrowedLoans []budget.Loan
	openRequests  []openRequest
	// lenders are the other holders of the budget's slots; it is replaced when the ledger changes.
	lenders      []lender
	lenderLevels map[string]lenderLevel
	// attemptedCost is the cost that callers asked for since the last tick, maxCost the largest single cost lately.
	attemptedCost, maxCost float64
	demandMeasuredAt       time.Duration
	// demand is the smoothed cost per second that callers ask for.
	demand float64
	// waitingCost is the cost of the admissions that wait for a loan, waiters their number.
	waitingCost float64
	waiters     int
	wake        chan struct{}
	// lendersEmpty is set while all lenders are known to be empty, so that waiting is useless.
	lendersEmpty bool
	counts       Counts

	_ [64]byte // keeps the locks of two cells on different cache lines
}

// Counts are the admissions of one budget on this host since its start.
type Counts struct {
	Admitted uint64  `json:"admitted"`
	Refused  uint64  `json:"refused"`
	Borrowed float64 `json:"borrowed"`
	Lent     float64 `json:"lent"`
}

func (c *limiter) heldShares() int { return bits.OnesCount64(c.heldSlots) }

// takeTokens admits cost if borrowed and own tokens suffice. Borrowed tokens go first because they expire.
// valid is whether the host's lease holds, without which its own tokens must not be used.
func (c *limiter) takeTokens(now time.Duration, cost float64, valid bool) bool {
	borrowed := 0.0
	for i := range c.borrowedLoans {
		borrowed += c.borrowedLoans[i].Usable(now)
	}
	own := max(0, cost-borrowed)
	if own > 0 {
		if !valid {
			return false
		}
		b, ok := c.bucket.Take(now, own)
		c.bucket = b
		if !ok {
			return false
		}
	}
	rest := cost - own
	for i := range c.borrowedLoans {
		if rest <= 0 {
			break
		}
		part := min(rest, c.borrowedLoans[i].Usable(now))
		c.borrowedLoans[i].Left -= part
		rest -= part
	}
	return true
}

// usableTokens returns the tokens that could be spent at now.
func (c *limiter) usableTokens(now time.Duration, valid bool) (tokens float64) {
	if valid {
		c.bucket = c.bucket.Refilled(now)
		tokens = max(0, c.bucket.Level)
	}
	for _, l := range c.borrowedLoans {
		tokens += l.Usable(now)
	}
	return tokens
}

// reserveTokens returns the tokens to have at hand beyond those that admissions wait for. Demand above the rate cannot
// last, and less than one admission is not worth a loan before it is asked for.
func (c *limiter) reserveTokens() float64 {
	tokens := min(c.demand, c.limits.Rate) * demandHorizon.Seconds()
	if tokens < c.maxCost {
		return 0
	}
	return tokens
}

func (c *limiter) wakeWaiters() {
	if c.wake != nil {
		close(c.wake)
		c.wake = nil
	}
}

// setLimits puts other limits in force. Shares that the budget did not have before start empty.
func (c *limiter) setLimits(now time.Duration, limits budget.Limits, held uint64, factor float64) {
	if limits == c.limits {
		return
	}
	c.limits, c.slots = limits, limits.Slots(c.name)
	c.heldSlots = held & c.slots
	c.bucket = c.bucket.WithLimits(now, limits.Bucket(c.heldShares(), factor, now))
}

// releaseSlots takes the shares of the lost slots out of the cell and returns what each of them carries.
func (c *limiter) releaseSlots(now time.Duration, lost uint64) (each budget.ShareTransfer, slots uint64) {
	slots = c.heldSlots & lost
	part, whole := bits.OnesCount64(slots), c.heldShares()
	if part == 0 {
		return each, 0
	}
	rest, carry := c.bucket.Split(now, part, whole)
	c.bucket, c.heldSlots = rest, c.heldSlots&^slots
	c.outstandingLoans = c.outstandingLoans.Scaled(1 - float64(part)/float64(whole))
	return budget.ShareTransfer{Tokens: carry.Tokens / float64(part), Outstanding: carry.Outstanding / float64(part)}, slots
}

// acquireSlot adds the share of a slot with what it carried.
func (c *limiter) acquireSlot(now time.Duration, slot uint64, factor float64, carry budget.ShareTransfer) {
	if c.slots&slot == 0 || c.heldSlots&slot != 0 {
		return
	}
	before := c.bucket.Outstanding
	c.heldSlots |= slot
	c.bucket = c.bucket.Merged(now, c.limits.Bucket(1, factor, now), carry)
	c.outstandingLoans = c.outstandingLoans.WithTransferred(now, c.bucket.Outstanding-before)
	c.wakeWaiters()
}

// dropSlots forgets the shares and their loans, as after fencing. Borrowed tokens stay usable until they expire.
func (c *limiter) dropSlots(now time.Duration) {
	c.heldSlots, c.outstandingLoans, c.bucket = 0, budget.OutstandingLoans{}, budget.Bucket{RefilledAt: now}
}
