package budget

import (
	"slices"
	"time"
)

// Durations and limits of loans. The borrower counts a loan's lifetime from sending its request and the lender from its
// grant, each on its own clock. The factors make the loan end at the borrower first when both clocks err by 1%.
const (
	LoanTTL     = time.Second
	BorrowerTTL = LoanTTL * 99 / 100
	LenderTTL   = LoanTTL * 102 / 100
	// MinLoanFraction is the smallest loan as a fraction of LoanRequest.MaxCost.
	MinLoanFraction = 0.05
	// MaxOutstandingLoans bounds the loans of one limit at a lender. At this bound nothing more is lent.
	MaxOutstandingLoans = 256
	// MaxLoansPerBorrower bounds the loans and pending requests of one limit at a borrower. At this bound no loan is
	// requested.
	MaxLoansPerBorrower = 64
)

// LoanRequest asks a lender for tokens.
type LoanRequest struct {
	Name string `cbor:"name"`
	// ID is unique among all requests of a borrower, also across restarts.
	ID     uint64  `cbor:"id"`
	Amount float64 `cbor:"amount"`
	// MaxCost is the largest cost of a single admission. A loan of less than MinLoanFraction of it is not granted.
	MaxCost float64 `cbor:"unit"`
}

// LoanGrant answers a LoanRequest. The borrower may spend Amount until TTL after it sent the request.
type LoanGrant struct {
	Name   string        `cbor:"name"`
	ID     uint64        `cbor:"id"`
	Amount float64       `cbor:"amount"`
	TTL    time.Duration `cbor:"life"`
	// LenderLevel is the level of the lender's bucket after the grant, a hint for the next request.
	LenderLevel float64 `cbor:"left"`
}

// Settlement reports a closed loan: the tokens spent and the tokens returned to the lender.
type Settlement struct {
	Name     string  `cbor:"name"`
	ID       uint64  `cbor:"id"`
	Spent    float64 `cbor:"spent"`
	Returned float64 `cbor:"returned"`
}

// outstandingLoan is a loan at its lender. Loans of a former holder of a share have no borrower.
type outstandingLoan struct {
	borrower string
	id       uint64
	amount   float64
	expiry   time.Duration
}

// OutstandingLoans holds the outstanding loans of one limit at the lender. It is immutable.
type OutstandingLoans struct{ loans []outstandingLoan }

// Len returns the number of outstanding loans.
func (o OutstandingLoans) Len() int { return len(o.loans) }

// Contains reports whether the borrower's request was granted and its loan is outstanding.
func (o OutstandingLoans) Contains(borrower string, id uint64) bool {
	return slices.ContainsFunc(o.loans, func(l outstandingLoan) bool { return l.borrower == borrower && l.id == id })
}

// Lend grants a loan from b and keeps reserve for the lender's own use. leaseLeft is the remaining time of the lender's
// lease, before whose end the loan has to end. A duplicate request gets a grant of 0.
func (o OutstandingLoans) Lend(
	now time.Duration, b Bucket, borrower string, r LoanRequest, reserve float64, leaseLeft time.Duration,
) (OutstandingLoans, Bucket, LoanGrant) {
	b = b.Refilled(now)
	grant := LoanGrant{Name: r.Name, ID: r.ID, LenderLevel: b.Level}
	// A reserve of less than one admission is of no use to the lender, while the borrower could use the token.
	if reserve < r.MaxCost {
		reserve = 0
	}
	amount := min(r.Amount, b.Level-reserve)
	if !(amount > 0) || amount < r.MaxCost*MinLoanFraction || leaseLeft <= 0 ||
		len(o.loans) >= MaxOutstandingLoans || o.Contains(borrower, r.ID) {
		return o, b, grant
	}
	b.Level -= amount
	b.Outstanding += amount
	grant.Amount, grant.LenderLevel = amount, b.Level
	// 2% shorter than the lease, because the clocks of lender and borrower may run at rates that differ by 2%.
	grant.TTL = min(BorrowerTTL, min(leaseLeft, LenderTTL)*98/100)
	return o.withLoan(outstandingLoan{borrower, r.ID, amount, now + LenderTTL}), b, grant
}

// WithTransferred adds the loans of the former holder of a share, which Bucket.Merged has added to Outstanding.
func (o OutstandingLoans) WithTransferred(now time.Duration, amount float64) OutstandingLoans {
	if amount <= 0 {
		return o
	}
	return o.withLoan(outstandingLoan{amount: amount, expiry: now + LenderTTL})
}

func (o OutstandingLoans) withLoan(l outstandingLoan) OutstandingLoans {
	return OutstandingLoans{append(slices.Clip(o.loans), l)}
}

// Settle closes a loan and puts the returned tokens back into b. A duplicate settlement has no effect, since the loan is
// no longer there.
func (o OutstandingLoans) Settle(now time.Duration, b Bucket, borrower string, s Settlement) (OutstandingLoans, Bucket) {
	b = b.Refilled(now)
	i := slices.IndexFunc(o.loans, func(l outstandingLoan) bool { return l.borrower == borrower && l.id == s.ID })
	if i < 0 {
		return o, b
	}
	amount := o.loans[i].amount
	b.Outstanding -= amount
	b.Level += min(max(0, s.Returned), amount)
	return OutstandingLoans{slices.Delete(slices.Clone(o.loans), i, i+1)}, b.clamped()
}

// Expire closes the loans whose lifetime has ended. Their unspent tokens are lost.
func (o OutstandingLoans) Expire(now time.Duration, b Bucket) (OutstandingLoans, Bucket) {
	if !slices.ContainsFunc(o.loans, func(l outstandingLoan) bool { return l.expiry <= now }) {
		return o, b
	}
	b = b.Refilled(now)
	kept := make([]outstandingLoan, 0, len(o.loans))
	for _, l := range o.loans {
		if l.expiry <= now {
			b.Outstanding -= l.amount
		} else {
			kept = append(kept, l)
		}
	}
	return OutstandingLoans{kept}, b.clamped()
}

// Scaled returns the loans with their amounts multiplied by factor, after the rest passed on with released shares.
func (o OutstandingLoans) Scaled(factor float64) OutstandingLoans {
	kept := slices.Clone(o.loans)
	for i := range kept {
		kept[i].amount *= factor
	}
	return OutstandingLoans{kept}
}

// Loan is a loan at its borrower.
type Loan struct {
	Lender string
	ID     uint64
	// Left is the number of tokens that may still be spent, Amount the number granted.
	Left, Amount float64
	// Expiry is the end of the loan on the borrower's clock.
	Expiry time.Duration
}

// Accept returns the loan for a grant, which answers the request sent to lender at sent.
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

// Settlement returns the report that closes the loan. The caller has to drop the loan before it sends the report.
func (l Loan) Settlement(name string) Settlement {
	return Settlement{Name: name, ID: l.ID, Spent: l.Amount - l.Left, Returned: l.Left}
}
