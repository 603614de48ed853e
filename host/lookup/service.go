// Package lookup answers callers that ask which host to use, and keeps the look-up index up to date.
package lookup

import (
	"context"
	"iter"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"vanillatally/core/config"
	"vanillatally/core/membership"
	"vanillatally/core/steering"
	"vanillatally/io/platform"
)

// Options are the sources of a Service. Functions that are nil are left out, except for Members and Configuration,
// which are required. All functions must be safe for concurrent use and return values that nobody changes.
type Options struct {
	// Self is this host. Its region is the region of callers whose block is unknown.
	Self           membership.Member
	Members        func() []membership.Member
	Configuration  func() *config.Configuration
	BackendServers func() []platform.BackendServer
	// ClientPrefixes loads the client blocks with the regions that they belong to.
	ClientPrefixes func(ctx context.Context) (iter.Seq2[netip.Prefix, string], error)
	// HostsWithRateShare names the hosts that hold shares of a team's rate. Within a site they come first.
	HostsWithRateShare func(team string) []string
	// Loads returns the measured load of each site, "region/failure-domain", in slots in use by route's service.
	Loads func(service string) map[string]float64
	// Shifts returns the shares that running shifts of a service's routes have moved from region to region.
	Shifts func(service string) []Shift
	// Now is the monotonic time since the process started; nil means the clock.
	Now func() time.Duration
	// TTL is the time to live of answers before the jitter; 0 means 5 s.
	TTL time.Duration
	// RefreshInterval is the longest time between two updates of the index; 0 means 1 s.
	RefreshInterval time.Duration
}

// Shift is the share of a region's callers that a running shift has moved.
type Shift struct {
	From, To string
	// Share is in [0, 1].
	Share float64
}

// Service answers look-ups from an immutable view that Update replaces; answers never wait for an update.
type Service struct {
	options Options
	view    atomic.Pointer[view]
	notify  chan struct{}
	done    chan struct{}

	// mu serializes updates; answers do not take it.
	mu      sync.Mutex
	builder *builder
}

// New returns a service. It answers 503 until the first Update has seen a configuration.
func New(options Options) *Service {
	if options.Now == nil {
		start := time.Now()
		options.Now = func() time.Duration { return time.Since(start) }
	}
	if options.TTL <= 0 {
		options.TTL = defaultTTL
	}
	if options.RefreshInterval <= 0 {
		options.RefreshInterval = time.Second
	}
	return &Service{
		options: options, notify: make(chan struct{}, 1), done: make(chan struct{}), builder: newBuilder(),
	}
}

// Handler serves GET /v1/lookup.
func (s *Service) Handler() http.Handler { return http.HandlerFunc(s.serve) }

// RequestUpdate asks for an update soon, after a change of the configuration or the members. It never blocks.
func (s *Service) RequestUpdate() {
	select {
	case s.notify <- struct{}{}:
	default: // an update is due already
	}
}

// Done is closed when Run has stopped.
func (s *Service) Done() <-chan struct{} { return s.done }

// Run loads the blocks, then updates the index until ctx ends. It is called once.
func (s *Service) Run(ctx context.Context) (err error) {
	defer close(s.done)
	defer func() { err = errors.Wrap(err, "keep the look-up index up to date") }()
	if err = s.Update(); err != nil {
		return err
	}
	if err = s.LoadClientPrefixes(ctx); err != nil {
		return err
	}
	ticker := time.NewTicker(s.options.RefreshInterval)
	defer ticker.Stop()
	for {
		if err = s.Update(); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-s.notify:
		case <-ticker.C:
		}
	}
}

// LoadClientPrefixes replaces the client blocks with those of Options.Blocks.
func (s *Service) LoadClientPrefixes(ctx context.Context) (err error) {
	if s.options.ClientPrefixes == nil {
		return nil
	}
	defer func() { err = errors.Wrap(err, "load client blocks") }()
	blocks, err := s.options.ClientPrefixes(ctx)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.builder.loadPrefixes(blocks)
}

// Update builds a new view from the sources and publishes it.
func (s *Service) Update() (err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	configuration := s.options.Configuration()
	if configuration == nil {
		return nil
	}
	in := inputs{now: s.options.Now(), self: s.options.Self, members: s.options.Members(), configuration: configuration}
	if s.options.BackendServers != nil {
		in.servers = s.options.BackendServers()
	}
	in.loads, in.shifts = s.options.Loads, s.options.Shifts
	next, err := s.builder.build(in)
	if err != nil {
		return err
	}
	s.view.Store(next)
	return nil
}

// feedbackOptions suits the time to live and the refresh of this package.
var feedbackOptions = steering.DefaultFeedback
