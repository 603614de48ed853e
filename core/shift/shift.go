// Package shift decides how a planned share of traffic moves between two regions or backend servers.
package shift

import (
	"fmt"
	"time"

	"vanillatally/core/config"
	"vanillatally/core/rollout"
)

// Phase is where a shift stands.
type Phase string

// The phases of a shift.
const (
	// Moving: the share rises to the target.
	Moving Phase = "moving"
	// Blocked: the receiver is not usable, and nothing is sent there.
	Blocked Phase = "blocked"
	// Done: the target share is moved and settled.
	Done Phase = "done"
	// Reverted: nothing is moved.
	Reverted Phase = "reverted"
)

// Terminal tells whether no further step follows.
func (p Phase) Terminal() bool { return p == Done || p == Reverted }

const (
	// MaxLookupCacheTime is the longest time for which a caller uses a cached look-up answer: 5 s and 20% of jitter.
	MaxLookupCacheTime = 6 * time.Second
	// lag is the time after which a measurement shows what happened before.
	lag = 2 * time.Second
	// settled is the least time between two steps: only then does a measurement show the whole of the first one.
	settled = MaxLookupCacheTime + lag
	// maxSteps gives a first step of 1/32 of the share: each step doubles what is moved, so that the receiver's caches
	// see at most as much new traffic as they have warmed to.
	maxSteps = 6
	// planned is the part of the time to the deadline that the steps take when nothing holds them.
	planned = 0.5
	// fullness is the use up to which a shift fills a region or a link; the rest is headroom for failures.
	fullness = 0.85
	// minJudged is the requests at the receiver that show whether it is warm, warmSlow the share of slow ones that it
	// may have more than the sender.
	minJudged = 30
	warmSlow  = 0.1
	// window is the least time of one look at the receiver's warmth.
	window = 2 * time.Second
	// sparse is the time after a step at which fewer requests than fewRequests no longer hold the next one: so little
	// traffic does not load a cold receiver, and it at most doubles.
	sparse      = settled + settled/4
	fewRequests = 20
	// maxRetreats bounds how often a shift halves its share on bad evidence before it is reverted.
	maxRetreats = 2
)

// Plan is the schedule of a shift.
type Plan struct {
	// Target is at most Cap.
	Target, Cap float64
	Within      time.Duration
	// Steps is the number of doublings to the target.
	Steps int
}

// MinDuration is the time that the schedule takes when nothing holds a step.
func (p Plan) MinDuration() time.Duration { return time.Duration(p.Steps) * settled }

// NewPlan returns the schedule for an operator's shift.
func NewPlan(s config.Shift) Plan {
	within := time.Duration(s.Within)
	fit := int(planned * float64(within) / float64(settled))
	return Plan{Target: min(s.Share, s.Cap), Cap: s.Cap, Within: within, Steps: min(max(fit, 1), maxSteps)}
}

// first is the share of the first step.
func (p Plan) first() float64 { return p.Target / float64(int(1)<<(p.Steps-1)) }

// Load is the use of a place or link.
type Load struct {
	// Utilization is the part of the capacity in use, UtilizationPerShare the part that all of the shifted traffic would use.
	Utilization, UtilizationPerShare float64
	// Known is false when the measurement stopped.
	Known bool
}

// Measurement is what the driver knows at one moment.
type Measurement struct {
	// Batch compares the sender (Old) with the receiver (New) since the last one; nil when none arrived.
	Batch rollout.Batch
	// Complete is set when every live host has reported lately.
	Complete bool
	// Destination and Link are the loads of the receiver and of the link to it; an absent link is known and without use.
	Destination, Link Load
	// DestinationDown is set when the receiver is not usable.
	DestinationDown bool
	// BehindOtherShift is set while another shift to the same receiver goes first, so that both do not fill the same headroom.
	BehindOtherShift bool
	// Cancelled is set when the operator cancelled the shift.
	Cancelled bool
	// VetoReason holds a host's reason to lower the share, or is empty.
	VetoReason string
}

// State is a shift at one moment. It is immutable: Next returns a new value.
type State struct {
	Plan  Plan
	Phase Phase
	// MovedShare is the share in force; it is at most Plan.Target.
	MovedShare float64
	// Started and StepStarted are times of the driver's monotonic clock.
	Started, StepStarted time.Duration
	// Reductions counts the steps back on bad evidence.
	Reductions int
	// CacheWarmup is what the receiver's latency told since the step.
	CacheWarmup CacheWarmup
	Judge       rollout.Judge
	Reason      string
}

// CacheWarmup compares the latency of receiver and sender in windows, since what was cold at first must not count later.
type CacheWarmup struct {
	// Source and Destination count the requests at sender and receiver in the window that began at Since, 0 for none.
	Source, Destination rollout.Counts
	Since               time.Duration
	// Warm is the result of the last full window after the step.
	Warm bool
}

// Decision is what the driver does next. A raise is recorded before it is in force; a lowering is in force at once.
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
		Plan: plan, Phase: Moving, Started: now, StepStarted: now - settled, Reason: "started",
		Judge: rollout.NewJudge(int(plan.Within/rollout.BatchInterval), 1),
	}
}

// Resume returns the shift as a successor of its driver goes on with it: at the recorded share, elapsed after the
// start. The step's time starts again, since the successor has not seen what is cached.
func Resume(now time.Duration, plan Plan, moved float64, retreats int, elapsed time.Duration) State {
	s := New(now, plan)
	s.MovedShare, s.Reductions, s.Started, s.StepStarted = min(moved, plan.Target), retreats, now-elapsed, now
	s.Reason = "resumed by a new driver"
	return s
}

// Next returns the shift after a measurement, and the decision that led there.
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
	if reason, bad := s.bad(m); bad {
		if s.MovedShare == 0 {
			s.Reason = "holds: " + reason
			return s, Hold
		}
		if s.Reductions++; s.Reductions > maxRetreats {
			return s.lower(now, 0, Reverted, reason), Revert
		}
		return s.lower(now, s.MovedShare/2, Moving, reason), Lower
	}
	if overloaded(m) && s.MovedShare > 0 && now-s.StepStarted >= settled {
		return s.lower(now, s.MovedShare/2, Moving, "receiver or link is over its capacity"), Lower
	}
	if reason := s.holds(now, m); reason != "" {
		s.Reason = reason
		return s, Hold
	}
	if s.MovedShare >= s.Plan.Target {
		s.Phase, s.Reason = Done, "target share moved and settled"
		return s, Finish
	}
	next := s.next(m)
	if next <= s.MovedShare {
		s.Reason = "holds: no headroom at the receiver or on its link"
		return s, Hold
	}
	s.Phase, s.MovedShare, s.StepStarted, s.CacheWarmup = Moving, next, now, CacheWarmup{Since: now}
	s.Reason = fmt.Sprintf("raised to %.4g of %.4g", next, s.Plan.Target)
	return s, Raise
}

// bad tells whether the evidence shows that the receiver fails more, or a host saw it.
func (s State) bad(m Measurement) (string, bool) {
	if m.VetoReason != "" {
		return "vetoed: " + m.VetoReason, true
	}
	return s.Judge.Regression()
}

// overloaded tells whether the receiver or the link to it is over its capacity.
func overloaded(m Measurement) bool {
	return m.Destination.Known && m.Destination.Utilization > 1 || m.Link.Known && m.Link.Utilization > 1
}

// add counts a batch. Latency is no evidence of a fault, since cold caches are expected; it only delays the next step.
func (s State) add(now time.Duration, batch rollout.Batch) State {
	errorsOnly := make(rollout.Batch, len(batch))
	for route, counts := range batch {
		kept := rollout.RouteCounts{Old: counts.Old, New: make(map[uint8]rollout.Counts, len(counts.New))}
		for machine, c := range counts.New {
			kept.New[machine] = rollout.Counts{Requests: c.Requests, Failed: c.Failed}
			s.CacheWarmup.Destination = s.CacheWarmup.Destination.Plus(c)
		}
		s.CacheWarmup.Source = s.CacheWarmup.Source.Plus(counts.Old)
		errorsOnly[route] = kept
	}
	s.CacheWarmup = s.CacheWarmup.look(now)
	s.Judge = s.Judge.Add(errorsOnly, rollout.EffectSize{Failures: rollout.MinDetectableFailures, Slow: rollout.MinDetectableSlow})
	return s
}

// look ends the window when it is full.
func (w CacheWarmup) look(now time.Duration) CacheWarmup {
	if w.Destination.LatencySamples < minJudged || now-w.Since < window {
		return w
	}
	slow := float64(w.Destination.Slow) / float64(w.Destination.LatencySamples)
	return CacheWarmup{Since: now, Warm: slow <= float64(w.Source.Slow)/float64(max(w.Source.LatencySamples, 1))+warmSlow}
}

// holds returns why the next step has to wait, or nothing.
func (s State) holds(now time.Duration, m Measurement) string {
	switch {
	case now-s.StepStarted < settled:
		return "holds: cached look-up answers and measurements lag behind the last step"
	case !m.Complete || m.Batch == nil:
		return "holds: measurements of live hosts are missing"
	case !m.Destination.Known || !m.Link.Known:
		return "holds: the receiver's or the link's load is not known"
	case m.BehindOtherShift:
		return "holds: another shift to the same receiver goes first"
	case s.MovedShare > 0 && !s.isWarm(now):
		return "holds: the receiver's caches are not warm yet"
	case s.MovedShare >= s.Plan.Target && !s.isSparse(now) && len(s.Judge.RoutesWithUndecidedFailures()) > 0:
		// Without it a shift could end before the test has found a receiver that fails some requests.
		return "holds: too little traffic so far to judge the receiver's failures"
	}
	return ""
}

// isWarm tells whether the receiver answers about as fast as the sender.
func (s State) isWarm(now time.Duration) bool { return s.CacheWarmup.Warm || s.isSparse(now) }

// isSparse tells whether there is too little traffic to load a receiver that is cold or fails.
func (s State) isSparse(now time.Duration) bool {
	return now-s.StepStarted >= sparse && s.CacheWarmup.Destination.LatencySamples < fewRequests && s.CacheWarmup.Since == s.StepStarted
}

// next returns the share of the next step: twice the last one, as far as the target and the headroom go.
func (s State) next(m Measurement) float64 {
	share := max(2*s.MovedShare, s.Plan.first())
	for _, load := range []Load{m.Destination, m.Link} {
		if load.UtilizationPerShare > 0 {
			share = min(share, s.MovedShare+(fullness-load.Utilization)/load.UtilizationPerShare)
		}
	}
	return min(share, s.Plan.Target)
}

func (s State) lower(now time.Duration, share float64, phase Phase, reason string) State {
	s.MovedShare, s.Phase, s.StepStarted, s.Reason = share, phase, now, reason
	s.CacheWarmup = CacheWarmup{Since: now}
	// The next evidence is about the lower share.
	s.Judge = rollout.NewJudge(int(s.Plan.Within/rollout.BatchInterval), 1)
	return s
}
