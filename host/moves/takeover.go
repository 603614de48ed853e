package moves

import (
	"context"
	"time"

	"vanillatally/io/store"
)

// leaseState is what a candidate has read of the lease.
type leaseState struct {
	version store.Version
	// sameDefinition is set when the record belongs to the move's present document.
	sameDefinition bool
	// unchangedFor is the time for which the record did not change.
	unchangedFor time.Duration
}

// takeOver writes this host into the lease with the next fencing version. The conditional put leaves one winner, and
// the earlier driver's next put fails.
func (s *Service) takeOver(ctx context.Context, m *move, r Record, e leaseState) {
	now := s.now()
	var next stateMachine
	if e.sameDefinition {
		// The recorded time stood still while nobody wrote.
		next = m.kind.resumeMachine(now, m, r, r.Elapsed+e.unchangedFor)
	} else {
		next = m.kind.newMachine(now, m)
		if m.cancelled.Load() {
			// A move that is cancelled before its first step must not take it.
			next, _ = next.next(now, measurement{cancelled: true, places: s.opts.Places})
		}
		r = Record{Definition: m.definition, FencingToken: r.FencingToken}
	}
	r.Driver, r.Incarnation = s.opts.Host, s.opts.Incarnation
	r.FencingToken++
	r.Writes++
	r.Changes++
	next.writeTo(now, &r)
	r = r.withStep()
	version, err := s.writeRecord(ctx, m.key, r, e.version)
	if err != nil {
		s.opts.Log.Debug("lease was not taken over", "move", m.key, "error", err)
		return
	}
	m.mu.Lock()
	m.applyRecord(now, r, version)
	m.lease = lease{driving: !next.terminal(), machine: next, writtenAt: now}
	m.mu.Unlock()
	s.opts.Log.Info("lease of the move taken", "move", m.key, "fence", r.FencingToken, "share", r.Share)
	s.broadcast(ctx, KindRecord, versionedRecord{Key: m.key, Version: version, Record: r})
}
