package configs

import (
	"math"
	"testing"
	"time"
)

// Guards against an absurd age in another host's statement that overflows to a negative one and makes the statement newer than
// any other.
func TestAgeOfStatementIsBounded(t *testing.T) {
	for age, want := range map[uint64]time.Duration{
		0: 0, 250: 250 * time.Millisecond, math.MaxUint64: FreshnessTTL, math.MaxInt64: FreshnessTTL, 1 << 45: FreshnessTTL,
	} {
		if got := (freshnessStatement{AgeMillis: age}).age(); got != want {
			t.Errorf("age %d ms counts as %v, want %v", age, got, want)
		}
	}
}
