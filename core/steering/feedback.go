package steering

import (
	"slices"
	"time"
)

// FeedbackOptions are the parameters of the feedback loop.
type FeedbackOptions struct {
	// MaxUtilization is the fraction of a site's capacity that may be used, in (0, 1].
	MaxUtilization float64
	// SettleTime is how long a change of a site's share takes to show fully in its measured load: the longest time to
	// live of an answer plus the lag of the measurements. The share is not changed again before.
	SettleTime time.Duration
	// ReadmitDelay is the delay before a recovered site gets clients again. It doubles with each further loss, up to
	// MaxReadmitDelay.
	ReadmitDelay, MaxReadmitDelay time.Duration
	// ResetLossesAfter is the time after a loss at which a new loss counts as the first again.
	ResetLossesAfter time.Duration
}

// MaxPlannedUtilization is the fraction of a site's capacity that PlanFailover may use. It is below the feedback loop's
// MaxUtilization, because a plan cannot correct an uneven distribution of the clients' hashes after a loss.
const MaxPlannedUtilization = 0.9

// DefaultFeedback suits answers with a time to live of 5 s ± 20% and load reports that lag by up to 2 s.
var DefaultFeedback = FeedbackOptions{
	MaxUtilization: 0.95, SettleTime: 8 * time.Second, ReadmitDelay: 5 * time.Second, MaxReadmitDelay: 5 * time.Minute,
	ResetLossesAfter: 15 * time.Minute,
}

// Feedback is the feedback loop that adapts each site's AdmittedShare to measured loads, which lag behind. It is
// immutable: Step returns the next state.
type Feedback struct {
	options FeedbackOptions
	sites   []siteState
	// lastTransition is the last time at which a site was lost or recovered; initially SettleTime before 0.
	lastTransition time.Duration
}

type siteState struct {
	lost   bool
	losses int
	// lostAt is the time of the last loss. AdmittedShare stays unchanged before holdUntil.
	lostAt, holdUntil time.Duration
}

// NewFeedback returns a feedback loop in its initial state.
func NewFeedback(options FeedbackOptions) Feedback {
	return Feedback{options: options, lastTransition: -options.SettleTime}
}

// raiseBelowUtilization is the fraction of the allowed load below which a site gets clients back. Without this
// hysteresis a site near its limit moved a few clients away and back with each step.
const raiseBelowUtilization = 0.9

// firstReadmittedShare is the AdmittedShare of a site that has just recovered; it is low because the site's cache is
// cold.
const firstReadmittedShare = 0.25

// Step lowers AdmittedShare at sites above their limit, raises it where there is room, and readmits recovered sites
// gradually. Lowering it moves only the site's own clients, and raising it only brings them back. loads holds the
// measured load of each site, with cached answers counted for their whole time to live.
func (f Feedback) Step(now time.Duration, s *Snapshot, loads []float64) (Feedback, *Snapshot) {
	next := Feedback{
		options: f.options, lastTransition: f.lastTransition,
		sites: slices.Grow(slices.Clone(f.sites), len(s.sites))[:max(len(f.sites), len(s.sites))],
	}
	sites := s.Sites()
	changed := false
	for id := range sites {
		load := 0.0
		if id < len(loads) {
			load = loads[id]
		}
		wasLost := next.sites[id].lost
		admit := next.sites[id].step(now, f.options, sites[id], load)
		if wasLost != next.sites[id].lost {
			next.lastTransition = now
		}
		changed = changed || admit != sites[id].AdmittedShare
		sites[id].AdmittedShare = admit
	}
	if !changed {
		return next, s
	}
	return next, s.WithSites(sites)
}

// Settled reports whether loads measured now fully show the last loss or recovery of a site. PlanFailover must not use
// earlier measurements: they lack the clients of the lost sites, so it would count room that these clients are about to
// fill.
func (f Feedback) Settled(now time.Duration) bool {
	return now-f.lastTransition >= f.options.SettleTime
}

// step returns the site's next AdmittedShare.
func (st *siteState) step(now time.Duration, options FeedbackOptions, site Site, load float64) float64 {
	allowedLoad := options.MaxUtilization * site.Capacity * site.Health
	switch {
	case site.Health <= 0:
		if !st.lost {
			if st.losses > 0 && now-st.lostAt > options.ResetLossesAfter {
				st.losses = 0
			}
			st.lost, st.lostAt = true, now
			st.losses++
		}
		// The delay starts over with each step until the site is healthy again.
		st.holdUntil = now + min(options.MaxReadmitDelay, options.ReadmitDelay<<min(st.losses-1, 16))
		return 0
	case now < st.holdUntil:
		return site.AdmittedShare
	case st.lost:
		st.lost, st.holdUntil = false, now+options.SettleTime
		return firstReadmittedShare
	case load > allowedLoad && site.AdmittedShare > 0:
		st.holdUntil = now + options.SettleTime
		return site.AdmittedShare * allowedLoad / load
	case site.AdmittedShare < 1 && load < raiseBelowUtilization*allowedLoad:
		st.holdUntil = now + options.SettleTime
		// At most double the share, and never beyond what the measured load allows.
		factor := 2.0
		if load > 0 {
			factor = min(factor, allowedLoad/load)
		}
		return min(1, site.AdmittedShare*factor)
	}
	return site.AdmittedShare
}
