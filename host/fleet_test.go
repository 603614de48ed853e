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

// settingsVariable makes the test binary run as a host with the settings that it names.
const settingsVariable = "VANILLATALLY_TEST_SETTINGS"

func TestMain(m *testing.M) {
	if file := os.Getenv(settingsVariable); file != "" {
		os.Exit(host.Run(file))
	}
	os.Exit(m.Run())
}

const (
	credential = "an-operator-credential"
	teamKey    = "a-key-of-team-alpha"
	// eventually bounds waits for a state that must come; it is no measure of speed.
	eventually = 30 * time.Second
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

// process is one host as a process of its own.
type process struct {
	id, caller, operator, peer string
	file                       string
	command                    *exec.Cmd
	log                        bytes.Buffer
}

// fleet is a set of host processes with stand-ins in the test's process.
type fleet struct {
	t        *testing.T
	objects  *store.Memory
	list     *platform.MemoryList
	endpoint string
	servers  []*backends.StandIn
	hosts    []*process
}

// addresses counts the loopback addresses that this test binary gave out.
var addresses atomic.Uint32

// freeAddress returns a port that the system has just chosen, on a loopback address that nothing else uses: on
// 127.0.0.1 an outgoing connection could take the port before the host binds it.
func freeAddress(t *testing.T) string {
	t.Helper()
	n, pid := addresses.Add(1), os.Getpid()
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+pid%250, 1+pid/250%250, 1+n%250))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// newFleet starts the stand-ins and hosts processes, and applies the configuration.
func newFleet(t *testing.T, hostCount, serverCount int) *fleet {
	t.Helper()
	f := &fleet{t: t, objects: store.NewMemory(0, 0), list: platform.NewMemoryList(platform.Listing{})}
	objects := store.NewServer(f.objects)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/v1/hosts") || strings.HasPrefix(r.URL.Path, "/v1/backend") {
			f.list.ServeHTTP(w, r)
			return
		}
		objects.ServeHTTP(w, r)
	}))
	t.Cleanup(server.CloseClientConnections)
	f.endpoint = server.URL
	var listing platform.Listing
	for i := range serverCount {
		s := backends.NewStandIn(backends.StandInOptions{ID: fmt.Sprintf("search-%d", i+1), Service: "search", Version: "v1", Slots: 8, Latency: 2 * time.Millisecond})
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
	f.list.Set(listing)
	for i := range hostCount {
		f.add(fmt.Sprintf("host-%d", i+1))
	}
	f.apply(fmt.Sprintf(configuration, config.HashAPIKey(teamKey)))
	f.waitReady()
	return f
}

// add writes the settings of one more host and starts it.
func (f *fleet) add(id string) *process {
	f.t.Helper()
	p := &process{id: id, caller: freeAddress(f.t), operator: freeAddress(f.t), peer: freeAddress(f.t)}
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
	f.start(p)
	return p
}

// start runs the process of p, also again after it ended.
func (f *fleet) start(p *process) {
	f.t.Helper()
	p.command = exec.Command(os.Args[0])
	// In a session of its own, a stopped host gets no SIGHUP when the shell that started the tests ends.
	p.command.SysProcAttr = &syscall.SysProcAttr{Setsid: true}
	p.command.Env = append(os.Environ(), settingsVariable+"="+p.file)
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
			// "signal: killed" is this clean-up; anything else says that the host ended by itself.
			f.t.Logf("%s ended with %v; its log:\n%s", p.id, ended, p.log.String())
		}
	})
}

func (p *process) client() *operators.Client { return operators.NewClient(p.operator, credential) }

// apply applies a change file through the first host, on top of what is in force.
func (f *fleet) apply(text string) operators.ChangeResult {
	f.t.Helper()
	edits, err := config.ParseChangeFile("change.toml", []byte(text))
	if err != nil {
		f.t.Fatal(err)
	}
	var answer operators.ChangeResult
	f.wait("the change to be accepted", func(ctx context.Context) error {
		current, err := f.hosts[0].client().Configuration(ctx)
		if err != nil {
			return err
		}
		answer, err = f.hosts[0].client().Apply(ctx, operators.ChangeRequest{ExpectedSequence: current.Sequence, Edits: edits})
		return err
	})
	return answer
}

// waitReady waits until every host serves, holds its lease and knows all others.
func (f *fleet) waitReady() {
	f.t.Helper()
	for _, p := range f.hosts {
		f.wait(p.id+" to be ready", func(ctx context.Context) error {
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

// waitDead waits until the first host counts p as dead, which is after its leases and its proof of freshness ended.
func (f *fleet) waitDead(p *process) {
	f.t.Helper()
	f.wait(p.id+" to count as dead", func(ctx context.Context) error {
		status, err := f.hosts[0].client().Status(ctx)
		if err != nil {
			return err
		}
		for _, m := range status.Members {
			if m.Host == p.id && m.State == membership.Dead {
				return nil
			}
		}
		return fmt.Errorf("%s still counts as alive", p.id)
	})
}

// wait polls until check succeeds.
func (f *fleet) wait(what string, check func(ctx context.Context) error) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), eventually)
	defer cancel()
	for {
		err := check(ctx)
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
			f.t.Fatalf("waited for %s: %v", what, err)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// caller returns a client that looks up at every host.
func (f *fleet) caller() *hosts.Client {
	var addresses []string
	for _, p := range f.hosts {
		addresses = append(addresses, p.caller)
	}
	client := hosts.New(addresses, "127.0.0.1")
	f.t.Cleanup(client.Close)
	return client
}

// runs counts the runs of an idempotency key over all backend servers.
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
