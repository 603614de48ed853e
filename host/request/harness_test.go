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

// fleet is one host between a caller and stand-ins on loopback sockets.
type fleet struct {
	service  *Service
	standIns []*backends.StandIn
	url      string
	client   *http.Client
	events   *recorder
}

type recorder struct{ events chan string }

func (r *recorder) RequestFinished(FinishedRequest) {}

func (r *recorder) Event(name, subject string) {
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
			"open":   {PathPrefix: "/open", Service: "main", Class: config.ClassPrompt, Open: true, Timeout: config.Duration(5 * time.Second)},
		},
	}
}

var loopbacks atomic.Uint32

// loopback returns an address that no other server of the test run uses. The port of a crashed server could
// otherwise be given to a server of a test that runs beside this one.
func loopback() string {
	n := loopbacks.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:0", 1+n>>14&63, n>>7&127, 1+n&127)
}

// newFleet starts servers stand-ins and one host before them.
func newFleet(t testing.TB, servers int, standIn backends.StandInOptions, adjust func(*Options)) *fleet {
	t.Helper()
	f := &fleet{events: &recorder{make(chan string, 1000)}}
	var list []platform.BackendServer
	for i := range servers {
		o := standIn
		if o.Address == "" {
			o.Address = loopback()
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
		list = append(list, platform.BackendServer{ID: o.ID, Service: "main", Region: "r", FailureDomain: "d", Address: s.Address(), Slots: slots})
	}
	configuration := testConfiguration()
	options := Options{
		Host: "h1", Region: "r", FailureDomain: "d", Hook: f.events,
		Configuration:  func() *config.Configuration { return configuration },
		BackendServers: func() []platform.BackendServer { return list },
	}
	if adjust != nil {
		adjust(&options)
	}
	f.service = New(options)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return f.service.Run(ctx) })
	listener, err := net.Listen("tcp", loopback())
	if err != nil {
		t.Fatal(err)
	}
	front := callers.New(callers.Options{Requests: f.service, DrainNotice: time.Millisecond})
	front.Start(listener)
	f.url = "http://" + listener.Addr().String()
	f.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	t.Cleanup(func() {
		f.client.CloseIdleConnections()
		stop, cancelStop := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancelStop()
		if err := front.Shutdown(stop); err != nil {
			t.Error(err)
		}
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
	return f
}

// reply is what the caller was told.
type reply struct {
	status int
	reason string
	ran    string
	body   string
	err    error
}

// send sends one request with the test key; headers are "Name: value".
func (f *fleet) send(method, path, body string, headers ...string) reply {
	return f.sendTo(context.Background(), f.url, method, path, body, headers...)
}

func (f *fleet) sendTo(ctx context.Context, url, method, path, body string, headers ...string) reply {
	var from io.Reader
	if body != "" {
		from = strings.NewReader(body)
	}
	r, err := http.NewRequestWithContext(ctx, method, url+path, from)
	if err != nil {
		return reply{err: err}
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
		return reply{err: err}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header.Get("X-Refusal-Reason"), resp.Header.Get("X-Request-Ran"), string(raw), err}
}

// runs returns the number of runs with tag at all stand-ins.
func (f *fleet) runs(tag string) int {
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

func (f *fleet) seen() []string {
	var all []string
	for _, s := range f.standIns {
		all = append(all, s.LeakedSecrets()...)
	}
	return all
}
