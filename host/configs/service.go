// Package configs distributes the operators' configuration to all hosts.
//
// The configuration is one object in the store. The host that an operator uses writes a change to it with a
// compare-and-swap, broadcasts the change to the other hosts and waits until they confirm that it is in force. In each
// region one host, the relay, watches the object in the store. Every second a relay broadcasts a freshness statement,
// which names the newest sequence. Hosts that missed a change pull it from a peer. Without a recent freshness statement a
// host's configuration is not fresh: it may be outdated, so the host refuses requests with API keys.
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

// Membership is the part of the fleet's membership service that this package uses.
type Membership interface {
	// Members returns all known hosts, including this one.
	Members() []membership.Member
	// Broadcast sends body to every other host, where the handler of kind gets it once.
	Broadcast(ctx context.Context, kind string, body []byte) error
}

// Options configure a Service. Logger may be nil. Seed differs between hosts so that their jitter differs.
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
	// FreshnessTTL is how long after a freshness statement a host serves requests with API keys.
	FreshnessTTL = 3 * time.Second
	// ConfirmTimeout is the time within which a written change has to be in force at every host; Apply waits no longer.
	ConfirmTimeout = 4 * time.Second
	// statementInterval allows two lost freshness statements in a row before a host's configuration is not fresh.
	statementInterval = time.Second
	// backupRelayDelay is the silence after which the next host takes over from a relay. It is short enough that the
	// other hosts' configurations stay fresh. Each further candidate waits backupRelayStep longer.
	backupRelayDelay = 1200 * time.Millisecond
	backupRelayStep  = 300 * time.Millisecond
	// relayCandidates is the number of hosts per region that may act as a relay, the first one included.
	relayCandidates = 3
	// storeContactTTL is how long after a store read a relay still states that it is in contact with the store.
	storeContactTTL = 2 * time.Second
)

// Service keeps the configuration in force at this host up to date and writes operators' changes.
type Service struct {
	opts  Options
	start time.Time
	done  chan struct{}
	// instance identifies this process in its freshness statements.
	instance uint64

	// current is nil until a configuration is known. Its sequence never decreases.
	current atomic.Pointer[config.Configuration]
	// freshUntil and storeFreshUntil are the ends of the freshness of this host's configuration, in nanoseconds since
	// start, and 0 before the first proof of freshness. freshUntil counts every freshness statement, storeFreshUntil only
	// those by relays that were in contact with the store.
	freshUntil      atomic.Int64
	storeFreshUntil atomic.Int64

	pullHints chan pullHint
	// rebroadcasts holds a sequence that the store watch returned and that may not have been broadcast.
	rebroadcasts chan uint64

	mu sync.Mutex
	// random is the source of jitter.
	random *rand.Rand
	// subscribers are called under mu, so that each sees the sequences in order.
	subscribers []func(*config.Configuration)
	history     history
	// storeVersion is the version of the newest object that this host read from the store.
	storeVersion store.Version
	// pendingChanges are the changes that wait for confirmations, at most maxPendingChanges.
	pendingChanges map[*pendingChange]struct{}
	// lastBroadcast is the highest sequence of a change that this host received or sent as a broadcast.
	lastBroadcast uint64
	relay         relayState
	// hadPeers is set once another host has been known. A relay that never had peers needs no peer's confirmation that
	// its sequence is the newest.
	hadPeers bool
}

// New returns a service and registers its message handlers in opts.Handlers. Run must be called for it to work.
func New(opts Options) *Service {
	if opts.Logger == nil {
		opts.Logger = slog.New(slog.DiscardHandler)
	}
	s := &Service{
		opts: opts, start: time.Now(), done: make(chan struct{}),
		pullHints: make(chan pullHint, 1), rebroadcasts: make(chan uint64, 1),
		random:         rand.New(rand.NewPCG(opts.Seed, uint64(len(opts.Host)))),
		pendingChanges: map[*pendingChange]struct{}{},
		relay:          relayState{lastNumbers: map[string]uint64{}, delays: map[string]delayEstimate{}},
		instance:       rand.Uint64(),
	}
	s.registerHandlers(opts.Handlers)
	return s
}

// Run runs the service until ctx ends. It closes the channel of Done when all its goroutines have stopped.
func (s *Service) Run(ctx context.Context) error {
	defer close(s.done)
	group, ctx := errgroup.WithContext(ctx)
	for _, loop := range []func(context.Context){s.watchStore, s.sendStatements, s.pullMissing, s.rebroadcastMissed} {
		group.Go(func() error { loop(ctx); return nil })
	}
	return group.Wait()
}

// Done is closed when Run has returned.
func (s *Service) Done() <-chan struct{} { return s.done }

// Current returns the configuration in force, or nil when none is known yet. Callers must not change it.
func (s *Service) Current() *config.Configuration { return s.current.Load() }

// Sequence returns the sequence of the configuration in force, or 0 when none is known yet. Heartbeats carry it.
func (s *Service) Sequence() uint64 {
	if c := s.current.Load(); c != nil {
		return c.Sequence
	}
	return 0
}

// ObserveSequence handles the sequence that another host has in force, such as from its heartbeat. It counts as the
// host's confirmation, and a sequence above this host's starts a pull.
func (s *Service) ObserveSequence(host string, sequence uint64) {
	s.recordConfirmation(host, sequence)
	if sequence > s.Sequence() {
		s.requestPull(pullHint{host: host, sequence: sequence})
	}
}

// Fresh reports whether requests of team with API keys may be served: a freshness statement confirmed within FreshnessTTL
// that the configuration in force is the newest. For a team with when-region-cut = "refuse", the relay that made the
// statement must have been in contact with the store.
func (s *Service) Fresh(team string) bool {
	now := int64(s.now())
	if now < s.storeFreshUntil.Load() {
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

// Subscribe calls fn with the configuration in force, if any, and then with each new one. Sequences increase and may be
// skipped. fn must return quickly and must not call Apply or Subscribe of this service.
func (s *Service) Subscribe(fn func(*config.Configuration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, fn)
	if c := s.current.Load(); c != nil {
		fn(c)
	}
}

func (s *Service) now() time.Duration { return time.Since(s.start) }

// extendFreshness records a proof of freshness that was valid age ago; fromStore says that it is based on a store read.
func (s *Service) extendFreshness(age time.Duration, fromStore bool) {
	until := int64(s.now() + FreshnessTTL - age)
	raiseTo(&s.freshUntil, until)
	if fromStore {
		raiseTo(&s.storeFreshUntil, until)
	}
}

// raiseTo sets target to value if that is higher.
func raiseTo(target *atomic.Int64, value int64) {
	for {
		old := target.Load()
		if value <= old || target.CompareAndSwap(old, value) {
			return
		}
	}
}

// install puts c in force if its sequence is higher than the one in force, and reports whether it did. change is the change
// that led to c, or nil if it is not known.
func (s *Service) install(c *config.Configuration, change *config.Change) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.current.Load()
	if previous != nil && c.Sequence <= previous.Sequence {
		return false
	}
	if change == nil && previous != nil && c.Sequence == previous.Sequence+1 {
		if edits, err := config.Diff(previous, c); err == nil {
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
