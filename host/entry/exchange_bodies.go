package entry

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"vanillatally/core/memory"
	"vanillatally/io/backends"
	"vanillatally/io/callers"
	"vanillatally/io/events"
)

// reserveBody opens the reservation of the request's body. length is -1 if the caller does not state it.
func (x *exchange) reserveBody(length int64) {
	part := memory.Small
	if length > memory.SmallBody {
		part = memory.Large
	}
	control := http.NewResponseController(x.w)
	// An error means that this ResponseWriter does not support deadlines; the read then ends when the caller's connection does.
	x.bodyReservation = x.host.bodyMemory.open(part, func() { _ = control.SetReadDeadline(pastDeadline) })
}

// releaseBody gives the memory of the request's body back. No server is reading the body then.
func (x *exchange) releaseBody() {
	x.body.recycle()
	x.body = bufferedBody{}
	x.bodyReservation.release()
	x.bodyReservation = nil
}

// openResponseReservation opens the reservation of the response unless it is open. It is kept until the exchange ends.
func (x *exchange) openResponseReservation() {
	if x.responseReservation != nil {
		return
	}
	control := http.NewResponseController(x.w)
	x.responseReservation = x.host.bodyMemory.open(memory.Responses, func() { _ = control.SetWriteDeadline(pastDeadline) })
}

// reserveResponse takes n more bytes for the response that a server is sending, and reports whether they are there.
func (x *exchange) reserveResponse(n int) bool {
	x.openResponseReservation()
	granted := x.responseReservation.reserve(int64(n))
	if !granted {
		x.host.metrics.Count("responses-unbuffered", "", "", "", 1)
	}
	return granted
}

// dropReceived gives back the bytes of responses that are not passed on, except those of the fallback.
func (x *exchange) dropReceived() {
	if x.responseReservation == nil {
		return
	}
	kept := 0
	if x.fallback != nil {
		kept = max(len(x.fallback.Body)-backends.UnreservedBytes, 0)
	}
	x.responseReservation.shrink(int64(kept))
}

// extendWrite gives the next write to the caller callers.WriteTimeout, unless the response was evicted.
func (x *exchange) extendWrite() error {
	deadline, control := time.Now().Add(callers.WriteTimeout), http.NewResponseController(x.w)
	if x.responseReservation != nil {
		return x.responseReservation.extendWrite(deadline, control)
	}
	// Writers that do not support deadlines return an error, which does not matter.
	_ = control.SetWriteDeadline(deadline)
	return nil
}

// writeBuffered writes the buffered part of a response. Only a reserved one is written in pieces, each with a deadline.
func (x *exchange) writeBuffered(response *backends.Response) (err error) {
	if x.responseReservation == nil {
		_, err = x.w.Write(response.Body)
		return err
	}
	for rest := response.Body; len(rest) > 0; {
		n := min(len(rest), callers.StreamChunkBytes)
		if err := x.extendWrite(); err != nil {
			return err
		}
		if _, err := x.w.Write(rest[:n]); err != nil {
			return err
		}
		rest = rest[n:]
	}
	return nil
}

// finishResponse gives the memory of a response back that was written whole, and clears the deadline of an eviction that came
// too late, so that it does not end the next response of the connection.
func (x *exchange) finishResponse() {
	if x.responseReservation == nil {
		return
	}
	x.responseReservation.release()
	x.responseReservation = nil
	// Writers that do not support deadlines return an error, which does not matter.
	_ = http.NewResponseController(x.w).SetWriteDeadline(time.Time{})
}

// releaseAll gives the memory of both bodies back.
func (x *exchange) releaseAll() {
	x.releaseBody()
	x.responseReservation.release()
}

// receiveBody reads the body in chunks, each of which it takes from the budget first. length is -1 if the caller does not state
// it.
func (x *exchange) receiveBody(body io.Reader, length int64) error {
	x.reserveBody(length)
	var lookahead *bufio.Reader
	if length < 0 {
		lookahead = bufio.NewReaderSize(body, lookaheadBytes)
		body = lookahead
	}
	for {
		n := int64(bodyChunkBytes)
		if length >= 0 {
			n = min(n, length-x.body.length)
		}
		if n == 0 {
			break
		}
		if x.body.length == bodyChunkBytes && length < 0 {
			if _, err := lookahead.Peek(1); errors.Is(err, io.EOF) {
				break
			}
			x.bodyReservation.moveToLarge()
		}
		if !x.bodyReservation.take(n, x.deadline, x.r.Context().Done()) {
			return x.refuseForMemory()
		}
		read, err := x.body.readChunk(body, n)
		switch {
		case errors.Is(err, io.EOF) && (length < 0 || x.body.length == length):
			return x.completeBody(n - read)
		case err != nil && x.bodyReservation.isEvicted():
			return x.refuseForMemory()
		case err != nil:
			return err
		}
	}
	return x.completeBody(0)
}

func (x *exchange) completeBody(unused int64) error {
	if !x.bodyReservation.complete(unused) {
		return x.refuseForMemory()
	}
	return nil
}

// refuseForMemory refuses a request whose body has no room. The connection is closed, since the rest of the body is not read.
func (x *exchange) refuseForMemory() error {
	x.w.Header().Set("Connection", "close")
	x.host.log.EmitRateLimited(events.BodyRefused, "", "request", x.id, "received", x.body.length, "length", x.r.ContentLength,
		"large", x.host.bodyMemory.used(memory.Large), "small", x.host.bodyMemory.used(memory.Small))
	return callers.Refuse(http.StatusServiceUnavailable, "memory-full", "the host has no memory for the body at this time").
		WithRetryAfter(maxRetryAfter)
}

// bodyTooLarge refuses a request whose body exceeds limit.
func bodyTooLarge(limit int64) *callers.Refusal {
	return callers.Refuse(http.StatusRequestEntityTooLarge, "body-too-large",
		"the body exceeds "+strconv.FormatInt(limit, 10)+" bytes")
}
