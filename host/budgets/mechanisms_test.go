package budgets

import (
	"strings"
	"testing"
	"time"

	"vanillatally/core/lease"
)

// Guards against a check of histories that cannot fail. Without each mechanism, some history with the named faults must
// exceed a limit or let two hosts use a slot; with the mechanism the same history must not.
func TestHistoriesFailWithoutEachMechanism(t *testing.T) {
	without := func(d disabledChecks) func(*simulation) {
		return func(s *simulation) { s.setup = func(n *node) { n.disabled = d } }
	}
	for _, c := range []struct {
		mechanism string
		faults    []string
		disable   func(*simulation)
		find      string
		// from is the first seed of the search, shortly before a seed that is known to fail without the mechanism.
		from int
	}{
		{"lease check", []string{"pause", "isolate"}, without(disabledChecks{noLeaseCheck: true}), "held twice", 0},
		{"outstanding count", []string{"lossy"}, without(disabledChecks{noOutstandingCount: true}), "over rate", 0},
		{
			"empty start of a taken-over slot",
			[]string{"kill", "restart"},
			without(disabledChecks{fullBucketOnAcquire: true}), "over rate", 0,
		},
		{"duplicate detection", []string{"lossy"}, without(disabledChecks{acceptDuplicateGrants: true}), "over rate", 0},
		{"release before use", []string{"join", "pause"}, without(disabledChecks{noReleaseWait: true}), "held twice", 0},
		{"votes of all witnesses", []string{"two-way", "one-way"}, without(disabledChecks{fenceByOneVote: true}), "held twice", 1070},
		{
			"loans end before the lender's lease",
			[]string{"unwitnessed"},
			without(disabledChecks{loanOutlivesLease: true}), "over rate", 2220,
		},
		{"wait before an ended process is replaced", []string{"restart"}, func(s *simulation) {
			s.setup = func(n *node) { n.replaceEntryAfter = 0 }
		}, "over rate", 0},
		{"clock factor 1.01", []string{"join"}, func(s *simulation) { s.clockFactor = 1 }, "over rate", 210},
		{"margin between holder and witness", []string{"isolate", "pause"}, func(s *simulation) {
			l := lease.DefaultTiming().Nominal
			s.timing.HolderTTL, s.timing.WitnessTTL = l+l*5/100, l
		}, "held twice", 60},
		{"promise and wait of witnesses", []string{"isolate", "pause"}, func(s *simulation) {
			s.timing.WitnessTTL = 100 * time.Millisecond
		}, "held twice", 0},
	} {
		t.Run(c.mechanism, func(t *testing.T) {
			gen := histories(c.faults)
			for seed := c.from; seed < c.from+1500; seed++ {
				h := gen.Example(seed)
				violations, _ := h.run(c.disable)
				if len(violations) == 0 || !strings.Contains(violations[0], c.find) {
					continue
				}
				if sound, _ := h.run(func(*simulation) {}); len(sound) > 0 {
					t.Fatalf("seed %d has violations with the mechanism in place: %v", seed, sound)
				}
				t.Logf("seed %d: without the mechanism: %s; with it: no violation", seed, violations[0])
				return
			}
			t.Fatal("no history has a violation without the mechanism")
		})
	}
}
