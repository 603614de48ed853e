package rollout

import (
	"fmt"
	"strings"
	"time"

	"vanillatally/core/config"
)

// Phase is the phase of a rollout.
type Phase string

// The phases of a rollout.
const (
	// Proving: the share of the new version is at most the operator's cap.
	Proving Phase = "proving"
	// Widening: the version passed the steps up to the cap, and its share rises to all traffic.
	Widening Phase = "widening"
	// Monitoring: all traffic goes to the new version, which can still be rolled back.
	Monitoring Phase = "monitoring"
	// Finished: all traffic goes to the new version, and the rollout is over.
	Finished Phase = "finished"
	// Reverted: the version was rolled back; no traffic goes to it, and the rollout is over.
	Reverted Phase = "reverted"
)

// Terminal reports whether the rollout is over.
func (p Phase) Terminal() bool { return p == Finished || p == Reverted }

const (
	// InitialShare is the new version's share at the first step.
	InitialShare = 0.01
	// lastComparedShare is the last share before all traffic. It leaves the old version some requests to compare with.
	lastComparedShare = 0.98
	// scheduledPart is the part of the time to the deadline that the minimum times of all steps take.
	scheduledPart = 0.5
	// minStepTime covers the second after which the counts of a step arrive. maxStepTime keeps a rollout with a far deadline
	// from staying at each share for longer than it is of use.
	minStepTime = 3 * time.Second
	maxStepTime = 10 * time.Minute
	// stepWarmupDivisor sets the time after each step in which the new version's latency is ignored: the minimum step time
	// divided by it, at most maxStepWarmup. The caches of the new version's servers are cold for the callers that the step
	// added.
	stepWarmupDivisor = 3
	maxStepWarmup     = 10 * time.Second
	// serverWarmupPart is the part of the time to the deadline in which the latency of a server that is new to the rollout is
	// ignored, at most maxServerWarmup, the time in which servers ramp up after a cold start.
	serverWarmupPart = 0.1
	maxServerWarmup  = 30 * time.Second
)

// Plan is the schedule of a rollout.
type Plan struct {
	// Shares are the new version's shares at each step, from InitialShare over the cap to 1.
	Shares []float64
	// ProvingSteps is the number of steps at or below the cap.
	ProvingSteps int
	// MinStepTime is the minimum time at each step.
	MinStepTime time.Duration
	// StepWarmup is the time after each step in which the new version's latency does not count.
	StepWarmup time.Duration
	// ServerWarmup is the time after a server's first request in which its latency does not count.
	ServerWarmup time.Duration
	// Within is the time from the start to the deadline.
	Within time.Duration
	// FinishWithoutEvidence is set when the version is to be released, rather than rolled back, if the deadline comes before
	// all steps were passed.
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
	for _, share := range []float64{0.5, lastComparedShare, 1} {
		if share > r.Cap {
			p.Shares = append(p.Shares, share)
		}
	}
	p.MinStepTime = time.Duration(scheduledPart * float64(p.Within) / float64(len(p.Shares)))
	p.MinStepTime = min(max(p.MinStepTime, minStepTime), maxStepTime)
	p.StepWarmup = min(p.MinStepTime/stepWarmupDivisor, maxStepWarmup)
	p.ServerWarmup = min(time.Duration(serverWarmupPart*float64(p.Within)), maxServerWarmup)
	return p
}

// MinDuration is the time that the rollout takes when each step passes after its minimum time, the first one not before
// the servers have warmed up.
func (p Plan) MinDuration() time.Duration {
	return max(p.MinStepTime, p.ServerWarmup) + time.Duration(len(p.Shares)-1)*p.MinStepTime
}

// excludedEffect returns the fault size that a step has to rule out before the next one. Steps with a small share only have
// to rule out larger faults, since a wrong decision affects fewer requests.
func (p Plan) excludedEffect(step int) EffectSize {
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
	// Step is the index in Plan.Shares; it never goes down.
	Step int
	// Started and StepStarted are times of the driver's monotonic clock.
	Started, StepStarted time.Duration
	Judge                Judge
	Warmup               Warmup
	// Reason says, for operators, why the rollout is in its state.
	Reason string
	// Inconclusive is set while there are too few requests, or no measurements, to decide the step.
	Inconclusive bool
}

// New returns the rollout at its first step.
func New(now time.Duration, plan Plan) State {
	s := State{Plan: plan, Started: now, StepStarted: now, Judge: NewJudge(int(plan.Within/BatchInterval), 1), Reason: "started"}
	s.Phase = s.phaseAt(0)
	return s
}

// Resume returns the rollout for a host that takes over from the host that drove it before: at the recorded step, elapsed
// after the start, without data.
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

// Measurement is the input of one call of Next.
type Measurement struct {
	// Batch holds the counts that arrived since the last call; nil when none arrived.
	Batch Batch
	// Complete is set when every live host has reported recently.
	Complete bool
	// VetoReason is the reason of a host whose own test found the version worse, or empty.
	VetoReason string
	// Cancelled is set when the operator cancelled the rollout.
	Cancelled bool
}

// Decision is what the driving host does next. A higher share is recorded in the store before it takes effect; a lower one
// takes effect at once.
type Decision string

// The decisions about a rollout.
const (
	Hold   Decision = "hold"
	Raise  Decision = "raise"
	Finish Decision = "finish"
	Revert Decision = "revert"
)

// Next returns the rollout after a measurement, and the decision.
func (s State) Next(now time.Duration, m Measurement) (State, Decision) {
	if s.Phase.Terminal() {
		return s, Hold
	}
	if m.Batch != nil {
		var counted Batch
		s.Warmup, counted = s.Warmup.withoutColdLatency(now, s.StepStarted, s.Plan, m.Batch)
		s.Judge = s.Judge.Add(counted, s.Plan.excludedEffect(s.Step))
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
	undecided, traffic := s.Judge.UndecidedRoutes()
	s.Inconclusive = len(undecided) > 0 || !traffic
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
	case len(undecided) > 0:
		s.Reason = "holds: too little traffic so far to judge " + strings.Join(undecided, ", ")
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

// atDeadline ends the rollout in the way that the operator chose for too little traffic.
func (s State) atDeadline() (State, Decision) {
	if s.Plan.FinishWithoutEvidence {
		return s.end(Finished, "deadline reached with too little evidence; the operator chose finish"), Finish
	}
	return s.end(Reverted, "deadline reached with too little evidence; the operator chose revert"), Revert
}
