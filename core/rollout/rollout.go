package rollout

import (
	"fmt"
	"strings"
	"time"

	"vanillatally/core/config"
)

// Phase is where a rollout stands.
type Phase string

// The phases of a rollout.
const (
	// Proving: the share stays at or below the cap.
	Proving Phase = "proving"
	// Widening: the version passed the cap and goes on to all traffic.
	Widening Phase = "widening"
	// Monitoring: all traffic is moved, and the version is still judged.
	Monitoring Phase = "monitoring"
	// Finished: all traffic is moved and the rollout is over.
	Finished Phase = "finished"
	// Reverted: no traffic goes to the new version, and the rollout is over.
	Reverted Phase = "reverted"
)

// Terminal tells whether no further step follows.
func (p Phase) Terminal() bool { return p == Finished || p == Reverted }

const (
	// InitialShare is the share with which a new version starts.
	InitialShare = 0.01
	// lastJudged leaves some traffic at the old version, so that both are still compared over the same time.
	lastJudged = 0.98
	// planned is the part of the time to the deadline that the holds of all steps take.
	planned = 0.5
	// minHold covers the second after which evidence of a step arrives; maxHold bounds an exposure of little use.
	minHold = 3 * time.Second
	maxHold = 10 * time.Minute
	// settle is the part of a hold in which latency after a step is no evidence, since caches at the new version's
	// servers are cold for the callers that the step added; at most maxSettle.
	settle    = 3
	maxSettle = 10 * time.Second
	// warm is the part of the time to the deadline in which the latency of a machine that is new to the rollout is no
	// evidence; at most maxWarm, the time in which servers ramp up after a cold start.
	warm    = 0.1
	maxWarm = 30 * time.Second
)

// Plan is the schedule of a rollout.
type Plan struct {
	// Shares rise from FirstShare over the cap to 1.
	Shares []float64
	// ProvingSteps is the number of steps at or below the cap.
	ProvingSteps int
	// MinStepTime is the least time at each step.
	MinStepTime time.Duration
	// StepWarmup is the time after each step in which the new version's latency does not count.
	StepWarmup time.Duration
	// ServerWarmup is the time after a machine's first request in which its latency does not count.
	ServerWarmup time.Duration
	Within       time.Duration
	// FinishWithoutEvidence is the outcome at the deadline without enough evidence.
	FinishWithoutEvidence bool
}

// NewPlan returns the schedule for an operator's rollout.
func NewPlan(r config.Rollout) Plan {
	p := Plan{Within: time.Duration(r.Within), FinishWithoutEvidence: r.OnTooLittleTraffic == "finish"}
	for _, share := range []float64{InitialShare, 0.05, 0.2} {
		if share < r.Cap {
			p.Shares = append(p.Shares, share)
		}
	}
	p.Shares = append(p.Shares, r.Cap)
	p.ProvingSteps = len(p.Shares)
	for _, share := range []float64{0.5, lastJudged, 1} {
		if share > r.Cap {
			p.Shares = append(p.Shares, share)
		}
	}
	p.MinStepTime = time.Duration(planned * float64(p.Within) / float64(len(p.Shares)))
	p.MinStepTime = min(max(p.MinStepTime, minHold), maxHold)
	p.StepWarmup = min(p.MinStepTime/settle, maxSettle)
	p.ServerWarmup = min(time.Duration(warm*float64(p.Within)), maxWarm)
	return p
}

// MinDuration is the time that the schedule takes when each step passes at the end of its hold, and the
// first one when the machines are warm.
func (p Plan) MinDuration() time.Duration {
	return max(p.MinStepTime, p.ServerWarmup) + time.Duration(len(p.Shares)-1)*p.MinStepTime
}

// excluded returns the size of fault that a step excludes before the next: smaller shares cost less when they err.
func (p Plan) excluded(step int) EffectSize {
	switch {
	case p.Shares[step] >= 0.1 || step >= p.ProvingSteps-1:
		return EffectSize{Failures: MinDetectableFailures, Slow: MinDetectableSlow}
	case step == 0:
		return EffectSize{Failures: 0.3, Slow: 0.5}
	default:
		return EffectSize{Failures: 0.15, Slow: 0.4}
	}
}

// State is a rollout at one moment. It is immutable: Next returns a new value.
type State struct {
	Plan  Plan
	Phase Phase
	// Step indexes Plan.Shares; it never goes down.
	Step int
	// Started and StepStarted are times of the driver's monotonic clock.
	Started, StepStarted time.Duration
	Judge                Judge
	Warmup               Warmup
	Reason               string
	// Inconclusive is set while there is too little traffic, or no measurement, to judge the step by.
	Inconclusive bool
}

// New returns the rollout at its first step.
func New(now time.Duration, plan Plan) State {
	s := State{Plan: plan, Started: now, StepStarted: now, Judge: NewJudge(int(plan.Within/BatchInterval), 1), Reason: "started"}
	s.Phase = s.phaseAt(0)
	return s
}

// Resume returns the rollout as a successor of its driver goes on with it: at the recorded step, elapsed after the
// start, with no evidence.
func Resume(now time.Duration, plan Plan, step int, elapsed time.Duration) State {
	s := New(now, plan)
	s.Started, s.Step, s.Reason = now-elapsed, min(max(step, 0), len(plan.Shares)-1), "resumed by a new driver"
	s.Phase = s.phaseAt(s.Step)
	return s
}

func (s State) phaseAt(step int) Phase {
	switch {
	case s.Plan.Shares[step] >= 1:
		return Monitoring
	case step >= s.Plan.ProvingSteps:
		return Widening
	default:
		return Proving
	}
}

// Share is the part of the traffic that goes to the new version.
func (s State) Share() float64 {
	switch s.Phase {
	case Reverted:
		return 0
	case Finished:
		return 1
	default:
		return s.Plan.Shares[s.Step]
	}
}

// Measurement is what the driver knows at one moment.
type Measurement struct {
	// Batch is the evidence that arrived since the last one; nil when none arrived.
	Batch Batch
	// Complete is set when every live host has reported lately.
	Complete bool
	// VetoReason holds the reason of a host that lowered the share on its own evidence, or is empty.
	VetoReason string
	// Cancelled is set when the operator cancelled the rollout.
	Cancelled bool
}

// Decision is what the driver does next. A step is recorded before it is in force; a lowering is in force at once.
type Decision string

// The decisions about a rollout.
const (
	Hold   Decision = "hold"
	Raise  Decision = "raise"
	Finish Decision = "finish"
	Revert Decision = "revert"
)

// Next returns the rollout after a measurement, and the decision that led there.
func (s State) Next(now time.Duration, m Measurement) (State, Decision) {
	if s.Phase.Terminal() {
		return s, Hold
	}
	if m.Batch != nil {
		var settled Batch
		s.Warmup, settled = s.Warmup.settled(now, s.StepStarted, s.Plan, m.Batch)
		s.Judge = s.Judge.Add(settled, s.Plan.excluded(s.Step))
	}
	if reason, bad := s.Judge.Regression(); bad {
		return s.end(Reverted, reason), Revert
	}
	if m.VetoReason != "" {
		return s.end(Reverted, "vetoed: "+m.VetoReason), Revert
	}
	if m.Cancelled {
		return s.end(Reverted, "cancelled by the operator"), Revert
	}
	waiting, traffic := s.Judge.UndecidedRoutes()
	s.Inconclusive = len(waiting) > 0 || !traffic
	if now-s.Started >= s.Plan.Within {
		return s.atDeadline()
	}
	switch {
	case now-s.StepStarted < s.Plan.MinStepTime:
		s.Reason = fmt.Sprintf("holds step %d of %d", s.Step+1, len(s.Plan.Shares))
	case !m.Complete:
		s.Reason = "holds: measurements of live hosts are missing"
	case !traffic:
		s.Reason = "holds: no traffic to judge by"
	case len(waiting) > 0:
		s.Reason = "holds: too little traffic so far to judge " + strings.Join(waiting, ", ")
	case s.Step == len(s.Plan.Shares)-1:
		return s.end(Finished, "passed every step"), Finish
	default:
		return s.raise(now), Raise
	}
	return s, Hold
}

func (s State) raise(now time.Duration) State {
	s.Step++
	s.Phase, s.StepStarted, s.Judge = s.phaseAt(s.Step), now, s.Judge.NextStep()
	s.Reason = fmt.Sprintf("raised to %.4g at step %d of %d", s.Share(), s.Step+1, len(s.Plan.Shares))
	return s
}

func (s State) end(phase Phase, reason string) State {
	s.Phase, s.Reason = phase, reason
	return s
}

// atDeadline applies the operator's choice, since the evidence was not enough in time.
func (s State) atDeadline() (State, Decision) {
	if s.Plan.FinishWithoutEvidence {
		return s.end(Finished, "deadline reached with too little evidence; the operator chose finish"), Finish
	}
	return s.end(Reverted, "deadline reached with too little evidence; the operator chose revert"), Revert
}
