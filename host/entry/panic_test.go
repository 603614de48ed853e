package entry

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// panickingWriter panics when the handler writes to it.
type panickingWriter struct {
	http.ResponseWriter
	// headers is the number of calls of WriteHeader without a panic.
	headers int
}

func (w *panickingWriter) WriteHeader(int) {
	if w.headers--; w.headers < 0 {
		panic("writer")
	}
}

func (*panickingWriter) Write([]byte) (int, error) { panic("writer") }

// Guards against requests that count as in flight for ever, and connections that stay open, after the handler has panicked:
// the server would look busy, and the host could not drain.
func TestPanicReleasesWhatTheHandlerHolds(t *testing.T) {
	long := strings.Repeat("x", 1<<20)
	for name, c := range map[string]struct {
		headers int
		prepare func(*Host)
		// sent is set if the server gets the request.
		sent bool
	}{
		"while the request is sent":      {0, func(h *Host) { h.client = nil }, false},
		"while the response is examined": {0, func(h *Host) { h.serverLimits.host = nil }, true},
		"while the header is written":    {0, func(*Host) {}, true},
		"while the body is passed on":    {1, func(*Host) {}, true},
	} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan bool, 8)
			server := newScriptedServer(t, func(_ *scriptedServer, conn net.Conn, id string) bool {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sProof: yes\r\nLimit: 1\r\nContent-Length: %d\r\n\r\n%s",
					idLine(id), len(long), long[1:])
				_, err := conn.Read(make([]byte, 1))
				closed <- err != nil
				return false
			})
			h := newTestHost(t)
			server.list(h, 1)
			s := h.listedServer("server-0")
			c.prepare(h)
			func() {
				defer func() {
					if recover() == nil {
						t.Error("the handler did not panic")
					}
				}()
				r := httptest.NewRequest(http.MethodPost, "/write/1", strings.NewReader("body"))
				r.Header.Set("Secret", "red-key")
				h.ServeHTTP(&panickingWriter{httptest.NewRecorder(), c.headers}, r)
			}()
			if s.inFlight != 0 || h.inFlight.Load() != 0 {
				t.Errorf("%d requests in flight at the server, %d at the host, want none", s.inFlight, h.inFlight.Load())
			}
			if !c.sent {
				return
			}
			select {
			case <-closed:
			case <-time.After(10 * time.Second):
				t.Error("the connection to the server was not closed")
			}
		})
	}
}
