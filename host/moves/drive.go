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

// driveLimit bounds the moves that this host drives at the same time; the others wait for the store's answers.
const driveLimit = 8

// drive takes the decisions that are due about the moves that this host drives, and watches the leases of others.
func (s *Service) drive(ctx context.Context) {
	hosts := s.alive()
	s.forget(hosts)
	var group errgroup.Group
	group.SetLimit(driveLimit)
	for _, m := range s.table.Load().all {
		group.Go(func() error {
			m.mu.Lock()
			driving := m.lease.driving
			m.mu.Unlock()
			if driving {
				s.decide(ctx, m, hosts)
			} else {
				s.watch(ctx, m, hosts)
			}
			return nil
		})
	}
	_ = group.Wait() // the functions return no errors; what failed is tried again at the next tick
}

// forget drops the reports of hosts that are gone.
func (s *Service) forget(hosts []membership.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for host := range s.reports {
		if !slices.ContainsFunc(hosts, func(m membership.Member) bool { return m.Host == host }) {
			delete(s.reports, host)
		}
	}
}

// missing names the live hosts whose measurements stopped.
func (s *Service) missing(hosts []membership.Member) (names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range hosts {
		if at, ok := s.reports[m.Host]; m.Host != s.opts.Host && (!ok || s.now()-at > reportedWithin) {
			names = append(names, m.Host)
		}
	}
	return names
}

// rank is this host's place among the candidates of a move, in rendezvous order so that moves spread over hosts.
func (s *Service) rank(key string, hosts []membership.Member) (rank int) {
	own := xxhash.Sum64String(key + "/" + s.opts.Host)
	for _, m := range hosts {
		if m.Host != s.opts.Host && m.State == membership.Alive && xxhash.Sum64String(key+"/"+m.Host) > own {
			rank++
		}
	}
	return rank
}

// anyone returns another host to ask for records that are not known here.
func (s *Service) anyone(hosts []membership.Member) string {
	others := slices.DeleteFunc(slices.Clone(hosts), func(m membership.Member) bool { return m.Host == s.opts.Host })
	if len(others) == 0 {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return others[s.random.IntN(len(others))].Host
}

// watch is a candidate's turn: it reads the lease and takes it over when its holder has been silent.
func (s *Service) watch(ctx context.Context, m *move, hosts []membership.Member) {
	rank := s.rank(m.key, hosts)
	m.mu.Lock()
	now := s.now()
	over := m.ended.Load() || overPhase(m.record.Phase) && rank > 0
	idle := rank >= candidates || over || m.lease.polledAt > 0 && now-m.lease.polledAt < renewEvery/2
	if !idle {
		m.lease.polledAt = now
	}
	m.mu.Unlock()
	if idle {
		return
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, version, err := s.read(call, m.key)
	if err != nil {
		s.opts.Log.Debug("lease was not read", "move", m.key, "error", err)
		return
	}
	m.mu.Lock()
	now = s.now()
	m.take(now, r, version)
	if version != m.lease.seen || m.lease.seenAt == 0 {
		m.lease.seen, m.lease.seenAt = version, now
	}
	silent := now - m.lease.seenAt
	delay := time.Duration(rank) * rankDelay
	same := version > 0 && r.Definition == m.definition
	var due bool
	switch {
	case same && overPhase(r.Phase):
		// A veto that a last step crossed is answered by whoever is first.
		due = len(m.vetoes) > 0 && rank == 0
	case same && r.mine(s.opts.Host, s.opts.Incarnation), same && r.Driver == s.opts.Host:
		// A lost answer, or an earlier process of this host, which has ended.
		due = true
	case same:
		due = silent >= takeoverAfter+delay
	default:
		due = silent >= delay
	}
	m.mu.Unlock()
	if due {
		s.takeOver(ctx, m, r, expected{version: version, same: same, silent: silent})
	}
}

// decide is the driver's turn.
func (s *Service) decide(ctx context.Context, m *move, hosts []membership.Member) {
	missing := s.missing(hosts)
	behind := s.behind(m)
	m.mu.Lock()
	now := s.now()
	ids, reason := m.objections()
	if m.lease.dirty {
		m.mu.Unlock()
		s.put(ctx, m, m.lease.machine, ids)
		return
	}
	next, d := m.lease.machine.next(now, measurement{
		batch: m.lease.pending, complete: len(missing) == 0, vetoed: reason, cancelled: m.cancelled.Load(), behind: behind,
		places: s.opts.Places,
	})
	m.lease.pending = nil
	renew := now-m.lease.putAt >= renewEvery
	switch d {
	case hold:
		m.lease.machine = next
		m.mu.Unlock()
		if renew {
			s.put(ctx, m, next, nil)
		}
	case raise:
		m.mu.Unlock()
		// A step is in force only once it is recorded. When that fails, the machine stays as it was.
		s.put(ctx, m, next, ids)
	case lower:
		m.lease.machine, m.lease.dirty = next, true
		var rec Record
		next.fill(now, &rec)
		v := s.newVeto(m, next.share(), rec.Reason)
		m.lower(v)
		m.mu.Unlock()
		s.opts.Log.Warn("move lowered by its driver", "move", m.key, "share", v.Share, "reason", v.Reason)
		s.flood(ctx, KindVeto, v)
		s.put(ctx, m, next, append(ids, v.ID))
	}
}

// behind tells whether another shift to the same receiver goes first.
func (s *Service) behind(m *move) bool {
	for _, other := range s.table.Load().shifting {
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

// put records the machine's state with the answers to vetoes, and then puts it in force.
func (s *Service) put(ctx context.Context, m *move, next machine, answers []string) {
	m.mu.Lock()
	now, expect, r := s.now(), m.version, m.record
	if !r.mine(s.opts.Host, s.opts.Incarnation) {
		// The newest record is another driver's: a write on its version would pass the store's condition.
		m.lease.driving = false
		m.mu.Unlock()
		return
	}
	before := r
	next.fill(now, &r)
	r.Writes++
	if r.Share != before.Share || r.Phase != before.Phase || len(answers) > 0 {
		r.Changes++
		r = r.withStep().withAnswers(answers)
	}
	m.mu.Unlock()
	version, err := s.write(ctx, m.key, r, expect)
	m.mu.Lock()
	if err != nil {
		if errors.Is(err, errLost) {
			s.opts.Log.Warn("lease of the move lost", "move", m.key)
			m.lease.driving, m.lease.polledAt = false, 0
		}
		m.mu.Unlock()
		return
	}
	m.take(now, r, version)
	m.lease.machine, m.lease.putAt, m.lease.dirty = next, now, false
	m.lease.driving = !next.over()
	m.mu.Unlock()
	if r.Changes != before.Changes {
		s.opts.Log.Info("move step", "move", m.key, "phase", r.Phase, "share", r.Share, "reason", r.Reason)
		s.flood(ctx, KindRecord, known{Key: m.key, Version: version, Record: r})
	}
}
