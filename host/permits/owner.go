package permits

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"vanillatally/core/ledger"
	"vanillatally/core/permit"
	"vanillatally/io/peers"
)

// Kinds of messages between hosts.
const (
	kindReport   = "permit-request"
	kindGrant    = "permit-grant"
	kindTakeover = "permit-takeover"
)

type reportMessage struct {
	Reports []permit.Report `cbor:"reports"`
}

type grantMessage struct {
	Grants []permit.Grant `cbor:"grants"`
}

// takeoverMessage asks a member to stop granting permits for servers that the sender owns since Epoch.
type takeoverMessage struct {
	Epoch   uint64   `cbor:"epoch"`
	Servers []string `cbor:"servers"`
}

type takeoverResponse struct {
	// Refused says that a host had taken over one of the servers at a later epoch.
	Refused bool `cbor:"refused,omitempty"`
	// Handovers holds, for each server that the responder owned until now, the permits that it had granted.
	Handovers map[string][]permit.HandoverEntry `cbor:"books,omitempty"`
}

// ownerState is a host's state as the owner, or a possible owner, of a server.
type ownerState struct {
	mu sync.Mutex
	// pool is nil unless this host has taken over the server and no other host has done so since.
	pool *permit.Pool
	// fenceEpoch is the highest epoch at which a host took over the server. Owners of earlier epochs may not grant.
	fenceEpoch uint64
	takeover   *takeover
}

// takeover collects the members' responses to a takeover. A member that has responded no longer grants permits.
type takeover struct {
	epoch      uint64
	responded  map[memberID]bool
	handover   []permit.HandoverEntry
	handedOver bool // the previous owner sent handover
}

type memberID struct {
	host        string
	incarnation uint64
}

// mayGrant reports whether this host may grant permits for the server now. The caller must hold e.owner.mu.
func (s *Service) mayGrant(l ledger.Ledger, e *serverState) bool {
	return e.owner.pool != nil && e.owner.pool.OwnerEpoch >= e.owner.fenceEpoch && s.options.Ledger.LeaseValid() &&
		permit.Owner(l, e.id, e.server.Load().Region) == s.options.Host
}

func (s *Service) handleReports(_ context.Context, from string, message reportMessage) (response grantMessage, err error) {
	entries, l, weights := *s.servers.Load(), s.options.Ledger.Ledger(), *s.weights.Load()
	pushes := map[string][]permit.Grant{}
	for _, r := range message.Reports {
		e := entries[r.Server]
		if e == nil {
			continue
		}
		// The time is read before the lease is checked, so that a pause in between shortens the permits and does not
		// extend them beyond the lease.
		now := s.options.Now()
		e.owner.mu.Lock()
		if s.mayGrant(l, e) {
			pool, grants := e.owner.pool.HandleReport(now, from, r, e.server.Load().Slots, weights)
			e.owner.pool = &pool
			for host, g := range grants {
				if host == from {
					response.Grants = append(response.Grants, g)
				} else {
					pushes[host] = append(pushes[host], g)
				}
			}
		}
		e.owner.mu.Unlock()
	}
	s.pushGrants(pushes)
	return response, nil
}

// pushGrants queues grants for other hosts and drops those for which the queue is full.
func (s *Service) pushGrants(pushes map[string][]permit.Grant) {
	for host, grants := range pushes {
		select {
		case s.pushes <- grantPush{to: host, grants: grantMessage{Grants: grants}}:
		default:
		}
	}
}

func (s *Service) handleGrants(_ context.Context, from string, message grantMessage) (struct{}, error) {
	s.applyGrants(from, message)
	return struct{}{}, nil
}

// handleTakeover stops granting permits for servers that another host takes over, and returns the permits that this host
// had granted.
func (s *Service) handleTakeover(_ context.Context, _ string, message takeoverMessage) (response takeoverResponse, err error) {
	entries := *s.servers.Load()
	response.Handovers = map[string][]permit.HandoverEntry{}
	for _, id := range message.Servers {
		e := entries[id]
		if e == nil {
			// A host that does not know the server cannot have granted permits for it.
			continue
		}
		e.owner.mu.Lock()
		if e.owner.fenceEpoch > message.Epoch || e.owner.pool != nil && e.owner.pool.OwnerEpoch > message.Epoch {
			response.Refused = true
			e.owner.mu.Unlock()
			continue
		}
		now := s.options.Now()
		if pool := e.owner.pool; pool != nil && pool.OwnerEpoch < message.Epoch {
			if pool.OwnerEpoch >= e.owner.fenceEpoch && now >= pool.ReadyAt && s.options.Ledger.LeaseValid() {
				response.Handovers[id] = append([]permit.HandoverEntry{}, pool.Handover(now)...)
			}
			e.owner.pool = nil
		}
		e.owner.fenceEpoch = message.Epoch
		e.owner.mu.Unlock()
	}
	return response, nil
}

// runOwner takes over the servers that this host has come to own, and drops expired permits of those that it owns.
func (s *Service) runOwner(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		s.takeOverServers(ctx)
		l, weights := s.options.Ledger.Ledger(), *s.weights.Load()
		pushes := map[string][]permit.Grant{}
		for _, e := range *s.servers.Load() {
			now := s.options.Now()
			e.owner.mu.Lock()
			if s.mayGrant(l, e) {
				pool, grants := e.owner.pool.Tick(now, e.id, e.server.Load().Slots, weights)
				e.owner.pool = &pool
				for host, g := range grants {
					pushes[host] = append(pushes[host], g)
				}
			}
			e.owner.mu.Unlock()
		}
		s.pushGrants(pushes)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// takeOverServers takes over the servers that this host owns according to the ledger. It asks all members to stop granting
// permits for them, and asks again in the next tick if one did not respond.
func (s *Service) takeOverServers(ctx context.Context) {
	l := s.options.Ledger.Ledger()
	if !s.options.Ledger.LeaseValid() {
		return
	}
	entries := map[string]*serverState{}
	serversByMember := map[memberID][]string{}
	for id, e := range *s.servers.Load() {
		e.owner.mu.Lock()
		o := &e.owner
		if permit.Owner(l, id, e.server.Load().Region) != s.options.Host || o.fenceEpoch > l.Epoch ||
			o.pool != nil && o.pool.OwnerEpoch >= o.fenceEpoch {
			o.mu.Unlock()
			continue
		}
		if o.takeover == nil || o.takeover.epoch < o.fenceEpoch {
			o.takeover = &takeover{epoch: l.Epoch, responded: map[memberID]bool{}}
			o.pool, o.fenceEpoch = nil, l.Epoch
		}
		for _, m := range l.Members {
			if target := (memberID{m.Host, m.Incarnation}); m.Host != s.options.Host && !o.takeover.responded[target] {
				serversByMember[target] = append(serversByMember[target], id)
			}
		}
		entries[id] = e
		o.mu.Unlock()
	}
	var group errgroup.Group
	group.SetLimit(takeoverConcurrency)
	for target, servers := range serversByMember {
		group.Go(func() error {
			s.requestTakeover(ctx, target, servers, entries)
			return nil
		})
	}
	_ = group.Wait()
	for _, e := range entries {
		s.finishTakeover(l, e)
	}
}

// requestTakeover asks one member to stop granting permits for servers and records its response.
func (s *Service) requestTakeover(ctx context.Context, target memberID, servers []string, entries map[string]*serverState) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// A message has one epoch, and the takeovers of the servers may have begun at different ones.
	serversByEpoch := map[uint64][]string{}
	for _, id := range servers {
		o := &entries[id].owner
		o.mu.Lock()
		if o.takeover != nil {
			serversByEpoch[o.takeover.epoch] = append(serversByEpoch[o.takeover.epoch], id)
		}
		o.mu.Unlock()
	}
	for epoch, ids := range serversByEpoch {
		message := takeoverMessage{Epoch: epoch, Servers: ids}
		response, err := peers.Call[takeoverMessage, takeoverResponse](
			callCtx, s.options.Caller, target.host, kindTakeover, message)
		if err != nil || response.Refused {
			continue
		}
		for _, id := range ids {
			o := &entries[id].owner
			o.mu.Lock()
			if o.takeover != nil && o.takeover.epoch == epoch {
				o.takeover.responded[target] = true
				if handover, handedOver := response.Handovers[id]; handedOver {
					o.takeover.handedOver, o.takeover.handover = true, handover
				}
			}
			o.mu.Unlock()
		}
	}
}

// finishTakeover creates the pool of a server once no other host can grant permits for it: either the previous owner handed
// over, or all members have responded. In the second case the previous owner was lost, and the pool grants nothing until
// that owner's permits have expired.
func (s *Service) finishTakeover(l ledger.Ledger, e *serverState) {
	e.owner.mu.Lock()
	defer e.owner.mu.Unlock()
	o := &e.owner
	if o.takeover == nil || o.takeover.epoch < o.fenceEpoch {
		return
	}
	if !o.takeover.handedOver {
		for _, m := range l.Members {
			if m.Host != s.options.Host && !o.takeover.responded[memberID{m.Host, m.Incarnation}] {
				return
			}
		}
	}
	pool := permit.NewPool(
		o.takeover.epoch, e.server.Load().Slots, o.takeover.handover, !o.takeover.handedOver, s.options.Now())
	o.pool, o.takeover = &pool, nil
}
