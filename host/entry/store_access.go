package entry

import (
	"time"

	"vanillatally/io/events"
)

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
