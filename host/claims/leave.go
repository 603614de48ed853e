package claims

import (
	"context"

	"golang.org/x/sync/errgroup"

	"vanillatally/core/claim"
)

// moved asks whether the receiver still relies on copies at a host that leaves.
type moved struct {
	Leaving claim.Process `cbor:"leaving"`
}

type movedAnswer struct {
	Moved bool `cbor:"moved"`
}

// moveCopies places the copies that leaving hosts hold at other members.
func (s *Service) moveCopies(ctx context.Context) {
	l := s.options.Ledger.Ledger()
	for _, m := range l.Members {
		leaving := claim.Process{Host: m.Host, Incarnation: m.Incarnation}
		if !m.Leaving || m.Host == s.options.Host {
			continue
		}
		for slot := range l.Slots {
			if s.relies(slot, leaving) {
				s.recopy(ctx, slot, claim.OwnerEpoch(l, slot))
			}
		}
	}
}

// relies says whether this host owns a record of the slot whose copy is at holder.
func (s *Service) relies(slot int, holder claim.Process) bool {
	if !s.options.Ledger.Holds(slot) {
		return false
	}
	sh := &s.shards[slot]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for _, r := range sh.records {
		if r.CopyHolder == holder && r.Phase != claim.PhaseReleased {
			return true
		}
	}
	return false
}

// handleMoved answers a leaving host. A slot that is being taken over may still need its records.
func (s *Service) handleMoved(_ context.Context, _ string, message moved) (movedAnswer, error) {
	l := s.options.Ledger.Ledger()
	if !claim.IsLeaving(l, message.Leaving) {
		return movedAnswer{}, nil
	}
	// The last member that stays has no other place for its copies.
	elsewhere := !claim.IsLeaving(l, claim.CopyCandidates(l, s.options.Host)[0])
	for slot := range l.Slots {
		if l.Slots[slot].Holder != s.options.Host {
			continue
		}
		sh := &s.shards[slot]
		sh.mu.Lock()
		owned := sh.tenure == claim.OwnerEpoch(l, slot)
		sh.mu.Unlock()
		if !owned || elsewhere && s.relies(slot, message.Leaving) {
			return movedAnswer{}, nil
		}
	}
	return movedAnswer{Moved: true}, nil
}

// HandoverComplete says that nothing is lost when this host leaves: later owners have taken over its slots, its outcomes
// are reported, and no member relies on copies here. It holds only after the ledger marks the host as leaving.
func (s *Service) HandoverComplete(ctx context.Context) bool {
	if s.unreported.Load() != 0 || !s.released() {
		return false
	}
	l := s.options.Ledger.Ledger()
	self := claim.Process{Host: s.options.Host, Incarnation: claim.Incarnation(l, s.options.Host)}
	others := claim.CopyCandidates(l, s.options.Host)
	answers := make([]bool, len(others))
	var group errgroup.Group
	group.SetLimit(concurrency)
	for i, other := range others {
		group.Go(func() error {
			answer, err := call[moved, movedAnswer](ctx, s, other.Host, kindMoved, moved{Leaving: self})
			answers[i] = err == nil && answer.Moved
			return nil
		})
	}
	_ = group.Wait()
	for _, answer := range answers {
		if !answer {
			return false
		}
	}
	return len(others) > 0
}

// released says that later owners have taken over all slots that this host owned.
func (s *Service) released() bool {
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		kept := sh.tenure != 0 && sh.closedBy == 0
		sh.mu.Unlock()
		if kept {
			return false
		}
	}
	return true
}
