package host_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"vanillatally/core/config"
	"vanillatally/core/membership"
	"vanillatally/host"
	"vanillatally/io/backends"
	"vanillatally/io/hosts"
	"vanillatally/io/operators"
	"vanillatally/io/platform"
	"vanillatally/io/store"
)

// settingsEnv is the environment variable with a settings file, with which the test binary runs as a host.
const settingsEnv = "VANILLATALLY_TEST_SETTINGS"

func TestMain(m *testing.M) {
	if file := os.Getenv(settingsEnv); file != "" {
		os.Exit(host.Run(file))
	}
	os.Exit(m.Run())
}

const (
	credential = "an-operator-credential"
	teamKey    = "a-key-of-team-alpha"
	// waitTimeout bounds the wait for an expected state. It is long, because it is no test of speed.
	waitTimeout = 30 * time.Second
)

const configuration = `
[templates.standard]
rate = 1000.0
burst = 1000.0
routes = ["search", "holds"]

[teams.alpha]
template = "standard"
keys = ["%s"]

[routes.search]
path-prefix = "/search"
service = "search"
class = "prompt"
timeout = "5s"

[routes.holds]
path-prefix = "/holds"
service = "search"
class = "patient"
timeout = "10s"

[routes.open]
path-prefix = "/open"
service = "search"
class = "prompt"
open = true
timeout = "5s"

[services.search]
version = "v1"

[regions.gulf]
`

// hostProcess is a host that runs as a process of its own.
type hostProcess struct {
	id, caller, operator, peer string
	file                       string
	command                    *exec.Cmd
	log                        bytes.Buffer
}

// fleet is a set of host processes. The store, the platform and the stand-ins run in the process of the test.
type fleet struct {
	t            *testing.T
	objects      *store.Memory
	platformList *platform.MemoryList
	endpoint     string
	servers      []*backends.StandIn
	hosts        []*hostProcess
}

// addressCount is the number of addresses that freeAddress has returned.
var addressCount atomic.Uint32

// freeAddress returns an address with an unused port. The loopback address is used by nothing else: on 127.0.0.1, an outgoing
// connection could take the port before the host binds it.
func freeAddress(t *testing.T) string {
	t.Helper()
	n, pid := addressCount.Add(1), os.Getpid()
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+pid%250, 1+pid/250%250, 1+n%250))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// newFleet starts the stand-ins and the host processes, and applies the configuration.
func newFleet(t *testing.T, hostCount, serverCount int) *fleet {
	t.Helper()
	f := &fleet{t: t, objects: store.NewMemory(0, 0), platformList: platform.NewMemoryList(platform.Listing{})}
	objects := store.NewServer(f.objects)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/v1/hosts") || strings.HasPrefix(r.URL.Path, "/v1/backend") {
			f.platformList.ServeHTTP(w, r)
			return
		}
		objects.ServeHTTP(w, r)
	}))
	t.Cleanup(server.CloseClientConnections)
	f.endpoint = server.URL
	var listing platform.Listing
	for i := range serverCount {
		s := backends.NewStandIn(backends.StandInOptions{
			ID: fmt.Sprintf("search-%d", i+1), Service: "search", Version: "v1", Slots: 8, Latency: 2 * time.Millisecond,
		})
		if err := s.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Stop)
		s.WatchForSecrets(teamKey)
		f.servers = append(f.servers, s)
		listing.BackendServers = append(listing.BackendServers, platform.BackendServer{
			ID: fmt.Sprintf("search-%d", i+1), Service: "search", Version: "v1", Region: "gulf", FailureDomain: "gulf-a",
			Address: s.Address(), Slots: 8, Connections: 330,
		})
	}
	f.platformList.Set(listing)
	for i := range hostCount {
		f.startNewHost(fmt.Sprintf("host-%d", i+1))
	}
	f.apply(fmt.Sprintf(configuration, config.HashAPIKey(teamKey)))
	f.waitReady()
	return f
}

// startNewHost writes the settings of another host and starts it.
func (f *fleet) startNewHost(id string) *hostProcess {
	f.t.Helper()
	p := &hostProcess{id: id, caller: freeAddress(f.t), operator: freeAddress(f.t), peer: freeAddress(f.t)}
	var seeds strings.Builder
	for _, other := range f.hosts {
		fmt.Fprintf(&seeds, "%s = %q\n", other.id, other.peer)
	}
	p.file = filepath.Join(f.t.TempDir(), id+".toml")
	text := fmt.Sprintf(`host = %q
region = "gulf"
failure-domain = "gulf-a"
caller-address = %q
peer-address = %q
operator-address = %q
store-endpoint = %q
platform-endpoint = %q
peer-secret = "a-peer-secret-of-the-tests"
operator-credential = %q
[limits]
lookup-ttl = "300ms"
[seeds]
%s`, id, p.caller, p.peer, p.operator, f.endpoint, f.endpoint, credential, seeds.String())
	if err := os.WriteFile(p.file, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	f.hosts = append(f.hosts, p)
	f.startProcess(p)
	return p
}

// startProcess starts the process of p, also after an earlier one has ended.
func (f *fleet) startProcess(p *hostProcess) {
	f.t.Helper()
	p.command = exec.Command(os.Args[0])
	// In a session of its own, a paused host gets no SIGHUP when the shell of the test run exits.
	p.command.SysProcAttr = &syscall.SysProcAttr{Setsid: true}
	p.command.Env = append(os.Environ(), settingsEnv+"="+p.file)
	p.command.Stderr = &p.log
	if err := p.command.Start(); err != nil {
		f.t.Fatal(err)
	}
	command := p.command
	f.t.Cleanup(func() {
		_ = command.Process.Signal(syscall.SIGCONT)
		_ = command.Process.Kill()
		ended := command.Wait()
		if f.t.Failed() {
			// "signal: killed" is from this cleanup; any other status means that the host exited by itself.
			f.t.Logf("%s exited with %v; its log:\n%s", p.id, ended, p.log.String())
		}
	})
}

func (p *hostProcess) client() *operators.Client { return operators.NewClient(p.operator, credential) }

// apply applies a change file through the first host, based on the configuration in force.
func (f *fleet) apply(changeFile string) operators.ChangeResult {
	f.t.Helper()
	edits, err := config.ParseChangeFile("change.toml", []byte(changeFile))
	if err != nil {
		f.t.Fatal(err)
	}
	var answer operators.ChangeResult
	f.waitFor("the change to be accepted", func(ctx context.Context) error {
		current, err := f.hosts[0].client().Configuration(ctx)
		if err != nil {
			return err
		}
		answer, err = f.hosts[0].client().Apply(ctx, operators.ChangeRequest{ExpectedSequence: current.Sequence, Edits: edits})
		return err
	})
	return answer
}

// waitReady waits until every host is ready, holds its lease and knows all other hosts.
func (f *fleet) waitReady() {
	f.t.Helper()
	for _, p := range f.hosts {
		f.waitFor(p.id+" to be ready", func(ctx context.Context) error {
			status, err := p.client().Status(ctx)
			alive := 0
			for _, m := range status.Members {
				if m.State == membership.Alive {
					alive++
				}
			}
			if err == nil && (!status.Ready || !status.Fresh || !status.LeaseValid || alive < len(f.hosts)) {
				return fmt.Errorf("not ready: %+v", status)
			}
			return err
		})
	}
}

// waitDead waits until the first host has declared p dead, which is after the lease and the proof of a fresh configuration of p
// have expired.
func (f *fleet) waitDead(p *hostProcess) {
	f.t.Helper()
	f.waitFor(p.id+" to be declared dead", func(ctx context.Context) error {
		status, err := f.hosts[0].client().Status(ctx)
		if err != nil {
			return err
		}
		for _, m := range status.Members {
			if m.Host == p.id && m.State == membership.Dead {
				return nil
			}
		}
		return fmt.Errorf("%s is not declared dead", p.id)
	})
}

// waitFor polls until check succeeds.
func (f *fleet) waitFor(what string, check func(ctx context.Context) error) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	for {
		err := check(ctx)
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
			f.t.Fatalf("timed out waiting for %s: %v", what, err)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// newCaller returns a client that sends its look-ups to all hosts.
func (f *fleet) newCaller() *hosts.Client {
	var addresses []string
	for _, p := range f.hosts {
		addresses = append(addresses, p.caller)
	}
	client := hosts.New(addresses, "127.0.0.1")
	f.t.Cleanup(client.Close)
	return client
}

// runs returns the number of executed requests with an idempotency key, over all backend servers.
func (f *fleet) runs(key string) int {
	count := 0
	for _, s := range f.servers {
		for _, run := range s.Runs() {
			if run.Key == key {
				count++
			}
		}
	}
	return count
}
