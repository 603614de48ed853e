package moves

import (
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"vanillatally/core/config"
	"vanillatally/core/rollout"
	"vanillatally/io/store"
)

// maxVetoes bounds the unanswered vetoes of a move; at the bound further ones are dropped, since one suffices.
const maxVetoes = 32

// move is one shift or rollout at this host.
type move struct {
	variant    variant
	name, key  string
	definition uint64
	rollout    config.Rollout
	shift      config.Shift
	cancelled  atomic.Bool
	// cells holds the counters by route; the map is replaced when the configuration changes.
	cells atomic.Pointer[map[string]*cells]
	// inForce holds the bits of the share in force here; ended is set when it is final.
	inForce atomic.Uint64
	ended   atomic.Bool

	mu sync.Mutex
	// record is the newest one known, at version; version 0 means that none is known.
	record   Record
	version  store.Version
	recordAt time.Duration
	// vetoes holds the unanswered vetoes by id, at most maxVetoes.
	vetoes map[string]veto
	local  rollout.LocalJudge
	// begun is set when local is in use.
	begun bool
	lease lease
}

// lease is what a driver or candidate knows of the move's lease.
type lease struct {
	// driving is set while this host is the driver; only its conditional puts prove it.
	driving bool
	machine machine
	// pending is the evidence since the last decision; nil when none arrived.
	pending rollout.Batch
	putAt   time.Duration
	// dirty is set while a lowering that is in force is not recorded.
	dirty bool
	// polledAt is the time of a candidate's last read, seenAt the time at which it first read seen.
	polledAt, seenAt time.Duration
	seen             store.Version
}

// veto lowers a share without the driver.
type veto struct {
	ID     string  `cbor:"i"`
	Key    string  `cbor:"k"`
	Host   string  `cbor:"h"`
	Share  float64 `cbor:"s"`
	Reason string  `cbor:"r"`
	// Definition identifies the move's document.
	Definition uint64 `cbor:"d"`
}

// share returns the share in force here.
func (m *move) share() float64 { return math.Float64frombits(m.inForce.Load()) }

// settle recomputes the share in force: the lowest of the record and the unanswered vetoes. The caller holds mu.
func (m *move) settle() {
	share := m.record.Share
	for _, v := range m.vetoes {
		share = min(share, v.Share)
	}
	m.inForce.Store(math.Float64bits(share))
	m.ended.Store(overPhase(m.record.Phase) && len(m.vetoes) == 0)
}

// take puts a record in force if it is newer than the one known. The caller holds mu.
func (m *move) take(now time.Duration, r Record, version store.Version) bool {
	if version <= m.version || r.Definition != m.definition {
		return false
	}
	m.record, m.version, m.recordAt = r, version, now
	for _, id := range r.AcknowledgedVetoes {
		delete(m.vetoes, id)
	}
	if r.Phase == string(rollout.Reverted) {
		clear(m.vetoes)
	}
	m.settle()
	return true
}

// lower puts a veto in force. The caller holds mu.
func (m *move) lower(v veto) bool {
	_, known := m.vetoes[v.ID]
	answered := slices.Contains(m.record.AcknowledgedVetoes, v.ID) || m.record.Phase == string(rollout.Reverted)
	if known || answered || len(m.vetoes) >= maxVetoes {
		return false
	}
	m.vetoes[v.ID] = v
	m.settle()
	return true
}

// objections returns the ids and the first reason of the unanswered vetoes. The caller holds mu.
func (m *move) objections() (ids []string, reason string) {
	ids = slices.Sorted(maps.Keys(m.vetoes))
	if len(ids) > 0 {
		v := m.vetoes[ids[0]]
		reason = v.Host + ": " + v.Reason
	}
	return ids, reason
}

// from and to name the versions or places of the move.
func (m *move) from() string { return m.rollout.From + m.shift.From }

func (m *move) to() string { return m.rollout.To + m.shift.To }

// within is the time to the deadline.
func (m *move) within() time.Duration { return time.Duration(m.rollout.Within + m.shift.Within) }

// table is what the hot path reads. It is immutable, but for the moves' own counters.
type table struct {
	// all is in the order of the keys, at most maxMoves.
	all      []*move
	rollouts map[string][]*move
	shifts   map[string][]*move
	// shifting holds the shifts again, for the evidence.
	shifting []*move
}

// configure replaces the table. A move whose document is the same, but for its cancellation, goes on.
func (s *Service) configure(c *config.Configuration) {
	before := map[string]*move{}
	for _, m := range s.table.Load().all {
		before[m.key] = m
	}
	next := &table{rollouts: map[string][]*move{}, shifts: map[string][]*move{}}
	for _, name := range c.Names(rollouts) {
		r := c.Rollouts[name]
		cancelled := r.Cancelled
		r.Cancelled = false
		m := s.keep(before, &move{variant: variants[rollouts], name: name, definition: definition(r), rollout: r}, cancelled)
		if next.add(m) {
			next.rollouts[r.Service] = append(next.rollouts[r.Service], m)
			m.count(c, func(route string) bool { return c.Routes[route].Service == r.Service })
		}
	}
	for _, name := range c.Names(shifts) {
		sh := c.Shifts[name]
		cancelled := sh.Cancelled
		sh.Cancelled = false
		m := s.keep(before, &move{variant: variants[shifts], name: name, definition: definition(sh), shift: sh}, cancelled)
		if next.add(m) {
			next.shifts[sh.From] = append(next.shifts[sh.From], m)
			next.shifting = append(next.shifting, m)
			m.count(c, func(route string) bool { return sh.Route == "" || sh.Route == route })
		}
	}
	for _, list := range next.rollouts {
		// The running rollout of a service goes before cancelled ones.
		slices.SortStableFunc(list, func(a, b *move) int { return order(a.cancelled.Load()) - order(b.cancelled.Load()) })
	}
	s.table.Store(next)
}

func order(cancelled bool) int {
	if cancelled {
		return 1
	}
	return 0
}

func (t *table) add(m *move) bool {
	if len(t.all) >= maxMoves {
		return false
	}
	t.all = append(t.all, m)
	return true
}

func (s *Service) keep(before map[string]*move, fresh *move, cancelled bool) *move {
	fresh.key = "moves/" + fresh.variant.kind + "/" + fresh.name
	if m, ok := before[fresh.key]; ok && m.definition == fresh.definition {
		fresh = m
	} else {
		fresh.vetoes = map[string]veto{}
	}
	fresh.cancelled.Store(cancelled)
	return fresh
}

// count gives the move counters for the routes that it concerns; existing ones stay.
func (m *move) count(c *config.Configuration, concerns func(route string) bool) {
	before := m.cells.Load()
	next := map[string]*cells{}
	for _, route := range c.Names("routes") {
		if !concerns(route) {
			continue
		}
		if before != nil && (*before)[route] != nil {
			next[route] = (*before)[route]
		} else {
			next[route] = newCells()
		}
	}
	m.cells.Store(&next)
}

func (t *table) find(key string) *move {
	i, ok := slices.BinarySearchFunc(t.all, key, func(m *move, key string) int {
		switch {
		case m.key < key:
			return -1
		case m.key > key:
			return 1
		}
		return 0
	})
	if !ok {
		return nil
	}
	return t.all[i]
}
