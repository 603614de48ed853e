package backends

import (
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// Request is one attempt to send a request to a backend server.
type Request struct {
	// HTTP is the outgoing request; its Context is not used.
	HTTP *http.Request
	// ID is the value of RequestIDHeader that the response must echo. If it is empty, the response may have no ID, but not the ID
	// of another request.
	ID string
	// Deadline ends the attempt.
	Deadline time.Time
	// InactivityTimeout is the longest time without a byte sent or received, after which the attempt fails with CauseSilent.
	InactivityTimeout time.Duration
	// SlowAfter, when above 0, is the time without a response after which OnSlow is called once, for example to start a hedged
	// request. OnSlow gets a function that aborts this attempt and that may be called at any time. When OnSlow returns true,
	// the attempt waits for its response until the deadline instead of InactivityTimeout.
	SlowAfter time.Duration
	OnSlow    func(abandon func()) bool
	// VerifiedWithin is the longest time since the last complete response on a reused connection; 0 means any. A request that
	// is not safe to retry should use a recently verified connection, which is less likely to fail.
	VerifiedWithin time.Duration
	// BodyReadFailed, when set, reports whether reading the body from the caller failed, so that the server is not blamed.
	BodyReadFailed func() bool
	// Reserve, when set, is called before more than UnreservedBytes of a body or unreservedHeaderBytes of headers are buffered. It
	// gets the number of further bytes and reports whether there is memory for them. If not, the rest of a body is left to
	// RemainingBody, and longer headers fail the attempt.
	Reserve func(n int) bool
}

// UnreservedBytes is the length of a response body up to which no memory is reserved.
const UnreservedBytes = 16 << 10

func (r *Request) reserve(n int) bool { return r.Reserve == nil || r.Reserve(n) }

// Response is a validated response. Either Body is complete and RemainingBody is nil, or RemainingBody continues after Body.
type Response struct {
	Status int
	Header http.Header
	// Trailer is complete when Body is complete, or after RemainingBody returned io.EOF.
	Trailer http.Header
	// DeclaredLength is the value of Content-Length, or -1 without that header.
	DeclaredLength int64
	Body           []byte
	// ConnectionClose reports whether the server closes the connection; net/http removes the Connection header.
	ConnectionClose bool
	// RemainingBody returns io.EOF only when the response is complete; any other error means that it is truncated.
	RemainingBody io.ReadCloser
	// TimeToFirstByte is the time from the start of sending to the first byte of the response.
	TimeToFirstByte time.Duration
	// reuseFailure says why the connection cannot be reused; nil means that it can.
	reuseFailure *Failure
}

// Do sends one request to the server at address. It never retries.
func (c *Client) Do(ctx context.Context, address string, r *Request) (*Response, *Failure) {
	p := c.pool(address)
	conn := p.takeIdle(r.VerifiedWithin)
	for conn != nil && conn.recentIDs.contains(r.ID) {
		// A late copy of the response to the earlier request with this ID could not be distinguished from the response to this one.
		p.retire(conn)
		conn = p.takeIdle(r.VerifiedWithin)
	}
	if conn == nil {
		dialCtx, cancel := context.WithDeadline(ctx, r.Deadline)
		var f *Failure
		conn, f = p.dial(dialCtx)
		cancel()
		if f != nil {
			return nil, f
		}
	}
	now := time.Now()
	conn.lastUsed = now
	p.mu.Lock()
	p.usedAt = now
	p.mu.Unlock()
	ended := false
	defer func() {
		if !ended {
			// The exchange panicked. A connection that is not retired would count as open for ever.
			p.retire(conn)
		}
	}()
	resp, f := c.exchange(ctx, conn, r)
	ended = true
	switch {
	case f != nil:
		if f.Cause == CauseMismatch {
			c.options.count(EventMismatch, address)
		} else if f.Cause == CauseTruncated {
			c.options.count(EventTruncated, address)
		} else if f.Cause == CauseSilent {
			c.options.count(EventSilentConnectionRetired, address)
		}
		p.retire(conn)
	case resp.RemainingBody != nil:
	case resp.reuseFailure != nil || !conn.endExchange():
		p.retire(conn)
	default:
		p.putIdle(conn)
	}
	return resp, f
}

// aLongTimeAgo is a deadline that ends a blocked read or write at once.
var aLongTimeAgo = time.Unix(1, 0)

// exchange sends r on conn and reads the response. Its caller returns the connection to the pool or retires it, unless
// RemainingBody is set: then the reader does so at its end.
func (c *Client) exchange(ctx context.Context, conn *connection, r *Request) (resp *Response, f *Failure) {
	conn.startExchange(r)
	if r.InactivityTimeout == 0 {
		if err := conn.netConn.SetDeadline(r.Deadline); err != nil {
			return nil, classify(ctx, err, false, CauseClosed)
		}
	}
	var stop func() bool
	if ctx.Done() != nil {
		// A deadline in the past ends a blocked read or write at once. An error means that the connection is already closed.
		stop = context.AfterFunc(ctx, func() { _ = conn.netConn.SetDeadline(aLongTimeAgo) })
		defer func() {
			if resp == nil || resp.RemainingBody == nil {
				if !stop() && resp != nil {
					// The cancellation may still be setting the deadline, so that the connection cannot be reused.
					resp.reuseFailure = &Failure{Cause: CauseCancelled, Sent: true}
				}
			}
		}()
	}
	defer func() {
		if f != nil && !r.Deadline.IsZero() && f.Cause == CauseSilent && !time.Now().Before(r.Deadline) {
			f.Cause = CauseDeadline
		}
	}()
	started := time.Now()
	if err := c.send(conn, r); err != nil {
		conn.requestCut = true
		if !c.respondedEarly(conn, err) {
			cause := CauseClosed
			if r.BodyReadFailed != nil && r.BodyReadFailed() {
				return nil, &Failure{Cause: CauseRequestBody, Sent: conn.sent > 0, Err: err}
			}
			return nil, classify(ctx, err, conn.sent > 0, cause)
		}
	}
	if err := c.awaitFirstByte(ctx, conn, r); err != nil {
		return nil, classify(ctx, err, conn.sent > 0, CauseClosed)
	}
	timeToFirstByte := time.Since(started)
	head, f := c.readHeaders(ctx, conn, r)
	if f != nil {
		return nil, f
	}
	conn.setExpiry(head.Header.Get("Keep-Alive"), time.Now())
	resp = &Response{
		Status: head.StatusCode, Header: head.Header, DeclaredLength: head.ContentLength, TimeToFirstByte: timeToFirstByte,
		ConnectionClose: head.Close,
	}
	return c.readBody(ctx, conn, head, resp, r, stop)
}

func (c *Client) send(conn *connection, r *Request) error {
	if err := r.HTTP.Write(conn.bw); err != nil {
		return err
	}
	return conn.bw.Flush()
}

// respondedEarly reports whether the server closed the connection before it read the whole request, but after it had sent a
// response, such as one that sheds load.
func (c *Client) respondedEarly(conn *connection, err error) bool {
	if !isClosed(err) || conn.sent == 0 {
		return false
	}
	if err := conn.netConn.SetReadDeadline(time.Now().Add(20 * time.Millisecond)); err != nil {
		return false
	}
	_, err = conn.br.Peek(1)
	return err == nil
}

// awaitFirstByte waits for the first byte of the response, and calls OnSlow when it takes longer than SlowAfter.
func (c *Client) awaitFirstByte(ctx context.Context, conn *connection, r *Request) error {
	if conn.br.Buffered() > 0 {
		return nil
	}
	limit := r.InactivityTimeout
	if r.SlowAfter > 0 && (limit == 0 || r.SlowAfter < limit) && r.OnSlow != nil {
		if err := conn.netConn.SetReadDeadline(conn.progressDeadline(r.SlowAfter)); err != nil {
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		_, err := conn.br.Peek(1)
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) || ctx.Err() != nil || !time.Now().Before(r.Deadline) {
			return err
		}
		conn.exchangeGuard = &exchangeGuard{}
		if r.OnSlow(conn.abandonFunc()) {
			limit = time.Until(r.Deadline)
		} else if limit > 0 {
			limit -= r.SlowAfter
		}
	}
	if limit > 0 {
		if err := conn.netConn.SetReadDeadline(conn.progressDeadline(limit)); err != nil {
			return err
		}
		// SetReadDeadline may have overwritten the past deadline of a cancellation or abort that came just before.
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if conn.abandoned() {
			return os.ErrDeadlineExceeded
		}
	}
	_, err := conn.br.Peek(1)
	return err
}

// maxDuplicateBytes is the longest duplicate response that is skipped.
const maxDuplicateBytes = 1 << 20

// readHeaders reads the status line and headers, skips informational (1xx) responses and checks the status and the echoed
// request ID.
func (c *Client) readHeaders(ctx context.Context, conn *connection, r *Request) (*http.Response, *Failure) {
	earlier, sentID := conn.recentIDs, r.HTTP.Header.Get(c.options.RequestIDHeader)
	conn.recentIDs.add(sentID)
	for range 5 {
		conn.headerBytesLeft = maxHeaderBytes
		head, err := http.ReadResponse(conn.br, r.HTTP)
		conn.headerBytesLeft = -1
		if err != nil {
			cause := CauseMalformed
			if isClosed(err) {
				cause = CauseTruncated
			}
			return nil, classify(ctx, err, true, cause)
		}
		informational, err := checkStatus(head)
		if err != nil {
			return nil, &Failure{Cause: CauseMalformed, Sent: true, Err: err}
		}
		if informational {
			continue
		}
		if id := head.Header.Get(c.options.RequestIDHeader); id != sentID && earlier.contains(id) {
			// This is a duplicate of an earlier response. The response of this request may still follow.
			conn.duplicateSeen = true
			if _, err := io.CopyN(io.Discard, head.Body, maxDuplicateBytes); !errors.Is(err, io.EOF) {
				return nil, classify(ctx, err, true, CauseMismatch)
			}
			continue
		} else if id != sentID && (r.ID != "" || id != "") {
			return nil, &Failure{Cause: CauseMismatch, Sent: true}
		}
		// A close-delimited body has no length to check its completeness against. A response to HEAD has no body.
		closeDelimited := head.ContentLength < 0 && len(head.TransferEncoding) == 0 && r.HTTP.Method != http.MethodHead
		if closeDelimited && conn.requestCut {
			// The failed write has consumed the error of a reset, after which reading shows the same end of the stream as after an
			// orderly close.
			return nil, &Failure{Cause: CauseTruncated, Sent: true, Err: errors.New("a response without a length ended with the request")}
		}
		if closeDelimited && !c.options.AllowCloseDelimited || head.ProtoMajor != 1 || head.ProtoMinor < 1 {
			return nil, &Failure{Cause: CauseMalformed, Sent: true, Err: errors.New("the response is not HTTP/1.1 with a stated length")}
		}
		return head, nil
	}
	return nil, &Failure{Cause: CauseMalformed, Sent: true, Err: errors.New("too many informational responses")}
}
