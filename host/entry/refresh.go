package entry

import (
	"slices"
	"sync"
	"time"

	"vanillatally/core/watchers"
	"vanillatally/io/events"
)

// Kind is a kind of objects that hosts read from the store.
type Kind int

// The kinds.
const (
	Configuration Kind = iota
	BackendServers
	Rollouts
	Evacuations
	kindCount
)

func (k Kind) String() string {
	return [...]string{"configuration", "backend-servers", "rollouts", "evacuations"}[k]
}

const (
	// pollers is the number of hosts whose watches are short, so that a watch that has gone deaf is found by somebody.
	pollers = 2
	// pollWait is how long the watch of a poller waits, restWait that of the other hosts.
	pollWait = 2 * time.Second
	restWait = 20 * time.Second
	// differsFor is how long a host's view is older than that of another host before the host reads the objects again. It
	// covers the time that a change takes to reach both, and the pause in which changes are collected.
	differsFor = 500 * time.Millisecond
	// refreshEvery bounds how often objects of a kind are read again.
	refreshEvery = 2 * time.Second
)

// Digests identifies what a host knows of each kind: equal digests stand for equal objects.
type Digests [kindCount]uint32

// Revisions holds the store's revision at which a host last saw a change of each kind. Of two hosts with different digests
// the one with the higher revision knows the newer objects.
type Revisions [kindCount]uint64

// refresher finds out that this host's view of the store is out of date.
type refresher struct {
	mu        sync.Mutex
	digests   Digests
	revisions Revisions
	// older holds since when another host, newerAt, is known to have newer objects, 0 while none is.
	older   [kindCount]time.Duration
	newerAt [kindCount]string
	read    [kindCount]time.Duration
	// polling is set while this host's watches are short.
	polling bool
	// again wakes the reader of each kind to list the objects, followChanged to follow other hosts.
	again, followChanged [kindCount]chan struct{}
}

func newRefresher() *refresher {
	r := &refresher{}
	for kind := range r.again {
		r.again[kind], r.followChanged[kind] = make(chan struct{}, 1), make(chan struct{}, 1)
	}
	return r
}

// SetDigest notes what this host knows of a kind at a revision of the store.
func (h *Host) SetDigest(kind Kind, digest uint32, revision uint64) {
	h.refresher.mu.Lock()
	defer h.refresher.mu.Unlock()
	h.refresher.digests[kind], h.refresher.revisions[kind], h.refresher.older[kind] = digest, revision, 0
}

// Again receives when the objects of a kind have to be read again.
func (h *Host) Again(kind Kind) <-chan struct{} { return h.refresher.again[kind] }

// WatchWait is how long a watch may wait for a change.
func (h *Host) WatchWait() time.Duration {
	h.refresher.mu.Lock()
	defer h.refresher.mu.Unlock()
	if h.refresher.polling {
		return pollWait
	}
	return restWait
}

// setPolling notes whether this host is a poller. A new one reads everything again, since its watches may be deaf.
func (r *refresher) setPolling(polling bool) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.polling == polling {
		return false
	}
	r.polling = polling
	if polling {
		for kind := range r.again {
			wake(r.again[kind])
		}
	}
	return true
}

// wake leaves a signal, unless one waits already.
func wake(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// compare takes in what another host knows.
func (r *refresher) compare(now time.Duration, host string, digests Digests, revisions Revisions) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for kind := range kindCount {
		newer := digests[kind] != 0 && digests[kind] != r.digests[kind] && revisions[kind] > r.revisions[kind]
		if newer && r.older[kind] == 0 {
			r.older[kind], r.newerAt[kind] = now, host
		}
	}
}

// due wakes the readers of the kinds whose objects have been older than those of another host for too long.
func (r *refresher) due(now time.Duration) (stale []Kind) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for kind := range kindCount {
		if since := r.older[kind]; since > 0 && now-since >= differsFor && now-r.read[kind] >= refreshEvery {
			r.read[kind], r.older[kind] = now, 0
			wake(r.again[kind])
			stale = append(stale, kind)
		}
	}
	return stale
}

// refresh reads again what is out of date.
func (h *Host) refresh(now time.Duration) {
	for _, kind := range h.refresher.due(now) {
		h.refresher.mu.Lock()
		newerAt := h.refresher.newerAt[kind]
		h.refresher.mu.Unlock()
		h.log.Emit(events.ViewOutdated, "kind", kind.String(), "newer-at", newerAt)
	}
}

// choosePollers decides whether this host is a poller: the first hosts by name of those that reach the store are.
func (f *fleet) choosePollers(now time.Duration) {
	if now < fleetHeard {
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
		polls = slices.Contains(names[:min(len(names), pollers)], f.host.settings.Host)
	}
	if f.host.refresher.setPolling(polls) {
		f.host.log.Emit(events.PollerChanged, "polls", polls)
	}
}

// reachesStore reports whether the last calls of all kinds were answered.
func (h *Host) reachesStore() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.listed && !h.storeAway()
}
