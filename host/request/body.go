package request

import (
	"bytes"
	"io"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"vanillatally/io/callers"
)

const (
	// maxKeyedBody bounds the body of a non-idempotent request with an idempotency key. It is read completely, because it is
	// part of the fingerprint that detects a reused key.
	maxKeyedBody = 1 << 20
	// maxBufferedBody is the size up to which other bodies are buffered for retries. The rest of a longer body is streamed.
	maxBufferedBody = 64 << 10
)

// body is the request's body.
type body struct {
	// start is the buffered beginning, or the whole body when rest is nil.
	start []byte
	rest  *restBody
	// length is the Content-Length, -1 when it is unknown.
	length int64
}

// restBody is the part of a body that is streamed from the caller.
type restBody struct {
	source  io.Reader
	err     error
	started bool
}

// Read reads from the caller. It records the error, so that the server is not blamed for it.
func (b *restBody) Read(p []byte) (int, error) {
	b.started = true
	n, err := b.source.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.err = err
	}
	return n, err
}

// readBody reads the beginning of the body, or all of it for a non-idempotent request with an idempotency key.
func (x *exchange) readBody() error {
	x.body.length = x.r.ContentLength
	if x.r.Body == nil || x.r.Body == http.NoBody || x.r.ContentLength == 0 {
		x.body.length = 0
		return nil
	}
	if maxBytes := x.service.options.MaxRequestBodyBytes; x.r.ContentLength > maxBytes {
		return callers.Refuse(http.StatusRequestEntityTooLarge, "body-too-large",
			"the body exceeds "+strconv.FormatInt(maxBytes, 10)+" bytes")
	} else if x.r.ContentLength < 0 {
		x.r.Body = http.MaxBytesReader(x.w, x.r.Body, maxBytes)
	}
	limit := int64(maxBufferedBody)
	keyed := x.idempotencyKey != "" && !x.idempotent
	if keyed {
		limit = maxKeyedBody
	}
	// A caller that sends its body slowly must not hold memory after its deadline. Writers without read deadlines return an
	// error, which is ignored.
	_ = http.NewResponseController(x.w).SetReadDeadline(x.deadline)
	if x.body.length > limit && keyed {
		return keyedBodyTooLargeRefusal()
	}
	var err error
	if x.body.length >= 0 && x.body.length <= limit {
		x.body.start = make([]byte, x.body.length)
		_, err = io.ReadFull(x.r.Body, x.body.start)
	} else {
		var buffer bytes.Buffer
		_, err = io.CopyN(&buffer, x.r.Body, limit)
		x.body.start = buffer.Bytes()
		switch {
		case err == nil && keyed:
			return keyedBodyTooLargeRefusal()
		case err == nil:
			x.body.rest = &restBody{source: x.r.Body}
		case errors.Is(err, io.EOF):
			x.body.length, err = int64(len(x.body.start)), nil
		}
	}
	if err != nil {
		return callers.Refuse(http.StatusBadRequest, "body-incomplete", "the request's body could not be read")
	}
	return nil
}

func keyedBodyTooLargeRefusal() error {
	return callers.Refuse(http.StatusRequestEntityTooLarge, "body-too-large",
		"a request with an Idempotency-Key may have 1 MiB")
}

// replayable reports whether the whole body can be sent again.
func (b *body) replayable() bool { return b.rest == nil || !b.rest.started }

// reader returns the body for one attempt.
func (b *body) reader() io.ReadCloser {
	switch {
	case b.rest != nil:
		return io.NopCloser(io.MultiReader(bytes.NewReader(b.start), b.rest))
	case len(b.start) == 0:
		return http.NoBody
	default:
		return io.NopCloser(bytes.NewReader(b.start))
	}
}

// readFailed reports whether reading the body from the caller failed.
func (b *body) readFailed() bool { return b.rest != nil && b.rest.err != nil }

// computeFingerprint hashes the team, method and URL with the body or, if withKey is set and there is one, the idempotency key.
func (x *exchange) computeFingerprint(withKey bool) uint64 {
	var h xxhash.Digest
	h.Reset()
	writePart := func(s string) {
		// A zero byte separates the parts, none of which contains one.
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	writePart(x.team)
	writePart(x.r.Method)
	writePart(x.r.URL.EscapedPath())
	writePart(x.r.URL.RawQuery)
	if withKey && x.idempotencyKey != "" {
		writePart(x.idempotencyKey)
	} else {
		_, _ = h.Write(x.body.start)
	}
	return h.Sum64()
}
