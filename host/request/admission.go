package request

import (
	"context"
	"net/http"

	"vanillatally/io/callers"
)

// admit charges the request to its team's rate limit. Requests without a team, on open routes, are not limited.
func admit(x *exchange) error {
	if x.team == "" {
		return x.next()
	}
	decision, err := x.service.options.Admitter.Admit(x.context, x.team, 1)
	if err != nil {
		if x.context.Err() != nil || context.Cause(x.context) != nil {
			return callers.Refuse(statusClientClosedRequest, "cancelled", "the caller has gone")
		}
		return callers.Refuse(http.StatusServiceUnavailable, "admission-failed", "the rate could not be checked").
			WithRetryAfter(defaultRetryAfter)
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

// statusClientClosedRequest is the status that nginx introduced for a caller that disconnected. It appears in metrics and logs
// only.
const statusClientClosedRequest = 499
