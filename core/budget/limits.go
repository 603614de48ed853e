package budget

import (
	"maps"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"vanillatally/core/ledger"
)

// ClockFactor divides every refill rate, because a host's clock may run 1% fast.
const ClockFactor = 1.01

// slotStride is the distance between the slots of consecutive shares. It is odd, so that the shares of a limit fall on
// distinct slots, and near 64 divided by the golden ratio, so that a few shares are spread evenly over the slots.
const slotStride = 39

// Limits are the rate and burst of a team in requests, or of a link in bytes.
type Limits struct {
	// Rate is the number of requests or bytes per second, above 0.
	Rate float64
	// Burst is the number of requests or bytes above 0 that are admitted at once.
	Burst float64
}

// Validate returns an error if the limits are not finite numbers above 0.
func (l Limits) Validate() error {
	for name, v := range map[string]float64{"rate": l.Rate, "burst": l.Burst} {
		if !(v > 0) || math.IsInf(v, 0) {
			return errors.Newf("%s is %v, want a finite number above 0", name, v)
		}
	}
	return nil
}

// Shares returns the number of shares into which the limits are divided, 1 to SlotCount. If the burst allows it, a share
// has room for at least one token, so that it can admit a request.
func (l Limits) Shares() int {
	return int(max(1, min(ledger.SlotCount, math.Floor(l.Burst))))
}

// Slots returns the slots of the shares of the limit called name, one bit for each slot.
func (l Limits) Slots(name string) (slots uint64) {
	first := xxhash.Sum64String(name)
	for j := range l.Shares() {
		slots |= 1 << ((first + uint64(j)*slotStride) % ledger.SlotCount)
	}
	return slots
}

// Bucket returns an empty bucket for a number of shares. factor is ClockFactor except in experiments.
func (l Limits) Bucket(shares int, factor float64, now time.Duration) Bucket {
	fraction := float64(shares) / float64(l.Shares())
	return Bucket{Cap: l.Burst * fraction, Rate: l.Rate * fraction / factor, RefilledAt: now}
}

// EqualDivision returns the full bucket of one host when the limits are divided equally between hosts.
// It is the baseline in comparisons.
func (l Limits) EqualDivision(hosts int, now time.Duration) Bucket {
	count := float64(hosts)
	return Bucket{Level: l.Burst / count, Cap: l.Burst / count, Rate: l.Rate / count / ClockFactor, RefilledAt: now}
}

// LimitTable holds limits by name. It is immutable.
type LimitTable struct{ limits map[string]Limits }

// NewLimitTable returns a table with a copy of limits, or an error that names an invalid entry.
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
