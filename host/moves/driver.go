package moves

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"vanillatally/core/membership"
)

// maxConcurrentMoves bounds the moves that drive handles at the same time, each of which may be waiting for the store.
const maxConcurrentMoves = 8

// drive decides the next step of each move that this host drives, and checks the leases of the other moves.
func (s *Service) drive(ctx context.Context) {
	hosts := s.liveHosts()
	s.dropOldReports(hosts)
	var group errgroup.Group
	group.SetLimit(maxConcurrentMoves)
	for _, m := range s.table.Load().all {
		group.Go(func() error {
			m.mu.Lock()
			driving := m.lease.driving
			m.mu.Unlock()
			if driving {
				s.driveMove(ctx, m, hosts)
			} else {
				s.watchLease(ctx, m, hosts)
			}
			return nil
		})
	}
	_ = group.Wait() // the functions return no errors; what failed is retried at the next tick
}

// dropOldReports forgets the reports of hosts that aren't among the live ones.
func (s *Service) dropOldReports(hosts []membership.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for host := range s.lastReportAt {
		if !slices.ContainsFunc(hosts, func(m membership.Member) bool { return m.Host == host }) {
			delete(s.lastReportAt, host)
		}
	}
}

// hostsWithoutReports returns the live hosts that haven't sent a report for reportTimeout.
func (s *Service) hostsWithoutReports(hosts []membership.Member) (names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range hosts {
		if at, ok := s.lastReportAt[m.Host]; m.Host != s.opts.Host && (!ok || s.now()-at > reportTimeout) {
			names = append(names, m.Host)
		}
	}
	return names
}

// candidateRank returns how many hosts in state Alive come before this one as candidates for the driver of a move. The order
// is that of rendezvous hashing, so that the moves spread over the hosts.
func (s *Service) candidateRank(key string, hosts []membership.Member) (rank int) {
	own := xxhash.Sum64String(key + "/" + s.opts.Host)
	for _, m := range hosts {
		if m.Host != s.opts.Host && m.State == membership.Alive && xxhash.Sum64String(key+"/"+m.Host) > own {
			rank++
		}
	}
	return rank
}

// randomOtherHost returns another host, or an empty string if there is none. Callers ask it for records that this host lacks.
func (s *Service) randomOtherHost(hosts []membership.Member) string {
	others := slices.DeleteFunc(slices.Clone(hosts), func(m membership.Member) bool { return m.Host == s.opts.Host })
	if len(others) == 0 {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return others[s.random.IntN(len(others))].Host
}

// watchLease reads the move's record, if this host is one of the first candidates, and takes over the lease if the driver
// hasn't renewed it for long enough.
func (s *Service) watchLease(ctx context.Context, m *move, hosts []membership.Member) {
	rank := s.candidateRank(m.key, hosts)
	m.mu.Lock()
	now := s.now()
	finished := m.ended.Load() || isTerminal(m.record.Phase) && rank > 0
	skip := rank >= candidateCount || finished || m.lease.lastReadAt > 0 && now-m.lease.lastReadAt < renewInterval/2
	if !skip {
		m.lease.lastReadAt = now
	}
	m.mu.Unlock()
	if skip {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, version, err := s.readRecord(callCtx, m.key)
	if err != nil {
		s.opts.Log.Debug("could not read the record of a move", "move", m.key, "error", err)
		return
	}
	m.mu.Lock()
	now = s.now()
	m.applyRecord(now, r, version)
	if version != m.lease.versionSeen || m.lease.versionSeenAt == 0 {
		m.lease.versionSeen, m.lease.versionSeenAt = version, now
	}
	unchangedFor := now - m.lease.versionSeenAt
	delay := time.Duration(rank) * delayPerRank
	sameDefinition := version > 0 && r.Definition == m.definition
	var due bool
	switch {
	case sameDefinition && isTerminal(r.Phase):
		// The move ended while a veto was on its way. No driver is left to acknowledge it, so that the first candidate does.
		due = len(m.vetoes) > 0 && rank == 0
	case sameDefinition && r.isDrivenBy(s.opts.Host, s.opts.Incarnation), sameDefinition && r.Driver == s.opts.Host:
		// This host holds the lease: the response to its write was lost, or an earlier process of it was the driver.
		due = true
	case sameDefinition:
		// Another host holds the lease.
		due = unchangedFor >= takeoverTimeout+delay
	default:
		// There is no record, or only that of an earlier document of the same name.
		due = unchangedFor >= delay
	}
	m.mu.Unlock()
	if due {
		s.takeOver(ctx, m, r, leaseState{version: version, sameDefinition: sameDefinition, unchangedFor: unchangedFor})
	}
}

// driveMove decides the next step of a move that this host drives.
func (s *Service) driveMove(ctx context.Context, m *move, hosts []membership.Member) {
	withoutReports := s.hostsWithoutReports(hosts)
	behindOtherShift := s.behindOtherShift(m)
	m.mu.Lock()
	now := s.now()
	ids, reason := m.unacknowledgedVetoes()
	if m.lease.unrecordedReduction {
		// The write of a reduction failed. It is repeated before anything else is decided.
		m.mu.Unlock()
		s.recordState(ctx, m, m.lease.machine, ids)
		return
	}
	next, d := m.lease.machine.next(now, measurement{
		batch: m.lease.unjudged, complete: len(withoutReports) == 0, vetoReason: reason, cancelled: m.cancelled.Load(),
		behindOtherShift: behindOtherShift, places: s.opts.Places,
	})
	m.lease.unjudged = nil
	renew := now-m.lease.writtenAt >= renewInterval
	switch d {
	case hold:
		m.lease.machine = next
		m.mu.Unlock()
		if renew {
			s.recordState(ctx, m, next, nil)
		}
	case raise:
		m.mu.Unlock()
		// A higher share takes effect once it is recorded. If the write fails, the state machine stays as it was.
		s.recordState(ctx, m, next, ids)
	case lower:
		m.lease.machine, m.lease.unrecordedReduction = next, true
		var rec Record
		next.writeTo(now, &rec)
		v := s.newVeto(m, next.share(), rec.Reason)
		m.applyVeto(v)
		m.mu.Unlock()
		s.opts.Log.Warn("move's share reduced by its driver", "move", m.key, "share", v.Share, "reason", v.Reason)
		s.broadcast(ctx, KindVeto, v)
		s.recordState(ctx, m, next, append(ids, v.ID))
	}
}

// behindOtherShift reports whether another shift to the same destination goes first. Of two such shifts
// the one with the lower key goes first, since both would count on the same headroom.
func (s *Service) behindOtherShift(m *move) bool {
	for _, other := range s.table.Load().allShifts {
		if other == m || other.key >= m.key || other.shift.To != m.shift.To || other.ended.Load() || other.cancelled.Load() {
			continue
		}
		other.mu.Lock()
		moving := other.record.Phase == "moving"
		other.mu.Unlock()
		if moving {
			return true
		}
	}
	return false
}

// recordState writes the state and the ids of the acknowledged vetoes to the store, and then applies them on this host.
func (s *Service) recordState(ctx context.Context, m *move, next stateMachine, acknowledged []string) {
	m.mu.Lock()
	now, expect, r := s.now(), m.version, m.record
	if !r.isDrivenBy(s.opts.Host, s.opts.Incarnation) {
		// Another host drives the move. A write would succeed, since the store only compares versions, and m.version is that of
		// the other driver's record.
		m.lease.driving = false
		m.mu.Unlock()
		return
	}
	before := r
	next.writeTo(now, &r)
	r.Writes++
	if r.Share != before.Share || r.Phase != before.Phase || len(acknowledged) > 0 {
		r.Changes++
		r = r.withStep().withAcknowledged(acknowledged)
	}
	m.mu.Unlock()
	version, err := s.writeRecord(ctx, m.key, r, expect)
	m.mu.Lock()
	if err != nil {
		if errors.Is(err, errLeaseLost) {
			s.opts.Log.Warn("lost the lease of a move to another host", "move", m.key)
			m.lease.driving, m.lease.lastReadAt = false, 0
		}
		m.mu.Unlock()
		return
	}
	m.applyRecord(now, r, version)
	m.lease.machine, m.lease.writtenAt, m.lease.unrecordedReduction = next, now, false
	m.lease.driving = !next.terminal()
	m.mu.Unlock()
	if r.Changes != before.Changes {
		s.opts.Log.Info("step of a move recorded", "move", m.key, "phase", r.Phase, "share", r.Share, "reason", r.Reason)
		s.broadcast(ctx, KindRecord, versionedRecord{Key: m.key, Version: version, Record: r})
	}
}
