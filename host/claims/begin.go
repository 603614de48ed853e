package claims

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"vanillatally/core/claim"
)

// Begin asks the owner of the request's slot for the right to run it. After the answer Granted, Valid
// must hold just before the request is sent, and Finish must follow in any case. All other answers
// but Running, Unknown and Done mean that nothing was run.
func (s *Service) Begin(ctx context.Context, request claim.Request) (claim.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, beginTimeout)
	defer cancel()
	slot := claim.SlotOf(request.Team, request.Key)
	sh, id := &s.shards[slot], recordID{team: request.Team, key: request.Key}
	sh.mu.Lock()
	full := s.full(sh, id)
	sh.mu.Unlock()
	if full {
		return claim.Answer{State: claim.Full}, nil
	}
	arrival := claim.CallID{Executor: s.options.Host, Nonce: s.nonce.Add(1)}
	asked := s.options.Now()
	unclear := false
	for wait := retryFirst; ; wait = min(2*wait, retryLast) {
		owner := s.options.Ledger.Ledger().Slots[slot].Holder
		answer := beginAnswer{Answer: claim.Answer{State: claim.OwnerUnreachable}}
		switch owner {
		case "":
		case s.options.Host:
			answer = s.grant(ctx, slot, request, arrival)
		default:
			a, err := call[begin, beginAnswer](ctx, s, owner, kindBegin, begin{Request: request, Arrival: arrival})
			if err != nil {
				unclear = true
			} else {
				answer = a
			}
		}
		if answer.State == claim.Granted && !s.accept(sh, answer, asked) {
			// The slot was gathered for a later owner before the grant arrived.
			answer.State = claim.OwnerUnreachable
			unclear = true
		}
		unclear = unclear || answer.Kept
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
		if unclear {
			// The grant may have been made although its answer was lost. It is not used.
			s.report(report{Request: request, Arrival: arrival, Result: claim.Result{NotRun: true}, until: s.options.Now() + s.options.Retention})
		}
		return claim.Answer{State: claim.OwnerUnreachable}, nil
	}
}

// accept stores the executor's copy of a grant, unless a later owner has gathered the slot already.
func (s *Service) accept(sh *shard, answer beginAnswer, asked time.Duration) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if answer.Tenure < sh.floor {
		return false
	}
	r := answer.Record
	// The grant's life counts from before it was asked for.
	r.GrantedAt = asked
	merged := claim.Merge(sh.records[recordID{team: r.Request.Team, key: r.Request.Key}], r)
	if merged.Grant != r.Grant || merged.Phase != claim.PhaseRunning {
		return false
	}
	s.put(sh, r)
	return true
}

// Valid says whether a granted request may be sent now. A host that was paused for long, or that was
// removed from the ledger, must not send it but report claim.Result{NotRun: true}.
func (s *Service) Valid(request claim.Request) bool {
	sh := &s.shards[claim.SlotOf(request.Team, request.Key)]
	sh.mu.Lock()
	r := sh.records[recordID{team: request.Team, key: request.Key}]
	sh.mu.Unlock()
	if r.Phase != claim.PhaseRunning || r.CallID.Executor != s.options.Host {
		return false
	}
	// A host outside the ledger has no lease; the copy of its claim is at a member.
	if claim.Incarnation(s.options.Ledger.Ledger(), s.options.Host) != 0 && !s.options.Ledger.LeaseValid() {
		return false
	}
	return s.options.Now()-r.GrantedAt < min(claim.GrantTTL, s.options.Retention/2)
}

// Finish records what became of a granted request. The outcome is kept here and reported to the owner;
// when ctx ends first the report is repeated in the background.
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
	s.put(sh, r)
	sh.mu.Unlock()
	done := report{Request: request, Arrival: r.CallID, Grant: r.Grant, Result: result, until: r.GrantedAt + s.options.Retention}
	if len(result.Body) > claim.MaxBodyBytes {
		done.Result = claim.Result{Unknown: true}
	}
	if !s.tell(ctx, done) {
		s.report(done)
	}
	return nil
}

// report is the outcome of an arrival on its way to the owner.
type report struct {
	Request claim.Request `cbor:"request"`
	Arrival claim.CallID  `cbor:"arrival"`
	// Grant is 0 when the executor never learnt it; the arrival identifies the grant then.
	Grant  uint64       `cbor:"grant,omitempty"`
	Result claim.Result `cbor:"result"`

	until, next, wait time.Duration
}

func (s *Service) report(r report) {
	select {
	case s.reports <- r:
		s.unreported.Add(1)
	default:
		s.options.Logger.Warn("too many outcomes of claims wait for their owners", "team", r.Request.Team)
	}
}

// tell delivers a report to the slot's present owner.
func (s *Service) tell(ctx context.Context, r report) bool {
	slot := claim.SlotOf(r.Request.Team, r.Request.Key)
	owner := s.options.Ledger.Ledger().Slots[slot].Holder
	if owner == "" {
		return false
	}
	if owner == s.options.Host {
		return s.finished(ctx, slot, r)
	}
	answer, err := call[report, finishAnswer](ctx, s, owner, kindFinish, r)
	return err == nil && answer.Accepted
}

// deliver repeats the reports that have not arrived, each with its own backoff.
func (s *Service) deliver(ctx context.Context) {
	for more := true; more && len(s.pending) < maxReports; {
		select {
		case r := <-s.reports:
			r.wait = retryFirst
			s.pending = append(s.pending, r)
		default:
			more = false
		}
	}
	now := s.options.Now()
	keep := make([]bool, len(s.pending))
	var group errgroup.Group
	group.SetLimit(concurrency)
	for i := range s.pending {
		r := &s.pending[i]
		keep[i] = now < r.until
		if !keep[i] || now < r.next {
			continue
		}
		group.Go(func() error {
			if s.tell(ctx, *r) {
				keep[i] = false
				return nil
			}
			r.wait = min(2*r.wait, 8*retryLast)
			r.next = now + r.wait
			return nil
		})
	}
	_ = group.Wait()
	rest := s.pending[:0]
	for i, r := range s.pending {
		if keep[i] {
			rest = append(rest, r)
		}
	}
	s.unreported.Add(int64(len(rest) - len(s.pending)))
	clear(s.pending[len(rest):])
	s.pending = rest
}
