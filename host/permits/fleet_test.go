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

// TestMain makes the random tests use a fixed seed. HISTORIES sets their number of runs and makes them use a new seed.
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

// fleet is a set of hosts with an in-process network and a ledger that tests edit.
type fleet struct {
	mu      sync.Mutex
	network *peers.Network
	ledger  ledger.Ledger // guarded by mu
	servers map[string]Server
	hosts   []*host
	// skipTakeover makes new owners grant at once, which the tests must detect.
	skipTakeover bool
	running      map[string]map[*host]int // by server, guarded by mu
	// excess is, for each server, the highest number of running requests with valid permits minus its slots.
	excess map[string]int
	served int
	load   errgroup.Group
	ctx    context.Context
	cancel context.CancelFunc
}

type host struct {
	fleet         *fleet
	id            string
	service       *Service
	visibleLedger ledger.Ledger
	leaseValid    bool
	dead          bool
	stop          context.CancelFunc
	group         errgroup.Group
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

// add starts a host in failure domain a or b and adds it to the ledger.
func (f *fleet) add() *host {
	h := &host{fleet: f, id: fmt.Sprintf("h%d", len(f.hosts)), leaseValid: true}
	table := peers.NewHandlerTable()
	caller := f.network.Join(h.id, peers.NewHandlerTable())
	h.service = New(Options{
		Host: h.id, FailureDomain: string(rune('a' + len(f.hosts)%2)), Ledger: h, Caller: caller, Handlers: table,
	})
	h.service.SetServers(f.servers)
	f.network.Join(h.id, table)
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	f.mu.Lock()
	f.hosts = append(f.hosts, h)
	f.mu.Unlock()
	f.editLedger(func(l *ledger.Ledger) {
		l.Members = append(l.Members, ledger.Member{Host: h.id, Incarnation: l.Epoch, Region: "r"})
	})
	h.group.Go(func() error { return h.service.Run(ctx) })
	return h
}

func (f *fleet) editLedger(edit func(l *ledger.Ledger)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.ledger
	l.Epoch++
	l.Members = append([]ledger.Member(nil), l.Members...)
	edit(&l)
	f.ledger = l
}

// fence ends a host's lease and removes the host from the ledger.
func (f *fleet) fence(h *host) {
	f.editLedger(func(l *ledger.Ledger) {
		h.leaseValid = false
		for i, m := range l.Members {
			if m.Host == h.id {
				l.Members = append(l.Members[:i], l.Members[i+1:]...)
				return
			}
		}
	})
}

// showLedger gives hosts the present ledger.
func (f *fleet) showLedger(hosts ...*host) {
	f.mu.Lock()
	for _, h := range hosts {
		h.visibleLedger = f.ledger
	}
	f.mu.Unlock()
	if !f.skipTakeover {
		return
	}
	for _, h := range hosts {
		for _, e := range *h.service.servers.Load() {
			e.owner.mu.Lock()
			if e.owner.takeover == nil && e.owner.pool == nil {
				responded := map[memberID]bool{}
				for _, m := range f.ledger.Members {
					responded[memberID{m.Host, m.Incarnation}] = true
				}
				e.owner.takeover = &takeover{epoch: f.ledger.Epoch, handedOver: true, responded: responded}
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
	return h.visibleLedger
}

func (h *host) LeaseValid() bool {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	return h.leaseValid
}

// runRequest runs one request and records by how much the running requests exceed the server's slots. Requests at other
// hosts whose permits have expired don't count, because a host without a connection cannot end them.
func (f *fleet) runRequest(ctx context.Context, h *host, server, team string, d time.Duration) bool {
	release, err := h.service.Acquire(ctx, server, team)
	if err != nil {
		return false
	}
	f.mu.Lock()
	f.running[server][h]++
	f.served++
	running := 0
	for o, n := range f.running[server] {
		c := &(*o.service.servers.Load())[server].cache
		c.mu.Lock()
		if !o.dead && (o == h || o.service.options.Now() < c.permits.Expiry) {
			running += n
		}
		c.mu.Unlock()
	}
	f.excess[server] = max(f.excess[server], running-f.servers[server].Slots)
	f.mu.Unlock()
	time.Sleep(d)
	f.mu.Lock()
	f.running[server][h]--
	f.mu.Unlock()
	release()
	return true
}
