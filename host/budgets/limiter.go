package budgets

import (
	"math/bits"
	"sync"
	"time"

	"vanillatally/core/budget"
)

// demandHorizon is how far ahead a host covers its demand with tokens that it already has.
const demandHorizon = 200 * time.Millisecond

// openRequest is a loan request that no grant has answered yet.
type openRequest struct {
	id     uint64
	lender string
	amount float64
	sentAt time.Duration
}

// lenderLevel is the bucket level that a lender last reported.
type lenderLevel struct {
	tokens  float64
	knownAt time.Duration
}

// limiter enforces one budget on this host. Each limiter has its own lock, so that admissions to different budgets do not
// contend.
type limiter struct {
	name string

	mu     sync.Mutex
	limits budget.Limits
	// slots is the set of the budget's slots in the ledger.
	slots uint64
	// heldSlots is the subset of slots whose shares are in bucket.
	heldSlots        uint64
	bucket           budget.Bucket
	outstandingLoans budget.OutstandingLoans
	// borrowedLoans and openRequests hold at most budget.MaxLoansPerBorrower entries each.
	borrowedLoans []budget.Loan
	openRequests  []openRequest
	// lenders are the other hosts that hold slots of the budget. The slice is replaced when the ledger changes.
	lenders      []lender
	lenderLevels map[string]lenderLevel
	// attemptedCost is the cost that callers asked for since demandMeasuredAt. maxCost is the largest cost of a
	// single admission so far, capped at the burst.
	attemptedCost, maxCost float64
	demandMeasuredAt       time.Duration
	// demand is the smoothed cost per second that callers ask for.
	demand float64
	// waitingCost is the total cost of the admissions that wait for a loan, waiters is their number.
	waitingCost float64
	waiters     int
	// wake is closed to wake the waiting admissions; it is nil when none has waited since the last time.
	wake chan struct{}
	// lendersEmpty is set while the tokens here and the estimated tokens of all lenders do not suffice for an admission of
	// maxCost, so that waiting is useless.
	lendersEmpty bool
	counts       Counts

	_ [64]byte // keeps the locks of two limiters on different cache lines
}

// Counts are totals of one budget on this host since the budget was added. Admitted and Refused count admissions, Borrowed
// and Lent are amounts of tokens.
type Counts struct {
	Admitted uint64  `json:"admitted"`
	Refused  uint64  `json:"refused"`
	Borrowed float64 `json:"borrowed"`
	Lent     float64 `json:"lent"`
}

func (lim *limiter) heldShares() int { return bits.OnesCount64(lim.heldSlots) }

// takeTokens takes cost and reports whether there were enough tokens; otherwise it takes none. Borrowed tokens go first,
// because they expire. valid is whether the host's lease is valid, without which its own tokens must not be used.
func (lim *limiter) takeTokens(now time.Duration, cost float64, valid bool) bool {
	borrowed := 0.0
	for i := range lim.borrowedLoans {
		borrowed += lim.borrowedLoans[i].Usable(now)
	}
	ownTokens := max(0, cost-borrowed)
	if ownTokens > 0 {
		if !valid {
			return false
		}
		b, ok := lim.bucket.Take(now, ownTokens)
		lim.bucket = b
		if !ok {
			return false
		}
	}
	remaining := cost - ownTokens
	for i := range lim.borrowedLoans {
		if remaining <= 0 {
			break
		}
		part := min(remaining, lim.borrowedLoans[i].Usable(now))
		lim.borrowedLoans[i].Left -= part
		remaining -= part
	}
	return true
}

// usableTokens returns the own and the borrowed tokens that could be spent at now.
func (lim *limiter) usableTokens(now time.Duration, valid bool) (tokens float64) {
	if valid {
		lim.bucket = lim.bucket.Refilled(now)
		tokens = max(0, lim.bucket.Level)
	}
	for _, l := range lim.borrowedLoans {
		tokens += l.Usable(now)
	}
	return tokens
}

// reserveTokens returns the tokens to keep in reserve beyond those that waiting admissions need: the demand within
// demandHorizon. Demand above the rate cannot last, so it does not count. A reserve of less than one admission is not worth
// a loan in advance, so it counts as 0.
func (lim *limiter) reserveTokens() float64 {
	tokens := min(lim.demand, lim.limits.Rate) * demandHorizon.Seconds()
	if tokens < lim.maxCost {
		return 0
	}
	return tokens
}

func (lim *limiter) wakeWaiters() {
	if lim.wake != nil {
		close(lim.wake)
		lim.wake = nil
	}
}

// setLimits replaces the limits. Shares that the budget did not have before start empty.
func (lim *limiter) setLimits(now time.Duration, limits budget.Limits, held uint64, clockFactor float64) {
	if limits == lim.limits {
		return
	}
	lim.limits, lim.slots = limits, limits.Slots(lim.name)
	lim.heldSlots = held & lim.slots
	lim.bucket = lim.bucket.WithLimits(now, limits.Bucket(lim.heldShares(), clockFactor, now))
}

// releaseSlots removes the shares of the lost slots. It returns what goes to the next holder with each of these shares, and
// which of the lost slots this limiter held.
func (lim *limiter) releaseSlots(now time.Duration, lost uint64) (perShare budget.ShareTransfer, slots uint64) {
	slots = lim.heldSlots & lost
	lostShares, allShares := bits.OnesCount64(slots), lim.heldShares()
	if lostShares == 0 {
		return perShare, 0
	}
	rest, transfer := lim.bucket.Split(now, lostShares, allShares)
	lim.bucket, lim.heldSlots = rest, lim.heldSlots&^slots
	lim.outstandingLoans = lim.outstandingLoans.Scaled(1 - float64(lostShares)/float64(allShares))
	return budget.ShareTransfer{
		Tokens: transfer.Tokens / float64(lostShares), Outstanding: transfer.Outstanding / float64(lostShares),
	}, slots
}

// acquireSlot adds the share of a slot with the tokens and outstanding loans that its previous holder transferred.
func (lim *limiter) acquireSlot(now time.Duration, slot uint64, clockFactor float64, transfer budget.ShareTransfer) {
	if lim.slots&slot == 0 || lim.heldSlots&slot != 0 {
		return
	}
	before := lim.bucket.Outstanding
	lim.heldSlots |= slot
	lim.bucket = lim.bucket.Merged(now, lim.limits.Bucket(1, clockFactor, now), transfer)
	lim.outstandingLoans = lim.outstandingLoans.WithTransferred(now, lim.bucket.Outstanding-before)
	lim.wakeWaiters()
}

// dropSlots discards the shares and the loans given from them, for example after fencing. Borrowed tokens
// stay usable until they expire.
func (lim *limiter) dropSlots(now time.Duration) {
	lim.heldSlots, lim.outstandingLoans, lim.bucket = 0, budget.OutstandingLoans{}, budget.Bucket{RefilledAt: now}
}
