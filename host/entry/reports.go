package entry

import (
	"time"

	"vanillatally/core/listing"
	"vanillatally/io/events"
	"vanillatally/io/platform"
)

// versionOf returns the version of a listed entry.
func versionOf(s platform.BackendServer) listing.Version {
	return listing.Version{Started: s.Started, Report: s.Report}
}

// currentEntries returns the listed entries without those that are older than what this host knows of their servers: the store
// executed their writes late. The known entry of a listed server stays in force, and a server that has left the list stays gone.
// The next report of a server that lives is newer. The caller holds h.mu.
func (h *Host) currentEntries(now time.Duration, listed []platform.BackendServer) []platform.BackendServer {
	current := make([]platform.BackendServer, 0, len(listed))
	for _, entry := range listed {
		newest, ok := h.newestVersion(now, entry.ID)
		if !ok || !versionOf(entry).Precedes(newest) {
			current = append(current, entry)
			continue
		}
		h.metrics.Count("outdated-server-entries", "", "", "", 1)
		h.log.EmitRateLimited(events.ServerEntryOutdated, entry.ID, "server", entry.ID, "started", entry.Started,
			"report", entry.Report, "leaving", entry.Leaving, "newest-started", newest.Started, "newest-report", newest.Report)
		if known := h.servers[entry.ID]; known != nil && !h.unlisted[entry.ID] {
			current = append(current, known.BackendServer)
		}
	}
	return current
}

// newestVersion returns the version of the newest entry of a server that was listed, or that left the list within removalTTL. The
// caller holds h.mu.
func (h *Host) newestVersion(now time.Duration, id string) (newest listing.Version, ok bool) {
	if known := h.servers[id]; known != nil {
		return versionOf(known.BackendServer), true
	}
	removed, ok := h.removedVersions.entries[id]
	return removed.what, ok && now-removed.at <= removalTTL
}
