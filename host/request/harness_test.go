package request

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"vanillatally/core/config"
	"vanillatally/io/backends"
	"vanillatally/io/callers"
	"vanillatally/io/platform"
)

const testKey = "k-5f0c2c7e9a1b4d3388aa"

// testHost is a host that serves HTTP on a loopback socket, with stand-ins as its backend servers.
type testHost struct {
	service  *Service
	standIns []*backends.StandIn
	url      string
	client   *http.Client
	events   *eventRecorder
}

type eventRecorder struct{ events chan string }

func (r *eventRecorder) RequestFinished(FinishedRequest) {}

func (r *eventRecorder) Event(name, subject string) {
	select {
	case r.events <- name + " " + subject:
	default:
	}
}

func testConfiguration() *config.Configuration {
	hash := sha256.Sum256([]byte(testKey))
	return &config.Configuration{
		Sequence:  1,
		Templates: map[string]config.TeamTemplate{"any": {Rate: 1e6, Burst: 1e6, Routes: []string{"search", "hold", "export"}}},
		Teams:     map[string]config.Team{"band": {Template: "any", Keys: []string{hex.EncodeToString(hash[:])}}},
		Routes: map[string]config.Route{
			"search": {PathPrefix: "/search", Service: "main", Class: config.ClassPrompt, Timeout: config.Duration(5 * time.Second)},
			"hold":   {PathPrefix: "/hold", Service: "main", Class: config.ClassPatient, Timeout: config.Duration(5 * time.Second)},
			"export": {PathPrefix: "/export", Service: "main", Class: config.ClassBulk, Timeout: config.Duration(5 * time.Second)},
			"open": {
				PathPrefix: "/open", Service: "main", Class: config.ClassPrompt, Open: true, Timeout: config.Duration(5 * time.Second),
			},
		},
	}
}

// loopbackCount is the number of addresses that uniqueLoopbackAddress has returned.
var loopbackCount atomic.Uint32

// uniqueLoopbackAddress returns a loopback address that no other server of the test run uses. Otherwise, the port of a crashed
// server could be given to a server of a concurrent test.
func uniqueLoopbackAddress() string {
	n := loopbackCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:0", 1+n>>14&63, n>>7&127, 1+n&127)
}

// newTestHost starts the stand-ins and a host whose options are changed by configure.
func newTestHost(t testing.TB, servers int, standIn backends.StandInOptions, configure func(*Options)) *testHost {
	t.Helper()
	f := &testHost{events: &eventRecorder{make(chan string, 1000)}}
	var backendServers []platform.BackendServer
	for i := range servers {
		o := standIn
		if o.Address == "" {
			o.Address = uniqueLoopbackAddress()
		}
		o.ID = fmt.Sprintf("b%d", i)
		s := backends.NewStandIn(o)
		if err := s.Start(); err != nil {
			t.Fatal(err)
		}
		s.WatchForSecrets(testKey)
		t.Cleanup(s.Stop)
		f.standIns = append(f.standIns, s)
		slots := o.Slots
		if slots == 0 {
			slots = 4
		}
		backendServers = append(backendServers, platform.BackendServer{
			ID: o.ID, Service: "main", Region: "r", FailureDomain: "d", Address: s.Address(), Slots: slots,
		})
	}
	configuration := testConfiguration()
	options := Options{
		Host: "h1", Region: "r", FailureDomain: "d", Hook: f.events,
		Configuration:  func() *config.Configuration { return configuration },
		BackendServers: func() []platform.BackendServer { return backendServers },
	}
	if configure != nil {
		configure(&options)
	}
	f.service = New(options)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return f.service.Run(ctx) })
	listener, err := net.Listen("tcp", uniqueLoopbackAddress())
	if err != nil {
		t.Fatal(err)
	}
	callerServer := callers.New(callers.Options{Requests: f.service, DrainNotice: time.Millisecond})
	callerServer.Start(listener)
	f.url = "http://" + listener.Addr().String()
	f.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	t.Cleanup(func() {
		f.client.CloseIdleConnections()
		shutdownCtx, cancelShutdown := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancelShutdown()
		if err := callerServer.Shutdown(shutdownCtx); err != nil {
			t.Error(err)
		}
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
	return f
}

// response is what the caller got.
type response struct {
	status int
	reason string
	ran    string
	body   string
	err    error
}

// send sends a request with the test API key; headers have the form "Name: value".
func (f *testHost) send(method, path, body string, headers ...string) response {
	return f.sendTo(context.Background(), f.url, method, path, body, headers...)
}

func (f *testHost) sendTo(ctx context.Context, url, method, path, body string, headers ...string) response {
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	r, err := http.NewRequestWithContext(ctx, method, url+path, reader)
	if err != nil {
		return response{err: err}
	}
	r.GetBody = nil
	r.Header.Set("Authorization", "Bearer "+testKey)
	for _, h := range headers {
		if name, value, ok := strings.Cut(h, ": "); ok {
			r.Header.Set(name, value)
		}
	}
	resp, err := f.client.Do(r)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header.Get("X-Refusal-Reason"), resp.Header.Get("X-Request-Ran"), string(raw), err}
}

// runs returns the number of times that requests with tag were executed, over all stand-ins.
func (f *testHost) runs(tag string) int {
	n := 0
	for _, s := range f.standIns {
		for _, run := range s.Runs() {
			if run.Tag == tag {
				n++
			}
		}
	}
	return n
}

// leakedSecrets returns the places in which the test API key reached a stand-in.
func (f *testHost) leakedSecrets() []string {
	var all []string
	for _, s := range f.standIns {
		all = append(all, s.LeakedSecrets()...)
	}
	return all
}
