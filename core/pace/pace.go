// Package pace estimates how long work takes on a backend server's machine at present, from the figure that the server reports.
//
// Machines slow down and recover within some hundred milliseconds, and a host gets a report only with the responses that it
// gets from it. A report therefore loses weight with its age, and work that runs longer than a slow period is expected to run
// only a part of its time at the reported pace.
package pace

import (
	"math"
	"time"
)

const (
	// NormalPercent is the figure of a server on which work takes as long as usual.
	NormalPercent = 100
	// minPercent and maxPercent bound the figures that are accepted.
	minPercent = 10
	maxPercent = 10_000
	// halfLifeMS is the time in milliseconds in which half of the slow servers are normal again.
	halfLifeMS = 250
	// timeConstant is the mean time in nanoseconds for which a server keeps the reported pace.
	timeConstant = halfLifeMS * float64(time.Millisecond) / math.Ln2
	// minWeight is the weight below which a report is ignored.
	minWeight = 0.01
)

// Pace is the last report of one server. It is an immutable value; the zero value is that of a server that reported nothing.
type Pace struct {
	// percent is the reported figure, from minPercent to maxPercent; 0 if there is none.
	percent int
	// reportedAt is the time from which the report loses weight.
	reportedAt time.Duration
}

// Valid reports whether the figure is within the bounds in which it is accepted.
func Valid(percent int) bool { return minPercent <= percent && percent <= maxPercent }

// WithReport returns the pace after a report, or p if the figure isn't valid.
func (p Pace) WithReport(now time.Duration, percent int) Pace {
	if !Valid(percent) {
		return p
	}
	return Pace{percent: percent, reportedAt: now}
}

// At returns the expected pace at a time: the factor by which work takes longer than usual. It is 1 if nothing is known, and moves
// from the reported figure to 1 with the age of the report.
func (p Pace) At(now time.Duration) float64 {
	weight := p.weight(now)
	if weight < minWeight {
		return 1
	}
	return 1 + (float64(p.percent)/NormalPercent-1)*weight
}

// Over returns the expected factor by which work takes longer that starts now and would usually take the given time. It is at
// most At(now), since a slow server may recover before the work ends, and at least 1: a server that reports a short time is
// not preferred to the others, because all hosts that get the report would send their requests to it at once.
func (p Pace) Over(now, work time.Duration) float64 {
	weight := p.weight(now)
	if p.percent <= NormalPercent || weight < minWeight {
		return 1
	}
	if work <= 0 {
		return p.At(now)
	}
	// The part of the work that is done in time t is t - loss*timeConstant*(1-exp(-t/timeConstant)), if the probability that the
	// server is still slow falls exponentially. Two Newton steps from t = work solve for t within 2%.
	loss := (1 - NormalPercent/float64(p.percent)) * weight
	need := float64(work) / timeConstant
	t := need
	for range 2 {
		left := math.Exp(-t)
		t -= (t - loss*(1-left) - need) / (1 - loss*left)
	}
	return min(max(t/need, 1), p.At(now))
}

// weight returns the weight of the report, from 1 when it is new to 0.
func (p Pace) weight(now time.Duration) float64 {
	if p.percent == 0 {
		return 0
	}
	age := max(now-p.reportedAt, 0)
	return math.Exp(-float64(age) / timeConstant)
}

// Normalize returns the time that work would usually take, given the time that it took, the usual time of such work, and the
// highest pace that the server may have had meanwhile. The pace explains a longer time than usual up to its figure; it never
// makes work look faster than usual, since the server may have had the pace for a part of the time only.
func Normalize(took, usual, pace float64) float64 {
	if pace <= 1 || usual <= 0 || took <= usual {
		return took
	}
	return took / min(took/usual, pace)
}
