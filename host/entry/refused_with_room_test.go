package entry

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"vanillatally/core/config"
	"vanillatally/core/placement"
)

// Guards against requests that run without their data cached, or come back too late, because a server refuses part of its
// requests although it has room; and against a full server that gets the same request again.
func TestServerThatRefusesWithRoomGetsTheRequestAgain(t *testing.T) {
	for _, c := range []struct {
		name, load string
		// home and other are the numbers of requests at the refusing server and at the other one.
		home, other int
	}{
		{"free slots", "1,0,4", 2, 0},
		{"all slots in use", "4,0,4", 1, 1},
		{"requests wait", "3,1,4", 1, 1},
		{"no load report", "", 1, 1},
		{"invalid load report", "1,0", 1, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			refused := false
			refusing := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Load", c.load)
				if refused {
					answerOK(w, r)
					return
				}
				refused = true
				answerNotRun(w, r)
			})
			other := newBackend(t, answerOK)
			h := newTestHost(t, refusing, other)
			changed := *h.view.Load().configuration
			changed.Sequence++
			write := changed.Routes["write"]
			write.Sticky = true
			changed.Routes = map[string]config.Route{"write": write}
			changed = changed.WithIndex()
			h.SetConfiguration(&changed)
			// The refusing server is the home of the request's key.
			key := ""
			for i := 0; key == ""; i++ {
				hash := placement.Hash("write key-" + strconv.Itoa(i))
				a, b := placement.Hash("server-a"), placement.Hash("server-b")
				if placement.RendezvousWeight(hash, a) > placement.RendezvousWeight(hash, b) {
					key = "key-" + strconv.Itoa(i)
				}
			}
			r := httptest.NewRequest(http.MethodPost, "/write/x", strings.NewReader("body"))
			for name, value := range map[string]string{"Id": "request-1", "Left": "4000", "Secret": "red-key", "Object": key} {
				r.Header.Set(name, value)
			}
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			if w.Code != http.StatusOK {
				t.Fatalf("status %d", w.Code)
			}
			if refusing.requests() != c.home || other.requests() != c.other {
				t.Errorf("the servers got %d and %d requests, want %d and %d",
					refusing.requests(), other.requests(), c.home, c.other)
			}
		})
	}
}

// Guards against endless attempts at a server that refuses every request, and against callers that wait for an overload that
// does not exist.
func TestServerThatAlwaysRefusesWithRoom(t *testing.T) {
	refusing := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Load", "0,0,4")
		answerNotRun(w, r)
	})
	h := newTestHost(t, refusing)
	w := serve(h, "/write/x", "red-key")
	after, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
	if w.Code != http.StatusServiceUnavailable || err != nil || after > 1.5*refusedWithRoomRetryAfter.Seconds() {
		t.Errorf("status %d, Retry-After %q, %v", w.Code, w.Header().Get("Retry-After"), err)
	}
	if got := refusing.requests(); got > maxAttempts {
		t.Errorf("%d attempts, at most %d allowed", got, maxAttempts)
	}
}
