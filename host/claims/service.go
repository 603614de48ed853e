// Package claims lets each keyed non-idempotent request run at most once over all hosts. The holder of
// a ledger slot owns the slot's claims; the host that runs a request keeps the second copy.
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
	tickPeriod = 50 * time.Millisecond
	// callTimeout bounds one message; Begin repeats it within its own deadline.
	callTimeout = 500 * time.Millisecond
	// beginTimeout bounds Begin when its context has a later deadline or none.
	beginTimeout = 3 * time.Second
	retryFirst   = 20 * time.Millisecond
	retryLast    = 500 * time.Millisecond
	// maxReports bounds the outcomes that wait for an owner. When it is reached an outcome is dropped:
	// the claim stays Running at the owner until its retention ends, so it is never run again early.
	maxReports = 8192
	// concurrency bounds the messages that one task has under way.
	concurrency = 16
)

// LedgerView is what the service needs to know about the ledger.
type LedgerView interface {
	Ledger() ledger.Ledger
	// Holds says that slot is named for this host, released to it, and that its lease holds now.
	Holds(slot int) bool
	LeaseValid() bool
}

// Options are what a Service works with. Host, Ledger, Caller and Peers are required.
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

// Service is this host's part in the claims, as executor, owner and holder of copies.
type Service struct {
	options Options
	shards  [ledger.SlotCount]shard
	bytes   atomic.Int64
	nonce   atomic.Uint64

	mu      sync.Mutex
	history claim.LossHistory // guarded by mu
	// covers holds what owners stated to have copied here, at most maxCovers.
	covers map[claim.Rereplication]time.Duration // guarded by mu

	// covered is what this host has copied elsewhere; only the loop uses it.
	covered struct {
		second claim.Process
		last   claim.LostProcess
		count  int
		slots  uint64
	}
	reports chan report
	// unreported counts the outcomes in reports and pending.
	unreported atomic.Int64
	pending    []report // only the loop of reports uses it
	done       chan struct{}
}

// maxCovers bounds the statements about copies. A statement beyond it is refused, which only makes a
// later takeover refuse claims as unknown.
const maxCovers = 4096

type recordID struct{ team, key string }

// shard holds what this host knows about one slot, in whichever role.
type shard struct {
	mu sync.Mutex
	// records holds at most MaxPerSlot records that were added here, and those that a takeover merged.
	records map[recordID]claim.Record
	// floor is the highest tenure that gathered this slot; grants of earlier tenures are void.
	floor uint64
	// tenure is the last own tenure whose claims were gathered completely, 0 if there is none.
	tenure uint64
	// closedBy is the tenure that took over from the own one.
	closedBy uint64
	// blockedUntil is the time until which the slot answers Unknown for keys that it does not know.
	blockedUntil time.Duration
	// grant is the last grant that was given out.
	grant uint64
	// takeover is the work under way to own the slot.
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
		options: options, covers: map[claim.Rereplication]time.Duration{},
		reports: make(chan report, maxReports), done: make(chan struct{}),
	}
	// Arrivals of an earlier process of this host must not be taken for those of this one.
	s.nonce.Store(rand.Uint64())
	for i := range s.shards {
		s.shards[i].records = map[recordID]claim.Record{}
	}
	peers.Handle(options.Peers, kindBegin, s.handleBegin)
	peers.Handle(options.Peers, kindFinish, s.handleFinish)
	peers.Handle(options.Peers, kindCopy, s.handleCopy)
	peers.Handle(options.Peers, kindGather, s.handleGather)
	peers.Handle(options.Peers, kindMoved, s.handleMoved)
	return s
}

// Run takes over slots, repairs copies, repeats reports and drops expired records until ctx ends.
func (s *Service) Run(ctx context.Context) (err error) {
	defer close(s.done)
	defer func() { err = errors.Wrap(err, "run the claims") }()
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return s.every(groupCtx, func(ctx context.Context, _ int) {
			s.observe()
			s.takeOver(ctx)
		})
	})
	group.Go(func() error {
		return s.every(groupCtx, func(ctx context.Context, round int) {
			s.repair(ctx)
			s.moveCopies(ctx)
			s.expire(round % ledger.SlotCount)
		})
	})
	group.Go(func() error { return s.every(groupCtx, func(ctx context.Context, _ int) { s.deliver(ctx) }) })
	if err = group.Wait(); ctx.Err() != nil {
		return nil
	}
	return err
}

// Done is closed when Run has returned.
func (s *Service) Done() <-chan struct{} { return s.done }

func (s *Service) every(ctx context.Context, work func(ctx context.Context, round int)) error {
	ticker := time.NewTicker(tickPeriod)
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

// observe notes which processes the ledger has lost. Requests that these were running become Unknown.
func (s *Service) observe() {
	l := s.options.Ledger.Ledger()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = s.history.Observe(l, s.options.Now(), s.options.Retention)
}

// expire drops the records of one slot whose retention has ended.
func (s *Service) expire(slot int) {
	now := s.options.Now()
	sh := &s.shards[slot]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for id, r := range sh.records {
		if now-r.GrantedAt > s.options.Retention {
			s.bytes.Add(-r.Bytes())
			delete(sh.records, id)
		}
	}
}

// put stores a record; sh.mu is held. A new answer that does not fit the memory bound is dropped.
func (s *Service) put(sh *shard, r claim.Record) {
	id := recordID{team: r.Request.Team, key: r.Request.Key}
	old, known := sh.records[id]
	if known {
		s.bytes.Add(-old.Bytes())
	}
	if r.Result != nil && (!known || old.Result == nil) && s.bytes.Load()+r.Bytes() > s.options.MaxBytes {
		r.Phase, r.Result = claim.PhaseUnknown, nil
	}
	s.bytes.Add(r.Bytes())
	sh.records[id] = r
}

// full says whether a slot takes no further claim; sh.mu is held.
func (s *Service) full(sh *shard, id recordID) bool {
	if _, known := sh.records[id]; known {
		return false
	}
	return len(sh.records) >= s.options.MaxRecordsPerSlot || s.bytes.Load() >= s.options.MaxBytes
}

// call sends one message with its own deadline.
func call[Req, Resp any](ctx context.Context, s *Service, to, kind string, request Req) (Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return peers.Call[Req, Resp](ctx, s.options.Caller, to, kind, request)
}

// aged turns the time of a record into an age for a message, or an age into a time.
func aged(r claim.Record, now time.Duration) claim.Record {
	r.GrantedAt = now - r.GrantedAt
	return r
}
