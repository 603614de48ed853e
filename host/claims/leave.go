package claims

import (
	"context"

	"golang.org/x/sync/errgroup"

	"vanillatally/core/claim"
)

// copiesMovedRequest asks whether the receiver has moved all copies of its records away from a leaving host.
type copiesMovedRequest struct {
	Leaving claim.Process `cbor:"leaving"`
}

type copiesMovedAnswer struct {
	Moved bool `cbor:"moved"`
}

// moveCopiesOfLeavingHosts copies the records whose copies are held by leaving hosts to other members.
func (s *Service) moveCopiesOfLeavingHosts(ctx context.Context) {
	l := s.options.Ledger.Ledger()
	for _, m := range l.Members {
		leaving := claim.Process{Host: m.Host, Incarnation: m.Incarnation}
		if !m.Leaving || m.Host == s.options.Host {
			continue
		}
		for slot := range l.Slots {
			if s.ownsRecordsCopiedAt(slot, leaving) {
				s.replaceCopies(ctx, slot, claim.OwnerEpoch(l, slot))
			}
		}
	}
}

// ownsRecordsCopiedAt reports whether this host owns a record of the slot whose copy is at holder.
func (s *Service) ownsRecordsCopiedAt(slot int, holder claim.Process) bool {
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

// handleMoved answers a leaving host. A slot that is still being taken over may need the records of the leaving host.
func (s *Service) handleMoved(_ context.Context, _ string, message copiesMovedRequest) (copiesMovedAnswer, error) {
	l := s.options.Ledger.Ledger()
	if !claim.IsLeaving(l, message.Leaving) {
		return copiesMovedAnswer{}, nil
	}
	// A member has no other place for its copies when all others are leaving.
	canMoveCopies := !claim.IsLeaving(l, claim.CopyCandidates(l, s.options.Host)[0])
	for slot := range l.Slots {
		if l.Slots[slot].Holder != s.options.Host {
			continue
		}
		sh := &s.shards[slot]
		sh.mu.Lock()
		owned := sh.ownerEpoch == claim.OwnerEpoch(l, slot)
		sh.mu.Unlock()
		if !owned || canMoveCopies && s.ownsRecordsCopiedAt(slot, message.Leaving) {
			return copiesMovedAnswer{}, nil
		}
	}
	return copiesMovedAnswer{Moved: true}, nil
}

// HandoverComplete reports whether this host can leave without losing claims: later owners have taken over its slots, its
// results are reported, and no member relies on copies here. It becomes true only after the ledger marks the host as leaving.
func (s *Service) HandoverComplete(ctx context.Context) bool {
	if s.unreportedCount.Load() != 0 || !s.slotsTakenOver() {
		return false
	}
	l := s.options.Ledger.Ledger()
	self := claim.Process{Host: s.options.Host, Incarnation: claim.Incarnation(l, s.options.Host)}
	others := claim.CopyCandidates(l, s.options.Host)
	answers := make([]bool, len(others))
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for i, other := range others {
		group.Go(func() error {
			answer, err := call[copiesMovedRequest, copiesMovedAnswer](
				ctx, s, other.Host, kindCopiesMoved, copiesMovedRequest{Leaving: self})
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

// slotsTakenOver reports whether later owners have taken over all slots that this host owned.
func (s *Service) slotsTakenOver() bool {
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		owned := sh.ownerEpoch != 0 && sh.successorEpoch == 0
		sh.mu.Unlock()
		if owned {
			return false
		}
	}
	return true
}
