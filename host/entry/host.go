// Package entry implements an entry host: a reverse proxy and load balancer between callers and backend servers. It reads its
// configuration, the list of backend servers and the operators' rollouts and evacuations from a store, and exchanges state
// with the other hosts by datagrams.
package entry

import (
	"context"
	"math/rand/v2"
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
	"vanillatally/core/listing"
	"vanillatally/core/memory"
	"vanillatally/core/retry"
	"vanillatally/core/rollout"
	"vanillatally/io/backends"
	"vanillatally/io/callers"
	"vanillatally/io/datagrams"
	"vanillatally/io/events"
	"vanillatally/io/scrapers"
	"vanillatally/io/settings"
)

// Options configures a Host.
type Options struct {
	Settings    settings.EntryHost
	HeaderNames HeaderNames
	// NewLookupHandler returns the handler for callers that look up hosts. find returns the caller addresses for a region
	// and a failure domain; the answer may be cached for ttl.
	NewLookupHandler func(find func(region, failureDomain string) []string, ttl time.Duration) http.Handler
	// NewReadyHandler returns the handler of the readiness check.
	NewReadyHandler func(ready func() bool) http.Handler
	// PeerHandler answers other hosts at the peer address; nil answers 404.
	PeerHandler http.Handler
	// RolloutRecorder records the phases of rollouts; with nil they are not recorded.
	RolloutRecorder RolloutRecorder
	Log             *events.Log
}

// RolloutRecorder records the phases of rollouts in the store.
type RolloutRecorder interface {
	// Record writes the phase of the rollout unless the store has a later one, and returns the phase that the store has.
	Record(ctx context.Context, spec rollout.ShortRolloutSpec, phase rollout.Phase) (rollout.Phase, error)
}

// Host is an entry host. Its memory is bounded by the configuration and the list of backend servers.
type Host struct {
	options  Options
	settings settings.EntryHost
	// limits holds the current limits; Reload replaces them.
	limits            atomic.Pointer[settings.EntryHostLimits]
	headerNames       HeaderNames
	log               *events.Log
	metrics           *scrapers.Metrics
	start             time.Time
	client            *backends.Client
	callers           *callers.Server
	fleet             *fleet
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
	serverLimits      serverLimits
	coldNotices       coldNotices
	waitingLines      waitingLines
	bodyMemory        *bodyMemory

	// random returns uniform numbers in [0, 1) for choices between equal servers; tests replace it.
	random func() float64

	view     atomic.Pointer[view]
	draining atomic.Bool
	// drainDeadline is the time since the start at which a draining host ends. It is set before draining.
	drainDeadline atomic.Int64
	inFlight      atomic.Int64
	// grace is the parent of the contexts of all requests. endGrace cancels it at the end of the grace period.
	grace    context.Context
	endGrace context.CancelFunc

	mu sync.Mutex
	// The fields below are guarded by mu.
	configuration *config.Configuration
	// ranked holds the services of the configuration whose requests differ in rank. It is replaced, never changed.
	ranked  map[string]bool
	servers map[string]*server
	// unlisted holds the servers that are no longer listed but still used.
	unlisted      map[string]bool
	evacuated     map[string]bool
	rollouts      map[string]*runningRollout
	serversListed bool
	// storeErrors holds the error of the last call for each kind of objects; nil if it was answered.
	storeErrors     map[ObjectKind]error
	peerStoreAccess peerStoreAccess
	// keepUnlistedUntil is the time until which servers that are no longer listed are kept.
	keepUnlistedUntil time.Duration
	restore           storeRestore
	// removedVersions holds the newest versions of the entries of servers that left the list, at most maxRemovals.
	removedVersions removals[listing.Version]

	// viewReady is closed once there are a configuration and a list of servers.
	viewReady chan struct{}
	// probes runs the probes of servers; closing stopping ends them.
	probes errgroup.Group
	// stopping is closed when the host stops, after draining is set in a planned stop.
	stopping chan struct{}
	done     chan struct{}
}

const (
	// maxServerConnections bounds this host's connections to one backend server.
	maxServerConnections = 64
	// dialTimeout bounds the time to open a connection to a backend server.
	dialTimeout = 700 * time.Millisecond
	// responseBufferBytes is the length up to which a response is buffered and checked as a whole before it is passed on.
	responseBufferBytes = 256 << 10
	// callerIdleTimeout is longer than callers keep idle connections, so that the host does not close a connection just when
	// a new request arrives.
	callerIdleTimeout = 90 * time.Second
	// headerTimeout and maxHeaderBytes bound the header of a request.
	headerTimeout  = 5 * time.Second
	maxHeaderBytes = 64 << 10
	// maintainInterval is the time between two runs of the checks in maintain.
	maintainInterval = 200 * time.Millisecond
)

// New returns a host that listens once Run is called.
func New(o Options) *Host {
	if o.PeerHandler == nil {
		o.PeerHandler = http.NotFoundHandler()
	}
	h := &Host{
		options: o, settings: o.Settings, headerNames: o.HeaderNames, log: o.Log, metrics: scrapers.New(), start: time.Now(),
		servers: map[string]*server{}, unlisted: map[string]bool{}, storeErrors: map[ObjectKind]error{},
		evacuated: map[string]bool{}, rollouts: map[string]*runningRollout{},
		random: rand.Float64, stopping: make(chan struct{}), viewReady: make(chan struct{}), done: make(chan struct{}),
	}
	h.limits.Store(&o.Settings.Limits)
	h.grace, h.endGrace = context.WithCancel(context.Background())
	h.queuePressures.entries = map[string]admission.Pressure{}
	h.spillovers.entries = map[string]serviceSpillover{}
	h.stalenessDetector = newStalenessDetector()
	h.serviceTimes = serviceTimes{entries: map[routeServiceKey]*routeServiceTimes{}, services: map[string]*meanServiceTime{}}
	h.bodyMemory = newBodyMemory(h, memory.LimitsFor(h.memoryBytes(), o.Settings.Limits.BodyBytes))
	h.teams.host = h
	h.serverLimits = serverLimits{host: h, entries: map[incarnation]*serverLimit{}}
	h.coldNotices = coldNotices{host: h, entries: map[incarnation]*coldNotice{}}
	h.waitingLines = waitingLines{host: h, entries: map[string]*waitingLine{}}
	h.retryBudgets = retryBudgets{host: h, entries: map[string]retry.Budget{}}
	h.trafficSplits.credits = map[splitKey]float64{}
	h.regionRTTs = regionRTTs{ownRegion: o.Settings.Region, entries: map[string]time.Duration{}}
	h.crashTracker = newCrashTracker()
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
		DrainNotice: drainNoticeFor(o.Settings.Limits), BaseContext: h.grace, Logger: o.Log.Logger(),
		MaxConnections: h.maxCallerConnections(), MaxHeadBytes: memory.MaxHeadBytes(h.memoryBytes()),
		OnClosed: h.connectionClosed,
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
	h.metrics.Gauge("caller-connections", func() float64 { return float64(h.callers.Connections()) })
	for part, name := range map[memory.Part]string{
		memory.Small: "small-body-bytes", memory.Large: "large-body-bytes", memory.Responses: "response-bytes",
	} {
		h.metrics.Gauge(name, func() float64 { return float64(h.bodyMemory.used(part)) })
	}
	h.metrics.Gauge("concurrency-limit", h.waitingLines.totalLimit)
	h.metrics.Gauge("limited-servers", func() float64 { return float64(h.serverLimits.limited.Load()) })
	h.metrics.Gauge("store-reached", func() float64 {
		if h.reachesStore() {
			return 1
		}
		return 0
	})
}

// now returns the time since the process started.
func (h *Host) now() time.Duration { return time.Since(h.start) }

// ready reports whether callers may be sent to this host.
func (h *Host) ready() bool {
	if h.draining.Load() || h.view.Load().configuration == nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.serversListed
}

// dialed records the time that a new connection to a backend server took.
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

// Reload applies the limits and seeds of changed settings.
func (h *Host) Reload(s settings.EntryHost) {
	h.limits.Store(&s.Limits)
	for _, seed := range s.Seeds {
		h.addSeed(seed)
	}
	h.log.Emit(events.SettingsReloaded)
}

// AddPeerAddress adds the peer address of a host that may be running. failureDomain is empty if it is not known.
func (h *Host) AddPeerAddress(address, failureDomain string) {
	h.fleet.addPeerAddress(address, failureDomain)
}

// Run serves requests until ctx is cancelled, and then finishes the requests in flight.
func (h *Host) Run(ctx context.Context) (err error) {
	defer close(h.done)
	defer func() { err = errors.Wrapf(err, "run entry host %s", h.settings.Host) }()
	h.log.Emit(events.HostStarting, "region", h.settings.Region, "failure-domain", h.settings.FailureDomain)
	if err := h.listenPeers(); err != nil {
		return err
	}
	listeners, err := callers.Listen(
		h.settings.CallerAddress, h.settings.ReadyAddress, h.settings.LookupAddress, h.settings.OperatorAddress, h.settings.PeerAddress,
	)
	if err != nil {
		return err
	}
	// The background tasks have a context of their own, since requests in flight need them after ctx is cancelled.
	taskCtx, stopTasks := context.WithCancel(context.Background())
	defer stopTasks()
	group, taskCtx := errgroup.WithContext(taskCtx)
	peerServer := &http.Server{Handler: h.options.PeerHandler, ReadHeaderTimeout: headerTimeout}
	group.Go(func() error { return callers.Serve(peerServer, listeners[4]) })
	servers := []*callers.Server{
		h.newBoundedServer(h.options.NewReadyHandler(h.ready), readinessDivisor),
		h.newBoundedServer(h.options.NewLookupHandler(h.fleet.lookup, time.Duration(h.settings.Limits.LookupTTL)), lookupDivisor),
		h.newBoundedServer(h.metrics, operatorDivisor),
	}
	for i, server := range servers {
		server.Start(listeners[i+1])
	}
	for _, run := range []func(context.Context) error{
		h.client.Run, h.fleet.socket.Load().Run, h.fleet.run, h.judgeRollouts, h.maintain,
	} {
		group.Go(func() error { return run(taskCtx) })
	}
	h.callers.Start(listeners[0])
	group.Go(func() error {
		select {
		case <-ctx.Done():
			h.drain()
		case <-taskCtx.Done():
			close(h.stopping)
		}
		stopTasks()
		// The process ends anyway.
		_ = peerServer.Close()
		for _, server := range servers {
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

// listenPeers opens the socket for datagrams of other hosts, and sends heartbeats to the seeds.
func (h *Host) listenPeers() error {
	socket, err := datagrams.Listen(h.settings.PeerAddress, h.fleet.receive)
	if err != nil {
		return err
	}
	h.fleet.peerPort = netip.MustParseAddrPort(h.settings.PeerAddress).Port()
	h.fleet.socket.Store(socket)
	for _, seed := range h.settings.Seeds {
		h.addSeed(seed)
	}
	return nil
}

// addSeed adds the address of a seed host from the settings.
func (h *Host) addSeed(seed string) {
	if address, err := netip.ParseAddrPort(seed); err == nil {
		h.fleet.addPeerAddrPort(netip.AddrPortFrom(address.Addr(), h.fleet.peerPort), "")
	}
}

// maintain regularly removes unlisted servers, ends what outlived a restore of the store, chooses the hosts to follow, relists stale
// objects and forgets old limits and crashes of servers, until ctx is cancelled.
func (h *Host) maintain(ctx context.Context) error {
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			h.expireUnlisted()
			h.endRestoreHolds()
			h.fleet.updateStoreSource(h.now())
			h.relistStale(h.now())
			h.serverLimits.maintain(h.now())
			h.crashTracker.maintain(h.now())
		}
	}
}
