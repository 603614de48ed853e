package members

import (
	"context"
	"fmt"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"vanillatally/core/membership"
	"vanillatally/io/peers"
	"vanillatally/io/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fleet runs the services of several hosts over an in-process network. It is used in a synctest bubble.
type fleet struct {
	network  *peers.Network
	services map[string]*Service
	stop     map[string]context.CancelFunc
	group    errgroup.Group
	mu       sync.Mutex
	handled  map[string]int // number of handled broadcasts by host, guarded by mu
}

type testMessage struct{ Text string }

type staticList []platform.Host

func (l staticList) Hosts(context.Context) ([]platform.Host, error) {
	if l == nil {
		return nil, errors.New("platform list is unavailable")
	}
	return l, nil
}

func (staticList) BackendServers(context.Context) ([]platform.BackendServer, error) { return nil, nil }

func newFleet() *fleet {
	return &fleet{
		network: peers.NewNetwork(), services: map[string]*Service{}, stop: map[string]context.CancelFunc{},
		handled: map[string]int{},
	}
}

func (f *fleet) start(host string, options Options) *Service {
	table := peers.NewHandlerTable()
	peers.Handle(table, "note", func(_ context.Context, _ string, _ testMessage) (struct{}, error) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.handled[host]++
		return struct{}{}, nil
	})
	options.Self = membership.Member{Host: host, PeerAddress: host}
	options.Caller, options.Handlers = f.network.Join(host, peers.NewHandlerTable()), table
	s := New(options)
	f.network.Join(host, table)
	ctx, cancel := context.WithCancel(context.Background())
	f.services[host], f.stop[host] = s, cancel
	f.group.Go(func() error { return s.Run(ctx) })
	return s
}

func (f *fleet) close(t *testing.T) {
	for _, stop := range f.stop {
		stop()
	}
	if err := f.group.Wait(); err != nil {
		t.Error(err)
	}
}

func (f *fleet) startAll(n int) {
	for i := range n {
		f.start(fmt.Sprintf("h%03d", i), Options{Seeds: []string{"h000", "h001"}})
	}
}

func stateOf(s *Service, host string) membership.State {
	for _, m := range s.Members() {
		if m.Host == host {
			return m.State
		}
	}
	return ""
}

// Guards against hosts that miss a broadcast, handle it twice, or handle their own broadcast.
func TestBroadcastReachesEachOtherHostOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		f.startAll(30)
		time.Sleep(10 * time.Second)
		f.network.SetDuplicated(true)
		for range 3 {
			body := []byte{0xa1, 0x64, 'T', 'e', 'x', 't', 0x61, 'x'}
			if err := f.services["h004"].Broadcast(t.Context(), "note", body); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		for host := range f.services {
			want := 3
			if host == "h004" {
				want = 0
			}
			if f.handled[host] != want {
				t.Errorf("%s handled %d broadcasts, want %d", host, f.handled[host], want)
			}
		}
		f.close(t)
	})
}

// Guards against a full set of broadcast ids that grows further or evicts the newest ids.
func TestBroadcastIDSetIsBounded(t *testing.T) {
	seen := newBroadcastIDSet(4)
	for id := range uint64(9) {
		if !seen.add(broadcastID{"a", id}) || seen.add(broadcastID{"a", id}) {
			t.Fatalf("id %d was not added exactly once", id)
		}
	}
	if len(seen.ids) != 4 || !seen.add(broadcastID{"a", 4}) {
		t.Fatalf("%d ids are kept, want 4", len(seen.ids))
	}
}

// Guards against a host without a platform list that does not learn of one that has it, a leaving host that counts as
// alive, and a stopped host that counts as alive until its heartbeats time out.
func TestHostJoinsFromPlatformListAndLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		a := f.start("a", Options{PlatformList: staticList(nil)})
		f.start("b", Options{PlatformList: staticList{{ID: "a", PeerAddress: "a"}, {ID: "x", PeerAddress: "x"}}})
		time.Sleep(3 * time.Second)
		if stateOf(a, "b") != membership.Alive || stateOf(f.services["b"], "x") != "" {
			t.Fatalf("members are %v and %v", a.Members(), f.services["b"].Members())
		}
		if address, ok := f.services["b"].Address("x"); !ok || address != "x" {
			t.Fatal("the address of a listed host is unknown")
		}
		if err := f.services["b"].Leave(t.Context()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
		if stateOf(a, "b") != membership.Leaving {
			t.Fatalf("b is %s, want leaving", stateOf(a, "b"))
		}
		f.stop["b"]()
		<-f.services["b"].Done()
		if stateOf(a, "b") != membership.Dead {
			t.Fatalf("b is %s after it stopped, want dead", stateOf(a, "b"))
		}
		f.close(t)
	})
}

// Guards against a host that is not told of a newer configuration or ledger that a peer has.
func TestOnNewerVersionsIsCalledOnHostBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		received := make(chan membership.Versions, 100)
		newest := membership.Versions{Sequence: 7, Epoch: 3}
		f.start("a", Options{
			Versions:        func() membership.Versions { return newest },
			OnNewerVersions: func(string, membership.Versions) { t.Error("a was told of newer versions, but it has the newest") },
		})
		f.start("b", Options{Seeds: []string{"a"}, OnNewerVersions: func(_ string, got membership.Versions) { received <- got }})
		time.Sleep(2 * time.Second)
		if got := <-received; got != newest {
			t.Errorf("b was told of versions %v", got)
		}
		f.close(t)
	})
}

// Guards against a number of messages per host that grows with the fleet, and against a failed host that counts as dead
// too late. MEMBERS_HOSTS sets the number of hosts to measure.
func TestCostAndDetection(t *testing.T) {
	sizes := []int{9, 90}
	if text := os.Getenv("MEMBERS_HOSTS"); text != "" {
		sizes = []int{0}
		if _, err := fmt.Sscan(text, &sizes[0]); err != nil {
			t.Fatal(err)
		}
	}
	for _, n := range sizes {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet()
			f.startAll(n)
			// Heartbeats repeat the records of joined hosts for up to 256·3/8 s.
			time.Sleep(min(20+time.Duration(n)/2, 130) * time.Second)
			total := func() (messages, bytes uint64) {
				for host := range f.services {
					m, b := f.network.Sent(host)
					messages, bytes = messages+m, bytes+b
				}
				return messages, bytes
			}
			messages0, bytes0 := total()
			time.Sleep(10 * time.Second)
			messages1, bytes1 := total()
			messages, bytes := float64(messages1-messages0)/10/float64(n), float64(bytes1-bytes0)/10/float64(n)
			failedHost := fmt.Sprintf("h%03d", n/2)
			start := time.Now()
			f.network.Leave(failedHost)
			f.stop[failedHost]()
			delete(f.services, failedHost)
			var firstDetected, lastDetected time.Duration
			for lastDetected == 0 && time.Since(start) < 30*time.Second {
				time.Sleep(10 * time.Millisecond)
				dead := 0
				for _, s := range f.services {
					if stateOf(s, failedHost) == membership.Dead {
						dead++
					}
				}
				if dead > 0 && firstDetected == 0 {
					firstDetected = time.Since(start)
				}
				if dead == n-1 {
					lastDetected = time.Since(start)
				}
			}
			t.Logf("%d hosts: sent per host %.2f messages/s, %.0f payload bytes/s; dead at the first host after %v, at the last after %v",
				n, messages, bytes, firstDetected, lastDetected)
			if messages > 2*membership.RingCount+1 || lastDetected == 0 || lastDetected > 6*time.Second {
				t.Errorf("%.2f messages/s per host, dead at the last host after %v", messages, lastDetected)
			}
			f.close(t)
		})
	}
}
