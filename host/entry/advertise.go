package entry

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"vanillatally/core/delegates"
	"vanillatally/core/watchers"
)

// advertiseDomain lets a delegate send the summary of its failure domain to the other domains, and the demand in the other
// domains to the hosts of its own. Other hosts do nothing.
func (f *fleet) advertiseDomain(now time.Duration, crashes []Crash) {
	resigning := f.host.draining.Load()
	isDelegate := f.isDelegate(now)
	rollouts := f.rolloutPackets()
	f.mu.Lock()
	if resigning {
		isDelegate = f.wasDelegate
	}
	f.wasDelegate = isDelegate
	if !isDelegate {
		f.mu.Unlock()
		return
	}
	f.number++
	summary, isPrimary := f.domainSummary(now)
	summary.Resigned, summary.Crashes = resigning, crashes
	targets := f.otherDelegatesDue(now)
	packets := append(f.domainPackets(now, summary, isPrimary), rollouts...)
	demandTargets, demandUpdates := f.outsideDemandTargets(now),
		demandPackets(summary.Origin, scopeOtherDomains, f.sumOutsideDemand(now))
	skipSummary := !isPrimary && !resigning && !f.urgent && len(crashes) == 0 && f.rounds%secondaryRounds != 0
	introduce := isPrimary && (f.rounds%introductionRounds == 0 || now < startupIntroductions)
	f.mu.Unlock()
	if skipSummary {
		// The receivers use the primary delegate's messages until it times out.
		packets, demandUpdates = rollouts, nil
	}
	for _, packet := range packets {
		f.sendPacket(packet, targets)
	}
	if resigning {
		return
	}
	for _, packet := range demandUpdates {
		f.sendPacket(packet, demandTargets)
	}
	if introduce {
		f.introduceRandomPair(now)
	}
}

// domainSummary describes this host's failure domain. isPrimary is set when this host is its primary delegate. The caller
// holds f.mu.
func (f *fleet) domainSummary(now time.Duration) (summary *DomainSummary, isPrimary bool) {
	summary = &DomainSummary{Origin: f.origin()}
	listed, hosts := f.listedHosts(now)
	summary.Listed, summary.LiveHosts = listed, uint16(min(hosts, math.MaxUint16))
	summary.BusyHosts = uint16(min(f.domainBusyHosts(now), math.MaxUint16))
	f.addNewestRevisions(now, summary)
	return summary, len(listed) > 0 && listed[0].Host == summary.Host
}

// domainPackets returns the messages with the summary and the demand of this host's failure domain. The caller holds f.mu.
func (f *fleet) domainPackets(now time.Duration, summary *DomainSummary, isPrimary bool) []Packet {
	demand := f.sumDomainDemand(now)
	packets := []Packet{{DomainSummary: summary, Capacities: f.capacitiesOf(summary.Listed)}}
	if len(demand) <= maxHeartbeatTeams {
		summary.DemandComplete, summary.Demand = true, demand
		return packets
	}
	if isPrimary || f.rounds%idleDemandRounds == 0 {
		packets = append(packets, demandPackets(summary.Origin, scopeDomain, demand)...)
	}
	return packets
}

// addNewestRevisions adds the newest revision of each kind of objects that a host of the domain has seen to the summary. The
// caller holds f.mu.
func (f *fleet) addNewestRevisions(now time.Duration, summary *DomainSummary) {
	addHost := func(host string, digests Digests, revisions Revisions) {
		for kind := range kindCount {
			if digests[kind] != 0 && revisions[kind] >= summary.Revisions[kind] {
				summary.FreshestHost, summary.Digests[kind], summary.Revisions[kind] = host, digests[kind], revisions[kind]
			}
		}
	}
	if f.host.storeState() != watchers.Unknown {
		r := f.host.stalenessDetector
		r.mu.Lock()
		addHost(f.host.settings.Host, r.digests, r.revisions)
		r.mu.Unlock()
	}
	for name, p := range f.peers {
		if p.FailureDomain == summary.FailureDomain && f.alive(p, now) {
			addHost(name, p.Digests, p.Revisions)
		}
	}
}

// otherDelegatesDue returns the addresses of the delegates of other failure domains that get a message in this round. In a
// large fleet, delegates in other regions get one every crossRegionRounds rounds, unless the round is urgent. Every
// unresponsiveHostRounds rounds, the known addresses in domains without a live delegate are added. The caller holds f.mu.
func (f *fleet) otherDelegatesDue(now time.Duration) (addresses []netip.AddrPort) {
	isLarge := f.knownHosts() >= largeFleet
	own := f.host.settings
	reached := map[string]bool{own.FailureDomain: true, "": true}
	for _, name := range f.domainNames() {
		d := f.domains[name]
		primary := d.primary(now, f.domainTimeout(name))
		reached[name] = primary != nil
		if primary == nil || isLarge && !f.urgent && own.Regions[name] != own.Region && f.rounds%crossRegionRounds != 0 {
			continue
		}
		addresses = append(addresses, primary.delegateAddresses()...)
	}
	if f.rounds%unresponsiveHostRounds == 1 {
		addresses = append(addresses, f.unreachedAddresses(reached)...)
	}
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	return slices.Compact(addresses)
}

// unreachedAddresses returns all known addresses of hosts in failure domains that are not in reached. The caller holds f.mu.
func (f *fleet) unreachedAddresses(reached map[string]bool) (addresses []netip.AddrPort) {
	for _, p := range f.peers {
		if !reached[p.FailureDomain] {
			addresses = append(addresses, p.address)
		}
	}
	for address, name := range f.unconfirmedAddresses {
		if !reached[name] {
			addresses = append(addresses, address)
		}
	}
	for name, d := range f.domains {
		if reached[name] {
			continue
		}
		for _, record := range d.delegates {
			for _, listed := range record.Listed {
				addresses = append(addresses, listed.PeerAddr)
			}
		}
	}
	return addresses
}

// domainPeerAddresses returns the addresses of the live hosts of this host's failure domain. The caller holds f.mu.
func (f *fleet) domainPeerAddresses(now time.Duration) (addresses []netip.AddrPort) {
	for _, p := range f.peers {
		if p.FailureDomain == f.host.settings.FailureDomain && now-p.lastSeen < hostTimeout {
			addresses = append(addresses, p.address)
		}
	}
	return addresses
}

// outsideDemandTargets returns the addresses of the hosts of this host's failure domain that get the demand in other domains
// in this round: hosts with requests get it in each round, others every idleDemandRounds rounds. The caller holds f.mu.
func (f *fleet) outsideDemandTargets(now time.Duration) (addresses []netip.AddrPort) {
	for name, p := range f.peers {
		if p.FailureDomain != f.host.settings.FailureDomain || now-p.lastSeen >= hostTimeout {
			continue
		}
		if p.busy() || (f.rounds+int(hash32(name)))%idleDemandRounds == 0 {
			addresses = append(addresses, p.address)
		}
	}
	return addresses
}

// knownSummaries returns the primary delegates' summaries of the other failure domains, except one. The caller holds f.mu.
func (f *fleet) knownSummaries(now time.Duration, except string) (packets []Packet) {
	for _, name := range f.domainNames() {
		if primary := f.domains[name].primary(now, f.domainTimeout(name)); primary != nil && name != except {
			// Copy it, since the next summary overwrites the stored one.
			summary := primary.DomainSummary
			packets = append(packets, Packet{DomainSummary: &summary, Capacities: primary.capacities})
		}
	}
	return packets
}

// introduceDomain sends the summaries of the other failure domains to the delegates of a domain that is new to this host.
func (f *fleet) introduceDomain(now time.Duration, to *DomainSummary) {
	f.mu.Lock()
	known := f.knownSummaries(now, to.FailureDomain)
	f.mu.Unlock()
	for _, packet := range known {
		f.sendPacket(packet, to.delegateAddresses())
	}
}

// introduceRandomPair sends the summary of a random failure domain to the delegates of another one, so that no two domains
// stay unknown to each other.
func (f *fleet) introduceRandomPair(now time.Duration) {
	f.mu.Lock()
	known := f.knownSummaries(now, "")
	f.mu.Unlock()
	if len(known) < 2 {
		return
	}
	first := rand.IntN(len(known))
	second := (first + 1 + rand.IntN(len(known)-1)) % len(known)
	f.sendPacket(known[first], known[second].DomainSummary.delegateAddresses())
}

// delegateAddresses returns the peer addresses of the domain's delegates.
func (s *DomainSummary) delegateAddresses() (addresses []netip.AddrPort) {
	for _, listed := range s.Listed[:min(len(s.Listed), delegates.MaxDelegates)] {
		addresses = append(addresses, listed.PeerAddr)
	}
	return addresses
}

// rolloutPackets returns the messages with this host's reports on running rollouts.
func (f *fleet) rolloutPackets() (packets []Packet) {
	f.mu.Lock()
	origin := f.origin()
	f.mu.Unlock()
	for _, report := range f.host.rolloutReports() {
		packets = append(packets, Packet{Rollout: &RolloutMessage{Origin: origin, Report: report}})
	}
	return packets
}

// otherDelegates returns the addresses of all delegates of the other failure domains. The caller holds f.mu.
func (f *fleet) otherDelegates(now time.Duration) (addresses []netip.AddrPort) {
	for _, name := range f.domainNames() {
		if primary := f.domains[name].primary(now, f.domainTimeout(name)); primary != nil {
			addresses = append(addresses, primary.delegateAddresses()...)
		}
	}
	return addresses
}
