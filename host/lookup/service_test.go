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

// testDeployment is the Registry's deployment: 6 failure domains in 3 regions with 9 hosts and 12 servers of search.
type testDeployment struct {
	members []membership.Member
	servers []platform.BackendServer
	now     time.Duration
	holders []string
	shifts  []Shift
}

func newTestService(t testing.TB) (*testDeployment, *Service) {
	f := &testDeployment{now: time.Minute}
	for i := range 9 {
		region, domain := []string{"gulf", "levant", "europe"}[i%3], string(rune('a'+i/3%2))
		f.members = append(f.members, membership.Member{
			Host: fmt.Sprintf("host-%d", i), Region: region, FailureDomain: region + "-" + domain,
			CallerAddress: fmt.Sprintf("127.0.0.%d:80", i+1), State: membership.Alive,
		})
	}
	for i := range 12 {
		region := []string{"gulf", "levant", "europe"}[i%3]
		f.servers = append(f.servers, platform.BackendServer{
			ID: fmt.Sprintf("search-%d", i), Service: "search", Region: region,
			FailureDomain: region + "-" + string(rune('a'+i/3%2)), Slots: 3,
		})
	}
	s := New(Options{
		Self:           f.members[0],
		Members:        func() []membership.Member { return slices.Clone(f.members) },
		BackendServers: func() []platform.BackendServer { return slices.Clone(f.servers) },
		Configuration: func() *config.Configuration {
			return &config.Configuration{
				Sequence: 7, Teams: map[string]config.Team{"oud": {}},
				Routes: map[string]config.Route{"search": {PathPrefix: "/search", Service: "search"}, "root": {PathPrefix: "/", Service: "other"}},
			}
		},
		ClientPrefixes: func(context.Context) (iter.Seq2[netip.Prefix, string], error) {
			return func(yield func(netip.Prefix, string) bool) {
				_ = yield(netip.MustParsePrefix("10.2.0.0/16"), "levant") && yield(netip.MustParsePrefix("2001:db8::/32"), "europe")
			}, nil
		},
		HostsWithRateShare: func(string) []string { return f.holders },
		Shifts:             func(string) []Shift { return f.shifts },
		Now:                func() time.Duration { return f.now },
	})
	if err := s.LoadClientPrefixes(context.Background()); err != nil {
		t.Fatal(err)
	}
	return f, s
}

func get(s *Service, query string) (int, string) {
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/lookup?"+query, nil))
	return w.Code, w.Body.String()
}

func answer(t *testing.T, s *Service, query string) (a Response) {
	t.Helper()
	code, body := get(s, query)
	if code != http.StatusOK {
		t.Fatalf("%s: %d %s", query, code, body)
	}
	if err := json.Unmarshal([]byte(body), &a); err != nil {
		t.Fatal(err)
	}
	return a
}

// Guards against a change of the published JSON format, and against refusals without a machine-readable reason.
func TestAnswersAndRefusals(t *testing.T) {
	f, s := newTestService(t)
	if code, body := get(s, "route=/search"); code != http.StatusServiceUnavailable {
		t.Errorf("before the first update: %d %s", code, body)
	}
	if err := s.Update(); err != nil {
		t.Fatal(err)
	}
	f.holders = []string{"host-7"}
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
		t.Errorf("answers differ from %s (%v); got:\n%s", golden, err, all)
	}
}

// Guards against answers that name hosts that cannot serve, and against moved callers whose host was not lost.
func TestHostsThatCannotServeAreLeftOut(t *testing.T) {
	for _, state := range []membership.State{membership.Suspected, membership.Dead, membership.Leaving} {
		f, s := newTestService(t)
		first := func() map[string]string {
			if err := s.Update(); err != nil {
				t.Fatal(err)
			}
			hosts := map[string]string{}
			for i := range 300 {
				address := fmt.Sprintf("10.2.%d.%d", i%7, i)
				if i >= 256 {
					address = fmt.Sprintf("2001:db8:%x::1", i)
				}
				a := answer(t, s, url.Values{"route": {"/search"}, "address": {address}}.Encode())
				for _, h := range a.Hosts {
					if h.Host == "host-4" && f.members[4].State != membership.Alive {
						t.Errorf("%s is named though %s", h.Host, state)
					}
				}
				if a.Hosts[0].Region != a.Region {
					t.Errorf("%s in %s is sent to %s first", address, a.Region, a.Hosts[0].Region)
				}
				hosts[address] = a.Hosts[0].Host
			}
			return hosts
		}
		before := first()
		f.members[4].State = state
		f.now += time.Second
		for address, host := range first() {
			if before[address] != "host-4" && before[address] != host {
				t.Errorf("%s: %s moved from %s to %s", state, address, before[address], host)
			}
		}
		f.members[4].State = membership.Alive
		for address, host := range first() {
			if before[address] != host {
				t.Errorf("%s does not return to %s", address, before[address])
			}
		}
	}
}

// Guards against shifts that move callers of other regions or another share of them, and times to live out of range.
func TestShiftMovesItsShareAndTTLIsJittered(t *testing.T) {
	f, s := newTestService(t)
	f.shifts = []Shift{{From: "levant", To: "europe", Share: 0.25}}
	if err := s.Update(); err != nil {
		t.Fatal(err)
	}
	moved, ttls := 0, map[int64]bool{}
	const callers = 2000
	for i := range callers {
		a := answer(t, s, fmt.Sprintf("route=/search&address=10.2.%d.%d", i/256, i%256))
		if a.Hosts[0].Region == "europe" {
			moved++
		}
		if a.TTLMillis < 4000 || a.TTLMillis > 6000 {
			t.Fatalf("time to live of %d ms", a.TTLMillis)
		}
		ttls[a.TTLMillis] = true
	}
	if share := float64(moved) / callers; share < 0.22 || share > 0.28 {
		t.Errorf("a share of %.3f was moved, want 0.25", share)
	}
	if len(ttls) < 500 {
		t.Errorf("only %d different times to live", len(ttls))
	}
}

// Guards against data races between answers and updates (with -race) and against goroutines that Run leaves behind.
func TestAnswersDuringUpdates(t *testing.T) {
	defer goleak.VerifyNone(t)
	_, s := newTestService(t)
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return s.Run(ctx) })
	for range 200 {
		s.RequestUpdate()
		if code, body := get(s, "route=/search&address=10.2.3.4"); code != http.StatusOK && code != http.StatusServiceUnavailable {
			t.Errorf("%d %s", code, body)
		}
	}
	cancel()
	<-s.Done()
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
}

// BenchmarkHTTP compares the look-up with a handler that returns a constant of the same length, over loopback.
func BenchmarkHTTP(b *testing.B) {
	for _, blocks := range []int{63000, 210000, 630000} {
		_, s := newTestService(b)
		block := func(i int) netip.Addr { return netip.AddrFrom4([4]byte{byte(11 + i>>16), byte(i >> 8), byte(i), 0}) }
		s.options.ClientPrefixes = func(context.Context) (iter.Seq2[netip.Prefix, string], error) {
			return func(yield func(netip.Prefix, string) bool) {
				for i := range blocks {
					if !yield(netip.PrefixFrom(block(i), 24), []string{"gulf", "levant", "europe"}[i%3]) {
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
			b.Run(fmt.Sprintf("%s/blocks=%d", c.name, blocks), func(b *testing.B) {
				server := httptest.NewServer(c.handler)
				defer server.Close()
				client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
				defer client.CloseIdleConnections()
				b.RunParallel(func(pb *testing.PB) {
					for i := 0; pb.Next(); i += 7919 {
						r, err := client.Get(fmt.Sprintf("%s/v1/lookup?route=/search&address=%s", server.URL, block(i%blocks)))
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
