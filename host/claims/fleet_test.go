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

// TestMain fixes the seed and the number of random histories. HISTORIES sets another number and uses a random seed.
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

// disabledSafeguards turn off single safeguards in the fakes, to show that the tests fail without each of them.
type disabledSafeguards struct {
	// noGather drops the gathered records. noCopies drops the records from messages that place copies. noLeaseCheck treats
	// every lease as valid. noBlocking makes new owners take lost copies for replaced ones. noEpochFence resets the
	// owner epoch below which a host rejects grants.
	noGather, noCopies, noLeaseCheck, noBlocking, noEpochFence bool
}

// fleet is a set of hosts with a ledger that the test changes and a network with faults. mu guards all of its state.
type fleet struct {
	mu       sync.Mutex
	random   *rand.Rand
	disabled disabledSafeguards
	ledger   ledger.Ledger
	hosts    map[string]*host
	cutLinks map[[2]string]bool
	faults   bool
	stopped  bool
	messages errgroup.Group
	executed map[string]int
	maxBytes int64
}

// host is one process of a host and its view of the ledger.
type host struct {
	fleet       *fleet
	id          string
	table       *peers.HandlerTable
	service     *Service
	view        ledger.Ledger
	leaseValid  bool
	incarnation uint64
	dead        bool
	paused      bool
	stop        context.CancelFunc
	group       errgroup.Group
}

func newFleet(seed uint64, disabled disabledSafeguards) *fleet {
	return &fleet{
		random: rand.New(rand.NewPCG(seed, 1)), disabled: disabled, hosts: map[string]*host{}, cutLinks: map[[2]string]bool{},
		executed: map[string]int{},
	}
}

// start starts a new process of a host. join adds it to the ledger.
func (f *fleet) start(id string) *host {
	h := &host{fleet: f, id: id, table: peers.NewHandlerTable()}
	h.service = New(Options{Host: id, Ledger: h, Caller: faultyCaller{f, h}, Peers: h.table, MaxBytes: f.maxBytes})
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	h.group.Go(func() error { return h.service.Run(ctx) })
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts[id] = h
	return h
}

// changeLedger writes the next epoch of the ledger. The member list is copied, because the views of hosts share it.
func (f *fleet) changeLedger(edit func(l *ledger.Ledger)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.ledger
	l.Epoch++
	l.Members = append([]ledger.Member(nil), l.Members...)
	edit(&l)
	f.ledger = l
}

func (f *fleet) join(h *host) {
	f.changeLedger(func(l *ledger.Ledger) {
		removeMember(l, h.id)
		l.Members = append(l.Members, ledger.Member{Host: h.id, Incarnation: l.Epoch})
		h.incarnation, h.leaseValid = l.Epoch, true
	})
}

func removeMember(l *ledger.Ledger, id string) {
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
	f.changeLedger(func(l *ledger.Ledger) {
		l.Slots[slot] = ledger.Slot{Holder: id, PreviousHolder: l.Slots[slot].Holder, SinceEpoch: l.Epoch}
	})
}

// fence ends a process's lease, removes the process from the ledger and gives its slots to another host.
func (f *fleet) fence(h *host, to string) {
	f.changeLedger(func(l *ledger.Ledger) {
		h.leaseValid = false
		removeMember(l, h.id)
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

// clearMinOwnerEpochs resets the owner epochs below which hosts reject grants for a slot, if noEpochFence is set.
func (f *fleet) clearMinOwnerEpochs(slot int) {
	for _, h := range f.hosts {
		if sh := &h.service.shards[slot]; f.disabled.noEpochFence {
			sh.mu.Lock()
			sh.minOwnerEpoch = 0
			sh.mu.Unlock()
		}
	}
}

// publish shows the current ledger to each host that is neither dead nor paused.
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
	return h.leaseValid || h.fleet.disabled.noLeaseCheck
}

// Holds implements LedgerView. A slot is released once its previous holder has seen the change.
func (h *host) Holds(slot int) bool {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	s := h.view.Slots[slot]
	if s.Holder != h.id || (!h.leaseValid && !h.fleet.disabled.noLeaseCheck) ||
		claim.Incarnation(h.view, h.id) != h.incarnation && !h.fleet.disabled.noLeaseCheck {
		return false
	}
	p := h.fleet.hosts[s.PreviousHolder]
	return p == nil || p.id == h.id || claim.Incarnation(h.view, p.id) == 0 || p.view.Epoch >= s.SinceEpoch
}

// faultyCaller is a host's Caller. While faults are on, it loses and delays requests and answers and duplicates
// requests.
type faultyCaller struct {
	fleet *fleet
	from  *host
}

func (c faultyCaller) Send(context.Context, string, string, []byte) error { return nil }

func (c faultyCaller) Call(ctx context.Context, to, kind string, body []byte) ([]byte, error) {
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
		return nil, errors.New("the fleet has stopped")
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
			r.body = f.alterGatherAnswer(r.body)
		}
		return r.body, r.err
	case <-ctx.Done():
		return nil, errors.Mark(ctx.Err(), peers.ErrUnreachable)
	}
}

// delay returns a random delay. With faults, one message in ten is up to 4 s late. The caller holds mu.
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

// reach waits while either side is paused and returns the receiving process, or nil when the message is lost.
func (f *fleet) reach(from *host, to string) *host {
	for {
		f.mu.Lock()
		target := f.hosts[to]
		gone := target == nil || target.dead || from.dead || f.cutLinks[[2]string{from.id, to}]
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

// request sends a keyed request through a host, which runs it if the claim is granted. before is a pause before the check
// of Valid, after is a pause between this check and the sending. A host that has died reports no result.
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
	// The host pauses between the check and the sending of the request.
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

// startMembers starts n hosts h0, h1, … that join one by one, and assigns the slots of the keys to h0.
func (f *fleet) startMembers(n int, keys ...string) []*host {
	var hosts []*host
	for i := range n {
		h := f.start(fmt.Sprintf("h%d", i))
		f.join(h)
		if i == 0 {
			f.changeLedger(func(l *ledger.Ledger) {
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
