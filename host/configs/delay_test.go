package configs

import (
	"testing"
	"time"
)

// Guards against a statement that waited in a socket while this host was paused and then counts as a new one.
func TestLagCountsTheWaitOfADelayedStatement(t *testing.T) {
	const second = time.Second
	type arrival struct {
		now, sent   time.Duration
		instance    uint64
		extraDelay  time.Duration
		hasBaseline bool
	}
	cases := map[string][]arrival{
		"statements on time": {{10 * second, second, 1, 0, false}, {11 * second, 2 * second, 1, 0, true}},
		"paused for 6 s after two statements": {
			{10 * second, second, 1, 0, false},
			{11 * second, 2 * second, 1, 0, true},
			{18 * second, 3 * second, 1, 6 * second, true},
			{18 * second, 4 * second, 1, 5 * second, true},
			{19 * second, 10 * second, 1, 0, true},
		},
		"statements of a new relay arrive all at once after a pause": {
			{18 * second, 3 * second, 2, 0, false}, {18 * second, 4 * second, 2, 0, false},
		},
		"the baseline outlives one window": {
			{10 * second, second, 1, 0, false}, {26 * second, 17 * second, 1, 0, true}, {30 * second, 20 * second, 1, second, true},
		},
	}
	for name, arrivals := range cases {
		t.Run(name, func(t *testing.T) {
			var estimate delayEstimate
			for i, a := range arrivals {
				next, extraDelay, hasBaseline := estimate.withStatement(a.now, a.sent, a.instance)
				if extraDelay != a.extraDelay || hasBaseline != a.hasBaseline {
					t.Errorf("arrival %d: extra %s, known %t, want %s, %t", i, extraDelay, hasBaseline, a.extraDelay, a.hasBaseline)
				}
				estimate = next
			}
		})
	}
}
