package request

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"vanillatally/core/claim"
	"vanillatally/io/backends"
	"vanillatally/io/callers"
)

// reportTimeout bounds the reports to other hosts (outcomes of claims, quarantine notices), which must be sent even when the
// caller has disconnected.
const reportTimeout = time.Second

// claimIdempotencyKey makes a non-idempotent request with an idempotency key run at most once across all hosts.
func claimIdempotencyKey(x *exchange) error {
	if x.idempotent || x.idempotencyKey == "" {
		return x.next()
	}
	request := claim.Request{Team: x.team, Key: x.idempotencyKey, Fingerprint: x.computeFingerprint(false)}
	ctx, cancel := context.WithDeadline(x.context, x.deadline)
	answer, err := x.service.options.Claims.Begin(ctx, request)
	cancel()
	if err != nil {
		// "Not run" is about this request only; an earlier one with the same key got a response of its own.
		return callers.Refuse(http.StatusServiceUnavailable, string(claim.OwnerUnreachable),
			"the claim could not be checked").
			WithRetryAfter(defaultRetryAfter)
	}
	if answer.State != claim.Granted {
		return x.answerFromClaim(answer)
	}
	x.openClaim = &request
	defer func() {
		if x.openClaim != nil {
			// A filter panicked. An open claim would refuse each resend as running.
			x.finishClaim(claim.Result{Unknown: true})
		}
	}()
	err = x.next()
	if x.openClaim != nil {
		// The claim was not finished by writeResponse, so there was no response.
		x.finishClaim(claim.Result{NotRun: provesNotRun(err), Unknown: !provesNotRun(err)})
	}
	return err
}

// provesNotRun reports whether err says that the request certainly did not run.
func provesNotRun(err error) bool {
	var refusal *callers.Refusal
	return errors.As(err, &refusal) && refusal.Ran == callers.NotRun
}

// finishClaim reports the outcome to the owner of the claim.
func (x *exchange) finishClaim(result claim.Result) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.context), reportTimeout)
	defer cancel()
	if err := x.service.options.Claims.Finish(ctx, *x.openClaim, result); err != nil {
		// The claim stays open, so a resend of the request is refused with an unknown outcome, which is correct.
		x.service.options.Hook.Event("claim-not-finished", x.openClaim.Key)
	}
	x.openClaim = nil
}

// answerFromClaim responds to a request whose key was claimed before.
func (x *exchange) answerFromClaim(answer claim.Answer) error {
	switch answer.State {
	case claim.Done:
		if answer.Result != nil && backends.IsResponseStatus(answer.Result.Status) {
			x.replayResponse(answer.Result)
			return nil
		}
		return callers.Refuse(http.StatusConflict, "response-not-kept", "the request has run and its response was not kept").
			WithRan(callers.RunUnknown)
	case claim.Running:
		return callers.Refuse(http.StatusConflict, "already-running",
			"an earlier request with the same key is running").
			WithRan(callers.RunUnknown).WithRetryAfter(defaultRetryAfter)
	case claim.Mismatch:
		return callers.Refuse(http.StatusUnprocessableEntity, "key-reused", "the Idempotency-Key was used with another request")
	case claim.Full, claim.OwnerUnreachable:
		return callers.Refuse(http.StatusServiceUnavailable, string(answer.State), "the request could not be claimed").
			WithRetryAfter(defaultRetryAfter)
	default:
		return callers.Refuse(http.StatusBadGateway, "outcome-unknown",
			"an earlier request with the same key may have run").
			WithRan(callers.RunUnknown)
	}
}

// replayResponse writes the stored response of an earlier request.
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
	// A caller that has disconnected can send the request again.
	_, _ = x.w.Write(stored.Body)
}
