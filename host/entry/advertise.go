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

// advertiseDomain tells the other failure domains of the own one, and the hosts of the own one of the others, if this host is a delegate.
func (f *fleet) advertiseDomain(now time.Duration, crashes []Crash) {
	ends := f.host.draining.Load()
	delegated := f.isDelegate(now)
	trials := f.rolloutPackets()
	f.mu.Lock()
	if ends {
		delegated = f.wasDelegate
	}
	f.wasDelegate = delegated
	if !delegated {
		f.mu.Unlock()
		return
	}
	f.number++
	summary, first := f.domainSummary(now)
	summary.Resigned, summary.Crashes = ends, crashes
	targets := f.otherDelegatesDue(now)
	packets := append(f.domainPackets(now, summary, first), trials...)
	inside, outside := f.outsideDemandTargets(now), demandPackets(summary.Origin, scopeOtherDomains, f.sumOutsideDemand(now))
	rests := !first && !ends && len(crashes) == 0 && f.ticks%secondaryTicks != 0
	introduces := first && (f.ticks%introductionTicks == 0 || now < startupIntroductions)
	f.mu.Unlock()
	if rests {
		// The other delegate is believed until it falls silent.
		packets, outside = trials, nil
	}
	for _, packet := range packets {
		f.sendPacket(packet, targets)
	}
	if ends {
		return
	}
	for _, packet := range outside {
		f.sendPacket(packet, inside)
	}
	if introduces {
		f.introduceRandomPair(now)
	}
}

// domainSummary describes the own failure domain; first is set when this host is the delegate that is believed. The caller holds f.mu.
func (f *fleet) domainSummary(now time.Duration) (s *DomainSummary, first bool) {
	s = &DomainSummary{Origin: f.origin()}
	listed, hosts := f.listedHosts(now)
	s.Listed, s.LiveHosts = listed, uint16(min(hosts, math.MaxUint16))
	s.BusyHosts = uint16(min(f.domainBusyHosts(now), math.MaxUint16))
	f.addNewestRevisions(now, s)
	return s, len(listed) > 0 && listed[0].Host == s.Host
}

// domainPackets holds the summary and the demand of the own failure domain. The caller holds f.mu.
func (f *fleet) domainPackets(now time.Duration, s *DomainSummary, first bool) []Packet {
	demand := f.sumDomainDemand(now)
	packets := []Packet{{DomainSummary: s}}
	if len(demand) <= maxHeartbeatTeams {
		s.DemandComplete, s.Demand = true, demand
		return packets
	}
	if first || f.ticks%idleDemandTicks == 0 {
		packets = append(packets, demandPackets(s.Origin, scopeDomain, demand)...)
	}
	return packets
}

// addNewestRevisions puts the addNewestRevisions objects that a host of the domain knows into the summary. The caller holds f.mu.
func (f *fleet) addNewestRevisions(now time.Duration, s *DomainSummary) {
	state := func(host string, digests Digests, revisions Revisions) {
		for kind := range kindCount {
			if digests[kind] != 0 && revisions[kind] >= s.Revisions[kind] {
				s.FreshestHost, s.Digests[kind], s.Revisions[kind] = host, digests[kind], revisions[kind]
			}
		}
	}
	if f.host.storeState() != watchers.Unknown {
		r := f.host.stalenessDetector
		r.mu.Lock()
		state(f.host.settings.Host, r.digests, r.revisions)
		r.mu.Unlock()
	}
	for name, p := range f.peers {
		if p.FailureDomain == s.FailureDomain && f.alive(p, now) {
			state(name, p.Digests, p.Revisions)
		}
	}
}

// otherDelegatesDue returns the addresses of the delegates of the other failure domains that are told in this tick. The
// caller holds f.mu.
func (f *fleet) otherDelegatesDue(now time.Duration) (addresses []netip.AddrPort) {
	many := f.heardHosts() >= largeFleet
	own := f.host.settings
	reached := map[string]bool{own.FailureDomain: true, "": true}
	for _, name := range f.domainNames() {
		d := f.domains[name]
		s := d.primary(now, f.domainTimeout(name))
		reached[name] = s != nil
		if s == nil || many && own.Regions[name] != own.Region && f.ticks%crossRegionTicks != 0 {
			continue
		}
		addresses = append(addresses, s.delegateAddresses()...)
	}
	if f.ticks%silentHostTicks == 1 {
		addresses = append(addresses, f.unreachedAddresses(reached)...)
	}
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	return slices.Compact(addresses)
}

// unreachedAddresses returns the addresses at which hosts of the failure domains that are not reached may be. The caller holds f.mu.
func (f *fleet) unreachedAddresses(reached map[string]bool) (addresses []netip.AddrPort) {
	for _, p := range f.peers {
		if !reached[p.FailureDomain] {
			addresses = append(addresses, p.address)
		}
	}
	for address, name := range f.unheardAddresses {
		if !reached[name] {
			addresses = append(addresses, address)
		}
	}
	for name, d := range f.domains {
		if reached[name] {
			continue
		}
		for _, s := range d.delegates {
			for _, listed := range s.Listed {
				addresses = append(addresses, listed.PeerAddr)
			}
		}
	}
	return addresses
}

// domainPeerAddresses returns the addresses of the hosts of the own failure domain that live. The caller holds f.mu.
func (f *fleet) domainPeerAddresses(now time.Duration) (addresses []netip.AddrPort) {
	for _, p := range f.peers {
		if p.FailureDomain == f.host.settings.FailureDomain && now-p.lastHeard < hostTimeout {
			addresses = append(addresses, p.address)
		}
	}
	return addresses
}

// outsideDemandTargets returns the addresses of the hosts of the own failure domain that are told of the demand elsewhere in this tick:
// those with requests each time. The caller holds f.mu.
func (f *fleet) outsideDemandTargets(now time.Duration) (addresses []netip.AddrPort) {
	for name, p := range f.peers {
		if p.FailureDomain != f.host.settings.FailureDomain || now-p.lastHeard >= hostTimeout {
			continue
		}
		if p.busy() || (f.ticks+int(hash32(name)))%idleDemandTicks == 0 {
			addresses = append(addresses, p.address)
		}
	}
	return addresses
}

// knownSummaries returns what is known of the other failure domains but one. The caller holds f.mu.
func (f *fleet) knownSummaries(now time.Duration, but string) (packets []Packet) {
	for _, name := range f.domainNames() {
		if s := f.domains[name].primary(now, f.domainTimeout(name)); s != nil && name != but {
			// The next summary replaces the one in s.
			summary := s.DomainSummary
			packets = append(packets, Packet{DomainSummary: &summary})
		}
	}
	return packets
}

// introduceDomain tells a failure domain that is new to this host of the others.
func (f *fleet) introduceDomain(now time.Duration, to *DomainSummary) {
	f.mu.Lock()
	known := f.knownSummaries(now, to.FailureDomain)
	f.mu.Unlock()
	for _, packet := range known {
		f.sendPacket(packet, to.delegateAddresses())
	}
}

// introduceRandomPair tells one failure domain of another one, so that no two of them stay unknown to each other.
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

// delegateAddresses returns the peer addresses of the delegateAddresses of the domain.
func (s *DomainSummary) delegateAddresses() (addresses []netip.AddrPort) {
	for _, listed := range s.Listed[:min(len(s.Listed), delegates.MaxDelegates)] {
		addresses = append(addresses, listed.PeerAddr)
	}
	return addresses
}

// rolloutPackets is what this host saw of rollouts.
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
		if s := f.domains[name].primary(now, f.domainTimeout(name)); s != nil {
			addresses = append(addresses, s.delegateAddresses()...)
		}
	}
	return addresses
}
