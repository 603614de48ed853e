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

// hold is a non-idempotent request with a key of its own.
func hold(key string) hosts.Request {
	return hosts.Request{Route: "holds", Method: http.MethodPost, Path: "/holds/new", Key: teamKey, IdempotencyKey: key, Body: []byte("hold")}
}

func search(n int64) hosts.Request {
	return hosts.Request{Route: "search", Method: http.MethodGet, Path: fmt.Sprintf("/search/%d", n), Key: teamKey}
}

// load sends searches and holds from four callers until stop is called, which returns the failures.
func (f *fleet) load() (stop func() []string) {
	ctx, cancel := context.WithCancel(context.Background())
	group := &errgroup.Group{}
	var mu sync.Mutex
	var failures []string
	var number atomic.Int64
	client := f.caller()
	for range 4 {
		group.Go(func() error {
			for ctx.Err() == nil {
				n := number.Add(1)
				request := search(n)
				if n%4 == 0 {
					request = hold(fmt.Sprintf("load-%d", n))
				}
				// A hold whose owner is gone is refused after 3 s by each of the hosts that the client tries.
				limited, done := context.WithTimeout(context.Background(), 15*time.Second)
				response, err := client.Do(limited, request)
				done()
				if err != nil || response.Status != http.StatusOK {
					mu.Lock()
					failures = append(failures, fmt.Sprintf("%s: status %d, refusal %+v, error %v", request.Path, response.Status, response.Refusal, err))
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

// Guards against a planned stop that cuts requests in flight or leaves callers with errors.
func TestPlannedStopCutsNothing(t *testing.T) {
	f := newFleet(t, 3, 2)
	for _, s := range f.servers {
		if err := s.SetFaults(backends.Fault{Kind: backends.FaultSlow, LatencyMS: 100}); err != nil {
			t.Fatal(err)
		}
	}
	stop := f.load()
	for _, p := range f.hosts[1:] {
		if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if err := p.command.Wait(); err != nil {
			t.Errorf("%s ended with %v", p.id, err)
		}
	}
	if failures := stop(); len(failures) > 0 {
		t.Errorf("%d requests failed, first: %s", len(failures), failures[0])
	}
}

// Guards against a planned stop that hangs, or cuts requests, because the store is down.
func TestPlannedStopWithoutStore(t *testing.T) {
	f := newFleet(t, 3, 2)
	f.objects.SetFaults(store.Faults{Down: true})
	stop := f.load()
	if err := f.hosts[1].command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := f.hosts[1].command.Wait(); err != nil {
		t.Errorf("%s ended with %v", f.hosts[1].id, err)
	}
	for _, failure := range stop() {
		// Holds whose owner has gone are refused before they run; nothing else may fail.
		if !strings.Contains(failure, "owner-unreachable") {
			t.Errorf("request failed: %s", failure)
		}
	}
}

// Guards against a withdrawn key that still works after the withdrawal was accepted, on a connection that stays
// open, and against a key that reaches a backend server.
func TestWithdrawnKeyStopsOnOpenConnections(t *testing.T) {
	f := newFleet(t, 3, 2)
	send := func(p *process) int {
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
			t.Fatalf("%s answered %d before the withdrawal", p.id, status)
		}
	}
	answer := f.apply("[teams.alpha]\ntemplate = \"standard\"\nkeys = []\n")
	if answer.State != operators.Accepted {
		t.Fatalf("the withdrawal is %s, not confirmed by %v", answer.State, answer.Unconfirmed)
	}
	for _, p := range f.hosts {
		if status := send(p); status != http.StatusUnauthorized {
			t.Errorf("%s answered %d after the withdrawal was accepted, want 401", p.id, status)
		}
	}
	for _, s := range f.servers {
		if seen := s.LeakedSecrets(); len(seen) > 0 {
			t.Errorf("a backend server saw the key: %v", seen)
		}
	}
}

// Guards against a store outage that stops callers, or that keeps a restarted host from getting the configuration.
func TestStoreOutage(t *testing.T) {
	f := newFleet(t, 3, 2)
	f.objects.SetFaults(store.Faults{Down: true})
	stop := f.load()
	late := f.add("host-4")
	f.wait("the new host to serve", func(ctx context.Context) error {
		status, err := late.client().Status(ctx)
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

// Guards against a frozen host that spends its old share after it wakes up, and against callers that hang on it.
func TestFrozenHostSpendsNothingAfterItsLease(t *testing.T) {
	f := newFleet(t, 3, 2)
	const rate, burst = 20.0, 20.0
	f.apply(fmt.Sprintf("[teams.alpha]\ntemplate = \"standard\"\nrate = %f\nburst = %f\nkeys = [%q]\n", rate, burst, config.HashAPIKey(teamKey)))
	start := time.Now()
	admitted := 0
	count := func(p *process, n int) {
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
	frozen := f.hosts[2]
	_ = frozen.command.Process.Signal(syscall.SIGSTOP)
	count(f.hosts[0], 30)
	f.waitDead(frozen)
	count(f.hosts[1], 30)
	_ = frozen.command.Process.Signal(syscall.SIGCONT)
	count(frozen, 60)
	count(f.hosts[0], 30)
	elapsed := time.Since(start).Seconds()
	if limit := burst + rate*elapsed; float64(admitted) > limit {
		t.Errorf("%d requests were admitted in %.2f s, at most %.1f are allowed", admitted, elapsed, limit)
	}
	f.wait("the host to rejoin", func(ctx context.Context) error {
		status, err := frozen.client().Status(ctx)
		if err == nil && !status.LeaseValid {
			return fmt.Errorf("its lease has not come back")
		}
		return err
	})
}

// Guards against a host that wakes up and honours a key that was withdrawn while it was frozen.
func TestFrozenHostHonoursNoWithdrawnKey(t *testing.T) {
	f := newFleet(t, 3, 2)
	frozen := f.hosts[2]
	_ = frozen.command.Process.Signal(syscall.SIGSTOP)
	// Its connections are retired before the change, so that no message about it waits in a socket.
	f.waitDead(frozen)
	answer := f.apply("[teams.alpha]\ntemplate = \"standard\"\nkeys = []\n")
	if answer.State != operators.Accepted {
		t.Errorf("the change is %s, not confirmed by %v", answer.State, answer.Unconfirmed)
	}
	_ = frozen.command.Process.Signal(syscall.SIGCONT)
	group := &errgroup.Group{}
	for i := range 40 {
		group.Go(func() error {
			req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/search/%d", frozen.caller, i), nil)
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
				return fmt.Errorf("request %d with a withdrawn key was served", i)
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}

// Guards against a peer or operator port that fails on foreign input instead of refusing it.
func TestForeignInputIsRefused(t *testing.T) {
	f := newFleet(t, 1, 1)
	for _, c := range []struct{ method, address, path, body string }{
		{http.MethodPost, f.hosts[0].operator, "/v1/apply", "{"},
		{http.MethodPost, f.hosts[0].operator, "/v1/apply", `{"expect":1,"edits":[{"kind":"teams","name":"alpha","document":"e30=","extra":1}]}`},
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
			t.Errorf("%s %s answered %d, want a refusal", c.method, c.path, resp.StatusCode)
		}
	}
	status, err := f.hosts[0].client().Status(context.Background())
	if err != nil || status.Sequence != 1 {
		t.Errorf("after foreign input: sequence %d, error %v", status.Sequence, err)
	}
}
