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

var testDialect = HeaderNames{
	RequestID: "Id", TimeLeft: "Left", TeamKey: "Secret", Team: "Team", AffinityKey: "Object", ExpectedServer: "Expect-Server",
	NotRun: "Not-Run", ServerLoad: "Load", ApplicationMarker: "Proof", ServerID: "Server", ColdFor: "Cold",
}

// backend is a backend server whose behaviour a test sets.
type backend struct {
	*httptest.Server
	mu sync.Mutex
	// seen holds the headers of the requests that arrived.
	seen []http.Header
}

func newBackend(t *testing.T, answer http.HandlerFunc) *backend {
	b := &backend{}
	b.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		b.mu.Lock()
		b.seen = append(b.seen, r.Header.Clone())
		b.mu.Unlock()
		w.Header().Set("Id", r.Header.Get("Id"))
		answer(w, r)
	}))
	t.Cleanup(b.Close)
	return b
}

func (b *backend) arrivals() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.seen)
}

func good(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Proof", "yes")
	_, _ = io.WriteString(w, "whole")
}

func broken(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func unproved(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") }

func failing(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Proof", "yes")
	w.WriteHeader(http.StatusInternalServerError)
}

func refusing(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// newTestHost returns a host with two routes over the backends: /read/ may run more than once, /write/ may not.
func newTestHost(t *testing.T, backends ...*backend) *Host {
	t.Helper()
	s := settings.DefaultEntryHost()
	s.Host, s.Region, s.FailureDomain, s.Regions = "host-1", "north", "north-a", map[string]string{"north-a": "north"}
	h := New(Options{Settings: s, HeaderNames: testDialect, Log: events.NewLog(io.Discard, 0, "host-1")})
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

func call(h *Host, path, key string) *httptest.ResponseRecorder {
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

// Guards against a second run of a request that must not run twice, a success without a server's proof, a request that
// is lost although another server could answer, and a "not run" that is not true.
func TestFaultyServerBesideAGoodOne(t *testing.T) {
	for _, c := range []struct {
		name, path string
		fault      http.HandlerFunc
		status     int
		// mayRun is the largest number of servers that the request reaches; a refusal by the server does not count.
		mayRun int
	}{
		{"broken, repeatable", "/read/1", broken, http.StatusOK, 2},
		{"broken, not repeatable", "/write/1", broken, http.StatusBadGateway, 1},
		{"unproved, repeatable", "/read/1", unproved, http.StatusOK, 2},
		{"unproved, not repeatable", "/write/1", unproved, http.StatusBadGateway, 1},
		{"failing, repeatable", "/read/1", failing, http.StatusOK, 2},
		{"failing, not repeatable", "/write/1", failing, http.StatusInternalServerError, 1},
		{"refusing, repeatable", "/read/1", refusing, http.StatusOK, 2},
		{"refusing, not repeatable", "/write/1", refusing, http.StatusOK, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			for range 8 {
				bad, fine := newBackend(t, c.fault), newBackend(t, good)
				h := newTestHost(t, bad, fine)
				got := call(h, c.path, "red-key")
				if bad.arrivals() == 0 {
					continue
				}
				if got.Code != c.status || bad.arrivals()+fine.arrivals() > c.mayRun {
					t.Fatalf("status %d after %d and %d arrivals, want %d", got.Code, bad.arrivals(), fine.arrivals(), c.status)
				}
				if got.Code == http.StatusOK && (got.Body.String() != "whole" || got.Header().Get("Proof") == "") {
					t.Fatalf("answer %q", got.Body)
				}
				return
			}
			t.Fatal("the faulty server was never chosen")
		})
	}
}

// Guards against a key that a server sees, a forged team, and a request that another server could run by mistake.
func TestServerSeesTheTeamAndNotTheKey(t *testing.T) {
	b := newBackend(t, good)
	h := newTestHost(t, b)
	if got := call(h, "/write/1", "red-key"); got.Code != http.StatusOK {
		t.Fatalf("status %d: %s", got.Code, got.Body)
	}
	seen := b.seen[0]
	if seen.Get("Secret") != "" || seen.Get("Team") != "red" || seen.Get("Expect-Server") != "server-a" || seen.Get("Id") != "request-1" {
		t.Errorf("the server saw %v", seen)
	}
}

// Guards against a request of an unknown key or route that runs, and against refusals that do not say so.
func TestRefusalsWithoutARun(t *testing.T) {
	b := newBackend(t, good)
	h := newTestHost(t, b)
	for _, c := range []struct {
		path, key string
		status    int
	}{
		{"/read/1", "blue-key", http.StatusUnauthorized},
		{"/read/1", "", http.StatusUnauthorized},
		{"/other/1", "red-key", http.StatusNotFound},
	} {
		if got := call(h, c.path, c.key); got.Code != c.status || got.Header().Get("X-Request-Ran") != "not-run" {
			t.Errorf("%s with %q: status %d, ran %q", c.path, c.key, got.Code, got.Header().Get("X-Request-Ran"))
		}
	}
	if b.arrivals() != 0 {
		t.Errorf("%d requests arrived", b.arrivals())
	}
	empty := newTestHost(t)
	if got := call(empty, "/read/1", "red-key"); got.Code != http.StatusServiceUnavailable || got.Header().Get("Retry-After") == "" {
		t.Errorf("without a server: status %d, Retry-After %q", got.Code, got.Header().Get("Retry-After"))
	}
}

// Guards against a request that waits for a server which is known to be gone, and against one that is not tried elsewhere.
func TestUnreachableServer(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gone, fine := newBackend(t, good), newBackend(t, good)
	h := newTestHost(t, gone, fine)
	listed := h.listedServer("server-a").BackendServer
	listed.Address = listener.Addr().String()
	other := h.listedServer("server-b").BackendServer
	_ = listener.Close()
	h.SetServers([]platform.BackendServer{listed, other})
	for range 8 {
		if got := call(h, "/write/1", "red-key"); got.Code != http.StatusOK {
			t.Fatalf("status %d: %s", got.Code, got.Body)
		}
	}
	close(h.stopping)
	_ = h.probes.Wait()
}

// Guards against an older configuration, a leaving server and an evacuated failure domain that still get requests.
func TestViewFollowsTheStore(t *testing.T) {
	b := newBackend(t, good)
	h := newTestHost(t, b)
	old := *h.configuration
	next := old
	next.Sequence, next.Routes = 2, map[string]config.Route{"read": old.Routes["read"]}
	next = next.WithIndex()
	h.SetConfiguration(&next)
	h.SetConfiguration(&old)
	if got := call(h, "/write/1", "red-key"); got.Code != http.StatusNotFound {
		t.Errorf("dropped route: status %d", got.Code)
	}
	h.SetEvacuations([]string{"north-a"})
	if got := call(h, "/read/1", "red-key"); got.Code != http.StatusServiceUnavailable {
		t.Errorf("evacuated: status %d", got.Code)
	}
	h.SetEvacuations(nil)
	if got := call(h, "/read/1", "red-key"); got.Code != http.StatusOK {
		t.Errorf("taken back: status %d", got.Code)
	}
	leaving := h.listedServer("server-a").BackendServer
	leaving.Leaving = true
	h.SetServers([]platform.BackendServer{leaving})
	if got := call(h, "/read/1", "red-key"); got.Code != http.StatusServiceUnavailable {
		t.Errorf("leaving: status %d", got.Code)
	}
}

// Guards against a request that a stopping host takes and then cuts without an answer, because its server is too slow for
// what is left of the grace.
func TestStoppingHostAnswersWhatItCannotFinish(t *testing.T) {
	release := make(chan struct{})
	b := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		good(w, r)
	})
	h := newTestHost(t, b)
	h.drainDeadline.Store(int64(h.now() + 700*time.Millisecond))
	h.draining.Store(true)
	got := call(h, "/write/1", "red-key")
	close(release)
	if got.Code != http.StatusGatewayTimeout && got.Code != http.StatusServiceUnavailable || got.Header().Get("X-Request-Ran") == "" {
		t.Errorf("status %d: %s", got.Code, got.Body)
	}
}

// Guards against a server that is used long after its entry vanished, because others vanished before it in the grace
// after an outage of the store.
func TestVanishedServersAreKeptForOneGrace(t *testing.T) {
	backends := make([]*backend, 6)
	for i := range backends {
		backends[i] = newBackend(t, good)
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
		t.Error("an entry that lapsed in the outage is gone at once")
	}
	h.start = h.start.Add(-lapsedServerGrace / 2)
	h.SetServers(listed[2:])
	h.start = h.start.Add(-lapsedServerGrace/2 - time.Millisecond)
	h.expireUnlisted()
	h.SetServers(listed[3:])
	for _, id := range []string{"server-a", "server-b", "server-c"} {
		if h.listedServer(id) != nil {
			t.Errorf("%s is still used after the grace", id)
		}
	}
}
