package permits

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"vanillatally/core/ledger"
	"vanillatally/io/peers"
)

// TestMain fixes the seed of the histories. HISTORIES sets their number and takes a new seed.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.nofailfile", "true")
	if number := os.Getenv("HISTORIES"); number != "" {
		_ = flag.Set("rapid.checks", number)
	} else {
		_ = flag.Set("rapid.seed", "1")
		_ = flag.Set("rapid.checks", "15")
	}
	goleak.VerifyTestMain(m)
}

// fleet is a set of hosts with a ledger that the test changes and an in-process network.
type fleet struct {
	mu      sync.Mutex
	network *peers.Network
	ledger  ledger.Ledger // guarded by mu
	servers map[string]Server
	hosts   []*host
	// skipTakeover has new owners grant at once, to show that the check notices.
	skipTakeover bool
	running      map[string]map[*host]int // by server, guarded by mu
	// excess is the most that valid requests exceeded the slots.
	excess map[string]int
	served int
	load   errgroup.Group
	ctx    context.Context
	cancel context.CancelFunc
}

type host struct {
	fleet   *fleet
	id      string
	service *Service
	view    ledger.Ledger
	lease   bool
	dead    bool
	stop    context.CancelFunc
	group   errgroup.Group
}

func newFleet(servers map[string]Server) *fleet {
	f := &fleet{network: peers.NewNetwork(), servers: servers, running: map[string]map[*host]int{}, excess: map[string]int{}}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.network.SetDelay(time.Millisecond)
	for id := range servers {
		f.running[id] = map[*host]int{}
	}
	return f
}

// add starts a host in failure domain a or b that joins the ledger.
func (f *fleet) add() *host {
	h := &host{fleet: f, id: fmt.Sprintf("h%d", len(f.hosts)), lease: true}
	table := peers.NewHandlerTable()
	caller := f.network.Join(h.id, peers.NewHandlerTable())
	h.service = New(Options{Host: h.id, FailureDomain: string(rune('a' + len(f.hosts)%2)), Ledger: h, Caller: caller, Handlers: table})
	h.service.SetServers(f.servers)
	f.network.Join(h.id, table)
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	f.mu.Lock()
	f.hosts = append(f.hosts, h)
	f.mu.Unlock()
	f.change(func(l *ledger.Ledger) {
		l.Members = append(l.Members, ledger.Member{Host: h.id, Incarnation: l.Epoch, Region: "r"})
	})
	h.group.Go(func() error { return h.service.Run(ctx) })
	return h
}

func (f *fleet) change(edit func(l *ledger.Ledger)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.ledger
	l.Epoch++
	l.Members = append([]ledger.Member(nil), l.Members...)
	edit(&l)
	f.ledger = l
}

// fence removes a host after its lease has ended.
func (f *fleet) fence(h *host) {
	f.change(func(l *ledger.Ledger) {
		h.lease = false
		for i, m := range l.Members {
			if m.Host == h.id {
				l.Members = append(l.Members[:i], l.Members[i+1:]...)
				return
			}
		}
	})
}

// show lets a host see the present ledger.
func (f *fleet) show(hosts ...*host) {
	f.mu.Lock()
	for _, h := range hosts {
		h.view = f.ledger
	}
	f.mu.Unlock()
	if !f.skipTakeover {
		return
	}
	for _, h := range hosts {
		for _, e := range *h.service.servers.Load() {
			e.owner.mu.Lock()
			if e.owner.takeover == nil && e.owner.pool == nil {
				answered := map[memberID]bool{}
				for _, m := range f.ledger.Members {
					answered[memberID{m.Host, m.Incarnation}] = true
				}
				e.owner.takeover = &takeover{epoch: f.ledger.Epoch, handedOver: true, answered: answered}
			}
			e.owner.mu.Unlock()
		}
	}
}

func (f *fleet) kill(h *host) {
	f.mu.Lock()
	h.dead = true
	f.mu.Unlock()
	f.network.Leave(h.id)
	h.stop()
	_ = h.group.Wait()
}

func (f *fleet) close() {
	f.cancel()
	_ = f.load.Wait()
	for _, h := range f.hosts {
		h.stop()
		_ = h.group.Wait()
	}
}

func (h *host) Ledger() ledger.Ledger {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	return h.view
}

func (h *host) LeaseValid() bool {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	return h.lease
}

// run sends one request and checks the running ones of all hosts whose permits have not expired: a
// host that is cut off cannot return what it is still running.
func (f *fleet) run(ctx context.Context, h *host, server, team string, d time.Duration) bool {
	release, err := h.service.Acquire(ctx, server, team)
	if err != nil {
		return false
	}
	f.mu.Lock()
	f.running[server][h]++
	f.served++
	valid := 0
	for o, n := range f.running[server] {
		c := &(*o.service.servers.Load())[server].cache
		c.mu.Lock()
		if !o.dead && (o == h || o.service.options.Now() < c.permits.Expiry) {
			valid += n
		}
		c.mu.Unlock()
	}
	f.excess[server] = max(f.excess[server], valid-f.servers[server].Slots)
	f.mu.Unlock()
	time.Sleep(d)
	f.mu.Lock()
	f.running[server][h]--
	f.mu.Unlock()
	release()
	return true
}
