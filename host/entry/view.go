package entry

import (
	"maps"
	"slices"
	"time"

	"vanillatally/core/config"
	"vanillatally/io/events"
	"vanillatally/io/platform"
)

// lapsedServerGrace is how long a server whose entry vanished while the store was away is kept after the store's return, since
// entries lapse in an outage and are written again by the servers that live.
const lapsedServerGrace = 2200 * time.Millisecond

// lapsedShareThreshold of all listed servers that vanish together have lapsed rather than left.
const lapsedShareThreshold = 0.4

// view is what requests see of the configuration and the backend servers. It is immutable but for the servers' own state.
type view struct {
	configuration *config.Configuration
	// services holds the usable servers of each service.
	services map[string][]*server
	// evacuated holds the failure domains that get no requests.
	evacuated map[string]bool
	rollouts  map[string]*runningRollout
}

// publishView replaces the view. The caller holds h.mu.
func (h *Host) publishView() {
	next := &view{
		configuration: h.configuration, services: map[string][]*server{}, evacuated: h.evacuated, rollouts: maps.Clone(h.rollouts),
	}
	for _, id := range slices.Sorted(maps.Keys(h.servers)) {
		s := h.servers[id]
		if s.Leaving || h.evacuated[s.FailureDomain] {
			continue
		}
		next.services[s.Service] = append(next.services[s.Service], s)
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

// SetConfiguration puts a configuration in force. An older one than that in force is ignored.
func (h *Host) SetConfiguration(c *config.Configuration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.configuration != nil && c.Sequence <= h.configuration.Sequence {
		return
	}
	h.configuration = c
	h.serviceTimes.prune(c)
	h.trafficSplits.reset()
	h.publishView()
	h.log.Emit(events.ConfigApplied, "sequence", c.Sequence, "routes", len(c.Routes), "teams", len(c.Teams))
}

// SetServers takes in the whole list of backend servers.
func (h *Host) SetServers(listed []platform.BackendServer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	present := make(map[string]bool, len(listed))
	for _, entry := range listed {
		present[entry.ID] = true
		h.upsertServer(now, entry)
	}
	h.removeUnlisted(now, present)
	h.serversListed = true
	h.publishView()
}

// upsertServer takes in one entry of the upsertServer.
func (h *Host) upsertServer(now time.Duration, entry platform.BackendServer) {
	delete(h.unlisted, entry.ID)
	known := h.servers[entry.ID]
	if known == nil || known.Address != entry.Address || known.Started != entry.Started {
		h.servers[entry.ID] = newServer(entry, entry.Region == h.settings.Region, now)
		h.log.Emit(events.ServerListed, "server", entry.ID, "service", entry.Service, "version", entry.Version,
			"failure-domain", entry.FailureDomain, "cold-for", entry.ColdFor, "leaving", entry.Leaving)
		return
	}
	if entry.Leaving && !known.Leaving {
		h.log.Emit(events.ServerLeaving, "server", entry.ID, "service", entry.Service)
	}
	known.updateListing(entry, now)
}

// removeUnlisted removes the servers that are not present. Those that vanished with the store, or all at once, are kept for a while.
func (h *Host) removeUnlisted(now time.Duration, present map[string]bool) {
	var gone []string
	for id := range h.servers {
		if !present[id] {
			gone = append(gone, id)
		}
	}
	if len(h.servers) > 2 && float64(len(gone)-len(h.unlisted)) > lapsedShareThreshold*float64(len(h.servers)) {
		h.keepUnlistedUntil = max(h.keepUnlistedUntil, now+lapsedServerGrace)
	}
	// An entry that vanishes later in the grace does not extend it: servers may leave in a row.
	lapsed := now < h.keepUnlistedUntil
	for _, id := range gone {
		if lapsed {
			h.unlisted[id] = true
			continue
		}
		h.removeServer(id)
	}
}

func (h *Host) removeServer(id string) {
	h.log.Emit(events.ServerUnlisted, "server", id, "service", h.servers[id].Service)
	delete(h.servers, id)
	delete(h.unlisted, id)
}

// expireUnlisted removes the servers whose entries did not come back in time.
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

// SetEvacuations takes in the failure domains that get no requests.
func (h *Host) SetEvacuations(domains []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := make(map[string]bool, len(domains))
	for _, domain := range domains {
		next[domain] = true
		if !h.evacuated[domain] {
			h.log.Emit(events.DomainEvacuated, "failure-domain", domain)
		}
	}
	for domain := range h.evacuated {
		if !next[domain] {
			h.log.Emit(events.DomainReturned, "failure-domain", domain)
			h.markDomainCold(domain)
		}
	}
	h.evacuated = next
	h.publishView()
}

// markDomainCold treats the servers of a domain that is taken back as cold, since they may have been restarted meanwhile.
func (h *Host) markDomainCold(domain string) {
	for _, s := range h.servers {
		if s.FailureDomain == domain && h.configuration != nil {
			s.markCold(h.now(), time.Duration(h.configuration.Services[s.Service].ColdFor))
		}
	}
}

// RecordStoreCall notes whether the last call for a kind of objects was answered; err is nil when it was. direct is set for calls
// to the store itself, and not for those to a host that is followed.
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
		h.log.Emit(events.StoreLost, "kind", kind.String(), "error", err.Error())
		return
	}
	served := h.peerStoreAccess.coversOutage(h.now())
	if !served {
		h.keepUnlistedUntil = h.now() + lapsedServerGrace
	}
	h.log.Emit(events.StoreRegained, "kind", kind.String(), "served-others", served)
}

// peerStoreAccess is the span in which other hosts stated that they reach the store.
type peerStoreAccess struct{ from, last time.Duration }

const (
	// maxReportGap is the time between two statements from which a new span begins.
	maxReportGap = 1500 * time.Millisecond
	// minReachableSpan is the least length of the span that shows that the store served others in this host's outage. A store that
	// returned for all is found by some hosts a little earlier than by others.
	minReachableSpan = 1500 * time.Millisecond
)

func (s peerStoreAccess) withReport(now time.Duration) peerStoreAccess {
	if s.last == 0 || now-s.last > maxReportGap {
		return peerStoreAccess{from: now, last: now}
	}
	return peerStoreAccess{from: s.from, last: now}
}

// coversOutage reports whether the store served other hosts until now for longer than hosts differ in finding it back.
func (s peerStoreAccess) coversOutage(now time.Duration) bool {
	return s.last > 0 && now-s.last <= maxReportGap && now-s.from >= minReachableSpan
}

// noteStoreReachableByPeer notes that another host reaches the store: entries do not lapse then, and what the store lists holds.
func (h *Host) noteStoreReachableByPeer() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.peerStoreAccess = h.peerStoreAccess.withReport(h.now())
}

// storeFailing reports whether any kind of objects could not be read. The caller holds h.mu.
func (h *Host) storeFailing() bool {
	for _, err := range h.storeErrors {
		if err != nil {
			return true
		}
	}
	return false
}
