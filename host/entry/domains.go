package entry

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"vanillatally/core/delegates"
	"vanillatally/core/share"
	"vanillatally/core/watchers"
)

const (
	// largeFleet is the number of hosts from which summaries go to other regions only in every crossRegionRounds-th round,
	// since the links between regions cannot carry many messages of a large fleet.
	largeFleet        = 40
	crossRegionRounds = 2
	// crossRegionTimeout is added to hostTimeout for failure domains of other regions in a large fleet.
	crossRegionTimeout = 1500 * time.Millisecond
	// idleDemandRounds is the number of heartbeat rounds between two demand messages that are less urgent: those to hosts
	// without requests, and those from the secondary delegate.
	idleDemandRounds = 3
	// secondaryRounds is the number of rounds between two summaries of the secondary delegate.
	secondaryRounds = 2
	// introductionRounds is the number of rounds after which a delegate introduces two other failure domains to each other.
	introductionRounds = 8
	// startupIntroductions is the time after the start in which a delegate does so in each round, since the whole fleet may be
	// starting.
	startupIntroductions = 8 * time.Second
)

// domain is another failure domain as its delegates describe it.
type domain struct {
	// delegates holds the last messages of each delegate, by host. A delegate without a summary for forgetHostAfter is deleted
	// when the domain's next message arrives.
	delegates map[string]*delegate
}

// delegate is a delegate of another failure domain.
type delegate struct {
	DomainSummary
	// capacities holds the capacities of the first hosts of Listed.
	capacities []HostCapacity
	// lastSeen is the time of the last summary.
	lastSeen     time.Duration
	demandReport demandReport
}

// primary returns the delegate with the lowest name among those whose summary was received within timeout, or nil. All hosts
// choose the same one, so that differences between the delegates' summaries do no harm.
func (d *domain) primary(now, timeout time.Duration) *delegate {
	var first *delegate
	for _, candidate := range d.delegates {
		// The host is unknown while only demand was received, before the first summary.
		if candidate.Host != "" && !candidate.Resigned && now-candidate.lastSeen < timeout &&
			(first == nil || candidate.Host < first.Host) {
			first = candidate
		}
	}
	return first
}

// demandSource returns the delegate whose demand report is used, or nil: the primary one, or else the one that resigned last,
// since the last host of a domain still admits requests on its open connections while it leaves.
func (d *domain) demandSource(now, timeout time.Duration) *delegate {
	if candidate := d.primary(now, timeout); candidate != nil {
		return candidate
	}
	var latest *delegate
	for _, candidate := range d.delegates {
		if candidate.Resigned && now-candidate.lastSeen < timeout && (latest == nil || candidate.lastSeen > latest.lastSeen) {
			latest = candidate
		}
	}
	return latest
}

// demand returns the demand of a team in the delegate's domain, in requests per second. Once a delegate that resigned sends no
// more summaries, the figure decays.
func (d *delegate) demand(now time.Duration, team uint32) float64 {
	reported := d.demandReport.perSecond(team)
	if age := now - d.lastSeen; d.Resigned && age > heartbeatInterval {
		return share.Decayed(reported, age-heartbeatInterval)
	}
	return reported
}

// domainNames returns the sorted names of the other known failure domains. The caller holds f.mu.
func (f *fleet) domainNames() []string { return slices.Sorted(maps.Keys(f.domains)) }

// domainTimeout returns the time without a summary after which the failure domain counts as down. The caller holds f.mu.
func (f *fleet) domainTimeout(failureDomain string) time.Duration {
	if f.host.settings.Regions[failureDomain] == f.host.settings.Region || f.knownHosts() < largeFleet {
		return hostTimeout
	}
	return hostTimeout + crossRegionTimeout
}

// knownHosts returns the number of known hosts, including this one and those that went down but were not deleted yet. The
// caller holds f.mu.
func (f *fleet) knownHosts() int {
	n := 1 + len(f.peers)
	for _, d := range f.domains {
		maxHosts := 0
		for _, delegate := range d.delegates {
			maxHosts = max(maxHosts, int(delegate.LiveHosts))
		}
		n += maxHosts
	}
	return n
}

// domainHosts returns the live hosts of this host's failure domain, including this one. The caller holds f.mu.
func (f *fleet) domainHosts(now time.Duration) []delegates.Host {
	var hosts []delegates.Host
	if own := f.host; !own.draining.Load() {
		hosts = append(hosts, delegates.Host{Name: own.settings.Host, Ready: own.ready(), Store: own.storeState(), Cores: own.capacity().Cores})
	}
	for name, p := range f.peers {
		if p.FailureDomain == f.host.settings.FailureDomain && f.alive(p, now) {
			hosts = append(hosts, delegates.Host{Name: name, Ready: p.State == Ready, Store: p.reportedStore(now), Cores: p.capacity.Cores})
		}
	}
	return hosts
}

// reportedStore returns what the host reported about its access to the store. After watcherTimeout without a heartbeat it
// returns Unreachable, so that nobody follows the host even though it may be alive.
func (p *peer) reportedStore(now time.Duration) watchers.StoreAccess {
	if now-p.lastSeen >= watcherTimeout {
		return watchers.Unreachable
	}
	return p.StoreAccess
}

// isDelegate reports whether this host is a delegate of its failure domain.
func (f *fleet) isDelegate(now time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Contains(delegates.Choose(f.domainHosts(now)), f.host.settings.Host)
}

// listedHosts returns the hosts of this host's failure domain that other domains know by name, and the number of all its
// live hosts. The caller holds f.mu.
func (f *fleet) listedHosts(now time.Duration) (listed []Listed, hosts int) {
	domainHosts := f.domainHosts(now)
	for _, name := range delegates.Advertised(domainHosts) {
		if name == f.host.settings.Host {
			self, _ := netip.ParseAddrPort(f.host.settings.PeerAddress)
			listed = append(listed, Listed{
				Host: name, State: f.host.state(), CallerAddr: f.host.settings.CallerAddress, PeerAddr: self,
				StoreAccess: f.host.storeState(),
			})
			continue
		}
		p := f.peers[name]
		listed = append(listed, Listed{
			Host: name, State: p.State, CallerAddr: p.CallerAddr, PeerAddr: p.address, StoreAccess: p.reportedStore(now),
		})
	}
	return listed, len(domainHosts)
}

// isPrimaryDelegate reports whether this host is the primary delegate of its failure domain.
func (f *fleet) isPrimaryDelegate(now time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	chosen := delegates.Choose(f.domainHosts(now))
	return len(chosen) > 0 && chosen[0] == f.host.settings.Host
}
