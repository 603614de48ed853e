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

// Kinds of the messages about permits.
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

type takeoverMessage struct {
	Epoch   uint64   `cbor:"epoch"`
	Servers []string `cbor:"servers"`
}

type takeoverResponse struct {
	// Refused says that a later owner has asked before.
	Refused bool `cbor:"refused,omitempty"`
	// Handovers holds what this host had granted as the present owner.
	Handovers map[string][]permit.HandoverEntry `cbor:"books,omitempty"`
}

// ownerState is this host's state as the owner of a server.
type ownerState struct {
	mu sync.Mutex
	// pool is nil unless this host has taken over the server and nobody has taken it over since.
	pool *permit.Pool
	// fenceEpoch is the highest epoch at which a host took over; no earlier owner may grant.
	fenceEpoch uint64
	takeover   *takeover
}

// takeover collects the answers of the members, each of which stops granting.
type takeover struct {
	epoch      uint64
	answered   map[memberID]bool
	handover   []permit.HandoverEntry
	handedOver bool
}

type memberID struct {
	host        string
	incarnation uint64
}

// mayGrant says whether this host may grant permits for the server now; e.owned.mu is held.
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
		// The time is read before the lease is checked: a pause in between shortens the permits.
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

// handleTakeover stops granting for the servers of a new owner and hands over what was granted.
func (s *Service) handleTakeover(_ context.Context, _ string, message takeoverMessage) (response takeoverResponse, err error) {
	entries := *s.servers.Load()
	response.Handovers = map[string][]permit.HandoverEntry{}
	for _, id := range message.Servers {
		e := entries[id]
		if e == nil {
			// A host that does not know the server cannot have granted for it.
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

// runOwner takes over servers and lets permits expire.
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

// takeOverServers asks the members about the servers that have become this host's.
func (s *Service) takeOverServers(ctx context.Context) {
	l := s.options.Ledger.Ledger()
	if !s.options.Ledger.LeaseValid() {
		return
	}
	entries := map[string]*serverState{}
	requests := map[memberID][]string{}
	for id, e := range *s.servers.Load() {
		e.owner.mu.Lock()
		o := &e.owner
		if permit.Owner(l, id, e.server.Load().Region) != s.options.Host || o.fenceEpoch > l.Epoch ||
			o.pool != nil && o.pool.OwnerEpoch >= o.fenceEpoch {
			o.mu.Unlock()
			continue
		}
		if o.takeover == nil || o.takeover.epoch < o.fenceEpoch {
			o.takeover = &takeover{epoch: l.Epoch, answered: map[memberID]bool{}}
			o.pool, o.fenceEpoch = nil, l.Epoch
		}
		for _, m := range l.Members {
			if target := (memberID{m.Host, m.Incarnation}); m.Host != s.options.Host && !o.takeover.answered[target] {
				requests[target] = append(requests[target], id)
			}
		}
		entries[id] = e
		o.mu.Unlock()
	}
	var group errgroup.Group
	group.SetLimit(takeoverConcurrency)
	for target, servers := range requests {
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

// requestTakeover takes in one member's answer.
func (s *Service) requestTakeover(ctx context.Context, target memberID, servers []string, entries map[string]*serverState) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// The servers of one message may have been begun at different epochs; the lowest fences enough.
	byEpoch := map[uint64][]string{}
	for _, id := range servers {
		o := &entries[id].owner
		o.mu.Lock()
		if o.takeover != nil {
			byEpoch[o.takeover.epoch] = append(byEpoch[o.takeover.epoch], id)
		}
		o.mu.Unlock()
	}
	for epoch, ids := range byEpoch {
		message := takeoverMessage{Epoch: epoch, Servers: ids}
		response, err := peers.Call[takeoverMessage, takeoverResponse](callCtx, s.options.Caller, target.host, kindTakeover, message)
		if err != nil || response.Refused {
			continue
		}
		for _, id := range ids {
			o := &entries[id].owner
			o.mu.Lock()
			if o.takeover != nil && o.takeover.epoch == epoch {
				o.takeover.answered[target] = true
				if handed, ready := response.Handovers[id]; ready {
					o.takeover.handedOver, o.takeover.handover = true, handed
				}
			}
			o.mu.Unlock()
		}
	}
}

// finishTakeover opens the book once no other host can grant: the present owner handed over, or every member
// answered and the permits of an owner that was lost have expired.
func (s *Service) finishTakeover(l ledger.Ledger, e *serverState) {
	e.owner.mu.Lock()
	defer e.owner.mu.Unlock()
	o := &e.owner
	if o.takeover == nil || o.takeover.epoch < o.fenceEpoch {
		return
	}
	if !o.takeover.handedOver {
		for _, m := range l.Members {
			if m.Host != s.options.Host && !o.takeover.answered[memberID{m.Host, m.Incarnation}] {
				return
			}
		}
	}
	pool := permit.NewPool(o.takeover.epoch, e.server.Load().Slots, o.takeover.handover, !o.takeover.handedOver, s.options.Now())
	o.pool, o.takeover = &pool, nil
}
