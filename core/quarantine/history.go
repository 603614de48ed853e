package quarantine

import (
	"slices"
	"time"
)

// MaxRuns bounds the runs in a History. At this bound the run that ended first is dropped; the number of crashes that the history
// has then proved is kept.
const MaxRuns = 8

// Run is one run of a request that ended with the crash of its backend server.
type Run struct {
	Started, Ended time.Duration
}

// History is what a host knows of the crashes of backend servers that ran one request. It is immutable; the zero value is empty.
//
// Servers that crash at the same moment, as in a power failure, leave many copies of innocent requests unanswered. Therefore only
// runs that follow each other count: each must begin after the crash before it is known to have happened.
type History struct {
	// runs is ordered by the end of the runs and has at most MaxRuns entries.
	runs []Run
	// known is a number of crashes in sequence that happened before knownAt. It comes from another host or from dropped runs.
	known   int
	knownAt time.Duration
	// answered is set once a server answered the request. Reports of other hosts no longer count then.
	answered bool
	// changedAt is the time of the last change.
	changedAt time.Duration
}

// Crashes returns the number of crashes in sequence.
func (h History) Crashes() int {
	return max(chainLength(h.runs, 0), h.known+chainLength(h.runs, h.knownAt))
}

// ChangedAt returns the time of the last change.
func (h History) ChangedAt() time.Duration { return h.changedAt }

// chainLength returns the largest number of runs that began at or after the given time, each at or after the end of the one
// before it. Runs are ordered by their end, so that always taking the next possible one gives the largest number.
func chainLength(runs []Run, after time.Duration) (length int) {
	for _, run := range runs {
		if run.Started >= after {
			length++
			after = run.Ended
		}
	}
	return length
}

// WithRun returns the history after a run that ended with a crash.
func (h History) WithRun(now time.Duration, run Run) History {
	if len(h.runs) == MaxRuns {
		if crashes := h.Crashes(); crashes > h.known {
			h.known, h.knownAt = crashes, h.runs[MaxRuns-1].Ended
		}
		h.runs = h.runs[1:]
	}
	h.runs = append(slices.Clone(h.runs), run)
	slices.SortFunc(h.runs, func(a, b Run) int { return int(a.Ended - b.Ended) })
	h.changedAt = now
	return h
}

// WithReport returns the history after another host reported a number of crashes in sequence. A number that is not higher than
// the known one changes nothing, so that repeated reports do not prolong a quarantine.
func (h History) WithReport(now time.Duration, crashes int) History {
	if h.answered || crashes <= h.Crashes() {
		return h
	}
	h.known, h.knownAt, h.changedAt = crashes, now, now
	return h
}

// WithAnswer returns the history after a server answered the request: what happened before does not count any more.
func (h History) WithAnswer(now time.Duration) History {
	return History{answered: true, changedAt: now}
}
