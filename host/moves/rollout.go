package moves

import (
	"time"

	"vanillatally/core/rollout"
)

var rolloutVariant = variant{
	kind: rollouts,
	begin: func(now time.Duration, m *move) machine {
		return rolloutMachine{rollout.New(now, rollout.NewPlan(m.rollout))}
	},
	resume: func(now time.Duration, m *move, r Record, elapsed time.Duration) machine {
		return rolloutMachine{rollout.Resume(now, rollout.NewPlan(m.rollout), r.Step, elapsed)}
	},
	local: func(now time.Duration, m *move, hosts int) rollout.LocalJudge {
		return rollout.NewLocalJudge(now, rollout.NewPlan(m.rollout), hosts)
	},
}

type rolloutMachine struct{ state rollout.State }

func (r rolloutMachine) next(now time.Duration, m measurement) (machine, decision) {
	next, d := r.state.Next(now, rollout.Measurement{
		Batch: m.batch, Complete: m.complete, VetoReason: m.vetoed, Cancelled: m.cancelled,
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

func (r rolloutMachine) fill(now time.Duration, rec *Record) {
	rec.Phase, rec.Step, rec.Share = string(r.state.Phase), r.state.Step, r.state.Share()
	rec.Elapsed, rec.Reason = now-r.state.Started, r.state.Reason
}

func (r rolloutMachine) share() float64 { return r.state.Share() }

func (r rolloutMachine) over() bool { return r.state.Phase.Terminal() }

func (r rolloutMachine) describe(now time.Duration, st *Status) {
	st.Reason, st.Evidence, st.Inconclusive = r.state.Reason, r.state.Judge.Evidence(), r.state.Inconclusive
	if step := r.state.Step + 1; step < len(r.state.Plan.Shares) && !r.over() {
		st.NextShare, st.NextIn = r.state.Plan.Shares[step], max(0, r.state.Plan.MinStepTime-(now-r.state.StepStarted))
	}
}
