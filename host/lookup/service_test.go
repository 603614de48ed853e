package lookup

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"iter"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"vanillatally/core/config"
	"vanillatally/core/membership"
	"vanillatally/io/platform"
)

// testDeployment is a deployment of 6 failure domains in 3 regions with 9 hosts and 12 backend servers of the service
// search.
type testDeployment struct {
	members        []membership.Member
	servers        []platform.BackendServer
	now            time.Duration
	hostsWithShare []string
	shifts         []Shift
}

// newTestService returns a deployment and a lookup service that reads its fields.
func newTestService(t testing.TB) (*testDeployment, *Service) {
	d := &testDeployment{now: time.Minute}
	for i := range 9 {
		region, domain := []string{"gulf", "levant", "europe"}[i%3], string(rune('a'+i/3%2))
		d.members = append(d.members, membership.Member{
			Host: fmt.Sprintf("host-%d", i), Region: region, FailureDomain: region + "-" + domain,
			CallerAddress: fmt.Sprintf("127.0.0.%d:80", i+1), State: membership.Alive,
		})
	}
	for i := range 12 {
		region := []string{"gulf", "levant", "europe"}[i%3]
		d.servers = append(d.servers, platform.BackendServer{
			ID: fmt.Sprintf("search-%d", i), Service: "search", Region: region,
			FailureDomain: region + "-" + string(rune('a'+i/3%2)), Slots: 3,
		})
	}
	s := New(Options{
		Self:           d.members[0],
		Members:        func() []membership.Member { return slices.Clone(d.members) },
		BackendServers: func() []platform.BackendServer { return slices.Clone(d.servers) },
		Configuration: func() *config.Configuration {
			return &config.Configuration{
				Sequence: 7, Teams: map[string]config.Team{"oud": {}},
				Routes: map[string]config.Route{
					"search": {PathPrefix: "/search", Service: "search"}, "root": {PathPrefix: "/", Service: "other"},
				},
			}
		},
		ClientPrefixes: func(context.Context) (iter.Seq2[netip.Prefix, string], error) {
			return func(yield func(netip.Prefix, string) bool) {
				_ = yield(netip.MustParsePrefix("10.2.0.0/16"), "levant") && yield(netip.MustParsePrefix("2001:db8::/32"), "europe")
			}, nil
		},
		HostsWithRateShare: func(string) []string { return d.hostsWithShare },
		Shifts:             func(string) []Shift { return d.shifts },
		Now:                func() time.Duration { return d.now },
	})
	if err := s.LoadClientPrefixes(context.Background()); err != nil {
		t.Fatal(err)
	}
	return d, s
}

func get(s *Service, query string) (int, string) {
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/lookup?"+query, nil))
	return w.Code, w.Body.String()
}

// lookUp returns the response to a lookup that must succeed.
func lookUp(t *testing.T, s *Service, query string) (a Response) {
	t.Helper()
	code, body := get(s, query)
	if code != http.StatusOK {
		t.Fatalf("lookup %s: status %d, body %s", query, code, body)
	}
	if err := json.Unmarshal([]byte(body), &a); err != nil {
		t.Fatal(err)
	}
	return a
}

// Guards against a change of the published JSON format, and against errors without a machine-readable reason.
func TestResponsesAndRefusals(t *testing.T) {
	f, s := newTestService(t)
	if code, body := get(s, "route=/search"); code != http.StatusServiceUnavailable {
		t.Errorf("before the first update: status %d, body %s; want status 503", code, body)
	}
	if err := s.Update(); err != nil {
		t.Fatal(err)
	}
	f.hostsWithShare = []string{"host-7"}
	var all []byte
	for _, query := range []string{
		"route=/search/x&address=10.2.3.4&team=oud", "route=search&address=2001:db8::1", "route=/&address=192.0.2.7", "route=root",
		"route=nothing", "address=10.2.3.4", "route=/search&address=10.2.3", "route=/search&address=fe80::1%25eth0",
		"route=/search&adress=10.2.3.4", "route=/search&route=/", "route=/search&team=nobody", "route=%zz",
	} {
		code, body := get(s, query)
		all = fmt.Appendf(all, "GET /v1/lookup?%s\n%d %s\n", query, code, body)
	}
	golden := filepath.Join("testdata", "answers.txt")
	if os.Getenv("UPDATE_GOLDEN") != "" {
		if err := os.WriteFile(golden, all, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil || string(want) != string(all) {
		t.Errorf("responses differ from %s (%v); got:\n%s", golden, err, all)
	}
}

// Guards against responses with a host that is suspected, dead or leaving, and against the loss of a host moving
// callers of other hosts.
func TestLookupsOmitUnavailableHosts(t *testing.T) {
	for _, state := range []membership.State{membership.Suspected, membership.Dead, membership.Leaving} {
		f, s := newTestService(t)
		firstHosts := func() map[string]string {
			if err := s.Update(); err != nil {
				t.Fatal(err)
			}
			hosts := map[string]string{}
			for i := range 300 {
				address := fmt.Sprintf("10.2.%d.%d", i%7, i)
				if i >= 256 {
					address = fmt.Sprintf("2001:db8:%x::1", i)
				}
				a := lookUp(t, s, url.Values{"route": {"/search"}, "address": {address}}.Encode())
				for _, h := range a.Hosts {
					if h.Host == "host-4" && f.members[4].State != membership.Alive {
						t.Errorf("%s is in a response although its state is %s", h.Host, state)
					}
				}
				if a.Hosts[0].Region != a.Region {
					t.Errorf("caller %s in region %s gets a first host in region %s", address, a.Region, a.Hosts[0].Region)
				}
				hosts[address] = a.Hosts[0].Host
			}
			return hosts
		}
		before := firstHosts()
		f.members[4].State = state
		f.now += time.Second
		for address, host := range firstHosts() {
			if before[address] != "host-4" && before[address] != host {
				t.Errorf("host-4 is %s: caller %s moved from %s to %s", state, address, before[address], host)
			}
		}
		f.members[4].State = membership.Alive
		for address, host := range firstHosts() {
			if before[address] != host {
				t.Errorf("caller %s does not return to %s after host-4 is alive again", address, before[address])
			}
		}
	}
}

// Guards against a traffic shift that moves callers of other regions or another share than configured, and against
// times to live that are out of range or alike.
func TestShiftMovesConfiguredShareAndTTLHasJitter(t *testing.T) {
	f, s := newTestService(t)
	f.shifts = []Shift{{From: "levant", To: "europe", Share: 0.25}}
	if err := s.Update(); err != nil {
		t.Fatal(err)
	}
	moved, ttls := 0, map[int64]bool{}
	const callers = 2000
	for i := range callers {
		a := lookUp(t, s, fmt.Sprintf("route=/search&address=10.2.%d.%d", i/256, i%256))
		if a.Hosts[0].Region == "europe" {
			moved++
		}
		if a.TTLMillis < 4000 || a.TTLMillis > 6000 {
			t.Fatalf("time to live of %d ms, want 4000 to 6000", a.TTLMillis)
		}
		ttls[a.TTLMillis] = true
	}
	if share := float64(moved) / callers; share < 0.22 || share > 0.28 {
		t.Errorf("a share of %.3f of the callers was moved, want 0.25", share)
	}
	if len(ttls) < 500 {
		t.Errorf("%d different times to live, want at least 500", len(ttls))
	}
}

// Guards against data races between lookups and updates (with -race), and against goroutines that outlive Run.
func TestLookupsDuringUpdates(t *testing.T) {
	defer goleak.VerifyNone(t)
	_, s := newTestService(t)
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return s.Run(ctx) })
	for range 200 {
		s.RequestUpdate()
		if code, body := get(s, "route=/search&address=10.2.3.4"); code != http.StatusOK && code != http.StatusServiceUnavailable {
			t.Errorf("during an update: status %d, body %s", code, body)
		}
	}
	cancel()
	<-s.Done()
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
}

// BenchmarkHTTP compares a lookup over loopback with a handler that returns a constant of the same length.
func BenchmarkHTTP(b *testing.B) {
	for _, prefixes := range []int{63000, 210000, 630000} {
		_, s := newTestService(b)
		network := func(i int) netip.Addr { return netip.AddrFrom4([4]byte{byte(11 + i>>16), byte(i >> 8), byte(i), 0}) }
		s.options.ClientPrefixes = func(context.Context) (iter.Seq2[netip.Prefix, string], error) {
			return func(yield func(netip.Prefix, string) bool) {
				for i := range prefixes {
					if !yield(netip.PrefixFrom(network(i), 24), []string{"gulf", "levant", "europe"}[i%3]) {
						return
					}
				}
			}, nil
		}
		if err := errors.Join(s.LoadClientPrefixes(b.Context()), s.Update()); err != nil {
			b.Fatal(err)
		}
		_, constant := get(s, "route=/search&address=11.0.0.4")
		for _, c := range []struct {
			name    string
			handler http.Handler
		}{{"lookup", s.Handler()}, {"constant", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			_, _ = io.WriteString(w, constant)
		})}} {
			b.Run(fmt.Sprintf("%s/blocks=%d", c.name, prefixes), func(b *testing.B) {
				server := httptest.NewServer(c.handler)
				defer server.Close()
				client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
				defer client.CloseIdleConnections()
				b.RunParallel(func(pb *testing.PB) {
					for i := 0; pb.Next(); i += 7919 {
						r, err := client.Get(fmt.Sprintf("%s/v1/lookup?route=/search&address=%s", server.URL, network(i%prefixes)))
						if err != nil {
							b.Error(err)
							return
						}
						_, _ = io.Copy(io.Discard, r.Body)
						_ = r.Body.Close()
					}
				})
			})
		}
	}
}
