package budget

import (
	"slices"
	"time"
)

// The lifetimes of a loan. The borrower counts from the sending of its request and the lender from its
// grant, each on its own clock. The factors keep the borrower's end before the lender's when both clocks err by 1%.
const (
	LoanLife   = time.Second
	BorrowLife = LoanLife * 99 / 100
	LenderLife = LoanLife * 102 / 100
	// LeastLoan is the smallest loan as a part of the cost of an admission.
	LeastLoan = 0.05
	// MaxLent bounds the loans of one budget that a lender remembers; above it nothing is lent.
	MaxLent = 256
	// MaxBorrowed bounds the loans and the open requests of one budget at a borrower; above it none is requested.
	MaxBorrowed = 64
)

// Request asks a lender for tokens.
type Request struct {
	Name string `cbor:"name"`
	// ID is unique among all requests of a borrower, restarts included.
	ID     uint64  `cbor:"id"`
	Amount float64 `cbor:"amount"`
	// Unit is the largest cost of a single admission; less than LeastLoan of it is not worth a loan.
	Unit float64 `cbor:"unit"`
}

// Grant answers a Request. The borrower may spend Amount until Life after it sent the request.
type Grant struct {
	Name   string        `cbor:"name"`
	ID     uint64        `cbor:"id"`
	Amount float64       `cbor:"amount"`
	Life   time.Duration `cbor:"life"`
	// Left is the lender's level after the grant, a hint for the next request.
	Left float64 `cbor:"left"`
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

// Book remembers the outstanding loans of one budget at its lender. It is immutable.
type Book struct{ lent []lent }

// Len returns the number of outstanding loans.
func (k Book) Len() int { return len(k.lent) }

// Knows reports whether the borrower's request was already granted.
func (k Book) Knows(borrower string, id uint64) bool {
	return slices.ContainsFunc(k.lent, func(l lent) bool { return l.borrower == borrower && l.id == id })
}

// Lend deducts a loan from b, keeping reserve for the lender's own use. life bounds the loan in addition
// to LoanLife, because loans must end before the lender's lease. A duplicate request gets nothing.
func (k Book) Lend(now time.Duration, b Bucket, borrower string, r Request, reserve float64, life time.Duration) (Book, Bucket, Grant) {
	b = b.Refilled(now)
	grant := Grant{Name: r.Name, ID: r.ID, Left: b.Level}
	// A reserve of less than one admission would keep a whole token from a host that can use it.
	if reserve < r.Unit {
		reserve = 0
	}
	amount := min(r.Amount, b.Level-reserve)
	if !(amount > 0) || amount < r.Unit*LeastLoan || life <= 0 || len(k.lent) >= MaxLent || k.Knows(borrower, r.ID) {
		return k, b, grant
	}
	b.Level -= amount
	b.Outstanding += amount
	grant.Amount, grant.Left = amount, b.Level
	// 2% shorter than the lease, because lender and borrower may count it at rates 2% apart.
	grant.Life = min(BorrowLife, min(life, LenderLife)*98/100)
	return k.with(lent{borrower, r.ID, amount, now + LenderLife}), b, grant
}

// Carried notes loans of the previous holder of a share; Bucket.Merged has counted them as outstanding.
func (k Book) Carried(now time.Duration, amount float64) Book {
	if amount <= 0 {
		return k
	}
	return k.with(lent{amount: amount, until: now + LenderLife})
}

func (k Book) with(l lent) Book { return Book{append(slices.Clip(k.lent), l)} }

// Settle frees the outstanding part of a loan that the borrower closed and takes back what it returned.
// The loan is removed, so a duplicate report has no effect.
func (k Book) Settle(now time.Duration, b Bucket, borrower string, s Settlement) (Book, Bucket) {
	b = b.Refilled(now)
	i := slices.IndexFunc(k.lent, func(l lent) bool { return l.borrower == borrower && l.id == s.ID })
	if i < 0 {
		return k, b
	}
	amount := k.lent[i].amount
	b.Outstanding -= amount
	b.Level += min(max(0, s.Returned), amount)
	return Book{slices.Delete(slices.Clone(k.lent), i, i+1)}, b.clamped()
}

// Expire frees the loans whose lifetime has ended; their tokens are lost.
func (k Book) Expire(now time.Duration, b Bucket) (Book, Bucket) {
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
	return Book{kept}, b.clamped()
}

// Scaled returns the book after a part of the shares, and with it of each loan, was released.
func (k Book) Scaled(factor float64) Book {
	kept := slices.Clone(k.lent)
	for i := range kept {
		kept[i].amount *= factor
	}
	return Book{kept}
}

// Loan is a loan at its borrower.
type Loan struct {
	Lender string
	ID     uint64
	// Left is what may still be spent, Amount what was granted.
	Left, Amount float64
	// Until is the end of the loan on the borrower's clock.
	Until time.Duration
}

// Accept returns the loan of a grant for a request that was sent at sent to lender.
func Accept(lender string, sent time.Duration, g Grant) Loan {
	return Loan{Lender: lender, ID: g.ID, Left: g.Amount, Amount: g.Amount, Until: sent + min(g.Life, BorrowLife)}
}

// Usable returns the tokens that may be spent at now.
func (l Loan) Usable(now time.Duration) float64 {
	if now >= l.Until {
		return 0
	}
	return l.Left
}

// Settlement reports the loan as closed. The caller must drop the loan before it sends the report.
func (l Loan) Settlement(name string) Settlement {
	return Settlement{Name: name, ID: l.ID, Spent: l.Amount - l.Left, Returned: l.Left}
}
