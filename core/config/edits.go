package config

import (
	"bytes"
	"fmt"

	"github.com/cockroachdb/errors"
)

// MaxEdits is the largest number of edits in one change.
const MaxEdits = 1000

// WithEdits returns a new configuration with the next sequence number and all edits applied. If an edit or the result
// is invalid, it returns an error and applies nothing. The caller sets ChangeID, or uses WithChange.
func (c Configuration) WithEdits(edits []Edit) (Configuration, error) {
	if len(edits) == 0 || len(edits) > MaxEdits {
		return c, errors.Newf("change: %d edits; accepted: 1 to %d", len(edits), MaxEdits)
	}
	next := c
	next.Sequence, next.index = c.Sequence+1, nil
	seen := map[string]bool{}
	for _, edit := range edits {
		document := edit.Kind + "/" + edit.Name
		col, ok := collectionOf(edit.Kind)
		if !ok {
			return c, &ValidationError{Document: document, Value: "unknown kind", Accepted: fmt.Sprint(DocumentKinds())}
		}
		if seen[document] {
			return c, &ValidationError{Document: document, Value: "edited twice", Accepted: "one edit of each document in a change"}
		}
		seen[document] = true
		if len(edit.Document) == 0 {
			if !col.remove(&next, edit.Name) {
				return c, &ValidationError{Document: document, Value: "does not exist", Accepted: "an existing document to delete"}
			}
			continue
		}
		if err := col.set(&next, edit.Name, edit.Document); err != nil {
			return c, err
		}
	}
	if err := next.Check(); err != nil {
		return c, err
	}
	return next.WithIndex(), nil
}

// WithChange applies a change, whose sequence must be the one after the receiver's.
func (c Configuration) WithChange(change Change) (next Configuration, err error) {
	if change.Sequence != c.Sequence+1 {
		return c, errors.Newf("change has sequence %d; accepted: %d", change.Sequence, c.Sequence+1)
	}
	if next, err = c.WithEdits(change.Edits); err != nil {
		return c, errors.Wrapf(err, "change %s", change.ChangeID)
	}
	next.ChangeID = change.ChangeID
	return next, nil
}

// Diff returns the edits that turn one configuration into another, in a fixed order.
func Diff(from, to *Configuration) (edits []Edit, err error) {
	defer func() { err = errors.Wrap(err, "compare configurations") }()
	for _, col := range collections {
		for _, name := range col.names(from) {
			after, err := col.document(to, name)
			if err != nil {
				return nil, err
			}
			before, err := col.document(from, name)
			if err != nil {
				return nil, err
			}
			if !bytes.Equal(before, after) {
				edits = append(edits, Edit{Kind: col.kind, Name: name, Document: after})
			}
		}
		for _, name := range col.names(to) {
			before, err := col.document(from, name)
			if err != nil {
				return nil, err
			}
			if before != nil {
				continue
			}
			after, err := col.document(to, name)
			if err != nil {
				return nil, err
			}
			edits = append(edits, Edit{Kind: col.kind, Name: name, Document: after})
		}
	}
	return edits, nil
}

// Document returns one document as JSON, or nil if there is none.
func (c *Configuration) Document(kind, name string) ([]byte, error) {
	col, ok := collectionOf(kind)
	if !ok {
		return nil, errors.Newf("unknown kind %q; accepted: %v", kind, DocumentKinds())
	}
	return col.document(c, name)
}

// Names returns the sorted names of the documents of one kind.
func (c *Configuration) Names(kind string) []string {
	col, ok := collectionOf(kind)
	if !ok {
		return nil
	}
	return col.names(c)
}
