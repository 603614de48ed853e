package claims

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"vanillatally/core/claim"
)

// Begin asks the owner of the request's slot for permission to run the request. After the answer Granted the caller must
// check Valid just before it sends the request, and must call Finish in any case. All other answers except Running, Unknown
// and Done mean that nothing was run.
func (s *Service) Begin(ctx context.Context, request claim.Request) (claim.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, beginTimeout)
	defer cancel()
	slot := claim.SlotOf(request.Team, request.Key)
	sh, id := &s.shards[slot], recordID{team: request.Team, key: request.Key}
	sh.mu.Lock()
	full := s.atLimit(sh, id)
	sh.mu.Unlock()
	if full {
		return claim.Answer{State: claim.Full}, nil
	}
	callID := claim.CallID{Executor: s.options.Host, Nonce: s.lastNonce.Add(1)}
	askedAt := s.options.Now()
	grantPossible := false
	for wait := minRetryDelay; ; wait = min(2*wait, maxRetryDelay) {
		owner := s.options.Ledger.Ledger().Slots[slot].Holder
		answer := beginAnswer{Answer: claim.Answer{State: claim.OwnerUnreachable}}
		switch owner {
		case "":
		case s.options.Host:
			answer = s.answerCall(ctx, slot, request, callID)
		default:
			a, err := call[beginRequest, beginAnswer](ctx, s, owner, kindBegin, beginRequest{Request: request, CallID: callID})
			if err != nil {
				grantPossible = true
			} else {
				answer = a
			}
		}
		if answer.State == claim.Granted && !s.acceptGrant(sh, answer, askedAt) {
			// A later owner gathered the slot before the grant arrived.
			answer.State = claim.OwnerUnreachable
			grantPossible = true
		}
		grantPossible = grantPossible || answer.RecordKept
		if answer.State != claim.OwnerUnreachable {
			return answer.Answer, nil
		}
		timer := time.NewTimer(wait/2 + time.Duration(rand.Int64N(int64(wait))))
		select {
		case <-timer.C:
			continue
		case <-ctx.Done():
			timer.Stop()
		}
		if grantPossible {
			// The owner may have granted the claim although its answer was lost. The grant is not used, so it is released.
			s.queueReport(resultReport{
				Request: request, CallID: callID, Result: claim.Result{NotRun: true}, giveUpAt: s.options.Now() + s.options.Retention,
			})
		}
		return claim.Answer{State: claim.OwnerUnreachable}, nil
	}
}

// acceptGrant stores the executor's copy of a granted record, unless a later owner has already gathered the slot.
func (s *Service) acceptGrant(sh *shard, answer beginAnswer, askedAt time.Duration) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if answer.OwnerEpoch < sh.minOwnerEpoch {
		return false
	}
	r := answer.Record
	// The grant's lifetime counts from before the executor asked for it.
	r.GrantedAt = askedAt
	merged := claim.Merge(sh.records[recordID{team: r.Request.Team, key: r.Request.Key}], r)
	if merged.Grant != r.Grant || merged.Phase != claim.PhaseRunning {
		return false
	}
	s.storeRecord(sh, r)
	return true
}

// Valid reports whether a granted request may be sent now. It may not after a long pause of this host or after its removal
// from the ledger; the caller must then call Finish with claim.Result{NotRun: true}.
func (s *Service) Valid(request claim.Request) bool {
	sh := &s.shards[claim.SlotOf(request.Team, request.Key)]
	sh.mu.Lock()
	r := sh.records[recordID{team: request.Team, key: request.Key}]
	sh.mu.Unlock()
	if r.Phase != claim.PhaseRunning || r.CallID.Executor != s.options.Host {
		return false
	}
	// A host outside the ledger has no lease; a member holds the copy of its claim.
	if claim.Incarnation(s.options.Ledger.Ledger(), s.options.Host) != 0 && !s.options.Ledger.LeaseValid() {
		return false
	}
	return s.options.Now()-r.GrantedAt < min(claim.GrantTTL, s.options.Retention/2)
}

// Finish records the result of a granted request. The result is kept here and reported to the owner. If the owner does not
// accept the report, for example before ctx ends, the report is retried in the background.
func (s *Service) Finish(ctx context.Context, request claim.Request, result claim.Result) error {
	slot := claim.SlotOf(request.Team, request.Key)
	sh := &s.shards[slot]
	sh.mu.Lock()
	r := sh.records[recordID{team: request.Team, key: request.Key}]
	if r.CallID.Executor != s.options.Host || r.Phase == 0 {
		sh.mu.Unlock()
		return nil
	}
	r = claim.ApplyResult(r, r.Grant, result)
	s.storeRecord(sh, r)
	sh.mu.Unlock()
	report := resultReport{
		Request: request, CallID: r.CallID, Grant: r.Grant, Result: result, giveUpAt: r.GrantedAt + s.options.Retention,
	}
	if len(result.Body) > claim.MaxBodyBytes {
		report.Result = claim.Result{Unknown: true}
	}
	if !s.sendReport(ctx, report) {
		s.queueReport(report)
	}
	return nil
}

// resultReport reports the result of a claim to its owner.
type resultReport struct {
	Request claim.Request `cbor:"request"`
	CallID  claim.CallID  `cbor:"arrival"`
	// Grant is 0 when the executor never learned it; CallID identifies the grant then.
	Grant  uint64       `cbor:"grant,omitempty"`
	Result claim.Result `cbor:"result"`

	giveUpAt, nextAttempt, backoff time.Duration
}

func (s *Service) queueReport(r resultReport) {
	select {
	case s.reports <- r:
		s.unreportedCount.Add(1)
	default:
		s.options.Logger.Warn("dropped the result of a claim because too many results wait for their owners", "team", r.Request.Team)
	}
}

// sendReport sends a report to the slot's current owner and returns whether the owner accepted it.
func (s *Service) sendReport(ctx context.Context, r resultReport) bool {
	slot := claim.SlotOf(r.Request.Team, r.Request.Key)
	owner := s.options.Ledger.Ledger().Slots[slot].Holder
	if owner == "" {
		return false
	}
	if owner == s.options.Host {
		return s.applyReport(ctx, slot, r)
	}
	answer, err := call[resultReport, finishAnswer](ctx, s, owner, kindFinish, r)
	return err == nil && answer.Accepted
}

// sendPendingReports retries the reports that no owner has accepted yet, each with its own backoff.
func (s *Service) sendPendingReports(ctx context.Context) {
	for more := true; more && len(s.pendingReports) < maxPendingReports; {
		select {
		case r := <-s.reports:
			r.backoff = minRetryDelay
			s.pendingReports = append(s.pendingReports, r)
		default:
			more = false
		}
	}
	now := s.options.Now()
	pending := make([]bool, len(s.pendingReports))
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for i := range s.pendingReports {
		r := &s.pendingReports[i]
		pending[i] = now < r.giveUpAt
		if !pending[i] || now < r.nextAttempt {
			continue
		}
		group.Go(func() error {
			if s.sendReport(ctx, *r) {
				pending[i] = false
				return nil
			}
			r.backoff = min(2*r.backoff, 8*maxRetryDelay)
			r.nextAttempt = now + r.backoff
			return nil
		})
	}
	_ = group.Wait()
	rest := s.pendingReports[:0]
	for i, r := range s.pendingReports {
		if pending[i] {
			rest = append(rest, r)
		}
	}
	s.unreportedCount.Add(int64(len(rest) - len(s.pendingReports)))
	clear(s.pendingReports[len(rest):])
	s.pendingReports = rest
}
