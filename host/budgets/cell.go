package budgets

import (
	"math/bits"
	"sync"
	"time"

	"vanillatally/core/budget"
)

// need is the time for whose demand a host wants to have tokens at hand.
const need = 200 * time.Millisecond

// open is a loan request that has not been answered.
type open struct {
	id     uint64
	lender string
	amount float64
	sent   time.Duration
}

// hint is what a lender last said about its level.
type hint struct {
	left float64
	at   time.Duration
}

// cell is the state of one budget on this host, under its own lock. Cells are the shards of the hot path.
type cell struct {
	name string

	mu     sync.Mutex
	limits budget.Limits
	// slots is the set of the budget's slots in the ledger.
	slots uint64
	// held is the set of slots whose shares bucket includes; it is a subset of slots.
	held   uint64
	bucket budget.Bucket
	book   budget.OutstandingLoans
	// loans and asked hold at most budget.MaxBorrowed entries each.
	loans []budget.Loan
	asked []open
	// lenders are the other holders of the budget's slots; it is replaced when the ledger changes.
	lenders []lender
	hints   map[string]hint
	// attempted is the cost that callers asked for since the last tick, unit the largest single cost lately.
	attempted, unit float64
	ticked          time.Duration
	// demand is the smoothed cost per second that callers ask for.
	demand float64
	// waiting is the cost of the admissions that wait for a loan, waiters their number.
	waiting float64
	waiters int
	wake    chan struct{}
	// scarce is set while all lenders are known to be empty, so that waiting is useless.
	scarce bool
	counts Counts

	_ [64]byte // keeps the locks of two cells on different cache lines
}

// Counts are the admissions of one budget on this host since its start.
type Counts struct {
	Admitted uint64  `json:"admitted"`
	Refused  uint64  `json:"refused"`
	Borrowed float64 `json:"borrowed"`
	Lent     float64 `json:"lent"`
}

func (c *cell) shares() int { return bits.OnesCount64(c.held) }

// take admits cost if borrowed and own tokens suffice. Borrowed tokens go first because they expire.
// valid is whether the host's lease holds, without which its own tokens must not be used.
func (c *cell) take(now time.Duration, cost float64, valid bool) bool {
	borrowed := 0.0
	for i := range c.loans {
		borrowed += c.loans[i].Usable(now)
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
	for i := range c.loans {
		if rest <= 0 {
			break
		}
		part := min(rest, c.loans[i].Usable(now))
		c.loans[i].Left -= part
		rest -= part
	}
	return true
}

// usable returns the tokens that could be spent at now.
func (c *cell) usable(now time.Duration, valid bool) (tokens float64) {
	if valid {
		c.bucket = c.bucket.Refilled(now)
		tokens = max(0, c.bucket.Level)
	}
	for _, l := range c.loans {
		tokens += l.Usable(now)
	}
	return tokens
}

// ahead returns the tokens to have at hand beyond those that admissions wait for. Demand above the rate cannot
// last, and less than one admission is not worth a loan before it is asked for.
func (c *cell) ahead() float64 {
	tokens := min(c.demand, c.limits.Rate) * need.Seconds()
	if tokens < c.unit {
		return 0
	}
	return tokens
}

func (c *cell) wakeWaiters() {
	if c.wake != nil {
		close(c.wake)
		c.wake = nil
	}
}

// setLimits puts other limits in force. Shares that the budget did not have before start empty.
func (c *cell) setLimits(now time.Duration, limits budget.Limits, held uint64, factor float64) {
	if limits == c.limits {
		return
	}
	c.limits, c.slots = limits, limits.Slots(c.name)
	c.held = held & c.slots
	c.bucket = c.bucket.WithLimits(now, limits.Bucket(c.shares(), factor, now))
}

// release takes the shares of the lost slots out of the cell and returns what each of them carries.
func (c *cell) release(now time.Duration, lost uint64) (each budget.ShareTransfer, slots uint64) {
	slots = c.held & lost
	part, whole := bits.OnesCount64(slots), c.shares()
	if part == 0 {
		return each, 0
	}
	rest, carry := c.bucket.Split(now, part, whole)
	c.bucket, c.held = rest, c.held&^slots
	c.book = c.book.Scaled(1 - float64(part)/float64(whole))
	return budget.ShareTransfer{Tokens: carry.Tokens / float64(part), Outstanding: carry.Outstanding / float64(part)}, slots
}

// acquire adds the share of a slot with what it carried.
func (c *cell) acquire(now time.Duration, slot uint64, factor float64, carry budget.ShareTransfer) {
	if c.slots&slot == 0 || c.held&slot != 0 {
		return
	}
	before := c.bucket.Outstanding
	c.held |= slot
	c.bucket = c.bucket.Merged(now, c.limits.Bucket(1, factor, now), carry)
	c.book = c.book.WithTransferred(now, c.bucket.Outstanding-before)
	c.wakeWaiters()
}

// drop forgets the shares and their loans, as after fencing. Borrowed tokens stay usable until they expire.
func (c *cell) drop(now time.Duration) {
	c.held, c.book, c.bucket = 0, budget.OutstandingLoans{}, budget.Bucket{RefilledAt: now}
}
