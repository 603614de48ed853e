package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"vanillatally/core/memory"
	"vanillatally/core/placement"
	"vanillatally/io/backends"
)

// bodySource is a body of a request in pieces, with a function that is called before each piece.
type bodySource struct {
	pieces [][]byte
	before func(piece int)
	err    error
	read   int
}

func (s *bodySource) Read(p []byte) (int, error) {
	if s.before != nil {
		s.before(s.read)
	}
	if s.read == len(s.pieces) {
		if s.err != nil {
			return 0, s.err
		}
		return 0, io.EOF
	}
	n := copy(p, s.pieces[s.read])
	if s.pieces[s.read] = s.pieces[s.read][n:]; len(s.pieces[s.read]) == 0 {
		s.read++
	}
	return n, nil
}

func (s *bodySource) Close() error { return nil }

// piecesOf returns n pieces of the size of a chunk.
func piecesOf(n int) (pieces [][]byte) {
	for range n {
		pieces = append(pieces, make([]byte, bodyChunkBytes))
	}
	return pieces
}

// limitedTo returns limits with room for n chunks of large bodies.
func limitedTo(n int64, stallAfter time.Duration) memory.Limits {
	limits := memory.LimitsFor(1<<30, n*bodyChunkBytes)
	limits.Single, limits.StallAfter = n*bodyChunkBytes, stallAfter
	return limits
}

// deadlineRecorder is a ResponseRecorder that accepts deadlines, as the connection of a caller does.
type deadlineRecorder struct{ *httptest.ResponseRecorder }

func (deadlineRecorder) SetReadDeadline(time.Time) error  { return nil }
func (deadlineRecorder) SetWriteDeadline(time.Time) error { return nil }

// serveBody serves a request with the body. length is the stated one, or -1.
func serveBody(ctx context.Context, h *Host, path string, body io.ReadCloser, length int64) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, path, nil).WithContext(ctx)
	r.Body, r.ContentLength = body, length
	r.Header.Set("Id", "request-1")
	r.Header.Set("Secret", "red-key")
	w := deadlineRecorder{httptest.NewRecorder()}
	h.ServeHTTP(w, r)
	return w.ResponseRecorder
}

func (m *bodyMemory) expectEmpty(t *testing.T) {
	t.Helper()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.budget.Holders() != 0 || len(m.reservations) != 0 ||
		m.budget.Used(memory.Small)+m.budget.Used(memory.Large)+m.budget.Used(memory.Responses) != 0 {
		t.Errorf("%d holders and %d reservations are left, with %d, %d and %d bytes", m.budget.Holders(), len(m.reservations),
			m.budget.Used(memory.Small), m.budget.Used(memory.Large), m.budget.Used(memory.Responses))
	}
}

// Guards against a path of a request on which the memory of its body is not given back: the host would refuse all bodies in
// the end.
func TestEveryPathGivesMemoryBack(t *testing.T) {
	const chunks = 5
	long := func(w http.ResponseWriter, r *http.Request) {
		answerOK(w, r)
		_, _ = w.Write(make([]byte, 2*responseBufferBytes))
	}
	for _, c := range []struct {
		name, path string
		answer     http.HandlerFunc
		body       func(h *Host, cancel func()) *bodySource
		length     int64
		status     int
	}{
		{name: "served", path: "/write/1", answer: answerOK, length: chunks * bodyChunkBytes, status: http.StatusOK},
		{name: "served without a stated length", path: "/write/1", answer: answerOK, length: -1, status: http.StatusOK},
		{name: "long response", path: "/read/1", answer: long, length: -1, status: http.StatusOK},
		{name: "retried and failed", path: "/read/1", answer: abortConnection, length: -1, status: http.StatusBadGateway},
		{name: "server failed", path: "/write/1", answer: answerError, length: -1, status: http.StatusInternalServerError},
		{name: "not run", path: "/write/1", answer: answerNotRun, length: -1, status: http.StatusServiceUnavailable},
		{
			name: "body ends early", path: "/write/1", answer: answerOK, length: -1, status: http.StatusRequestTimeout,
			body: func(*Host, func()) *bodySource {
				return &bodySource{pieces: piecesOf(chunks), err: errors.New("connection reset")}
			},
		},
		{name: "body shorter than stated", path: "/write/1", answer: answerOK, length: 9 * bodyChunkBytes, status: http.StatusRequestTimeout},
		{
			name: "body too large", path: "/write/1", answer: answerOK, length: -1, status: http.StatusRequestEntityTooLarge,
			body: func(h *Host, _ func()) *bodySource {
				limits := *h.limits.Load()
				limits.RequestBytes = 2 * bodyChunkBytes
				h.limits.Store(&limits)
				return &bodySource{pieces: piecesOf(chunks)}
			},
		},
		{
			name: "evicted", path: "/write/1", answer: answerOK, length: -1, status: http.StatusServiceUnavailable,
			body: func(h *Host, _ func()) *bodySource {
				h.bodyMemory = newBodyMemory(h, limitedTo(chunks, 0))
				return &bodySource{pieces: piecesOf(chunks), before: func(piece int) {
					if piece == 3 {
						other := h.bodyMemory.open(memory.Large, func() {})
						other.tryTake(2 * bodyChunkBytes)
						other.release()
					}
				}}
			},
		},
		{
			name: "caller gone while it waits", path: "/write/1", answer: answerOK, length: -1, status: http.StatusServiceUnavailable,
			body: func(h *Host, cancel func()) *bodySource {
				h.bodyMemory = newBodyMemory(h, limitedTo(chunks-1, time.Hour))
				return &bodySource{pieces: piecesOf(chunks), before: func(piece int) {
					if piece == 3 {
						cancel()
					}
				}}
			},
		},
		{
			name: "panic", path: "/write/1", answer: answerOK, length: -1,
			body: func(*Host, func()) *bodySource {
				return &bodySource{pieces: piecesOf(chunks), before: func(piece int) {
					if piece == 3 {
						panic(http.ErrAbortHandler)
					}
				}}
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBackend(t, c.answer)
			h := newTestHost(t, b)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			body := &bodySource{pieces: piecesOf(chunks)}
			if c.body != nil {
				body = c.body(h, cancel)
			}
			status := 0
			func() {
				defer func() { _ = recover() }()
				status = serveBody(ctx, h, c.path, body, c.length).Code
			}()
			if status != c.status {
				t.Errorf("status %d, want %d", status, c.status)
			}
			if c.status == http.StatusServiceUnavailable && c.name != "not run" && b.requests() > 0 {
				t.Error("a refused request reached a server")
			}
			h.bodyMemory.expectEmpty(t)
			close(h.stopping)
			_ = h.probes.Wait()
		})
	}
}

// Guards against a small body without a stated length, whose end is known only after its last byte, that large ones keep out.
func TestSmallBodyOfUnknownLengthStaysSmall(t *testing.T) {
	h := newTestHost(t, newBackend(t, answerOK))
	h.bodyMemory = newBodyMemory(h, limitedTo(1, time.Hour))
	large := h.bodyMemory.open(memory.Large, func() {})
	if large.tryTake(bodyChunkBytes) != memory.Granted || !large.complete(0) {
		t.Fatal("the part for large bodies has no room")
	}
	if got := serveBody(t.Context(), h, "/write/1", &bodySource{pieces: piecesOf(1)}, -1).Code; got != http.StatusOK {
		t.Errorf("status %d", got)
	}
	large.release()
	h.bodyMemory.expectEmpty(t)
}

// Guards against a body that a server gets otherwise than the caller sent it, also in a retry, and against a fingerprint that
// other hosts do not know.
func TestBodyReachesServersUnchanged(t *testing.T) {
	for _, size := range []int{1, 100, bodyChunkBytes - 1, bodyChunkBytes, bodyChunkBytes + 1, 5*bodyChunkBytes + 17} {
		for _, stated := range []bool{true, false} {
			sent := make([]byte, size)
			for i := range sent {
				sent[i] = byte(i * 7 >> 3)
			}
			var bodies [][]byte
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				got, _ := io.ReadAll(r.Body)
				bodies = append(bodies, got)
				w.Header().Set("Id", r.Header.Get("Id"))
				if len(bodies) == 1 {
					answerError(w, r)
					return
				}
				answerOK(w, r)
			}))
			defer server.Close()
			second := &backend{Server: server}
			h := newTestHost(t, second)
			length := int64(-1)
			if stated {
				length = int64(size)
			}
			serveBody(t.Context(), h, "/write/1", io.NopCloser(bytes.NewReader(sent)), length)
			serveBody(t.Context(), h, "/write/1", io.NopCloser(bytes.NewReader(sent)), length)
			if len(bodies) != 2 || !bytes.Equal(bodies[0], sent) || !bytes.Equal(bodies[1], sent) {
				t.Errorf("%d bytes, stated %v: the servers got %d bodies that differ from the one sent", size, stated, len(bodies))
			}
			h.bodyMemory.expectEmpty(t)
		}
	}
	r := httptest.NewRequest(http.MethodPost, "/read/1", nil)
	x := &exchange{r: r, body: bufferedBody{chunks: [][]byte{[]byte("bo"), []byte("dy")}, length: 4}}
	want := placement.Hash(strings.Join([]string{"", r.Method, r.Host, r.RequestURI, "body"}, "\x00"))
	if got := x.computeFingerprint(); got != want {
		t.Errorf("fingerprint %x, want %x", got, want)
	}
}

// Guards against a response that was evicted just when it was complete: the deadline of the eviction must not end the next
// response of the connection.
func TestLateEvictionLeavesConnectionUsable(t *testing.T) {
	h := newTestHost(t, newBackend(t, answerOK))
	deadlines := &lastDeadline{ResponseRecorder: httptest.NewRecorder()}
	x := &exchange{host: h, w: deadlines}
	if !x.reserveResponse(backends.UnreservedBytes) {
		t.Fatal("an empty budget has no room for a response")
	}
	x.responseReservation.received()
	if err := x.extendWrite(); err != nil || deadlines.write.IsZero() {
		t.Fatalf("deadline %v, error %v before the eviction", deadlines.write, err)
	}
	h.bodyMemory.mu.Lock()
	h.bodyMemory.apply(memory.Change{Evicted: []memory.ID{x.responseReservation.id}})
	h.bodyMemory.mu.Unlock()
	if err := x.extendWrite(); !errors.Is(err, errEvicted) || !deadlines.write.Equal(pastDeadline) {
		t.Errorf("deadline %v, error %v after the eviction", deadlines.write, err)
	}
	x.finishResponse()
	if !deadlines.write.IsZero() {
		t.Errorf("deadline %v after the response, want none", deadlines.write)
	}
	h.bodyMemory.expectEmpty(t)
}

// lastDeadline records the write deadline that was set last.
type lastDeadline struct {
	*httptest.ResponseRecorder
	write time.Time
}

func (l *lastDeadline) SetWriteDeadline(at time.Time) error {
	l.write = at
	return nil
}

// Guards against requests without a body that allocate or lock for the budget of bodies.
func TestRequestWithoutBodyTakesNoMemory(t *testing.T) {
	h := newTestHost(t, newBackend(t, answerOK))
	h.bodyMemory.mu.Lock()
	defer h.bodyMemory.mu.Unlock()
	r := httptest.NewRequest(http.MethodGet, "/read/1", nil)
	r.Header.Set("Id", "request-1")
	r.Header.Set("Secret", "red-key")
	w := httptest.NewRecorder()
	// With a lock this call would not return.
	h.ServeHTTP(w, r)
	if w.Code != http.StatusOK {
		t.Errorf("status %d", w.Code)
	}
	x := &exchange{host: h, r: r, w: w}
	if allocated := testing.AllocsPerRun(100, func() {
		_ = x.readBody(h.view.Load().configuration)
		x.releaseAll()
	}); allocated > 0 {
		t.Errorf("%.0f allocations", allocated)
	}
}
