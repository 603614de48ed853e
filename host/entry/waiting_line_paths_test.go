package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"vanillatally/core/config"
)

// Guards against slots that are not given back: a host that loses them one by one refuses all requests in the end.
func TestSlotIsGivenBackOnEveryPath(t *testing.T) {
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	for _, c := range []struct {
		name, path string
		answer     http.HandlerFunc
		prepare    func(*Host)
		context    context.Context
		left       string
		panics     bool
	}{
		{name: "response", path: "/write/1", answer: answerOK},
		{name: "endless body", path: "/write/1", answer: func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Proof", "yes")
			_, _ = w.Write(make([]byte, 4*responseBufferBytes))
			abortConnection(w, r)
		}, panics: true},
		{name: "error of both servers", path: "/read/1", answer: answerError},
		{name: "closed connection and a second try", path: "/read/1", answer: abortConnection},
		{name: "closed connection", path: "/write/1", answer: abortConnection},
		{name: "refusal by all servers", path: "/write/1", answer: answerNotRun},
		{name: "refusal with room", path: "/write/1", answer: func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Load", "0,0,4")
			answerNotRun(w, r)
		}},
		{name: "no retry budget", path: "/write/1", answer: answerNotRun, prepare: func(h *Host) {
			limits := *h.limits.Load()
			limits.RetryShare, limits.RetrySlack = 0, 0
			h.limits.Store(&limits)
		}},
		{name: "no server", path: "/write/1", answer: answerOK, prepare: func(h *Host) { h.SetEvacuations([]string{"north-a"}) }},
		{name: "no time", path: "/write/1", answer: answerOK, left: "1"},
		{name: "caller gone", path: "/read/1", answer: answerOK, context: cancelled},
		{name: "draining", path: "/write/1", answer: answerOK, prepare: func(h *Host) { h.draining.Store(true) }},
		{name: "panic before the send", path: "/write/1", answer: answerOK, prepare: func(h *Host) { h.client = nil }, panics: true},
		{name: "panic after the response", path: "/write/1", answer: func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Limit", "1")
			answerOK(w, r)
		}, prepare: func(h *Host) { h.serverLimits.host = nil }, panics: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newTestHost(t, newBackend(t, c.answer), newBackend(t, c.answer))
			next := *h.configuration
			next.Sequence++
			read := next.Routes["read"]
			read.Priority = 1
			next.Routes = map[string]config.Route{"read": read, "write": next.Routes["write"]}
			next = next.WithIndex()
			h.SetConfiguration(&next)
			// The line exists before servers are evacuated.
			h.waitingLines.forService(h.view.Load(), "search")
			if c.prepare != nil {
				c.prepare(h)
			}
			r := httptest.NewRequest(http.MethodPost, c.path, strings.NewReader("body"))
			if c.context != nil {
				r = r.WithContext(c.context)
			}
			left := "4000"
			if c.left != "" {
				left = c.left
			}
			for name, value := range map[string]string{"Id": "request-1", "Left": left, "Secret": "red-key"} {
				r.Header.Set(name, value)
			}
			func() {
				defer func() {
					if recovered := recover(); (recovered != nil) != c.panics {
						t.Errorf("panicked with %v", recovered)
					}
				}()
				h.ServeHTTP(httptest.NewRecorder(), r)
			}()
			checkLineEmpty(t, h)
			close(h.stopping)
			_ = h.probes.Wait()
		})
	}
}
