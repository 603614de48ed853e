package request

import (
	"context"
	"net/http"
	"time"

	"vanillatally/io/backends"
	"vanillatally/io/callers"
)

// permitWait is how long a request waits for a permit of one server before it tries another one. It is a little less than a
// round trip between regions, and far less than the time until a dead host that owned permits is replaced.
const permitWait = 50 * time.Millisecond

// takePermit waits for a permit to send the request to the chosen server.
func takePermit(x *exchange) error {
	waitUntil := x.deadline
	hasOtherServer := len(x.tried)+1 < min(x.attemptLimit(), len(x.pool.servers))
	if permitDeadline := time.Now().Add(permitWait); hasOtherServer && permitDeadline.Before(waitUntil) {
		waitUntil = permitDeadline
	}
	ctx, cancel := context.WithDeadline(x.context, waitUntil)
	defer cancel()
	start := time.Now()
	release, err := x.service.options.Permits.Acquire(ctx, x.server.ID, x.team)
	x.queueTime += time.Since(start)
	switch {
	case err == nil:
	case ctx.Err() == nil:
		return callers.Refuse(http.StatusServiceUnavailable, "no-permit", "no slot of a backend server is free").
			WithRetryAfter(defaultRetryAfter)
	case hasOtherServer && x.context.Err() == nil && time.Now().Before(x.deadline):
		return &attemptError{failure: &backends.Failure{Cause: backends.CausePoolExhausted}}
	default:
		return deadlinePassedRefusal()
	}
	x.releasePermit = release
	defer x.returnPermit()
	return x.next()
}

// returnPermit returns the permit unless that was done before.
func (x *exchange) returnPermit() {
	if x.releasePermit != nil {
		x.releasePermit()
		x.releasePermit = nil
	}
}
