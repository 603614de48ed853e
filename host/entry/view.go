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
