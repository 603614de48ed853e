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

// requestInterval is the time between two requests for the same slot or ledger.
const requestInterval = 100 * time.Millisecond

// disabledChecks disable single mechanisms in experiments that show what each is needed for.
type disabledChecks struct {
	noLeaseCheck, noOutstandingCount, fullBucketOnAcquire, acceptDuplicateGrants, noReleaseWait, fenceByOneVote, loanOutlivesLease bool
}

// releasedSlot is a slot that this host has stopped using, kept until the slot changes again.
type releasedSlot struct {
	sinceEpoch uint64
	transfers  map[string]budget.ShareTransfer
}

// awaitedSlot is a slot that names this host but that earlier holders may still use.
type awaitedSlot struct {
	sinceEpoch     uint64
	pendingHolders []ledger.Process
	transfers      map[string]budget.ShareTransfer
}

// node is the state machine of one host: it reads no clock and does no I/O, and messages to send are collected
// in out. The driver and the history tests run the same node. Locks are taken in the order mu, cell.mu.
type node struct {
	self        ledger.Member
	timing      lease.Timing
	clockFactor float64
	disabled    disabledChecks

	// operatorDeclaredDead tells which members the operator declared operatorDeclaredDead; nil means none.
	operatorDeclaredDead func(ledger.Member) bool

	mu      sync.Mutex
	rng     *rand.Rand
	ledger  ledger.Ledger
	holder  lease.Holder
	witness lease.Witness
	// heldSlots is the set of slots that this host uses while its lease is valid. Each is named in ledger.
	heldSlots        uint64
	releasedSlots    map[int]releasedSlot
	awaitedSlots     map[int]awaitedSlot
	fenceAttempts    map[ledger.Process]fenceAttempt
	slotsRequestedAt time.Duration
	// replaceEntryAfter is when an entry of an earlier process may be replaced: the loans that it gave have ended then.
	replaceEntryAfter time.Duration
	// joinIncarnation and pendingSent are the incarnation that this process tries to write and when it first tried.
	joinIncarnation uint64
	joinSentAt      time.Duration
	// readLedger is what the store held at storedVersion, so that an unchanged value is decoded once.
	storedVersion store.Version
	storedLedger  ledger.Ledger
	// ledgerRequested is set when this host has asked for a newer ledger since the last tick.
	ledgerRequested bool
	// leaseLapsedAt is when the lease was first seen invalid, 0 while it is valid.
	leaseLapsedAt time.Duration
	// storeUp says that the last store call succeeded, and storeSeen is when the last one that did was sent.
	// Nothing is promised for a fence without a recent one, because a promise binds until the next epoch.
	storeUp         bool
	storeAnsweredAt time.Duration
	lastLoanRequest map[string]time.Duration
	lastLoanID      uint64
	outgoing        []outgoingMessage

	// publishedExpiry, heldNow and cells are what the hot path reads without mu.
	publishedExpiry atomic.Int64
	publishedSlots  atomic.Uint64
	limiters        atomic.Pointer[map[string]*limiter]
	sortedLimiters  []*limiter
}

// newNode returns the state machine of a process that starts at now.
func newNode(self ledger.Member, terms lease.Timing, factor float64, seed uint64, now time.Duration) *node {
	n := &node{
		self: self, timing: terms, clockFactor: factor, replaceEntryAfter: now + budget.LenderTTL,
		rng:           rand.New(rand.NewPCG(seed, 0)),
		releasedSlots: map[int]releasedSlot{}, awaitedSlots: map[int]awaitedSlot{}, fenceAttempts: map[ledger.Process]fenceAttempt{},
		lastLoanRequest: map[string]time.Duration{},
	}
	// A random start keeps loan ids unique across restarts of the host.
	n.lastLoanID = n.rng.Uint64() >> 1
	n.limiters.Store(&map[string]*limiter{})
	return n
}

// process returns the member entry that this process acts as; its incarnation is 0 outside the ledger.
func (n *node) process() ledger.Process {
	return ledger.Process{Host: n.self.Host, Incarnation: n.holder.Incarnation()}
}

func (n *node) send(to, kind string, body any) {
	n.outgoing = append(n.outgoing, outgoingMessage{to, kind, body})
}

// takeOutgoing returns the messages to send.
func (n *node) takeOutgoing() []outgoingMessage {
	out := n.outgoing
	n.outgoing = nil
	return out
}

func (n *node) publishLease() {
	until := n.holder.Expiry()
	if n.disabled.noLeaseCheck && n.holder.Incarnation() != 0 {
		until = lease.NoExpiry
	}
	n.publishedExpiry.Store(int64(until))
	n.publishedSlots.Store(n.heldSlots)
}

func (n *node) leaseValid(now time.Duration) bool { return int64(now) < n.publishedExpiry.Load() }

// setLimits replaces the budgets. A cell keeps its tokens when its budget remains; others are dropped.
func (n *node) setLimits(now time.Duration, limits map[string]budget.Limits) {
	n.mu.Lock()
	defer n.mu.Unlock()
	old, cells := *n.limiters.Load(), make(map[string]*limiter, len(limits))
	n.sortedLimiters = n.sortedLimiters[:0:0]
	for name, l := range limits {
		c := old[name]
		if c == nil {
			c = &limiter{
				name: name, bucket: budget.Bucket{RefilledAt: now}, demandMeasuredAt: now, maxCost: min(1, l.Burst),
				lenderLevels: map[string]lenderLevel{}, borrowedLoans: make([]budget.Loan, 0, budget.MaxLoansPerBorrower),
			}
		}
		c.mu.Lock()
		c.setLimits(now, l, n.heldSlots, n.clockFactor)
		c.lenders = n.lendersOf(c.slots)
		c.mu.Unlock()
		cells[name] = c
		n.sortedLimiters = append(n.sortedLimiters, c)
	}
	slices.SortFunc(n.sortedLimiters, func(a, b *limiter) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	n.limiters.Store(&cells)
}

// adoptNewer takes a ledger that is newer than the known one.
func (n *node) adoptNewer(now time.Duration, l ledger.Ledger) {
	if l.Epoch > n.ledger.Epoch {
		n.ledger = l
		n.applyLedger(now)
	}
}

// completeJoin takes the ledger in which this process's entry was seen after the write that was sent at sent.
func (n *node) completeJoin(now, sent time.Duration, incarnation uint64, l ledger.Ledger) {
	n.holder, n.leaseLapsedAt = lease.NewHolder(n.timing, incarnation, sent), 0
	if l.Epoch > n.ledger.Epoch {
		n.ledger = l
	}
	n.applyLedger(now)
}

// applyLedger brings the host's state in line with the ledger.
func (n *node) applyLedger(now time.Duration) {
	if o := n.process(); o.Incarnation != 0 {
		if n.ledger.IsMember(o) {
			m, _ := n.ledger.Member(o.Host)
			n.holder = n.holder.WithWitnesses(len(m.Witnesses))
		} else {
			n.dropSlots(now)
		}
	}
	n.witness = n.witness.WithLedger(now, n.self.Host, n.ledger)
	n.fenceAttempts = map[ledger.Process]fenceAttempt{}
	var named uint64
	if n.process().Incarnation != 0 {
		named = n.ledger.AssignedSlots(n.self.Host)
	}
	n.releaseSlots(now, n.heldSlots&^named)
	for i, s := range n.ledger.Slots {
		bit := uint64(1) << i
		if named&bit == 0 || n.heldSlots&bit != 0 {
			delete(n.awaitedSlots, i)
			continue
		}
		a, ok := n.awaitedSlots[i]
		if !ok || a.sinceEpoch != s.SinceEpoch {
			a = awaitedSlot{sinceEpoch: s.SinceEpoch, pendingHolders: s.Unreleased, transfers: map[string]budget.ShareTransfer{}}
		}
		a.pendingHolders = slices.DeleteFunc(slices.Clone(a.pendingHolders), func(o ledger.Process) bool { return !n.ledger.IsMember(o) })
		n.awaitedSlots[i] = a
	}
	n.acquireReleased(now)
	for _, c := range n.sortedLimiters {
		c.mu.Lock()
		c.lenders = n.lendersOf(c.slots)
		c.mu.Unlock()
	}
	n.publishLease()
}

// dropSlots gives up all slots and the incarnation, after fencing or before joining anew.
func (n *node) dropSlots(now time.Duration) {
	n.holder, n.heldSlots = lease.Holder{}, 0
	n.publishLease()
	clear(n.releasedSlots)
	clear(n.awaitedSlots)
	for _, c := range n.sortedLimiters {
		c.mu.Lock()
		c.dropSlots(now)
		c.mu.Unlock()
	}
}

// releaseSlots stops the use of slots that the ledger gave to others, and tells these.
func (n *node) releaseSlots(now time.Duration, lost uint64) {
	if lost == 0 {
		return
	}
	n.heldSlots &^= lost
	n.publishLease()
	carries := map[int]map[string]budget.ShareTransfer{}
	for _, c := range n.sortedLimiters {
		c.mu.Lock()
		each, slots := c.releaseSlots(now, lost)
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
		n.releasedSlots[i] = releasedSlot{s.SinceEpoch, carries[i]}
		to[s.Holder] = append(to[s.Holder], slotItem{i, s.SinceEpoch, carries[i]})
	}
	for _, host := range sortedKeys(to) {
		n.send(host, kindSlotRelease, slotReleaseMessage{n.process().Incarnation, n.ledger.Epoch, to[host]})
	}
}

// acquireReleased starts the use of the slots that no earlier holder can use any more.
func (n *node) acquireReleased(now time.Duration) {
	for _, i := range sortedKeys(n.awaitedSlots) {
		a := n.awaitedSlots[i]
		if len(a.pendingHolders) > 0 && !n.disabled.noReleaseWait {
			continue
		}
		delete(n.awaitedSlots, i)
		delete(n.releasedSlots, i)
		n.heldSlots |= 1 << i
		for _, c := range n.sortedLimiters {
			c.mu.Lock()
			c.acquireSlot(now, 1<<i, n.clockFactor, a.transfers[c.name])
			if n.disabled.fullBucketOnAcquire {
				c.bucket.Level = c.bucket.Cap
			}
			c.mu.Unlock()
		}
	}
	n.publishLease()
}

// handleSlotRequest answers a request to release slots. It answers only when both sides know the same assignment.
func (n *node) handleSlotRequest(from string, m slotReleaseMessage) {
	n.requestNewerLedger(from, m.Epoch)
	answer := slotReleaseMessage{Incarnation: n.process().Incarnation, Epoch: n.ledger.Epoch}
	for _, item := range m.Slots {
		if item.Slot < 0 || item.Slot >= ledger.SlotCount || answer.Incarnation == 0 {
			continue
		}
		s := n.ledger.Slots[item.Slot]
		if s.SinceEpoch != item.SinceEpoch || s.Holder != from {
			continue
		}
		item.Transfers = nil
		if r := n.releasedSlots[item.Slot]; r.sinceEpoch == s.SinceEpoch {
			item.Transfers = r.transfers
		}
		answer.Slots = append(answer.Slots, item)
	}
	if len(answer.Slots) > 0 {
		n.send(from, kindSlotRelease, answer)
	}
}

// handleSlotRelease notes that an earlier holder has stopped using slots.
func (n *node) handleSlotRelease(now time.Duration, from string, m slotReleaseMessage) {
	n.requestNewerLedger(from, m.Epoch)
	for _, item := range m.Slots {
		a, ok := n.awaitedSlots[item.Slot]
		at := slices.Index(a.pendingHolders, ledger.Process{Host: from, Incarnation: m.Incarnation})
		if !ok || a.sinceEpoch != item.SinceEpoch || at < 0 {
			continue
		}
		a.pendingHolders = slices.Delete(slices.Clone(a.pendingHolders), at, at+1)
		for name, carry := range item.Transfers {
			sum := a.transfers[name]
			a.transfers[name] = budget.ShareTransfer{Tokens: sum.Tokens + carry.Tokens, Outstanding: sum.Outstanding + carry.Outstanding}
		}
		n.awaitedSlots[item.Slot] = a
	}
	n.acquireReleased(now)
}

// requestSlots asks the earlier holders of awaited slots to release them.
func (n *node) requestSlots(now time.Duration) {
	if len(n.awaitedSlots) == 0 || now < n.slotsRequestedAt+requestInterval {
		return
	}
	n.slotsRequestedAt = now
	ask := map[string][]slotItem{}
	for _, i := range sortedKeys(n.awaitedSlots) {
		for _, o := range n.awaitedSlots[i].pendingHolders {
			ask[o.Host] = append(ask[o.Host], slotItem{Slot: i, SinceEpoch: n.awaitedSlots[i].sinceEpoch})
		}
	}
	for _, host := range sortedKeys(ask) {
		n.send(host, kindSlotRequest, slotRequestMessage{n.process().Incarnation, n.ledger.Epoch, ask[host]})
	}
}

// requestNewerLedger asks a host for its ledger when it knows a newer one.
func (n *node) requestNewerLedger(from string, epoch uint64) {
	if epoch > n.ledger.Epoch && !n.ledgerRequested {
		n.ledgerRequested = true
		n.send(from, kindLedgerRequest, ledgerRequestMessage{n.ledger.Epoch})
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
