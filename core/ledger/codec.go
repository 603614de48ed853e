package ledger

import (
	"bytes"
	"encoding/json"
	"io"
	"slices"

	"github.com/cockroachdb/errors"
)

// maxNameBytes is the maximum length of the names of hosts, regions and failure domains.
const maxNameBytes = 128

// Encode returns the ledger as JSON, or an error if it is invalid.
func (l Ledger) Encode() (value []byte, err error) {
	defer func() { err = errors.Wrap(err, "encode the ledger") }()
	if err := l.Validate(); err != nil {
		return nil, err
	}
	return json.Marshal(l)
}

// Decode parses a value of the store and validates it, so that a corrupt or foreign value is not used.
func Decode(value []byte) (l Ledger, err error) {
	defer func() { err = errors.Wrapf(err, "decode the value of %s", StoreKey) }()
	d := json.NewDecoder(bytes.NewReader(value))
	d.DisallowUnknownFields()
	if err := d.Decode(&l); err != nil {
		return Ledger{}, err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return Ledger{}, errors.New("data follows the ledger")
	}
	if err := l.Validate(); err != nil {
		return Ledger{}, err
	}
	return l, nil
}

// Validate checks the limits and references of all members and slots.
func (l Ledger) Validate() error {
	if l.Epoch == 0 {
		return errors.New("epoch is 0, want at least 1")
	}
	if len(l.Members) > MaxMembers {
		return errors.Newf("%d members, want at most %d", len(l.Members), MaxMembers)
	}
	byHost := make(map[string]Member, len(l.Members))
	last := ""
	for i, m := range l.Members {
		switch {
		case m.Host == "" || len(m.Host) > maxNameBytes || len(m.Region) > maxNameBytes || len(m.FailureDomain) > maxNameBytes:
			return errors.Newf("members[%d]: host is empty, or host, region or failure domain is longer than %d bytes", i, maxNameBytes)
		case m.Host <= last:
			return errors.Newf("members[%d]: host %q is a duplicate or out of order", i, m.Host)
		case m.Incarnation == 0 || m.Incarnation > l.Epoch:
			return errors.Newf("members[%d]: incarnation %d is not in 1 to %d", i, m.Incarnation, l.Epoch)
		case m.WitnessesSinceEpoch > l.Epoch:
			return errors.Newf("members[%d]: witnesses-since %d is not in 0 to %d", i, m.WitnessesSinceEpoch, l.Epoch)
		case len(m.Witnesses) > MaxWitnesses:
			return errors.Newf("members[%d]: %d witnesses, want at most %d", i, len(m.Witnesses), MaxWitnesses)
		}
		last, byHost[m.Host] = m.Host, m
	}
	for i, m := range l.Members {
		for j, w := range m.Witnesses {
			if _, ok := byHost[w]; !ok || w == m.Host || slices.Contains(m.Witnesses[:j], w) {
				return errors.Newf("members[%d]: witness %q is not another member or is a duplicate", i, w)
			}
		}
	}
	for i, s := range l.Slots {
		if _, ok := byHost[s.Holder]; !ok && (s.Holder != "" || len(l.Members) > 0) {
			return errors.Newf("slots[%d]: holder %q is not a member", i, s.Holder)
		}
		if s.SinceEpoch == 0 || s.SinceEpoch > l.Epoch {
			return errors.Newf("slots[%d]: since %d is not in 1 to %d", i, s.SinceEpoch, l.Epoch)
		}
		if len(s.Unreleased) > MaxUnreleased || len(s.PreviousHolder) > maxNameBytes {
			return errors.Newf("slots[%d]: more than %d unreleased holders, or previous holder is too long", i, MaxUnreleased)
		}
		for _, p := range s.Unreleased {
			if byHost[p.Host].Incarnation != p.Incarnation || p.Incarnation == 0 || p.Host == s.Holder {
				return errors.Newf("slots[%d]: unreleased %q is not another member with incarnation %d", i, p.Host, p.Incarnation)
			}
		}
	}
	return nil
}
