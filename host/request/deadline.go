package request

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"vanillatally/io/callers"
)

const (
	// maxCallerTimeout bounds what a caller can ask for, since each waiting request holds memory.
	maxCallerTimeout = 10 * time.Minute
	// responseMargin is taken off the deadline that the backend server gets, so that its answer can still be passed on.
	responseMargin    = time.Millisecond
	defaultRetryAfter = time.Second
)

// setDeadline bounds the request: by the caller's statement, or else by the route's time-out.
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
		// A caller that disconnects must not cut off a request that may change something.
		x.context = context.WithoutCancel(x.context)
	}
	return x.next()
}

// deadlinePassedRefusal returns the refusal of a request whose deadline passed before it was sent.
func deadlinePassedRefusal() error {
	return callers.Refuse(http.StatusGatewayTimeout, "deadline-exceeded", "the deadline passed before the request was sent")
}
