package budget

import (
	"slices"
	"time"
)

// The lifetimes of a loan. The borrower counts from the sending of its request and the lender from its
// grant, each on its own clock. The factors keep the borrower's end before the lender's when both clocks err by 1%.
const (
	LoanTTL     = time.Second
	BorrowerTTL = LoanTTL * 99 / 100
	LenderTTL   = LoanTTL * 102 / 100
	// MinLoanFraction is the smallest loan as a part of the cost of an admission.
	MinLoanFraction = 0.05
	// MaxOutstandingLoans bounds the loans of one budget that a lender remembers; above it nothing is lent.
	MaxOutstandingLoans = 256
	// MaxLoansPerBorrower bounds the loans and the open requests of one budget at a borrower; above it none is requested.
	MaxLoansPerBorrower = 64
)

// LoanRequest asks a lender for tokens.
type LoanRequest struct {
	Name string `cbor:"name"`
	// ID is unique among all requests of a borrower, restarts included.
	ID     uint64  `cbor:"id"`
	Amount float64 `cbor:"amount"`
	// MaxCost is the largest cost of a single admission; less than LeastLoan of it is not worth a loan.
	MaxCost float64 `cbor:"unit"`
}

// LoanGrant answers a Request. The borrower may spend Amount until Life after it sent the request.
type LoanGrant struct {
	Name   string        `cbor:"name"`
	ID     uint64        `cbor:"id"`
	Amount float64       `cbor:"amount"`
	TTL    time.Duration `cbor:"life"`
	// LenderLevel is the lender's level after the grant, a hint for the next request.
	LenderLevel float64 `cbor:"left"`
}

// Settlement reports a closed loan: what was spent and what is returned.
type Settlement struct {
	Name     string  `cbor:"name"`
	ID       uint64  `cbor:"id"`
	Spent    float64 `cbor:"spent"`
	Returned float64 `cbor:"returned"`
}

type lent struct {
	borrower string
	id       uint64
	amount   float64
	until    time.Duration
}

// OutstandingLoans remembers the outstanding loans of one budget at its lender. It is immutable.
type OutstandingLoans struct{ lent []lent }

// Len returns the number of outstanding loans.
func (k OutstandingLoans) Len() int { return len(k.lent) }

// Contains reports whether the borrower's request was already granted.
func (k OutstandingLoans) Contains(borrower string, id uint64) bool {
	return slices.ContainsFunc(k.lent, func(l lent) bool { return l.borrower == borrower && l.id == id })
}

// Lend deducts a loan from b, keeping reserve for the lender's own use. life bounds the loan in addition
// to LoanLife, because loans must end before the lender's lease. A duplicate request gets nothing.
func (k OutstandingLoans) Lend(now time.Duration, b Bucket, borrower string, r LoanRequest, reserve float64, life time.Duration) (OutstandingLoans, Bucket, LoanGrant) {
	b = b.Refilled(now)
	grant := LoanGrant{Name: r.Name, ID: r.ID, LenderLevel: b.Level}
	// A reserve of less than one admission would keep a whole token from a host that can use it.
	if reserve < r.MaxCost {
		reserve = 0
	}
	amount := min(r.Amount, b.Level-reserve)
	if !(amount > 0) || amount < r.MaxCost*MinLoanFraction || life <= 0 || len(k.lent) >= MaxOutstandingLoans || k.Contains(borrower, r.ID) {
		return k, b, grant
	}
	b.Level -= amount
	b.Outstanding += amount
	grant.Amount, grant.LenderLevel = amount, b.Level
	// 2% shorter than the lease, because lender and borrower may count it at rates 2% apart.
	grant.TTL = min(BorrowerTTL, min(life, LenderTTL)*98/100)
	return k.with(lent{borrower, r.ID, amount, now + LenderTTL}), b, grant
}

// WithTransferred notes loans of the previous holder of a share; Bucket.Merged has counted them as outstanding.
func (k OutstandingLoans) WithTransferred(now time.Duration, amount float64) OutstandingLoans {
	if amount <= 0 {
		return k
	}
	return k.with(lent{amount: amount, until: now + LenderTTL})
}

func (k OutstandingLoans) with(l lent) OutstandingLoans {
	return OutstandingLoans{append(slices.Clip(k.lent), l)}
}

// Settle frees the outstanding part of a loan that the borrower closed and takes back what it returned.
// The loan is removed, so a duplicate report has no effect.
func (k OutstandingLoans) Settle(now time.Duration, b Bucket, borrower string, s Settlement) (OutstandingLoans, Bucket) {
	b = b.Refilled(now)
	i := slices.IndexFunc(k.lent, func(l lent) bool { return l.borrower == borrower && l.id == s.ID })
	if i < 0 {
		return k, b
	}
	amount := k.lent[i].amount
	b.Outstanding -= amount
	b.Level += min(max(0, s.Returned), amount)
	return OutstandingLoans{slices.Delete(slices.Clone(k.lent), i, i+1)}, b.clamped()
}

// Expire frees the loans whose lifetime has ended; their tokens are lost.
func (k OutstandingLoans) Expire(now time.Duration, b Bucket) (OutstandingLoans, Bucket) {
	if !slices.ContainsFunc(k.lent, func(l lent) bool { return l.until <= now }) {
		return k, b
	}
	b = b.Refilled(now)
	kept := make([]lent, 0, len(k.lent))
	for _, l := range k.lent {
		if l.until <= now {
			b.Outstanding -= l.amount
		} else {
			kept = append(kept, l)
		}
	}
	return OutstandingLoans{kept}, b.clamped()
}

// Scaled returns the book after a part of the shares, and with it of each loan, was released.
func (k OutstandingLoans) Scaled(factor float64) OutstandingLoans {
	kept := slices.Clone(k.lent)
	for i := range kept {
		kept[i].amount *= factor
	}
	return OutstandingLoans{kept}
}

// Loan is a loan at its borrower.
type Loan struct {
	Lender string
	ID     uint64
	// Left is what may still be spent, Amount what was granted.
	Left, Amount float64
	// Expiry is the end of the loan on the borrower's clock.
	Expiry time.Duration
}

// Accept returns the loan of a grant for a request that was sent at sent to lender.
func Accept(lender string, sent time.Duration, g LoanGrant) Loan {
	return Loan{Lender: lender, ID: g.ID, Left: g.Amount, Amount: g.Amount, Expiry: sent + min(g.TTL, BorrowerTTL)}
}

// Usable returns the tokens that may be spent at now.
func (l Loan) Usable(now time.Duration) float64 {
	if now >= l.Expiry {
		return 0
	}
	return l.Left
}

// Settlement reports the loan as closed. The caller must drop the loan before it sends the report.
func (l Loan) Settlement(name string) Settlement {
	return Settlement{Name: name, ID: l.ID, Spent: l.Amount - l.Left, Returned: l.Left}
}
