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
	// watcherSilence is the time without a message after which a watcher is not followed. With the time of a read it stays
	// below the time in which a change has to be in force.
	watcherSilence = 1500 * time.Millisecond
	// awayMemory is how long a host whom the store refuses leaves the watch to others.
	awayMemory = 5 * time.Second
	// fleetHeard is the time after the start within which the other hosts are heard.
	fleetHeard = 1200 * time.Millisecond
	// fleetFormed is that time when all hosts start together.
	fleetFormed = 2 * fleetHeard
	// greetingAnswered is the time after the start within which a seed of the own region has answered.
	greetingAnswered = 80 * time.Millisecond
	// beginEvery is the time between two looks at whether this host may begin to read.
	beginEvery = 20 * time.Millisecond
	// firstAnswer is how long a host waits at its start for the objects of the hosts that it follows.
	firstAnswer = time.Second
)

// following holds which hosts this host follows in place of the store.
type following struct {
	mu sync.Mutex
	// addresses are the peer addresses of the followed hosts; it is empty while this host watches the store.
	addresses []string
	// awayUntil is the time until which this host counts as refused by the store.
	awayUntil time.Duration
}

// Follow returns the peer addresses of the hosts from which this host takes the store's objects, in the order of
// preference; none means that it watches the store itself.
func (h *Host) Follow() []string {
	h.following.mu.Lock()
	defer h.following.mu.Unlock()
	return h.following.addresses
}

// Begin waits until this host knows whether to read from the store or from a host that follows it. In a fleet that runs, hosts
// that start cost the store no calls. FollowUntil is the time until which the hosts of Follow may have nothing yet.
func (h *Host) Begin(ctx context.Context) (followUntil time.Time) {
	limit := greetingAnswered
	if h.settings.FirstStart {
		limit = fleetFormed
	}
	ticker := time.NewTicker(beginEvery)
	defer ticker.Stop()
	for {
		now := h.now()
		switch {
		case h.fleet.storeReachedNear(now), h.settings.FirstStart && now >= limit:
			h.fleet.chooseWatchers(now)
			return time.Now().Add(firstAnswer)
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

// storeReachedNear reports whether a host of this host's region watches the store.
func (f *fleet) storeReachedNear(now time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.members(now), func(m member) bool {
		return m.Store == watchers.Reachable && m.region == f.host.settings.Region
	})
}

// Registers reports whether this host has to be found through the store: it is a delegate of its failure domain.
func (h *Host) Registers() bool { return h.now() >= fleetKnown && h.fleet.isDelegate(h.now()) }

// Alone reports whether this host heard no other one in the time in which a seed answers.
func (h *Host) Alone() bool {
	limit := greetingAnswered
	if h.settings.FirstStart {
		limit = fleetKnown
	}
	return h.now() >= limit && h.fleet.hosts() == 1
}

// Settled receives once this host knows whether it watches the store. Before, each host would take itself for a watcher.
func (h *Host) Settled() <-chan time.Time { return time.After(fleetHeard - h.now()) }

// FollowChanged receives when the hosts to follow have changed.
func (h *Host) FollowChanged(kind Kind) <-chan struct{} { return h.refresher.followChanged[kind] }

// storeRefused notes that the store did not answer a call of this host. Later answers do not take that back at once: a store
// that refuses a host answers some of its calls.
func (f *following) storeRefused(now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.awayUntil = now + awayMemory
}

// storeState is what this host says of the store. A host whom the store refuses says so for a while even when it follows
// others, so that nobody follows it.
func (h *Host) storeState() watchers.StoreAccess {
	h.following.mu.Lock()
	follows, away := len(h.following.addresses) > 0, h.now() < h.following.awayUntil
	h.following.mu.Unlock()
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

// chooseWatchers decides whether this host watches the store or follows others.
func (f *fleet) chooseWatchers(now time.Duration) {
	addresses := f.watchers(now)
	state := &f.host.following
	state.mu.Lock()
	same := slices.Equal(addresses, state.addresses)
	state.addresses = addresses
	state.mu.Unlock()
	if same {
		return
	}
	f.host.log.Emit(events.WatchersChanged, "follows", addresses)
	for kind := range f.host.refresher.followChanged {
		wake(f.host.refresher.followChanged[kind])
	}
}

// watchers returns the peer addresses of the watchers of this host's region, none when this host is one of them.
func (f *fleet) watchers(now time.Duration) []string {
	own := f.host.settings
	hosts := []watchers.Host{{Name: own.Host, Store: f.host.storeState()}}
	f.mu.Lock()
	defer f.mu.Unlock()
	peers := map[string]string{}
	listed := delegates.Advertised(f.ownHosts(now))
	for _, m := range f.members(now) {
		if m.region != own.Region || m.failureDomain == own.FailureDomain && !slices.Contains(listed, m.Host) {
			// A host that is not listed is not known to the other domains of the region.
			continue
		}
		hosts = append(hosts, watchers.Host{Name: m.Host, Store: m.Store})
		peers[m.Host] = m.Peer.String()
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
