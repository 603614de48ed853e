package budget

import (
	"flag"
	"fmt"
	"math"
	"math/bits"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Seeds are fixed; -rapid.seed on the command line takes another.
func init() { _ = flag.Set("rapid.seed", "1") }

// Guards against shares that are too small to admit a request, two shares in one slot, and limits that cannot be
// enforced.
func TestLimitsAreDividedIntoShares(t *testing.T) {
	for _, c := range []struct {
		burst float64
		want  int
	}{{0.5, 1}, {1, 1}, {3, 3}, {3.9, 3}, {64, 64}, {1e9, 64}} {
		l := Limits{Rate: 2, Burst: c.burst}
		if got := l.Shares(); got != c.want || bits.OnesCount64(l.Slots("team")) != got {
			t.Errorf("burst %v: %d shares in slots %x, want %d", c.burst, got, l.Slots("team"), c.want)
		}
	}
	for _, bad := range []Limits{{0, 1}, {1, 0}, {math.NaN(), 1}, {1, math.Inf(1)}} {
		if _, err := NewLimitTable(map[string]Limits{"t": bad}); err == nil {
			t.Errorf("invalid limits %+v were accepted", bad)
		}
	}
}

// Guards against operations that create tokens, in random sequences of taking, lending, settling, expiring, correcting
// and moving shares between two holders. Both buckets start empty, so at most rate × time may be taken, and no bucket
// may have and lend more than its cap.
func TestBucketsNeverCreateTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{rapid.Float64Range(0.5, 1e6).Draw(t, "rate"), rapid.Float64Range(2, 1e6).Draw(t, "burst")}
		shareCount := l.Shares()
		a, b := l.Bucket(shareCount, ClockFactor, 0), l.Bucket(0, ClockFactor, 0)
		var loans OutstandingLoans
		now, taken, grants := time.Duration(0), 0.0, map[uint64]float64{}
		for id := range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, 1e9).Draw(t, "pause"))
			amount := rapid.Float64Range(0, l.Burst).Draw(t, "amount")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				var ok bool
				if a, ok = a.Take(now, amount); ok {
					taken += amount
				}
			case 1:
				var g LoanGrant
				loans, a, g = loans.Lend(now, a, "x", LoanRequest{"t", uint64(id), amount, 1}, 0, LoanTTL)
				grants[uint64(id)] = g.Amount
				loans, a, _ = loans.Lend(now, a, "x", LoanRequest{"t", uint64(id), amount, 1}, 0, LoanTTL)
			case 2:
				loan := grants[uint64(id/2)]
				spent := rapid.Float64Range(0, 1).Draw(t, "spent") * loan
				s := Settlement{"t", uint64(id / 2), spent, loan - spent}
				if loans.Contains("x", s.ID) {
					taken += spent
				}
				loans, a = loans.Settle(now, a, "x", s)
				loans, a = loans.Settle(now, a, "x", s)
			case 3:
				if shares := int(math.Round(a.Cap / l.Burst * float64(shareCount))); shares > 1 {
					var transfer ShareTransfer
					a, transfer = a.Split(now, 1, shares)
					loans = loans.Scaled(1 - 1/float64(shares))
					b = b.Merged(now, l.Bucket(1, ClockFactor, now), transfer)
				}
			case 4:
				loans, a = loans.Expire(now, a)
			case 5:
				a = a.Corrected(now, amount)
			}
			for _, x := range []Bucket{a, b} {
				if x.Level+x.Outstanding > x.Cap*(1+1e-9) {
					t.Fatalf("level %v and outstanding %v exceed the cap %v", x.Level, x.Outstanding, x.Cap)
				}
			}
			if a.Cap+b.Cap > l.Burst*(1+1e-9) || (a.Rate+b.Rate)*ClockFactor > l.Rate*(1+1e-9) {
				t.Fatalf("caps %v + %v or rates %v + %v exceed the limits", a.Cap, b.Cap, a.Rate, b.Rate)
			}
			if limit := l.Rate * now.Seconds(); taken > limit*(1+1e-9) {
				t.Fatalf("%v tokens taken in %v from empty buckets, more than the rate allows", taken, now)
			}
		}
	})
}

// Guards against a borrower that spends a loan after the lender has closed it, or after the lender's lease has expired.
func TestLoanEndsFirstAtBorrower(t *testing.T) {
	for _, c := range []struct {
		leaseLeft time.Duration
		wantTTL   time.Duration
	}{{time.Hour, BorrowerTTL}, {500 * time.Millisecond, 490 * time.Millisecond}, {0, 0}} {
		t.Run(fmt.Sprint(c.leaseLeft), func(t *testing.T) {
			b := Bucket{Level: 5, Cap: 10}
			_, b, g := OutstandingLoans{}.Lend(0, b, "x", LoanRequest{"t", 1, 3, 1}, 0, c.leaseLeft)
			if g.TTL != c.wantTTL || b.Level+g.Amount != 5 {
				t.Fatalf("grant %+v leaves a level of %v, want a TTL of %v and a sum of 5 tokens", g, b.Level, c.wantTTL)
			}
			l := Accept("y", time.Second, g)
			if c.wantTTL > 0 && (l.Usable(time.Second+c.wantTTL-1) != 3 || l.Usable(time.Second+c.wantTTL) != 0) {
				t.Fatalf("loan %+v does not expire %v after the request", l, c.wantTTL)
			}
		})
	}
}
