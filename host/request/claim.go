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

// finishTimeout bounds the report of a claim's outcome, which must not depend on the caller's connection.
const finishTimeout = time.Second

// claimKey makes a keyed non-idempotent request run at most once over all hosts.
func claimKey(x *exchange) error {
	if x.idempotent || x.key == "" {
		return x.next()
	}
	request := claim.Request{Team: x.team, Key: x.key, Fingerprint: x.fingerprint(false)}
	ctx, cancel := context.WithDeadline(x.context, x.deadline)
	granted, err := x.service.options.Claims.Begin(ctx, request)
	cancel()
	if err != nil {
		// This arrival was not run. Whether an earlier one ran is for its own answer to say.
		return callers.Refuse(http.StatusServiceUnavailable, string(claim.OwnerUnreachable), "the claim could not be checked").
			WithRetryAfter(retryLater)
	}
	if granted.State != claim.Granted {
		return x.answerClaimed(granted)
	}
	x.claimed = &request
	err = x.next()
	if x.claimed != nil {
		// Nothing reported the claim, so that no response came.
		x.finishClaim(claim.Result{NotRun: isNotRun(err), Unknown: !isNotRun(err)})
	}
	return err
}

// isNotRun reports whether err proves that the request did not run.
func isNotRun(err error) bool {
	var refusal *callers.Refusal
	return errors.As(err, &refusal) && refusal.Ran == callers.NotRun
}

// finishClaim records the outcome once.
func (x *exchange) finishClaim(result claim.Result) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.context), finishTimeout)
	defer cancel()
	if err := x.service.options.Claims.Finish(ctx, *x.claimed, result); err != nil {
		// The claim stays open, and a resend gets "unknown", which is true.
		x.service.options.Hook.Event("claim-not-finished", x.claimed.Key)
	}
	x.claimed = nil
}

// answerClaimed answers a request whose key was used before.
func (x *exchange) answerClaimed(granted claim.Answer) error {
	switch granted.State {
	case claim.Done:
		if granted.Result != nil && granted.Result.Status != 0 {
			x.writeStored(granted.Result)
			return nil
		}
		return callers.Refuse(http.StatusConflict, "response-not-kept", "the request has run and its response was not kept").
			WithRan(callers.RunUnknown)
	case claim.Running:
		return callers.Refuse(http.StatusConflict, "already-running", "an earlier request with the same key is running").
			WithRan(callers.RunUnknown).WithRetryAfter(retryLater)
	case claim.Mismatch:
		return callers.Refuse(http.StatusUnprocessableEntity, "key-reused", "the Idempotency-Key was used with another request")
	case claim.Full, claim.OwnerUnreachable:
		return callers.Refuse(http.StatusServiceUnavailable, string(granted.State), "the request could not be claimed").
			WithRetryAfter(retryLater)
	default:
		return callers.Refuse(http.StatusBadGateway, "outcome-unknown", "an earlier request with the same key may have run").
			WithRan(callers.RunUnknown)
	}
}

// writeStored repeats the response of an earlier run.
func (x *exchange) writeStored(stored *claim.Result) {
	h := x.w.Header()
	for name, values := range stored.Header {
		h[name] = values
	}
	h.Del("X-Request-Id")
	if x.callerID != "" {
		h.Set("X-Request-Id", x.callerID)
	}
	h.Set("X-Request-Replayed", "true")
	h.Set("Content-Length", strconv.Itoa(len(stored.Body)))
	x.status = stored.Status
	x.w.WriteHeader(stored.Status)
	// A caller that has gone can ask again.
	_, _ = x.w.Write(stored.Body)
}
