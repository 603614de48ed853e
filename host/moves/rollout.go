package moves

import (
	"time"

	"vanillatally/core/rollout"
)

var rolloutKind = moveKind{
	name: kindRollouts,
	newMachine: func(now time.Duration, m *move) stateMachine {
		return rolloutMachine{rollout.New(now, rollout.NewPlan(m.rollout))}
	},
	resumeMachine: func(now time.Duration, m *move, r Record, elapsed time.Duration) stateMachine {
		return rolloutMachine{rollout.Resume(now, rollout.NewPlan(m.rollout), r.Step, elapsed)}
	},
	newLocalJudge: func(now time.Duration, m *move, hosts int) rollout.LocalJudge {
		return rollout.NewLocalJudge(now, rollout.NewPlan(m.rollout), hosts)
	},
}

type rolloutMachine struct{ state rollout.State }

func (r rolloutMachine) next(now time.Duration, m measurement) (stateMachine, decision) {
	next, d := r.state.Next(now, rollout.Measurement{
		Batch: m.batch, Complete: m.complete, VetoReason: m.vetoReason, Cancelled: m.cancelled,
	})
	switch d {
	case rollout.Raise, rollout.Finish:
		return rolloutMachine{next}, raise
	case rollout.Revert:
		return rolloutMachine{next}, lower
	default:
		return rolloutMachine{next}, hold
	}
}

func (r rolloutMachine) writeTo(now time.Duration, rec *Record) {
	rec.Phase, rec.Step, rec.Share = string(r.state.Phase), r.state.Step, r.state.Share()
	rec.Elapsed, rec.Reason = now-r.state.Started, r.state.Reason
}

func (r rolloutMachine) share() float64 { return r.state.Share() }

func (r rolloutMachine) terminal() bool { return r.state.Phase.Terminal() }

func (r rolloutMachine) writeStatus(now time.Duration, st *Status) {
	st.Reason, st.Evidence, st.Inconclusive = r.state.Reason, r.state.Judge.Evidence(), r.state.Inconclusive
	if step := r.state.Step + 1; step < len(r.state.Plan.Shares) && !r.terminal() {
		st.NextShare, st.NextIn = r.state.Plan.Shares[step], max(0, r.state.Plan.MinStepTime-(now-r.state.StepStarted))
	}
}
