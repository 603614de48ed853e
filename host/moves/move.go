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
	kind       moveKind
	name, key  string
	definition uint64
	rollout    config.Rollout
	shift      config.Shift
	cancelled  atomic.Bool
	// counters holds the counters by route; the map is replaced when the configuration changes.
	counters atomic.Pointer[map[string]*routeCounters]
	// effectiveShare holds the bits of the share in force here; ended is set when it is final.
	effectiveShare atomic.Uint64
	ended          atomic.Bool

	mu sync.Mutex
	// record is the newest one known, at version; version 0 means that none is known.
	record           Record
	version          store.Version
	recordReceivedAt time.Duration
	// vetoes holds the unanswered vetoes by id, at most maxVetoes.
	vetoes     map[string]veto
	localJudge rollout.LocalJudge
	// localStarted is set when local is in use.
	localStarted bool
	lease        lease
}

// lease is what a driver or candidate knows of the move's lease.
type lease struct {
	// driving is set while this host is the driver; only its conditional puts prove it.
	driving bool
	machine stateMachine
	// unjudged is the evidence since the last decision; nil when none arrived.
	unjudged  rollout.Batch
	writtenAt time.Duration
	// unrecordedReduction is set while a lowering that is in force is not recorded.
	unrecordedReduction bool
	// lastReadAt is the time of a candidate's last read, versionSeenAt the time at which it first read seen.
	lastReadAt, versionSeenAt time.Duration
	versionSeen               store.Version
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
func (m *move) share() float64 { return math.Float64frombits(m.effectiveShare.Load()) }

// updateEffectiveShare recomputes the share in force: the lowest of the record and the unanswered vetoes. The caller holds mu.
func (m *move) updateEffectiveShare() {
	share := m.record.Share
	for _, v := range m.vetoes {
		share = min(share, v.Share)
	}
	m.effectiveShare.Store(math.Float64bits(share))
	m.ended.Store(isTerminal(m.record.Phase) && len(m.vetoes) == 0)
}

// applyRecord puts a record in force if it is newer than the one known. The caller holds mu.
func (m *move) applyRecord(now time.Duration, r Record, version store.Version) bool {
	if version <= m.version || r.Definition != m.definition {
		return false
	}
	m.record, m.version, m.recordReceivedAt = r, version, now
	for _, id := range r.AcknowledgedVetoes {
		delete(m.vetoes, id)
	}
	if r.Phase == string(rollout.Reverted) {
		clear(m.vetoes)
	}
	m.updateEffectiveShare()
	return true
}

// applyVeto puts a veto in force. The caller holds mu.
func (m *move) applyVeto(v veto) bool {
	_, known := m.vetoes[v.ID]
	answered := slices.Contains(m.record.AcknowledgedVetoes, v.ID) || m.record.Phase == string(rollout.Reverted)
	if known || answered || len(m.vetoes) >= maxVetoes {
		return false
	}
	m.vetoes[v.ID] = v
	m.updateEffectiveShare()
	return true
}

// unacknowledgedVetoes returns the ids and the first reason of the unanswered vetoes. The caller holds mu.
func (m *move) unacknowledgedVetoes() (ids []string, reason string) {
	ids = slices.Sorted(maps.Keys(m.vetoes))
	if len(ids) > 0 {
		v := m.vetoes[ids[0]]
		reason = v.Host + ": " + v.Reason
	}
	return ids, reason
}

// source and to name the versions or places of the move.
func (m *move) source() string { return m.rollout.From + m.shift.From }

func (m *move) destination() string { return m.rollout.To + m.shift.To }

// within is the time to the deadline.
func (m *move) within() time.Duration { return time.Duration(m.rollout.Within + m.shift.Within) }

// moveTable is what the hot path reads. It is immutable, but for the moves' own counters.
type moveTable struct {
	// all is in the order of the keys, at most maxMoves.
	all               []*move
	rolloutsByService map[string][]*move
	shiftsBySource    map[string][]*move
	// allShifts holds the shifts again, for the evidence.
	allShifts []*move
}

// applyConfiguration replaces the table. A move whose document is the same, but for its cancellation, goes on.
func (s *Service) applyConfiguration(c *config.Configuration) {
	before := map[string]*move{}
	for _, m := range s.table.Load().all {
		before[m.key] = m
	}
	next := &moveTable{rolloutsByService: map[string][]*move{}, shiftsBySource: map[string][]*move{}}
	for _, name := range c.Names(kindRollouts) {
		r := c.Rollouts[name]
		cancelled := r.Cancelled
		r.Cancelled = false
		m := s.reuseMove(before, &move{kind: moveKinds[kindRollouts], name: name, definition: definitionHash(r), rollout: r}, cancelled)
		if next.add(m) {
			next.rolloutsByService[r.Service] = append(next.rolloutsByService[r.Service], m)
			m.setCounters(c, func(route string) bool { return c.Routes[route].Service == r.Service })
		}
	}
	for _, name := range c.Names(kindShifts) {
		sh := c.Shifts[name]
		cancelled := sh.Cancelled
		sh.Cancelled = false
		m := s.reuseMove(before, &move{kind: moveKinds[kindShifts], name: name, definition: definitionHash(sh), shift: sh}, cancelled)
		if next.add(m) {
			next.shiftsBySource[sh.From] = append(next.shiftsBySource[sh.From], m)
			next.allShifts = append(next.allShifts, m)
			m.setCounters(c, func(route string) bool { return sh.Route == "" || sh.Route == route })
		}
	}
	for _, list := range next.rolloutsByService {
		// The running rollout of a service goes before cancelled ones.
		slices.SortStableFunc(list, func(a, b *move) int { return cancelledLast(a.cancelled.Load()) - cancelledLast(b.cancelled.Load()) })
	}
	s.table.Store(next)
}

func cancelledLast(cancelled bool) int {
	if cancelled {
		return 1
	}
	return 0
}

func (t *moveTable) add(m *move) bool {
	if len(t.all) >= maxMoves {
		return false
	}
	t.all = append(t.all, m)
	return true
}

func (s *Service) reuseMove(before map[string]*move, fresh *move, cancelled bool) *move {
	fresh.key = "moves/" + fresh.kind.name + "/" + fresh.name
	if m, ok := before[fresh.key]; ok && m.definition == fresh.definition {
		fresh = m
	} else {
		fresh.vetoes = map[string]veto{}
	}
	fresh.cancelled.Store(cancelled)
	return fresh
}

// setCounters gives the move counters for the routes that it concerns; existing ones stay.
func (m *move) setCounters(c *config.Configuration, concerns func(route string) bool) {
	before := m.counters.Load()
	next := map[string]*routeCounters{}
	for _, route := range c.Names("routes") {
		if !concerns(route) {
			continue
		}
		if before != nil && (*before)[route] != nil {
			next[route] = (*before)[route]
		} else {
			next[route] = newRouteCounters()
		}
	}
	m.counters.Store(&next)
}

func (t *moveTable) find(key string) *move {
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
