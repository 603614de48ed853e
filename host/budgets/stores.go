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
	// firstBackoff and lastBackoff bound the delay between failed exchanges; conflicts use the same delay,
	// so that hosts that join together spread out.
	firstBackoff = 10 * time.Millisecond
	lastBackoff  = 2 * time.Second
	// retryTokens and retryPerSecond are the retry budget: a short burst, then one retry each second.
	retryTokens    = 20
	retryPerSecond = 1
	// pollEvery is the time between reads of the ledger without a reason; it grows with the members, so that
	// the fleet makes at most 100 such reads a second. A host with a valid lease learns of changes from its
	// witnesses and reads a hundred times less, because a read costs it the whole ledger.
	pollEvery     = 2 * time.Second
	pollPerMember = 10 * time.Millisecond
	pollLeased    = 100
	// watchTimeout ends a watch that sees no change. watchers hosts of the ledger hold a watch, the others
	// learn of changes from them and from renewals.
	watchTimeout = 10 * time.Second
	watchers     = 9
	// handOver bounds how long a leaving host waits for others to take its slots and claims.
	handOver = 5 * time.Second
)

// storeLoop exchanges the ledger with the store when a change is due, and now and then without reason.
func (s *Service) storeLoop(ctx context.Context) error {
	backoff, retries, last := firstBackoff, float64(retryTokens), s.opts.Clock()
	for {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		written, err := s.node.exchange(callCtx, s.opts.Store, s.opts.Clock, s.leaving.Load())
		cancel()
		if written {
			s.announce(ctx)
		}
		now := s.opts.Clock()
		retries = min(retryTokens, retries+(now-last).Seconds()*retryPerSecond)
		last = now
		wait := s.pollInterval()
		pull := s.pull
		switch {
		case err != nil:
			s.storeErrors.Add(1)
			s.opts.Log.Debug("ledger exchange failed", "host", s.opts.Host, "err", err)
			wait, pull = jitter(backoff), nil
			backoff = min(lastBackoff, backoff*2)
			if retries--; retries < 0 {
				retries, wait = 0, jitter(lastBackoff)
			}
		case written:
			wait, backoff = 0, firstBackoff
		default:
			backoff = firstBackoff
			if s.leaving.Load() && s.mayLeave() {
				return s.finishLeaving(ctx)
			}
			if s.due() {
				wait = tickEvery
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait):
		case <-pull:
		}
	}
}

func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

func (s *Service) due() bool {
	s.node.mu.Lock()
	defer s.node.mu.Unlock()
	return s.leaving.Load() || s.node.storeDue(s.opts.Clock(), false)
}

func (s *Service) pollInterval() time.Duration {
	every := time.Duration(len(s.Ledger().Members)) * pollPerMember
	if s.LeaseValid() {
		every *= pollLeased
	}
	return jitter(max(pollEvery, every))
}

// announce tells the other hosts of a ledger that this host has written.
func (s *Service) announce(ctx context.Context) {
	s.node.mu.Lock()
	if s.opts.Broadcast == nil {
		s.node.announce()
		s.flush()
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
		_ = s.opts.Broadcast(ctx, kindLedger, body)
	}
}

// ObserveEpoch tells the service of an epoch that a host has mentioned, such as in a heartbeat.
func (s *Service) ObserveEpoch(from string, epoch uint64) {
	s.node.mu.Lock()
	s.node.heard(from, epoch)
	s.flush()
	s.node.mu.Unlock()
}

// watchLoop holds a watch on the ledger while this host is one of the watchers.
func (s *Service) watchLoop(ctx context.Context) error {
	var after store.Version
	for ctx.Err() == nil {
		wait := jitter(pollEvery)
		if s.isWatcher() {
			watchCtx, cancel := context.WithTimeout(ctx, watchTimeout)
			object, err := s.opts.Store.Watch(watchCtx, ledger.StoreKey, after)
			cancel()
			switch {
			case err == nil:
				after, wait = object.Version, firstBackoff
				if l, err := ledger.Decode(object.Value); err == nil {
					s.node.mu.Lock()
					s.node.take(s.opts.Clock(), l)
					s.flush()
					s.node.mu.Unlock()
				}
			case errors.Is(err, store.ErrNotModified):
				wait = firstBackoff
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
	return nil
}

// isWatcher spreads the watchers evenly over the members, which are in order of their names.
func (s *Service) isWatcher() bool {
	members := s.Ledger().Members
	step := max(1, len(members)/watchers)
	for i := 0; i < len(members); i += step {
		if members[i].Host == s.opts.Host {
			return true
		}
	}
	return false
}

// Leave hands the slots over to the other hosts, removes this host from the ledger and ends Run.
func (s *Service) Leave(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "host %s leaves the ledger", s.opts.Host) }()
	s.leaving.Store(true)
	signal(s.pull)
	select {
	case <-s.left:
		return nil
	case <-s.done:
		select {
		case <-s.left:
			return nil
		default:
			return errors.New("the service stopped before it had left")
		}
	case <-ctx.Done():
		return ctx.Err()
	}
}

// mayLeave reports whether the ledger marks this host as leaving, or does not know it.
func (s *Service) mayLeave() bool {
	s.node.mu.Lock()
	defer s.node.mu.Unlock()
	o := s.node.owner()
	m, ok := s.node.ledger.Member(o.Host)
	return o.Incarnation == 0 || !ok || m.Leaving
}

// finishLeaving waits until the slots are taken over and all loans have ended, and then removes the entry.
// The host stops witnessing before it is removed, because its successor counts its silence from then.
func (s *Service) finishLeaving(ctx context.Context) error {
	n := s.node
	handedOver := false
	for end := s.opts.Clock() + handOver; s.opts.Clock() < end && ctx.Err() == nil; {
		handedOver = s.opts.HandoverComplete == nil || s.opts.HandoverComplete(ctx)
		if handedOver && !s.awaitedByOthers() {
			break
		}
		sleep(ctx, tickEvery)
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		_, _, _ = n.read(callCtx, s.opts.Store, s.opts.Clock)
		cancel()
	}
	n.mu.Lock()
	o := n.owner()
	n.drop(s.opts.Clock())
	n.mu.Unlock()
	if !handedOver {
		return nil
	}
	sleep(ctx, budget.LenderTTL)
	for backoff := firstBackoff; ctx.Err() == nil; backoff = min(lastBackoff, backoff*2) {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		gone, err := n.writeLeave(callCtx, s.opts.Store, s.opts.Clock, o)
		cancel()
		if gone {
			s.announce(ctx)
			// The senders need a moment for the last messages.
			sleep(ctx, tickEvery)
			close(s.left)
			return nil
		}
		s.opts.Log.Debug("leaving the ledger failed", "host", s.opts.Host, "err", err)
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

// awaitedByOthers reports whether another host still waits for a slot of this host.
func (s *Service) awaitedByOthers() bool {
	s.node.mu.Lock()
	defer s.node.mu.Unlock()
	o := s.node.owner()
	for _, slot := range s.node.ledger.Slots {
		for _, u := range slot.Unreleased {
			if u == o {
				return true
			}
		}
	}
	return false
}

// writeLeave removes o from the ledger; gone is whether it is no longer in it.
func (n *node) writeLeave(ctx context.Context, st store.Store, clock func() time.Duration, o ledger.Process) (gone bool, err error) {
	l, version, err := n.read(ctx, st, clock)
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
	n.learn(clock(), next)
	return true, nil
}
