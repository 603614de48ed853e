package budgets

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"vanillatally/core/budget"
	"vanillatally/core/ledger"
	"vanillatally/io/peers"
	"vanillatally/io/store"
)

// serviceFleet is a fleet of running services with a common store and network in one synctest bubble.
type serviceFleet struct {
	store *store.Memory
	net   *peers.Network
	all   map[string]*Service
	stop  map[string]func()
	group errgroup.Group
}

func startServices(hosts ...string) *serviceFleet {
	f := &serviceFleet{store: store.NewMemory(0, 0), net: peers.NewNetwork(), all: map[string]*Service{}, stop: map[string]func(){}}
	f.net.SetDelay(time.Millisecond)
	for _, id := range hosts {
		f.start(id)
	}
	time.Sleep(3 * time.Second)
	return f
}

func (f *serviceFleet) start(id string) {
	table := peers.NewHandlerTable()
	teams, _ := budget.NewLimitTable(map[string]budget.Limits{"team": {Rate: 100, Burst: 50}, "small": {Rate: 2, Burst: 3}})
	links, _ := budget.NewLimitTable(map[string]budget.Limits{"x>y": {Rate: 1e6, Burst: 1e6}})
	s := New(Options{
		Host: id, Store: f.store, Caller: f.net.Join(id, table), Peers: table, Seeds: []string{"a"},
		MaxLoanWait: 200 * time.Millisecond, Seed: 7,
	}).WithTeams(teams)
	s.SetLinks(links)
	ctx, cancel := context.WithCancel(context.Background())
	f.all[id] = s
	f.stop[id] = func() {
		f.net.Leave(id)
		cancel()
		<-s.Done()
	}
	f.group.Go(func() error { return s.Run(ctx) })
}

func (f *serviceFleet) close(t *testing.T) {
	for _, stop := range f.stop {
		stop()
	}
	if err := f.group.Wait(); err != nil {
		t.Error(err)
	}
}

// holdersPerSlot returns the sum and the maximum, over all slots, of the number of hosts that hold the slot.
func (f *serviceFleet) holdersPerSlot() (sum, most int) {
	for slot := range ledger.SlotCount {
		n := 0
		for _, s := range f.all {
			if s.Holds(slot) {
				n++
			}
		}
		sum, most = sum+n, max(most, n)
	}
	return sum, most
}

// admitted returns how many of n sequential requests of the team a host admits.
func (f *serviceFleet) admitted(host, team string, n int) (count int) {
	for range n {
		if d, err := f.all[host].Admit(context.Background(), team, 1); err == nil && d.Admitted {
			count++
		}
	}
	return count
}

// Guards against a running service that fails to join, fence, rejoin, borrow, leave or stop although the state machine
// below it allows it, after faults of hosts, network and store. Afterwards each slot must have exactly one holder.
func TestServiceThroughFaults(t *testing.T) {
	for _, c := range []struct {
		name string
		act  func(t *testing.T, f *serviceFleet)
	}{
		{"no fault", func(*testing.T, *serviceFleet) {}},
		{"burst at one host", func(t *testing.T, f *serviceFleet) {
			if n := f.admitted("b", "small", 3); n != 3 {
				t.Errorf("one host admitted %d requests of a burst of 3, want all", n)
			}
		}},
		{"over rate", func(t *testing.T, f *serviceFleet) {
			start, n := time.Now(), 0
			for time.Since(start) < 2*time.Second {
				n += f.admitted("c", "team", 1)
				time.Sleep(time.Millisecond)
			}
			if n > 250 || n < 230 {
				t.Errorf("%d requests admitted in 2 s, want 230 to 250 (burst + 2 s of rate)", n)
			}
		}},
		{"host dies", func(_ *testing.T, f *serviceFleet) {
			f.stop["c"]()
			delete(f.all, "c")
		}},
		{"host leaves", func(t *testing.T, f *serviceFleet) {
			if err := f.all["c"].Leave(context.Background()); err != nil || f.all["a"].Status().Members != 2 {
				t.Errorf("Leave returned %v and the ledger has %d members, want no error and 2 members", err, f.all["a"].Status().Members)
			}
			<-f.all["c"].Done()
		}},
		{"host restarts", func(_ *testing.T, f *serviceFleet) {
			f.stop["c"]()
			f.start("c")
		}},
		{"host is cut off and rejoins", func(t *testing.T, f *serviceFleet) {
			f.net.Leave("c")
			time.Sleep(2 * time.Second)
			if f.all["c"].LeaseValid() && f.all["c"].Status().LedgerEpoch <= 6 {
				t.Error("the lease is still valid 2 s after the host was cut off")
			}
			f.net.Join("c", f.all["c"].options.Peers)
		}},
		{"join in an outage of the store borrows", func(t *testing.T, f *serviceFleet) {
			f.store.SetFaults(store.Faults{Down: true})
			f.start("d")
			time.Sleep(2 * time.Second)
			if n := f.admitted("d", "team", 10); n < 9 || f.all["d"].LeaseValid() {
				t.Errorf("a host outside the ledger admitted %d of 10 requests, want at least 9 and no valid lease", n)
			}
			f.store.SetFaults(store.Faults{})
		}},
		{"lost answers", func(_ *testing.T, f *serviceFleet) {
			f.store.SetFaults(store.Faults{LoseResponses: true})
			f.start("d")
		}},
		{"link budget", func(t *testing.T, f *serviceFleet) {
			d, err := f.all["a"].AdmitLink(context.Background(), "x>y", 3e5)
			f.all["a"].CorrectLink("x>y", -1e5)
			if err != nil || !d.Admitted {
				t.Errorf("the link budget returned decision %v, error %v; want an admission", d, err)
			}
			if _, err := f.all["a"].Admit(context.Background(), "nobody", 1); !errors.Is(err, ErrUnknownBudget) {
				t.Errorf("an unknown team got error %v, want ErrUnknownBudget", err)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startServices("a", "b", "c")
				defer f.close(t)
				c.act(t, f)
				time.Sleep(5 * time.Second)
				if sum, most := f.holdersPerSlot(); sum != ledger.SlotCount || most != 1 {
					t.Errorf("%d slots are held, by at most %d hosts each; want 64 slots with 1 host each", sum, most)
					for id, s := range f.all {
						t.Logf("%s %+v", id, s.Status())
					}
				}
			})
		})
	}
}
