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

// requestInterval is the minimum time between two requests for awaited slots, and between two requests to fence the same
// member.
const requestInterval = 100 * time.Millisecond

// disabledChecks turn off single safeguards, so that tests can show that each of them is needed.
type disabledChecks struct {
	noLeaseCheck, noOutstandingCount, fullBucketOnAcquire, acceptDuplicateGrants,
	noReleaseWait, fenceByOneVote, loanOutlivesLease bool
}

// releasedSlot is a slot that this host has stopped using. It is kept to answer repeated requests, until this host
// acquires the slot again.
type releasedSlot struct {
	sinceEpoch uint64
	transfers  map[string]budget.ShareTransfer
}

// awaitedSlot is a slot that the ledger assigns to this host but that previous holders may still use.
type awaitedSlot struct {
	sinceEpoch     uint64
	pendingHolders []ledger.Process
	transfers      map[string]budget.ShareTransfer
}

// node is the state machine of one host. It reads no clock and does no I/O of its own: times, the clock and the store are
// parameters, and messages to send are collected in outgoing. Service and the simulation in the tests run the same node.
// Lock order: node.mu before limiter.mu.
type node struct {
	self        ledger.Member
	timing      lease.Timing
	clockFactor float64
	disabled    disabledChecks

	// operatorDeclaredDead reports whether the operator declared a member dead; nil means that none is.
	operatorDeclaredDead func(ledger.Member) bool

	mu      sync.Mutex
	rng     *rand.Rand
	ledger  ledger.Ledger
	holder  lease.Holder
	witness lease.Witness
	// heldSlots is the set of slots that this host uses while its lease is valid. The ledger assigns all of them to it.
	heldSlots        uint64
	releasedSlots    map[int]releasedSlot
	awaitedSlots     map[int]awaitedSlot
	fenceAttempts    map[ledger.Process]fenceAttempt
	slotsRequestedAt time.Duration
	// replaceEntryAfter is when this process may replace the ledger entry of an earlier process of this host. All
	// loans that the earlier process gave have expired by then.
	replaceEntryAfter time.Duration
	// joinIncarnation is the incarnation with which this process tries to join, joinSentAt the time of its first attempt.
	joinIncarnation uint64
	joinSentAt      time.Duration
	// storedLedger is the decoded value of the store at storedVersion, kept so that an unchanged value is decoded only once.
	storedVersion store.Version
	storedLedger  ledger.Ledger
	// ledgerRequested is set when this host has asked for a newer ledger since the last tick.
	ledgerRequested bool
	// leaseLapsedAt is when the lease was first seen invalid, 0 while it is valid.
	leaseLapsedAt time.Duration
	// storeUp is whether the last read from the store succeeded, storeAnsweredAt is when the last successful one was sent.
	// Without a recent one no binding votes to fence are requested, because a vote binds the witness until the next epoch.
	storeUp         bool
	storeAnsweredAt time.Duration
	// lastLoanRequest is when each host was last asked for a loan.
	lastLoanRequest map[string]time.Duration
	lastLoanID      uint64
	outgoing        []outgoingMessage

	// publishedExpiry, publishedSlots and limiters are what admissions read without mu.
	publishedExpiry atomic.Int64
	publishedSlots  atomic.Uint64
	limiters        atomic.Pointer[map[string]*limiter]
	sortedLimiters  []*limiter
}

// newNode returns the state machine of a process that starts at now.
func newNode(self ledger.Member, timing lease.Timing, clockFactor float64, seed uint64, now time.Duration) *node {
	n := &node{
		self: self, timing: timing, clockFactor: clockFactor, replaceEntryAfter: now + budget.LenderTTL,
		rng:           rand.New(rand.NewPCG(seed, 0)),
		releasedSlots: map[int]releasedSlot{}, awaitedSlots: map[int]awaitedSlot{}, fenceAttempts: map[ledger.Process]fenceAttempt{},
		lastLoanRequest: map[string]time.Duration{},
	}
	// A random start keeps loan ids unique across restarts of the host.
	n.lastLoanID = n.rng.Uint64() >> 1
	n.limiters.Store(&map[string]*limiter{})
	return n
}

// process returns the identity of this process in the ledger. The incarnation is 0 while the process is not a member.
func (n *node) process() ledger.Process {
	return ledger.Process{Host: n.self.Host, Incarnation: n.holder.Incarnation()}
}

func (n *node) send(to, kind string, body any) {
	n.outgoing = append(n.outgoing, outgoingMessage{to, kind, body})
}

// takeOutgoing returns the messages to send and clears the list.
func (n *node) takeOutgoing() []outgoingMessage {
	out := n.outgoing
	n.outgoing = nil
	return out
}

// publishLease makes the lease and the held slots visible to admissions.
func (n *node) publishLease() {
	expiry := n.holder.Expiry()
	if n.disabled.noLeaseCheck && n.holder.Incarnation() != 0 {
		expiry = lease.NoExpiry
	}
	n.publishedExpiry.Store(int64(expiry))
	n.publishedSlots.Store(n.heldSlots)
}

func (n *node) leaseValid(now time.Duration) bool { return int64(now) < n.publishedExpiry.Load() }

// setLimits replaces the limits of all budgets. A budget that remains keeps its limiter and tokens; others are dropped.
func (n *node) setLimits(now time.Duration, limits map[string]budget.Limits) {
	n.mu.Lock()
	defer n.mu.Unlock()
	old, limiters := *n.limiters.Load(), make(map[string]*limiter, len(limits))
	n.sortedLimiters = n.sortedLimiters[:0:0]
	for name, l := range limits {
		lim := old[name]
		if lim == nil {
			lim = &limiter{
				name: name, bucket: budget.Bucket{RefilledAt: now}, demandMeasuredAt: now, maxCost: min(1, l.Burst),
				lenderLevels: map[string]lenderLevel{}, borrowedLoans: make([]budget.Loan, 0, budget.MaxLoansPerBorrower),
			}
		}
		lim.mu.Lock()
		lim.setLimits(now, l, n.heldSlots, n.clockFactor)
		lim.lenders = n.lendersOf(lim.slots)
		lim.mu.Unlock()
		limiters[name] = lim
		n.sortedLimiters = append(n.sortedLimiters, lim)
	}
	slices.SortFunc(n.sortedLimiters, func(a, b *limiter) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	n.limiters.Store(&limiters)
}

// adoptNewer adopts l if it is newer than the known ledger.
func (n *node) adoptNewer(now time.Duration, l ledger.Ledger) {
	if l.Epoch > n.ledger.Epoch {
		n.ledger = l
		n.applyLedger(now)
	}
}

// completeJoin starts the lease after this process's entry was found in l. The write of the entry was first sent at joinSentAt.
func (n *node) completeJoin(now, joinSentAt time.Duration, incarnation uint64, l ledger.Ledger) {
	n.holder, n.leaseLapsedAt = lease.NewHolder(n.timing, incarnation, joinSentAt), 0
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
	var assigned uint64
	if n.process().Incarnation != 0 {
		assigned = n.ledger.AssignedSlots(n.self.Host)
	}
	n.releaseSlots(now, n.heldSlots&^assigned)
	for i, s := range n.ledger.Slots {
		bit := uint64(1) << i
		if assigned&bit == 0 || n.heldSlots&bit != 0 {
			delete(n.awaitedSlots, i)
			continue
		}
		a, ok := n.awaitedSlots[i]
		if !ok || a.sinceEpoch != s.SinceEpoch {
			a = awaitedSlot{sinceEpoch: s.SinceEpoch, pendingHolders: s.Unreleased, transfers: map[string]budget.ShareTransfer{}}
		}
		a.pendingHolders = slices.DeleteFunc(slices.Clone(a.pendingHolders), func(o ledger.Process) bool {
			return !n.ledger.IsMember(o)
		})
		n.awaitedSlots[i] = a
	}
	n.acquireReleased(now)
	for _, lim := range n.sortedLimiters {
		lim.mu.Lock()
		lim.lenders = n.lendersOf(lim.slots)
		lim.mu.Unlock()
	}
	n.publishLease()
}

// dropSlots discards all slots and the incarnation, after fencing, before joining again or when leaving.
func (n *node) dropSlots(now time.Duration) {
	n.holder, n.heldSlots = lease.Holder{}, 0
	n.publishLease()
	clear(n.releasedSlots)
	clear(n.awaitedSlots)
	for _, lim := range n.sortedLimiters {
		lim.mu.Lock()
		lim.dropSlots(now)
		lim.mu.Unlock()
	}
}

// releaseSlots stops using slots that the ledger has assigned to other hosts, and sends these what goes with the slots.
func (n *node) releaseSlots(now time.Duration, lost uint64) {
	if lost == 0 {
		return
	}
	n.heldSlots &^= lost
	n.publishLease()
	transfers := map[int]map[string]budget.ShareTransfer{}
	for _, lim := range n.sortedLimiters {
		lim.mu.Lock()
		perShare, slots := lim.releaseSlots(now, lost)
		lim.mu.Unlock()
		for ; slots != 0; slots &= slots - 1 {
			i := bits.TrailingZeros64(slots)
			if transfers[i] == nil {
				transfers[i] = map[string]budget.ShareTransfer{}
			}
			transfers[i][lim.name] = perShare
		}
	}
	items := map[string][]slotItem{}
	for rest := lost; rest != 0; rest &= rest - 1 {
		i := bits.TrailingZeros64(rest)
		s := n.ledger.Slots[i]
		n.releasedSlots[i] = releasedSlot{s.SinceEpoch, transfers[i]}
		items[s.Holder] = append(items[s.Holder], slotItem{i, s.SinceEpoch, transfers[i]})
	}
	for _, host := range sortedKeys(items) {
		n.send(host, kindSlotRelease, slotReleaseMessage{n.process().Incarnation, n.ledger.Epoch, items[host]})
	}
}

// acquireReleased starts using the awaited slots that no previous holder can use any more.
func (n *node) acquireReleased(now time.Duration) {
	for _, i := range sortedKeys(n.awaitedSlots) {
		a := n.awaitedSlots[i]
		if len(a.pendingHolders) > 0 && !n.disabled.noReleaseWait {
			continue
		}
		delete(n.awaitedSlots, i)
		delete(n.releasedSlots, i)
		n.heldSlots |= 1 << i
		for _, lim := range n.sortedLimiters {
			lim.mu.Lock()
			lim.acquireSlot(now, 1<<i, n.clockFactor, a.transfers[lim.name])
			if n.disabled.fullBucketOnAcquire {
				lim.bucket.Level = lim.bucket.Cap
			}
			lim.mu.Unlock()
		}
	}
	n.publishLease()
}

// handleSlotRequest answers a request to release slots. It leaves out slots whose assignment differs between the two hosts.
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

// handleSlotRelease records that a previous holder has stopped using slots.
func (n *node) handleSlotRelease(now time.Duration, from string, m slotReleaseMessage) {
	n.requestNewerLedger(from, m.Epoch)
	for _, item := range m.Slots {
		a, ok := n.awaitedSlots[item.Slot]
		index := slices.Index(a.pendingHolders, ledger.Process{Host: from, Incarnation: m.Incarnation})
		if !ok || a.sinceEpoch != item.SinceEpoch || index < 0 {
			continue
		}
		a.pendingHolders = slices.Delete(slices.Clone(a.pendingHolders), index, index+1)
		for name, transfer := range item.Transfers {
			sum := a.transfers[name]
			a.transfers[name] = budget.ShareTransfer{
				Tokens: sum.Tokens + transfer.Tokens, Outstanding: sum.Outstanding + transfer.Outstanding,
			}
		}
		n.awaitedSlots[item.Slot] = a
	}
	n.acquireReleased(now)
}

// requestSlots asks the previous holders of awaited slots to release them.
func (n *node) requestSlots(now time.Duration) {
	if len(n.awaitedSlots) == 0 || now < n.slotsRequestedAt+requestInterval {
		return
	}
	n.slotsRequestedAt = now
	requests := map[string][]slotItem{}
	for _, i := range sortedKeys(n.awaitedSlots) {
		for _, o := range n.awaitedSlots[i].pendingHolders {
			requests[o.Host] = append(requests[o.Host], slotItem{Slot: i, SinceEpoch: n.awaitedSlots[i].sinceEpoch})
		}
	}
	for _, host := range sortedKeys(requests) {
		n.send(host, kindSlotRequest, slotRequestMessage{n.process().Incarnation, n.ledger.Epoch, requests[host]})
	}
}

// requestNewerLedger asks a host for its ledger if epoch, which the host has mentioned, is newer. It does so at
// most once a tick.
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
