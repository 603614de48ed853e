package backends

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// Request is one attempt at a backend server.
type Request struct {
	// HTTP has the outgoing headers; its Context is not used.
	HTTP *http.Request
	// ID is the value of the client's IDHeader that the response must repeat; empty turns the check off.
	ID string
	// Deadline ends the attempt.
	Deadline time.Time
	// InactivityTimeout is the longest time without progress, after which the connection counts as silent.
	InactivityTimeout time.Duration
	// SlowAfter, when above 0, is the time without a response after which OnSlow is called once.
	// The function that it gets gives the attempt up; it may be called at any time. When OnSlow returns true,
	// the attempt may wait for its response until the deadline.
	SlowAfter time.Duration
	OnSlow    func(abandon func()) bool
	// VerifiedWithin is the longest time since the connection last proved that it works; 0 means any.
	// A request that cannot be repeated needs a connection that was verified lately.
	VerifiedWithin time.Duration
	// BodyReadFailed, when set, reports whether reading the body from the caller failed, which is no fault of the server.
	BodyReadFailed func() bool
}

// Response is a checked response. Either Body is whole and Rest is nil, or Rest continues after Body.
type Response struct {
	Status int
	Header http.Header
	// Trailer is complete when Body is whole, or after Rest ended.
	Trailer http.Header
	// DeclaredLength is the stated length of the body, -1 when it was sent in chunks.
	DeclaredLength int64
	Body           []byte
	// ConnectionClose reports that the server ends the connection; net/http removes the header that says so.
	ConnectionClose bool
	// RemainingBody ends with io.EOF only when the response is whole; any other error means that it is truncated.
	RemainingBody io.ReadCloser
	// TimeToFirstByte is the time until the response began.
	TimeToFirstByte time.Duration
	leftover        *Failure
}

// Do runs one attempt at the server at address. It never repeats a request.
func (c *Client) Do(ctx context.Context, address string, r *Request) (*Response, *Failure) {
	p := c.pool(address)
	conn := p.take(r.VerifiedWithin)
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
	conn.used = now
	p.mu.Lock()
	p.usedAt = now
	p.mu.Unlock()
	resp, f := c.exchange(ctx, conn, r)
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
	case resp.leftover != nil || !conn.endGuard():
		p.retire(conn)
	default:
		p.put(conn)
	}
	return resp, f
}

var past = time.Unix(1, 0)

// exchange sends r on conn and reads the response. The caller puts the connection back or retires it, unless Rest is set.
func (c *Client) exchange(ctx context.Context, conn *connection, r *Request) (resp *Response, f *Failure) {
	conn.begin(r.Deadline, r.InactivityTimeout)
	if r.InactivityTimeout == 0 {
		if err := conn.raw.SetDeadline(r.Deadline); err != nil {
			return nil, classify(ctx, err, false, CauseClosed)
		}
	}
	var stop func() bool
	if ctx.Done() != nil {
		// Moving the deadline ends a blocked read or write at once; an error means that the connection is closed already.
		stop = context.AfterFunc(ctx, func() { _ = conn.raw.SetDeadline(past) })
		defer func() {
			if resp == nil || resp.RemainingBody == nil {
				if !stop() && f == nil {
					// The cancellation may still set the deadline, so that the connection cannot be used again.
					resp.leftover = &Failure{Cause: CauseCancelled, Sent: true}
				}
			}
		}()
	}
	defer func() {
		if f != nil && !r.Deadline.IsZero() && f.Cause == CauseSilent && !time.Now().Before(r.Deadline) {
			f.Cause = CauseDeadline
		}
	}()
	begun := time.Now()
	if err := c.send(conn, r); err != nil {
		if !c.answeredEarly(conn, err) {
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
	first := time.Since(begun)
	head, f := c.readHead(ctx, conn, r)
	if f != nil {
		return nil, f
	}
	conn.keepFor(head.Header.Get("Keep-Alive"), time.Now())
	resp = &Response{Status: head.StatusCode, Header: head.Header, DeclaredLength: head.ContentLength, TimeToFirstByte: first, ConnectionClose: head.Close}
	return c.readBody(ctx, conn, head, resp, r, stop)
}

func (c *Client) send(conn *connection, r *Request) error {
	if err := r.HTTP.Write(conn.bw); err != nil {
		return err
	}
	return conn.bw.Flush()
}

// answeredEarly reports whether the server answered before it read the whole request, such as to shed it.
func (c *Client) answeredEarly(conn *connection, err error) bool {
	if !isClosed(err) || conn.sent == 0 {
		return false
	}
	if err := conn.raw.SetReadDeadline(time.Now().Add(20 * time.Millisecond)); err != nil {
		return false
	}
	_, err = conn.br.Peek(1)
	return err == nil
}

// awaitFirstByte waits for the response to begin, and reports a slow one on the way.
func (c *Client) awaitFirstByte(ctx context.Context, conn *connection, r *Request) error {
	if conn.br.Buffered() > 0 {
		return nil
	}
	limit := r.InactivityTimeout
	if r.SlowAfter > 0 && (limit == 0 || r.SlowAfter < limit) && r.OnSlow != nil {
		if err := conn.raw.SetReadDeadline(conn.until(r.SlowAfter)); err != nil {
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		_, err := conn.br.Peek(1)
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) || ctx.Err() != nil || !time.Now().Before(r.Deadline) {
			return err
		}
		conn.guard = &guard{}
		if r.OnSlow(conn.abandon()) {
			limit = time.Until(r.Deadline)
		} else if limit > 0 {
			limit -= r.SlowAfter
		}
	}
	if limit > 0 {
		if err := conn.raw.SetReadDeadline(conn.until(limit)); err != nil {
			return err
		}
		// A cancellation between the two calls would be overwritten by the new deadline.
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

// maxStaleBytes is the longest repeated response that is skipped.
const maxStaleBytes = 1 << 20

// readHead reads the status line and headers, skips informational responses and checks the echoed id.
func (c *Client) readHead(ctx context.Context, conn *connection, r *Request) (*http.Response, *Failure) {
	previous := conn.id
	conn.id = r.HTTP.Header.Get(c.options.RequestIDHeader)
	for range 5 {
		conn.headerLeft = maxHeaderBytes
		head, err := http.ReadResponse(conn.br, r.HTTP)
		conn.headerLeft = -1
		if err != nil {
			cause := CauseMalformed
			if isClosed(err) {
				cause = CauseTruncated
			}
			return nil, classify(ctx, err, true, cause)
		}
		if head.StatusCode >= 100 && head.StatusCode < 200 && head.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if id := head.Header.Get(c.options.RequestIDHeader); id != r.ID && id != "" && id == previous {
			// The last response came again. This request's own response may still follow, so that the request is not lost.
			conn.stale = true
			if _, err := io.CopyN(io.Discard, head.Body, maxStaleBytes); !errors.Is(err, io.EOF) {
				return nil, classify(ctx, err, true, CauseMismatch)
			}
			continue
		} else if r.ID != "" && id != r.ID {
			return nil, &Failure{Cause: CauseMismatch, Sent: true}
		}
		// A body that ends with the connection has no length to check against.
		endless := head.ContentLength < 0 && len(head.TransferEncoding) == 0
		if endless && !c.options.AllowCloseDelimited || head.ProtoMajor != 1 || head.ProtoMinor < 1 || head.StatusCode == http.StatusSwitchingProtocols {
			return nil, &Failure{Cause: CauseMalformed, Sent: true, Err: errors.New("the response states no length")}
		}
		return head, nil
	}
	return nil, &Failure{Cause: CauseMalformed, Sent: true, Err: errors.New("too many informational responses")}
}

// readBody reads the body as a whole if it is short, or its first part.
func (c *Client) readBody(ctx context.Context, conn *connection, head *http.Response, resp *Response, r *Request, stop func() bool) (*Response, *Failure) {
	rest := &restReader{body: head.Body, conn: conn, ctx: ctx, stop: stop, response: resp, head: head}
	if head.ContentLength >= 0 && head.ContentLength <= int64(c.options.BufferBytes) || r.HTTP.Method == http.MethodHead {
		if head.ContentLength > 0 && r.HTTP.Method != http.MethodHead {
			resp.Body = make([]byte, head.ContentLength)
			if _, err := io.ReadFull(rest.progress(), resp.Body); err != nil {
				return nil, classify(ctx, err, true, CauseTruncated)
			}
		}
	} else {
		var buffer bytes.Buffer
		n, err := io.CopyN(&buffer, rest.progress(), int64(c.options.BufferBytes))
		resp.Body = buffer.Bytes()[:n]
		if err == nil {
			resp.RemainingBody = rest
			return resp, nil
		}
		if !errors.Is(err, io.EOF) {
			return nil, classify(ctx, err, true, CauseTruncated)
		}
	}
	rest.finish()
	return resp, nil
}

// restReader reads a body with a progress limit and settles the connection at its end.
type restReader struct {
	body     io.Reader
	conn     *connection
	ctx      context.Context
	stop     func() bool
	response *Response
	head     *http.Response
	// settled is set once the connection was put back or retired.
	settled bool
}

// progress returns a reader that fails when nothing arrives within the silence limit.
func (b *restReader) progress() io.Reader { return progressReader{b} }

type progressReader struct{ *restReader }

// Read reads the next part of the body. Buffered bytes need no new deadline.
func (p progressReader) Read(buf []byte) (int, error) {
	if p.conn.br.Buffered() == 0 && p.conn.limit > 0 {
		if err := p.conn.raw.SetReadDeadline(p.conn.until(p.conn.limit)); err != nil {
			return 0, err
		}
		if p.ctx.Err() != nil {
			return 0, p.ctx.Err()
		}
	}
	return p.body.Read(buf)
}

// finish notes the trailers and whether the connection can be used again.
func (b *restReader) finish() {
	b.response.Trailer = b.head.Trailer
	b.conn.verified = time.Now()
	if b.conn.stale || b.conn.br.Buffered() > 0 {
		b.conn.pool.options.count(EventBytesAfterResponse, b.conn.pool.address)
		b.response.leftover = &Failure{Cause: CauseMalformed, Sent: true, Err: errors.New("bytes after the response")}
	} else if b.head.Close {
		b.response.leftover = &Failure{Cause: CauseClosed, Sent: true}
	}
}

// Read returns the next part of the body. Only a whole body ends with io.EOF.
func (b *restReader) Read(buf []byte) (int, error) {
	n, err := b.progress().Read(buf)
	if err == nil || b.settled {
		return n, err
	}
	b.settled = true
	if b.stop != nil && !b.stop() {
		err = errors.CombineErrors(context.Cause(b.ctx), err)
	}
	if errors.Is(err, io.EOF) && b.ctx.Err() == nil {
		b.finish()
		if b.response.leftover == nil && b.conn.endGuard() {
			b.conn.pool.put(b.conn)
		} else {
			b.conn.pool.retire(b.conn)
		}
		return n, io.EOF
	}
	b.conn.pool.options.count(EventTruncated, b.conn.pool.address)
	b.conn.pool.retire(b.conn)
	return n, classify(b.ctx, err, true, CauseTruncated)
}

// Close gives up the rest of the body.
func (b *restReader) Close() error {
	if b.settled {
		return nil
	}
	b.settled = true
	if b.stop != nil {
		b.stop()
	}
	b.conn.pool.retire(b.conn)
	return nil
}
