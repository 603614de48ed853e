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

// fleet runs services over an in-process network, within a synctest bubble.
type fleet struct {
	network  *peers.Network
	services map[string]*Service
	stop     map[string]context.CancelFunc
	group    errgroup.Group
	mu       sync.Mutex
	handled  map[string]int // broadcasts by handling host, guarded by mu
}

type note struct{ Text string }

type fixedList []platform.Host

func (l fixedList) Hosts(context.Context) ([]platform.Host, error) {
	if l == nil {
		return nil, errors.New("list is down")
	}
	return l, nil
}

func (fixedList) BackendServers(context.Context) ([]platform.BackendServer, error) { return nil, nil }

func newFleet() *fleet {
	return &fleet{
		network: peers.NewNetwork(), services: map[string]*Service{}, stop: map[string]context.CancelFunc{},
		handled: map[string]int{},
	}
}

func (f *fleet) start(host string, options Options) *Service {
	table := peers.NewHandlerTable()
	peers.Handle(table, "note", func(_ context.Context, _ string, _ note) (struct{}, error) {
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

func state(s *Service, host string) membership.State {
	for _, m := range s.Members() {
		if m.Host == host {
			return m.State
		}
	}
	return ""
}

// Guards against hosts that miss a broadcast, handle it twice, or get back their own.
func TestBroadcastIsHandledOnceByEachOther(t *testing.T) {
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

// Guards against a full duplicate table that grows or forgets the newest ids.
func TestSeenTableIsBounded(t *testing.T) {
	seen := newSeenTable(4)
	for id := range uint64(9) {
		if !seen.add(broadcastID{"a", id}) || seen.add(broadcastID{"a", id}) {
			t.Fatalf("id %d", id)
		}
	}
	if len(seen.ids) != 4 || !seen.add(broadcastID{"a", 4}) {
		t.Fatalf("%d ids are kept, want 4", len(seen.ids))
	}
}

// Guards against a host that is found through the platform list but not without it, a leaving host
// that counts as alive, and a stopped host that others wait for.
func TestListedHostJoinsLeavesAndDeparts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		a := f.start("a", Options{PlatformList: fixedList(nil)})
		f.start("b", Options{PlatformList: fixedList{{ID: "a", PeerAddress: "a"}, {ID: "x", PeerAddress: "x"}}})
		time.Sleep(3 * time.Second)
		if state(a, "b") != membership.Alive || state(f.services["b"], "x") != "" {
			t.Fatalf("members are %v and %v", a.Members(), f.services["b"].Members())
		}
		if address, ok := f.services["b"].Address("x"); !ok || address != "x" {
			t.Fatal("no address of a listed host")
		}
		if err := f.services["b"].Leave(t.Context()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
		if state(a, "b") != membership.Leaving {
			t.Fatalf("b is %s, want leaving", state(a, "b"))
		}
		f.stop["b"]()
		<-f.services["b"].Done()
		if state(a, "b") != membership.Dead {
			t.Fatalf("b is %s, want dead at once", state(a, "b"))
		}
		f.close(t)
	})
}

// Guards against a host that stays behind because nobody tells it that newer state exists.
func TestHostBehindIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		shown := make(chan membership.Versions, 100)
		newest := membership.Versions{Sequence: 7, Epoch: 3}
		f.start("a", Options{Versions: func() membership.Versions { return newest }, OnNewerVersions: func(string, membership.Versions) { t.Error("a is not behind") }})
		f.start("b", Options{Seeds: []string{"a"}, OnNewerVersions: func(_ string, d membership.Versions) { shown <- d }})
		time.Sleep(2 * time.Second)
		if d := <-shown; d != newest {
			t.Errorf("b was shown %v", d)
		}
		f.close(t)
	})
}

// Guards against heartbeats whose cost grows with the fleet, and against slow detection. Set
// MEMBERS_HOSTS to measure another size.
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
			// The joins are repeated in heartbeats for up to 256·3/8 s.
			time.Sleep(min(20+time.Duration(n)/2, 130) * time.Second)
			total := func() (messages, bytes uint64) {
				for host := range f.services {
					m, b := f.network.Sent(host)
					messages, bytes = messages+m, bytes+b
				}
				return messages, bytes
			}
			m0, b0 := total()
			time.Sleep(10 * time.Second)
			m1, b1 := total()
			messages, bytes := float64(m1-m0)/10/float64(n), float64(b1-b0)/10/float64(n)
			victim := fmt.Sprintf("h%03d", n/2)
			start := time.Now()
			f.network.Leave(victim)
			f.stop[victim]()
			delete(f.services, victim)
			var first, last time.Duration
			for last == 0 && time.Since(start) < 30*time.Second {
				time.Sleep(10 * time.Millisecond)
				dead := 0
				for _, s := range f.services {
					if state(s, victim) == membership.Dead {
						dead++
					}
				}
				if dead > 0 && first == 0 {
					first = time.Since(start)
				}
				if dead == n-1 {
					last = time.Since(start)
				}
			}
			t.Logf("%d hosts: sent per host %.2f messages/s, %.0f payload bytes/s; dead at the first host after %v, at the last after %v",
				n, messages, bytes, first, last)
			if messages > 2*membership.RingCount+1 || last == 0 || last > 6*time.Second {
				t.Errorf("%.2f messages/s, detection after %v", messages, last)
			}
			f.close(t)
		})
	}
}
