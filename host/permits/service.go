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
	tickPeriod = 20 * time.Millisecond
	// renewPeriod gives a permit several chances to be renewed within its lifetime.
	renewPeriod = permit.Lifetime / 4
	// changePeriod limits the reports about changed waiting requests; the first one goes at once.
	changePeriod = 10 * time.Millisecond
	// retryPeriod is the wait after an owner has answered that it does not grant yet.
	retryPeriod = 50 * time.Millisecond
	// idlePeriod is how long a permit stays at a host without work.
	idlePeriod  = time.Second
	callTimeout = 300 * time.Millisecond
	// maxWaiting bounds the requests that wait for one server at this host.
	maxWaiting = 1024
	// maxTeams bounds the teams of one server; idle ones are dropped when it is reached.
	maxTeams = 1024
	// maxPushes bounds the grants on their way; a dropped one is repeated in the answer to the next report.
	maxPushes   = 1024
	pushWorkers = 4
	concurrency = 16
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
	servers atomic.Pointer[map[string]*entry]
	weights atomic.Pointer[map[string]float64]
	setting sync.Mutex
	wake    chan struct{}
	pushes  chan push
	// calling holds the owners to which a report is under way.
	mu      sync.Mutex
	calling map[string]bool // guarded by mu
	done    chan struct{}
}

// entry is one server: the permits that this host uses, and its book if this host is the owner.
type entry struct {
	id     string
	server atomic.Pointer[Server]
	cache  cache
	owned  owned
}

type push struct {
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
		pushes: make(chan push, maxPushes), calling: map[string]bool{}, done: make(chan struct{}),
	}
	s.servers.Store(&map[string]*entry{})
	s.weights.Store(&map[string]float64{})
	peers.Handle(options.Handlers, kindReport, s.handleReports)
	peers.Handle(options.Handlers, kindGrant, s.handleGrants)
	peers.Handle(options.Handlers, kindTakeover, s.handleTakeover)
	return s
}

// SetServers replaces the backend servers. Requests that wait for a removed server are refused.
func (s *Service) SetServers(servers map[string]Server) {
	s.setting.Lock()
	defer s.setting.Unlock()
	old := *s.servers.Load()
	entries := make(map[string]*entry, len(servers))
	for id, server := range servers {
		e := old[id]
		if e == nil {
			e = &entry{id: id}
			e.cache.teams = map[string]*team{}
		}
		e.server.Store(&server)
		entries[id] = e
	}
	s.servers.Store(&entries)
	for id, e := range old {
		if entries[id] == nil {
			e.cache.refuseAll()
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
	group.Go(func() error { return s.report(groupCtx) })
	group.Go(func() error { return s.own(groupCtx) })
	for range pushWorkers {
		group.Go(func() error { return s.push(groupCtx) })
	}
	if err = group.Wait(); ctx.Err() != nil {
		return nil
	}
	return err
}

// Done is closed when Run has returned.
func (s *Service) Done() <-chan struct{} { return s.done }

func (s *Service) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// report sends the reports that are due, one call at a time to each owner.
func (s *Service) report(ctx context.Context) error {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	var group errgroup.Group
	defer func() { _ = group.Wait() }()
	for {
		l := s.options.Ledger.Ledger()
		due := map[string][]*entry{}
		s.mu.Lock()
		for _, e := range *s.servers.Load() {
			owner := permit.Owner(l, e.id, e.server.Load().Region)
			if owner != "" && !s.calling[owner] && e.cache.due(s.options.Now(), owner, s.fallback(e)) {
				due[owner] = append(due[owner], e)
			}
		}
		for owner := range due {
			s.calling[owner] = true
		}
		s.mu.Unlock()
		for owner, entries := range due {
			group.Go(func() error {
				s.reportTo(ctx, owner, entries)
				s.mu.Lock()
				delete(s.calling, owner)
				s.mu.Unlock()
				s.wakeUp()
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

func (s *Service) reportTo(ctx context.Context, owner string, entries []*entry) {
	message := reportMessage{}
	for _, e := range entries {
		message.Reports = append(message.Reports, e.cache.report(s.options.Now(), e.id, s.instance, owner))
	}
	var answer grantMessage
	var err error
	if owner == s.options.Host {
		answer, err = s.handleReports(ctx, owner, message)
	} else {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		answer, err = peers.Call[reportMessage, grantMessage](callCtx, s.options.Caller, owner, kindReport, message)
	}
	if err != nil {
		return
	}
	for _, e := range entries {
		granted := slices.ContainsFunc(answer.Grants, func(g permit.Grant) bool { return g.Server == e.id })
		e.cache.answered(s.options.Now(), owner, granted)
	}
	s.apply(owner, answer)
}

// apply takes over grants from an owner.
func (s *Service) apply(owner string, message grantMessage) {
	entries, now := *s.servers.Load(), s.options.Now()
	for _, g := range message.Grants {
		if e := entries[g.Server]; e != nil && g.Instance == s.instance && e.cache.apply(now, owner, g) {
			s.wakeUp()
		}
	}
}

func (s *Service) push(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case p := <-s.pushes:
			if p.to == s.options.Host {
				s.apply(p.to, p.grants)
				continue
			}
			sendCtx, cancel := context.WithTimeout(ctx, callTimeout)
			_ = peers.Send(sendCtx, s.options.Caller, p.to, kindGrant, p.grants)
			cancel()
		}
	}
}
