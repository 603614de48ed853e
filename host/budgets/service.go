// Package budgets enforces rate and burst limits that are counted over all hosts. Each host holds slots of a shared ledger
// under a lease, admits requests from token buckets for these slots, and borrows tokens from the holders of other slots.
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

// Bounds of the service's queues. Messages beyond outboxSize are dropped and counted, since the protocol allows that any
// message is lost. At most maxWaiters admissions of one budget wait for a loan; further ones are refused at once.
const (
	outboxSize  = 4096
	senderCount = 8
	maxWaiters  = 1024
)

// Options are the settings of a Service.
type Options struct {
	Host, Region, FailureDomain string
	Store                       store.Store
	Caller                      peers.Caller
	// Peers receives the handlers of this package's messages; New registers them.
	Peers *peers.HandlerTable
	// Seeds are hosts that are asked for the ledger while none is known, so that a host that starts in an
	// outage of the store can borrow.
	Seeds []string
	// Broadcast sends a message to all hosts. If it is nil, a new ledger is sent to each member directly.
	Broadcast func(ctx context.Context, kind string, body []byte) error
	// Clock is the monotonic clock; nil means the time since New.
	Clock func() time.Duration
	// MaxLoanWait bounds how long Admit waits for a loan; with 0 it refuses at once.
	MaxLoanWait time.Duration
	// Seed makes loan ids and jitter reproducible; 0 takes a random seed.
	Seed uint64
	// HandoverComplete reports whether this host's entry in the ledger can be removed without loss; nil means always. If it
	// cannot within handoverTimeout, the host stops without leaving, and the others fence it and count it as lost.
	HandoverComplete func(ctx context.Context) bool
	// Log receives failures of calls to the store; nil discards them.
	Log *slog.Logger
}

// Service enforces budgets that are counted over all hosts. It owns this host's lease and slots.
type Service struct {
	options Options
	node    *node
	// limits are the configured limits; the node has a limiter for each of them.
	limits     atomic.Pointer[limitTables]
	outbox     chan outgoingMessage
	borrowNow  chan struct{}
	syncNow    chan struct{}
	leaving    atomic.Bool
	leftLedger chan struct{}
	done       chan struct{}
	// droppedMessages counts messages that were dropped because the outbox was full.
	droppedMessages, storeErrors atomic.Uint64
}

// limitTables are the limits of teams and of links. The node's limiters of links have linkPrefix before their names, so that
// they differ from those of teams.
type limitTables struct{ teams, links budget.LimitTable }

const linkPrefix = "link\x00"

// WithTeams sets the limits of teams and returns s.
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
		options: o, node: newNode(self, lease.DefaultTiming(), budget.ClockFactor, o.Seed, o.Clock()),
		outbox: make(chan outgoingMessage, outboxSize), borrowNow: make(chan struct{}, 1), syncNow: make(chan struct{}, 1),
		leftLedger: make(chan struct{}), done: make(chan struct{}),
	}
	s.limits.Store(&limitTables{})
	if o.Peers != nil {
		s.registerHandlers(o.Peers)
	}
	return s
}

// registerHandler registers the handler of one kind of message. An answer, if any, is a message of its own.
func registerHandler[Msg any](s *Service, t *peers.HandlerTable, kind string) {
	peers.Handle(t, kind, func(_ context.Context, from string, m Msg) (struct{}, error) {
		s.handleMessage(from, m)
		return struct{}{}, nil
	})
}

func (s *Service) registerHandlers(t *peers.HandlerTable) {
	registerHandler[renewMessage](s, t, kindRenew)
	registerHandler[renewedMessage](s, t, kindRenewed)
	registerHandler[fenceMessage](s, t, kindFence)
	registerHandler[voteMessage](s, t, kindVote)
	registerHandler[slotRequestMessage](s, t, kindSlotRequest)
	registerHandler[slotReleaseMessage](s, t, kindSlotRelease)
	registerHandler[loanRequestMessage](s, t, kindLoanRequest)
	registerHandler[loanGrantMessage](s, t, kindLoanGrant)
	registerHandler[ledgerRequestMessage](s, t, kindLedgerRequest)
	registerHandler[ledgerMessage](s, t, kindLedger)
}

func (s *Service) handleMessage(from string, m any) {
	s.node.mu.Lock()
	s.node.handleMessage(s.options.Clock(), from, m)
	due := s.node.storeWriteDue(s.options.Clock(), s.leaving.Load())
	s.queueOutgoing()
	s.node.mu.Unlock()
	if due {
		signal(s.syncNow)
	}
}

// queueOutgoing moves the node's outgoing messages to the outbox. The caller holds node.mu.
func (s *Service) queueOutgoing() {
	for _, m := range s.node.takeOutgoing() {
		select {
		case s.outbox <- m:
		default:
			s.droppedMessages.Add(1)
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
	s.updateLimits(func(l limitTables) limitTables { l.teams = teams; return l })
}

// SetLinks replaces the links' limits, in bytes.
func (s *Service) SetLinks(links budget.LimitTable) {
	s.updateLimits(func(l limitTables) limitTables { l.links = links; return l })
}

func (s *Service) updateLimits(change func(limitTables) limitTables) {
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
		s.node.setLimits(s.options.Clock(), all)
		return
	}
}

// SetDeclaredDead sets the check for members that the operator declared dead. These are removed from the ledger without the
// votes of their witnesses, and this process does not join while it is one of them.
func (s *Service) SetDeclaredDead(declaredDead func(ledger.Member) bool) {
	s.node.mu.Lock()
	s.node.operatorDeclaredDead = declaredDead
	s.node.mu.Unlock()
	signal(s.syncNow)
}

// Done is closed when Run has returned.
func (s *Service) Done() <-chan struct{} { return s.done }

// Run joins the ledger and serves until ctx ends or Leave has finished. It must be called only once.
func (s *Service) Run(ctx context.Context) (err error) {
	defer close(s.done)
	defer func() { err = errors.Wrapf(err, "run the budget service of host %s", s.options.Host) }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	for range senderCount {
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

// sendLoop sends queued messages. A message that cannot be sent is dropped, as the protocol allows.
func (s *Service) sendLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-s.outbox:
			if body, err := cbor.Marshal(m.body); err == nil {
				sendCtx, cancel := context.WithTimeout(ctx, time.Second)
				_ = s.options.Caller.Send(sendCtx, m.to, m.kind, body)
				cancel()
			}
		}
	}
}

func (s *Service) tickLoop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.tick(round)
		case <-s.borrowNow:
			s.node.mu.Lock()
			s.node.updateLoans(s.options.Clock())
			s.queueOutgoing()
			s.node.mu.Unlock()
		}
	}
}

func (s *Service) tick(round int) {
	now := s.options.Clock()
	s.node.mu.Lock()
	defer s.node.mu.Unlock()
	s.node.tick(now)
	if s.node.ledger.Epoch == 0 && round%20 == 0 {
		for _, seed := range s.options.Seeds {
			s.node.send(seed, kindLedgerRequest, ledgerRequestMessage{})
		}
	}
	if round%200 == 0 {
		s.node.forgetDepartedHosts()
	}
	if s.node.storeWriteDue(now, s.leaving.Load()) {
		signal(s.syncNow)
	}
	s.queueOutgoing()
}
