package host_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"vanillatally/core/config"
	"vanillatally/io/backends"
	"vanillatally/io/hosts"
	"vanillatally/io/operators"
	"vanillatally/io/store"
)

// holdRequest is a non-idempotent request with an idempotency key.
func holdRequest(key string) hosts.Request {
	return hosts.Request{
		Route: "holds", Method: http.MethodPost, Path: "/holds/new", Key: teamKey, IdempotencyKey: key, Body: []byte("hold"),
	}
}

func searchRequest(n int64) hosts.Request {
	return hosts.Request{Route: "search", Method: http.MethodGet, Path: fmt.Sprintf("/search/%d", n), Key: teamKey}
}

// startLoad sends searches and holds from four concurrent callers until stop is called, which returns a description of each
// failure.
func (f *fleet) startLoad() (stop func() []string) {
	ctx, cancel := context.WithCancel(context.Background())
	group := &errgroup.Group{}
	var mu sync.Mutex
	var failures []string
	var number atomic.Int64
	client := f.newCaller()
	for range 4 {
		group.Go(func() error {
			for ctx.Err() == nil {
				n := number.Add(1)
				request := searchRequest(n)
				if n%4 == 0 {
					request = holdRequest(fmt.Sprintf("load-%d", n))
				}
				// When the owner of the key is gone, each host that the client tries refuses the hold only after 3 s.
				limited, done := context.WithTimeout(context.Background(), 15*time.Second)
				response, err := client.Do(limited, request)
				done()
				if err != nil || response.Status != http.StatusOK {
					mu.Lock()
					failures = append(failures, fmt.Sprintf("%s: status %d, refusal %+v, error %v",
						request.Path, response.Status, response.Refusal, err))
					mu.Unlock()
				}
			}
			return nil
		})
	}
	return func() []string {
		cancel()
		_ = group.Wait()
		return failures
	}
}

// Guards against a planned stop that interrupts requests in flight or makes requests fail.
func TestPlannedStopInterruptsNoRequest(t *testing.T) {
	f := newFleet(t, 3, 2)
	for _, s := range f.servers {
		if err := s.SetFaults(backends.Fault{Kind: backends.FaultSlow, LatencyMS: 100}); err != nil {
			t.Fatal(err)
		}
	}
	stop := f.startLoad()
	for _, p := range f.hosts[1:] {
		if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if err := p.command.Wait(); err != nil {
			t.Errorf("%s exited with %v, want success", p.id, err)
		}
	}
	if failures := stop(); len(failures) > 0 {
		t.Errorf("%d requests failed, first: %s", len(failures), failures[0])
	}
}

// Guards against a planned stop that hangs or makes requests fail while the store is down.
func TestPlannedStopWithoutStore(t *testing.T) {
	f := newFleet(t, 3, 2)
	f.objects.SetFaults(store.Faults{Down: true})
	stop := f.startLoad()
	if err := f.hosts[1].command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := f.hosts[1].command.Wait(); err != nil {
		t.Errorf("%s exited with %v, want success", f.hosts[1].id, err)
	}
	for _, failure := range stop() {
		// A hold is refused before it runs when the owner of its key is gone. No other failure is acceptable.
		if !strings.Contains(failure, "owner-unreachable") {
			t.Errorf("request failed: %s", failure)
		}
	}
}

// Guards against a withdrawn API key that is still accepted on open connections after the change was confirmed, and against
// forwarding an API key to a backend server.
func TestWithdrawnAPIKeyIsRefusedOnOpenConnections(t *testing.T) {
	f := newFleet(t, 3, 2)
	send := func(p *hostProcess) int {
		// The default transport keeps the connection open between the calls.
		req, err := http.NewRequest(http.MethodGet, "http://"+p.caller+"/search/1?token="+teamKey, nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+teamKey)
		req.Header.Set("X-Copy-Of-Key", teamKey)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	for _, p := range f.hosts {
		if status := send(p); status != http.StatusOK {
			t.Fatalf("%s responded with %d before the API key was withdrawn", p.id, status)
		}
	}
	answer := f.apply("[teams.alpha]\ntemplate = \"standard\"\nkeys = []\n")
	if answer.State != operators.Accepted {
		t.Fatalf("the withdrawal of the API key is %s, not confirmed by %v", answer.State, answer.Unconfirmed)
	}
	for _, p := range f.hosts {
		if status := send(p); status != http.StatusUnauthorized {
			t.Errorf("%s responded with %d after the withdrawal was confirmed, want 401", p.id, status)
		}
	}
	for _, s := range f.servers {
		if leaks := s.LeakedSecrets(); len(leaks) > 0 {
			t.Errorf("the API key reached a backend server: %v", leaks)
		}
	}
}

// Guards against failed requests while the store is down, and against a new host that cannot get the configuration without the
// store.
func TestStoreOutage(t *testing.T) {
	f := newFleet(t, 3, 2)
	f.objects.SetFaults(store.Faults{Down: true})
	stop := f.startLoad()
	newHost := f.startNewHost("host-4")
	f.waitFor("the new host to serve", func(ctx context.Context) error {
		status, err := newHost.client().Status(ctx)
		if err == nil && (!status.Ready || !status.Fresh) {
			return fmt.Errorf("not ready: %+v", status)
		}
		return err
	})
	if failures := stop(); len(failures) > 0 {
		t.Errorf("%d requests failed, first: %s", len(failures), failures[0])
	}
	edits, err := config.ParseChangeFile("change.toml", []byte("[teams.alpha]\ntemplate = \"standard\"\nrate = 7.0\n"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.hosts[0].client().Apply(context.Background(), operators.ChangeRequest{ExpectedSequence: 1, Edits: edits}); err == nil {
		t.Error("a change was accepted while the store was down")
	}
}

// Guards against exceeding a rate limit because a paused host, after it resumes, spends the share of a lease that has expired.
func TestPausedHostStaysWithinRateLimit(t *testing.T) {
	f := newFleet(t, 3, 2)
	const rate, burst = 20.0, 20.0
	f.apply(fmt.Sprintf("[teams.alpha]\ntemplate = \"standard\"\nrate = %f\nburst = %f\nkeys = [%q]\n",
		rate, burst, config.HashAPIKey(teamKey)))
	start := time.Now()
	admitted := 0
	count := func(p *hostProcess, n int) {
		for i := range n {
			req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/search/%d", p.caller, i), nil)
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set("Authorization", "Bearer "+teamKey)
			resp, err := (&http.Client{Timeout: 5 * time.Second}).Do(req)
			if err != nil {
				continue
			}
			if resp.StatusCode == http.StatusOK {
				admitted++
			}
			_ = resp.Body.Close()
		}
	}
	count(f.hosts[1], 30)
	paused := f.hosts[2]
	_ = paused.command.Process.Signal(syscall.SIGSTOP)
	count(f.hosts[0], 30)
	f.waitDead(paused)
	count(f.hosts[1], 30)
	_ = paused.command.Process.Signal(syscall.SIGCONT)
	count(paused, 60)
	count(f.hosts[0], 30)
	elapsed := time.Since(start).Seconds()
	if limit := burst + rate*elapsed; float64(admitted) > limit {
		t.Errorf("%d requests were admitted in %.2f s, want at most %.1f", admitted, elapsed, limit)
	}
	f.waitFor("the host to rejoin", func(ctx context.Context) error {
		status, err := paused.client().Status(ctx)
		if err == nil && !status.LeaseValid {
			return fmt.Errorf("it has no valid lease")
		}
		return err
	})
}

// Guards against a paused host that, after it resumes, accepts an API key that was withdrawn meanwhile.
func TestPausedHostRefusesWithdrawnAPIKey(t *testing.T) {
	f := newFleet(t, 3, 2)
	paused := f.hosts[2]
	_ = paused.command.Process.Signal(syscall.SIGSTOP)
	// Other hosts close their connections to a dead host, so no message about the change waits in a socket.
	f.waitDead(paused)
	answer := f.apply("[teams.alpha]\ntemplate = \"standard\"\nkeys = []\n")
	if answer.State != operators.Accepted {
		t.Errorf("the change is %s, not confirmed by %v", answer.State, answer.Unconfirmed)
	}
	_ = paused.command.Process.Signal(syscall.SIGCONT)
	group := &errgroup.Group{}
	for i := range 40 {
		group.Go(func() error {
			req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/search/%d", paused.caller, i), nil)
			if err != nil {
				return err
			}
			req.Header.Set("Authorization", "Bearer "+teamKey)
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				return err
			}
			defer func() { _ = resp.Body.Close() }()
			if resp.StatusCode == http.StatusOK {
				return fmt.Errorf("request %d with a withdrawn API key was served", i)
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}

// Guards against invalid requests to the caller, operator and peer ports that are not refused with a client error or that change
// the configuration.
func TestInvalidRequestsAreRefused(t *testing.T) {
	f := newFleet(t, 1, 1)
	for _, c := range []struct{ method, address, path, body string }{
		{http.MethodPost, f.hosts[0].operator, "/v1/apply", "{"},
		{
			http.MethodPost, f.hosts[0].operator, "/v1/apply",
			`{"expect":1,"edits":[{"kind":"teams","name":"alpha","document":"e30=","extra":1}]}`,
		},
		{http.MethodGet, f.hosts[0].operator, "/v1/status", ""},
		{http.MethodGet, f.hosts[0].peer, "/v1/peer", ""},
		{http.MethodGet, f.hosts[0].caller, "/v1/lookup?route=none&address=127.0.0.1", ""},
		{http.MethodGet, f.hosts[0].caller, "/v1/lookup?route=search&address=nowhere", ""},
		{http.MethodGet, f.hosts[0].caller, "/unknown", ""},
		{http.MethodGet, f.hosts[0].caller, "/search/1", ""},
	} {
		req, err := http.NewRequest(c.method, "http://"+c.address+c.path, strings.NewReader(c.body))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Errorf("%s %s: %v", c.method, c.path, err)
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode < 400 || resp.StatusCode >= 500 {
			t.Errorf("%s %s responded with %d, want a status from 400 to 499", c.method, c.path, resp.StatusCode)
		}
	}
	status, err := f.hosts[0].client().Status(context.Background())
	if err != nil || status.Sequence != 1 {
		t.Errorf("after invalid requests: sequence %d, error %v, want sequence 1", status.Sequence, err)
	}
}
