package request

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"vanillatally/io/callers"
)

const (
	// maxDeadline bounds what a caller can ask for, since each waiting request holds memory.
	maxDeadline = 10 * time.Minute
	// hopMargin is taken off the deadline that the backend server gets, so that its answer can still be passed on.
	hopMargin  = time.Millisecond
	retryLater = time.Second
)

// setDeadline bounds the request: by the caller's statement, or else by the route's time-out.
func setDeadline(x *exchange) error {
	timeout := time.Duration(x.route.Timeout)
	if stated := x.r.Header.Get("X-Request-Deadline"); stated != "" {
		ms, err := strconv.ParseInt(stated, 10, 64)
		if err != nil || ms < 0 {
			return callers.Refuse(http.StatusBadRequest, "deadline-invalid", "X-Request-Deadline must be a number of milliseconds")
		}
		timeout = min(time.Duration(min(ms, maxDeadline.Milliseconds()))*time.Millisecond, maxDeadline)
	}
	if timeout <= hopMargin {
		return callers.Refuse(http.StatusGatewayTimeout, "deadline-exceeded", "the deadline has passed")
	}
	x.deadline = x.received.Add(timeout)
	if !x.idempotent {
		// A caller that disconnects must not cut off a request that may change something.
		x.context = context.WithoutCancel(x.context)
	}
	return x.next()
}

// late returns the refusal of a request whose deadline passed before it was sent.
func late() error {
	return callers.Refuse(http.StatusGatewayTimeout, "deadline-exceeded", "the deadline passed before the request was sent")
}
