package backends

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// readBody reads the whole body if it fits into BufferBytes and there is memory for it, otherwise its first part; RemainingBody
// reads the rest.
func (c *Client) readBody(
	ctx context.Context, conn *connection, head *http.Response, resp *Response, r *Request, stop func() bool,
) (*Response, *Failure) {
	reader := &bodyReader{body: head.Body, conn: conn, ctx: ctx, stop: stop, response: resp, head: head}
	if r.HTTP.Method != http.MethodHead {
		var err error
		resp.Body, err = reader.buffer(r, c.options.BufferBytes)
		switch {
		case err == nil:
			resp.RemainingBody = reader
			return resp, nil
		case !errors.Is(err, io.EOF):
			return nil, classify(ctx, err, true, CauseTruncated)
		}
	}
	reader.finish()
	return resp, nil
}

// firstBufferBytes is the size of the first buffer for a body of unknown length.
const firstBufferBytes = 4 << 10

// buffer reads up to limit bytes of the body, or fewer if there is no memory for more. It returns io.EOF if the body has ended.
func (b *bodyReader) buffer(r *Request, limit int) ([]byte, error) {
	length := b.head.ContentLength
	if length < 0 || length > int64(limit) || length > UnreservedBytes && !r.reserve(int(length)-UnreservedBytes) {
		return b.bufferGrowing(r, limit)
	}
	buffered := make([]byte, length)
	if _, err := io.ReadFull(b.withInactivityTimeout(), buffered); err != nil {
		return nil, err
	}
	return buffered, io.EOF
}

// bufferGrowing is buffer with memory that grows with the bytes that arrive.
func (b *bodyReader) bufferGrowing(r *Request, limit int) (buffered []byte, err error) {
	body := b.withInactivityTimeout()
	for size := min(firstBufferBytes, limit); ; {
		buffered = slices.Grow(buffered, size-len(buffered))
		for len(buffered) < size && err == nil {
			var n int
			n, err = body.Read(buffered[len(buffered):size])
			buffered = buffered[:len(buffered)+n]
		}
		if err != nil || size == limit {
			return buffered, err
		}
		next := min(2*size, limit)
		if next > UnreservedBytes && !r.reserve(next-max(size, UnreservedBytes)) {
			return buffered, nil
		}
		size = next
	}
}

// bodyReader reads a body with an inactivity timeout. At the end it returns the connection to the pool or retires it.
type bodyReader struct {
	body     io.Reader
	conn     *connection
	ctx      context.Context
	stop     func() bool
	response *Response
	head     *http.Response
	// done is set once the connection was returned to the pool or retired.
	done bool
}

// withInactivityTimeout returns a reader that fails when no byte arrives within the inactivity timeout.
func (b *bodyReader) withInactivityTimeout() io.Reader { return inactivityReader{b} }

type inactivityReader struct{ *bodyReader }

// Read reads the next part of the body. It sets a new deadline only when it must read from the socket.
func (p inactivityReader) Read(buf []byte) (int, error) {
	if p.conn.br.Buffered() == 0 && p.conn.inactivityTimeout > 0 {
		if err := p.conn.netConn.SetReadDeadline(p.conn.progressDeadline(p.conn.inactivityTimeout)); err != nil {
			return 0, err
		}
		if p.ctx.Err() != nil {
			return 0, p.ctx.Err()
		}
	}
	return p.body.Read(buf)
}

// finish records the trailers, and in the response whether the connection can be reused.
func (b *bodyReader) finish() {
	b.response.Trailer = b.head.Trailer
	b.conn.lastVerified = time.Now()
	if b.conn.duplicateSeen || b.conn.br.Buffered() > 0 {
		b.conn.pool.options.count(EventBytesAfterResponse, b.conn.pool.address)
		b.response.reuseFailure = &Failure{Cause: CauseMalformed, Sent: true, Err: errors.New("bytes after the response")}
	} else if b.head.Close || b.conn.requestCut {
		b.response.reuseFailure = &Failure{Cause: CauseClosed, Sent: true}
	}
}

// Read returns the next part of the body, and io.EOF only after a complete body.
func (b *bodyReader) Read(buf []byte) (int, error) {
	n, err := b.withInactivityTimeout().Read(buf)
	if err == nil || b.done {
		return n, err
	}
	b.done = true
	if b.stop != nil && !b.stop() {
		err = errors.CombineErrors(context.Cause(b.ctx), err)
	}
	if errors.Is(err, io.EOF) && b.ctx.Err() == nil {
		b.finish()
		if b.response.reuseFailure == nil && b.conn.endExchange() {
			b.conn.pool.putIdle(b.conn)
		} else {
			b.conn.pool.retire(b.conn)
		}
		return n, io.EOF
	}
	b.conn.pool.options.count(EventTruncated, b.conn.pool.address)
	b.conn.pool.retire(b.conn)
	return n, classify(b.ctx, err, true, CauseTruncated)
}

// Close retires the connection without reading the rest of the body.
func (b *bodyReader) Close() error {
	if b.done {
		return nil
	}
	b.done = true
	if b.stop != nil {
		b.stop()
	}
	b.conn.pool.retire(b.conn)
	return nil
}
