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

// maxVetoes bounds the unacknowledged vetoes of a move. Further ones are dropped, since one is enough.
const maxVetoes = 32

// move is the state of one rollout or shift on this host. Either the field rollout or the field shift is set.
type move struct {
	kind moveKind
	// key is the key of the record in the store, and definition the hash of the move's document.
	name, key  string
	definition uint64
	rollout    config.Rollout
	shift      config.Shift
	cancelled  atomic.Bool
	// counters maps routes to their counters; the map is replaced when the configuration changes.
	counters atomic.Pointer[map[string]*routeCounters]
	// effectiveShare holds the float64 bits of the share that this host applies. ended is set when it won't change any more.
	effectiveShare atomic.Uint64
	ended          atomic.Bool

	mu sync.Mutex
	// record is the newest known record, with its version in the store; version 0 means that none is known.
	record           Record
	version          store.Version
	recordReceivedAt time.Duration
	// vetoes holds, by id, the vetoes that record doesn't acknowledge. There are at most maxVetoes.
	vetoes map[string]veto
	// localJudge tests this host's own requests. localStarted is set once it was created.
	localJudge   rollout.LocalJudge
	localStarted bool
	lease        lease
}

// lease is what a host knows about the lease of a move. The lease is part of the record; its holder is the move's driver.
type lease struct {
	// driving is set while this host considers itself the driver. Whether it still is shows at its next conditional write.
	driving bool
	machine stateMachine
	// unjudged holds the counts that arrived since the last decision; nil when none did.
	unjudged rollout.Batch
	// writtenAt is the time at which this host, as the driver, last wrote the record.
	writtenAt time.Duration
	// unrecordedReduction is set while a reduction that has taken effect isn't recorded yet.
	unrecordedReduction bool
	// lastReadAt is the time at which this host, as a candidate, last read the record. versionSeenAt is the time at which it
	// first read versionSeen.
	lastReadAt, versionSeenAt time.Duration
	versionSeen               store.Version
}

// veto limits a move's share. A host whose own test fails broadcasts it without waiting for the driver; the driver
// broadcasts one when it reduces the share.
type veto struct {
	ID     string  `cbor:"i"`
	Key    string  `cbor:"k"`
	Host   string  `cbor:"h"`
	Share  float64 `cbor:"s"`
	Reason string  `cbor:"r"`
	// Definition is the hash of the move's document.
	Definition uint64 `cbor:"d"`
}

// share returns the share that this host applies.
func (m *move) share() float64 { return math.Float64frombits(m.effectiveShare.Load()) }

// updateEffectiveShare sets the effective share to the lowest share of the record and the vetoes. The caller holds mu.
func (m *move) updateEffectiveShare() {
	share := m.record.Share
	for _, v := range m.vetoes {
		share = min(share, v.Share)
	}
	m.effectiveShare.Store(math.Float64bits(share))
	m.ended.Store(isTerminal(m.record.Phase) && len(m.vetoes) == 0)
}

// applyRecord replaces the known record by a newer one of the same definition. The caller holds mu.
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

// applyVeto applies a veto; it returns false if the veto is known, acknowledged or one too many. The caller holds mu.
func (m *move) applyVeto(v veto) bool {
	_, known := m.vetoes[v.ID]
	acknowledged := slices.Contains(m.record.AcknowledgedVetoes, v.ID) || m.record.Phase == string(rollout.Reverted)
	if known || acknowledged || len(m.vetoes) >= maxVetoes {
		return false
	}
	m.vetoes[v.ID] = v
	m.updateEffectiveShare()
	return true
}

// unacknowledgedVetoes returns the ids of the vetoes and the reason of the first one. The caller holds mu.
func (m *move) unacknowledgedVetoes() (ids []string, reason string) {
	ids = slices.Sorted(maps.Keys(m.vetoes))
	if len(ids) > 0 {
		v := m.vetoes[ids[0]]
		reason = v.Host + ": " + v.Reason
	}
	return ids, reason
}

// source and destination are the versions of a rollout, or the regions or backend servers of a shift. Adding the fields of both
// returns the one that is set, since the other kind's document is empty.
func (m *move) source() string { return m.rollout.From + m.shift.From }

func (m *move) destination() string { return m.rollout.To + m.shift.To }

// within is the time from the start of the move to its deadline.
func (m *move) within() time.Duration { return time.Duration(m.rollout.Within + m.shift.Within) }

// moveTable holds the moves of a configuration for look-ups by each request. It is immutable, but the moves in it are not.
type moveTable struct {
	// all is sorted by key and has at most maxMoves entries.
	all               []*move
	rolloutsByService map[string][]*move
	shiftsBySource    map[string][]*move
	// allShifts holds the shifts of shiftsBySource; Observe goes through them.
	allShifts []*move
}

// applyConfiguration replaces the table. A move keeps its state if nothing in its document has changed except Cancelled.
func (s *Service) applyConfiguration(c *config.Configuration) {
	previous := map[string]*move{}
	for _, m := range s.table.Load().all {
		previous[m.key] = m
	}
	next := &moveTable{rolloutsByService: map[string][]*move{}, shiftsBySource: map[string][]*move{}}
	for _, name := range c.Names(kindRollouts) {
		r := c.Rollouts[name]
		cancelled := r.Cancelled
		r.Cancelled = false
		m := s.reuseMove(previous, &move{
			kind: moveKinds[kindRollouts], name: name, definition: definitionHash(r), rollout: r,
		}, cancelled)
		if next.add(m) {
			next.rolloutsByService[r.Service] = append(next.rolloutsByService[r.Service], m)
			m.setCounters(c, func(route string) bool { return c.Routes[route].Service == r.Service })
		}
	}
	for _, name := range c.Names(kindShifts) {
		sh := c.Shifts[name]
		cancelled := sh.Cancelled
		sh.Cancelled = false
		m := s.reuseMove(previous, &move{
			kind: moveKinds[kindShifts], name: name, definition: definitionHash(sh), shift: sh,
		}, cancelled)
		if next.add(m) {
			next.shiftsBySource[sh.From] = append(next.shiftsBySource[sh.From], m)
			next.allShifts = append(next.allShifts, m)
			m.setCounters(c, func(route string) bool { return sh.Route == "" || sh.Route == route })
		}
	}
	for _, list := range next.rolloutsByService {
		// Requests use the first rollout of a service, so that a running one comes before those that are cancelled.
		slices.SortStableFunc(list, func(a, b *move) int {
			return cancelledLast(a.cancelled.Load()) - cancelledLast(b.cancelled.Load())
		})
	}
	s.table.Store(next)
}

// cancelledLast is a sort key that puts cancelled moves last.
func cancelledLast(cancelled bool) int {
	if cancelled {
		return 1
	}
	return 0
}

// add appends a move unless there are maxMoves already, and reports whether it did.
func (t *moveTable) add(m *move) bool {
	if len(t.all) >= maxMoves {
		return false
	}
	t.all = append(t.all, m)
	return true
}

// reuseMove returns the move with the same definition from the previous table, or else fresh.
func (s *Service) reuseMove(previous map[string]*move, fresh *move, cancelled bool) *move {
	fresh.key = "moves/" + fresh.kind.name + "/" + fresh.name
	if m, ok := previous[fresh.key]; ok && m.definition == fresh.definition {
		fresh = m
	} else {
		fresh.vetoes = map[string]veto{}
	}
	fresh.cancelled.Store(cancelled)
	return fresh
}

// setCounters creates counters for the routes that the move affects and keeps existing ones.
func (m *move) setCounters(c *config.Configuration, affects func(route string) bool) {
	previous := m.counters.Load()
	next := map[string]*routeCounters{}
	for _, route := range c.Names("routes") {
		if !affects(route) {
			continue
		}
		if previous != nil && (*previous)[route] != nil {
			next[route] = (*previous)[route]
		} else {
			next[route] = newRouteCounters()
		}
	}
	m.counters.Store(&next)
}

// find returns the move with the key, or nil.
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
