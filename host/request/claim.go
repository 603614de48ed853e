package request

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"vanillatally/core/claim"
	"vanillatally/io/callers"
)

// reportTimeout bounds the report of a claim's outcome, which must not depend on the caller's connection.
const reportTimeout = time.Second

// claimIdempotencyKey makes a keyed non-idempotent request run at most once over all hosts.
func claimIdempotencyKey(x *exchange) error {
	if x.idempotent || x.idempotencyKey == "" {
		return x.next()
	}
	request := claim.Request{Team: x.team, Key: x.idempotencyKey, Fingerprint: x.computeFingerprint(false)}
	ctx, cancel := context.WithDeadline(x.context, x.deadline)
	answer, err := x.service.options.Claims.Begin(ctx, request)
	cancel()
	if err != nil {
		// This arrival was not run. Whether an earlier one ran is for its own answer to say.
		return callers.Refuse(http.StatusServiceUnavailable, string(claim.OwnerUnreachable), "the claim could not be checked").
			WithRetryAfter(defaultRetryAfter)
	}
	if answer.State != claim.Granted {
		return x.answerFromClaim(answer)
	}
	x.openClaim = &request
	err = x.next()
	if x.openClaim != nil {
		// Nothing reported the claim, so that no response came.
		x.finishClaim(claim.Result{NotRun: provesNotRun(err), Unknown: !provesNotRun(err)})
	}
	return err
}

// provesNotRun reports whether err proves that the request did not run.
func provesNotRun(err error) bool {
	var refusal *callers.Refusal
	return errors.As(err, &refusal) && refusal.Ran == callers.NotRun
}

// finishClaim records the outcome once.
func (x *exchange) finishClaim(result claim.Result) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.context), reportTimeout)
	defer cancel()
	if err := x.service.options.Claims.Finish(ctx, *x.openClaim, result); err != nil {
		// The claim stays open, and a resend gets "unknown", which is true.
		x.service.options.Hook.Event("claim-not-finished", x.openClaim.Key)
	}
	x.openClaim = nil
}

// answerFromClaim answers a request whose key was used before.
func (x *exchange) answerFromClaim(answer claim.Answer) error {
	switch answer.State {
	case claim.Done:
		if answer.Result != nil && answer.Result.Status != 0 {
			x.replayResponse(answer.Result)
			return nil
		}
		return callers.Refuse(http.StatusConflict, "response-not-kept", "the request has run and its response was not kept").
			WithRan(callers.RunUnknown)
	case claim.Running:
		return callers.Refuse(http.StatusConflict, "already-running", "an earlier request with the same key is running").
			WithRan(callers.RunUnknown).WithRetryAfter(defaultRetryAfter)
	case claim.Mismatch:
		return callers.Refuse(http.StatusUnprocessableEntity, "key-reused", "the Idempotency-Key was used with another request")
	case claim.Full, claim.OwnerUnreachable:
		return callers.Refuse(http.StatusServiceUnavailable, string(answer.State), "the request could not be claimed").
			WithRetryAfter(defaultRetryAfter)
	default:
		return callers.Refuse(http.StatusBadGateway, "outcome-unknown", "an earlier request with the same key may have run").
			WithRan(callers.RunUnknown)
	}
}

// replayResponse repeats the response of an earlier run.
func (x *exchange) replayResponse(stored *claim.Result) {
	h := x.w.Header()
	for name, values := range stored.Header {
		h[name] = values
	}
	h.Del("X-Request-Id")
	if x.callerRequestID != "" {
		h.Set("X-Request-Id", x.callerRequestID)
	}
	h.Set("X-Request-Replayed", "true")
	h.Set("Content-Length", strconv.Itoa(len(stored.Body)))
	x.status = stored.Status
	x.w.WriteHeader(stored.Status)
	// A caller that has gone can ask again.
	_, _ = x.w.Write(stored.Body)
}
