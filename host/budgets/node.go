package budgets

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"vanillatally/core/budget"
	"vanillatally/core/lease"
	"vanillatally/core/ledger"
	"vanillatally/io/store"
)

// askEvery is the time between two requests for the same slot or ledger.
const askEvery = 100 * time.Millisecond

// defects disable single mechanisms in experiments that show what each is needed for.
type defects struct {
	noLeaseCheck, noOutstanding, fullStart, acceptDuplicates, noReleaseWait, oneVote, loanOutlivesLease bool
}

// released is a slot that this host has stopped using, kept until the slot changes again.
type released struct {
	since uint64
	carry map[string]budget.ShareTransfer
}

// awaited is a slot that names this host but that earlier holders may still use.
type awaited struct {
	since   uint64
	pending []ledger.Process
	carry   map[string]budget.ShareTransfer
}

// node is the state machine of one host: it reads no clock and does no I/O, and messages to send are collected
// in out. The driver and the history tests run the same node. Locks are taken in the order mu, cell.mu.
type node struct {
	self    ledger.Member
	terms   lease.Timing
	factor  float64
	defects defects

	// dead tells which members the operator declared dead; nil means none.
	dead func(ledger.Member) bool

	mu      sync.Mutex
	rng     *rand.Rand
	ledger  ledger.Ledger
	holder  lease.Holder
	witness lease.Witness
	// held is the set of slots that this host uses while its lease is valid. Each is named in ledger.
	held     uint64
	released map[int]released
	awaited  map[int]awaited
	fences   map[ledger.Process]fence
	askedAt  time.Duration
	// replaceAfter is when an entry of an earlier process may be replaced: the loans that it gave have ended then.
	replaceAfter time.Duration
	// pendingJoin and pendingSent are the incarnation that this process tries to write and when it first tried.
	pendingJoin uint64
	pendingSent time.Duration
	// readLedger is what the store held at readVersion, so that an unchanged value is decoded once.
	readVersion store.Version
	readLedger  ledger.Ledger
	// pulled is set when this host has asked for a newer ledger since the last tick.
	pulled bool
	// lapsedAt is when the lease was first seen invalid, 0 while it is valid.
	lapsedAt time.Duration
	// storeUp says that the last store call succeeded, and storeSeen is when the last one that did was sent.
	// Nothing is promised for a fence without a recent one, because a promise binds until the next epoch.
	storeUp   bool
	storeSeen time.Duration
	lastTo    map[string]time.Duration
	loanID    uint64
	out       []outgoing

	// until, heldNow and cells are what the hot path reads without mu.
	until   atomic.Int64
	heldNow atomic.Uint64
	cells   atomic.Pointer[map[string]*cell]
	sorted  []*cell
}

// newNode returns the state machine of a process that starts at now.
func newNode(self ledger.Member, terms lease.Timing, factor float64, seed uint64, now time.Duration) *node {
	n := &node{
		self: self, terms: terms, factor: factor, replaceAfter: now + budget.LenderTTL,
		rng:      rand.New(rand.NewPCG(seed, 0)),
		released: map[int]released{}, awaited: map[int]awaited{}, fences: map[ledger.Process]fence{},
		lastTo: map[string]time.Duration{},
	}
	// A random start keeps loan ids unique across restarts of the host.
	n.loanID = n.rng.Uint64() >> 1
	n.cells.Store(&map[string]*cell{})
	return n
}

// owner returns the member entry that this process acts as; its incarnation is 0 outside the ledger.
func (n *node) owner() ledger.Process {
	return ledger.Process{Host: n.self.Host, Incarnation: n.holder.Incarnation()}
}

func (n *node) send(to, kind string, body any) {
	n.out = append(n.out, outgoing{to, kind, body})
}

// drain returns the messages to send.
func (n *node) drain() []outgoing {
	out := n.out
	n.out = nil
	return out
}

func (n *node) publish() {
	until := n.holder.Expiry()
	if n.defects.noLeaseCheck && n.holder.Incarnation() != 0 {
		until = lease.NoExpiry
	}
	n.until.Store(int64(until))
	n.heldNow.Store(n.held)
}

func (n *node) valid(now time.Duration) bool { return int64(now) < n.until.Load() }

// setLimits replaces the budgets. A cell keeps its tokens when its budget remains; others are dropped.
func (n *node) setLimits(now time.Duration, limits map[string]budget.Limits) {
	n.mu.Lock()
	defer n.mu.Unlock()
	old, cells := *n.cells.Load(), make(map[string]*cell, len(limits))
	n.sorted = n.sorted[:0:0]
	for name, l := range limits {
		c := old[name]
		if c == nil {
			c = &cell{
				name: name, bucket: budget.Bucket{RefilledAt: now}, ticked: now, unit: min(1, l.Burst),
				hints: map[string]hint{}, loans: make([]budget.Loan, 0, budget.MaxLoansPerBorrower),
			}
		}
		c.mu.Lock()
		c.setLimits(now, l, n.held, n.factor)
		c.lenders = n.lendersOf(c.slots)
		c.mu.Unlock()
		cells[name] = c
		n.sorted = append(n.sorted, c)
	}
	slices.SortFunc(n.sorted, func(a, b *cell) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	n.cells.Store(&cells)
}

// learn takes a ledger that is newer than the known one.
func (n *node) learn(now time.Duration, l ledger.Ledger) {
	if l.Epoch > n.ledger.Epoch {
		n.ledger = l
		n.apply(now)
	}
}

// joined takes the ledger in which this process's entry was seen after the write that was sent at sent.
func (n *node) joined(now, sent time.Duration, incarnation uint64, l ledger.Ledger) {
	n.holder, n.lapsedAt = lease.NewHolder(n.terms, incarnation, sent), 0
	if l.Epoch > n.ledger.Epoch {
		n.ledger = l
	}
	n.apply(now)
}

// apply brings the host's state in line with the ledger.
func (n *node) apply(now time.Duration) {
	if o := n.owner(); o.Incarnation != 0 {
		if n.ledger.IsMember(o) {
			m, _ := n.ledger.Member(o.Host)
			n.holder = n.holder.WithWitnesses(len(m.Witnesses))
		} else {
			n.drop(now)
		}
	}
	n.witness = n.witness.WithLedger(now, n.self.Host, n.ledger)
	n.fences = map[ledger.Process]fence{}
	var named uint64
	if n.owner().Incarnation != 0 {
		named = n.ledger.AssignedSlots(n.self.Host)
	}
	n.release(now, n.held&^named)
	for i, s := range n.ledger.Slots {
		bit := uint64(1) << i
		if named&bit == 0 || n.held&bit != 0 {
			delete(n.awaited, i)
			continue
		}
		a, ok := n.awaited[i]
		if !ok || a.since != s.SinceEpoch {
			a = awaited{since: s.SinceEpoch, pending: s.Unreleased, carry: map[string]budget.ShareTransfer{}}
		}
		a.pending = slices.DeleteFunc(slices.Clone(a.pending), func(o ledger.Process) bool { return !n.ledger.IsMember(o) })
		n.awaited[i] = a
	}
	n.acquireReady(now)
	for _, c := range n.sorted {
		c.mu.Lock()
		c.lenders = n.lendersOf(c.slots)
		c.mu.Unlock()
	}
	n.publish()
}

// drop gives up all slots and the incarnation, after fencing or before joining anew.
func (n *node) drop(now time.Duration) {
	n.holder, n.held = lease.Holder{}, 0
	n.publish()
	clear(n.released)
	clear(n.awaited)
	for _, c := range n.sorted {
		c.mu.Lock()
		c.drop(now)
		c.mu.Unlock()
	}
}

// release stops the use of slots that the ledger gave to others, and tells these.
func (n *node) release(now time.Duration, lost uint64) {
	if lost == 0 {
		return
	}
	n.held &^= lost
	n.publish()
	carries := map[int]map[string]budget.ShareTransfer{}
	for _, c := range n.sorted {
		c.mu.Lock()
		each, slots := c.release(now, lost)
		c.mu.Unlock()
		for ; slots != 0; slots &= slots - 1 {
			i := bits.TrailingZeros64(slots)
			if carries[i] == nil {
				carries[i] = map[string]budget.ShareTransfer{}
			}
			carries[i][c.name] = each
		}
	}
	to := map[string][]slotItem{}
	for rest := lost; rest != 0; rest &= rest - 1 {
		i := bits.TrailingZeros64(rest)
		s := n.ledger.Slots[i]
		n.released[i] = released{s.SinceEpoch, carries[i]}
		to[s.Holder] = append(to[s.Holder], slotItem{i, s.SinceEpoch, carries[i]})
	}
	for _, host := range sortedKeys(to) {
		n.send(host, kindSlotRelease, slotMessage{n.owner().Incarnation, n.ledger.Epoch, to[host]})
	}
}

// acquireReady starts the use of the slots that no earlier holder can use any more.
func (n *node) acquireReady(now time.Duration) {
	for _, i := range sortedKeys(n.awaited) {
		a := n.awaited[i]
		if len(a.pending) > 0 && !n.defects.noReleaseWait {
			continue
		}
		delete(n.awaited, i)
		delete(n.released, i)
		n.held |= 1 << i
		for _, c := range n.sorted {
			c.mu.Lock()
			c.acquire(now, 1<<i, n.factor, a.carry[c.name])
			if n.defects.fullStart {
				c.bucket.Level = c.bucket.Cap
			}
			c.mu.Unlock()
		}
	}
	n.publish()
}

// slotAsked answers a request to release slots. It answers only when both sides know the same assignment.
func (n *node) slotAsked(from string, m slotMessage) {
	n.heard(from, m.Epoch)
	answer := slotMessage{Incarnation: n.owner().Incarnation, Epoch: n.ledger.Epoch}
	for _, item := range m.Slots {
		if item.Slot < 0 || item.Slot >= ledger.SlotCount || answer.Incarnation == 0 {
			continue
		}
		s := n.ledger.Slots[item.Slot]
		if s.SinceEpoch != item.Since || s.Holder != from {
			continue
		}
		item.Carry = nil
		if r := n.released[item.Slot]; r.since == s.SinceEpoch {
			item.Carry = r.carry
		}
		answer.Slots = append(answer.Slots, item)
	}
	if len(answer.Slots) > 0 {
		n.send(from, kindSlotRelease, answer)
	}
}

// slotReleased notes that an earlier holder has stopped using slots.
func (n *node) slotReleased(now time.Duration, from string, m slotMessage) {
	n.heard(from, m.Epoch)
	for _, item := range m.Slots {
		a, ok := n.awaited[item.Slot]
		at := slices.Index(a.pending, ledger.Process{Host: from, Incarnation: m.Incarnation})
		if !ok || a.since != item.Since || at < 0 {
			continue
		}
		a.pending = slices.Delete(slices.Clone(a.pending), at, at+1)
		for name, carry := range item.Carry {
			sum := a.carry[name]
			a.carry[name] = budget.ShareTransfer{Tokens: sum.Tokens + carry.Tokens, Outstanding: sum.Outstanding + carry.Outstanding}
		}
		n.awaited[item.Slot] = a
	}
	n.acquireReady(now)
}

// askSlots asks the earlier holders of awaited slots to release them.
func (n *node) askSlots(now time.Duration) {
	if len(n.awaited) == 0 || now < n.askedAt+askEvery {
		return
	}
	n.askedAt = now
	ask := map[string][]slotItem{}
	for _, i := range sortedKeys(n.awaited) {
		for _, o := range n.awaited[i].pending {
			ask[o.Host] = append(ask[o.Host], slotItem{Slot: i, Since: n.awaited[i].since})
		}
	}
	for _, host := range sortedKeys(ask) {
		n.send(host, kindSlotAsk, slotAskMessage{n.owner().Incarnation, n.ledger.Epoch, ask[host]})
	}
}

// heard asks a host for its ledger when it knows a newer one.
func (n *node) heard(from string, epoch uint64) {
	if epoch > n.ledger.Epoch && !n.pulled {
		n.pulled = true
		n.send(from, kindLedgerAsk, ledgerAskMessage{n.ledger.Epoch})
	}
}

func sortedKeys[K int | string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
