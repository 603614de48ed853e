package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"vanillatally/core/config"
	"vanillatally/core/rollout"
	"vanillatally/io/platform"
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

// Guards against requests that go to a version that was found bad while they waited for a slot.
func TestRolloutRevertedDuringTheWait(t *testing.T) {
	good, bad := newBackend(t, answerOK), newBackend(t, answerOK)
	h := newTestHost(t, good, bad)
	next := *h.configuration
	next.Sequence++
	read := next.Routes["read"]
	read.Priority, read.Objective = 1, config.Duration(10*time.Second)
	read.Timeout = config.Duration(20 * time.Second)
	next.Routes = map[string]config.Route{"read": read, "write": next.Routes["write"]}
	next = next.WithIndex()
	h.SetConfiguration(&next)
	oldVersion, newVersion := h.listedServer("server-a").BackendServer, h.listedServer("server-b").BackendServer
	oldVersion.Version, newVersion.Version = "v1", "v2"
	h.SetServers([]platform.BackendServer{oldVersion, newVersion})
	setPhase := func(phase rollout.Phase) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.setRollouts([]rollout.ShortRolloutSpec{{
			Service: "search", TargetVersion: "v2", Within: 12 * time.Second, RecordedPhase: phase,
		}})
	}
	setPhase(rollout.Finished)
	line := h.waitingLines.forService(h.view.Load(), "search")
	taken := 0
	for ; line.limit.Allows(line.inFlight); taken++ {
		line.reenter()
	}
	var group errgroup.Group
	group.Go(func() error {
		r := httptest.NewRequest(http.MethodPost, "/read/1", nil)
		r.Header.Set("Secret", "red-key")
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		if w.Code != http.StatusOK {
			return errors.Newf("status %d: %s", w.Code, w.Body)
		}
		return nil
	})
	for waiting := 0; waiting == 0; runtime.Gosched() {
		line.mu.Lock()
		waiting = line.line.Len()
		line.mu.Unlock()
	}
	setPhase(rollout.Reverted)
	for range taken {
		line.leave(nil)
	}
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
	if good.requests() != 1 || bad.requests() != 0 {
		t.Errorf("the old version got %d requests and the reverted one %d, want 1 and 0", good.requests(), bad.requests())
	}
	checkLineEmpty(t, h)
}
