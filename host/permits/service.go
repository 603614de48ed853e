// Package permits bounds the requests that run at each backend server over all hosts: an owner host
// for each server hands out permits, and every host caches those that it has work for.
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

// Errors of Acquire besides those of its context.
var (
	// ErrUnknownServer: the server is not among those of SetServers.
	ErrUnknownServer = errors.New("backend server is unknown")
	// ErrQueueFull: too many requests wait for the server at this host.
	ErrQueueFull = errors.New("too many requests wait for a permit")
)

const (
	tickInterval = 20 * time.Millisecond
	// renewInterval gives a permit several chances to be renewed within its lifetime.
	renewInterval = permit.Lifetime / 4
	// changeInterval limits the reports about changed waiting requests; the first one goes at once.
	changeInterval = 10 * time.Millisecond
	// retryDelay is the wait after an owner has answered that it does not grant yet.
	retryDelay = 50 * time.Millisecond
	// idleTimeout is how long a permit stays at a host without work.
	idleTimeout = time.Second
	callTimeout = 300 * time.Millisecond
	// maxWaiting bounds the requests that wait for one server at this host.
	maxWaiting = 1024
	// maxTeams bounds the teams of one server; idle ones are dropped when it is reached.
	maxTeams = 1024
	// pushQueueLength bounds the grants on their way; a dropped one is repeated in the answer to the next report.
	pushQueueLength     = 1024
	pushWorkers         = 4
	takeoverConcurrency = 16
)

// LedgerView is what the service needs to know about the ledger.
type LedgerView interface {
	Ledger() ledger.Ledger
	LeaseValid() bool
}

// Server is the capacity and location of a backend server.
type Server struct {
	Slots         int
	Region        string
	FailureDomain string
}

// Options are what a Service works with. Host, FailureDomain, Ledger, Caller and Peers are required.
type Options struct {
	Host          string
	FailureDomain string
	Ledger        LedgerView
	Caller        peers.Caller
	// Handlers receives the handlers of the service.
	Handlers *peers.HandlerTable
	// Now is the monotonic clock since the start of the process.
	Now    func() time.Duration
	Logger *slog.Logger
}

// Service hands out permits for the servers that this host owns and caches those that it uses.
type Service struct {
	options  Options
	instance uint64
	// servers is replaced as a whole by SetServers; entries of unchanged servers are kept.
	servers      atomic.Pointer[map[string]*serverState]
	weights      atomic.Pointer[map[string]float64]
	setServersMu sync.Mutex
	wake         chan struct{}
	pushes       chan grantPush
	// calling holds the owners to which a report is under way.
	mu        sync.Mutex
	reporting map[string]bool // guarded by mu
	done      chan struct{}
}

// serverState is one server: the permits that this host uses, and its book if this host is the owner.
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

// New returns a service without servers and registers its handlers in options.Peers.
func New(options Options) *Service {
	if options.Now == nil {
		start := time.Now()
		options.Now = func() time.Duration { return time.Since(start) }
	}
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	s := &Service{
		options: options, instance: rand.Uint64(), wake: make(chan struct{}, 1),
		pushes: make(chan grantPush, pushQueueLength), reporting: map[string]bool{}, done: make(chan struct{}),
	}
	s.servers.Store(&map[string]*serverState{})
	s.weights.Store(&map[string]float64{})
	peers.Handle(options.Handlers, kindReport, s.handleReports)
	peers.Handle(options.Handlers, kindGrant, s.handleGrants)
	peers.Handle(options.Handlers, kindTakeover, s.handleTakeover)
	return s
}

// SetServers replaces the backend servers. Requests that wait for a removed server are refused.
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

// SetTeamWeights replaces the weights of the teams; a team without one has weight 1.
func (s *Service) SetTeamWeights(weights map[string]float64) {
	clone := make(map[string]float64, len(weights))
	for team, w := range weights {
		clone[team] = w
	}
	s.weights.Store(&clone)
}

// Run reports to owners, takes over servers and hands out permits until ctx ends.
func (s *Service) Run(ctx context.Context) (err error) {
	defer close(s.done)
	defer func() { err = errors.Wrap(err, "run the permits") }()
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
	case s.wake <- struct{}{}:
	default:
	}
}

// sendReports sends the reports that are due, one call at a time to each owner.
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
		case <-s.wake:
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

// applyGrants takes over grants from an owner.
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
