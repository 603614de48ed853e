// Package lookup serves the lookups by which callers learn the hosts to use, and keeps the lookup index up to date.
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

// Options are the data sources and parameters of a Service. Members and Configuration are required; other functions may
// be nil. All functions must be safe for concurrent use, and nobody may change the values that they return.
type Options struct {
	// Self is this host. Callers whose address matches no client prefix count as being in its region.
	Self           membership.Member
	Members        func() []membership.Member
	Configuration  func() *config.Configuration
	BackendServers func() []platform.BackendServer
	// ClientPrefixes returns the client prefixes, each with the name of its region.
	ClientPrefixes func(ctx context.Context) (iter.Seq2[netip.Prefix, string], error)
	// HostsWithRateShare returns the hosts that hold a share of a team's rate. Within a site they are returned first.
	HostsWithRateShare func(team string) []string
	// Loads returns the measured load of each site, named "region/failure-domain", as the number of the service's slots
	// in use.
	Loads func(service string) map[string]float64
	// Shifts returns the shares of a service's traffic that running shifts have moved from region to region.
	Shifts func(service string) []Shift
	// Now returns the monotonic time since the process started; nil means the system clock.
	Now func() time.Duration
	// TTL is the time to live of responses before jitter; 0 means 5 s.
	TTL time.Duration
	// RefreshInterval is the longest time between two updates of the lookup index; 0 means 1 s.
	RefreshInterval time.Duration
}

// Shift is the share of a region's callers that a running traffic shift has moved to another region.
type Shift struct {
	From, To string
	// Share is in [0, 1].
	Share float64
}

// Service answers lookups from an immutable view, which Update replaces. Lookups never wait for an update.
type Service struct {
	options        Options
	view           atomic.Pointer[view]
	updateRequests chan struct{}
	done           chan struct{}

	// mu serializes updates. Lookups do not take it.
	mu      sync.Mutex
	builder *builder
}

// New returns a service. It answers lookups with status 503 until an Update has found a configuration.
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
		options: options, updateRequests: make(chan struct{}, 1), done: make(chan struct{}), builder: newBuilder(),
	}
}

// Handler returns the handler of GET /v1/lookup.
func (s *Service) Handler() http.Handler { return http.HandlerFunc(s.serve) }

// RequestUpdate makes Run update the index soon, after a change of the configuration or the members. It never blocks.
func (s *Service) RequestUpdate() {
	select {
	case s.updateRequests <- struct{}{}:
	default: // an update is already pending
	}
}

// Done returns a channel that is closed when Run has returned.
func (s *Service) Done() <-chan struct{} { return s.done }

// Run loads the client prefixes and then updates the lookup index until ctx ends. It must be called only once.
func (s *Service) Run(ctx context.Context) (err error) {
	defer close(s.done)
	defer func() { err = errors.Wrap(err, "keep the lookup index up to date") }()
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
		case <-s.updateRequests:
		case <-ticker.C:
		}
	}
}

// LoadClientPrefixes replaces the client prefixes by those of Options.ClientPrefixes. The next Update uses them.
func (s *Service) LoadClientPrefixes(ctx context.Context) (err error) {
	if s.options.ClientPrefixes == nil {
		return nil
	}
	defer func() { err = errors.Wrap(err, "load client prefixes") }()
	prefixes, err := s.options.ClientPrefixes(ctx)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.builder.loadPrefixes(prefixes)
}

// Update builds a new view from the current data and publishes it. It does nothing without a configuration.
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

// feedbackOptions suits the default TTL and RefreshInterval of this package.
var feedbackOptions = steering.DefaultFeedback
