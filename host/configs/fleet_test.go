package configs_test

import (
	"context"
	"fmt"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"

	"vanillatally/core/config"
	"vanillatally/core/membership"
	"vanillatally/host/configs"
	"vanillatally/io/peers"
	"vanillatally/io/store"
)

// fleet is a set of hosts in this process with an in-memory store and network.
type fleet struct {
	t       testing.TB
	store   *store.Memory
	network *peers.Network
	group   errgroup.Group
	ctx     context.Context
	stop    context.CancelFunc
	hosts   []*host
	// sequenceDecreases counts how often the sequence in force at a host did not increase; it has to stay 0.
	sequenceDecreases atomic.Int64

	mu sync.Mutex
	// dead holds (observer, host) pairs: the observer counts the host as dead.
	dead map[[2]string]bool
	// neighbourCache holds each host's neighbours. It is cleared when a host is added.
	neighbourCache map[string][]string
}

type host struct {
	*configs.Service
	fleet  *fleet
	id     string
	region string
	caller peers.Caller
	table  *peers.HandlerTable
	stop   context.CancelFunc
	// muted makes the host drop its own broadcasts.
	muted atomic.Bool

	mu   sync.Mutex
	seen map[string]bool
	sent int
	// inForce holds the time at which each sequence came into force.
	inForce      map[uint64]time.Time
	lastSequence uint64
}

// timedStore ends each watch with a timer just before its context expires. A context that expires runs a function on the
// goroutine of synctest's fake clock, which crashes Go 1.26.8 with the race detector about once in 10,000 times.
type timedStore struct{ *store.Memory }

func (s timedStore) Watch(ctx context.Context, key string, after store.Version) (object store.Object, err error) {
	deadline, _ := ctx.Deadline()
	watchCtx, cancel := context.WithCancel(ctx)
	timer := time.NewTimer(time.Until(deadline) - time.Microsecond)
	defer timer.Stop()
	var group errgroup.Group
	group.Go(func() error {
		select {
		case <-timer.C:
			cancel()
		case <-watchCtx.Done():
		}
		return nil
	})
	object, err = s.Memory.Watch(watchCtx, key, after)
	cancel()
	return object, errors.CombineErrors(err, group.Wait())
}

func newFleet(t testing.TB, hosts, regions int) *fleet {
	f := &fleet{t: t, store: store.NewMemory(0, 0), network: peers.NewNetwork(), dead: map[[2]string]bool{}}
	f.ctx, f.stop = context.WithCancel(context.Background())
	for i := range hosts {
		f.hosts = append(f.hosts, f.newHost(fmt.Sprintf("host-%03d", i), fmt.Sprintf("region-%d", i%regions), timedStore{f.store}))
	}
	for _, h := range f.hosts {
		h.run()
	}
	return f
}

func (f *fleet) newHost(id, region string, objects store.Store) *host {
	h := &host{
		fleet: f, id: id, region: region, table: peers.NewHandlerTable(),
		seen: map[string]bool{}, inForce: map[uint64]time.Time{},
	}
	peers.Handle(h.table, "flood", func(ctx context.Context, from string, m floodMessage) (struct{}, error) {
		h.handleFlood(ctx, from, m)
		return struct{}{}, nil
	})
	h.caller = f.network.Join(id, h.table)
	h.Service = configs.New(configs.Options{
		Host: id, Region: region, Store: objects, Caller: h.caller, Handlers: h.table, Members: h, Seed: xxhash.Sum64String(id),
	})
	h.Subscribe(func(c *config.Configuration) {
		h.mu.Lock()
		defer h.mu.Unlock()
		if c.Sequence <= h.lastSequence {
			f.sequenceDecreases.Add(1)
		}
		h.lastSequence, h.inForce[c.Sequence] = c.Sequence, time.Now()
	})
	return h
}

// add adds a host to the fleet. It replaces a host with the same id.
func (f *fleet) add(added *host) *host {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, h := range f.hosts {
		if h.id == added.id {
			f.hosts[i] = added
			return added
		}
	}
	f.hosts, f.neighbourCache = append(f.hosts, added), nil
	return added
}

func (h *host) run() {
	var ctx context.Context
	ctx, h.stop = context.WithCancel(h.fleet.ctx)
	h.fleet.group.Go(func() error { return h.Run(ctx) })
}

func (f *fleet) close() {
	f.stop()
	if err := f.group.Wait(); err != nil {
		f.t.Error(err)
	}
	if n := f.sequenceDecreases.Load(); n != 0 {
		f.t.Errorf("the sequence at a host did not increase %d times", n)
	}
}

// partition cuts the network between the given hosts and all others in both directions, or restores it.
func (f *fleet) partition(disconnected bool, ids ...string) {
	inside := map[string]bool{}
	for _, id := range ids {
		inside[id] = true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.hosts {
		for _, b := range f.hosts {
			if inside[a.id] != inside[b.id] {
				f.network.SetLinkDown(a.id, b.id, disconnected)
			}
		}
	}
}

func (f *fleet) setDead(observer, id string, dead bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dead[[2]string{observer, id}] = dead
}

// floodMessage is a broadcast that each host forwards once to its neighbours on three rings.
type floodMessage struct {
	ID   string `cbor:"i"`
	Kind string `cbor:"k"`
	Body []byte `cbor:"b"`
}

func (h *host) Members() (members []membership.Member) {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	for _, other := range h.fleet.hosts {
		m := membership.Member{Host: other.id, Region: other.region, State: membership.Alive}
		if h.fleet.dead[[2]string{h.id, other.id}] {
			m.State = membership.Dead
		}
		members = append(members, m)
	}
	return members
}

func (h *host) Broadcast(ctx context.Context, kind string, body []byte) error {
	if h.muted.Load() {
		return nil
	}
	h.mu.Lock()
	h.sent++
	m := floodMessage{ID: fmt.Sprintf("%s/%d", h.id, h.sent), Kind: kind, Body: body}
	h.seen[m.ID] = true
	h.mu.Unlock()
	h.forward(ctx, "", m)
	return nil
}

func (h *host) handleFlood(ctx context.Context, from string, m floodMessage) {
	h.mu.Lock()
	again := h.seen[m.ID]
	h.seen[m.ID] = true
	h.mu.Unlock()
	if again {
		return
	}
	if handler, ok := h.table.Lookup(m.Kind); ok {
		if _, err := handler(ctx, from, m.Body); err != nil {
			h.fleet.t.Error(err)
		}
	}
	h.forward(ctx, from, m)
}

func (h *host) forward(_ context.Context, from string, m floodMessage) {
	body, err := cbor.Marshal(m)
	if err != nil {
		h.fleet.t.Error(err)
	}
	for _, to := range h.fleet.neighbours(h.id) {
		if to != from {
			h.fleet.group.Go(func() error {
				_ = h.caller.Send(h.fleet.ctx, to, "flood", body) // tests lose messages on purpose
				return nil
			})
		}
	}
}

// neighbours returns the host's successors and predecessors on three rings.
func (f *fleet) neighbours(id string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.neighbourCache[id] != nil {
		return f.neighbourCache[id]
	}
	f.neighbourCache = map[string][]string{}
	for ring := range 3 {
		order := append([]*host(nil), f.hosts...)
		position := func(h *host) uint64 { return xxhash.Sum64String(h.id + string(rune('0'+ring))) }
		sort.Slice(order, func(i, j int) bool { return position(order[i]) < position(order[j]) })
		for i, h := range order {
			for _, n := range []*host{order[(i+1)%len(order)], order[(i+len(order)-1)%len(order)]} {
				if n != h && !slices.Contains(f.neighbourCache[h.id], n.id) {
					f.neighbourCache[h.id] = append(f.neighbourCache[h.id], n.id)
				}
			}
		}
	}
	return f.neighbourCache[id]
}

// eventually fails the test if a condition does not hold within d.
func (f *fleet) eventually(d time.Duration, what string, holds func() bool) {
	f.t.Helper()
	for end := time.Now().Add(d); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("not reached within %v: %s", d, what)
		}
	}
}

func (f *fleet) allAt(sequence uint64) func() bool {
	return func() bool {
		for _, h := range f.hosts {
			if h.Sequence() < sequence {
				return false
			}
		}
		return true
	}
}

// rateEdit returns an edit that sets the rate of a team template.
func rateEdit(rate int) []config.Edit {
	return []config.Edit{{Kind: "templates", Name: "standard", Document: fmt.Appendf(nil, `{"rate":%d,"burst":1}`, rate)}}
}

// mustApply applies edits at a host and fails the test unless they are accepted.
func (f *fleet) mustApply(h *host, edits []config.Edit) configs.ChangeOutcome {
	f.t.Helper()
	out, err := h.Apply(f.ctx, h.Sequence(), edits)
	if err != nil || out.State != configs.Accepted {
		f.t.Fatalf("outcome %+v, error %v, want accepted", out, err)
	}
	return out
}
