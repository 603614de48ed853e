package entry

import (
	"maps"
	"slices"
	"time"

	"vanillatally/core/config"
	"vanillatally/io/events"
	"vanillatally/io/platform"
)

// lapsedServerGrace is the time for which servers that are no longer listed are kept after the store comes back, or after
// many disappeared at once. Entries expire during an outage of the store, and live servers write theirs again afterwards.
const lapsedServerGrace = 2200 * time.Millisecond

// lapsedShareThreshold is the share of all listed servers above which servers that disappear at once are assumed to have
// expired and not to have left.
const lapsedShareThreshold = 0.4

// view is a snapshot of the configuration and the backend servers, as requests use it. Only the servers' own state changes
// after it is published.
type view struct {
	configuration *config.Configuration
	// services holds the usable servers of each service.
	services map[string][]*server
	// evacuated holds the failure domains that get no requests.
	evacuated map[string]bool
	rollouts  map[string]*runningRollout
	// slots holds the number of slots of the usable servers of each service.
	slots map[string]int
	// ranked holds the services whose requests differ in rank.
	ranked map[string]bool
}

// publishView replaces the view by one of the current state. The caller holds h.mu.
func (h *Host) publishView() {
	next := &view{
		configuration: h.configuration, services: map[string][]*server{}, evacuated: h.evacuated, rollouts: maps.Clone(h.rollouts),
		slots: map[string]int{}, ranked: h.ranked,
	}
	for _, id := range slices.Sorted(maps.Keys(h.servers)) {
		s := h.servers[id]
		if s.Leaving || h.evacuated[s.FailureDomain] {
			continue
		}
		next.services[s.Service] = append(next.services[s.Service], s)
		next.slots[s.Service] += s.Slots
	}
	h.view.Store(next)
	if h.configuration != nil && h.serversListed {
		select {
		case <-h.viewReady:
		default:
			close(h.viewReady)
		}
	}
}

// SetConfiguration puts a configuration in force unless a newer one is in force.
func (h *Host) SetConfiguration(c *config.Configuration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.configuration != nil && c.Sequence <= h.configuration.Sequence {
		return
	}
	h.configuration = c
	h.serviceTimes.prune(c)
	h.trafficSplits.reset()
	h.ranked = rankedServices(c)
	h.waitingLines.prune(h.ranked)
	h.publishView()
	h.log.Emit(events.ConfigApplied, "sequence", c.Sequence, "routes", len(c.Routes), "teams", len(c.Teams))
}

// SetServers replaces the list of backend servers.
func (h *Host) SetServers(listed []platform.BackendServer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	listed = h.restrictServers(now, h.currentEntries(now, listed))
	present := make(map[string]bool, len(listed))
	for _, entry := range listed {
		present[entry.ID] = true
		h.upsertServer(now, entry)
	}
	h.removeUnlisted(now, present)
	h.serversListed = true
	h.publishView()
}

// upsertServer adds a listed server or updates its entry. A server with a new address or start time begins with fresh
// statistics. The caller holds h.mu.
func (h *Host) upsertServer(now time.Duration, entry platform.BackendServer) {
	delete(h.unlisted, entry.ID)
	known := h.servers[entry.ID]
	if known == nil || known.Address != entry.Address || known.Started != entry.Started {
		h.recordNewProcess(now, known, entry)
		h.restore.replaceServer(now, known, entry)
		delete(h.removedVersions.entries, entry.ID)
		h.servers[entry.ID] = newServer(entry, entry.Region == h.settings.Region, now)
		h.log.Emit(events.ServerAdded, "server", entry.ID, "service", entry.Service, "version", entry.Version,
			"failure-domain", entry.FailureDomain, "cold-for", entry.ColdFor, "leaving", entry.Leaving, "report", entry.Report)
		return
	}
	switch {
	case entry.Leaving && !known.Leaving:
		h.log.Emit(events.ServerLeaving, "server", entry.ID, "service", entry.Service, "report", entry.Report)
	case !entry.Leaving && known.Leaving:
		h.log.Emit(events.ServerReturned, "server", entry.ID, "service", entry.Service, "report", entry.Report,
			"earlier-report", known.Report)
	}
	known.updateListing(entry, now)
}

// removeUnlisted removes the servers that are not listed. Those whose entries probably expired in an outage of the store, or
// that disappeared all at once, are kept for a while. The caller holds h.mu.
func (h *Host) removeUnlisted(now time.Duration, listed map[string]bool) {
	var missing []string
	for id := range h.servers {
		if !listed[id] {
			missing = append(missing, id)
		}
	}
	if len(h.servers) > 2 && float64(len(missing)-len(h.unlisted)) > lapsedShareThreshold*float64(len(h.servers)) {
		h.keepUnlistedUntil = max(h.keepUnlistedUntil, now+lapsedServerGrace)
	}
	// Entries that disappear later in the grace period do not extend it, since servers may leave one after the other.
	keep := now < h.keepUnlistedUntil
	for _, id := range missing {
		if keep {
			h.unlisted[id] = true
			continue
		}
		h.removeServer(id)
	}
}

// removeServer deletes a server. The caller holds h.mu.
func (h *Host) removeServer(id string) {
	removed := h.servers[id]
	h.log.Emit(events.ServerRemoved, "server", id, "service", removed.Service)
	h.restore.removedServers.add(h.now(), id, processOf(removed.BackendServer))
	h.removedVersions.add(h.now(), id, versionOf(removed.BackendServer))
	delete(h.servers, id)
	delete(h.unlisted, id)
}

// expireUnlisted removes the servers that were not listed again by the end of the grace period.
func (h *Host) expireUnlisted() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.unlisted) == 0 || h.now() < h.keepUnlistedUntil {
		return
	}
	for id := range h.unlisted {
		h.removeServer(id)
	}
	h.publishView()
}

// SetEvacuations replaces the list of failure domains that get no requests.
func (h *Host) SetEvacuations(domains []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.setEvacuations(domains)
}

// setEvacuations applies a list of evacuations, together with those that outlive a restore of the store. The caller holds h.mu.
func (h *Host) setEvacuations(listed []string) {
	domains := h.restrictEvacuations(h.now(), listed)
	next := make(map[string]bool, len(domains))
	for _, domain := range domains {
		next[domain] = true
		if !h.evacuated[domain] {
			h.log.Emit(events.DomainEvacuated, "failure-domain", domain)
		}
	}
	for domain := range h.evacuated {
		if !next[domain] {
			h.log.Emit(events.DomainRestored, "failure-domain", domain)
			h.markDomainCold(domain)
		}
	}
	h.evacuated = next
	h.publishView()
}

// markDomainCold treats the servers of a failure domain whose evacuation ended as cold, since they may have been restarted.
// The caller holds h.mu.
func (h *Host) markDomainCold(domain string) {
	for _, s := range h.servers {
		if s.FailureDomain == domain && h.configuration != nil {
			s.markCold(h.now(), time.Duration(h.configuration.Services[s.Service].ColdFor))
		}
	}
}

// RecordStoreCall records the outcome of a call for the objects of a kind; err is nil if it was answered. direct is set for
// calls to the store itself, but not for calls to a host that watches it.
func (h *Host) RecordStoreCall(kind ObjectKind, err error, direct bool) {
	if err != nil && direct {
		h.storeSource.recordRefusal(h.now())
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if (h.storeErrors[kind] == nil) == (err == nil) {
		return
	}
	h.storeErrors[kind] = err
	if err != nil {
		h.log.Emit(events.StoreUnavailable, "kind", kind.String(), "error", err.Error())
		return
	}
	reachableByPeers := h.peerStoreAccess.coversOutage(h.now())
	if !reachableByPeers {
		h.keepUnlistedUntil = h.now() + lapsedServerGrace
	}
	h.log.Emit(events.StoreRecovered, "kind", kind.String(), "served-others", reachableByPeers)
}

// peerStoreAccess is the time span in which other hosts reported that they reach the store.
type peerStoreAccess struct{ from, last time.Duration }

const (
	// maxReportGap is the time without a report after which a new span begins.
	maxReportGap = 1500 * time.Millisecond
	// minReachableSpan is the length of a span that proves that the store was reachable for other hosts during this host's
	// outage. A shorter one proves nothing: after an outage for all hosts, some reach the store again a little earlier than
	// others.
	minReachableSpan = 1500 * time.Millisecond
)

// withReport returns the span after another report.
func (s peerStoreAccess) withReport(now time.Duration) peerStoreAccess {
	if s.last == 0 || now-s.last > maxReportGap {
		return peerStoreAccess{from: now, last: now}
	}
	return peerStoreAccess{from: s.from, last: now}
}

// coversOutage reports whether the store was reachable for other hosts during this host's outage, which ends now.
func (s peerStoreAccess) coversOutage(now time.Duration) bool {
	return s.last > 0 && now-s.last <= maxReportGap && now-s.from >= minReachableSpan
}

// recordStoreReachableByPeer records that another host reaches the store. Servers can renew their entries then, so the list in
// the store is up to date.
func (h *Host) recordStoreReachableByPeer() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.peerStoreAccess = h.peerStoreAccess.withReport(h.now())
}

// storeFailing reports whether the last call for any kind of objects failed. The caller holds h.mu.
func (h *Host) storeFailing() bool {
	for _, err := range h.storeErrors {
		if err != nil {
			return true
		}
	}
	return false
}
