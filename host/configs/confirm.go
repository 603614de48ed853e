package configs

import (
	"context"
	"maps"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"vanillatally/core/membership"
	"vanillatally/io/peers"
)

const (
	// maxWaiters bounds the changes that wait for confirmations at once at this host.
	maxWaiters = 64
	// askAfter is the time that the hosts' own confirmations get before they are asked.
	askAfter = 300 * time.Millisecond
	askEvery = 500 * time.Millisecond
	askLimit = 16
)

// waiter is one change that waits for hosts to report it in force.
type waiter struct {
	sequence uint64
	// pending holds the hosts that have not confirmed. It only shrinks.
	pending map[string]struct{}
	// done is closed when pending is empty.
	done chan struct{}
}

// expectConfirmations registers a waiter for all hosts that are not known to be dead.
func (s *Service) expectConfirmations(sequence uint64) *waiter {
	w := &waiter{sequence: sequence, pending: map[string]struct{}{}, done: make(chan struct{})}
	for _, m := range s.others(func(m membership.Member) bool { return m.State != membership.Dead }) {
		w.pending[m.Host] = struct{}{}
	}
	if len(w.pending) == 0 {
		close(w.done)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiters[w] = struct{}{}
	return w
}

// confirm records that a host has sequence, or a later one, in force.
func (s *Service) confirm(host string, sequence uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for w := range s.waiters {
		if w.sequence <= sequence {
			w.drop(host)
		}
	}
}

func (w *waiter) drop(host string) {
	if _, ok := w.pending[host]; !ok {
		return
	}
	delete(w.pending, host)
	if len(w.pending) == 0 {
		close(w.done)
	}
}

// await waits until every host confirmed or died, at most AcceptWithin, and returns the hosts that did neither.
func (s *Service) await(ctx context.Context, w *waiter) []string {
	limit := time.NewTimer(ConfirmTimeout)
	defer limit.Stop()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.waiters, w)
	}()
	for delay := askAfter; ; delay = askEvery {
		timer := time.NewTimer(s.jitter(delay) + delay/4)
		select {
		case <-w.done:
			timer.Stop()
			return nil
		case <-ctx.Done():
			timer.Stop()
			return s.unconfirmed(w)
		case <-limit.C:
			timer.Stop()
			return s.unconfirmed(w)
		case <-timer.C:
		}
		s.ask(ctx, w)
		for _, m := range s.others(func(m membership.Member) bool { return m.State == membership.Dead }) {
			s.mu.Lock()
			w.drop(m.Host)
			s.mu.Unlock()
		}
	}
}

func (s *Service) unconfirmed(w *waiter) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(w.pending))
}

// ask asks the hosts that have not confirmed. The question carries the sequence, so that they pull it.
func (s *Service) ask(ctx context.Context, w *waiter) {
	ctx, cancel := context.WithTimeout(ctx, askEvery)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(askLimit)
	for _, host := range s.unconfirmed(w) {
		group.Go(func() error {
			answer, err := peers.Call[status, status](ctx, s.opts.Caller, host, KindStatus, status{Sequence: s.Sequence()})
			if err == nil {
				s.confirm(host, answer.Sequence)
			}
			return nil
		})
	}
	_ = group.Wait() // the functions return no errors; a host that does not answer stays pending
}
