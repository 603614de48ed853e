package request

import (
	"context"
	"net/http"
	"time"

	"vanillatally/io/callers"
)

// takePermit waits for the right to occupy one of the chosen server's slots.
func takePermit(x *exchange) error {
	ctx, cancel := context.WithDeadline(x.context, x.deadline)
	defer cancel()
	begun := time.Now()
	release, err := x.service.options.Permits.Acquire(ctx, x.server.ID, x.team)
	x.queued += time.Since(begun)
	if err != nil {
		if ctx.Err() != nil {
			return late()
		}
		return callers.Refuse(http.StatusServiceUnavailable, "no-permit", "no slot of a backend server is free").WithRetryAfter(retryLater)
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
