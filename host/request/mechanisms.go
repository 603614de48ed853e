// Package request runs each request of a caller through a chain of filters to a backend server.
package request

import (
	"context"

	"vanillatally/core/budget"
	"vanillatally/core/claim"
	"vanillatally/core/rollout"
)

// Admitter counts a team's requests against its rate and burst over all hosts.
type Admitter interface {
	// Admit charges cost requests to team.
	Admit(ctx context.Context, team string, cost float64) (budget.Decision, error)
}

// Permits bounds the requests that run at each backend server over all hosts.
type Permits interface {
	// Acquire waits, within ctx, for a permit at server; release returns it.
	Acquire(ctx context.Context, server, team string) (release func(), err error)
}

// Claims makes keyed non-idempotent requests run at most once.
type Claims interface {
	// Begin asks for the right to run req; only the answer claim.Granted gives it.
	Begin(ctx context.Context, req claim.Request) (claim.Answer, error)
	// Valid reports whether a granted request may still be sent; it is asked just before the sending, because
	// the host may have been paused since Begin.
	Valid(req claim.Request) bool
	// Finish records what became of a granted request.
	Finish(ctx context.Context, req claim.Request, res claim.Result) error
}

// Moves tells which shifts and rollouts apply to a request and collects their evidence.
type Moves interface {
	// Version picks the version of service for one request on route; u is uniform in [0, 1).
	// The empty string means that no rollout runs and the configured version applies.
	Version(service, route string, u float64) string
	// Place returns the region or backend server to which shifts move a request that would go to place.
	// It returns place itself when no shift applies; u is uniform in [0, 1).
	Place(route, team, place string, u float64) string
	// Observe adds one finished request to the evidence.
	Observe(observation rollout.Observation)
}
