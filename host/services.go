package host

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

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
	"vanillatally/io/peers"
	"vanillatally/io/platform"
	"vanillatally/io/store"
)

// createServices creates the services in the order of their dependencies. Each registers the handlers of its peer messages in
// table.
func (h *Host) createServices(table *peers.HandlerTable, objects store.Store, list platform.List) {
	s := h.settings
	h.node = peers.New(peers.Options{Host: s.Host, Secret: []byte(s.PeerSecret), Table: table, Address: h.peerAddress})
	h.places = newPlaces(h)
	h.servers = newBackendServerList(list, h.log, h.onBackendServersListed)
	h.members = h.newMembers(table, list)
	h.configs = configs.New(configs.Options{
		Host: s.Host, Region: s.Region, Store: objects, Caller: h.node, Handlers: table, Members: h.members,
		Logger: h.log.Logger(), Seed: uint64(h.start.UnixNano()),
	})
	h.createLedgerServices(table, objects)
	h.configs.Subscribe(h.applyLimits)
	h.clientPrefixes = newClientPrefixLoader(h)
	h.lookups = h.newLookups()
	h.moves = moves.New(moves.Options{
		Host: s.Host, Incarnation: uint64(h.start.UnixMilli()), Store: objects, Peers: h.node, Table: table,
		Members: h.members, Configs: h.configs, Places: h.places, Log: h.log.Logger(), Seed: uint64(h.start.UnixNano()),
	})
	h.requests = h.newRequests(table)
	h.callers = callers.New(callers.Options{
		Requests: h.requests, Lookup: h.lookups.Handler(),
		DrainNotice: h.drainNotice(), Logger: h.log.Logger(),
	})
}

// createLedgerServices creates the services that depend on slots and leases of the ledger.
func (h *Host) createLedgerServices(table *peers.HandlerTable, objects store.Store) {
	s := h.settings
	h.budgets = budgets.New(budgets.Options{
		Host: s.Host, Region: s.Region, FailureDomain: s.FailureDomain,
		Store: objects, Caller: h.node, Peers: table, Seeds: slices.Sorted(maps.Keys(s.Seeds)),
		Broadcast: h.members.Broadcast, Clock: h.now, MaxLoanWait: time.Duration(s.Limits.BudgetWait), Log: h.log.Logger(),
		HandoverComplete: func(ctx context.Context) bool { return h.claims.HandoverComplete(ctx) },
	})
	h.claims = claims.New(claims.Options{
		Host: s.Host, Ledger: h.budgets, Caller: h.node, Peers: table, Now: h.now, Logger: h.log.Logger(),
	})
	h.permits = permits.New(permits.Options{
		Host: s.Host, FailureDomain: s.FailureDomain, Ledger: h.budgets, Caller: h.node, Handlers: table, Now: h.now,
		Logger: h.log.Logger(),
	})
}

func (h *Host) newLookups() *lookup.Service {
	s := h.settings
	return lookup.New(lookup.Options{
		Self: membership.Member{
			Host: s.Host, Region: s.Region, FailureDomain: s.FailureDomain, CallerAddress: s.CallerAddress,
		},
		Members: h.members.Members, Configuration: h.configs.Current, BackendServers: h.servers.get,
		HostsWithRateShare: h.rateShareHolders, ClientPrefixes: h.clientPrefixes.all, Loads: h.places.siteLoads,
		Now: h.now, TTL: time.Duration(s.Limits.LookupTTL),
	})
}

// peerAddress returns the address of a peer from the membership, or else from the seeds of the settings.
func (h *Host) peerAddress(host string) (string, bool) {
	if address, ok := h.members.Address(host); ok {
		return address, true
	}
	address, ok := h.settings.Seeds[host]
	return address, ok
}

func (h *Host) newMembers(table *peers.HandlerTable, list platform.List) *members.Service {
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
		Seeds: seeds, Caller: h.node, Handlers: table, PlatformList: list, Now: h.now,
		Versions: func() membership.Versions {
			return membership.Versions{Sequence: h.configs.Sequence(), Epoch: h.budgets.Ledger().Epoch}
		},
		OnNewerVersions: func(host string, shown membership.Versions) {
			h.configs.ObserveSequence(host, shown.Sequence)
			h.budgets.ObserveEpoch(host, shown.Epoch)
		},
		OnMembersChanged: h.onMembersChanged, Logger: h.log.Logger(),
	})
}

func (h *Host) onMembersChanged(changed []membership.Member) {
	for _, m := range changed {
		h.log.Emit(events.MemberChanged, "member", m.Host, "state", m.State, "incarnation", m.Incarnation)
	}
	h.lookups.RequestUpdate()
}

func (h *Host) newRequests(table *peers.HandlerTable) *request.Service {
	requests := request.New(request.Options{
		Host: h.settings.Host, Region: h.settings.Region, FailureDomain: h.settings.FailureDomain,
		Configuration: h.configs.Current, ConfigurationFresh: h.configs.Fresh, BackendServers: h.servers.get,
		Admitter: h.budgets, Permits: h.permits, Claims: h.claims, Moves: h.moves,
		AdmitLinkTraffic: h.admitLinkTraffic, BroadcastQuarantineNotice: h.broadcastQuarantineNotice, Hook: h.requestHook,
		MaxRequestBodyBytes: h.settings.Limits.RequestBytes,
	})
	peers.Handle(table, quarantineNoticeKind, func(_ context.Context, _ string, notice quarantine.Notice) (struct{}, error) {
		requests.HandleQuarantineNotice(notice)
		return struct{}{}, nil
	})
	return requests
}

// admitLinkTraffic charges bytes to the link between two regions. Traffic between regions without a configured link is not
// limited.
func (h *Host) admitLinkTraffic(from, to string, bytes float64) bool {
	name, ok := h.links.name(from, to)
	if !ok {
		return true
	}
	decision, err := h.budgets.AdmitLink(context.Background(), name, bytes)
	return err == nil && decision.Admitted
}

// quarantineNoticeKind is the message kind of quarantine notices.
const quarantineNoticeKind = "quarantine-notice"

func (h *Host) broadcastQuarantineNotice(ctx context.Context, notice quarantine.Notice) (err error) {
	defer func() { err = errors.Wrap(err, "broadcast quarantine notice") }()
	body, err := cbor.Marshal(notice)
	if err != nil {
		return err
	}
	return h.members.Broadcast(ctx, quarantineNoticeKind, body)
}
