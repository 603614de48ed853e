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

// maxConcurrentMoves bounds the moves that this host drives at the same time; the others wait for the store's answers.
const maxConcurrentMoves = 8

// drive takes the decisions that are due about the moves that this host drives, and watches the leases of others.
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
	_ = group.Wait() // the functions return no errors; what failed is tried again at the next tick
}

// dropOldReports drops the reports of hosts that are gone.
func (s *Service) dropOldReports(hosts []membership.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for host := range s.lastReportAt {
		if !slices.ContainsFunc(hosts, func(m membership.Member) bool { return m.Host == host }) {
			delete(s.lastReportAt, host)
		}
	}
}

// hostsWithoutReports names the live hosts whose measurements stopped.
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

// candidateRank is this host's place among the candidates of a move, in rendezvous order so that moves spread over hosts.
func (s *Service) candidateRank(key string, hosts []membership.Member) (rank int) {
	own := xxhash.Sum64String(key + "/" + s.opts.Host)
	for _, m := range hosts {
		if m.Host != s.opts.Host && m.State == membership.Alive && xxhash.Sum64String(key+"/"+m.Host) > own {
			rank++
		}
	}
	return rank
}

// randomOtherHost returns another host to ask for records that are not known here.
func (s *Service) randomOtherHost(hosts []membership.Member) string {
	others := slices.DeleteFunc(slices.Clone(hosts), func(m membership.Member) bool { return m.Host == s.opts.Host })
	if len(others) == 0 {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return others[s.random.IntN(len(others))].Host
}

// watchLease is a candidate's turn: it reads the lease and takes it over when its holder has been silent.
func (s *Service) watchLease(ctx context.Context, m *move, hosts []membership.Member) {
	rank := s.candidateRank(m.key, hosts)
	m.mu.Lock()
	now := s.now()
	over := m.ended.Load() || isTerminal(m.record.Phase) && rank > 0
	idle := rank >= candidateCount || over || m.lease.lastReadAt > 0 && now-m.lease.lastReadAt < renewInterval/2
	if !idle {
		m.lease.lastReadAt = now
	}
	m.mu.Unlock()
	if idle {
		return
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, version, err := s.readRecord(call, m.key)
	if err != nil {
		s.opts.Log.Debug("lease was not read", "move", m.key, "error", err)
		return
	}
	m.mu.Lock()
	now = s.now()
	m.applyRecord(now, r, version)
	if version != m.lease.versionSeen || m.lease.versionSeenAt == 0 {
		m.lease.versionSeen, m.lease.versionSeenAt = version, now
	}
	silent := now - m.lease.versionSeenAt
	delay := time.Duration(rank) * delayPerRank
	same := version > 0 && r.Definition == m.definition
	var due bool
	switch {
	case same && isTerminal(r.Phase):
		// A veto that a last step crossed is answered by whoever is first.
		due = len(m.vetoes) > 0 && rank == 0
	case same && r.isDrivenBy(s.opts.Host, s.opts.Incarnation), same && r.Driver == s.opts.Host:
		// A lost answer, or an earlier process of this host, which has ended.
		due = true
	case same:
		due = silent >= takeoverTimeout+delay
	default:
		due = silent >= delay
	}
	m.mu.Unlock()
	if due {
		s.takeOver(ctx, m, r, leaseState{version: version, sameDefinition: same, unchangedFor: silent})
	}
}

// driveMove is the driver's turn.
func (s *Service) driveMove(ctx context.Context, m *move, hosts []membership.Member) {
	missing := s.hostsWithoutReports(hosts)
	behind := s.behindOtherShift(m)
	m.mu.Lock()
	now := s.now()
	ids, reason := m.unacknowledgedVetoes()
	if m.lease.unrecordedReduction {
		m.mu.Unlock()
		s.recordState(ctx, m, m.lease.machine, ids)
		return
	}
	next, d := m.lease.machine.next(now, measurement{
		batch: m.lease.unjudged, complete: len(missing) == 0, vetoReason: reason, cancelled: m.cancelled.Load(), behindOtherShift: behind,
		places: s.opts.Places,
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
		// A step is in force only once it is recorded. When that fails, the machine stays as it was.
		s.recordState(ctx, m, next, ids)
	case lower:
		m.lease.machine, m.lease.unrecordedReduction = next, true
		var rec Record
		next.writeTo(now, &rec)
		v := s.newVeto(m, next.share(), rec.Reason)
		m.applyVeto(v)
		m.mu.Unlock()
		s.opts.Log.Warn("move lowered by its driver", "move", m.key, "share", v.Share, "reason", v.Reason)
		s.broadcast(ctx, KindVeto, v)
		s.recordState(ctx, m, next, append(ids, v.ID))
	}
}

// behindOtherShift tells whether another shift to the same receiver goes first.
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

// recordState records the machine's state with the answers to vetoes, and then puts it in force.
func (s *Service) recordState(ctx context.Context, m *move, next stateMachine, answers []string) {
	m.mu.Lock()
	now, expect, r := s.now(), m.version, m.record
	if !r.isDrivenBy(s.opts.Host, s.opts.Incarnation) {
		// The newest record is another driver's: a write on its version would pass the store's condition.
		m.lease.driving = false
		m.mu.Unlock()
		return
	}
	before := r
	next.writeTo(now, &r)
	r.Writes++
	if r.Share != before.Share || r.Phase != before.Phase || len(answers) > 0 {
		r.Changes++
		r = r.withStep().withAcknowledged(answers)
	}
	m.mu.Unlock()
	version, err := s.writeRecord(ctx, m.key, r, expect)
	m.mu.Lock()
	if err != nil {
		if errors.Is(err, errLeaseLost) {
			s.opts.Log.Warn("lease of the move lost", "move", m.key)
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
		s.opts.Log.Info("move step", "move", m.key, "phase", r.Phase, "share", r.Share, "reason", r.Reason)
		s.broadcast(ctx, KindRecord, versionedRecord{Key: m.key, Version: version, Record: r})
	}
}
