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
	// maxPendingChanges bounds the changes that wait for confirmations at this host at the same time.
	maxPendingChanges = 64
	// pollDelay is the time that hosts have to confirm a change on their own before they are asked.
	pollDelay    = 300 * time.Millisecond
	pollInterval = 500 * time.Millisecond
	// pollConcurrency bounds the hosts that are asked at the same time.
	pollConcurrency = 16
)

// pendingChange is a written change that waits until all hosts confirm that it is in force.
type pendingChange struct {
	sequence uint64
	// unconfirmed holds the hosts that have not confirmed the change. Hosts are only removed from it.
	unconfirmed map[string]struct{}
	// done is closed when unconfirmed is empty.
	done chan struct{}
}

// expectConfirmations registers a change that has to be confirmed by all other hosts that are not known to be dead.
func (s *Service) expectConfirmations(sequence uint64) *pendingChange {
	p := &pendingChange{sequence: sequence, unconfirmed: map[string]struct{}{}, done: make(chan struct{})}
	for _, m := range s.otherHosts(func(m membership.Member) bool { return m.State != membership.Dead }) {
		p.unconfirmed[m.Host] = struct{}{}
	}
	if len(p.unconfirmed) == 0 {
		close(p.done)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingChanges[p] = struct{}{}
	return p
}

// recordConfirmation records that host has sequence in force, which confirms all changes up to it.
func (s *Service) recordConfirmation(host string, sequence uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for p := range s.pendingChanges {
		if p.sequence <= sequence {
			p.remove(host)
		}
	}
}

// remove removes host from the unconfirmed hosts. The caller must hold Service.mu.
func (p *pendingChange) remove(host string) {
	if _, ok := p.unconfirmed[host]; !ok {
		return
	}
	delete(p.unconfirmed, host)
	if len(p.unconfirmed) == 0 {
		close(p.done)
	}
}

// awaitConfirmations waits at most ConfirmTimeout until every host has confirmed the change or is dead, and returns the
// hosts that are left.
func (s *Service) awaitConfirmations(ctx context.Context, p *pendingChange) []string {
	timeout := time.NewTimer(ConfirmTimeout)
	defer timeout.Stop()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.pendingChanges, p)
	}()
	for delay := pollDelay; ; delay = pollInterval {
		timer := time.NewTimer(s.jitter(delay) + delay/4)
		select {
		case <-p.done:
			timer.Stop()
			return nil
		case <-ctx.Done():
			timer.Stop()
			return s.unconfirmed(p)
		case <-timeout.C:
			timer.Stop()
			return s.unconfirmed(p)
		case <-timer.C:
		}
		s.pollUnconfirmed(ctx, p)
		for _, m := range s.otherHosts(func(m membership.Member) bool { return m.State == membership.Dead }) {
			s.mu.Lock()
			p.remove(m.Host)
			s.mu.Unlock()
		}
	}
}

func (s *Service) unconfirmed(p *pendingChange) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(p.unconfirmed))
}

// pollUnconfirmed asks the hosts that have not confirmed a change for their sequence. The request carries this host's
// sequence, so that a host that lacks the change pulls it.
func (s *Service) pollUnconfirmed(ctx context.Context, p *pendingChange) {
	ctx, cancel := context.WithTimeout(ctx, pollInterval)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(pollConcurrency)
	for _, host := range s.unconfirmed(p) {
		group.Go(func() error {
			response, err := peers.Call[sequenceMessage, sequenceMessage](
				ctx, s.opts.Caller, host, KindStatus, sequenceMessage{Sequence: s.Sequence()})
			if err == nil {
				s.recordConfirmation(host, response.Sequence)
			}
			return nil
		})
	}
	_ = group.Wait() // the functions return no errors; a host that does not answer stays unconfirmed
}
