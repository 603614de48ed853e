package entry

import (
	"slices"
	"time"

	"vanillatally/core/delegates"
	"vanillatally/core/dispatch"
	"vanillatally/core/placement"
	"vanillatally/core/share"
	"vanillatally/core/watchers"
)

// member is another live host as this host knows it.
type member struct {
	Listed
	failureDomain, region string
	capacity              dispatch.Capacity
}

// alive reports whether a heartbeat of the host was received within hostTimeout and it is not leaving. The caller holds f.mu.
func (f *fleet) alive(p *peer, now time.Duration) bool {
	return now-p.lastSeen < hostTimeout && p.State != Leaving
}

// members returns the other live hosts that are known by name: those whose heartbeats are received, and those that the
// delegates of other failure domains list. The caller holds f.mu.
func (f *fleet) members(now time.Duration) []member {
	all := make([]member, 0, len(f.peers))
	seen := make(map[string]bool, len(f.peers))
	for name, p := range f.peers {
		if f.alive(p, now) {
			seen[name] = true
			all = append(all, member{
				Listed: Listed{
					Host: name, State: p.State, CallerAddr: p.CallerAddr, PeerAddr: p.address, StoreAccess: p.reportedStore(now),
				},
				failureDomain: p.FailureDomain, region: p.region, capacity: p.capacity,
			})
		}
	}
	for name, d := range f.domains {
		primary := d.primary(now, f.domainTimeout(name))
		if primary == nil {
			continue
		}
		for i, listed := range primary.Listed {
			if !seen[listed.Host] {
				seen[listed.Host] = true
				if now-primary.lastSeen >= watcherTimeout+f.domainTimeout(name)-hostTimeout {
					listed.StoreAccess = watchers.Unreachable
				}
				all = append(all, member{
					Listed: listed, failureDomain: name, region: f.host.settings.Regions[name], capacity: primary.capacity(i),
				})
			}
		}
	}
	return all
}

// liveHosts returns the number of live hosts, including this one.
func (f *fleet) liveHosts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.countLiveHosts(f.host.now())
}

// countLiveHosts returns the number of live hosts, including this one. The caller holds f.mu.
func (f *fleet) countLiveHosts(now time.Duration) int {
	n, hostsByDomain := 1, map[string]int{}
	for _, p := range f.peers {
		if f.alive(p, now) {
			hostsByDomain[p.FailureDomain]++
		}
	}
	for name, d := range f.domains {
		if primary := d.primary(now, f.domainTimeout(name)); primary != nil {
			hostsByDomain[name] = int(primary.LiveHosts)
		}
	}
	for _, hosts := range hostsByDomain {
		n += hosts
	}
	return n
}

// possibleHosts returns the number of hosts that may be running: the known hosts, and one for each unconfirmed address.
func (f *fleet) possibleHosts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.knownHosts() + len(f.unconfirmedAddresses)
}

// reportLag returns the time within which a report of demand has reached most hosts: one round and, in a large fleet, the
// additional one between regions.
func (f *fleet) reportLag() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	rounds := 1
	if f.knownHosts() >= largeFleet {
		rounds = crossRegionRounds
	}
	return time.Duration(rounds) * (heartbeatInterval + heartbeatJitter)
}

// domainBusyHosts returns the number of hosts of this host's failure domain that get requests. This host always counts as
// one, since the number is used for the admission of its requests. The caller holds f.mu.
func (f *fleet) domainBusyHosts(now time.Duration) int {
	busy := 1
	for _, p := range f.peers {
		if p.busy() && now-p.lastSeen < hostTimeout && p.FailureDomain == f.host.settings.FailureDomain {
			busy++
		}
	}
	return busy
}

// busy reports whether the host gets requests.
func (p *peer) busy() bool { return len(p.Demand) > 0 || p.demandReport.partCount > 0 }

// demand returns the demand of a team at all other hosts, in requests per second, and the number of hosts that get requests,
// including this one.
func (f *fleet) demand(now time.Duration, team uint32) (perSecond float64, busy int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ownDomain := f.host.settings.FailureDomain
	outside := 0.0
	busy = f.domainBusyHosts(now)
	for name, d := range f.domains {
		if source := d.demandSource(now, f.domainTimeout(name)); source != nil {
			outside += source.demand(now, team)
			busy += int(source.BusyHosts)
		}
	}
	for _, report := range f.outsideDemand {
		if now-report.lastSeen < hostTimeout+idleDemandRounds*heartbeatInterval {
			// The delegates' sums differ by messages that have not reached one of them; use the larger one.
			outside = max(outside, report.perSecond(team))
		}
	}
	for _, p := range f.peers {
		if p.FailureDomain == ownDomain || f.domains[p.FailureDomain] == nil {
			perSecond += f.reportedDemand(p, now, team)
		}
	}
	return perSecond + outside, busy
}

// reportedDemand returns the demand of a team that a host reported, in requests per second. A leaving host still admits
// requests on its open connections; if it sends no more heartbeats, its last report decays as the demand itself would. The
// caller holds f.mu.
func (f *fleet) reportedDemand(p *peer, now time.Duration, team uint32) float64 {
	age := now - p.lastSeen
	if age >= hostTimeout {
		return 0
	}
	reported := float64(p.Demand[team])/demandScale + p.demandReport.perSecond(team)
	if p.State == Leaving && age > heartbeatInterval {
		reported = share.Decayed(reported, age-heartbeatInterval)
	}
	return reported
}

// ownsServer reports whether this host is the only one that may send requests to a cold server. The owner is chosen by
// rendezvous hashing among the ready hosts of the server's region, or among all ready hosts if the region has none. Only
// hosts that are listed to other failure domains can be owners, since all hosts have to agree on the owner.
func (f *fleet) ownsServer(s *server) bool {
	now := f.host.now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if now < membershipSettleTime && len(f.unconfirmedAddresses) > 0 {
		// The owner may be a host that this one has not discovered yet.
		return false
	}
	self := f.host.settings
	listed := delegates.Advertised(f.domainHosts(now))
	if !slices.Contains(listed, self.Host) && len(listed) > 0 {
		return false
	}
	best, bestWeight, bestNear := self.Host, placement.RendezvousWeight(s.hash, placement.Hash(self.Host)), self.Region == s.Region
	for _, m := range f.members(now) {
		if m.State != Ready || m.failureDomain == self.FailureDomain && !slices.Contains(listed, m.Host) {
			continue
		}
		near, weight := m.region == s.Region, placement.RendezvousWeight(s.hash, placement.Hash(m.Host))
		if near && !bestNear || near == bestNear && weight > bestWeight {
			best, bestWeight, bestNear = m.Host, weight, near
		}
	}
	return best == self.Host
}

// rankForServer returns this host's position among the hosts that may use the server's limit, or -1 if it may not. The first
// ones, preferred in number, are those that callers near the server are sent to; the other ready hosts follow. All hosts
// rank them by rendezvous hashing.
func (f *fleet) rankForServer(now time.Duration, s *server) (rank, preferred int) {
	self := f.host.settings
	near := f.lookup(s.Region, s.FailureDomain)
	ready := f.host.ready()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !ready || now < membershipSettleTime && len(f.unconfirmedAddresses) > 0 {
		// A host that this one has not discovered yet may use the limit.
		return -1, len(near)
	}
	weight := func(address string) uint64 { return placement.RendezvousWeight(s.hash, placement.Hash(address)) }
	ownNear, ownWeight := slices.Contains(near, self.CallerAddress), weight(self.CallerAddress)
	if !ownNear {
		rank = len(near)
	}
	for _, m := range f.members(now) {
		if m.State == Ready && slices.Contains(near, m.CallerAddr) == ownNear && weight(m.CallerAddr) > ownWeight {
			rank++
		}
	}
	return rank, len(near)
}

// isLeader reports whether this host has the lowest name of the ready hosts.
func (f *fleet) isLeader() bool {
	now := f.host.now()
	f.mu.Lock()
	defer f.mu.Unlock()
	return !slices.ContainsFunc(f.members(now), func(m member) bool {
		return m.State == Ready && m.Host < f.host.settings.Host
	})
}

// PeersReachingStore returns the peer addresses of the hosts that reach the store, those of this host's region first.
func (h *Host) PeersReachingStore() []string {
	now := h.now()
	var near, far []string
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	for _, m := range h.fleet.members(now) {
		switch {
		case m.StoreAccess != watchers.Reachable:
		case m.region == h.settings.Region:
			near = append(near, m.PeerAddr.String())
		default:
			far = append(far, m.PeerAddr.String())
		}
	}
	return append(near, far...)
}
