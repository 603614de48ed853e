package entry

import (
	"slices"
	"sync"
	"time"

	"vanillatally/core/era"
	"vanillatally/core/watchers"
	"vanillatally/io/events"
)

// ObjectKind is a kind of objects that hosts read from the store.
type ObjectKind int

// The kinds of objects.
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
	// pollerCount is the number of hosts with short watches, so that some host notices a watch that no longer delivers
	// changes.
	pollerCount = 2
	// pollerWatchTimeout is the watch timeout of a poller, watchTimeout that of all other hosts.
	pollerWatchTimeout = 2 * time.Second
	watchTimeout       = 20 * time.Second
	// staleGrace is the time for which another host must have had newer objects before this host lists its objects again. It
	// covers the time until a change reaches both hosts, and the pause in which changes are batched.
	staleGrace = 500 * time.Millisecond
	// followerStaleGrace replaces staleGrace at a host that follows others: these list the objects first and pass them on.
	followerStaleGrace = 2 * staleGrace
	// minRelistInterval is the minimum time between two relists of stale objects of a kind.
	minRelistInterval = 2 * time.Second
)

// Digests holds a digest of the objects of each kind that a host knows. Equal digests mean equal objects.
type Digests [kindCount]uint32

// Revisions holds, for each kind, the packed position in the store at which a host last saw a change: the revision, with the
// store's era in the highest bits. Of two hosts with different digests, the one with the higher number has the newer objects.
type Revisions [kindCount]uint64

// stalenessDetector finds out from other hosts' digests that this host's objects are out of date.
type stalenessDetector struct {
	mu sync.Mutex
	// digests and revisions are those of this host's objects.
	digests   Digests
	revisions Revisions
	// staleSince is the time since which another host, newerHost, is known to have newer objects; 0 if none is.
	staleSince [kindCount]time.Duration
	newerHost  [kindCount]string
	// relistedAt is the time of the last relist of stale objects.
	relistedAt [kindCount]time.Duration
	// isPoller is set while this host's watches are short.
	isPoller bool
	// relist makes the reader of a kind list the objects again; watchersChanged makes it follow other hosts.
	relist, watchersChanged [kindCount]chan struct{}
}

func newStalenessDetector() *stalenessDetector {
	d := &stalenessDetector{}
	for kind := range d.relist {
		d.relist[kind], d.watchersChanged[kind] = make(chan struct{}, 1), make(chan struct{}, 1)
	}
	return d
}

// SetDigest stores the digest of this host's objects of a kind, and the position in the store of their last change. A host that
// watches the store announces a change at once, so that others notice when their own watches deliver nothing.
func (h *Host) SetDigest(kind ObjectKind, digest uint32, at era.Position) {
	if h.stalenessDetector.setDigest(kind, digest, at.Packed()) && h.storeState() == watchers.Reachable {
		notify(h.fleet.urgentNews)
	}
}

// setDigest stores a digest and a revision, and reports whether the objects have changed.
func (d *stalenessDetector) setDigest(kind ObjectKind, digest uint32, revision uint64) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed = d.digests[kind] != digest
	d.digests[kind], d.revisions[kind], d.staleSince[kind] = digest, revision, 0
	return changed
}

// RelistRequested receives when the objects of a kind have to be listed again.
func (h *Host) RelistRequested(kind ObjectKind) <-chan struct{} {
	return h.stalenessDetector.relist[kind]
}

// WatchTimeout returns how long a watch may wait for a change.
func (h *Host) WatchTimeout() time.Duration {
	h.stalenessDetector.mu.Lock()
	defer h.stalenessDetector.mu.Unlock()
	if h.stalenessDetector.isPoller {
		return pollerWatchTimeout
	}
	return watchTimeout
}

// setPoller sets whether this host is a poller, and reports whether that changed. A new poller lists everything again, since
// its watches may have stopped delivering changes.
func (d *stalenessDetector) setPoller(isPoller bool) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isPoller == isPoller {
		return false
	}
	d.isPoller = isPoller
	if isPoller {
		for kind := range d.relist {
			notify(d.relist[kind])
		}
	}
	return true
}

// notify sends a signal to a channel with a buffer of one, unless one is waiting there already.
func notify(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// comparePeer compares the digests of another host with this host's, and records the kinds of which the other host has
// newer objects.
func (d *stalenessDetector) comparePeer(now time.Duration, peer string, digests Digests, revisions Revisions) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for kind := range kindCount {
		newer := digests[kind] != 0 && digests[kind] != d.digests[kind] && revisions[kind] > d.revisions[kind]
		if newer && d.staleSince[kind] == 0 {
			d.staleSince[kind], d.newerHost[kind] = now, peer
		}
	}
}

// takeStale wakes the readers of the kinds that have been out of date for grace or longer, and returns these kinds.
func (d *stalenessDetector) takeStale(now, grace time.Duration) (stale []ObjectKind) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for kind := range kindCount {
		if since := d.staleSince[kind]; since > 0 && now-since >= grace && now-d.relistedAt[kind] >= minRelistInterval {
			d.relistedAt[kind], d.staleSince[kind] = now, 0
			notify(d.relist[kind])
			stale = append(stale, kind)
		}
	}
	return stale
}

// relistStale relists the kinds of objects that are out of date, and logs them.
func (h *Host) relistStale(now time.Duration) {
	grace := staleGrace
	if len(h.FollowedWatchers()) > 0 {
		grace = followerStaleGrace
	}
	for _, kind := range h.stalenessDetector.takeStale(now, grace) {
		h.stalenessDetector.mu.Lock()
		newerHost := h.stalenessDetector.newerHost[kind]
		h.stalenessDetector.mu.Unlock()
		h.log.Emit(events.StoreViewStale, "kind", kind.String(), "newer-at", newerHost)
	}
}

// updatePollerRole decides whether this host is a poller. The pollers are the pollerCount hosts with the lowest names among
// those that reach the store.
func (f *fleet) updatePollerRole(now time.Duration) {
	if now < peerDiscoveryTime {
		return
	}
	isPoller := false
	if f.host.storeState() == watchers.Reachable {
		names := []string{f.host.settings.Host}
		f.mu.Lock()
		for _, m := range f.members(now) {
			if m.StoreAccess == watchers.Reachable {
				names = append(names, m.Host)
			}
		}
		f.mu.Unlock()
		slices.Sort(names)
		isPoller = slices.Contains(names[:min(len(names), pollerCount)], f.host.settings.Host)
	}
	if f.host.stalenessDetector.setPoller(isPoller) {
		f.host.log.Emit(events.PollerRoleChanged, "polls", isPoller)
	}
}

// reachesStore reports whether the last calls for all kinds of objects were answered.
func (h *Host) reachesStore() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.serversListed && !h.storeFailing()
}
