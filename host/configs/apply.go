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

// ChangeState is the result of an operator's change.
type ChangeState string

// Results of a change.
const (
	// Accepted: written to the store, and in force at every host that is not known to be dead.
	Accepted ChangeState = "accepted"
	// Pending: written to the store and not undone; the hosts in Unconfirmed have not reported it in force yet.
	Pending ChangeState = "pending"
	// Conflict: not written, because another change was written first.
	Conflict ChangeState = "conflict"
	// OutcomeUnknown: the store's response was lost, and reading the store did not tell whether the change was written.
	// Operators should check the configuration before they retry.
	OutcomeUnknown ChangeState = "unknown"
)

// ChangeOutcome describes the result of Apply.
type ChangeOutcome struct {
	State ChangeState `json:"state"`
	// Sequence is the sequence of the change, or with Conflict the newest sequence.
	Sequence uint64 `json:"sequence"`
	ChangeID string `json:"change-id"`
	// Unconfirmed names the hosts that have not confirmed a Pending change.
	Unconfirmed []string `json:"waiting,omitempty"`
	// ConflictingChange is set with Conflict. It is the newest change, with all edits since the sequence that the operator
	// saw if this host still has them in its history.
	ConflictingChange *config.Change `json:"other,omitempty"`
	// PropagationTime is the time from the write to the last confirmation, or to the end of waiting for it.
	PropagationTime time.Duration `json:"took-ns,omitempty"`
}

// ErrTooManyChanges is returned when maxPendingChanges changes are waiting for confirmation at this host.
var ErrTooManyChanges = errors.New("too many changes are waiting for confirmation at this host; retry later or use another host")

const (
	// storeCallTimeout bounds one call to the store; applyTimeout bounds Apply.
	storeCallTimeout = 2 * time.Second
	applyTimeout     = 10 * time.Second
	maxStoreAttempts = 5
)

// Validate checks edits against the configuration in force, which must have the sequence expect. It writes nothing.
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

// Apply writes edits to the store if expect is still the newest sequence, and waits until all hosts have them in force.
// An error means that nothing was written.
func (s *Service) Apply(ctx context.Context, expect uint64, edits []config.Edit) (out ChangeOutcome, err error) {
	defer func() { err = errors.Wrap(err, "apply change") }()
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	s.mu.Lock()
	full := len(s.pendingChanges) >= maxPendingChanges
	s.mu.Unlock()
	if full {
		return out, ErrTooManyChanges
	}
	base, version, err := s.readStoreWithRetry(ctx)
	if err != nil {
		return out, err
	}
	if inForce := s.Sequence(); base.Sequence < inForce {
		return out, errors.Newf("the store was rolled back: it holds sequence %d, and %d is in force", base.Sequence, inForce)
	}
	if base.Sequence != expect {
		return s.conflictOutcome(expect, base), nil
	}
	change := config.Change{Sequence: expect + 1, ChangeID: s.newChangeID(), Edits: edits}
	next, err := base.WithChange(change)
	if err != nil {
		return out, err
	}
	value, err := next.Encode()
	if err != nil {
		return out, err
	}
	state, newer, err := s.writeChange(ctx, value, version, change)
	if err != nil {
		return out, err
	}
	switch state {
	case Conflict:
		return s.conflictOutcome(expect, newer), nil
	case OutcomeUnknown:
		return ChangeOutcome{State: OutcomeUnknown, Sequence: change.Sequence, ChangeID: change.ChangeID}, nil
	default:
		return s.propagate(ctx, next, change), nil
	}
}

// propagate puts a written change in force at this host, broadcasts it and waits for the other hosts' confirmations.
func (s *Service) propagate(ctx context.Context, next config.Configuration, change config.Change) ChangeOutcome {
	began := s.now()
	pending := s.expectConfirmations(change.Sequence)
	s.install(&next, &change)
	s.broadcastChange(ctx, s.opts.Host, change)
	out := ChangeOutcome{
		State: Accepted, Sequence: change.Sequence, ChangeID: change.ChangeID,
		Unconfirmed: s.awaitConfirmations(ctx, pending),
	}
	if len(out.Unconfirmed) > 0 {
		out.State = Pending
	}
	out.PropagationTime = s.now() - began
	return out
}

// readStoreWithRetry reads the store in at most maxStoreAttempts attempts.
func (s *Service) readStoreWithRetry(ctx context.Context) (c config.Configuration, version store.Version, err error) {
	for attempt := range maxStoreAttempts {
		callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
		c, version, err = s.readStore(callCtx)
		cancel()
		if err == nil || !s.backOff(ctx, attempt) {
			break
		}
	}
	return c, version, err
}

// writeChange writes value with a compare-and-swap on expect and determines whether it was written. After a lost response
// it repeats the write only once it has read that the object is unchanged, and then with the same value on the same
// version, so that at most one of the writes takes effect.
func (s *Service) writeChange(
	ctx context.Context, value []byte, expect store.Version, change config.Change,
) (state ChangeState, newer config.Configuration, err error) {
	mayBeWritten := false
	for attempt := range maxStoreAttempts {
		callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
		_, err = s.opts.Store.Put(callCtx, config.StoreKey, value, expect)
		cancel()
		switch {
		case err == nil:
			return Accepted, newer, nil
		case errors.Is(err, store.ErrTooLarge):
			return "", newer, err
		case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrRateLimited):
			if !mayBeWritten {
				if !s.backOff(ctx, attempt) {
					return "", newer, err
				}
				continue
			}
		case errors.Is(err, store.ErrConflict):
		default:
			// The write may have taken effect: ErrUnknownOutcome, or an error that does not rule it out.
			mayBeWritten = true
		}
		var version store.Version
		if newer, version, err = s.readStoreWithRetry(ctx); err != nil {
			if mayBeWritten {
				return OutcomeUnknown, newer, nil
			}
			return "", newer, err
		}
		if version != expect {
			return s.resolveConflict(ctx, newer, change, mayBeWritten), newer, nil
		}
		s.backOff(ctx, attempt)
	}
	if mayBeWritten {
		return OutcomeUnknown, newer, nil
	}
	return "", newer, err
}

// resolveConflict determines from a newer configuration, and from the change history of this host and its peers, whether
// change was written.
func (s *Service) resolveConflict(
	ctx context.Context, newer config.Configuration, change config.Change, mayBeWritten bool,
) ChangeState {
	if newer.ChangeID == change.ChangeID {
		return Accepted
	}
	if !mayBeWritten || newer.Sequence == change.Sequence {
		return Conflict
	}
	// The store holds a later change. Hosts that saw the sequence of this one know which change id it had.
	if id, ok := s.changeIDAt(change.Sequence); ok {
		return acceptedIf(id == change.ChangeID)
	}
	targets := s.otherHosts(func(m membership.Member) bool { return m.State == membership.Alive })
	for _, m := range targets[:min(len(targets), 2*maxPullTargets)] {
		callCtx, cancel := context.WithTimeout(ctx, pullTimeout)
		response, err := peers.Call[pullRequest, pullResponse](
			callCtx, s.opts.Caller, m.Host, KindPull, pullRequest{After: change.Sequence - 1})
		cancel()
		if err == nil && len(response.Changes) > 0 && response.Changes[0].Sequence == change.Sequence {
			return acceptedIf(response.Changes[0].ChangeID == change.ChangeID)
		}
	}
	return OutcomeUnknown
}

func acceptedIf(written bool) ChangeState {
	if written {
		return Accepted
	}
	return Conflict
}

func (s *Service) changeIDAt(sequence uint64) (id string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes, ok := s.history.changesAfter(sequence - 1)
	if !ok || len(changes) == 0 {
		return "", false
	}
	return changes[0].ChangeID, true
}

// conflictOutcome returns the outcome of a change that lost against the ones after expect.
func (s *Service) conflictOutcome(expect uint64, newer config.Configuration) ChangeOutcome {
	conflicting := &config.Change{Sequence: newer.Sequence, ChangeID: newer.ChangeID}
	s.mu.Lock()
	changes, _ := s.history.changesAfter(expect)
	s.mu.Unlock()
	for _, change := range changes {
		if change.Sequence <= newer.Sequence {
			conflicting.Edits = append(conflicting.Edits, change.Edits...)
		}
	}
	return ChangeOutcome{State: Conflict, Sequence: newer.Sequence, ChangeID: newer.ChangeID, ConflictingChange: conflicting}
}

// newChangeID returns a globally unique id: the host's id and at least 128 random bits.
func (s *Service) newChangeID() string {
	return s.opts.Host + "-" + rand.Text()
}
