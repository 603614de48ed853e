package host

import (
	"context"

	"vanillatally/core/budget"
	"vanillatally/core/claim"
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
	Begin(ctx context.Context, req claim.Request) (claim.Answer, error)
	Finish(ctx context.Context, req claim.Request, res claim.Result) error
}
