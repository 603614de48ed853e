package moves

import (
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"vanillatally/core/config"
	"vanillatally/core/rollout"
)

// The kinds of moves, as their documents are called in the configuration.
const (
	kindRollouts = "rollouts"
	kindShifts   = "shifts"
)

// decision is what the driver does next. Both the decisions of package rollout and those of package shift are mapped to it.
type decision int

const (
	// hold keeps the share.
	hold decision = iota
	// raise also stands for the end of a successful move. It takes effect after it was recorded in the store.
	raise
	// lower also stands for a revert. It takes effect at once.
	lower
)

// measurement is the input of stateMachine.next. See the fields of rollout.Measurement and shift.Measurement.
type measurement struct {
	batch      rollout.Batch
	complete   bool
	vetoReason string
	// cancelled is set when the operator cancelled the move.
	cancelled bool
	// behindOtherShift is set while another shift to the same destination goes first.
	behindOtherShift bool
	places           Places
}

// stateMachine wraps rollout.State or shift.State. It is an immutable value.
type stateMachine interface {
	// next returns the state after a measurement, and the decision that led to it.
	next(now time.Duration, m measurement) (stateMachine, decision)
	// writeTo sets the state in the record.
	writeTo(now time.Duration, r *Record)
	share() float64
	terminal() bool
	writeStatus(now time.Duration, st *Status)
}

// moveKind holds what differs between rollouts and shifts.
type moveKind struct {
	name string
	// newMachine returns the state machine of a move that starts. resumeMachine returns that of a move which was recorded as r
	// and started elapsed ago.
	newMachine    func(now time.Duration, m *move) stateMachine
	resumeMachine func(now time.Duration, m *move, r Record, elapsed time.Duration) stateMachine
	// newLocalJudge returns the test that a host runs on its own requests only.
	newLocalJudge func(now time.Duration, m *move, hosts int) rollout.LocalJudge
}

// moveKinds maps the name of a kind to it.
var moveKinds = map[string]moveKind{kindRollouts: rolloutKind, kindShifts: shiftKind}

// isTerminal reports whether a recorded phase ends the move; it knows the phases of rollouts and shifts.
func isTerminal(phase string) bool {
	return phase == string(rollout.Finished) || phase == string(rollout.Reverted) || phase == "done"
}

// definitionHash returns a hash of a move's document, in which the caller has unset Cancelled. A document that is changed under
// the same name is another move, with another hash.
func definitionHash(document any) uint64 {
	data, err := json.Marshal(document)
	if err != nil {
		// This can't happen: documents are plain structs of strings and validated numbers.
		return 0
	}
	return xxhash.Sum64(data)
}

// cancellationEdit returns the edit of the configuration that cancels a move.
func cancellationEdit(c *config.Configuration, kind, name string) (edit config.Edit, err error) {
	edit = config.Edit{Kind: kind, Name: name}
	if c == nil {
		return edit, errors.New("no configuration is loaded yet")
	}
	switch kind {
	case kindRollouts:
		r, ok := c.Rollouts[name]
		if !ok {
			return edit, errors.Newf("rollouts/%s does not exist", name)
		}
		r.Cancelled = true
		edit.Document, err = json.Marshal(r)
	case kindShifts:
		s, ok := c.Shifts[name]
		if !ok {
			return edit, errors.Newf("shifts/%s does not exist", name)
		}
		s.Cancelled = true
		edit.Document, err = json.Marshal(s)
	default:
		return edit, errors.Newf("unknown kind %q; must be %s or %s", kind, kindRollouts, kindShifts)
	}
	return edit, err
}
