// Package entry runs an entry host: it stands between callers and backend servers and takes its configuration, the
// list of backend servers and the operators' orders from a store that others write.
package entry

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"vanillatally/core/admission"
	"vanillatally/core/config"
	"vanillatally/core/retry"
	"vanillatally/core/rollout"
	"vanillatally/io/backends"
	"vanillatally/io/callers"
	"vanillatally/io/datagrams"
	"vanillatally/io/events"
	"vanillatally/io/scrapers"
	"vanillatally/io/settings"
)

// Options sets up a Host.
type Options struct {
	Settings settings.Entry
	Dialect  Dialect
	// Lookup answers callers that ask for a host; the function that it gets names the caller addresses for a region.
	Lookup func(find func(region, failureDomain string) []string, ttl time.Duration) http.Handler
	// Ready answers the readiness check.
	Ready func(ready func() bool) http.Handler
	// Peers answers other hosts at the peer address; nil answers none.
	Peers http.Handler
	// Orders records what became of rollouts; nil keeps that to the process.
	Orders Orders
	Log    *events.Log
}

// Orders records outcomes of rollouts in the store.
type Orders interface {
	// Record writes the phase of the rollout of a service unless the store has a later one, and returns what the store has.
	Record(ctx context.Context, order rollout.ShortRolloutSpec, phase rollout.Phase) (rollout.Phase, error)
}

// Host is one entry host. Its state is bounded by the configuration and the list of backend servers.
type Host struct {
	options  Options
	settings settings.Entry
	// limits are the limits in force; a reload replaces them.
	limits  atomic.Pointer[settings.EntryLimits]
	dialect Dialect
	log     *events.Log
	metrics *scrapers.Metrics
	start   time.Time
	client  *backends.Client
	callers *callers.Server
	fleet   *fleet
	// refresher finds out that the view of the store is out of date.
	refresher *refresher
	following following
	times     times
	teams     teams
	retries   retries
	parts     parts
	suspects  suspects
	distances distances
	spills    spills
	flow      flow
	pressures pressures

	view     atomic.Pointer[view]
	draining atomic.Bool
	// drainEnds is the time since the start at which a stopping host ends; it is set before draining.
	drainEnds atomic.Int64
	inFlight  atomic.Int64

	mu sync.Mutex
	// The fields below are guarded by mu.
	configuration *config.Configuration
	servers       map[string]*server
	// vanished holds the servers whose entries are gone but that are still used.
	vanished  map[string]bool
	evacuated map[string]bool
	rollouts  map[string]*trial
	listed    bool
	// storeErrors holds the error of the last call for each kind of objects, nil when it was answered.
	storeErrors map[Kind]error
	served      served
	// keepUntil is the time until which vanished servers are kept.
	keepUntil time.Duration

	// begun is closed once the first configuration and the first list of servers are in force.
	begun chan struct{}
	// probes runs the probers; stopping is closed when they have to end.
	probes   errgroup.Group
	stopping chan struct{}
	done     chan struct{}
}

const (
	// maxServerConnections bounds this host's connections to one backend server.
	maxServerConnections = 64
	// dialTimeout bounds a new connection to a backend server.
	dialTimeout = 700 * time.Millisecond
	// bufferBytes is the length up to which a response is checked as a whole before any of it is passed on.
	bufferBytes = 256 << 10
	// callerIdle is longer than callers keep idle connections, so that they are not cut under a new request.
	callerIdle = 90 * time.Second
	// headerTimeout and headerBytes bound the headers of a request.
	headerTimeout = 5 * time.Second
	headerBytes   = 64 << 10
	// drainNotice is how long a stopping host accepts requests on open connections, which it asks callers to close.
	drainNotice = 2500 * time.Millisecond
	// drainMargin is the part of the grace that is left for the end of the process.
	drainMargin = 500 * time.Millisecond
	// maintainEvery is the time between two looks of maintain.
	maintainEvery = 200 * time.Millisecond
)

// New joins the parts of a host. Nothing listens before Run.
func New(o Options) *Host {
	if o.Peers == nil {
		o.Peers = http.NotFoundHandler()
	}
	h := &Host{
		options: o, settings: o.Settings, dialect: o.Dialect, log: o.Log, metrics: scrapers.New(), start: time.Now(),
		servers: map[string]*server{}, vanished: map[string]bool{}, storeErrors: map[Kind]error{}, evacuated: map[string]bool{}, rollouts: map[string]*trial{},
		stopping: make(chan struct{}), begun: make(chan struct{}), done: make(chan struct{}),
	}
	h.limits.Store(&o.Settings.Limits)
	h.pressures.all = map[string]admission.Pressure{}
	h.spills.all = map[string]serviceSpill{}
	h.refresher = newRefresher()
	h.times = times{all: map[timesKey]*routeTimes{}, services: map[string]*serviceTimes{}}
	h.teams.host = h
	h.retries = retries{host: h, all: map[string]retry.Budget{}}
	h.parts.credits = map[partKey]float64{}
	h.distances = distances{own: o.Settings.Region, all: map[string]time.Duration{}}
	h.suspects = suspects{broken: map[uint32][]brokenRequest{}, crashes: map[uint64]map[uint32]time.Duration{}, tell: map[Crash]int{}}
	h.fleet = newFleet(h)
	h.probes.SetLimit(maxProbes)
	h.view.Store(&view{services: map[string][]*server{}, rollouts: map[string]*trial{}})
	h.client = backends.New(backends.Options{
		MaxConnections: maxServerConnections, DialTimeout: dialTimeout, BufferBytes: bufferBytes,
		IDHeader: o.Dialect.RequestID, NoPings: true, Endless: true, OnDial: h.dialed,
		OnEvent: func(event backends.Event, _ string) {
			h.metrics.Count("connection-events", "", "", "event="+strconv.Quote(string(event)), 1)
		},
	})
	h.registerGauges()
	h.callers = callers.New(callers.Options{
		Requests: h, MaxHeaderBytes: headerBytes, HeaderTimeout: headerTimeout, IdleTimeout: callerIdle,
		DrainNotice: drainNotice, Logger: o.Log.Logger(),
	})
	return h
}

func (h *Host) registerGauges() {
	h.metrics.Gauge("in-flight", func() float64 { return float64(h.inFlight.Load()) })
	h.metrics.Gauge("hosts", func() float64 { return float64(h.fleet.hosts()) })
	h.metrics.Gauge("configuration-sequence", func() float64 {
		if c := h.view.Load().configuration; c != nil {
			return float64(c.Sequence)
		}
		return 0
	})
	h.metrics.Gauge("backend-servers", func() float64 {
		h.mu.Lock()
		defer h.mu.Unlock()
		return float64(len(h.servers))
	})
	h.metrics.Gauge("store-reached", func() float64 {
		if h.reachesStore() {
			return 1
		}
		return 0
	})
}

// now is the time since the process started.
func (h *Host) now() time.Duration { return time.Since(h.start) }

// ready reports whether callers may be sent here.
func (h *Host) ready() bool {
	if h.draining.Load() || h.view.Load().configuration == nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.listed
}

// dialed takes in the time of a new connection to a backend server.
func (h *Host) dialed(address string, took time.Duration) {
	h.mu.Lock()
	region := ""
	for _, s := range h.servers {
		if s.Address == address {
			region = s.Region
			break
		}
	}
	h.mu.Unlock()
	if region != "" {
		h.distances.measured(region, took)
	}
	h.metrics.Count("connections", "", "", "", 1)
}

// Reload puts the limits and seeds of newer settings in force.
func (h *Host) Reload(s settings.Entry) {
	h.limits.Store(&s.Limits)
	for _, seed := range s.Seeds {
		h.contactSeed(seed)
	}
	h.log.Emit(events.SettingsReloaded)
}

// Contact adds the address of a host that may be running; failureDomain is empty when it is not known.
func (h *Host) Contact(address, failureDomain string) { h.fleet.contact(address, failureDomain) }

// Run listens and serves until ctx ends, then finishes the requests in flight.
func (h *Host) Run(ctx context.Context) (err error) {
	defer close(h.done)
	defer func() { err = errors.Wrapf(err, "run entry host %s", h.settings.Host) }()
	h.log.Emit(events.HostStarting, "region", h.settings.Region, "failure-domain", h.settings.FailureDomain)
	if err := h.openPeers(); err != nil {
		return err
	}
	listeners, err := callers.Listen(h.settings.CallerAddress, h.settings.ReadyAddress, h.settings.LookupAddress, h.settings.OperatorAddress, h.settings.PeerAddress)
	if err != nil {
		return err
	}
	// The parts outlive ctx: they are needed until the last request in flight has finished.
	parts, stopParts := context.WithCancel(context.Background())
	defer stopParts()
	group, parts := errgroup.WithContext(parts)
	servers := []*http.Server{
		{Handler: h.options.Ready(h.ready), ReadHeaderTimeout: headerTimeout},
		{Handler: h.options.Lookup(h.fleet.find, time.Duration(h.settings.Limits.LookupTTL)), ReadHeaderTimeout: headerTimeout},
		{Handler: h.metrics, ReadHeaderTimeout: headerTimeout},
		{Handler: h.options.Peers, ReadHeaderTimeout: headerTimeout},
	}
	for i, server := range servers {
		group.Go(func() error { return callers.Serve(server, listeners[i+1]) })
	}
	for _, run := range []func(context.Context) error{h.client.Run, h.fleet.node.Load().Run, h.fleet.run, h.runTrials, h.maintain} {
		group.Go(func() error { return run(parts) })
	}
	h.callers.Start(listeners[0])
	group.Go(func() error {
		select {
		case <-ctx.Done():
			// A probe may take as long as the rest of the grace.
			close(h.stopping)
			h.drain()
		case <-parts.Done():
			close(h.stopping)
		}
		stopParts()
		for _, server := range servers {
			// The process ends in any case.
			_ = server.Close()
		}
		return nil
	})
	err = group.Wait()
	err = errors.CombineErrors(err, h.probes.Wait())
	h.log.Emit(events.HostStopped, "error", err)
	return err
}

// Done is closed when Run has returned.
func (h *Host) Done() <-chan struct{} { return h.done }

func (h *Host) openPeers() error {
	node, err := datagrams.Listen(h.settings.PeerAddress, h.fleet.receive)
	if err != nil {
		return err
	}
	h.fleet.port = netip.MustParseAddrPort(h.settings.PeerAddress).Port()
	h.fleet.node.Store(node)
	for _, seed := range h.settings.Seeds {
		h.contactSeed(seed)
	}
	return nil
}

// contactSeed adds the address of a host of the settings.
func (h *Host) contactSeed(seed string) {
	if address, err := netip.ParseAddrPort(seed); err == nil {
		h.fleet.contactAt(netip.AddrPortFrom(address.Addr(), h.fleet.port), "")
	}
}

// maintain looks at the servers whose entries vanished, at the hosts to follow and at outdated views until ctx ends.
func (h *Host) maintain(ctx context.Context) error {
	ticker := time.NewTicker(maintainEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			h.expireVanished()
			h.fleet.chooseWatchers(h.now())
			h.refresh(h.now())
		}
	}
}

// drain takes the host out of look-ups and waits for the requests in flight within the grace.
func (h *Host) drain() {
	limit := time.Duration(h.limits.Load().Grace) - drainMargin
	h.drainEnds.Store(int64(h.now() + limit))
	h.draining.Store(true)
	h.log.Emit(events.HostDraining, "in-flight", h.inFlight.Load())
	h.fleet.send()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := h.callers.Shutdown(ctx); err != nil {
		h.log.Emit(events.DrainTimedOut, "error", err, "in-flight", h.inFlight.Load())
	}
	h.fleet.send()
}
