// Package backends speaks HTTP/1.1 to backend servers. It never sends a request a second time by itself,
// it passes on whole responses only, and it retires each connection whose state is in doubt.
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
	// CauseDial: no connection could be made.
	CauseDial Cause = "connection-refused"
	// CausePoolExhausted: the pool is at its bound of connections.
	CausePoolExhausted Cause = "connections-exhausted"
	// CauseClosed: the server closed or reset the connection before the first byte of its response.
	CauseClosed Cause = "connection-closed"
	// CauseSilent: nothing arrived within the silence limit.
	CauseSilent Cause = "connection-silent"
	// CauseMismatch: the response carries another request's id.
	CauseMismatch Cause = "response-mismatch"
	// CauseTruncated: the response ended before its stated length.
	CauseTruncated Cause = "response-truncated"
	// CauseMalformed: the response is not HTTP/1.1, or its completeness cannot be checked.
	CauseMalformed Cause = "response-malformed"
	// CauseDeadline: the request's deadline passed.
	CauseDeadline Cause = "deadline-exceeded"
	// CauseCancelled: the request was cancelled.
	CauseCancelled Cause = "cancelled"
	// CauseRequestBody: the request's body could not be read from the caller.
	CauseRequestBody Cause = "request-body"
)

// Failure is the error of an exchange.
type Failure struct {
	Cause Cause
	// Sent reports whether a byte of the request may have reached the server. When it is false, the request has not run.
	Sent bool
	Err  error
}

// Error describes the failure.
func (f *Failure) Error() string {
	if f.Err == nil {
		return string(f.Cause)
	}
	return string(f.Cause) + ": " + f.Err.Error()
}

// Unwrap returns the underlying error.
func (f *Failure) Unwrap() error { return f.Err }

// classify turns an I/O error into a failure; fallback applies when the error says nothing more exact.
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

// IsConnectionRefused reports whether err says that nothing listens at the address.
func IsConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

func isClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
