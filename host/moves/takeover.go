package moves

import (
	"context"
	"time"

	"vanillatally/io/store"
)

// leaseState is what a candidate found when it read the move's record.
type leaseState struct {
	version store.Version
	// sameDefinition is set when the record belongs to the current document of the move.
	sameDefinition bool
	// unchangedFor is how long the record hasn't changed.
	unchangedFor time.Duration
}

// takeOver makes this host the driver of a move: it writes itself into the record with the next fencing token. The write is
// conditional, so that only one candidate succeeds, and the next write of the earlier driver fails.
func (s *Service) takeOver(ctx context.Context, m *move, r Record, observed leaseState) {
	now := s.now()
	var next stateMachine
	if observed.sameDefinition {
		// r.Elapsed ends at the last write. The time since this host first read that record is added.
		next = m.kind.resumeMachine(now, m, r, r.Elapsed+observed.unchangedFor)
	} else {
		next = m.kind.newMachine(now, m)
		if m.cancelled.Load() {
			// A move that was cancelled before its first step must not take that step.
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
	version, err := s.writeRecord(ctx, m.key, r, observed.version)
	if err != nil {
		s.opts.Log.Debug("could not take over the lease of a move", "move", m.key, "error", err)
		return
	}
	m.mu.Lock()
	m.applyRecord(now, r, version)
	m.lease = lease{driving: !next.terminal(), machine: next, writtenAt: now}
	m.mu.Unlock()
	s.opts.Log.Info("took over the lease of a move", "move", m.key, "fence", r.FencingToken, "share", r.Share)
	s.broadcast(ctx, KindRecord, versionedRecord{Key: m.key, Version: version, Record: r})
}
