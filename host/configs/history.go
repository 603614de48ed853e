package configs

import "vanillatally/core/config"

// Limits of the change history. A pull that needs an older change gets the full configuration.
const (
	maxHistoryChanges = 64
	maxHistoryBytes   = 256 << 10
)

// history holds the newest changes with consecutive sequences, at most maxHistoryChanges of them and maxHistoryBytes of
// their edits.
type history struct {
	changes []config.Change
	bytes   int
}

// add appends a change. If its sequence does not follow the newest one, the older changes are dropped.
func (h *history) add(change config.Change) {
	if n := len(h.changes); n > 0 && h.changes[n-1].Sequence+1 != change.Sequence {
		h.changes, h.bytes = nil, 0
	}
	h.changes = append(h.changes, change)
	h.bytes += editBytes(change)
	for len(h.changes) > maxHistoryChanges || h.bytes > maxHistoryBytes && len(h.changes) > 0 {
		h.bytes -= editBytes(h.changes[0])
		h.changes = h.changes[1:]
	}
}

// changesAfter returns all changes after sequence. It returns false if the history no longer holds all of them.
func (h *history) changesAfter(sequence uint64) ([]config.Change, bool) {
	if len(h.changes) == 0 || h.changes[0].Sequence > sequence+1 {
		return nil, false
	}
	skip := min(sequence+1-h.changes[0].Sequence, uint64(len(h.changes)))
	return append([]config.Change(nil), h.changes[skip:]...), true
}

func editBytes(change config.Change) (bytes int) {
	for _, edit := range change.Edits {
		bytes += len(edit.Kind) + len(edit.Name) + len(edit.Document)
	}
	return bytes
}
