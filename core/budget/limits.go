package budget

import (
	"maps"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"vanillatally/core/ledger"
)

// ClockFactor divides every refill rate, because a holder's clock may run 1% fast.
const ClockFactor = 1.01

// stride is odd, so that the shares of a team fall on distinct slots, and near 64 divided by the
// golden ratio, so that few shares are spread widely.
const stride = 39

// Limits are the rate and burst of a team in requests, or of a link in bytes.
type Limits struct {
	// Rate is in units per second, above 0.
	Rate float64
	// Burst is in units, above 0.
	Burst float64
}

// Validate reports limits that cannot be enforced.
func (l Limits) Validate() error {
	for name, v := range map[string]float64{"rate": l.Rate, "burst": l.Burst} {
		if !(v > 0) || math.IsInf(v, 0) {
			return errors.Newf("%s is %v, accepted are finite numbers above 0", name, v)
		}
	}
	return nil
}

// Shares returns the number of shares into which the limits are divided, 1 to 64.
// A share of a team has at least one token, so that it can admit a whole request.
func (l Limits) Shares() int {
	return int(max(1, min(ledger.SlotCount, math.Floor(l.Burst))))
}

// Slots returns the set of slots to which the shares of name belong, one bit for each slot.
func (l Limits) Slots(name string) (slots uint64) {
	first := xxhash.Sum64String(name)
	for j := range l.Shares() {
		slots |= 1 << ((first + uint64(j)*stride) % ledger.SlotCount)
	}
	return slots
}

// Bucket returns the empty bucket of some of the shares. factor is ClockFactor except in experiments.
func (l Limits) Bucket(shares int, factor float64, now time.Duration) Bucket {
	part := float64(shares) / float64(l.Shares())
	return Bucket{Cap: l.Burst * part, Rate: l.Rate * part / factor, RefilledAt: now}
}

// EqualDivision returns the full bucket of one host when the limits are divided statically.
// It is the baseline in comparisons.
func (l Limits) EqualDivision(hosts int, now time.Duration) Bucket {
	n := float64(hosts)
	return Bucket{Level: l.Burst / n, Cap: l.Burst / n, Rate: l.Rate / n / ClockFactor, RefilledAt: now}
}

// LimitTable holds the limits by name. It is immutable.
type LimitTable struct{ limits map[string]Limits }

// NewLimitTable returns a table with a copy of limits, or an error that names the first bad entry.
func NewLimitTable(limits map[string]Limits) (table LimitTable, err error) {
	for name, l := range limits {
		if err := l.Validate(); err != nil {
			return LimitTable{}, errors.Wrapf(err, "limits of %q", name)
		}
	}
	return LimitTable{maps.Clone(limits)}, nil
}

// All returns a copy of the limits by name.
func (t LimitTable) All() map[string]Limits { return maps.Clone(t.limits) }
