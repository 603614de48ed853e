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
	// watcherTimeout is the time without a message after which a watcher is not followed. With the time of a read it stays
	// below the time in which a change has to be in force.
	watcherTimeout = 1500 * time.Millisecond
	// storeRefusalTTL is how long a host whom the store refuses leaves the watch to others.
	storeRefusalTTL = 5 * time.Second
	// peerDiscoveryTime is the time after the start within which the other hosts are heard.
	peerDiscoveryTime = 1200 * time.Millisecond
	// firstStartDiscoveryTime is that time when all hosts start together.
	firstStartDiscoveryTime = 2 * peerDiscoveryTime
	// seedAnswerTime is the time after the start within which a seed of the own region has answered.
	seedAnswerTime = 80 * time.Millisecond
	// sourceCheckInterval is the time between two looks at whether this host may begin to read.
	sourceCheckInterval = 20 * time.Millisecond
	// firstReadTimeout is how long a host waits at its start for the objects of the hosts that it follows.
	firstReadTimeout = time.Second
)

// storeSource holds which hosts this host follows in place of the store.
type storeSource struct {
	mu sync.Mutex
	// watchers are the peer watchers of the followed hosts; it is empty while this host watches the store.
	watchers []string
	// refusedUntil is the time until which this host counts as refused by the store.
	refusedUntil time.Duration
}

// FollowedWatchers returns the peer addresses of the hosts from which this host takes the store's objects, in the order of
// preference; none means that it watches the store itself.
func (h *Host) FollowedWatchers() []string {
	h.storeSource.mu.Lock()
	defer h.storeSource.mu.Unlock()
	return h.storeSource.watchers
}

// AwaitStoreSource waits until this host knows whether to read from the store or from a host that follows it. In a fleet that runs, hosts
// that start cost the store no calls. FollowUntil is the time until which the hosts of Follow may have nothing yet.
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

// watcherInRegion reports whether a host of this host's region watches the store.
func (f *fleet) watcherInRegion(now time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.members(now), func(m member) bool {
		return m.Store == watchers.Reachable && m.region == f.host.settings.Region
	})
}

// ShouldRegister reports whether this host has to be found through the store: it is a delegate of its failure domain.
func (h *Host) ShouldRegister() bool {
	return h.now() >= membershipSettleTime && h.fleet.isDelegate(h.now())
}

// NoPeersFound reports whether this host heard no other one in the time in which a seed answers.
func (h *Host) NoPeersFound() bool {
	limit := seedAnswerTime
	if h.settings.FirstStart {
		limit = membershipSettleTime
	}
	return h.now() >= limit && h.fleet.liveHosts() == 1
}

// WatchersChosen receives once this host knows whether it watches the store. Before, each host would take itself for a watcher.
func (h *Host) WatchersChosen() <-chan time.Time { return time.After(peerDiscoveryTime - h.now()) }

// FollowedWatchersChanged receives when the hosts to follow have changed.
func (h *Host) FollowedWatchersChanged(kind ObjectKind) <-chan struct{} {
	return h.stalenessDetector.watchersChanged[kind]
}

// recordRefusal notes that the store did not answer a call of this host. Later answers do not take that back at once: a store
// that refuses a host answers some of its calls.
func (f *storeSource) recordRefusal(now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refusedUntil = now + storeRefusalTTL
}

// storeState is what this host says of the store. A host whom the store refuses says so for a while even when it follows
// others, so that nobody follows it.
func (h *Host) storeState() watchers.StoreAccess {
	h.storeSource.mu.Lock()
	follows, away := len(h.storeSource.watchers) > 0, h.now() < h.storeSource.refusedUntil
	h.storeSource.mu.Unlock()
	switch {
	case away:
		return watchers.Unreachable
	case follows:
		return watchers.Unknown
	case h.reachesStore():
		return watchers.Reachable
	}
	return watchers.Unknown
}

// updateStoreSource decides whether this host watches the store or follows others.
func (f *fleet) updateStoreSource(now time.Duration) {
	addresses := f.watchersToFollow(now)
	state := &f.host.storeSource
	state.mu.Lock()
	same := slices.Equal(addresses, state.watchers)
	state.watchers = addresses
	state.mu.Unlock()
	if same {
		return
	}
	f.host.log.Emit(events.WatchersChanged, "follows", addresses)
	for kind := range f.host.stalenessDetector.watchersChanged {
		notify(f.host.stalenessDetector.watchersChanged[kind])
	}
}

// watchersToFollow returns the peer addresses of the watchersToFollow of this host's region, none when this host is one of them.
func (f *fleet) watchersToFollow(now time.Duration) []string {
	own := f.host.settings
	hosts := []watchers.Host{{Name: own.Host, Store: f.host.storeState()}}
	f.mu.Lock()
	defer f.mu.Unlock()
	peers := map[string]string{}
	listed := delegates.Advertised(f.domainHosts(now))
	for _, m := range f.members(now) {
		if m.region != own.Region || m.failureDomain == own.FailureDomain && !slices.Contains(listed, m.Host) {
			// A host that is not listed is not known to the other domains of the region.
			continue
		}
		hosts = append(hosts, watchers.Host{Name: m.Host, Store: m.Store})
		peers[m.Host] = m.PeerAddr.String()
	}
	chosen := watchers.Choose(hosts)
	if slices.Contains(chosen, own.Host) {
		return nil
	}
	addresses := make([]string, len(chosen))
	for i, name := range chosen {
		addresses[i] = peers[name]
	}
	return addresses
}
