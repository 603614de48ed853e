// Package claims runs each non-idempotent request with an idempotency key at most once over all hosts. A claim is the record
// of such a request. The holder of a ledger slot is the owner of the claims of that slot and grants them. The host that runs
// a request is its executor and holds a copy of the claim.
package claims

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"vanillatally/core/claim"
	"vanillatally/core/ledger"
	"vanillatally/io/peers"
)

const (
	tickInterval = 50 * time.Millisecond
	// callTimeout bounds one call to another host; Begin retries it within its own deadline.
	callTimeout = 500 * time.Millisecond
	// beginTimeout bounds Begin when its context has a later deadline or none.
	beginTimeout  = 3 * time.Second
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// maxPendingReports bounds the results that wait for an owner. Beyond it a result is dropped: its claim stays Running at
	// the owner until the retention ends, so the request is not run again early.
	maxPendingReports = 8192
	// maxConcurrentCalls bounds the concurrent calls of one task.
	maxConcurrentCalls = 16
)

// LedgerView is what the service needs to know about the ledger.
type LedgerView interface {
	Ledger() ledger.Ledger
	// Holds reports whether this host may use the slot now: it is assigned to this host, previous holders have released
	// it, and the lease is valid.
	Holds(slot int) bool
	LeaseValid() bool
}

// Options configure a Service. Host, Ledger, Caller and Peers are required.
type Options struct {
	Host   string
	Ledger LedgerView
	Caller peers.Caller
	// Peers receives the handlers of the service.
	Peers *peers.HandlerTable
	// Now is the monotonic clock since the start of the process.
	Now func() time.Duration
	// Retention defaults to claim.Retention.
	Retention time.Duration
	// MaxRecordsPerSlot and MaxBytes default to the limits of package claim.
	MaxRecordsPerSlot int
	MaxBytes          int64
	Logger            *slog.Logger
}

// Service manages claims on this host in its roles as executor, owner and holder of copies.
type Service struct {
	options     Options
	shards      [ledger.SlotCount]shard
	recordBytes atomic.Int64
	lastNonce   atomic.Uint64

	mu     sync.Mutex
	losses claim.LossHistory // guarded by mu
	// rereplications holds what owners have stated to have copied to this host, and when; at most maxRereplications entries.
	rereplications map[claim.Rereplication]time.Duration // guarded by mu

	// lastRepair is what the last run of replaceLostCopies covered, so that it is not repeated; only the loop in Run uses it.
	lastRepair struct {
		copyHolder claim.Process
		lastLost   claim.LostProcess
		lostCount  int
		slots      uint64
	}
	reports chan resultReport
	// unreportedCount counts the reports in reports and pendingReports.
	unreportedCount atomic.Int64
	pendingReports  []resultReport // used only by sendPendingReports
	done            chan struct{}
}

// maxRereplications bounds the stored statements about copies. A statement beyond it is refused, which only makes a later
// takeover answer more claims with Unknown.
const maxRereplications = 4096

type recordID struct{ team, key string }

// shard holds what this host knows about one slot, in any of its roles.
type shard struct {
	mu sync.Mutex
	// records holds at most MaxRecordsPerSlot records that were added here, and those that a takeover merged.
	records map[recordID]claim.Record
	// minOwnerEpoch is the highest owner epoch that has gathered this slot. Grants of lower owner epochs are rejected.
	minOwnerEpoch uint64
	// ownerEpoch is the latest owner epoch of this host for which all records were gathered, 0 if there is none.
	ownerEpoch uint64
	// successorEpoch is the owner epoch that took the slot over from this host, 0 if there is none.
	successorEpoch uint64
	// blockedUntil is the time until which keys without a record are answered with Unknown.
	blockedUntil time.Duration
	// lastGrant is the number of the last grant.
	lastGrant uint64
	// takeover is the takeover that is under way, or nil.
	takeover *takeover
}

// New returns a service and registers its handlers in options.Peers.
func New(options Options) *Service {
	if options.Now == nil {
		start := time.Now()
		options.Now = func() time.Duration { return time.Since(start) }
	}
	if options.Retention == 0 {
		options.Retention = claim.Retention
	}
	if options.MaxRecordsPerSlot == 0 {
		options.MaxRecordsPerSlot = claim.MaxRecordsPerSlot
	}
	if options.MaxBytes == 0 {
		options.MaxBytes = claim.MaxBytes
	}
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	s := &Service{
		options: options, rereplications: map[claim.Rereplication]time.Duration{},
		reports: make(chan resultReport, maxPendingReports), done: make(chan struct{}),
	}
	// A random start keeps calls of an earlier process of this host from being taken for calls of this one.
	s.lastNonce.Store(rand.Uint64())
	for i := range s.shards {
		s.shards[i].records = map[recordID]claim.Record{}
	}
	peers.Handle(options.Peers, kindBegin, s.handleBegin)
	peers.Handle(options.Peers, kindFinish, s.handleFinish)
	peers.Handle(options.Peers, kindCopy, s.handleCopy)
	peers.Handle(options.Peers, kindGather, s.handleGather)
	peers.Handle(options.Peers, kindCopiesMoved, s.handleMoved)
	return s
}

// Run takes over slots, replaces lost copies, retries reports and drops expired records until ctx ends.
func (s *Service) Run(ctx context.Context) (err error) {
	defer close(s.done)
	defer func() { err = errors.Wrap(err, "run the claim service") }()
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return s.runEvery(groupCtx, func(ctx context.Context, _ int) {
			s.observeLosses()
			s.takeOver(ctx)
		})
	})
	group.Go(func() error {
		return s.runEvery(groupCtx, func(ctx context.Context, round int) {
			s.replaceLostCopies(ctx)
			s.moveCopiesOfLeavingHosts(ctx)
			s.expire(round % ledger.SlotCount)
		})
	})
	group.Go(func() error {
		return s.runEvery(groupCtx, func(ctx context.Context, _ int) { s.sendPendingReports(ctx) })
	})
	if err = group.Wait(); ctx.Err() != nil {
		return nil
	}
	return err
}

// Done is closed when Run has returned.
func (s *Service) Done() <-chan struct{} { return s.done }

func (s *Service) runEvery(ctx context.Context, work func(ctx context.Context, round int)) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		work(ctx, round)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// observeLosses adds the processes that the ledger has lost to the history of losses.
func (s *Service) observeLosses() {
	l := s.options.Ledger.Ledger()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losses = s.losses.Observe(l, s.options.Now(), s.options.Retention)
}

// expire drops the records of one slot whose retention has ended.
func (s *Service) expire(slot int) {
	now := s.options.Now()
	sh := &s.shards[slot]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for id, r := range sh.records {
		if now-r.GrantedAt > s.options.Retention {
			s.recordBytes.Add(-r.Bytes())
			delete(sh.records, id)
		}
	}
}

// storeRecord stores a record. A new result that does not fit into MaxBytes is dropped and the record becomes Unknown. The
// caller holds sh.mu.
func (s *Service) storeRecord(sh *shard, r claim.Record) {
	id := recordID{team: r.Request.Team, key: r.Request.Key}
	old, known := sh.records[id]
	if known {
		s.recordBytes.Add(-old.Bytes())
	}
	if r.Result != nil && (!known || old.Result == nil) && s.recordBytes.Load()+r.Bytes() > s.options.MaxBytes {
		r.Phase, r.Result = claim.PhaseUnknown, nil
	}
	s.recordBytes.Add(r.Bytes())
	sh.records[id] = r
}

// atLimit reports whether a slot accepts no record of a new key. The caller holds sh.mu.
func (s *Service) atLimit(sh *shard, id recordID) bool {
	if _, known := sh.records[id]; known {
		return false
	}
	return len(sh.records) >= s.options.MaxRecordsPerSlot || s.recordBytes.Load() >= s.options.MaxBytes
}

// call sends a request to another host and waits for the answer, at most callTimeout.
func call[Req, Resp any](ctx context.Context, s *Service, to, kind string, request Req) (Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return peers.Call[Req, Resp](ctx, s.options.Caller, to, kind, request)
}

// swapTimeAndAge turns the grant time of a record into an age, for a message, and an age back into a time.
func swapTimeAndAge(r claim.Record, now time.Duration) claim.Record {
	r.GrantedAt = now - r.GrantedAt
	return r
}
