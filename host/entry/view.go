package entry

import (
	"maps"
	"slices"
	"time"

	"vanillatally/core/config"
	"vanillatally/io/events"
	"vanillatally/io/platform"
)

// relistGrace is how long a server whose entry vanished while the store was away is kept after the store's return, since
// entries lapse in an outage and are written again by the servers that live.
const relistGrace = 2200 * time.Millisecond

// lapseShare of all listed servers that vanish together have lapsed rather than left.
const lapseShare = 0.4

// view is what requests see of the configuration and the backend servers. It is immutable but for the servers' own state.
type view struct {
	configuration *config.Configuration
	// services holds the usable servers of each service.
	services map[string][]*server
	// evacuated holds the failure domains that get no requests.
	evacuated map[string]bool
	rollouts  map[string]*trial
}

// rebuild replaces the view. The caller holds h.mu.
func (h *Host) rebuild() {
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
	if h.configuration != nil && h.listed {
		select {
		case <-h.begun:
		default:
			close(h.begun)
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
	h.times.prune(c)
	h.parts.reset()
	h.rebuild()
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
		h.list(now, entry)
	}
	h.unlist(now, present)
	h.listed = true
	h.rebuild()
}

// list takes in one entry of the list.
func (h *Host) list(now time.Duration, entry platform.BackendServer) {
	delete(h.vanished, entry.ID)
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
	known.relisted(entry, now)
}

// unlist removes the servers that are not present. Those that vanished with the store, or all at once, are kept for a while.
func (h *Host) unlist(now time.Duration, present map[string]bool) {
	var gone []string
	for id := range h.servers {
		if !present[id] {
			gone = append(gone, id)
		}
	}
	if len(h.servers) > 2 && float64(len(gone)-len(h.vanished)) > lapseShare*float64(len(h.servers)) {
		h.keepUntil = max(h.keepUntil, now+relistGrace)
	}
	// An entry that vanishes later in the grace does not extend it: servers may leave in a row.
	lapsed := now < h.keepUntil
	for _, id := range gone {
		if lapsed {
			h.vanished[id] = true
			continue
		}
		h.forget(id)
	}
}

func (h *Host) forget(id string) {
	h.log.Emit(events.ServerUnlisted, "server", id, "service", h.servers[id].Service)
	delete(h.servers, id)
	delete(h.vanished, id)
}

// expireVanished removes the servers whose entries did not come back in time.
func (h *Host) expireVanished() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.vanished) == 0 || h.now() < h.keepUntil {
		return
	}
	for id := range h.vanished {
		h.forget(id)
	}
	h.rebuild()
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
			h.chillDomain(domain)
		}
	}
	h.evacuated = next
	h.rebuild()
}

// chillDomain treats the servers of a domain that is taken back as cold, since they may have been restarted meanwhile.
func (h *Host) chillDomain(domain string) {
	for _, s := range h.servers {
		if s.FailureDomain == domain && h.configuration != nil {
			s.chill(h.now(), time.Duration(h.configuration.Services[s.Service].ColdFor))
		}
	}
}

// RecordStoreCall notes whether the last call for a kind of objects was answered; err is nil when it was. direct is set for calls
// to the store itself, and not for those to a host that is followed.
func (h *Host) RecordStoreCall(kind ObjectKind, err error, direct bool) {
	if err != nil && direct {
		h.following.storeRefused(h.now())
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
	served := h.served.throughout(h.now())
	if !served {
		h.keepUntil = h.now() + relistGrace
	}
	h.log.Emit(events.StoreRegained, "kind", kind.String(), "served-others", served)
}

// served is the span in which other hosts stated that they reach the store.
type served struct{ from, last time.Duration }

const (
	// statementGap is the time between two statements from which a new span begins.
	statementGap = 1500 * time.Millisecond
	// servedFor is the least length of the span that shows that the store served others in this host's outage. A store that
	// returned for all is found by some hosts a little earlier than by others.
	servedFor = 1500 * time.Millisecond
)

func (s served) withStatement(now time.Duration) served {
	if s.last == 0 || now-s.last > statementGap {
		return served{from: now, last: now}
	}
	return served{from: s.from, last: now}
}

// throughout reports whether the store served other hosts until now for longer than hosts differ in finding it back.
func (s served) throughout(now time.Duration) bool {
	return s.last > 0 && now-s.last <= statementGap && now-s.from >= servedFor
}

// storeServesOthers notes that another host reaches the store: entries do not lapse then, and what the store lists holds.
func (h *Host) storeServesOthers() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.served = h.served.withStatement(h.now())
}

// storeAway reports whether any kind of objects could not be read. The caller holds h.mu.
func (h *Host) storeAway() bool {
	for _, err := range h.storeErrors {
		if err != nil {
			return true
		}
	}
	return false
}
