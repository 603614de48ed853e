package configs

import (
	"testing"
	"time"
)

// Guards against a statement that waited in a socket, while the host was paused, being taken for a new one.
func TestLagCountsTheWaitOfADelayedStatement(t *testing.T) {
	const second = time.Second
	type arrival struct {
		now, sent time.Duration
		instance  uint64
		extra     time.Duration
		known     bool
	}
	cases := map[string][]arrival{
		"statements in time": {{10 * second, second, 1, 0, false}, {11 * second, 2 * second, 1, 0, true}},
		"paused for 6 s after two statements": {
			{10 * second, second, 1, 0, false},
			{11 * second, 2 * second, 1, 0, true},
			{18 * second, 3 * second, 1, 6 * second, true},
			{18 * second, 4 * second, 1, 5 * second, true},
			{19 * second, 10 * second, 1, 0, true},
		},
		"a new relay's statements arrive together after a pause": {
			{18 * second, 3 * second, 2, 0, false}, {18 * second, 4 * second, 2, 0, false},
		},
		"the baseline outlives one window": {
			{10 * second, second, 1, 0, false}, {26 * second, 17 * second, 1, 0, true}, {30 * second, 20 * second, 1, second, true},
		},
	}
	for name, arrivals := range cases {
		t.Run(name, func(t *testing.T) {
			var l lag
			for i, a := range arrivals {
				next, extra, known := l.withStatement(a.now, a.sent, a.instance)
				if extra != a.extra || known != a.known {
					t.Errorf("arrival %d: extra %s, known %t, want %s, %t", i, extra, known, a.extra, a.known)
				}
				l = next
			}
		})
	}
}
