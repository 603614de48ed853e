// Package shift implements planned traffic shifts: it decides when the next part of a share of the traffic moves from one
// region or backend server (the source) to another (the destination), and when the share goes back.
package shift

import (
	"fmt"
	"time"

	"vanillatally/core/config"
	"vanillatally/core/rollout"
)

// Phase is the phase of a shift.
type Phase string

// The phases of a shift.
const (
	// Moving: the moved share rises to the target.
	Moving Phase = "moving"
	// Blocked: the destination is down, and no traffic is moved to it.
	Blocked Phase = "blocked"
	// Done: the target share is moved, and the destination handles it well.
	Done Phase = "done"
	// Reverted: the shift is over, and no traffic is moved.
	Reverted Phase = "reverted"
)

// Terminal reports whether the shift is over.
func (p Phase) Terminal() bool { return p == Done || p == Reverted }

const (
	// MaxLookupCacheTime is the longest time for which a caller uses a cached look-up answer: 5 s and 20% of jitter.
	MaxLookupCacheTime = 6 * time.Second
	// measurementLag is the delay with which measurements show what happened.
	measurementLag = 2 * time.Second
	// minStepTime is the minimum time between two steps. Only after it do measurements show the whole effect of a step.
	minStepTime = MaxLookupCacheTime + measurementLag
	// maxSteps makes the first step 1/32 of the share. Each further step doubles the share, so that at most half of the traffic
	// meets caches of the destination that have not warmed up for it.
	maxSteps = 6
	// scheduledPart is the part of the time to the deadline that the steps take when none is delayed.
	scheduledPart = 0.5
	// maxUtilization is the utilization up to which a shift fills a region, server or link; the rest is headroom for failures.
	maxUtilization = 0.85
	// minWarmupSamples is the number of requests at the destination that show whether its caches are warm. They are when its
	// share of slow requests exceeds that of the source by at most warmSlowMargin.
	minWarmupSamples = 30
	warmSlowMargin   = 0.1
	// minWarmupWindow is the minimum length of a window in which the latencies of source and destination are compared.
	minWarmupWindow = 2 * time.Second
	// lowTrafficAfter is the time after a step from which fewer requests than lowTrafficRequests at the destination no longer
	// delay the next step: so little traffic doesn't overload a cold destination, and a step at most doubles it.
	lowTrafficAfter    = minStepTime + minStepTime/4
	lowTrafficRequests = 20
	// maxReductions bounds how often failures at the destination halve the share before the shift is reverted.
	maxReductions = 2
)

// Plan is the schedule of a shift.
type Plan struct {
	// Target is the share to move, at most Cap.
	Target, Cap float64
	// Within is the time from the start to the deadline.
	Within time.Duration
	// Steps is the number of steps to the target; each one after the first doubles the share.
	Steps int
}

// MinDuration is the time that the schedule takes when no step is delayed.
func (p Plan) MinDuration() time.Duration { return time.Duration(p.Steps) * minStepTime }

// NewPlan returns the schedule for an operator's shift.
func NewPlan(s config.Shift) Plan {
	within := time.Duration(s.Within)
	fit := int(scheduledPart * float64(within) / float64(minStepTime))
	return Plan{Target: min(s.Share, s.Cap), Cap: s.Cap, Within: within, Steps: min(max(fit, 1), maxSteps)}
}

// firstShare is the share that the first step moves.
func (p Plan) firstShare() float64 { return p.Target / float64(int(1)<<(p.Steps-1)) }

// Load is the load of a region, a backend server or a link.
type Load struct {
	// Utilization is the part of the capacity in use; UtilizationPerShare is what moving all of the shifted traffic would add.
	Utilization, UtilizationPerShare float64
	// Known is false when there is no current measurement.
	Known bool
}

// Measurement is the input of one call of Next.
type Measurement struct {
	// Batch holds the counts at the source (Old) and the destination (New) since the last call; nil when none arrived.
	Batch rollout.Batch
	// Complete is set when every live host has reported recently.
	Complete bool
	// Destination and Link are the loads of the destination and of the link to it. If there is no link, Link is known and has
	// no utilization.
	Destination, Link Load
	// DestinationDown is set when the destination can't be used.
	DestinationDown bool
	// BehindOtherShift is set while another shift to the same destination goes first, so that they don't both count on the
	// same headroom.
	BehindOtherShift bool
	// Cancelled is set when the operator cancelled the shift.
	Cancelled bool
	// VetoReason is the reason of a host whose own test found failures at the destination, or empty.
	VetoReason string
}

// State is a shift at one moment. It is immutable: Next returns a new value.
type State struct {
	Plan  Plan
	Phase Phase
	// MovedShare is the share in force, at most Plan.Target.
	MovedShare float64
	// Started and StepStarted are times of the driver's monotonic clock.
	Started, StepStarted time.Duration
	// Reductions counts how often failures at the destination lowered the share.
	Reductions int
	// CacheWarmup compares the latencies since the last step.
	CacheWarmup CacheWarmup
	Judge       rollout.Judge
	// Reason says, for operators, why the shift is in its state.
	Reason string
}

// CacheWarmup compares the latencies of source and destination in consecutive windows, so that cold caches at first don't
// count later.
type CacheWarmup struct {
	// Source and Destination count the requests in the window that began at Since.
	Source, Destination rollout.Counts
	Since               time.Duration
	// Warm is set when the last two full windows after the step found the caches warm: one window with few requests may do so
	// by chance.
	Warm bool
	// lastWindowWarm is the result of the last full window after the step.
	lastWindowWarm bool
}

// Decision is what the driving host does next. A higher share is recorded in the store before it takes effect; a lower one
// takes effect at once.
type Decision string

// The decisions about a shift.
const (
	Hold   Decision = "hold"
	Raise  Decision = "raise"
	Lower  Decision = "lower"
	Finish Decision = "finish"
	Revert Decision = "revert"
)

// New returns the shift before its first step.
func New(now time.Duration, plan Plan) State {
	return State{
		Plan: plan, Phase: Moving, Started: now, StepStarted: now - minStepTime, Reason: "started",
		Judge: rollout.NewJudge(int(plan.Within/rollout.BatchInterval), 1),
	}
}

// Resume returns the shift for a host that takes over from the host that drove it before: at the recorded share, elapsed after
// the start. The time of the step starts again, since the new host doesn't know which look-up answers are cached.
func Resume(now time.Duration, plan Plan, moved float64, retreats int, elapsed time.Duration) State {
	s := New(now, plan)
	s.MovedShare, s.Reductions, s.Started, s.StepStarted = min(moved, plan.Target), retreats, now-elapsed, now
	s.Reason = "resumed by a new driver"
	return s
}

// Next returns the shift after a measurement, and the decision.
func (s State) Next(now time.Duration, m Measurement) (State, Decision) {
	if s.Phase.Terminal() {
		return s, Hold
	}
	if m.Cancelled {
		return s.lower(now, 0, Reverted, "cancelled by the operator"), Revert
	}
	if m.Batch != nil {
		s = s.add(now, m.Batch)
	}
	if now-s.Started >= s.Plan.Within {
		return s.lower(now, 0, Reverted, "deadline reached before the target share: "+s.Reason), Revert
	}
	if m.DestinationDown {
		if s.Phase == Blocked {
			return s, Hold
		}
		return s.lower(now, 0, Blocked, "receiver failed; its traffic went back"), Lower
	}
	if reason, bad := s.regression(m); bad {
		if s.MovedShare == 0 {
			s.Reason = "holds: " + reason
			return s, Hold
		}
		if s.Reductions++; s.Reductions > maxReductions {
			return s.lower(now, 0, Reverted, reason), Revert
		}
		return s.lower(now, s.MovedShare/2, Moving, reason), Lower
	}
	if overloaded(m) && s.MovedShare > 0 && now-s.StepStarted >= minStepTime {
		return s.lower(now, s.MovedShare/2, Moving, "receiver or link is over its capacity"), Lower
	}
	if reason := s.holdReason(now, m); reason != "" {
		s.Reason = reason
		return s, Hold
	}
	if s.MovedShare >= s.Plan.Target {
		s.Phase, s.Reason = Done, "target share moved and settled"
		return s, Finish
	}
	next := s.nextShare(m)
	if next <= s.MovedShare {
		s.Reason = "holds: no headroom at the receiver or on its link"
		return s, Hold
	}
	s.Phase, s.MovedShare, s.StepStarted, s.CacheWarmup = Moving, next, now, CacheWarmup{Since: now}
	s.Reason = fmt.Sprintf("raised to %.4g of %.4g", next, s.Plan.Target)
	return s, Raise
}

// regression reports whether the destination fails significantly more than the source, or a host found so, and why.
func (s State) regression(m Measurement) (string, bool) {
	if m.VetoReason != "" {
		return "vetoed: " + m.VetoReason, true
	}
	return s.Judge.Regression()
}

// overloaded reports whether the destination or the link to it is over its capacity.
func overloaded(m Measurement) bool {
	return m.Destination.Known && m.Destination.Utilization > 1 || m.Link.Known && m.Link.Utilization > 1
}

// add counts a batch. Slow requests are no evidence of a fault, since caches may be cold; they only delay the next step.
func (s State) add(now time.Duration, batch rollout.Batch) State {
	errorsOnly := make(rollout.Batch, len(batch))
	for route, counts := range batch {
		kept := rollout.RouteCounts{Old: counts.Old, New: make(map[uint8]rollout.Counts, len(counts.New))}
		for server, c := range counts.New {
			kept.New[server] = rollout.Counts{Requests: c.Requests, Failed: c.Failed}
			s.CacheWarmup.Destination = s.CacheWarmup.Destination.Plus(c)
		}
		s.CacheWarmup.Source = s.CacheWarmup.Source.Plus(counts.Old)
		errorsOnly[route] = kept
	}
	s.CacheWarmup = s.CacheWarmup.endWindow(now)
	s.Judge = s.Judge.Add(errorsOnly, rollout.EffectSize{Failures: rollout.MinDetectableFailures, Slow: rollout.MinDetectableSlow})
	return s
}

// endWindow compares the latencies and starts a new window if the current one is long enough and has enough requests.
func (w CacheWarmup) endWindow(now time.Duration) CacheWarmup {
	if w.Destination.LatencySamples < minWarmupSamples || now-w.Since < minWarmupWindow {
		return w
	}
	slow := float64(w.Destination.Slow) / float64(w.Destination.LatencySamples)
	warm := slow <= float64(w.Source.Slow)/float64(max(w.Source.LatencySamples, 1))+warmSlowMargin
	return CacheWarmup{Since: now, Warm: warm && w.lastWindowWarm, lastWindowWarm: warm}
}

// holdReason returns why the next step has to wait, or an empty string.
func (s State) holdReason(now time.Duration, m Measurement) string {
	switch {
	case now-s.StepStarted < minStepTime:
		return "holds: cached look-up answers and measurements lag behind the last step"
	case !m.Complete || m.Batch == nil:
		return "holds: measurements of live hosts are missing"
	case !m.Destination.Known || !m.Link.Known:
		return "holds: the receiver's or the link's load is not known"
	case m.BehindOtherShift:
		return "holds: another shift to the same receiver goes first"
	case s.MovedShare > 0 && !s.isWarm(now):
		return "holds: the receiver's caches are not warm yet"
	case s.MovedShare >= s.Plan.Target && !s.hasLowTraffic(now) && len(s.Judge.RoutesWithUndecidedFailures()) > 0:
		// Without this check a shift could end before the test has found a destination that fails some of the requests.
		return "holds: too little traffic so far to judge the receiver's failures"
	}
	return ""
}

// isWarm reports whether the destination responds about as fast as the source, or gets too little traffic to tell.
func (s State) isWarm(now time.Duration) bool { return s.CacheWarmup.Warm || s.hasLowTraffic(now) }

// hasLowTraffic reports whether there is too little traffic to overload a destination that is cold or fails.
func (s State) hasLowTraffic(now time.Duration) bool {
	return now-s.StepStarted >= lowTrafficAfter && s.CacheWarmup.Destination.LatencySamples < lowTrafficRequests &&
		s.CacheWarmup.Since == s.StepStarted
}

// nextShare returns the share of the next step: twice the current one, as far as the target and the headroom allow.
func (s State) nextShare(m Measurement) float64 {
	share := max(2*s.MovedShare, s.Plan.firstShare())
	for _, load := range []Load{m.Destination, m.Link} {
		if load.UtilizationPerShare > 0 {
			share = min(share, s.MovedShare+(maxUtilization-load.Utilization)/load.UtilizationPerShare)
		}
	}
	return min(share, s.Plan.Target)
}

// lower returns the shift with a lower share.
func (s State) lower(now time.Duration, share float64, phase Phase, reason string) State {
	s.MovedShare, s.Phase, s.StepStarted, s.Reason = share, phase, now, reason
	s.CacheWarmup = CacheWarmup{Since: now}
	// The failures so far came from the higher share, so that the test starts again.
	s.Judge = rollout.NewJudge(int(s.Plan.Within/rollout.BatchInterval), 1)
	return s
}
