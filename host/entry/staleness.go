package entry

import (
	"slices"
	"sync"
	"time"

	"vanillatally/core/watchers"
	"vanillatally/io/events"
)

// ObjectKind is a kind of objects that hosts read from the store.
type ObjectKind int

// The kinds.
const (
	Configuration ObjectKind = iota
	BackendServers
	Rollouts
	Evacuations
	kindCount
)

func (k ObjectKind) String() string {
	return [...]string{"configuration", "backend-servers", "rollouts", "evacuations"}[k]
}

const (
	// pollerCount is the number of hosts whose watches are short, so that a watch that has gone deaf is found by somebody.
	pollerCount = 2
	// pollerWatchTimeout is how long the watch of a poller waits, restWait that of the other hosts.
	pollerWatchTimeout = 2 * time.Second
	watchTimeout       = 20 * time.Second
	// staleGrace is how long a host's view is older than that of another host before the host reads the objects again. It
	// covers the time that a change takes to reach both, and the pause in which changes are collected.
	staleGrace = 500 * time.Millisecond
	// minRelistInterval bounds how often objects of a kind are read again.
	minRelistInterval = 2 * time.Second
)

// Digests identifies what a host knows of each kind: equal digests stand for equal objects.
type Digests [kindCount]uint32

// Revisions holds the store's revision at which a host last saw a change of each kind. Of two hosts with different digests
// the one with the higher revision knows the newer objects.
type Revisions [kindCount]uint64

// stalenessDetector finds out that this host's view of the store is out of date.
type stalenessDetector struct {
	mu        sync.Mutex
	digests   Digests
	revisions Revisions
	// staleSince holds since when another host, newerAt, is known to have newer objects, 0 while none is.
	staleSince [kindCount]time.Duration
	newerHost  [kindCount]string
	relistedAt [kindCount]time.Duration
	// isPoller is set while this host's watches are short.
	isPoller bool
	// relist wakes the reader of each kind to list the objects, watchersChanged to follow other hosts.
	relist, watchersChanged [kindCount]chan struct{}
}

func newStalenessDetector() *stalenessDetector {
	r := &stalenessDetector{}
	for kind := range r.relist {
		r.relist[kind], r.watchersChanged[kind] = make(chan struct{}, 1), make(chan struct{}, 1)
	}
	return r
}

// SetDigest notes what this host knows of a kind at a revision of the store.
func (h *Host) SetDigest(kind ObjectKind, digest uint32, revision uint64) {
	h.stalenessDetector.mu.Lock()
	defer h.stalenessDetector.mu.Unlock()
	h.stalenessDetector.digests[kind], h.stalenessDetector.revisions[kind], h.stalenessDetector.staleSince[kind] = digest, revision, 0
}

// RelistRequested receives when the objects of a kind have to be read again.
func (h *Host) RelistRequested(kind ObjectKind) <-chan struct{} {
	return h.stalenessDetector.relist[kind]
}

// WatchTimeout is how long a watch may wait for a change.
func (h *Host) WatchTimeout() time.Duration {
	h.stalenessDetector.mu.Lock()
	defer h.stalenessDetector.mu.Unlock()
	if h.stalenessDetector.isPoller {
		return pollerWatchTimeout
	}
	return watchTimeout
}

// setPoller notes whether this host is a poller. A new one reads everything again, since its watches may be deaf.
func (r *stalenessDetector) setPoller(polling bool) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isPoller == polling {
		return false
	}
	r.isPoller = polling
	if polling {
		for kind := range r.relist {
			notify(r.relist[kind])
		}
	}
	return true
}

// notify leaves a signal, unless one waits already.
func notify(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// comparePeer takes in what another host knows.
func (r *stalenessDetector) comparePeer(now time.Duration, host string, digests Digests, revisions Revisions) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for kind := range kindCount {
		newer := digests[kind] != 0 && digests[kind] != r.digests[kind] && revisions[kind] > r.revisions[kind]
		if newer && r.staleSince[kind] == 0 {
			r.staleSince[kind], r.newerHost[kind] = now, host
		}
	}
}

// takeStale wakes the readers of the kinds whose objects have been older than those of another host for too long.
func (r *stalenessDetector) takeStale(now time.Duration) (stale []ObjectKind) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for kind := range kindCount {
		if since := r.staleSince[kind]; since > 0 && now-since >= staleGrace && now-r.relistedAt[kind] >= minRelistInterval {
			r.relistedAt[kind], r.staleSince[kind] = now, 0
			notify(r.relist[kind])
			stale = append(stale, kind)
		}
	}
	return stale
}

// relistStale reads again what is out of date.
func (h *Host) relistStale(now time.Duration) {
	for _, kind := range h.stalenessDetector.takeStale(now) {
		h.stalenessDetector.mu.Lock()
		newerAt := h.stalenessDetector.newerHost[kind]
		h.stalenessDetector.mu.Unlock()
		h.log.Emit(events.ViewOutdated, "kind", kind.String(), "newer-at", newerAt)
	}
}

// updatePollerRole decides whether this host is a poller: the first hosts by name of those that reach the store are.
func (f *fleet) updatePollerRole(now time.Duration) {
	if now < peerDiscoveryTime {
		return
	}
	polls := false
	if f.host.storeState() == watchers.Reachable {
		names := []string{f.host.settings.Host}
		f.mu.Lock()
		for _, m := range f.members(now) {
			if m.Store == watchers.Reachable {
				names = append(names, m.Host)
			}
		}
		f.mu.Unlock()
		slices.Sort(names)
		polls = slices.Contains(names[:min(len(names), pollerCount)], f.host.settings.Host)
	}
	if f.host.stalenessDetector.setPoller(polls) {
		f.host.log.Emit(events.PollerChanged, "polls", polls)
	}
}

// reachesStore reports whether the last calls of all kinds were answered.
func (h *Host) reachesStore() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.serversListed && !h.storeFailing()
}
