package request

import (
	"context"
	"net/http"
	"time"

	"vanillatally/io/backends"
	"vanillatally/io/callers"
)

// permitPatience is how long a request waits for a permit at one server before it tries another one. It is a little
// less than the round trip between regions, and far less than the time until the owner of permits that died is replaced.
const permitPatience = 50 * time.Millisecond

// takePermit waits for the right to occupy one of the chosen server's slots.
func takePermit(x *exchange) error {
	limit := x.deadline
	elsewhere := len(x.tried)+1 < min(x.mostAttempts(), len(x.pool.servers))
	if patient := time.Now().Add(permitPatience); elsewhere && patient.Before(limit) {
		limit = patient
	}
	ctx, cancel := context.WithDeadline(x.context, limit)
	defer cancel()
	begun := time.Now()
	release, err := x.service.options.Permits.Acquire(ctx, x.server.ID, x.team)
	x.queued += time.Since(begun)
	switch {
	case err == nil:
	case ctx.Err() == nil:
		return callers.Refuse(http.StatusServiceUnavailable, "no-permit", "no slot of a backend server is free").WithRetryAfter(retryLater)
	case elsewhere && x.context.Err() == nil && time.Now().Before(x.deadline):
		return &attemptError{failure: &backends.Failure{Cause: backends.CausePoolExhausted}}
	default:
		return late()
	}
	x.releasePermit = release
	defer x.returnPermit()
	return x.next()
}

// returnPermit gives the slot back once.
func (x *exchange) returnPermit() {
	if x.releasePermit != nil {
		x.releasePermit()
		x.releasePermit = nil
	}
}
