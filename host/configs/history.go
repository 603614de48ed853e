package configs

import "vanillatally/core/config"

// The bounds of the retained changes. A pull from further back gets the whole configuration.
const (
	historyChanges = 64
	historyBytes   = 256 << 10
)

// history holds the newest consecutive changes, at most historyChanges with historyBytes of documents.
type history struct {
	changes []config.Change
	bytes   int
}

func (h *history) add(change config.Change) {
	if n := len(h.changes); n > 0 && h.changes[n-1].Sequence+1 != change.Sequence {
		h.changes, h.bytes = nil, 0
	}
	h.changes = append(h.changes, change)
	h.bytes += size(change)
	for len(h.changes) > historyChanges || h.bytes > historyBytes && len(h.changes) > 0 {
		h.bytes -= size(h.changes[0])
		h.changes = h.changes[1:]
	}
}

// after returns the changes that follow sequence up to the newest, or false when one of them is not retained.
func (h *history) after(sequence uint64) ([]config.Change, bool) {
	if len(h.changes) == 0 || h.changes[0].Sequence > sequence+1 {
		return nil, false
	}
	skip := min(sequence+1-h.changes[0].Sequence, uint64(len(h.changes)))
	return append([]config.Change(nil), h.changes[skip:]...), true
}

func size(change config.Change) (bytes int) {
	for _, edit := range change.Edits {
		bytes += len(edit.Kind) + len(edit.Name) + len(edit.Document)
	}
	return bytes
}
