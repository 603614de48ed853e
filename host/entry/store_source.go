package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"vanillatally/core/delegates"
	"vanillatally/core/watchers"
	"vanillatally/io/events"
)

const (
	// watcherTimeout is the time without a message after which a watcher is no longer followed. Together with the time of a
	// read it must stay below the time in which a change has to be in force.
	watcherTimeout = 1500 * time.Millisecond
	// storeRefusalTTL is the time for which a host counts as refused after the store failed to answer one of its calls. Others
	// watch the store in this time.
	storeRefusalTTL = 5 * time.Second
	// peerDiscoveryTime is the time after the start within which a host usually discovers the other hosts.
	peerDiscoveryTime = 1200 * time.Millisecond
	// firstStartDiscoveryTime replaces peerDiscoveryTime when all hosts start together.
	firstStartDiscoveryTime = 2 * peerDiscoveryTime
	// seedAnswerTime is the time after the start within which a seed host of this host's region answers.
	seedAnswerTime = 80 * time.Millisecond
	// sourceCheckInterval is the time between two checks of whether this host can start to read the store's objects.
	sourceCheckInterval = 20 * time.Millisecond
	// firstReadTimeout is how long a starting host waits for the watchers that it follows to get the objects.
	firstReadTimeout = time.Second
)

// storeSource holds where this host gets the store's objects from: from the store itself, as a watcher, or from other hosts
// that watch it.
type storeSource struct {
	mu sync.Mutex
	// watchers holds the peer addresses of the hosts that this host follows. It is empty while this host watches the store.
	watchers []string
	// refusedUntil is the time until which this host counts as refused by the store.
	refusedUntil time.Duration
}

// FollowedWatchers returns the peer addresses of the hosts from which this host gets the store's objects, in the order of
// preference. An empty result means that it watches the store itself.
func (h *Host) FollowedWatchers() []string {
	h.storeSource.mu.Lock()
	defer h.storeSource.mu.Unlock()
	return h.storeSource.watchers
}

// AwaitStoreSource waits until this host knows whether to read from the store or from a host that watches it, so that hosts
// which join a running fleet cause no calls to the store. Until followUntil the hosts of FollowedWatchers may not have the
// objects yet.
func (h *Host) AwaitStoreSource(ctx context.Context) (followUntil time.Time) {
	limit := seedAnswerTime
	if h.settings.FirstStart {
		limit = firstStartDiscoveryTime
	}
	ticker := time.NewTicker(sourceCheckInterval)
	defer ticker.Stop()
	for {
		now := h.now()
		switch {
		case h.fleet.watcherInRegion(now), h.settings.FirstStart && now >= limit:
			h.fleet.updateStoreSource(now)
			return time.Now().Add(firstReadTimeout)
		case now >= limit:
			return time.Now()
		}
		select {
		case <-ctx.Done():
			return time.Now()
		case <-ticker.C:
		}
	}
}

// watcherInRegion reports whether a host of this host's region reaches the store.
func (f *fleet) watcherInRegion(now time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.members(now), func(m member) bool {
		return m.StoreAccess == watchers.Reachable && m.region == f.host.settings.Region
	})
}

// ShouldRegister reports whether this host has to register in the store, so that others find it: delegates of a failure
// domain do.
func (h *Host) ShouldRegister() bool {
	return h.now() >= membershipSettleTime && h.fleet.isDelegate(h.now())
}

// NoPeersFound reports whether this host knows no live host other than itself although a seed would have answered by now.
func (h *Host) NoPeersFound() bool {
	limit := seedAnswerTime
	if h.settings.FirstStart {
		limit = membershipSettleTime
	}
	return h.now() >= limit && h.fleet.liveHosts() == 1
}

// WatchersChosen receives once this host can decide whether it is a watcher. Before that it may know no other hosts, and would
// choose itself.
func (h *Host) WatchersChosen() <-chan time.Time { return time.After(peerDiscoveryTime - h.now()) }

// FollowedWatchersChanged receives after FollowedWatchers has changed.
func (h *Host) FollowedWatchersChanged(kind ObjectKind) <-chan struct{} {
	return h.stalenessDetector.watchersChanged[kind]
}

// recordRefusal records that the store did not answer a call of this host. Later answers do not reset it at once, since a
// store that refuses a host still answers some of its calls.
func (s *storeSource) recordRefusal(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusedUntil = now + storeRefusalTTL
}

// storeState returns what this host reports about its access to the store. A refused host reports the refusal for a while
// even though it follows others by then, so that nobody follows it.
func (h *Host) storeState() watchers.StoreAccess {
	h.storeSource.mu.Lock()
	follows, refused := len(h.storeSource.watchers) > 0, h.now() < h.storeSource.refusedUntil
	h.storeSource.mu.Unlock()
	switch {
	case refused:
		return watchers.Unreachable
	case follows:
		return watchers.Unknown
	case h.reachesStore():
		return watchers.Reachable
	}
	return watchers.Unknown
}

// updateStoreSource decides whether this host watches the store or follows other hosts.
func (f *fleet) updateStoreSource(now time.Duration) {
	addresses := f.watchersToFollow(now)
	source := &f.host.storeSource
	source.mu.Lock()
	same := slices.Equal(addresses, source.watchers)
	source.watchers = addresses
	source.mu.Unlock()
	if same {
		return
	}
	f.host.log.Emit(events.WatchersChanged, "follows", addresses)
	for kind := range f.host.stalenessDetector.watchersChanged {
		notify(f.host.stalenessDetector.watchersChanged[kind])
	}
}

// watchersToFollow returns the peer addresses of the watchers of this host's region, or none if this host is one of them.
func (f *fleet) watchersToFollow(now time.Duration) []string {
	own := f.host.settings
	hosts := []watchers.Host{{Name: own.Host, Store: f.host.storeState()}}
	f.mu.Lock()
	defer f.mu.Unlock()
	peerAddresses := map[string]string{}
	listed := delegates.Advertised(f.domainHosts(now))
	for _, m := range f.members(now) {
		if m.region != own.Region || m.failureDomain == own.FailureDomain && !slices.Contains(listed, m.Host) {
			// The other domains of the region do not know hosts that are not listed, and all have to choose the same watchers.
			continue
		}
		hosts = append(hosts, watchers.Host{Name: m.Host, Store: m.StoreAccess})
		peerAddresses[m.Host] = m.PeerAddr.String()
	}
	chosen := watchers.Choose(hosts)
	if slices.Contains(chosen, own.Host) {
		return nil
	}
	addresses := make([]string, len(chosen))
	for i, name := range chosen {
		addresses[i] = peerAddresses[name]
	}
	return addresses
}
