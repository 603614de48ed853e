package moves

import (
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"vanillatally/core/config"
	"vanillatally/core/rollout"
)

// The kinds of moves; they are the kinds of their documents.
const (
	kindRollouts = "rollouts"
	kindShifts   = "shifts"
)

// decision is what a machine wants done.
type decision int

const (
	hold decision = iota
	// raise has to be recorded before it is in force; finish and revert end the move.
	raise
	lower
)

// measurement is what a driver knows at one moment.
type measurement struct {
	batch      rollout.Batch
	complete   bool
	vetoReason string
	// cancelled is set by the move's document.
	cancelled bool
	// behindOtherShift is set while another shift to the same receiver goes first.
	behindOtherShift bool
	places           Places
}

// stateMachine is a move's decision logic. It is an immutable value.
type stateMachine interface {
	next(now time.Duration, m measurement) (stateMachine, decision)
	// writeTo writes the machine's state to the record.
	writeTo(now time.Duration, r *Record)
	share() float64
	terminal() bool
	writeStatus(now time.Duration, st *Status)
}

// moveKind is one kind of move.
type moveKind struct {
	name string
	// newMachine returns the machine at its start, resume at a recorded step.
	newMachine    func(now time.Duration, m *move) stateMachine
	resumeMachine func(now time.Duration, m *move, r Record, elapsed time.Duration) stateMachine
	// newLocalJudge returns a host's own test.
	newLocalJudge func(now time.Duration, m *move, hosts int) rollout.LocalJudge
}

// moveKinds is the look-up table of the kinds of moves.
var moveKinds = map[string]moveKind{kindRollouts: rolloutKind, kindShifts: shiftKind}

// isTerminal tells whether a recorded phase is final; all variants use the same words.
func isTerminal(phase string) bool {
	return phase == string(rollout.Finished) || phase == string(rollout.Reverted) || phase == "done"
}

// definitionHash identifies a move's document but for its cancellation, so that a document that is changed under the
// same name is another move.
func definitionHash(document any) uint64 {
	data, err := json.Marshal(document)
	if err != nil {
		// Documents are plain structs of text and checked numbers.
		return 0
	}
	return xxhash.Sum64(data)
}

// cancellationEdit returns the edit that cancels a move.
func cancellationEdit(c *config.Configuration, kind, name string) (edit config.Edit, err error) {
	edit = config.Edit{Kind: kind, Name: name}
	if c == nil {
		return edit, errors.New("no configuration is in force")
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
		return edit, errors.Newf("unknown kind %q; accepted: %s, %s", kind, kindRollouts, kindShifts)
	}
	return edit, err
}
