// Package permits limits how many requests all hosts together run at each backend server. One host, the server's owner, grants
// permits to the other hosts, which report how many they use and need. Each host caches its permits, so that most requests
// start without a message to the owner.
package permits

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"vanillatally/core/ledger"
	"vanillatally/core/permit"
	"vanillatally/io/peers"
)

// Errors of Acquire, besides those of its context.
var (
	// ErrUnknownServer: the server is not among those of SetServers, or was removed while the request waited.
	ErrUnknownServer = errors.New("unknown backend server")
	// ErrQueueFull: too many requests wait for the server at this host, or too many teams use it.
	ErrQueueFull = errors.New("too many requests are waiting for a permit")
)

const (
	tickInterval = 20 * time.Millisecond
	// renewInterval is the interval of reports, each of which renews the permits. It allows for several lost reports
	// within the lifetime of a permit.
	renewInterval = permit.Lifetime / 4
	// changeInterval is the shortest time between reports of changed numbers. The first waiting request is reported at once.
	changeInterval = 10 * time.Millisecond
	// retryDelay is the time until the next report after a response without a grant.
	retryDelay = 50 * time.Millisecond
	// idleTimeout is the time after which a host gives up permits that it does not use.
	idleTimeout = time.Second
	callTimeout = 300 * time.Millisecond
	// maxWaiting bounds the requests that wait for one server at this host.
	maxWaiting = 1024
	// maxTeams bounds the teams in the cache of one server. When it is reached, teams without requests are removed.
	maxTeams = 1024
	// pushQueueLength bounds the queued grant messages. A grant that was dropped is repeated in the response to the next
	// report.
	pushQueueLength = 1024
	pushWorkers     = 4
	// takeoverConcurrency bounds the members that are asked at the same time in a takeover.
	takeoverConcurrency = 16
)

// LedgerView returns this host's view of the ledger, and whether its lease, which the owner of a server needs, is valid.
type LedgerView interface {
	Ledger() ledger.Ledger
	LeaseValid() bool
}

// Server is the capacity and the location of a backend server. Slots is the limit of concurrent requests.
type Server struct {
	Slots         int
	Region        string
	FailureDomain string
}

// Options configure a Service. Host, FailureDomain, Ledger, Caller and Handlers are required.
type Options struct {
	Host          string
	FailureDomain string
	Ledger        LedgerView
	Caller        peers.Caller
	// Handlers is where New registers the message handlers of the service.
	Handlers *peers.HandlerTable
	// Now returns the monotonic time since the start of the process.
	Now    func() time.Duration
	Logger *slog.Logger
}

// Service grants permits for the servers that this host owns, and caches the permits that this host uses.
type Service struct {
	options  Options
	instance uint64 // identifies this process in reports and grants
	// servers is replaced as a whole by SetServers. The states of servers that stay are kept.
	servers      atomic.Pointer[map[string]*serverState]
	weights      atomic.Pointer[map[string]float64]
	setServersMu sync.Mutex
	wakeups      chan struct{}
	pushes       chan grantPush
	mu           sync.Mutex
	// reporting holds the owners to which a report is on its way. It is guarded by mu.
	reporting map[string]bool
	done      chan struct{}
}

// serverState is the state of one server: this host's permits, and the state as its owner.
type serverState struct {
	id     string
	server atomic.Pointer[Server]
	cache  permitCache
	owner  ownerState
}

type grantPush struct {
	to     string
	grants grantMessage
}

// New returns a service without servers and registers its message handlers in options.Handlers. Run must be called for it to
// work.
func New(options Options) *Service {
	if options.Now == nil {
		start := time.Now()
		options.Now = func() time.Duration { return time.Since(start) }
	}
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	s := &Service{
		options: options, instance: rand.Uint64(), wakeups: make(chan struct{}, 1),
		pushes: make(chan grantPush, pushQueueLength), reporting: map[string]bool{}, done: make(chan struct{}),
	}
	s.servers.Store(&map[string]*serverState{})
	s.weights.Store(&map[string]float64{})
	peers.Handle(options.Handlers, kindReport, s.handleReports)
	peers.Handle(options.Handlers, kindGrant, s.handleGrants)
	peers.Handle(options.Handlers, kindTakeover, s.handleTakeover)
	return s
}

// SetServers replaces the backend servers. Requests that wait for a removed server fail with ErrUnknownServer.
func (s *Service) SetServers(servers map[string]Server) {
	s.setServersMu.Lock()
	defer s.setServersMu.Unlock()
	old := *s.servers.Load()
	entries := make(map[string]*serverState, len(servers))
	for id, server := range servers {
		e := old[id]
		if e == nil {
			e = &serverState{id: id}
			e.cache.teams = map[string]*teamState{}
		}
		e.server.Store(&server)
		entries[id] = e
	}
	s.servers.Store(&entries)
	for id, e := range old {
		if entries[id] == nil {
			e.cache.refuseWaiters()
		}
	}
}

// SetTeamWeights replaces the weights by which teams share permits. A team without a weight has weight 1.
func (s *Service) SetTeamWeights(weights map[string]float64) {
	clone := make(map[string]float64, len(weights))
	for team, w := range weights {
		clone[team] = w
	}
	s.weights.Store(&clone)
}

// Run runs the service until ctx ends.
func (s *Service) Run(ctx context.Context) (err error) {
	defer close(s.done)
	defer func() { err = errors.Wrap(err, "run the permit service") }()
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.sendReports(groupCtx) })
	group.Go(func() error { return s.runOwner(groupCtx) })
	for range pushWorkers {
		group.Go(func() error { return s.sendPushes(groupCtx) })
	}
	if err = group.Wait(); ctx.Err() != nil {
		return nil
	}
	return err
}

// Done is closed when Run has returned.
func (s *Service) Done() <-chan struct{} { return s.done }

func (s *Service) wakeReporter() {
	select {
	case s.wakeups <- struct{}{}:
	default:
	}
}

// sendReports sends the reports that are due. Each owner gets one call at a time.
func (s *Service) sendReports(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var group errgroup.Group
	defer func() { _ = group.Wait() }()
	for {
		l := s.options.Ledger.Ledger()
		due := map[string][]*serverState{}
		s.mu.Lock()
		for _, e := range *s.servers.Load() {
			owner := permit.Owner(l, e.id, e.server.Load().Region)
			if owner != "" && !s.reporting[owner] && e.cache.reportDue(s.options.Now(), owner, s.mayFallBack(e)) {
				due[owner] = append(due[owner], e)
			}
		}
		for owner := range due {
			s.reporting[owner] = true
		}
		s.mu.Unlock()
		for owner, entries := range due {
			group.Go(func() error {
				s.sendReport(ctx, owner, entries)
				s.mu.Lock()
				delete(s.reporting, owner)
				s.mu.Unlock()
				s.wakeReporter()
				return nil
			})
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-s.wakeups:
		}
	}
}

func (s *Service) sendReport(ctx context.Context, owner string, entries []*serverState) {
	message := reportMessage{}
	for _, e := range entries {
		message.Reports = append(message.Reports, e.cache.newReport(s.options.Now(), e.id, s.instance, owner))
	}
	var response grantMessage
	var err error
	if owner == s.options.Host {
		response, err = s.handleReports(ctx, owner, message)
	} else {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		response, err = peers.Call[reportMessage, grantMessage](callCtx, s.options.Caller, owner, kindReport, message)
	}
	if err != nil {
		return
	}
	for _, e := range entries {
		granted := slices.ContainsFunc(response.Grants, func(g permit.Grant) bool { return g.Server == e.id })
		e.cache.recordResponse(s.options.Now(), owner, granted)
	}
	s.applyGrants(owner, response)
}

// applyGrants applies an owner's grants to the caches of their servers.
func (s *Service) applyGrants(owner string, message grantMessage) {
	entries, now := *s.servers.Load(), s.options.Now()
	for _, g := range message.Grants {
		if e := entries[g.Server]; e != nil && g.Instance == s.instance && e.cache.applyGrant(now, owner, g) {
			s.wakeReporter()
		}
	}
}

func (s *Service) sendPushes(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case p := <-s.pushes:
			if p.to == s.options.Host {
				s.applyGrants(p.to, p.grants)
				continue
			}
			sendCtx, cancel := context.WithTimeout(ctx, callTimeout)
			_ = peers.Send(sendCtx, s.options.Caller, p.to, kindGrant, p.grants)
			cancel()
		}
	}
}
