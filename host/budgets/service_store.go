package budgets

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"vanillatally/core/budget"
	"vanillatally/core/ledger"
	"vanillatally/io/store"
)

const (
	// storeTimeout bounds each call to the store.
	storeTimeout = 2 * time.Second
	// minBackoff and maxBackoff bound the delay after a failed synchronization. Write conflicts use the same delay, so that
	// the writes of hosts that join at the same time spread out.
	minBackoff = 10 * time.Millisecond
	maxBackoff = 2 * time.Second
	// maxRetryTokens and retryTokensPerSecond are the retry budget: a short burst, then one retry per second.
	maxRetryTokens       = 20
	retryTokensPerSecond = 1
	// minPollInterval is the minimum time between two periodic reads of the ledger. It grows with the number of members, so
	// that the fleet makes at most 100 such reads a second. A host with a valid lease learns of changes from its witnesses
	// and reads a hundred times less often, because each read transfers the whole ledger.
	minPollInterval       = 2 * time.Second
	pollIntervalPerMember = 10 * time.Millisecond
	leasedPollFactor      = 100
	// watchTimeout ends a watch that sees no change. About watcherCount members watch the ledger in the store; the others
	// learn of changes from them and from lease renewals.
	watchTimeout = 10 * time.Second
	watcherCount = 9
	// handoverTimeout bounds how long a leaving host waits until others have taken over its slots and claims.
	handoverTimeout = 5 * time.Second
)

// storeLoop synchronizes the ledger with the store when a change is due, and otherwise periodically.
func (s *Service) storeLoop(ctx context.Context) error {
	backoff, retries, updatedAt := minBackoff, float64(maxRetryTokens), s.options.Clock()
	for {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		written, err := s.node.syncWithStore(callCtx, s.options.Store, s.options.Clock, s.leaving.Load())
		cancel()
		if written {
			s.broadcastLedger(ctx)
		}
		now := s.options.Clock()
		retries = min(maxRetryTokens, retries+(now-updatedAt).Seconds()*retryTokensPerSecond)
		updatedAt = now
		wait := s.pollInterval()
		syncNow := s.syncNow
		switch {
		case err != nil:
			s.storeErrors.Add(1)
			s.options.Log.Debug("ledger synchronization failed", "host", s.options.Host, "err", err)
			wait, syncNow = jitter(backoff), nil
			backoff = min(maxBackoff, backoff*2)
			if retries--; retries < 0 {
				retries, wait = 0, jitter(maxBackoff)
			}
		case written:
			wait, backoff = 0, minBackoff
		default:
			backoff = minBackoff
			if s.leaving.Load() && s.markedLeaving() {
				return s.finishLeaving(ctx)
			}
			if s.changeDue() {
				wait = tickInterval
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait):
		case <-syncNow:
		}
	}
}

func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

func (s *Service) changeDue() bool {
	s.node.mu.Lock()
	defer s.node.mu.Unlock()
	return s.leaving.Load() || s.node.storeWriteDue(s.options.Clock(), false)
}

func (s *Service) pollInterval() time.Duration {
	interval := time.Duration(len(s.Ledger().Members)) * pollIntervalPerMember
	if s.LeaseValid() {
		interval *= leasedPollFactor
	}
	return jitter(max(minPollInterval, interval))
}

// broadcastLedger sends a ledger that this host has written to the other hosts.
func (s *Service) broadcastLedger(ctx context.Context) {
	s.node.mu.Lock()
	if s.options.Broadcast == nil {
		s.node.sendLedgerToMembers()
		s.queueOutgoing()
		s.node.mu.Unlock()
		return
	}
	epoch := s.node.ledger.Epoch
	value, err := s.node.ledger.Encode()
	s.node.mu.Unlock()
	if err != nil {
		return
	}
	if body, err := cbor.Marshal(ledgerMessage{epoch, value}); err == nil {
		_ = s.options.Broadcast(ctx, kindLedger, body)
	}
}

// ObserveEpoch notes an epoch that another host has mentioned, for example in a heartbeat. If it is newer, the
// ledger is requested from that host.
func (s *Service) ObserveEpoch(from string, epoch uint64) {
	s.node.mu.Lock()
	s.node.requestNewerLedger(from, epoch)
	s.queueOutgoing()
	s.node.mu.Unlock()
}

// watchLoop watches the ledger in the store while this host is one of the watchers.
func (s *Service) watchLoop(ctx context.Context) error {
	var after store.Version
	for ctx.Err() == nil {
		wait := jitter(minPollInterval)
		if s.isWatcher() {
			watchCtx, cancel := context.WithTimeout(ctx, watchTimeout)
			object, err := s.options.Store.Watch(watchCtx, ledger.StoreKey, after)
			cancel()
			switch {
			case err == nil:
				after, wait = object.Version, minBackoff
				if l, err := ledger.Decode(object.Value); err == nil {
					s.node.mu.Lock()
					s.node.adoptLedger(s.options.Clock(), l)
					s.queueOutgoing()
					s.node.mu.Unlock()
				}
			case errors.Is(err, store.ErrNotModified):
				wait = minBackoff
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
	return nil
}

// isWatcher reports whether this host is a watcher. Watchers are spread evenly over the members, which are sorted by name.
func (s *Service) isWatcher() bool {
	members := s.Ledger().Members
	step := max(1, len(members)/watcherCount)
	for i := 0; i < len(members); i += step {
		if members[i].Host == s.options.Host {
			return true
		}
	}
	return false
}

// Leave hands this host's slots over to the other hosts, removes the host from the ledger and makes Run return.
func (s *Service) Leave(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "remove host %s from the ledger", s.options.Host) }()
	s.leaving.Store(true)
	signal(s.syncNow)
	select {
	case <-s.leftLedger:
		return nil
	case <-s.done:
		select {
		case <-s.leftLedger:
			return nil
		default:
			return errors.New("the service stopped before it had left the ledger")
		}
	case <-ctx.Done():
		return ctx.Err()
	}
}

// markedLeaving reports whether the ledger marks this host as leaving or does not contain it.
func (s *Service) markedLeaving() bool {
	s.node.mu.Lock()
	defer s.node.mu.Unlock()
	o := s.node.process()
	m, ok := s.node.ledger.Member(o.Host)
	return o.Incarnation == 0 || !ok || m.Leaving
}

// finishLeaving waits until the slots are taken over and all loans have ended, and then removes this host's entry.
// The host stops witnessing before the removal, because the witness that succeeds it counts the silence of members from
// the removal.
func (s *Service) finishLeaving(ctx context.Context) error {
	n := s.node
	handedOver := false
	for deadline := s.options.Clock() + handoverTimeout; s.options.Clock() < deadline && ctx.Err() == nil; {
		handedOver = s.options.HandoverComplete == nil || s.options.HandoverComplete(ctx)
		if handedOver && !s.slotsAwaitedByOthers() {
			break
		}
		sleep(ctx, tickInterval)
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		_, _, _ = n.readLedger(callCtx, s.options.Store, s.options.Clock)
		cancel()
	}
	n.mu.Lock()
	o := n.process()
	n.dropSlots(s.options.Clock())
	n.mu.Unlock()
	if !handedOver {
		return nil
	}
	sleep(ctx, budget.LenderTTL)
	for backoff := minBackoff; ctx.Err() == nil; backoff = min(maxBackoff, backoff*2) {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		removed, err := n.removeFromLedger(callCtx, s.options.Store, s.options.Clock, o)
		cancel()
		if removed {
			s.broadcastLedger(ctx)
			// Gives the senders time for the last messages.
			sleep(ctx, tickInterval)
			close(s.leftLedger)
			return nil
		}
		s.options.Log.Debug("leaving the ledger failed", "host", s.options.Host, "err", err)
		sleep(ctx, jitter(backoff))
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// slotsAwaitedByOthers reports whether another host still waits for a slot of this host.
func (s *Service) slotsAwaitedByOthers() bool {
	s.node.mu.Lock()
	defer s.node.mu.Unlock()
	o := s.node.process()
	for _, slot := range s.node.ledger.Slots {
		for _, u := range slot.Unreleased {
			if u == o {
				return true
			}
		}
	}
	return false
}

// removeFromLedger removes o from the ledger. removed is whether o is no longer in it.
func (n *node) removeFromLedger(
	ctx context.Context, st store.Store, clock func() time.Duration, o ledger.Process,
) (removed bool, err error) {
	l, version, err := n.readLedger(ctx, st, clock)
	if err != nil {
		return false, err
	}
	next, err := l.Leave(o)
	if err != nil {
		return true, nil
	}
	value, err := next.Encode()
	if err != nil {
		return false, err
	}
	if _, err := st.Put(ctx, ledger.StoreKey, value, version); err != nil {
		return false, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.adoptNewer(clock(), next)
	return true, nil
}
