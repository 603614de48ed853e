package budgets

import (
	"bytes"
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"vanillatally/core/ledger"
	"vanillatally/io/store"
)

// syncWithStore reads the ledger from the store and writes the change that is due, if any. written is whether a
// write took effect. Calls must not overlap.
func (n *node) syncWithStore(
	ctx context.Context, st store.Store, clock func() time.Duration, leaving bool,
) (written bool, err error) {
	defer func() { err = errors.Wrap(err, "synchronize the ledger with the store") }()
	asOf := clock()
	l, version, err := n.readLedger(ctx, st, clock)
	if err != nil {
		return false, err
	}
	n.mu.Lock()
	if n.ledger.Epoch != l.Epoch {
		// A peer has sent a newer ledger in the meantime; the next synchronization reads it from the store.
		n.mu.Unlock()
		return false, nil
	}
	c, ok := n.proposeChange(asOf, leaving)
	if ok && c.isJoin && n.joinIncarnation != c.next.Epoch {
		n.joinIncarnation, n.joinSentAt = c.next.Epoch, clock()
	}
	n.mu.Unlock()
	if !ok {
		return false, nil
	}
	value, err := c.next.Encode()
	if err != nil {
		return false, err
	}
	_, err = st.Put(ctx, ledger.StoreKey, value, version)
	if errors.Is(err, store.ErrUnknownOutcome) {
		// The write is never retried blindly: the stored value shows whether it took effect.
		object, readErr := st.Get(ctx, ledger.StoreKey)
		if readErr != nil {
			return false, errors.CombineErrors(err, readErr)
		}
		if bytes.Equal(object.Value, value) {
			err = nil
		}
	}
	if err != nil {
		return false, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.adoptLedger(clock(), c.next)
	return true, nil
}

// readLedger reads the ledger from the store and adopts it. A missing object counts as the empty ledger at version 0.
func (n *node) readLedger(
	ctx context.Context, st store.Store, clock func() time.Duration,
) (l ledger.Ledger, version store.Version, err error) {
	sentAt := clock()
	object, err := st.Get(ctx, ledger.StoreKey)
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case errors.Is(err, store.ErrNotFound):
		err = nil
	case err == nil && object.Version == n.storedVersion:
		l = n.storedLedger
	case err == nil:
		if l, err = ledger.Decode(object.Value); err == nil {
			n.storedVersion, n.storedLedger = object.Version, l
		}
	}
	n.storeUp = err == nil
	if err != nil {
		return l, 0, err
	}
	n.storeAnsweredAt = sentAt
	n.adoptLedger(clock(), l)
	return l, object.Version, nil
}

// adoptLedger adopts a ledger if it is newer. It recognizes the entry with which this process tried to join, so that the join
// also completes when the store's answer to the write was lost.
func (n *node) adoptLedger(now time.Duration, l ledger.Ledger) {
	joining := ledger.Process{Host: n.self.Host, Incarnation: n.joinIncarnation}
	if n.process().Incarnation == 0 && n.joinIncarnation != 0 && l.IsMember(joining) {
		n.completeJoin(now, n.joinSentAt, n.joinIncarnation, l)
		n.joinIncarnation = 0
		return
	}
	n.adoptNewer(now, l)
}

// storeWriteDue reports whether a synchronization with the store would write a change.
func (n *node) storeWriteDue(now time.Duration, leaving bool) bool {
	o := n.process()
	if o.Incarnation == 0 {
		return !leaving
	}
	me, _ := n.ledger.Member(o.Host)
	if leaving && !me.Leaving || len(me.Witnesses) == 0 && len(n.ledger.Members) > 1 {
		return true
	}
	if !n.declaredDead(me) && slices.ContainsFunc(n.ledger.Members, n.declaredDead) {
		return true
	}
	if n.leaseLapsedAt != 0 && now-n.leaseLapsedAt >= rejoinDelay {
		return true
	}
	for process, attempt := range n.fenceAttempts {
		m, _ := n.ledger.Member(process.Host)
		if len(attempt.votes) >= len(m.Witnesses) && len(m.Witnesses) > 0 || n.disabled.fenceByOneVote && len(attempt.votes) > 0 {
			return true
		}
		if len(m.Witnesses) > 0 && n.allReportSilence(m, attempt) && !n.storeAnsweredRecently(now) {
			return true
		}
	}
	for i, s := range n.ledger.Slots {
		if n.heldSlots&(1<<i) != 0 && len(s.Unreleased) > 0 {
			return true
		}
	}
	return false
}

// sendLedgerToMembers sends the ledger to all other members.
func (n *node) sendLedgerToMembers() {
	value, err := n.ledger.Encode()
	if err != nil {
		return
	}
	for _, m := range n.ledger.Members {
		if m.Host != n.self.Host {
			n.send(m.Host, kindLedger, ledgerMessage{n.ledger.Epoch, value})
		}
	}
}
