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
	// largeFleet is the size of a fleet from which summaries go to other regions only each second tick: links between regions
	// carry few of the messages of a large fleet.
	largeFleet       = 40
	crossRegionTicks = 2
	// crossRegionTimeout is added to silentAfter for domains of other regions then.
	crossRegionTimeout = 1500 * time.Millisecond
	// idleDemandTicks is the number of ticks between two messages about the demand of teams to hosts that need it less: those
	// without requests, and from the delegate that is not believed.
	idleDemandTicks = 3
	// secondaryTicks is the number of ticks between two summaries of the delegate that is not believed.
	secondaryTicks = 2
	// introductionTicks is the number of ticks after which a delegate tells one other domain of another.
	introductionTicks = 8
	// startupIntroductions is the time after the start in which it does so each tick, since the whole fleet may have started.
	startupIntroductions = 8 * time.Second
)

// domain is another failure domain as its delegates describe it.
type domain struct {
	// delegates holds what each delegate told, by host; it has an entry for each that was heard within forgetAfter.
	delegates map[string]*delegate
}

// delegate is a delegate of another failure domain.
type delegate struct {
	DomainSummary
	lastHeard    time.Duration
	demandReport demandReport
}

// primary returns the first by name of the delegates that were heard lately, nil without one. All hosts believe the same one,
// so that two delegates which know different things do no harm.
func (d *domain) primary(now, silence time.Duration) *delegate {
	var found *delegate
	for _, s := range d.delegates {
		// Rates may come before the first summary, which names the delegate.
		if s.Host != "" && !s.Resigned && now-s.lastHeard < silence && (found == nil || s.Host < found.Host) {
			found = s
		}
	}
	return found
}

// demandSource returns the delegate whose rates count, nil without one: that which is believed, or else the last one that has stopped
// being one. A domain whose only host leaves still admits the requests on its open connections.
func (d *domain) demandSource(now, silence time.Duration) *delegate {
	if s := d.primary(now, silence); s != nil {
		return s
	}
	var found *delegate
	for _, s := range d.delegates {
		if s.Resigned && now-s.lastHeard < silence && (found == nil || s.lastHeard > found.lastHeard) {
			found = s
		}
	}
	return found
}

// demand is what the delegate stated of a team's demand in its domain, in requests per second. It fades once a delegate that
// stops being one has fallen silent.
func (s *delegate) demand(now time.Duration, team uint32) float64 {
	stated := s.demandReport.perSecond(team)
	if silent := now - s.lastHeard; s.Resigned && silent > heartbeatInterval {
		return share.Decayed(stated, silent-heartbeatInterval)
	}
	return stated
}

// domainNames returns the names of the other failure domains that were heard of, in order. The caller holds f.mu.
func (f *fleet) domainNames() []string { return slices.Sorted(maps.Keys(f.domains)) }

// domainTimeout is the time without a summary after which a failure domain is left out. The caller holds f.mu.
func (f *fleet) domainTimeout(failureDomain string) time.Duration {
	if f.host.settings.Regions[failureDomain] == f.host.settings.Region || f.heardHosts() < largeFleet {
		return hostTimeout
	}
	return hostTimeout + crossRegionTimeout
}

// heardHosts is the number of hosts that were heard of. The caller holds f.mu.
func (f *fleet) heardHosts() int {
	n := 1 + len(f.peers)
	for _, d := range f.domains {
		most := 0
		for _, s := range d.delegates {
			most = max(most, int(s.LiveHosts))
		}
		n += most
	}
	return n
}

// domainHosts describes the hosts of the own failure domain that live, this one included. The caller holds f.mu.
func (f *fleet) domainHosts(now time.Duration) []delegates.Host {
	var hosts []delegates.Host
	if own := f.host; !own.draining.Load() {
		hosts = append(hosts, delegates.Host{Name: own.settings.Host, Ready: own.ready(), Store: own.storeState()})
	}
	for name, p := range f.peers {
		if p.FailureDomain == f.host.settings.FailureDomain && f.alive(p, now) {
			hosts = append(hosts, delegates.Host{Name: name, Ready: p.State == Ready, Store: p.reportedStore(now)})
		}
	}
	return hosts
}

// reportedStore is what the host knows of the reportedStore. A host that is silent for a while is not followed, though it may live.
func (p *peer) reportedStore(now time.Duration) watchers.StoreAccess {
	if now-p.lastHeard >= watcherTimeout {
		return watchers.Unreachable
	}
	return p.Store
}

// isDelegate reports whether this host is a delegate of its failure domain.
func (f *fleet) isDelegate(now time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Contains(delegates.Choose(f.domainHosts(now)), f.host.settings.Host)
}

// listedHosts returns the hosts of the own failure domain that others know by name. The caller holds f.mu.
func (f *fleet) listedHosts(now time.Duration) (all []Listed, hosts int) {
	own := f.domainHosts(now)
	for _, name := range delegates.Advertised(own) {
		if name == f.host.settings.Host {
			self, _ := netip.ParseAddrPort(f.host.settings.PeerAddress)
			all = append(all, Listed{Host: name, State: f.host.state(), CallerAddr: f.host.settings.CallerAddress, PeerAddr: self, Store: f.host.storeState()})
			continue
		}
		p := f.peers[name]
		all = append(all, Listed{Host: name, State: p.State, CallerAddr: p.CallerAddr, PeerAddr: p.address, Store: p.reportedStore(now)})
	}
	return all, len(own)
}

// isPrimaryDelegate reports whether this host is the delegate that its failure domain believes.
func (f *fleet) isPrimaryDelegate(now time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	chosen := delegates.Choose(f.domainHosts(now))
	return len(chosen) > 0 && chosen[0] == f.host.settings.Host
}
