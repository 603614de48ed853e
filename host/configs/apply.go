package configs

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/cockroachdb/errors"

	"vanillatally/core/config"
	"vanillatally/core/membership"
	"vanillatally/io/peers"
	"vanillatally/io/store"
)

// ChangeState is what became of a change.
type ChangeState string

// The states of a change.
const (
	// Accepted: written, and in force at every host that is not known to be dead.
	Accepted ChangeState = "accepted"
	// Pending: written and final; the hosts in Waiting have not confirmed it yet.
	Pending ChangeState = "pending"
	// Conflict: not written, because another change came first.
	Conflict ChangeState = "conflict"
	// OutcomeUnknown: the store's answer was lost and could not be read back; look at the configuration before a new try.
	OutcomeUnknown ChangeState = "unknown"
)

// ChangeOutcome is the answer to an operator's change.
type ChangeOutcome struct {
	State ChangeState `json:"state"`
	// Sequence is that of the change, or with Conflict the newest one.
	Sequence uint64 `json:"sequence"`
	ChangeID string `json:"change-id"`
	// Unconfirmed names the hosts that have not confirmed, with Pending.
	Unconfirmed []string `json:"waiting,omitempty"`
	// ConflictingChange is set with Conflict: the newest change, with all edits since the sequence that the operator saw
	// as far as this host retains them.
	ConflictingChange *config.Change `json:"other,omitempty"`
	// PropagationTime is the time from the write's effect to the answer.
	PropagationTime time.Duration `json:"took-ns,omitempty"`
}

// ErrTooManyChanges is returned when this host handles as many changes as it may at once.
var ErrTooManyChanges = errors.New("too many changes wait for confirmations at this host; try again or use another host")

const (
	// storeCall bounds one call to the store, applyWithin the whole of Apply.
	storeCall   = 2 * time.Second
	applyWithin = 10 * time.Second
	storeTries  = 5
)

// Validate checks edits against the configuration of sequence expect without writing anything.
func (s *Service) Validate(expect uint64, edits []config.Edit) (next config.Configuration, err error) {
	var base config.Configuration
	if current := s.Current(); current != nil {
		base = *current
	}
	if base.Sequence != expect {
		return next, errors.Newf("configuration has sequence %d, not %d", base.Sequence, expect)
	}
	if next, err = base.WithEdits(edits); err != nil {
		return next, err
	}
	_, err = next.Encode()
	return next, err
}

// Apply writes edits if expect is still the newest sequence, and waits until they are in force everywhere.
// An error means that nothing was written.
func (s *Service) Apply(ctx context.Context, expect uint64, edits []config.Edit) (out ChangeOutcome, err error) {
	defer func() { err = errors.Wrap(err, "apply change") }()
	ctx, cancel := context.WithTimeout(ctx, applyWithin)
	defer cancel()
	s.mu.Lock()
	full := len(s.waiters) >= maxWaiters
	s.mu.Unlock()
	if full {
		return out, ErrTooManyChanges
	}
	base, version, err := s.newest(ctx)
	if err != nil {
		return out, err
	}
	if held := s.Sequence(); base.Sequence < held {
		return out, errors.Newf("the store holds sequence %d, older than %d in force; it was set back", base.Sequence, held)
	}
	if base.Sequence != expect {
		return s.conflict(expect, base), nil
	}
	change := config.Change{Sequence: expect + 1, ChangeID: s.changeID(), Edits: edits}
	next, err := base.WithChange(change)
	if err != nil {
		return out, err
	}
	value, err := next.Encode()
	if err != nil {
		return out, err
	}
	state, newer, err := s.write(ctx, value, version, change)
	if err != nil {
		return out, err
	}
	switch state {
	case Conflict:
		return s.conflict(expect, newer), nil
	case OutcomeUnknown:
		return ChangeOutcome{State: OutcomeUnknown, Sequence: change.Sequence, ChangeID: change.ChangeID}, nil
	default:
		return s.spread(ctx, next, change), nil
	}
}

// spread puts a written change in force and waits for the other hosts.
func (s *Service) spread(ctx context.Context, next config.Configuration, change config.Change) ChangeOutcome {
	began := s.now()
	w := s.expectConfirmations(change.Sequence)
	s.take(&next, &change)
	s.announce(ctx, s.opts.Host, change)
	out := ChangeOutcome{State: Accepted, Sequence: change.Sequence, ChangeID: change.ChangeID, Unconfirmed: s.await(ctx, w)}
	if len(out.Unconfirmed) > 0 {
		out.State = Pending
	}
	out.PropagationTime = s.now() - began
	return out
}

// newest reads the store within a bounded number of tries.
func (s *Service) newest(ctx context.Context) (c config.Configuration, version store.Version, err error) {
	for attempt := range storeTries {
		call, cancel := context.WithTimeout(ctx, storeCall)
		c, version, err = s.readStore(call)
		cancel()
		if err == nil || !s.pause(ctx, attempt) {
			break
		}
	}
	return c, version, err
}

// write puts value and finds out what became of it. It repeats a lost write only after it has read that the object
// is unchanged, and then with the same value on the same version, so that at most one of the writes takes effect.
func (s *Service) write(
	ctx context.Context, value []byte, expect store.Version, change config.Change,
) (state ChangeState, newer config.Configuration, err error) {
	maybe := false
	for attempt := range storeTries {
		call, cancel := context.WithTimeout(ctx, storeCall)
		_, err = s.opts.Store.Put(call, config.StoreKey, value, expect)
		cancel()
		switch {
		case err == nil:
			return Accepted, newer, nil
		case errors.Is(err, store.ErrTooLarge):
			return "", newer, err
		case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrRateLimited):
			if !maybe {
				if !s.pause(ctx, attempt) {
					return "", newer, err
				}
				continue
			}
		case errors.Is(err, store.ErrConflict):
		default:
			// ErrUnknownOutcome, and every error that does not say that nothing was written.
			maybe = true
		}
		var version store.Version
		if newer, version, err = s.newest(ctx); err != nil {
			if maybe {
				return OutcomeUnknown, newer, nil
			}
			return "", newer, err
		}
		if version != expect {
			return s.outcome(ctx, newer, change, maybe), newer, nil
		}
		s.pause(ctx, attempt)
	}
	if maybe {
		return OutcomeUnknown, newer, nil
	}
	return "", newer, err
}

// outcome tells from a newer configuration whether change was written.
func (s *Service) outcome(ctx context.Context, newer config.Configuration, change config.Change, maybe bool) ChangeState {
	if newer.ChangeID == change.ChangeID {
		return Accepted
	}
	if !maybe || newer.Sequence == change.Sequence {
		return Conflict
	}
	// Another change was written on top of ours or of a rival's; hosts that saw the sequence retain its change id.
	if id, ok := s.changeAt(change.Sequence); ok {
		return writtenIf(id == change.ChangeID)
	}
	targets := s.others(func(m membership.Member) bool { return m.State == membership.Alive })
	for _, m := range targets[:min(len(targets), 2*pullTries)] {
		call, cancel := context.WithTimeout(ctx, pullTimeout)
		answer, err := peers.Call[pullRequest, pullAnswer](call, s.opts.Caller, m.Host, KindPull, pullRequest{After: change.Sequence - 1})
		cancel()
		if err == nil && len(answer.Changes) > 0 && answer.Changes[0].Sequence == change.Sequence {
			return writtenIf(answer.Changes[0].ChangeID == change.ChangeID)
		}
	}
	return OutcomeUnknown
}

func writtenIf(same bool) ChangeState {
	if same {
		return Accepted
	}
	return Conflict
}

func (s *Service) changeAt(sequence uint64) (id string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes, ok := s.history.after(sequence - 1)
	if !ok || len(changes) == 0 {
		return "", false
	}
	return changes[0].ChangeID, true
}

// conflict describes the change that came first.
func (s *Service) conflict(expect uint64, newer config.Configuration) ChangeOutcome {
	other := &config.Change{Sequence: newer.Sequence, ChangeID: newer.ChangeID}
	s.mu.Lock()
	changes, _ := s.history.after(expect)
	s.mu.Unlock()
	for _, change := range changes {
		if change.Sequence <= newer.Sequence {
			other.Edits = append(other.Edits, change.Edits...)
		}
	}
	return ChangeOutcome{State: Conflict, Sequence: newer.Sequence, ChangeID: newer.ChangeID, ConflictingChange: other}
}

// changeID returns an id that no other change has: the host, and at least 128 random bits.
func (s *Service) changeID() string {
	return s.opts.Host + "-" + rand.Text()
}
