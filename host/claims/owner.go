package claims

import (
	"context"

	"vanillatally/core/claim"
)

// Kinds of the messages about claims.
const (
	kindBegin       = "claim-begin"
	kindFinish      = "claim-finish"
	kindCopy        = "claim-copy"
	kindGather      = "claim-gather"
	kindCopiesMoved = "claim-moved"
)

type beginRequest struct {
	Request claim.Request `cbor:"request"`
	CallID  claim.CallID  `cbor:"arrival"`
}

type beginAnswer struct {
	claim.Answer
	// Record is the granted record, OwnerEpoch that of the answering owner.
	Record     claim.Record `cbor:"record"`
	OwnerEpoch uint64       `cbor:"tenure"`
	// RecordKept is set when the owner refuses the call but keeps a record of it, which the executor has to release.
	RecordKept bool `cbor:"kept,omitempty"`
}

type finishAnswer struct {
	Accepted bool `cbor:"accepted"`
}

// copyRequest sends records to the holder of their copy.
type copyRequest struct {
	Slot           int                   `cbor:"slot"`
	OwnerEpoch     uint64                `cbor:"tenure"`
	Records        []claim.Record        `cbor:"records"`
	Rereplications []claim.Rereplication `cbor:"covers,omitempty"`
}

type copyAnswer struct {
	Accepted bool `cbor:"accepted"`
}

func (s *Service) handleBegin(ctx context.Context, _ string, message beginRequest) (beginAnswer, error) {
	slot := claim.SlotOf(message.Request.Team, message.Request.Key)
	answer := s.answerCall(ctx, slot, message.Request, message.CallID)
	return answer, nil
}

// answerCall answers a call of Begin as the owner of the slot.
func (s *Service) answerCall(ctx context.Context, slot int, request claim.Request, callID claim.CallID) beginAnswer {
	refused := beginAnswer{Answer: claim.Answer{State: claim.OwnerUnreachable}}
	sh, id := &s.shards[slot], recordID{team: request.Team, key: request.Key}
	sh.mu.Lock()
	// The ledger is read under the lock, so that a replacement of the copies at a lost process either sees this record or
	// comes before this read. The lease is checked after that, right before the grant.
	l := s.options.Ledger.Ledger()
	ownerEpoch := claim.OwnerEpoch(l, slot)
	if !s.options.Ledger.Holds(slot) || sh.ownerEpoch != ownerEpoch || sh.minOwnerEpoch > ownerEpoch {
		sh.mu.Unlock()
		return refused
	}
	now := s.options.Now()
	known := sh.records[id]
	if known.Phase != 0 && now-known.GrantedAt > s.options.Retention {
		known = claim.Record{}
	}
	if (known.Phase == 0 || known.Phase == claim.PhaseReleased) && now < sh.blockedUntil {
		sh.mu.Unlock()
		return beginAnswer{Answer: claim.Answer{State: claim.Unknown}}
	}
	if s.atLimit(sh, id) {
		sh.mu.Unlock()
		return beginAnswer{Answer: claim.Answer{State: claim.Full}}
	}
	sh.lastGrant = max(sh.lastGrant, claim.GrantBase(ownerEpoch)) + 1
	record, answer, fresh := claim.Decide(known, request, callID, sh.lastGrant, now)
	executor := claim.Process{Host: callID.Executor, Incarnation: claim.Incarnation(l, callID.Executor)}
	atExecutor := callID.Executor != s.options.Host && claim.IsMember(l, executor)
	if fresh && atExecutor {
		record.CopyHolder = executor
	}
	if fresh {
		s.storeRecord(sh, record)
	}
	sh.mu.Unlock()
	if answer.State != claim.Granted || record.CopyHolder != (claim.Process{}) {
		return beginAnswer{Answer: answer, Record: record, OwnerEpoch: ownerEpoch}
	}
	// The executor is the owner, so that both copies would be lost together, or it is not a member, so that its copy would
	// not be gathered. Another member has to hold a copy before the request may run.
	copied, ok := s.placeCopy(ctx, slot, ownerEpoch, record)
	if !ok {
		// The record stays, because a retry of this call may still succeed. The executor reports the call as not run when
		// it gives up.
		refused.RecordKept = true
		return refused
	}
	return beginAnswer{Answer: answer, Record: copied, OwnerEpoch: ownerEpoch}
}

// placeCopy copies a record to another member. A fleet of one host has no copies.
func (s *Service) placeCopy(ctx context.Context, slot int, ownerEpoch uint64, record claim.Record) (claim.Record, bool) {
	candidates := claim.CopyCandidates(s.options.Ledger.Ledger(), s.options.Host)
	if len(candidates) == 0 {
		return record, true
	}
	for _, candidate := range candidates[:min(2, len(candidates))] {
		record.CopyHolder = candidate
		message := copyRequest{Slot: slot, OwnerEpoch: ownerEpoch, Records: []claim.Record{swapTimeAndAge(record, s.options.Now())}}
		answer, err := call[copyRequest, copyAnswer](ctx, s, candidate.Host, kindCopy, message)
		if err != nil || !answer.Accepted {
			continue
		}
		sh, id := &s.shards[slot], recordID{team: record.Request.Team, key: record.Request.Key}
		sh.mu.Lock()
		known := sh.records[id]
		running := known.Grant == record.Grant && known.Phase == claim.PhaseRunning
		if running {
			known.CopyHolder = candidate
			s.storeRecord(sh, known)
		}
		sh.mu.Unlock()
		return record, running
	}
	return record, false
}

// handleCopy stores copies for an owner, unless a later owner has gathered the slot.
func (s *Service) handleCopy(_ context.Context, _ string, message copyRequest) (copyAnswer, error) {
	if message.Slot < 0 || message.Slot >= len(s.shards) {
		return copyAnswer{}, nil
	}
	sh, now := &s.shards[message.Slot], s.options.Now()
	sh.mu.Lock()
	for _, r := range message.Records {
		id := recordID{team: r.Request.Team, key: r.Request.Key}
		if message.OwnerEpoch < sh.minOwnerEpoch || s.atLimit(sh, id) {
			sh.mu.Unlock()
			return copyAnswer{}, nil
		}
		s.storeRecord(sh, claim.Merge(sh.records[id], swapTimeAndAge(r, now)))
	}
	sh.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range message.Rereplications {
		if len(s.rereplications) >= maxRereplications {
			return copyAnswer{}, nil
		}
		s.rereplications[c] = now
	}
	return copyAnswer{Accepted: true}, nil
}

func (s *Service) handleFinish(ctx context.Context, from string, message resultReport) (finishAnswer, error) {
	if message.CallID.Executor != from {
		return finishAnswer{}, nil
	}
	return finishAnswer{Accepted: s.applyReport(ctx, claim.SlotOf(message.Request.Team, message.Request.Key), message)}, nil
}

// applyReport applies a report as the owner, and to the copy if a host other than the executor holds it.
func (s *Service) applyReport(ctx context.Context, slot int, r resultReport) bool {
	record, accepted := s.applyToOwnedRecord(slot, r)
	if !accepted || record.CopyHolder.Host == record.CallID.Executor ||
		!claim.IsMember(s.options.Ledger.Ledger(), record.CopyHolder) {
		return accepted
	}
	sh := &s.shards[slot]
	sh.mu.Lock()
	message := copyRequest{Slot: slot, OwnerEpoch: sh.ownerEpoch, Records: []claim.Record{swapTimeAndAge(record, s.options.Now())}}
	sh.mu.Unlock()
	answer, err := call[copyRequest, copyAnswer](ctx, s, record.CopyHolder.Host, kindCopy, message)
	return err == nil && answer.Accepted
}

// applyToOwnedRecord applies a report to the owner's record.
func (s *Service) applyToOwnedRecord(slot int, r resultReport) (record claim.Record, accepted bool) {
	sh, id := &s.shards[slot], recordID{team: r.Request.Team, key: r.Request.Key}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	ownerEpoch := claim.OwnerEpoch(s.options.Ledger.Ledger(), slot)
	if !s.options.Ledger.Holds(slot) || sh.ownerEpoch != ownerEpoch || sh.minOwnerEpoch > ownerEpoch {
		return record, false
	}
	known := sh.records[id]
	switch {
	case r.Grant != 0:
		if known.Phase != 0 {
			s.storeRecord(sh, claim.ApplyResult(known, r.Grant, r.Result))
		}
	case known.CallID == r.CallID && known.Phase != 0:
		s.storeRecord(sh, claim.ApplyResult(known, known.Grant, r.Result))
	case known.Phase == 0 && !s.atLimit(sh, id):
		// The report has overtaken its call of Begin, which must not be granted any more.
		s.storeRecord(sh, claim.Record{Request: r.Request, CallID: r.CallID, Phase: claim.PhaseReleased, GrantedAt: s.options.Now()})
	}
	return sh.records[id], true
}
