package share

import "time"

// maxReports is the number of reports that are remembered.
const maxReports = 8

// Reports holds the demand that a host reported to the other hosts lately. It is an immutable value; the zero value has reported
// nothing.
type Reports struct {
	// entries holds the last count reports, the newest at index newest.
	entries [maxReports]report
	newest  int
	count   int
}

type report struct {
	at        time.Duration
	perSecond float64
}

// With returns the reports after another one.
func (r Reports) With(now time.Duration, perSecond float64) Reports {
	r.newest = (r.newest + 1) % maxReports
	r.entries[r.newest] = report{now, perSecond}
	r.count = min(r.count+1, maxReports)
	return r
}

// Latest returns the demand that was reported last, in requests per second.
func (r Reports) Latest() float64 { return r.entries[r.newest].perSecond }

// Known returns the demand that the other hosts count at least, if a report reaches them within lag: the least of the reports
// that may be the newest one at some of them.
func (r Reports) Known(now, lag time.Duration) float64 {
	if r.count == 0 {
		return 0
	}
	least := r.Latest()
	for i := range r.count {
		entry := r.entries[(r.newest-i+maxReports)%maxReports]
		least = min(least, entry.perSecond)
		if entry.at <= now-lag {
			return least
		}
	}
	if r.count < maxReports {
		// Some hosts may have got none of the reports yet.
		return 0
	}
	return least
}
