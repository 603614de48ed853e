package steering

import (
	"slices"
	"time"
)

// FeedbackOptions are the constants of the control loop.
type FeedbackOptions struct {
	// MaxUtilization is the part of a site's capacity that decisions use, in (0, 1].
	MaxUtilization float64
	// SettleTime is how long a change of a site's share takes to show fully in its measured load: the longest time to
	// live of an answer plus the lag of the measurements. A site's share is not changed again before.
	SettleTime time.Duration
	// ReadmitDelay is the wait after a lost site returns; it doubles with each further loss up to MaxReadmitDelay.
	ReadmitDelay, MaxReadmitDelay time.Duration
	// ResetLossesAfter is the time without a loss after which earlier losses no longer count.
	ResetLossesAfter time.Duration
}

// MaxPlannedUtilization is the part of a site's capacity that plans use. It lies below the feedback's limit, because a plan cannot
// correct the spread of the clients' hashes after a loss.
const MaxPlannedUtilization = 0.9

// DefaultFeedback suits answers that live 5 s ± 20% and load reports that lag by up to 2 s.
var DefaultFeedback = FeedbackOptions{
	MaxUtilization: 0.95, SettleTime: 8 * time.Second, ReadmitDelay: 5 * time.Second, MaxReadmitDelay: 5 * time.Minute, ResetLossesAfter: 15 * time.Minute,
}

// Feedback adapts each site's Admit to lagging measurements. It is immutable: Step returns the next value.
type Feedback struct {
	options FeedbackOptions
	sites   []siteState
	// changed is the last time at which a site was lost or returned; initially long ago.
	changed time.Duration
}

type siteState struct {
	lost   bool
	losses int
	// lostAt is the time of the last loss, until the time before which Admit stays as it is.
	lostAt, until time.Duration
}

// NewFeedback returns the control loop in its initial state.
func NewFeedback(options FeedbackOptions) Feedback {
	return Feedback{options: options, changed: -options.SettleTime}
}

// raiseBelow is the part of the limit below which a site gets clients back. Without the distance a site near its limit
// moved a few clients away and back with each step.
const raiseBelow = 0.9

// firstShare is the part of its own clients that a site gets back first after a loss; its cache is cold.
const firstShare = 0.25

// Step lowers Admit at sites above their limit, raises it where there is room, and readmits returned sites in steps.
// Lowering moves only the site's own clients, and raising only brings them back. loads counts cached answers.
func (f Feedback) Step(now time.Duration, s *Snapshot, loads []float64) (Feedback, *Snapshot) {
	next := Feedback{options: f.options, changed: f.changed, sites: slices.Grow(slices.Clone(f.sites), len(s.sites))[:max(len(f.sites), len(s.sites))]}
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
			next.changed = now
		}
		changed = changed || admit != sites[id].AdmittedShare
		sites[id].AdmittedShare = admit
	}
	if !changed {
		return next, s
	}
	return next, s.WithSites(sites)
}

// Settled reports whether loads measured now show the last loss or return fully. Plan must not use earlier ones: they
// lack the lost sites' clients and would promise room that these are about to fill.
func (f Feedback) Settled(now time.Duration) bool { return now-f.changed >= f.options.SettleTime }

func (st *siteState) step(now time.Duration, o FeedbackOptions, site Site, load float64) float64 {
	room := o.MaxUtilization * site.Capacity * site.Health
	switch {
	case site.Health <= 0:
		if !st.lost {
			if st.losses > 0 && now-st.lostAt > o.ResetLossesAfter {
				st.losses = 0
			}
			st.lost, st.lostAt = true, now
			st.losses++
		}
		// The site stays closed for its wait once it is healthy again.
		st.until = now + min(o.MaxReadmitDelay, o.ReadmitDelay<<min(st.losses-1, 16))
		return 0
	case now < st.until:
		return site.AdmittedShare
	case st.lost:
		st.lost, st.until = false, now+o.SettleTime
		return firstShare
	case load > room && site.AdmittedShare > 0:
		st.until = now + o.SettleTime
		return site.AdmittedShare * room / load
	case site.AdmittedShare < 1 && load < raiseBelow*room:
		st.until = now + o.SettleTime
		// Doubling at most, and never beyond what the measured load says the limit allows.
		factor := 2.0
		if load > 0 {
			factor = min(factor, room/load)
		}
		return min(1, site.AdmittedShare*factor)
	}
	return site.AdmittedShare
}
