// Package budgets runs the ledger, the lease and the budgets of one host with clock, store and peers.
package budgets

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"

	"vanillatally/core/budget"
	"vanillatally/core/lease"
	"vanillatally/core/ledger"
	"vanillatally/io/peers"
	"vanillatally/io/store"
)

// Bounds of the service's queues. Messages above outboxSize are dropped and counted, because every message
// may be lost; maxWaiters admissions of one budget wait for a loan, further ones are refused at once.
const (
	outboxSize = 4096
	senders    = 8
	maxWaiters = 1024
)

// Options are the settings of a Service.
type Options struct {
	Host, Region, FailureDomain string
	Store                       store.Store
	Caller                      peers.Caller
	// Peers receives the handlers of this package's messages before New returns.
	Peers *peers.HandlerTable
	// Seeds are hosts that are asked for the ledger while none is known, so that a host that starts in an
	// outage of the store can borrow.
	Seeds []string
	// Broadcast floods a message to all hosts; nil sends a new ledger to each member.
	Broadcast func(ctx context.Context, kind string, body []byte) error
	// Clock is the monotonic clock; nil is the time since New.
	Clock func() time.Duration
	// MaxLoanWait bounds how long Admit waits for a loan; 0 refuses at once.
	MaxLoanWait time.Duration
	// Seed makes loan ids and jitter reproducible; 0 takes a random seed.
	Seed uint64
	// HandoverComplete reports that nothing is lost when this host's entry is removed; nil means always. Without it
	// within handOver the host stops without leaving, and the others fence it and count it as lost.
	HandoverComplete func(ctx context.Context) bool
	// Log receives rare events; nil discards them.
	Log *slog.Logger
}

// Service counts budgets over all hosts. It owns the host's lease and slots.
type Service struct {
	opts Options
	node *node
	// links holds the limits of links and teams those of teams; both make up the node's cells.
	limits  atomic.Pointer[limits]
	outbox  chan outgoing
	kick    chan struct{}
	pull    chan struct{}
	leaving atomic.Bool
	left    chan struct{}
	done    chan struct{}
	// dropped counts messages that found the outbox full.
	dropped, storeErrors atomic.Uint64
}

// limits are the limits in force; the keys of links have a prefix that keeps them apart from teams.
type limits struct{ teams, links budget.LimitTable }

const linkPrefix = "link\x00"

// WithTeams returns the options' limits of teams in force from the start.
func (s *Service) WithTeams(teams budget.LimitTable) *Service {
	s.SetTeams(teams)
	return s
}

// New returns a service that has registered its handlers and does nothing else until Run.
func New(o Options) *Service {
	if o.Clock == nil {
		start := time.Now()
		o.Clock = func() time.Duration { return time.Since(start) }
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	self := ledger.Member{Host: o.Host, Region: o.Region, FailureDomain: o.FailureDomain}
	s := &Service{
		opts: o, node: newNode(self, lease.DefaultTiming(), budget.ClockFactor, o.Seed, o.Clock()),
		outbox: make(chan outgoing, outboxSize), kick: make(chan struct{}, 1), pull: make(chan struct{}, 1),
		left: make(chan struct{}), done: make(chan struct{}),
	}
	s.limits.Store(&limits{})
	if o.Peers != nil {
		s.register(o.Peers)
	}
	return s
}

// handle registers one kind of message; its answer, if any, is a message of its own.
func handle[Msg any](s *Service, t *peers.HandlerTable, kind string) {
	peers.Handle(t, kind, func(_ context.Context, from string, m Msg) (struct{}, error) {
		s.receive(from, m)
		return struct{}{}, nil
	})
}

func (s *Service) register(t *peers.HandlerTable) {
	handle[renewMessage](s, t, kindRenew)
	handle[renewedMessage](s, t, kindRenewed)
	handle[fenceMessage](s, t, kindFence)
	handle[voteMessage](s, t, kindVote)
	handle[slotAskMessage](s, t, kindSlotAsk)
	handle[slotMessage](s, t, kindSlotRelease)
	handle[loanRequestMessage](s, t, kindLoanRequest)
	handle[loanGrantMessage](s, t, kindLoanGrant)
	handle[ledgerAskMessage](s, t, kindLedgerAsk)
	handle[ledgerMessage](s, t, kindLedger)
}

func (s *Service) receive(from string, m any) {
	s.node.mu.Lock()
	s.node.receive(s.opts.Clock(), from, m)
	due := s.node.storeDue(s.opts.Clock(), s.leaving.Load())
	s.flush()
	s.node.mu.Unlock()
	if due {
		signal(s.pull)
	}
}

// flush queues the node's messages; node.mu is held.
func (s *Service) flush() {
	for _, m := range s.node.drain() {
		select {
		case s.outbox <- m:
		default:
			s.dropped.Add(1)
		}
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// SetTeams replaces the teams' limits.
func (s *Service) SetTeams(teams budget.LimitTable) {
	s.set(func(l limits) limits { l.teams = teams; return l })
}

// SetLinks replaces the links' limits, in bytes.
func (s *Service) SetLinks(links budget.LimitTable) {
	s.set(func(l limits) limits { l.links = links; return l })
}

func (s *Service) set(change func(limits) limits) {
	for {
		old := s.limits.Load()
		next := change(*old)
		if !s.limits.CompareAndSwap(old, &next) {
			continue
		}
		all := next.teams.All()
		if all == nil {
			all = map[string]budget.Limits{}
		}
		for name, l := range next.links.All() {
			all[linkPrefix+name] = l
		}
		s.node.setLimits(s.opts.Clock(), all)
		return
	}
}

// SetDeclaredDead tells which members the operator declared dead. They are removed from the ledger without a fence,
// and this process does not join while it is among them.
func (s *Service) SetDeclaredDead(dead func(ledger.Member) bool) {
	s.node.mu.Lock()
	s.node.dead = dead
	s.node.mu.Unlock()
	signal(s.pull)
}

// Done is closed when Run has returned.
func (s *Service) Done() <-chan struct{} { return s.done }

// Run joins the ledger and serves until ctx ends or Leave has finished. It is called once.
func (s *Service) Run(ctx context.Context) (err error) {
	defer close(s.done)
	defer func() { err = errors.Wrapf(err, "run the budgets of host %s", s.opts.Host) }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	for range senders {
		g.Go(func() error { return s.sendLoop(ctx) })
	}
	g.Go(func() error { return s.tickLoop(ctx) })
	g.Go(func() error { return s.watchLoop(ctx) })
	g.Go(func() error {
		defer cancel()
		return s.storeLoop(ctx)
	})
	return g.Wait()
}

// sendLoop sends queued messages; a message that cannot be sent is lost, as the protocol allows.
func (s *Service) sendLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-s.outbox:
			if body, err := cbor.Marshal(m.body); err == nil {
				sendCtx, cancel := context.WithTimeout(ctx, time.Second)
				_ = s.opts.Caller.Send(sendCtx, m.to, m.kind, body)
				cancel()
			}
		}
	}
}

func (s *Service) tickLoop(ctx context.Context) error {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.tick(round)
		case <-s.kick:
			s.node.mu.Lock()
			s.node.borrow(s.opts.Clock())
			s.flush()
			s.node.mu.Unlock()
		}
	}
}

func (s *Service) tick(round int) {
	now := s.opts.Clock()
	s.node.mu.Lock()
	defer s.node.mu.Unlock()
	s.node.tick(now)
	if s.node.ledger.Epoch == 0 && round%20 == 0 {
		for _, seed := range s.opts.Seeds {
			s.node.send(seed, kindLedgerAsk, ledgerAskMessage{})
		}
	}
	if round%200 == 0 {
		s.node.pruneHints()
	}
	if s.node.storeDue(now, s.leaving.Load()) {
		signal(s.pull)
	}
	s.flush()
}
