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
	rollouts = "rollouts"
	shifts   = "shifts"
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
	batch    rollout.Batch
	complete bool
	vetoed   string
	// cancelled is set by the move's document.
	cancelled bool
	// behind is set while another shift to the same receiver goes first.
	behind bool
	places Places
}

// machine is a move's decision logic. It is an immutable value.
type machine interface {
	next(now time.Duration, m measurement) (machine, decision)
	// fill writes the machine's state to the record.
	fill(now time.Duration, r *Record)
	share() float64
	over() bool
	describe(now time.Duration, st *Status)
}

// variant is one kind of move.
type variant struct {
	kind string
	// begin returns the machine at its start, resume at a recorded step.
	begin  func(now time.Duration, m *move) machine
	resume func(now time.Duration, m *move, r Record, elapsed time.Duration) machine
	// local returns a host's own test.
	local func(now time.Duration, m *move, hosts int) rollout.LocalJudge
}

// variants is the look-up table of the kinds of moves.
var variants = map[string]variant{rollouts: rolloutVariant, shifts: shiftVariant}

// overPhase tells whether a recorded phase is final; all variants use the same words.
func overPhase(phase string) bool {
	return phase == string(rollout.Finished) || phase == string(rollout.Reverted) || phase == "done"
}

// definition identifies a move's document but for its cancellation, so that a document that is changed under the
// same name is another move.
func definition(document any) uint64 {
	data, err := json.Marshal(document)
	if err != nil {
		// Documents are plain structs of text and checked numbers.
		return 0
	}
	return xxhash.Sum64(data)
}

// cancelled returns the edit that cancels a move.
func cancelled(c *config.Configuration, kind, name string) (edit config.Edit, err error) {
	edit = config.Edit{Kind: kind, Name: name}
	if c == nil {
		return edit, errors.New("no configuration is in force")
	}
	switch kind {
	case rollouts:
		r, ok := c.Rollouts[name]
		if !ok {
			return edit, errors.Newf("rollouts/%s does not exist", name)
		}
		r.Cancelled = true
		edit.Document, err = json.Marshal(r)
	case shifts:
		s, ok := c.Shifts[name]
		if !ok {
			return edit, errors.Newf("shifts/%s does not exist", name)
		}
		s.Cancelled = true
		edit.Document, err = json.Marshal(s)
	default:
		return edit, errors.Newf("unknown kind %q; accepted: %s, %s", kind, rollouts, shifts)
	}
	return edit, err
}
