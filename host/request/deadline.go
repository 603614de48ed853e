package request

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"vanillatally/io/callers"
)

const (
	// maxCallerTimeout bounds the timeout that a caller can ask for, since each waiting request uses memory.
	maxCallerTimeout = 10 * time.Minute
	// responseMargin is subtracted from the time left that is sent to the backend server, so that its response can still be
	// forwarded in time.
	responseMargin    = time.Millisecond
	defaultRetryAfter = time.Second
)

// setDeadline sets the request's deadline from the caller's X-Request-Deadline header, or else from the route's timeout.
func setDeadline(x *exchange) error {
	timeout := time.Duration(x.route.Timeout)
	if header := x.r.Header.Get("X-Request-Deadline"); header != "" {
		ms, err := strconv.ParseInt(header, 10, 64)
		if err != nil || ms < 0 {
			return callers.Refuse(http.StatusBadRequest, "deadline-invalid", "X-Request-Deadline must be a number of milliseconds")
		}
		timeout = min(time.Duration(min(ms, maxCallerTimeout.Milliseconds()))*time.Millisecond, maxCallerTimeout)
	}
	if timeout <= responseMargin {
		return callers.Refuse(http.StatusGatewayTimeout, "deadline-exceeded", "the deadline has passed")
	}
	x.deadline = x.received.Add(timeout)
	if !x.idempotent {
		// A non-idempotent request goes on when its caller disconnects, since interrupting it could leave a change half done.
		x.context = context.WithoutCancel(x.context)
	}
	return x.next()
}

// deadlinePassedRefusal is the refusal of a request whose deadline passed before it was sent.
func deadlinePassedRefusal() error {
	return callers.Refuse(http.StatusGatewayTimeout, "deadline-exceeded", "the deadline passed before the request was sent")
}
