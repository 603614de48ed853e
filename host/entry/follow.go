package entry

import (
	"slices"
	"sync"
	"time"

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
func (h *Host) storeState() watchers.Store {
	h.following.mu.Lock()
	follows, away := len(h.following.addresses) > 0, h.now() < h.following.awayUntil
	h.following.mu.Unlock()
	switch {
	case away:
		return watchers.Away
	case follows:
		return watchers.Unknown
	case h.reachesStore():
		return watchers.Reached
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
	for name, p := range f.peers {
		if p.region == own.Region && p.State != Leaving && now-p.heardAt < watcherSilence {
			hosts = append(hosts, watchers.Host{Name: name, Store: p.Store})
		}
	}
	chosen := watchers.Choose(hosts)
	if slices.Contains(chosen, own.Host) {
		return nil
	}
	addresses := make([]string, len(chosen))
	for i, name := range chosen {
		addresses[i] = f.peers[name].address.String()
	}
	return addresses
}
