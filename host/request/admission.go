package request

import (
	"context"
	"net/http"

	"vanillatally/io/callers"
)

// admit charges the request to its team's rate. Requests on open routes without a key are not counted.
func admit(x *exchange) error {
	if x.team == "" {
		return x.next()
	}
	decision, err := x.service.options.Admitter.Admit(x.context, x.team, 1)
	if err != nil {
		if x.context.Err() != nil || context.Cause(x.context) != nil {
			return callers.Refuse(statusClientClosedRequest, "cancelled", "the caller has gone")
		}
		return callers.Refuse(http.StatusServiceUnavailable, "admission-failed", "the rate could not be checked").WithRetryAfter(defaultRetryAfter)
	}
	if !decision.Admitted {
		status := http.StatusTooManyRequests
		if decision.Reason != "rate-exceeded" {
			status = http.StatusServiceUnavailable
		}
		return callers.Refuse(status, string(decision.Reason), "the team's rate does not admit the request now").
			WithRetryAfter(decision.RetryAfter)
	}
	return x.next()
}

// statusClientClosedRequest is the conventional status for a caller that disconnected; nobody reads it but logs.
const statusClientClosedRequest = 499
