package quarantine

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a quarantine of requests that ran at several servers which crashed at the same moment, and against a crash that
// counts twice because it became known in another order or was reported again.
func TestOnlyCrashesInSequenceCount(t *testing.T) {
	at := func(started, ended int) Run {
		return Run{time.Duration(started) * time.Second, time.Duration(ended) * time.Second}
	}
	for _, c := range []struct {
		name    string
		history History
		want    int
	}{
		{"none", History{}, 0},
		{"one", History{}.WithRun(0, at(1, 2)), 1},
		{"at the same moment", History{}.WithRun(0, at(1, 3)).WithRun(0, at(2, 3)).WithRun(0, at(1, 4)), 1},
		{"in sequence", History{}.WithRun(0, at(1, 2)).WithRun(0, at(2, 3)), 2},
		{"in sequence, known in another order", History{}.WithRun(0, at(2, 3)).WithRun(0, at(1, 2)), 2},
		{"the earlier of two long runs", History{}.WithRun(0, at(1, 9)).WithRun(0, at(2, 3)).WithRun(0, at(4, 5)), 2},
		{"reported", History{}.WithReport(5*time.Second, 1), 1},
		{"reported twice", History{}.WithReport(5*time.Second, 1).WithReport(6*time.Second, 1), 1},
		{"run after the report", History{}.WithReport(5*time.Second, 1).WithRun(0, at(6, 7)), 2},
		{"run that began before the report", History{}.WithReport(5*time.Second, 1).WithRun(0, at(4, 7)), 1},
		{"lower report", History{}.WithRun(0, at(1, 2)).WithRun(0, at(2, 3)).WithReport(9*time.Second, 1), 2},
		{"answered", History{}.WithRun(0, at(1, 2)).WithRun(0, at(2, 3)).WithAnswer(4 * time.Second), 0},
		{"reported after an answer", History{}.WithAnswer(4*time.Second).WithReport(5*time.Second, 2), 0},
		{"crashed after an answer", History{}.WithAnswer(4*time.Second).WithRun(0, at(5, 6)).WithRun(0, at(6, 7)), 2},
	} {
		if got := c.history.Crashes(); got != c.want {
			t.Errorf("%s: %d crashes, want %d", c.name, got, c.want)
		}
	}
}

// Guards against a history that grows without bound, forgets crashes at its bound, or counts more crashes than there are moments
// at which servers crashed.
func TestHistoryIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		moments := rapid.IntRange(1, 12).Draw(t, "moments")
		h, previous := History{}, 0
		for i := range moments {
			end := time.Duration(i+1) * time.Second
			for range rapid.IntRange(1, 4).Draw(t, "servers") {
				h = h.WithRun(end, Run{Started: end - time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms"))*time.Millisecond, Ended: end})
			}
			if got := h.Crashes(); got < previous || got > i+1 {
				t.Fatalf("%d crashes after %d moments, %d before", got, i+1, previous)
			}
			previous = h.Crashes()
			if len(h.runs) > MaxRuns {
				t.Fatalf("%d runs, want at most %d", len(h.runs), MaxRuns)
			}
		}
	})
}
