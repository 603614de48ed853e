// Package configs keeps a host's configuration the newest one that the fleet has accepted, and writes changes.
package configs

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"vanillatally/core/config"
	"vanillatally/core/membership"
	"vanillatally/io/peers"
	"vanillatally/io/store"
)

// Membership is what this package needs of the fleet's membership.
type Membership interface {
	// Members returns all hosts that are known, this one included.
	Members() []membership.Member
	// Broadcast passes body to the handler of kind at every other host, once.
	Broadcast(ctx context.Context, kind string, body []byte) error
}

// Options are what New needs. Log may be nil; Seed makes the jitter of hosts differ.
type Options struct {
	Host     string
	Region   string
	Store    store.Store
	Caller   peers.Caller
	Handlers *peers.HandlerTable
	Members  Membership
	Logger   *slog.Logger
	Seed     uint64
}

const (
	// FreshnessTTL is the time for which a relay's statement keeps keyed routes in service.
	FreshnessTTL = 3 * time.Second
	// ConfirmTimeout is the time in which a written change has to be in force at every host.
	ConfirmTimeout = 4 * time.Second
	// statementEvery leaves two lost statements before a host counts as isolated.
	statementEvery = time.Second
	// standInAfter lets the next host in order replace a silent relay before others count as isolated.
	standInAfter = 1200 * time.Millisecond
	standInStep  = 300 * time.Millisecond
	standIns     = 3
	// contactFor is the age at which a store contact no longer counts as "now" at a relay.
	contactFor = 2 * time.Second
)

// Service holds the configuration in force at this host.
type Service struct {
	opts  Options
	start time.Time
	done  chan struct{}
	// instance identifies this process in its statements.
	instance uint64

	// current is nil until a configuration is known; its sequence never goes down.
	current atomic.Pointer[config.Configuration]
	// freshUntil and contactUntil are in nanoseconds since start, 0 before the first proof. They end FreshFor after
	// the newest statement of a relay, and after the newest statement whose root was a store read.
	freshUntil   atomic.Int64
	contactUntil atomic.Int64

	pulls chan hint
	gaps  chan uint64

	mu sync.Mutex
	// random is the source of jitter.
	random *rand.Rand
	// subscribers are called under mu, so that each sees the sequences in order.
	subscribers []func(*config.Configuration)
	history     history
	// version is the store's version of the newest object that this host read or wrote.
	version store.Version
	// waiters are the changes that wait for confirmations, at most maxWaiters.
	waiters map[*waiter]struct{}
	// broadcast is the highest sequence whose change was received or sent by broadcast.
	broadcast uint64
	relays    relays
	// met is set once another host was known; a host that is alone from the start needs no proof by a peer.
	met bool
}

// New returns the service and registers its handlers in Table. Run must be called for it to work.
func New(opts Options) *Service {
	if opts.Logger == nil {
		opts.Logger = slog.New(slog.DiscardHandler)
	}
	s := &Service{
		opts: opts, start: time.Now(), done: make(chan struct{}),
		pulls: make(chan hint, 1), gaps: make(chan uint64, 1),
		random:   rand.New(rand.NewPCG(opts.Seed, uint64(len(opts.Host)))),
		waiters:  map[*waiter]struct{}{},
		relays:   relays{last: map[string]uint64{}, lags: map[string]lag{}},
		instance: rand.Uint64(),
	}
	s.register(opts.Handlers)
	return s
}

// Run works until ctx ends and closes the done channel when all its goroutines have stopped.
func (s *Service) Run(ctx context.Context) error {
	defer close(s.done)
	group, ctx := errgroup.WithContext(ctx)
	for _, loop := range []func(context.Context){s.watch, s.state, s.pull, s.repeat} {
		group.Go(func() error { loop(ctx); return nil })
	}
	return group.Wait()
}

// Done is closed when Run has returned.
func (s *Service) Done() <-chan struct{} { return s.done }

// Current returns the configuration in force, or nil when none is known yet. It must not be changed.
func (s *Service) Current() *config.Configuration { return s.current.Load() }

// Sequence returns the sequence in force, 0 for none. Heartbeats carry it.
func (s *Service) Sequence() uint64 {
	if c := s.current.Load(); c != nil {
		return c.Sequence
	}
	return 0
}

// ObserveSequence tells that a host has reported a sequence, such as in a heartbeat. A gap starts a pull.
func (s *Service) ObserveSequence(host string, sequence uint64) {
	s.confirm(host, sequence)
	if sequence > s.Sequence() {
		s.hint(hint{host: host, sequence: sequence})
	}
}

// Fresh tells whether keyed requests of team may be served: the configuration was stated to be the newest
// within FreshFor. For a team with when-region-cut = "refuse" the statement must come from a store read.
func (s *Service) Fresh(team string) bool {
	now := int64(s.now())
	if now < s.contactUntil.Load() {
		return s.current.Load() != nil
	}
	if now >= s.freshUntil.Load() {
		return false
	}
	c := s.current.Load()
	if c == nil {
		return false
	}
	effective, ok := c.EffectiveTeam(team)
	return !ok || !effective.RefuseWhenRegionCut
}

// Subscribe calls fn with the configuration in force, if any, and with each later one in order.
// Sequences may be skipped. fn must return soon and must not call this service's Apply or Subscribe.
func (s *Service) Subscribe(fn func(*config.Configuration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, fn)
	if c := s.current.Load(); c != nil {
		fn(c)
	}
}

func (s *Service) now() time.Duration { return time.Since(s.start) }

// prove records a proof of freshness that is age old.
func (s *Service) prove(age time.Duration, contact bool) {
	until := int64(s.now() + FreshnessTTL - age)
	raise(&s.freshUntil, until)
	if contact {
		raise(&s.contactUntil, until)
	}
}

func raise(at *atomic.Int64, to int64) {
	for {
		was := at.Load()
		if to <= was || at.CompareAndSwap(was, to) {
			return
		}
	}
}

// take puts c in force if its sequence is higher than the one in force.
func (s *Service) take(c *config.Configuration, change *config.Change) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.current.Load()
	if before != nil && c.Sequence <= before.Sequence {
		return false
	}
	if change == nil && before != nil && c.Sequence == before.Sequence+1 {
		if edits, err := config.Diff(before, c); err == nil {
			change = &config.Change{Sequence: c.Sequence, ChangeID: c.ChangeID, Edits: edits}
		}
	}
	if change != nil {
		s.history.add(*change)
	}
	s.current.Store(c)
	s.opts.Logger.Info("configuration in force", "sequence", c.Sequence, "change-id", c.ChangeID)
	for _, fn := range s.subscribers {
		fn(c)
	}
	return true
}
