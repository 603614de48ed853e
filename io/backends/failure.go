// Package backends is an HTTP/1.1 client with a connection pool per backend server. It never retries a request by itself, it
// reports a truncated response as an error, and it closes each connection whose state is uncertain instead of reusing it.
package backends

import (
	"context"
	"io"
	"net"
	"os"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Cause says why an exchange with a backend server failed.
type Cause string

// The causes of failures.
const (
	// CauseDial: no connection could be established.
	CauseDial Cause = "connection-refused"
	// CausePoolExhausted: the pool has reached its maximum number of connections, or was closed.
	CausePoolExhausted Cause = "connections-exhausted"
	// CauseClosed: the server closed or reset the connection before the first byte of its response.
	CauseClosed Cause = "connection-closed"
	// CauseSilent: no byte was sent or received within the inactivity timeout.
	CauseSilent Cause = "connection-silent"
	// CauseMismatch: the response does not have the ID of the request.
	CauseMismatch Cause = "response-mismatch"
	// CauseTruncated: the response ended before it was complete.
	CauseTruncated Cause = "response-truncated"
	// CauseMalformed: the response is not valid HTTP/1.1, or states no length to check its completeness against.
	CauseMalformed Cause = "response-malformed"
	// CauseDeadline: the request's deadline passed.
	CauseDeadline Cause = "deadline-exceeded"
	// CauseCancelled: the request was cancelled.
	CauseCancelled Cause = "cancelled"
	// CauseRequestBody: the request's body could not be read from the caller.
	CauseRequestBody Cause = "request-body"
)

// Failure is the error of an exchange. It implements error.
type Failure struct {
	Cause Cause
	// Sent reports whether a byte of the request may have reached the server. When it is false, the server did not run the
	// request.
	Sent bool
	Err  error
}

// Error returns the cause and the underlying error.
func (f *Failure) Error() string {
	if f.Err == nil {
		return string(f.Cause)
	}
	return string(f.Cause) + ": " + f.Err.Error()
}

// Unwrap returns the underlying error.
func (f *Failure) Unwrap() error { return f.Err }

// classify turns an I/O error into a failure. The cause is fallback unless ctx ended or an I/O deadline passed.
func classify(ctx context.Context, err error, sent bool, fallback Cause) *Failure {
	f := &Failure{Cause: fallback, Sent: sent, Err: err}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		f.Cause = CauseDeadline
	case ctx.Err() != nil:
		f.Cause = CauseCancelled
	case errors.Is(err, os.ErrDeadlineExceeded):
		f.Cause = CauseSilent
	}
	return f
}

// IsConnectionRefused reports whether err is ECONNREFUSED: nothing listens at the address.
func IsConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

func isClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
