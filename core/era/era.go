// Package era orders the revisions of a store that may be restored from an older copy. A restore sets the revisions back and
// begins a new era, so that revisions of different eras cannot be compared.
package era

import "cmp"

// Era is the number of restores that the store went through. A store that states no era is in era 0.
type Era uint64

// revisionBits is the number of bits of a revision in Position.Packed; the lowest 16 bits of the era are in those above.
const revisionBits = 48

// MaxRevision is the highest revision that Position.Packed keeps apart from others in eras above 0.
const MaxRevision = 1<<revisionBits - 1

// Position is a revision in the era in which the store assigned it.
type Position struct {
	Era      Era
	Revision uint64
}

// Compare returns -1, 0 or +1: a position in a later era is higher whatever the revisions.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// Before reports whether p is lower than other.
func (p Position) Before(other Position) bool { return p.Compare(other) < 0 }

// Packed returns the position as one number. In era 0 it is the revision. In a later era, revisions above MaxRevision become
// MaxRevision. The numbers have the order of the positions unless the era passes a multiple of 65,536 between them.
func (p Position) Packed() uint64 {
	if p.Era == 0 {
		return p.Revision
	}
	return uint64(p.Era)<<revisionBits | min(p.Revision, MaxRevision)
}

// Verdict says what to do with a response.
type Verdict uint8

// The verdicts.
const (
	// Current: the response is of the highest era seen.
	Current Verdict = iota
	// Late: the store was restored after it sent the response. The response is dropped.
	Late
	// Restored: the response is the first one after a restore. All copies of the store's objects must be listed again.
	Restored
)

// Latest is the highest era that a process has seen in responses. The zero value has seen none.
type Latest struct {
	Era Era
	// seen is set after the first response, Stated after the first one that states an era.
	seen, Stated bool
}

// WithStated returns the latest era after a response that states an era, and the verdict on that response. The first response
// of all only sets the era, since the process has no older state.
func (l Latest) WithStated(e Era) (Latest, Verdict) {
	switch {
	case e < l.Era:
		return l, Late
	case e == l.Era || !l.seen:
		return Latest{Era: e, seen: true, Stated: true}, Current
	}
	return Latest{Era: e, seen: true, Stated: true}, Restored
}

// WithUnstated returns the latest era after a response without an era. It counts as a response of the highest era seen.
func (l Latest) WithUnstated() Latest {
	l.seen = true
	return l
}
