package entry

import (
	"slices"
	"time"

	"vanillatally/core/delegates"
	"vanillatally/core/placement"
	"vanillatally/core/share"
	"vanillatally/core/watchers"
)

// member is another host that lives, as this host knows it.
type member struct {
	Listed
	failureDomain, region string
}

// alive reports whether the host was heard from lately and does not leave. The caller holds f.mu.
func (f *fleet) alive(p *peer, now time.Duration) bool {
	return now-p.lastHeard < hostTimeout && p.State != Leaving
}

// members returns the other hosts that live: all that were heard from directly, and those that other failure domains list.
// The caller holds f.mu.
func (f *fleet) members(now time.Duration) []member {
	all := make([]member, 0, len(f.peers))
	named := make(map[string]bool, len(f.peers))
	for name, p := range f.peers {
		if f.alive(p, now) {
			named[name] = true
			all = append(all, member{
				Listed:        Listed{Host: name, State: p.State, CallerAddr: p.CallerAddr, PeerAddr: p.address, Store: p.reportedStore(now)},
				failureDomain: p.FailureDomain, region: p.region,
			})
		}
	}
	for name, d := range f.domains {
		s := d.primary(now, f.domainTimeout(name))
		if s == nil {
			continue
		}
		for _, listed := range s.Listed {
			if !named[listed.Host] {
				named[listed.Host] = true
				if now-s.lastHeard >= watcherTimeout+f.domainTimeout(name)-hostTimeout {
					listed.Store = watchers.Unreachable
				}
				all = append(all, member{Listed: listed, failureDomain: name, region: f.host.settings.Regions[name]})
			}
		}
	}
	return all
}

// liveHosts returns the number of liveHosts that live, this one included.
func (f *fleet) liveHosts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.countLiveHosts(f.host.now())
}

// countLiveHosts is the number of hosts that live. The caller holds f.mu.
func (f *fleet) countLiveHosts(now time.Duration) int {
	n, direct := 1, map[string]int{}
	for _, p := range f.peers {
		if f.alive(p, now) {
			direct[p.FailureDomain]++
		}
	}
	for name, d := range f.domains {
		if s := d.primary(now, f.domainTimeout(name)); s != nil {
			direct[name] = int(s.LiveHosts)
		}
	}
	for _, hosts := range direct {
		n += hosts
	}
	return n
}

// possibleHosts returns the number of hosts that may be running: those heard from and those that were not yet.
func (f *fleet) possibleHosts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.heardHosts() + len(f.unheardAddresses)
}

// domainBusyHosts returns the number of hosts of the own failure domain that get requests. This host counts as one, since only the
// admission of its requests asks. The caller holds f.mu.
func (f *fleet) domainBusyHosts(now time.Duration) int {
	busy := 1
	for _, p := range f.peers {
		if p.busy() && now-p.lastHeard < hostTimeout && p.FailureDomain == f.host.settings.FailureDomain {
			busy++
		}
	}
	return busy
}

// busy reports whether the host gets requests.
func (p *peer) busy() bool { return len(p.Demand) > 0 || p.demandReport.partCount > 0 }

// demand sums up what the other hosts see of a team's demand, in requests per second. busy is the number of hosts that get
// requests, this one included.
func (f *fleet) demand(now time.Duration, team uint32) (perSecond float64, busy int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	own := f.host.settings.FailureDomain
	spoken := 0.0
	busy = f.domainBusyHosts(now)
	for name, d := range f.domains {
		if s := d.demandSource(now, f.domainTimeout(name)); s != nil {
			spoken += s.demand(now, team)
			busy += int(s.BusyHosts)
		}
	}
	for _, r := range f.outsideDemand {
		if now-r.lastHeard < hostTimeout+idleDemandTicks*heartbeatInterval {
			// Delegates differ by what has not reached them yet.
			spoken = max(spoken, r.perSecond(team))
		}
	}
	for _, p := range f.peers {
		if p.FailureDomain == own || f.domains[p.FailureDomain] == nil {
			perSecond += f.reportedDemand(p, now, team)
		}
	}
	return perSecond + spoken, busy
}

// reportedDemand is what a host stated of a team's demand, in requests per second. A leaving host still admits the requests on
// its open connections; once it falls silent its last statement fades as its demand would. The caller holds f.mu.
func (f *fleet) reportedDemand(p *peer, now time.Duration, team uint32) float64 {
	silent := now - p.lastHeard
	if silent >= hostTimeout {
		return 0
	}
	stated := float64(p.Demand[team])/demandScale + p.demandReport.perSecond(team)
	if p.State == Leaving && silent > heartbeatInterval {
		stated = share.Decayed(stated, silent-heartbeatInterval)
	}
	return stated
}

// ownsServer reports whether this host is the one of its region's hosts, or of all hosts when the region has none, that
// alone may send to a server. Only listed hosts are owners, since all hosts have to agree on them.
func (f *fleet) ownsServer(s *server) bool {
	now := f.host.now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if now < membershipSettleTime && len(f.unheardAddresses) > 0 {
		// Another host may be the owner, which this one has not heard yet.
		return false
	}
	self := f.host.settings
	own := delegates.Advertised(f.domainHosts(now))
	if !slices.Contains(own, self.Host) && len(own) > 0 {
		return false
	}
	best, bestWeight, bestNear := self.Host, placement.RendezvousWeight(s.hash, placement.Hash(self.Host)), self.Region == s.Region
	for _, m := range f.members(now) {
		if m.State != Ready || m.failureDomain == self.FailureDomain && !slices.Contains(own, m.Host) {
			continue
		}
		near, weight := m.region == s.Region, placement.RendezvousWeight(s.hash, placement.Hash(m.Host))
		if near && !bestNear || near == bestNear && weight > bestWeight {
			best, bestWeight, bestNear = m.Host, weight, near
		}
	}
	return best == self.Host
}

// isLeader reports whether this host has the lowest name of those that are ready.
func (f *fleet) isLeader() bool {
	now := f.host.now()
	f.mu.Lock()
	defer f.mu.Unlock()
	return !slices.ContainsFunc(f.members(now), func(m member) bool { return m.State == Ready && m.Host < f.host.settings.Host })
}

// PeersReachingStore returns the peer addresses of the hosts that reach the store, those of this host's region first.
func (h *Host) PeersReachingStore() []string {
	now := h.now()
	var near, far []string
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	for _, m := range h.fleet.members(now) {
		switch {
		case m.Store != watchers.Reachable:
		case m.region == h.settings.Region:
			near = append(near, m.PeerAddr.String())
		default:
			far = append(far, m.PeerAddr.String())
		}
	}
	return append(near, far...)
}

// minDomainHosts is the number of ready hosts of a failure domain from which its callers are sent to them alone.
const minDomainHosts = 3

// lookup returns the caller addresses of the ready hosts of a failure domain; when it has few, those of its region, and when
// that has none, of all. It returns at most as many as the settings allow.
func (f *fleet) lookup(region, failureDomain string) []string {
	now := f.host.now()
	var domain, near, all []string
	add := func(inRegion, inDomain, address string) {
		all = append(all, address)
		if inRegion == region {
			near = append(near, address)
		}
		if inDomain == failureDomain {
			domain = append(domain, address)
		}
	}
	if f.host.ready() {
		add(f.host.settings.Region, f.host.settings.FailureDomain, f.host.settings.CallerAddress)
	}
	f.mu.Lock()
	for _, m := range f.members(now) {
		if m.State == Ready {
			add(m.region, m.failureDomain, m.CallerAddr)
		}
	}
	f.mu.Unlock()
	found := all
	if len(domain) >= minDomainHosts {
		found = domain
	} else if len(near) > 0 {
		found = near
	}
	slices.Sort(found)
	return found[:min(len(found), int(f.host.limits.Load().LookupHosts))]
}
