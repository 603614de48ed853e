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

type takeoverAnswer struct {
	// Refused says that a later owner has asked before.
	Refused bool `cbor:"refused,omitempty"`
	// Books holds what this host had granted as the present owner.
	Books map[string][]permit.HandoverEntry `cbor:"books,omitempty"`
}

// owned is this host's state as the owner of a server.
type owned struct {
	mu sync.Mutex
	// book is nil unless this host has taken over the server and nobody has taken it over since.
	book *permit.Pool
	// floor is the highest epoch at which a host took over; no earlier owner may grant.
	floor    uint64
	takeover *takeover
}

// takeover collects the answers of the members, each of which stops granting.
type takeover struct {
	epoch    uint64
	answered map[member]bool
	handed   []permit.HandoverEntry
	ready    bool
}

type member struct {
	host        string
	incarnation uint64
}

// mine says whether this host may grant permits for the server now; e.owned.mu is held.
func (s *Service) mine(l ledger.Ledger, e *entry) bool {
	return e.owned.book != nil && e.owned.book.OwnerEpoch >= e.owned.floor && s.options.Ledger.LeaseValid() &&
		permit.Owner(l, e.id, e.server.Load().Region) == s.options.Host
}

func (s *Service) handleReports(_ context.Context, from string, message reportMessage) (answer grantMessage, err error) {
	entries, l, weights := *s.servers.Load(), s.options.Ledger.Ledger(), *s.weights.Load()
	pushes := map[string][]permit.Grant{}
	for _, r := range message.Reports {
		e := entries[r.Server]
		if e == nil {
			continue
		}
		// The time is read before the lease is checked: a pause in between shortens the permits.
		now := s.options.Now()
		e.owned.mu.Lock()
		if s.mine(l, e) {
			book, grants := e.owned.book.HandleReport(now, from, r, e.server.Load().Slots, weights)
			e.owned.book = &book
			for host, g := range grants {
				if host == from {
					answer.Grants = append(answer.Grants, g)
				} else {
					pushes[host] = append(pushes[host], g)
				}
			}
		}
		e.owned.mu.Unlock()
	}
	s.sendAll(pushes)
	return answer, nil
}

func (s *Service) sendAll(pushes map[string][]permit.Grant) {
	for host, grants := range pushes {
		select {
		case s.pushes <- push{to: host, grants: grantMessage{Grants: grants}}:
		default:
		}
	}
}

func (s *Service) handleGrants(_ context.Context, from string, message grantMessage) (struct{}, error) {
	s.apply(from, message)
	return struct{}{}, nil
}

// handleTakeover stops granting for the servers of a new owner and hands over what was granted.
func (s *Service) handleTakeover(_ context.Context, _ string, message takeoverMessage) (answer takeoverAnswer, err error) {
	entries := *s.servers.Load()
	answer.Books = map[string][]permit.HandoverEntry{}
	for _, id := range message.Servers {
		e := entries[id]
		if e == nil {
			// A host that does not know the server cannot have granted for it.
			continue
		}
		e.owned.mu.Lock()
		if e.owned.floor > message.Epoch || e.owned.book != nil && e.owned.book.OwnerEpoch > message.Epoch {
			answer.Refused = true
			e.owned.mu.Unlock()
			continue
		}
		now := s.options.Now()
		if b := e.owned.book; b != nil && b.OwnerEpoch < message.Epoch {
			if b.OwnerEpoch >= e.owned.floor && now >= b.ReadyAt && s.options.Ledger.LeaseValid() {
				answer.Books[id] = append([]permit.HandoverEntry{}, b.Handover(now)...)
			}
			e.owned.book = nil
		}
		e.owned.floor = message.Epoch
		e.owned.mu.Unlock()
	}
	return answer, nil
}

// own takes over servers and lets permits expire.
func (s *Service) own(ctx context.Context) error {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		s.takeOver(ctx)
		l, weights := s.options.Ledger.Ledger(), *s.weights.Load()
		pushes := map[string][]permit.Grant{}
		for _, e := range *s.servers.Load() {
			now := s.options.Now()
			e.owned.mu.Lock()
			if s.mine(l, e) {
				book, grants := e.owned.book.Tick(now, e.id, e.server.Load().Slots, weights)
				e.owned.book = &book
				for host, g := range grants {
					pushes[host] = append(pushes[host], g)
				}
			}
			e.owned.mu.Unlock()
		}
		s.sendAll(pushes)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// takeOver asks the members about the servers that have become this host's.
func (s *Service) takeOver(ctx context.Context) {
	l := s.options.Ledger.Ledger()
	if !s.options.Ledger.LeaseValid() {
		return
	}
	entries := map[string]*entry{}
	asked := map[member][]string{}
	for id, e := range *s.servers.Load() {
		e.owned.mu.Lock()
		o := &e.owned
		if permit.Owner(l, id, e.server.Load().Region) != s.options.Host || o.floor > l.Epoch ||
			o.book != nil && o.book.OwnerEpoch >= o.floor {
			o.mu.Unlock()
			continue
		}
		if o.takeover == nil || o.takeover.epoch < o.floor {
			o.takeover = &takeover{epoch: l.Epoch, answered: map[member]bool{}}
			o.book, o.floor = nil, l.Epoch
		}
		for _, m := range l.Members {
			if who := (member{m.Host, m.Incarnation}); m.Host != s.options.Host && !o.takeover.answered[who] {
				asked[who] = append(asked[who], id)
			}
		}
		entries[id] = e
		o.mu.Unlock()
	}
	var group errgroup.Group
	group.SetLimit(concurrency)
	for who, servers := range asked {
		group.Go(func() error {
			s.ask(ctx, who, servers, entries)
			return nil
		})
	}
	_ = group.Wait()
	for _, e := range entries {
		s.settle(l, e)
	}
}

// ask takes in one member's answer.
func (s *Service) ask(ctx context.Context, who member, servers []string, entries map[string]*entry) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// The servers of one message may have been begun at different epochs; the lowest fences enough.
	byEpoch := map[uint64][]string{}
	for _, id := range servers {
		o := &entries[id].owned
		o.mu.Lock()
		if o.takeover != nil {
			byEpoch[o.takeover.epoch] = append(byEpoch[o.takeover.epoch], id)
		}
		o.mu.Unlock()
	}
	for epoch, ids := range byEpoch {
		message := takeoverMessage{Epoch: epoch, Servers: ids}
		answer, err := peers.Call[takeoverMessage, takeoverAnswer](callCtx, s.options.Caller, who.host, kindTakeover, message)
		if err != nil || answer.Refused {
			continue
		}
		for _, id := range ids {
			o := &entries[id].owned
			o.mu.Lock()
			if o.takeover != nil && o.takeover.epoch == epoch {
				o.takeover.answered[who] = true
				if handed, ready := answer.Books[id]; ready {
					o.takeover.ready, o.takeover.handed = true, handed
				}
			}
			o.mu.Unlock()
		}
	}
}

// settle opens the book once no other host can grant: the present owner handed over, or every member
// answered and the permits of an owner that was lost have expired.
func (s *Service) settle(l ledger.Ledger, e *entry) {
	e.owned.mu.Lock()
	defer e.owned.mu.Unlock()
	o := &e.owned
	if o.takeover == nil || o.takeover.epoch < o.floor {
		return
	}
	if !o.takeover.ready {
		for _, m := range l.Members {
			if m.Host != s.options.Host && !o.takeover.answered[member{m.Host, m.Incarnation}] {
				return
			}
		}
	}
	book := permit.NewPool(o.takeover.epoch, e.server.Load().Slots, o.takeover.handed, !o.takeover.ready, s.options.Now())
	o.book, o.takeover = &book, nil
}
