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
	Settings    settings.EntryHost
	HeaderNames HeaderNames
	// NewLookupHandler answers callers that ask for a host; the function that it gets names the caller addresses for a region.
	NewLookupHandler func(find func(region, failureDomain string) []string, ttl time.Duration) http.Handler
	// NewReadyHandler answers the readiness check.
	NewReadyHandler func(ready func() bool) http.Handler
	// PeerHandler answers other hosts at the peer address; nil answers none.
	PeerHandler http.Handler
	// RolloutRecorder records what became of rollouts; nil keeps that to the process.
	RolloutRecorder RolloutRecorder
	Log             *events.Log
}

// RolloutRecorder records outcomes of rollouts in the store.
type RolloutRecorder interface {
	// Record writes the phase of the rollout of a service unless the store has a later one, and returns what the store has.
	Record(ctx context.Context, order rollout.ShortRolloutSpec, phase rollout.Phase) (rollout.Phase, error)
}

// Host is one entry host. Its state is bounded by the configuration and the list of backend servers.
type Host struct {
	options  Options
	settings settings.EntryHost
	// limits are the limits in force; a reload replaces them.
	limits      atomic.Pointer[settings.EntryHostLimits]
	headerNames HeaderNames
	log         *events.Log
	metrics     *scrapers.Metrics
	start       time.Time
	client      *backends.Client
	callers     *callers.Server
	fleet       *fleet
	// stalenessDetector finds out that the view of the store is out of date.
	stalenessDetector *stalenessDetector
	storeSource       storeSource
	serviceTimes      serviceTimes
	teams             teams
	retryBudgets      retryBudgets
	trafficSplits     trafficSplits
	crashTracker      crashTracker
	regionRTTs        regionRTTs
	spillovers        spillovers
	crossRegionFlow   crossRegionFlow
	queuePressures    queuePressures

	view     atomic.Pointer[view]
	draining atomic.Bool
	// drainDeadline is the time since the start at which a stopping host ends; it is set before draining.
	drainDeadline atomic.Int64
	inFlight      atomic.Int64

	mu sync.Mutex
	// The fields below are guarded by mu.
	configuration *config.Configuration
	servers       map[string]*server
	// unlisted holds the servers whose entries are gone but that are still used.
	unlisted      map[string]bool
	evacuated     map[string]bool
	rollouts      map[string]*runningRollout
	serversListed bool
	// storeErrors holds the error of the last call for each kind of objects, nil when it was answered.
	storeErrors     map[ObjectKind]error
	peerStoreAccess peerStoreAccess
	// keepUnlistedUntil is the time until which vanished servers are kept.
	keepUnlistedUntil time.Duration

	// viewReady is closed once the first configuration and the first list of servers are in force.
	viewReady chan struct{}
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
	// responseBufferBytes is the length up to which a response is checked as a whole before any of it is passed on.
	responseBufferBytes = 256 << 10
	// callerIdleTimeout is longer than callers keep idle connections, so that they are not cut under a new request.
	callerIdleTimeout = 90 * time.Second
	// headerTimeout and headerBytes bound the headers of a request.
	headerTimeout  = 5 * time.Second
	maxHeaderBytes = 64 << 10
	// drainNotice is how long a stopping host accepts requests on open connections, which it asks callers to close.
	drainNotice = 2500 * time.Millisecond
	// drainMargin is the part of the grace that is left for the end of the process.
	drainMargin = 500 * time.Millisecond
	// maintainInterval is the time between two looks of maintain.
	maintainInterval = 200 * time.Millisecond
)

// New joins the parts of a host. Nothing listens before Run.
func New(o Options) *Host {
	if o.PeerHandler == nil {
		o.PeerHandler = http.NotFoundHandler()
	}
	h := &Host{
		options: o, settings: o.Settings, headerNames: o.HeaderNames, log: o.Log, metrics: scrapers.New(), start: time.Now(),
		servers: map[string]*server{}, unlisted: map[string]bool{}, storeErrors: map[ObjectKind]error{}, evacuated: map[string]bool{}, rollouts: map[string]*runningRollout{},
		stopping: make(chan struct{}), viewReady: make(chan struct{}), done: make(chan struct{}),
	}
	h.limits.Store(&o.Settings.Limits)
	h.queuePressures.entries = map[string]admission.Pressure{}
	h.spillovers.entries = map[string]serviceSpillover{}
	h.stalenessDetector = newStalenessDetector()
	h.serviceTimes = serviceTimes{entries: map[routeServiceKey]*routeServiceTimes{}, services: map[string]*meanServiceTime{}}
	h.teams.host = h
	h.retryBudgets = retryBudgets{host: h, entries: map[string]retry.Budget{}}
	h.trafficSplits.credits = map[splitKey]float64{}
	h.regionRTTs = regionRTTs{ownRegion: o.Settings.Region, entries: map[string]time.Duration{}}
	h.crashTracker = crashTracker{unanswered: map[uint32][]unansweredRequest{}, crashedServers: map[uint64]map[uint32]time.Duration{}, announcements: map[Crash]int{}}
	h.fleet = newFleet(h)
	h.probes.SetLimit(maxConcurrentProbes)
	h.view.Store(&view{services: map[string][]*server{}, rollouts: map[string]*runningRollout{}})
	h.client = backends.New(backends.Options{
		MaxConnections: maxServerConnections, DialTimeout: dialTimeout, BufferBytes: responseBufferBytes,
		RequestIDHeader: o.HeaderNames.RequestID, DisablePings: true, AllowCloseDelimited: true, OnDial: h.dialed,
		OnEvent: func(event backends.Event, _ string) {
			h.metrics.Count("connection-events", "", "", "event="+strconv.Quote(string(event)), 1)
		},
	})
	h.registerGauges()
	h.callers = callers.New(callers.Options{
		Requests: h, MaxHeaderBytes: maxHeaderBytes, HeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout,
		DrainNotice: drainNotice, Logger: o.Log.Logger(),
	})
	return h
}

func (h *Host) registerGauges() {
	h.metrics.Gauge("in-flight", func() float64 { return float64(h.inFlight.Load()) })
	h.metrics.Gauge("hosts", func() float64 { return float64(h.fleet.liveHosts()) })
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
	return h.serversListed
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
		h.regionRTTs.observe(region, took)
	}
	h.metrics.Count("connections", "", "", "", 1)
}

// Reload puts the limits and seeds of newer settings in force.
func (h *Host) Reload(s settings.EntryHost) {
	h.limits.Store(&s.Limits)
	for _, seed := range s.Seeds {
		h.addSeed(seed)
	}
	h.log.Emit(events.SettingsReloaded)
}

// AddPeerAddress adds the address of a host that may be running; failureDomain is empty when it is not known.
func (h *Host) AddPeerAddress(address, failureDomain string) {
	h.fleet.addPeerAddress(address, failureDomain)
}

// Run listens and serves until ctx ends, then finishes the requests in flight.
func (h *Host) Run(ctx context.Context) (err error) {
	defer close(h.done)
	defer func() { err = errors.Wrapf(err, "run entry host %s", h.settings.Host) }()
	h.log.Emit(events.HostStarting, "region", h.settings.Region, "failure-domain", h.settings.FailureDomain)
	if err := h.listenPeers(); err != nil {
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
		{Handler: h.options.NewReadyHandler(h.ready), ReadHeaderTimeout: headerTimeout},
		{Handler: h.options.NewLookupHandler(h.fleet.lookup, time.Duration(h.settings.Limits.LookupTTL)), ReadHeaderTimeout: headerTimeout},
		{Handler: h.metrics, ReadHeaderTimeout: headerTimeout},
		{Handler: h.options.PeerHandler, ReadHeaderTimeout: headerTimeout},
	}
	for i, server := range servers {
		group.Go(func() error { return callers.Serve(server, listeners[i+1]) })
	}
	for _, run := range []func(context.Context) error{h.client.Run, h.fleet.node.Load().Run, h.fleet.run, h.judgeRollouts, h.maintain} {
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

func (h *Host) listenPeers() error {
	node, err := datagrams.Listen(h.settings.PeerAddress, h.fleet.receive)
	if err != nil {
		return err
	}
	h.fleet.peerPort = netip.MustParseAddrPort(h.settings.PeerAddress).Port()
	h.fleet.node.Store(node)
	for _, seed := range h.settings.Seeds {
		h.addSeed(seed)
	}
	return nil
}

// addSeed adds the address of a host of the settings.
func (h *Host) addSeed(seed string) {
	if address, err := netip.ParseAddrPort(seed); err == nil {
		h.fleet.addPeerAddrPort(netip.AddrPortFrom(address.Addr(), h.fleet.peerPort), "")
	}
}

// maintain looks at the servers whose entries vanished, at the hosts to follow and at outdated views until ctx ends.
func (h *Host) maintain(ctx context.Context) error {
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			h.expireUnlisted()
			h.fleet.updateStoreSource(h.now())
			h.relistStale(h.now())
		}
	}
}

// drain takes the host out of look-ups and waits for the requests in flight within the grace.
func (h *Host) drain() {
	limit := time.Duration(h.limits.Load().GracePeriod) - drainMargin
	h.drainDeadline.Store(int64(h.now() + limit))
	h.draining.Store(true)
	h.log.Emit(events.HostDraining, "in-flight", h.inFlight.Load())
	h.fleet.sendHeartbeats()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := h.callers.Shutdown(ctx); err != nil {
		h.log.Emit(events.DrainTimedOut, "error", err, "in-flight", h.inFlight.Load())
	}
	h.fleet.sendHeartbeats()
}
