// Package request proxies requests of callers to backend servers through a chain of filters: authentication, routing, admission,
// queueing, load balancing, retries and hedging.
package request

import (
	"context"

	"vanillatally/core/budget"
	"vanillatally/core/claim"
	"vanillatally/core/rollout"
)

// Admitter enforces each team's rate limit across all hosts.
type Admitter interface {
	// Admit charges cost requests to the team's rate and burst.
	Admit(ctx context.Context, team string, cost float64) (budget.Decision, error)
}

// Permits bounds the concurrent requests at each backend server across all hosts.
type Permits interface {
	// Acquire waits, until ctx ends, for a permit to send a request to server; release returns the permit.
	Acquire(ctx context.Context, server, team string) (release func(), err error)
}

// Claims makes non-idempotent requests with an idempotency key run at most once.
type Claims interface {
	// Begin claims the key of req. Only a caller that gets claim.Granted may run the request.
	Begin(ctx context.Context, req claim.Request) (claim.Answer, error)
	// Valid reports whether a granted request may still be sent. It is checked just before sending, because the host may have
	// been paused since Begin and its claim may have ended.
	Valid(req claim.Request) bool
	// Finish records the outcome of a granted request.
	Finish(ctx context.Context, req claim.Request, res claim.Result) error
}

// Moves applies traffic shifts and rollouts to requests and collects the observations that decide whether they go on.
type Moves interface {
	// Version chooses the version of service for one request on route; u is uniform in [0, 1). It returns the empty string when
	// no rollout is running, in which case the configured version applies.
	Version(service, route string, u float64) string
	// Place returns the region or backend server to which shifts redirect a request that would go to place, or place itself when
	// no shift applies; u is uniform in [0, 1).
	Place(route, team, place string, u float64) string
	// Observe adds the result of one attempt to the evidence of the shifts and rollouts.
	Observe(observation rollout.Observation)
}
