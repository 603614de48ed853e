package request

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"vanillatally/core/quarantine"
	"vanillatally/io/backends"
	"vanillatally/io/platform"
)

// shortTimeouts sets short timeouts, so that tests of unresponsive servers are fast.
func shortTimeouts(o *Options) {
	o.HedgeDelay, o.InactivityTimeout, o.NoticePropagationDelay = 60*time.Millisecond, 250*time.Millisecond, time.Millisecond
}

// Guards against executing a non-idempotent request twice, a false "not-run", and an incomplete or foreign response, when the
// server fails after it received the request.
func TestFaultyServerGetsNonIdempotentRequestOnce(t *testing.T) {
	f := newTestHost(t, 2, backends.StandInOptions{}, shortTimeouts)
	// Fill the pool with idle connections: on reused ones, http.Transport would retry a request by itself.
	for range 8 {
		f.send("GET", "/search", "")
	}
	for _, c := range []struct {
		fault, reason, ran string
		status, runs       int
	}{
		{backends.FaultClose, "connection-closed", "unknown", 502, 1},
		{backends.FaultTruncate, "response-truncated", "unknown", 502, 1},
		{backends.FaultStall, "connection-silent", "unknown", 502, 1},
		{backends.FaultSilent, "connection-silent", "unknown", 502, 1},
		{backends.FaultCrossed, "response-mismatch", "unknown", 502, 1},
		{backends.FaultEndless, "response-malformed", "unknown", 502, 1},
		{backends.FaultDuplicate, "", "", 200, 1},
		{backends.FaultLate, "", "", 200, 1},
	} {
		for _, key := range []string{"", "Idempotency-Key: key-" + c.fault} {
			tag := c.fault + strings.TrimPrefix(key, "Idempotency-Key: ")
			if got := f.send("POST", "/hold", "x", "X-Stand-In-Fault: "+c.fault, key, "X-Run-Tag: "+tag); got.err != nil ||
				got.status != c.status || got.reason != c.reason || got.ran != c.ran || f.runs(tag) != c.runs {
				t.Errorf("%s: got %+v with %d runs, want %+v", tag, got, f.runs(tag), c)
			}
			if key != "" && c.runs == 1 {
				if got := f.send("POST", "/hold", "x", "X-Stand-In-Fault: "+c.fault, key, "X-Run-Tag: "+tag); got.ran == "not-run" ||
					f.runs(tag) != 1 {
					t.Errorf("%s was resent: got %+v with %d runs", tag, got, f.runs(tag))
				}
			}
			// Responses to later requests show whether a connection with leftover bytes was reused.
			for i := range 4 {
				next := fmt.Sprintf("after-%s-%d", tag, i)
				if got := f.send("GET", "/search", "", "X-Run-Tag: "+next); !strings.Contains(got.body, next) {
					t.Errorf("%s: got %+v", next, got)
				}
			}
		}
	}
}

// Guards against an idempotent request that fails although another server could serve it.
func TestIdempotentRequestIsRetriedAfterServerFault(t *testing.T) {
	for _, kind := range []string{
		backends.FaultClose, backends.FaultTruncate, backends.FaultStall, backends.FaultSilent, backends.FaultCrossed,
		backends.FaultEndless, backends.FaultShed, backends.FaultError,
	} {
		f := newTestHost(t, 4, backends.StandInOptions{}, shortTimeouts)
		// Each request adds a tenth of a retry to the budget. A new host starts with 3 retries, which may be used up when
		// the faulty server is chosen a fourth time; a refusal is correct then.
		for range 100 {
			f.send("GET", "/search", "")
		}
		if err := f.standIns[0].SetFaults(backends.Fault{Kind: kind}); err != nil {
			t.Fatal(err)
		}
		for i := range 8 {
			if got := f.send("GET", "/search", "", fmt.Sprintf("X-Run-Tag: %s-%d", kind, i)); got.status != 200 ||
				!strings.Contains(got.body, fmt.Sprintf("%s-%d", kind, i)) {
				t.Errorf("%s: got %+v", kind, got)
			}
		}
	}
}

// Guards against an idempotent request that waits for an unresponsive server while another server could serve it.
func TestSlowIdempotentRequestIsHedged(t *testing.T) {
	f := newTestHost(t, 4, backends.StandInOptions{}, func(o *Options) {
		o.HedgeDelay, o.InactivityTimeout = 30*time.Millisecond, time.Minute
	})
	if err := f.standIns[0].SetFaults(backends.Fault{Kind: backends.FaultSilent}); err != nil {
		t.Fatal(err)
	}
	for range 8 {
		if got := f.send("GET", "/search", ""); got.status != 200 {
			t.Errorf("got %+v", got)
		}
	}
	if len(f.standIns[0].Runs()) == 0 {
		t.Error("no request reached the unresponsive server")
	}
}

// Guards against a long streamed response that is truncated and looks complete to the caller.
func TestTruncatedLongResponseIsAborted(t *testing.T) {
	f := newTestHost(t, 1, backends.StandInOptions{BodyBytes: 300 << 10}, shortTimeouts)
	if got := f.send("POST", "/export", "x"); got.err != nil || got.status != 200 ||
		!strings.HasSuffix(strings.TrimSpace(got.body), "}") {
		t.Fatalf("without a fault: status %d, %d bytes, error %v", got.status, len(got.body), got.err)
	}
	for _, fault := range []string{backends.FaultTruncate, backends.FaultTruncateChunked, backends.FaultStall} {
		if got := f.send("POST", "/export", "x", "X-Stand-In-Fault: "+fault); got.err == nil && got.status == 200 {
			t.Errorf("%s: the caller got %d bytes as a complete response", fault, len(got.body))
		}
	}
}

// Guards against forwarding an API key to a backend server in a header, the query or a trailer.
func TestAPIKeyDoesNotReachBackendServer(t *testing.T) {
	f := newTestHost(t, 1, backends.StandInOptions{}, nil)
	encoded := "%6B" + url.QueryEscape(testKey[1:])
	for _, c := range [][]string{
		{"/search?key=" + testKey},
		{"/search?a=1&access_token=" + encoded + "&b=2"},
		{"/search?" + testKey},
		{"/search", "X-Api-Key: " + testKey},
		{"/search", "Cookie: session=" + testKey},
		{"/search", "Proxy-Authorization: Bearer " + testKey},
		{"/open?key=" + testKey, "Authorization: "},
		{"/open", "Authorization: ", "X-Token: " + testKey},
	} {
		if got := f.send("GET", c[0], "", c[1:]...); got.status != 200 {
			t.Errorf("%v: got %+v", c, got)
		}
	}
	connection, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	fmt.Fprintf(connection, "POST /hold HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nTrailer: X-Key\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX-Key: %s\r\n\r\n",
		testKey, testKey)
	resp, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil || resp.StatusCode != 200 {
		t.Fatalf("with a trailer: %v %v", resp, err)
	}
	if leaks := f.leakedSecrets(); len(leaks) > 0 {
		t.Errorf("the API key reached the backend server in %v", leaks)
	}
}

// Guards against requests on idle connections that no longer respond, and against marking their server as down.
func TestUnresponsiveIdleConnectionsAreRetired(t *testing.T) {
	f := newTestHost(t, 1, backends.StandInOptions{}, func(o *Options) {
		shortTimeouts(o)
		o.Backends.PingAfter, o.Backends.PingTimeout = 50*time.Millisecond, 100*time.Millisecond
	})
	f.send("GET", "/search", "")
	f.standIns[0].SilenceConnections()
	for event := range f.events.events {
		if strings.HasPrefix(event, string(backends.EventSilentConnectionRetired)) {
			break
		}
	}
	if got := f.send("POST", "/hold", "x"); got.status != 200 {
		t.Errorf("after the connections were retired: got %+v", got)
	}
}

// Guards against idempotent requests that go on after their caller has disconnected, and against interrupting other requests.
func TestDisconnectCancelsOnlyIdempotentRequests(t *testing.T) {
	f := newTestHost(t, 1, backends.StandInOptions{}, nil)
	for _, c := range []struct {
		method, path string
		responded    int64
	}{{"GET", "/search", 0}, {"POST", "/hold", 1}} {
		var answered atomic.Int64
		finished := make(chan FinishedRequest, 1)
		f.service.options.Hook = hookFunc(func(d FinishedRequest) {
			if d.Status == 200 {
				answered.Add(1)
			}
			finished <- d
		})
		ctx, cancel := context.WithCancel(context.Background())
		var group errgroup.Group
		group.Go(func() error {
			f.sendTo(ctx, f.url, c.method, c.path, "", "X-Run-Tag: "+c.method, "X-Stand-In-Fault: slow:400")
			return nil
		})
		for f.runs(c.method) == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
		if err := group.Wait(); err != nil {
			t.Fatal(err)
		}
		if done := <-finished; answered.Load() != c.responded {
			t.Errorf("%s: the disconnected request ended as %+v", c.method, done)
		}
	}
}

type hookFunc func(FinishedRequest)

func (h hookFunc) RequestFinished(f FinishedRequest) { h(f) }
func (hookFunc) Event(string, string)                {}

// Guards against a request that crashes more than two servers when it is resent, also through another host, and against
// quarantining other requests that ran on the same servers.
func TestCrashingRequestCrashesAtMostTwoServers(t *testing.T) {
	for _, c := range []struct{ method, fault string }{
		{"GET", backends.FaultCrash},
		{"POST", backends.FaultCrash},
		{"GET", backends.FaultCrashMidway},
		{"POST", backends.FaultCrashMidway},
	} {
		method := c.method
		claims := NewLocalClaims()
		var mu sync.Mutex
		var hosts []*Service
		configureHost := func(name string) func(*Options) {
			return func(o *Options) {
				shortTimeouts(o)
				o.Host, o.Claims = name, claims
				o.BroadcastQuarantineNotice = func(_ context.Context, n quarantine.Notice) error {
					mu.Lock()
					defer mu.Unlock()
					for _, h := range hosts {
						h.HandleQuarantineNotice(n)
					}
					return nil
				}
			}
		}
		a := newTestHost(t, 6, backends.StandInOptions{Latency: 5 * time.Millisecond}, configureHost("a"))
		b := newTestHost(t, 0, backends.StandInOptions{}, func(o *Options) {
			configureHost("b")(o)
			o.BackendServers = a.service.options.BackendServers
		})
		mu.Lock()
		hosts = []*Service{a.service, b.service}
		mu.Unlock()
		var group errgroup.Group
		for n := range 4 {
			group.Go(func() error {
				for i := range 20 {
					a.sendTo(context.Background(), a.url, "GET", fmt.Sprintf("/search?bystander=%d-%d", n, i%2), "")
				}
				return nil
			})
		}
		var last response
		for i := range 6 {
			last = a.sendTo(context.Background(), []string{a.url, b.url}[i%2], method, "/hold?killer", "",
				"X-Stand-In-Fault: "+c.fault+":60000")
			if last.status < 500 {
				t.Errorf("%s, %s: resend %d got %+v, want a server error", method, c.fault, i, last)
			}
		}
		if err := group.Wait(); err != nil {
			t.Fatal(err)
		}
		crashes := 0
		for _, s := range a.standIns {
			crashes += s.Crashes()
		}
		if crashes != 2 || last.reason != "quarantined" || last.ran != "not-run" {
			t.Errorf("%s, %s: %d servers crashed, want 2; the last resend got %+v, want \"quarantined\" and \"not-run\"",
				method, c.fault, crashes, last)
		}
		for _, e := range b.service.QuarantineEntries() {
			if e.Notice.State == quarantine.Quarantined && e.Notice.Path != "/hold" {
				t.Errorf("%s, %s: another request was quarantined: %+v", method, c.fault, e.Notice)
			}
		}
	}
}

// Guards against new requests for a server that is leaving according to the list of servers or to its own shed responses.
func TestLeavingServerGetsNoRequests(t *testing.T) {
	var list atomic.Pointer[[]platform.BackendServer]
	f := newTestHost(t, 2, backends.StandInOptions{}, func(o *Options) {
		servers := o.BackendServers()
		list.Store(&servers)
		o.BackendServers = func() []platform.BackendServer { return *list.Load() }
	})
	check := func(name string, leavingIndex int) {
		t.Helper()
		before := len(f.standIns[leavingIndex].Runs())
		shed := f.standIns[leavingIndex].Shed()
		for range 30 {
			if got := f.send("GET", "/search", ""); got.status != 200 {
				t.Errorf("%s: got %+v", name, got)
			}
		}
		if after := len(f.standIns[leavingIndex].Runs()); after != before || f.standIns[leavingIndex].Shed() != shed {
			t.Errorf("%s: the leaving server got %d requests", name, after-before)
		}
	}
	leaving := slices.Clone(*list.Load())
	leaving[0].Leaving = true
	before := *list.Load()
	list.Store(&leaving)
	time.Sleep(2 * maxSnapshotAge)
	check("list", 0)
	list.Store(&before)
	time.Sleep(2 * maxSnapshotAge)
	resp, err := http.Post("http://"+f.standIns[1].Address()+"/control/drain", "", nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	for f.standIns[1].Shed() == 0 {
		f.send("GET", "/search", "")
	}
	// The server is avoided for longer than the pause after a shed request.
	time.Sleep(2 * time.Second / 10)
	check("own notice", 1)
}

// Guards against further load on servers that shed it, and against a shed request that is reported as possibly executed.
func TestShedRequestIsRetriedOnlyWithIdempotencyKey(t *testing.T) {
	f := newTestHost(t, 3, backends.StandInOptions{}, shortTimeouts)
	for _, s := range f.standIns {
		if err := s.SetFaults(backends.Fault{Kind: backends.FaultShed, Count: 1}); err != nil {
			t.Fatal(err)
		}
	}
	if got := f.send("POST", "/hold", "x", "X-Run-Tag: unkeyed"); got.reason != "shed" || got.ran != "not-run" ||
		f.runs("unkeyed") != 0 {
		t.Errorf("a request without an idempotency key got %+v, want a refusal", got)
	}
	if got := f.send("POST", "/hold", "x", "X-Run-Tag: keyed", "Idempotency-Key: a"); got.status != 200 || f.runs("keyed") != 1 {
		t.Errorf("a request with an idempotency key got %+v, want a retry on another server", got)
	}
	shed := 0
	for _, s := range f.standIns {
		shed += s.Shed()
	}
	if shed != 3 {
		t.Errorf("%d requests were shed, want one at each server", shed)
	}
}

// Guards against forwarding a body that exceeds the configured size, with or without a stated length.
func TestLargeBodyIsRefused(t *testing.T) {
	f := newTestHost(t, 1, backends.StandInOptions{}, func(o *Options) { o.MaxRequestBodyBytes = 16 })
	if got := f.send("POST", "/hold", strings.Repeat("x", 16)); got.status != 200 {
		t.Errorf("a body of the maximum size: got %+v", got)
	}
	if got := f.send("POST", "/hold", strings.Repeat("x", 17)); got.status != 413 ||
		got.reason != "body-too-large" || got.ran != "not-run" {
		t.Errorf("a body above the maximum size: got %+v", got)
	}
	r, err := http.NewRequest(http.MethodPost, f.url+"/hold", io.MultiReader(strings.NewReader(strings.Repeat("x", 17))))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode < 400 || resp.Header.Get("X-Request-Ran") != "not-run" {
		t.Errorf("a body above the maximum size without Content-Length: got %s, ran %q", resp.Status, resp.Header.Get("X-Request-Ran"))
	}
	if runs := len(f.standIns[0].Runs()); runs != 1 {
		t.Errorf("%d requests ran, want 1", runs)
	}
}
