package claims

import (
	"context"

	"vanillatally/core/claim"
)

// Kinds of the messages about claims.
const (
	kindBegin  = "claim-begin"
	kindFinish = "claim-finish"
	kindCopy   = "claim-copy"
	kindGather = "claim-gather"
	kindMoved  = "claim-moved"
)

type begin struct {
	Request claim.Request `cbor:"request"`
	Arrival claim.CallID  `cbor:"arrival"`
}

type beginAnswer struct {
	claim.Answer
	// Record is the granted record; Tenure is that of the owner that answers.
	Record claim.Record `cbor:"record"`
	Tenure uint64       `cbor:"tenure"`
	// Kept says that the refused arrival has a record, which the executor has to release.
	Kept bool `cbor:"kept,omitempty"`
}

type finishAnswer struct {
	Accepted bool `cbor:"accepted"`
}

// replicate carries records to the holder of their second copy.
type replicate struct {
	Slot    int                   `cbor:"slot"`
	Tenure  uint64                `cbor:"tenure"`
	Records []claim.Record        `cbor:"records"`
	Covers  []claim.Rereplication `cbor:"covers,omitempty"`
}

type replicateAnswer struct {
	Accepted bool `cbor:"accepted"`
}

func (s *Service) handleBegin(ctx context.Context, _ string, message begin) (beginAnswer, error) {
	slot := claim.SlotOf(message.Request.Team, message.Request.Key)
	answer := s.grant(ctx, slot, message.Request, message.Arrival)
	return answer, nil
}

// grant answers an arrival as the owner of its slot.
func (s *Service) grant(ctx context.Context, slot int, request claim.Request, arrival claim.CallID) beginAnswer {
	refused := beginAnswer{Answer: claim.Answer{State: claim.OwnerUnreachable}}
	sh, id := &s.shards[slot], recordID{team: request.Team, key: request.Key}
	sh.mu.Lock()
	// The ledger is read under the lock, so that a repair of the copies at a lost process either sees
	// this record or comes before this read. The lease is checked last, at the moment of the grant.
	l := s.options.Ledger.Ledger()
	tenure := claim.OwnerEpoch(l, slot)
	if !s.options.Ledger.Holds(slot) || sh.tenure != tenure || sh.floor > tenure {
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
	if s.full(sh, id) {
		sh.mu.Unlock()
		return beginAnswer{Answer: claim.Answer{State: claim.Full}}
	}
	sh.grant = max(sh.grant, claim.GrantBase(tenure)) + 1
	record, answer, fresh := claim.Decide(known, request, arrival, sh.grant, now)
	executor := claim.Process{Host: arrival.Executor, Incarnation: claim.Incarnation(l, arrival.Executor)}
	atExecutor := arrival.Executor != s.options.Host && claim.IsMember(l, executor)
	if fresh && atExecutor {
		record.CopyHolder = executor
	}
	if fresh {
		s.put(sh, record)
	}
	sh.mu.Unlock()
	if answer.State != claim.Granted || record.CopyHolder != (claim.Process{}) {
		return beginAnswer{Answer: answer, Record: record, Tenure: tenure}
	}
	// The executor's copy is lost together with the owner's, or is not gathered because the executor
	// is not in the ledger, so another member keeps one before the request may run.
	copied, ok := s.copyOut(ctx, slot, tenure, record)
	if !ok {
		// The record stays, because another repetition of this arrival may still succeed. The executor
		// reports the arrival when it gives up.
		refused.Kept = true
		return refused
	}
	return beginAnswer{Answer: answer, Record: copied, Tenure: tenure}
}

// copyOut places the second copy of a record. In a fleet of one host there is none.
func (s *Service) copyOut(ctx context.Context, slot int, tenure uint64, record claim.Record) (claim.Record, bool) {
	seconds := claim.CopyCandidates(s.options.Ledger.Ledger(), s.options.Host)
	if len(seconds) == 0 {
		return record, true
	}
	for _, second := range seconds[:min(2, len(seconds))] {
		record.CopyHolder = second
		message := replicate{Slot: slot, Tenure: tenure, Records: []claim.Record{aged(record, s.options.Now())}}
		answer, err := call[replicate, replicateAnswer](ctx, s, second.Host, kindCopy, message)
		if err != nil || !answer.Accepted {
			continue
		}
		sh, id := &s.shards[slot], recordID{team: record.Request.Team, key: record.Request.Key}
		sh.mu.Lock()
		known := sh.records[id]
		running := known.Grant == record.Grant && known.Phase == claim.PhaseRunning
		if running {
			known.CopyHolder = second
			s.put(sh, known)
		}
		sh.mu.Unlock()
		return record, running
	}
	return record, false
}

// handleCopy keeps records for an owner, unless a later owner has gathered the slot.
func (s *Service) handleCopy(_ context.Context, _ string, message replicate) (replicateAnswer, error) {
	if message.Slot < 0 || message.Slot >= len(s.shards) {
		return replicateAnswer{}, nil
	}
	sh, now := &s.shards[message.Slot], s.options.Now()
	sh.mu.Lock()
	for _, r := range message.Records {
		id := recordID{team: r.Request.Team, key: r.Request.Key}
		if message.Tenure < sh.floor || s.full(sh, id) {
			sh.mu.Unlock()
			return replicateAnswer{}, nil
		}
		s.put(sh, claim.Merge(sh.records[id], aged(r, now)))
	}
	sh.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range message.Covers {
		if len(s.covers) >= maxCovers {
			return replicateAnswer{}, nil
		}
		s.covers[c] = now
	}
	return replicateAnswer{Accepted: true}, nil
}

func (s *Service) handleFinish(ctx context.Context, from string, message report) (finishAnswer, error) {
	if message.Arrival.Executor != from {
		return finishAnswer{}, nil
	}
	return finishAnswer{Accepted: s.finished(ctx, claim.SlotOf(message.Request.Team, message.Request.Key), message)}, nil
}

// finished applies a report as the owner, and to the second copy if a host other than the executor has it.
func (s *Service) finished(ctx context.Context, slot int, r report) bool {
	record, accepted := s.conclude(slot, r)
	if !accepted || record.CopyHolder.Host == record.CallID.Executor || !claim.IsMember(s.options.Ledger.Ledger(), record.CopyHolder) {
		return accepted
	}
	sh := &s.shards[slot]
	sh.mu.Lock()
	message := replicate{Slot: slot, Tenure: sh.tenure, Records: []claim.Record{aged(record, s.options.Now())}}
	sh.mu.Unlock()
	answer, err := call[replicate, replicateAnswer](ctx, s, record.CopyHolder.Host, kindCopy, message)
	return err == nil && answer.Accepted
}

// conclude applies a report to the owner's record.
func (s *Service) conclude(slot int, r report) (record claim.Record, accepted bool) {
	sh, id := &s.shards[slot], recordID{team: r.Request.Team, key: r.Request.Key}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	tenure := claim.OwnerEpoch(s.options.Ledger.Ledger(), slot)
	if !s.options.Ledger.Holds(slot) || sh.tenure != tenure || sh.floor > tenure {
		return record, false
	}
	known := sh.records[id]
	switch {
	case r.Grant != 0:
		if known.Phase != 0 {
			s.put(sh, claim.ApplyResult(known, r.Grant, r.Result))
		}
	case known.CallID == r.Arrival && known.Phase != 0:
		s.put(sh, claim.ApplyResult(known, known.Grant, r.Result))
	case known.Phase == 0 && !s.full(sh, id):
		// The report has overtaken its arrival, which must not be granted any more.
		s.put(sh, claim.Record{Request: r.Request, CallID: r.Arrival, Phase: claim.PhaseReleased, GrantedAt: s.options.Now()})
	}
	return sh.records[id], true
}
