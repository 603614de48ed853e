package host

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"

	"vanillatally/core/membership"
	"vanillatally/core/quarantine"
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

// leaveLimit bounds the hand-over of slots and claims at a planned stop.
const leaveLimit = 10 * time.Second

// readyPoll is how often readiness is looked at until it is reached.
const readyPoll = 50 * time.Millisecond

// Host is one process of the system. Each part is owned by Run, which ends them in the reverse order of need.
type Host struct {
	settings settings.Settings
	log      *events.Log
	start    time.Time
	metrics  *scrapers.Metrics
	hook     *hook

	node     *peers.Node
	members  *members.Service
	configs  *configs.Service
	servers  *servers
	budgets  *budgets.Service
	links    linkNames
	claims   *claims.Service
	permits  *permits.Service
	lookups  *lookup.Service
	blocks   *blocks
	places   *places
	moves    *moves.Service
	requests *request.Service
	callers  *callers.Server

	draining atomic.Bool
	done     chan struct{}
}

// New joins the parts of a host. Nothing listens before Run.
func New(s settings.Settings, log *events.Log) (h *Host, err error) {
	defer func() { err = errors.Wrap(err, "set up host") }()
	h = &Host{settings: s, log: log, start: time.Now(), metrics: scrapers.New(), done: make(chan struct{})}
	h.hook = &hook{metrics: h.metrics, log: log}
	objects, err := store.Open(s.StoreEndpoint)
	if err != nil {
		return nil, err
	}
	list, err := platform.Open(s.PlatformEndpoint)
	if err != nil {
		return nil, err
	}
	table := peers.NewTable()
	h.node = peers.New(peers.Options{
		Host: s.Host, Secret: []byte(s.PeerSecret), Table: table,
		Address: func(host string) (string, bool) { return h.address(host) },
	})
	h.places = newPlaces(h)
	h.servers = newServers(list, log, h.onServers)
	h.members = h.newMembers(table, list)
	h.configs = configs.New(configs.Options{
		Host: s.Host, Region: s.Region, Store: objects, Peers: h.node, Table: table, Members: h.members,
		Log: log.Logger(), Seed: uint64(h.start.UnixNano()),
	})
	h.budgets = budgets.New(budgets.Options{
		Host: s.Host, Region: s.Region, FailureDomain: s.FailureDomain,
		Store: objects, Caller: h.node, Table: table, Seeds: slices.Sorted(maps.Keys(s.Seeds)),
		Broadcast: h.members.Broadcast, Clock: h.now, MaxWait: time.Duration(s.Limits.BudgetWait), Log: log.Logger(),
		MayLeave: func(ctx context.Context) bool { return h.claims.HandedOver(ctx) },
	})
	h.claims = claims.New(claims.Options{
		Host: s.Host, Ledger: h.budgets, Caller: h.node, Peers: table, Now: h.now, Logger: log.Logger(),
	})
	h.permits = permits.New(permits.Options{
		Host: s.Host, FailureDomain: s.FailureDomain, Ledger: h.budgets, Caller: h.node, Peers: table, Now: h.now,
		Logger: log.Logger(),
	})
	h.configs.Subscribe(h.applyLimits)
	h.blocks = newBlocks(h)
	h.lookups = lookup.New(lookup.Options{
		Self:    membership.Member{Host: s.Host, Region: s.Region, FailureDomain: s.FailureDomain, CallerAddress: s.CallerAddress},
		Members: h.members.Members, Configuration: h.configs.Current, BackendServers: h.servers.get,
		ShareHolders: h.shareHolders, Blocks: h.blocks.all, Loads: h.places.siteLoads, Now: h.now, TTL: time.Duration(s.Limits.LookupTTL),
	})
	h.moves = moves.New(moves.Options{
		Host: s.Host, Incarnation: uint64(h.start.UnixMilli()), Store: objects, Peers: h.node, Table: table,
		Members: h.members, Configs: h.configs, Places: h.places, Log: log.Logger(), Seed: uint64(h.start.UnixNano()),
	})
	h.requests = h.newRequests(table)
	h.callers = callers.New(callers.Options{
		Requests: h.requests, Lookup: h.lookups.Handler(),
		DrainNotice: h.drainNotice(), Logger: log.Logger(),
	})
	h.registerGauges()
	return h, nil
}

func (h *Host) now() time.Duration { return time.Since(h.start) }

// address finds a peer through the membership, else through the seeds of the settings.
func (h *Host) address(host string) (string, bool) {
	if address, ok := h.members.Address(host); ok {
		return address, true
	}
	address, ok := h.settings.Seeds[host]
	return address, ok
}

func (h *Host) newMembers(table *peers.Table, list platform.List) *members.Service {
	s := h.settings
	seeds := make([]string, 0, len(s.Seeds))
	for _, address := range s.Seeds {
		seeds = append(seeds, address)
	}
	return members.New(members.Options{
		Self: membership.Member{
			Host: s.Host, Region: s.Region, FailureDomain: s.FailureDomain,
			PeerAddress: s.PeerAddress, CallerAddress: s.CallerAddress,
		},
		Seeds: seeds, Caller: h.node, Peers: table, List: list, Now: h.now,
		Digest: func() membership.Digest {
			return membership.Digest{Sequence: h.configs.Sequence(), Epoch: h.budgets.Ledger().Epoch}
		},
		OnBehind: func(host string, shown membership.Digest) {
			h.configs.Notice(host, shown.Sequence)
			h.budgets.Observe(host, shown.Epoch)
		},
		OnChange: h.onMembers, Logger: h.log.Logger(),
	})
}

func (h *Host) onMembers(changed []membership.Member) {
	for _, m := range changed {
		h.log.Emit(events.MemberChanged, "member", m.Host, "state", m.State, "incarnation", m.Incarnation)
	}
	h.lookups.Notify()
}

func (h *Host) newRequests(table *peers.Table) *request.Service {
	requests := request.New(request.Options{
		Host: h.settings.Host, Region: h.settings.Region, FailureDomain: h.settings.FailureDomain,
		Configuration: h.configs.Current, Fresh: h.configs.Fresh, BackendServers: h.servers.get,
		Admitter: h.budgets, Permits: h.permits, Claims: h.claims, Moves: h.moves, Link: h.admitLink, Notify: h.notifyQuarantine, Hook: h.hook,
	})
	peers.Handle(table, quarantineKind, func(_ context.Context, _ string, notice quarantine.Notice) (struct{}, error) {
		requests.HandleNotice(notice)
		return struct{}{}, nil
	})
	return requests
}

// admitLink charges bytes to the link between two regions; regions without a configured link have no limit.
func (h *Host) admitLink(from, to string, bytes float64) bool {
	name, ok := h.links.name(from, to)
	if !ok {
		return true
	}
	decision, err := h.budgets.LinkAdmit(context.Background(), name, bytes)
	return err == nil && decision.Admitted
}

// quarantineKind is the kind of the messages that tell of a request that crashes backend servers.
const quarantineKind = "quarantine-notice"

func (h *Host) notifyQuarantine(ctx context.Context, notice quarantine.Notice) (err error) {
	defer func() { err = errors.Wrap(err, "tell the other hosts of a crashing request") }()
	body, err := cbor.Marshal(notice)
	if err != nil {
		return err
	}
	return h.members.Broadcast(ctx, quarantineKind, body)
}

// drainNotice is as long as callers may keep a look-up answer that names this host.
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

// Run listens and serves until ctx ends, then drains: look-ups stop naming the host, requests in flight finish.
func (h *Host) Run(ctx context.Context) (err error) {
	defer close(h.done)
	defer func() { err = errors.Wrapf(err, "run host %s", h.settings.Host) }()
	h.log.Emit(events.HostStarting, "region", h.settings.Region, "failure-domain", h.settings.FailureDomain)
	listeners, err := listen(h.settings.PeerAddress, h.settings.OperatorAddress, h.settings.CallerAddress)
	if err != nil {
		return err
	}
	// The parts outlive ctx: they are needed until the last request in flight has finished.
	parts, stopParts := context.WithCancel(context.Background())
	defer stopParts()
	group, parts := errgroup.WithContext(parts)
	peerServer := &http.Server{Handler: h.node, ReadHeaderTimeout: time.Second}
	operatorServer := &http.Server{
		Handler:           operators.NewServer(h, h.settings.OperatorCredential, h.metrics),
		ReadHeaderTimeout: time.Second,
	}
	for i, server := range []*http.Server{peerServer, operatorServer} {
		group.Go(func() error { return serve(server, listeners[i]) })
	}
	runs := []func(context.Context) error{
		h.servers.run, h.members.Run, h.configs.Run, h.budgets.Run, h.claims.Run, h.permits.Run, h.lookups.Run, h.blocks.run, h.moves.Run, newObserver(h).run, h.requests.Run,
	}
	for _, run := range runs {
		group.Go(func() error { return run(parts) })
	}
	h.callers.Start(listeners[2])
	group.Go(func() error { return h.announceReady(parts) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			err := h.drain()
			stopParts()
			return errors.CombineErrors(err, h.closeServers(peerServer, operatorServer))
		case <-parts.Done():
			return h.closeServers(peerServer, operatorServer)
		}
	})
	err = group.Wait()
	h.node.Close()
	h.log.Emit(events.HostStopped, "error", err)
	return err
}

// drain keeps serving until callers have dropped look-up answers that name this host, then waits for the
// requests in flight.
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
	h.leaveLedger()
	return err
}

// leaveLedger hands the slots over. Without the store that cannot be recorded; the others take the slots over later.
func (h *Host) leaveLedger() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveLimit)
	defer cancel()
	if err := h.budgets.Leave(ctx); err != nil {
		h.log.Emit(events.LedgerNotLeft, "error", err)
	}
}

func (h *Host) closeServers(servers ...*http.Server) (err error) {
	for _, server := range servers {
		err = errors.CombineErrors(err, server.Close())
	}
	return err
}

// announceReady logs the moment from which callers are served.
func (h *Host) announceReady(ctx context.Context) error {
	ticker := time.NewTicker(readyPoll)
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

func listen(addresses ...string) (listeners []net.Listener, err error) {
	for _, address := range addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			for _, opened := range listeners {
				_ = opened.Close()
			}
			return nil, err
		}
		listeners = append(listeners, listener)
	}
	return listeners, nil
}

func serve(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
