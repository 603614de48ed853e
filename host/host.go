package host

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"vanillatally/host/budgets"
	"vanillatally/host/claims"
	"vanillatally/host/configs"
	"vanillatally/host/lookup"
	"vanillatally/host/members"
	"vanillatally/host/moves"
	"vanillatally/host/permits"
	"vanillatally/host/request"
	"vanillatally/io/callers"
	"vanillatally/io/events"
	"vanillatally/io/operators"
	"vanillatally/io/peers"
	"vanillatally/io/platform"
	"vanillatally/io/scrapers"
	"vanillatally/io/settings"
	"vanillatally/io/store"
)

// leaveTimeout bounds the handover of slots and claims at a planned stop.
const leaveTimeout = 10 * time.Second

// readyPollInterval is how often readiness is checked until the host is ready.
const readyPollInterval = 50 * time.Millisecond

// Host is one host of the system. Run starts all of its services, and stops them when no request needs them any more.
type Host struct {
	settings    settings.Settings
	log         *events.Log
	start       time.Time
	metrics     *scrapers.Metrics
	requestHook *requestHook

	node           *peers.Node
	members        *members.Service
	configs        *configs.Service
	servers        *backendServerList
	budgets        *budgets.Service
	links          linkNames
	claims         *claims.Service
	permits        *permits.Service
	lookups        *lookup.Service
	clientPrefixes *clientPrefixLoader
	places         *places
	moves          *moves.Service
	requests       *request.Service
	callers        *callers.Server

	draining atomic.Bool
	done     chan struct{}
}

// New creates the services of a host. Nothing listens before Run.
func New(s settings.Settings, log *events.Log) (h *Host, err error) {
	defer func() { err = errors.Wrap(err, "set up host") }()
	h = &Host{settings: s, log: log, start: time.Now(), metrics: scrapers.New(), done: make(chan struct{})}
	h.requestHook = &requestHook{metrics: h.metrics, log: log}
	objects, err := store.Open(s.StoreEndpoint)
	if err != nil {
		return nil, err
	}
	list, err := platform.Open(s.PlatformEndpoint)
	if err != nil {
		return nil, err
	}
	h.createServices(peers.NewHandlerTable(), objects, list)
	h.registerGauges()
	return h, nil
}

func (h *Host) now() time.Duration { return time.Since(h.start) }

// drainNotice is how long a draining host still accepts requests: a little longer than callers may use a look-up answer that
// names this host.
func (h *Host) drainNotice() time.Duration {
	return time.Duration(h.settings.Limits.LookupTTL) * 6 / 5
}

func (h *Host) registerGauges() {
	h.metrics.Gauge("configuration-sequence", func() float64 { return float64(h.configs.Sequence()) })
	h.metrics.Gauge("peer-bytes-in", func() float64 { return float64(h.node.Stats().BytesIn.Load()) })
	h.metrics.Gauge("peer-bytes-out", func() float64 { return float64(h.node.Stats().BytesOut.Load()) })
	h.metrics.Gauge("peer-unknown-kinds", func() float64 { return float64(h.node.Stats().UnknownKinds.Load()) })
	h.metrics.Gauge("peer-rejected", func() float64 { return float64(h.node.Stats().Rejected.Load()) })
}

// Run serves until ctx ends, then drains the host: look-ups no longer return it, and requests in flight may finish.
func (h *Host) Run(ctx context.Context) (err error) {
	defer close(h.done)
	defer func() { err = errors.Wrapf(err, "run host %s", h.settings.Host) }()
	h.log.Emit(events.HostStarting, "region", h.settings.Region, "failure-domain", h.settings.FailureDomain)
	listeners, err := callers.Listen(h.settings.PeerAddress, h.settings.OperatorAddress, h.settings.CallerAddress)
	if err != nil {
		return err
	}
	// The services outlive ctx, since the last requests in flight need them.
	servicesCtx, stopServices := context.WithCancel(context.Background())
	defer stopServices()
	group, servicesCtx := errgroup.WithContext(servicesCtx)
	peerServer := &http.Server{Handler: h.node, ReadHeaderTimeout: time.Second}
	operatorServer := &http.Server{
		Handler:           operators.NewServer(h, h.settings.OperatorCredential, h.metrics),
		ReadHeaderTimeout: time.Second,
	}
	for i, server := range []*http.Server{peerServer, operatorServer} {
		group.Go(func() error { return callers.Serve(server, listeners[i]) })
	}
	services := []func(context.Context) error{
		h.servers.run, h.members.Run, h.configs.Run, h.budgets.Run, h.claims.Run, h.permits.Run, h.lookups.Run,
		h.clientPrefixes.run, h.moves.Run, newStateLogger(h).run, h.requests.Run,
	}
	for _, run := range services {
		group.Go(func() error { return run(servicesCtx) })
	}
	h.callers.Start(listeners[2])
	group.Go(func() error { return h.logReady(servicesCtx) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			err := h.drain()
			stopServices()
			return errors.CombineErrors(err, h.closeServers(peerServer, operatorServer))
		case <-servicesCtx.Done():
			return h.closeServers(peerServer, operatorServer)
		}
	})
	err = group.Wait()
	h.node.Close()
	h.log.Emit(events.HostStopped, "error", err)
	return err
}

// drain keeps serving until callers no longer use look-up answers that name this host, then waits for the requests in flight.
func (h *Host) drain() error {
	h.draining.Store(true)
	h.log.Emit(events.HostDraining)
	limit := h.drainNotice() + time.Duration(h.settings.Limits.DrainTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	err := h.members.Leave(ctx)
	if shutdown := h.callers.Shutdown(ctx); shutdown != nil {
		h.log.Emit(events.DrainTimedOut, "error", shutdown)
	}
	h.handOverSlots()
	return err
}

// handOverSlots gives the ledger slots of this host to other hosts. While the store is down, the handover cannot be recorded,
// and the other hosts take the slots over later.
func (h *Host) handOverSlots() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := h.budgets.Leave(ctx); err != nil {
		h.log.Emit(events.LedgerLeaveFailed, "error", err)
	}
}

func (h *Host) closeServers(servers ...*http.Server) (err error) {
	for _, httpServer := range servers {
		err = errors.CombineErrors(err, httpServer.Close())
	}
	return err
}

// logReady logs when the host becomes ready to serve callers.
func (h *Host) logReady(ctx context.Context) error {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for !h.Ready() {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
	h.log.Emit(events.HostReady, "sequence", h.configs.Sequence())
	return nil
}
