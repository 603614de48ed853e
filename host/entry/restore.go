package entry

import (
	"maps"
	"slices"
	"time"

	"vanillatally/core/era"
	"vanillatally/core/rollout"
	"vanillatally/io/events"
	"vanillatally/io/platform"
)

const (
	// restoreHold is the time for which restrictions in force are kept although the restored copy of the store lacks them.
	// Operators and backend servers write again within this time.
	restoreHold = 6 * time.Second
	// removalTTL is the time for which removed servers and rollouts are remembered. It covers the age of a copy of the store and an
	// outage before the restore.
	removalTTL = 30 * time.Second
	// maxRemovals bounds the removed servers that are remembered, and the removed rollouts.
	maxRemovals = 8192
)

// storeRestore keeps restrictions in force after the store was restored from an older copy. Host.mu guards it.
type storeRestore struct {
	holds [kindCount]hold
	// evacuations holds the failure domains that were evacuated at the restore and were not listed since.
	evacuations map[string]bool
	// leaving holds the processes that were leaving at the restore and gone those that had been removed or replaced before, by
	// server. An entry is deleted once the store shows that the server was written again.
	leaving, gone map[string]serverProcess
	// deferred holds the entries of listed servers that differ from what is in force because of leaving and gone.
	deferred map[string]platform.BackendServer
	// rollouts holds the services whose rollouts were in force at the restore and were not listed since. copied holds the
	// orders of the first list after the restore.
	rollouts map[string]bool
	copied   map[string]rollout.ShortRolloutSpec
	// listedEvacuations and listedRollouts are the last lists.
	listedEvacuations []string
	listedRollouts    []rollout.ShortRolloutSpec
	// removedServers holds the last process of a server that was removed or replaced. Both lists hold up to maxRemovals
	// entries.
	removedServers  removals[serverProcess]
	removedRollouts removals[*runningRollout]
}

// hold is the time for which the restrictions of one kind of objects are kept. The zero value keeps none.
type hold struct {
	active bool
	// awaitsList is set until the objects are listed for the first time after the restore; the hold ends restoreHold after that.
	awaitsList bool
	until      time.Duration
}

// listed returns the hold after a list of the objects, and whether it was the first one after a restore.
func (d hold) listed(now time.Duration) (next hold, first bool) {
	if d.awaitsList {
		return hold{active: true, until: now + restoreHold}, true
	}
	return d, false
}

// over reports whether the hold has to end.
func (d hold) over(now time.Duration) bool { return d.active && !d.awaitsList && now >= d.until }

// serverProcess identifies a process of a backend server.
type serverProcess struct {
	address string
	started int64
}

func processOf(s platform.BackendServer) serverProcess { return serverProcess{s.Address, s.Started} }

// removals remembers what was removed from the store, by name. The zero value is empty.
type removals[T any] struct {
	entries map[string]removal[T]
	// prunedAt is the time when old entries were forgotten.
	prunedAt time.Duration
}

type removal[T any] struct {
	what T
	at   time.Duration
}

// add remembers what was removed now. Every removalTTL, entries older than that are forgotten. With maxRemovals entries nothing is
// added.
func (r *removals[T]) add(now time.Duration, name string, what T) {
	if r.entries == nil {
		r.entries = map[string]removal[T]{}
	}
	if now-r.prunedAt > removalTTL {
		r.forget(now)
	}
	if len(r.entries) < maxRemovals {
		r.entries[name] = removal[T]{what, now}
	}
}

// forget drops the entries older than removalTTL.
func (r *removals[T]) forget(now time.Duration) {
	maps.DeleteFunc(r.entries, func(_ string, old removal[T]) bool { return now-old.at > removalTTL })
	r.prunedAt = now
}

// replaceServer updates the removed servers when a process of a server is added; known is the one before or nil.
func (r *storeRestore) replaceServer(now time.Duration, known *server, added platform.BackendServer) {
	if known != nil {
		r.removedServers.add(now, added.ID, processOf(known.BackendServer))
	} else if r.removedServers.entries[added.ID].what == processOf(added) {
		delete(r.removedServers.entries, added.ID)
	}
}

// StoreRestored notifies the host that the store was restored from an older copy, before any object of the new era is passed to it.
// All later lists are of the new era.
func (h *Host) StoreRestored(current era.Era) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	r := &h.restore
	for kind := range r.holds {
		r.holds[kind] = hold{active: true, awaitsList: true}
	}
	r.evacuations = maps.Clone(h.evacuated)
	r.leaving, r.deferred = map[string]serverProcess{}, map[string]platform.BackendServer{}
	for id, s := range h.servers {
		if s.Leaving {
			r.leaving[id] = processOf(s.BackendServer)
		}
	}
	if r.gone == nil {
		r.gone = map[string]serverProcess{}
	}
	r.removedServers.forget(now)
	r.removedRollouts.forget(now)
	for id, removed := range r.removedServers.entries {
		r.gone[id] = removed.what
	}
	r.rollouts, r.copied = map[string]bool{}, nil
	for service, running := range h.rollouts {
		r.rollouts[service] = true
		running.awaitRecord()
	}
	h.keepUnlistedUntil = max(h.keepUnlistedUntil, now+lapsedServerGrace)
	h.log.Emit(events.StoreRestored, "era", current, "evacuations", slices.Sorted(maps.Keys(r.evacuations)),
		"leaving", len(r.leaving), "gone", len(r.gone), "rollouts", slices.Sorted(maps.Keys(r.rollouts)))
}

// restrictEvacuations returns the failure domains to evacuate after a list of the store. The caller holds h.mu.
func (h *Host) restrictEvacuations(now time.Duration, listed []string) []string {
	r := &h.restore
	r.listedEvacuations = listed
	r.holds[Evacuations], _ = r.holds[Evacuations].listed(now)
	for _, domain := range listed {
		delete(r.evacuations, domain)
	}
	return append(slices.Clone(listed), slices.Sorted(maps.Keys(r.evacuations))...)
}

// restrictServers returns the entries of servers that are in force after a list of the store. A server that was leaving or gone
// at the restore stays so unless the entry is of another process, and the entry of a replaced process does not replace the later
// one. The caller holds h.mu.
func (h *Host) restrictServers(now time.Duration, listed []platform.BackendServer) []platform.BackendServer {
	r := &h.restore
	next, first := r.holds[BackendServers].listed(now)
	r.holds[BackendServers] = next
	if first {
		h.keepUnlistedUntil = max(h.keepUnlistedUntil, now+lapsedServerGrace)
	}
	if !next.active {
		return listed
	}
	clear(r.deferred)
	inForce, present := make([]platform.BackendServer, 0, len(listed)), make(map[string]bool, len(listed))
	for _, entry := range listed {
		present[entry.ID] = true
		if process, ok := r.gone[entry.ID]; ok && process == processOf(entry) {
			r.deferred[entry.ID] = entry
			if known := h.servers[entry.ID]; known != nil {
				inForce = append(inForce, known.BackendServer)
			}
			continue
		}
		delete(r.gone, entry.ID)
		process, ok := r.leaving[entry.ID]
		switch {
		case !ok:
		case process != processOf(entry) || entry.Leaving:
			delete(r.leaving, entry.ID)
		default:
			r.deferred[entry.ID] = entry
			entry.Leaving = true
		}
		inForce = append(inForce, entry)
	}
	// A server that the copy lacks and that is listed later has been written again.
	maps.DeleteFunc(r.gone, func(id string, _ serverProcess) bool { return !present[id] })
	return inForce
}

// restrictRollouts returns the orders in force after a list of the store, with the rollouts that go on although the store has no
// order of them. An order differs from the copy's if it was written after the restore, and replaces the one in force. The caller
// holds h.mu.
func (h *Host) restrictRollouts(
	now time.Duration, listed []rollout.ShortRolloutSpec,
) (inForce []rollout.ShortRolloutSpec, kept map[string]*runningRollout) {
	r := &h.restore
	r.listedRollouts = listed
	next, first := r.holds[Rollouts].listed(now)
	r.holds[Rollouts] = next
	if !next.active {
		return listed, nil
	}
	if first {
		r.copied = make(map[string]rollout.ShortRolloutSpec, len(listed))
		for _, spec := range listed {
			r.copied[spec.Service] = spec
		}
	}
	for _, spec := range listed {
		if !r.rollouts[spec.Service] {
			inForce = append(inForce, spec)
			continue
		}
		if copied, ok := r.copied[spec.Service]; h.rollouts[spec.Service].follows(spec) || !ok || !sameOrder(copied, spec) {
			delete(r.rollouts, spec.Service)
			inForce = append(inForce, spec)
		}
	}
	kept = make(map[string]*runningRollout, len(r.rollouts))
	for service := range r.rollouts {
		kept[service] = h.rollouts[service]
	}
	return inForce, kept
}

// sameOrder reports whether two specifications are of the same write of an operator.
func sameOrder(a, b rollout.ShortRolloutSpec) bool {
	return a.TargetVersion == b.TargetVersion && a.Within == b.Within && a.Revision == b.Revision
}

// removedRollout returns the rollout that a listed order belongs to although it had been removed before a restore, or nil. The
// caller holds h.mu.
func (h *Host) removedRollout(spec rollout.ShortRolloutSpec) *runningRollout {
	removed := h.restore.removedRollouts.entries[spec.Service].what
	if !h.restore.holds[Rollouts].active || removed == nil || !removed.follows(spec) {
		return nil
	}
	removed.awaitRecord()
	return removed
}

// endRestoreHolds ends the holds whose time is over: what the store lists is in force again.
func (h *Host) endRestoreHolds() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	r := &h.restore
	if r.holds[Evacuations].over(now) {
		r.holds[Evacuations] = hold{}
		h.logEndOfHold(Evacuations, slices.Sorted(maps.Keys(r.evacuations)))
		r.evacuations = nil
		h.setEvacuations(r.listedEvacuations)
	}
	if r.holds[BackendServers].over(now) {
		r.holds[BackendServers] = hold{}
		ids := slices.Sorted(maps.Keys(r.deferred))
		h.logEndOfHold(BackendServers, ids)
		for _, id := range ids {
			h.upsertServer(now, r.deferred[id])
		}
		r.leaving, r.gone, r.deferred = nil, nil, nil
		h.publishView()
	}
	if r.holds[Rollouts].over(now) {
		r.holds[Rollouts] = hold{}
		h.logEndOfHold(Rollouts, slices.Sorted(maps.Keys(r.rollouts)))
		r.rollouts, r.copied = nil, nil
		h.setRollouts(r.listedRollouts)
	}
	r.holds[Configuration] = hold{}
}

// logEndOfHold logs that the restrictions end that nobody has written again.
func (h *Host) logEndOfHold(kind ObjectKind, names []string) {
	h.log.Emit(events.RestoreHoldEnded, "kind", kind.String(), "ended", names)
}
