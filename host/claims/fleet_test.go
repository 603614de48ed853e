package claims

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"vanillatally/core/claim"
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
		_ = flag.Set("rapid.checks", "12")
	}
	goleak.VerifyTestMain(m)
}

// switches turn single safeguards off at the fakes, to show that the check notices each of them.
type switches struct {
	// noGather loses the gathered records; noSecond loses second copies; noLease ignores leases;
	// noBlock hides lost processes from new owners; noFloor has an executor forget that a slot was gathered.
	noGather, noSecond, noLease, noBlock, noFloor bool
}

// fleet is a set of hosts with a ledger that the test changes and a network that the test disturbs.
// All of its state is guarded by mu.
type fleet struct {
	mu       sync.Mutex
	random   *rand.Rand
	off      switches
	ledger   ledger.Ledger
	hosts    map[string]*host
	cut      map[[2]string]bool
	faults   bool
	stopped  bool
	messages errgroup.Group
	executed map[string]int
	maxBytes int64
}

// host is one process and its view of the ledger.
type host struct {
	fleet   *fleet
	id      string
	table   *peers.HandlerTable
	service *Service
	view    ledger.Ledger
	lease   bool
	own     uint64
	dead    bool
	paused  bool
	stop    context.CancelFunc
	group   errgroup.Group
}

func newFleet(seed uint64, off switches) *fleet {
	return &fleet{
		random: rand.New(rand.NewPCG(seed, 1)), off: off, hosts: map[string]*host{}, cut: map[[2]string]bool{},
		executed: map[string]int{},
	}
}

// start runs a new process of a host; join puts it into the ledger.
func (f *fleet) start(id string) *host {
	h := &host{fleet: f, id: id, table: peers.NewHandlerTable()}
	h.service = New(Options{Host: id, Ledger: h, Caller: link{f, h}, Peers: h.table, MaxBytes: f.maxBytes})
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	h.group.Go(func() error { return h.service.Run(ctx) })
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts[id] = h
	return h
}

// change writes the next epoch; the member lists are copied, because views share them.
func (f *fleet) change(edit func(l *ledger.Ledger)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.ledger
	l.Epoch++
	l.Members = append([]ledger.Member(nil), l.Members...)
	edit(&l)
	f.ledger = l
}

func (f *fleet) join(h *host) {
	f.change(func(l *ledger.Ledger) {
		remove(l, h.id)
		l.Members = append(l.Members, ledger.Member{Host: h.id, Incarnation: l.Epoch})
		h.own, h.lease = l.Epoch, true
	})
}

func remove(l *ledger.Ledger, id string) {
	kept := l.Members[:0]
	for _, m := range l.Members {
		if m.Host != id {
			kept = append(kept, m)
		}
	}
	// As in package ledger, a member that is fenced or replaced counts as lost.
	l.LostCount += uint64(len(l.Members) - len(kept))
	l.Members = kept
}

// assign moves a slot to another host.
func (f *fleet) assign(slot int, id string) {
	f.change(func(l *ledger.Ledger) {
		l.Slots[slot] = ledger.Slot{Holder: id, PreviousHolder: l.Slots[slot].Holder, SinceEpoch: l.Epoch}
	})
}

// fence removes a process after its lease has ended and gives its slots to another host.
func (f *fleet) fence(h *host, to string) {
	f.change(func(l *ledger.Ledger) {
		h.lease = false
		remove(l, h.id)
		for i, s := range l.Slots {
			if s.Holder == h.id {
				l.Slots[i] = ledger.Slot{Holder: to, PreviousHolder: h.id, SinceEpoch: l.Epoch}
			}
		}
	})
}

func (f *fleet) kill(h *host) {
	f.mu.Lock()
	h.dead = true
	f.mu.Unlock()
	h.stop()
	_ = h.group.Wait()
}

func (f *fleet) setPaused(h *host, paused bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h.paused = paused
}

// forgetFloors turns off what the gather of a slot left behind.
func (f *fleet) forgetFloors(slot int) {
	for _, h := range f.hosts {
		if sh := &h.service.shards[slot]; f.off.noFloor {
			sh.mu.Lock()
			sh.floor = 0
			sh.mu.Unlock()
		}
	}
}

// publish lets each living host that is not paused see the present ledger.
func (f *fleet) publish() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.hosts {
		if !h.dead && !h.paused {
			h.view = f.ledger
		}
	}
}

func (f *fleet) close() {
	f.mu.Lock()
	f.stopped = true
	hosts := f.hosts
	f.mu.Unlock()
	for _, h := range hosts {
		h.stop()
		_ = h.group.Wait()
	}
	_ = f.messages.Wait()
}

func (h *host) Ledger() ledger.Ledger {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	return h.view
}

func (h *host) LeaseValid() bool {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	return h.lease || h.fleet.off.noLease
}

// Holds implements LedgerView. A slot is released once its previous holder has seen the change.
func (h *host) Holds(slot int) bool {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	s := h.view.Slots[slot]
	if s.Holder != h.id || (!h.lease && !h.fleet.off.noLease) || claim.Incarnation(h.view, h.id) != h.own && !h.fleet.off.noLease {
		return false
	}
	p := h.fleet.hosts[s.PreviousHolder]
	return p == nil || p.id == h.id || claim.Incarnation(h.view, p.id) == 0 || p.view.Epoch >= s.SinceEpoch
}

// link is a host's Caller. It loses, delays and doubles requests and answers while faults are on.
type link struct {
	fleet *fleet
	from  *host
}

func (c link) Send(context.Context, string, string, []byte) error { return nil }

func (c link) Call(ctx context.Context, to, kind string, body []byte) ([]byte, error) {
	type result struct {
		body []byte
		err  error
	}
	answers := make(chan result, 2)
	f := c.fleet
	f.mu.Lock()
	copies, lost := 1, false
	if f.faults {
		if f.random.IntN(20) == 0 {
			copies = 2
		}
		lost = f.random.IntN(15) == 0
	}
	if f.stopped {
		f.mu.Unlock()
		return nil, errors.New("stopped")
	}
	for range copies {
		there, back := f.delay(), f.delay()
		loseAnswer := f.faults && f.random.IntN(15) == 0
		f.messages.Go(func() error {
			time.Sleep(there)
			target := f.reach(c.from, to)
			if target == nil || lost {
				return nil
			}
			handler, _ := target.table.Lookup(kind)
			handleCtx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			body := body
			if kind == kindCopy {
				body = f.dropCopies(body)
			}
			answer, err := handler(handleCtx, c.from.id, body)
			time.Sleep(back)
			if loseAnswer || f.reach(target, c.from.id) != c.from {
				return nil
			}
			answers <- result{answer, err}
			return nil
		})
	}
	f.mu.Unlock()
	select {
	case r := <-answers:
		if kind == kindGather {
			r.body = f.tamper(r.body)
		}
		return r.body, r.err
	case <-ctx.Done():
		return nil, errors.Mark(ctx.Err(), peers.ErrUnreachable)
	}
}

// delay is drawn under mu; one message in ten is late.
func (f *fleet) delay() time.Duration {
	d := time.Millisecond
	if f.faults {
		d += time.Duration(f.random.IntN(20)) * time.Millisecond
		if f.random.IntN(10) == 0 {
			d += time.Duration(f.random.IntN(4000)) * time.Millisecond
		}
	}
	return d
}

// reach waits while either side is paused and returns the receiving process, or nil when it is lost.
func (f *fleet) reach(from *host, to string) *host {
	for {
		f.mu.Lock()
		target := f.hosts[to]
		gone := target == nil || target.dead || from.dead || f.cut[[2]string{from.id, to}]
		waits := !f.stopped && (from.paused || target != nil && target.paused)
		f.mu.Unlock()
		if gone {
			return nil
		}
		if !waits {
			return target
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// request is one arrival at a host; it runs the request when that is allowed. finish is false when the
// host dies or the outcome is lost.
func (f *fleet) request(h *host, key string, before, after time.Duration, result claim.Result) claim.State {
	request := claim.Request{Team: "t", Key: key, Fingerprint: 1}
	answer, err := h.service.Begin(context.Background(), request)
	if err != nil || answer.State != claim.Granted {
		return answer.State
	}
	time.Sleep(before)
	if !h.service.Valid(request) {
		_ = h.service.Finish(context.Background(), request, claim.Result{NotRun: true})
		return claim.OwnerUnreachable
	}
	// A pause right after the check, before the request is sent.
	time.Sleep(after)
	f.mu.Lock()
	dead := h.dead
	if !dead && !result.NotRun {
		f.executed[key]++
	}
	f.mu.Unlock()
	if dead {
		return claim.Unknown
	}
	_ = h.service.Finish(context.Background(), request, result)
	return claim.Granted
}

// grow starts n hosts h0… that join one by one, and gives the slots of the keys to h0.
func (f *fleet) grow(n int, keys ...string) []*host {
	var hosts []*host
	for i := range n {
		h := f.start(fmt.Sprintf("h%d", i))
		f.join(h)
		if i == 0 {
			f.change(func(l *ledger.Ledger) {
				l.Epoch = 1
				for _, k := range keys {
					l.Slots[claim.SlotOf("t", k)] = ledger.Slot{Holder: "h0", SinceEpoch: 1}
				}
			})
		}
		f.publish()
		hosts = append(hosts, h)
	}
	time.Sleep(300 * time.Millisecond)
	return hosts
}
