package moves

import (
	"time"

	"vanillatally/core/rollout"
	"vanillatally/core/shift"
)

var shiftKind = moveKind{
	name: kindShifts,
	newMachine: func(now time.Duration, m *move) stateMachine {
		return shiftMachine{shift.New(now, shift.NewPlan(m.shift)), m}
	},
	resumeMachine: func(now time.Duration, m *move, r Record, elapsed time.Duration) stateMachine {
		return shiftMachine{shift.Resume(now, shift.NewPlan(m.shift), r.Share, r.Reductions, elapsed), m}
	},
	newLocalJudge: func(now time.Duration, m *move, hosts int) rollout.LocalJudge {
		// Shifted requests are slow at first because they meet cold caches. The warm-up is longer than the shift, so that slow
		// requests never count as a fault.
		within := time.Duration(m.shift.Within)
		return rollout.NewLocalJudge(now, rollout.Plan{Within: within, ServerWarmup: 2 * within}, hosts)
	},
}

type shiftMachine struct {
	state shift.State
	move  *move
}

func (s shiftMachine) next(now time.Duration, m measurement) (stateMachine, decision) {
	to, link := m.places.DestinationLoad(s.move.shift)
	next, d := s.state.Next(now, shift.Measurement{
		Batch: m.batch, Complete: m.complete, Destination: to, Link: link, DestinationDown: !m.places.Usable(s.move.shift.To),
		BehindOtherShift: m.behindOtherShift, Cancelled: m.cancelled, VetoReason: m.vetoReason,
	})
	switch d {
	case shift.Raise, shift.Finish:
		return shiftMachine{next, s.move}, raise
	case shift.Lower, shift.Revert:
		return shiftMachine{next, s.move}, lower
	default:
		return shiftMachine{next, s.move}, hold
	}
}

func (s shiftMachine) writeTo(now time.Duration, rec *Record) {
	rec.Phase, rec.Share, rec.Reductions = string(s.state.Phase), s.state.MovedShare, s.state.Reductions
	rec.Elapsed, rec.Reason = now-s.state.Started, s.state.Reason
}

func (s shiftMachine) share() float64 { return s.state.MovedShare }

func (s shiftMachine) terminal() bool { return s.state.Phase.Terminal() }

func (s shiftMachine) writeStatus(_ time.Duration, st *Status) {
	st.Reason, st.Evidence = s.state.Reason, s.state.Judge.Evidence()
	if !s.terminal() {
		st.NextShare = min(2*s.state.MovedShare, s.state.Plan.Target)
	}
}
