package entry

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"vanillatally/core/config"
	"vanillatally/io/events"
	"vanillatally/io/platform"
	"vanillatally/io/settings"
)

var testHeaderNames = HeaderNames{
	RequestID: "Id", TimeLeft: "Left", TeamKey: "Secret", Team: "Team", AffinityKey: "Object", ExpectedServer: "Expect-Server",
	NotRun: "Not-Run", ServerLoad: "Load", ServerLimit: "Limit", ApplicationMarker: "Proof", ServerID: "Server", ColdFor: "Cold",
}

// backend is a backend server whose responses a test defines.
type backend struct {
	*httptest.Server
	mu sync.Mutex
	// received holds the headers of the requests that arrived.
	received []http.Header
}

func newBackend(t *testing.T, answer http.HandlerFunc) *backend {
	b := &backend{}
	b.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		b.mu.Lock()
		b.received = append(b.received, r.Header.Clone())
		b.mu.Unlock()
		w.Header().Set("Id", r.Header.Get("Id"))
		answer(w, r)
	}))
	t.Cleanup(b.Close)
	return b
}

func (b *backend) requests() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.received)
}

func answerOK(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Proof", "yes")
	_, _ = io.WriteString(w, "whole")
}

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func answerWithoutMarker(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") }

func answerError(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Proof", "yes")
	w.WriteHeader(http.StatusInternalServerError)
}

func answerNotRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// newTestHost returns a host with two routes to the backends: requests below /read/ may run more than once, those below
// /write/ must not.
func newTestHost(t *testing.T, backends ...*backend) *Host {
	t.Helper()
	return newTestHostWith(t, settings.DefaultEntryHost(), backends...)
}

// newTestHostWith is newTestHost with further settings.
func newTestHostWith(t *testing.T, s settings.EntryHost, backends ...*backend) *Host {
	t.Helper()
	s.Host, s.Region, s.FailureDomain, s.Regions = "host-1", "north", "north-a", map[string]string{"north-a": "north"}
	h := New(Options{Settings: s, HeaderNames: testHeaderNames, Log: events.NewLog(io.Discard, 0, "host-1")})
	rate := 1000.0
	c := config.Configuration{
		Sequence: 1,
		Routes: map[string]config.Route{
			"read": {
				PathPrefix: "/read/", Service: "search", Replay: config.ReplayAllowed, Attempts: 2,
				Timeout: config.Duration(5 * time.Second), Objective: config.Duration(time.Second),
			},
			"write": {
				PathPrefix: "/write/", Service: "search", Replay: config.ReplayNever, Attempts: 2,
				Timeout: config.Duration(5 * time.Second), Objective: config.Duration(time.Second),
			},
		},
		Services: map[string]config.Service{"search": {}},
		Teams: map[string]config.Team{
			"red": {Rate: &rate, Burst: &rate, Keys: []string{config.HashAPIKey("red-key")}, Routes: []string{config.AllRoutes}},
		},
	}.WithIndex()
	h.SetConfiguration(&c)
	var listed []platform.BackendServer
	for i, b := range backends {
		listed = append(listed, platform.BackendServer{
			ID: "server-" + string(rune('a'+i)), Service: "search", Region: "north", FailureDomain: "north-a",
			Address: b.Listener.Addr().String(), Slots: 4,
		})
	}
	h.SetServers(listed)
	return h
}

func serve(h *Host, path, key string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader("body"))
	r.Header.Set("Id", "request-1")
	r.Header.Set("Left", "4000")
	r.Header.Set("Team", "forged")
	if key != "" {
		r.Header.Set("Secret", key)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// Guards against a second run of a request that must not run twice, a success without the application's marker, a request
// that fails although another server could answer it, and a wrong "not run".
func TestFaultyServerBesideAGoodOne(t *testing.T) {
	for _, c := range []struct {
		name, path string
		fault      http.HandlerFunc
		status     int
		// maxRequests is the largest number of servers that the request may reach.
		maxRequests int
	}{
		{"aborted connection, idempotent", "/read/1", abortConnection, http.StatusOK, 2},
		{"aborted connection, not idempotent", "/write/1", abortConnection, http.StatusBadGateway, 1},
		{"no marker, idempotent", "/read/1", answerWithoutMarker, http.StatusOK, 2},
		{"no marker, not idempotent", "/write/1", answerWithoutMarker, http.StatusBadGateway, 1},
		{"error response, idempotent", "/read/1", answerError, http.StatusOK, 2},
		{"error response, not idempotent", "/write/1", answerError, http.StatusInternalServerError, 1},
		{"not run, idempotent", "/read/1", answerNotRun, http.StatusOK, 2},
		{"not run, not idempotent", "/write/1", answerNotRun, http.StatusOK, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			bad, fine := newBackend(t, c.fault), newBackend(t, answerOK)
			h := newTestHost(t, bad, fine)
			h.random = preferFirstServer()
			got := serve(h, c.path, "red-key")
			if bad.requests() == 0 {
				t.Fatal("the faulty server was not chosen")
			}
			if got.Code != c.status || bad.requests()+fine.requests() > c.maxRequests {
				t.Fatalf("status %d after %d requests to the faulty server and %d to the good one, want status %d",
					got.Code, bad.requests(), fine.requests(), c.status)
			}
			if got.Code == http.StatusOK && (got.Body.String() != "whole" || got.Header().Get("Proof") == "") {
				t.Fatalf("response %q is not that of the good server", got.Body)
			}
		})
	}
}

// preferFirstServer returns a source of random numbers that lets a choice between two equal servers fall on the first one.
func preferFirstServer() func() float64 {
	calls := 0
	return func() float64 {
		calls++
		return float64((calls+1)%2) * 0.9
	}
}

// Guards against a team's key that reaches a server, a team name forged by the caller, and a request without the ID of the
// server that may run it.
func TestServerGetsTeamNameWithoutKey(t *testing.T) {
	b := newBackend(t, answerOK)
	h := newTestHost(t, b)
	if got := serve(h, "/write/1", "red-key"); got.Code != http.StatusOK {
		t.Fatalf("status %d: %s", got.Code, got.Body)
	}
	seen := b.received[0]
	if seen.Get("Secret") != "" || seen.Get("Team") != "red" || seen.Get("Expect-Server") != "server-a" ||
		seen.Get("Id") != "request-1" {
		t.Errorf("the server got the headers %v", seen)
	}
}

// Guards against a request with an unknown key or path that runs, and against refusals that do not say that the request has
// not run.
func TestRefusalSaysNotRun(t *testing.T) {
	b := newBackend(t, answerOK)
	h := newTestHost(t, b)
	for _, c := range []struct {
		path, key string
		status    int
	}{
		{"/read/1", "blue-key", http.StatusUnauthorized},
		{"/read/1", "", http.StatusUnauthorized},
		{"/other/1", "red-key", http.StatusNotFound},
	} {
		if got := serve(h, c.path, c.key); got.Code != c.status || got.Header().Get("X-Request-Ran") != "not-run" {
			t.Errorf("%s with key %q: status %d, ran %q", c.path, c.key, got.Code, got.Header().Get("X-Request-Ran"))
		}
	}
	if b.requests() != 0 {
		t.Errorf("%d requests reached the server, want none", b.requests())
	}
	empty := newTestHost(t)
	if got := serve(empty, "/read/1", "red-key"); got.Code != http.StatusServiceUnavailable ||
		got.Header().Get("Retry-After") == "" {
		t.Errorf("without servers: status %d, Retry-After %q", got.Code, got.Header().Get("Retry-After"))
	}
}

// Guards against a request that is not sent to another server when the connection to the first one fails, and against
// requests that wait for a server which is known to be down.
func TestUnreachableServerIsReplaced(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unreachable, fine := newBackend(t, answerOK), newBackend(t, answerOK)
	h := newTestHost(t, unreachable, fine)
	listed := h.listedServer("server-a").BackendServer
	listed.Address = listener.Addr().String()
	other := h.listedServer("server-b").BackendServer
	_ = listener.Close()
	h.SetServers([]platform.BackendServer{listed, other})
	for range 8 {
		if got := serve(h, "/write/1", "red-key"); got.Code != http.StatusOK {
			t.Fatalf("status %d: %s", got.Code, got.Body)
		}
	}
	close(h.stopping)
	_ = h.probes.Wait()
}

// Guards against requests that use an older configuration, a leaving server or an evacuated failure domain.
func TestViewFollowsStore(t *testing.T) {
	b := newBackend(t, answerOK)
	h := newTestHost(t, b)
	old := *h.configuration
	next := old
	next.Sequence, next.Routes = 2, map[string]config.Route{"read": old.Routes["read"]}
	next = next.WithIndex()
	h.SetConfiguration(&next)
	h.SetConfiguration(&old)
	if got := serve(h, "/write/1", "red-key"); got.Code != http.StatusNotFound {
		t.Errorf("route that the configuration dropped: status %d", got.Code)
	}
	h.SetEvacuations([]string{"north-a"})
	if got := serve(h, "/read/1", "red-key"); got.Code != http.StatusServiceUnavailable {
		t.Errorf("evacuated failure domain: status %d", got.Code)
	}
	h.SetEvacuations(nil)
	if got := serve(h, "/read/1", "red-key"); got.Code != http.StatusOK {
		t.Errorf("after the end of the evacuation: status %d", got.Code)
	}
	leaving := h.listedServer("server-a").BackendServer
	leaving.Leaving = true
	h.SetServers([]platform.BackendServer{leaving})
	if got := serve(h, "/read/1", "red-key"); got.Code != http.StatusServiceUnavailable {
		t.Errorf("leaving server: status %d", got.Code)
	}
}

// Guards against a request that a draining host accepts and then aborts without a response, because its server is too slow
// for the rest of the grace period.
func TestDrainingHostAnswersSlowRequests(t *testing.T) {
	release := make(chan struct{})
	b := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		answerOK(w, r)
	})
	h := newTestHost(t, b)
	h.drainDeadline.Store(int64(h.now() + 700*time.Millisecond))
	h.draining.Store(true)
	got := serve(h, "/write/1", "red-key")
	close(release)
	if got.Code != http.StatusGatewayTimeout && got.Code != http.StatusServiceUnavailable ||
		got.Header().Get("X-Request-Ran") == "" {
		t.Errorf("status %d: %s", got.Code, got.Body)
	}
}

// Guards against servers that are used long after they disappeared from the list: after an outage of the store, later
// disappearances must not extend the grace period.
func TestUnlistedServersAreKeptForOneGracePeriod(t *testing.T) {
	backends := make([]*backend, 6)
	for i := range backends {
		backends[i] = newBackend(t, answerOK)
	}
	h := newTestHost(t, backends...)
	var listed []platform.BackendServer
	for _, id := range []string{"server-a", "server-b", "server-c", "server-d", "server-e", "server-f"} {
		listed = append(listed, h.listedServer(id).BackendServer)
	}
	h.RecordStoreCall(BackendServers, errors.New("no answer"), true)
	h.RecordStoreCall(BackendServers, nil, true)
	h.SetServers(listed[1:])
	if h.listedServer("server-a") == nil {
		t.Error("a server whose entry expired during the outage was removed at once")
	}
	h.start = h.start.Add(-lapsedServerGrace / 2)
	h.SetServers(listed[2:])
	h.start = h.start.Add(-lapsedServerGrace/2 - time.Millisecond)
	h.expireUnlisted()
	h.SetServers(listed[3:])
	for _, id := range []string{"server-a", "server-b", "server-c"} {
		if h.listedServer(id) != nil {
			t.Errorf("%s is still used after the grace period", id)
		}
	}
}
