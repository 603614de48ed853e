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

// advertise tells the other failure domains of the own one, and the hosts of the own one of the others, if this host is a delegate.
func (f *fleet) advertise(now time.Duration, crashes []Crash) {
	ends := f.host.draining.Load()
	delegated := f.isDelegate(now)
	trials := f.trialNews()
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
	summary, first := f.summary(now)
	summary.Ends, summary.Crashes = ends, crashes
	targets := f.delegatesElsewhere(now)
	packets := append(f.domainPackets(now, summary, first), trials...)
	inside, outside := f.insiders(now), ratePackets(summary.Origin, elsewhere, f.ratesElsewhere(now))
	rests := !first && !ends && len(crashes) == 0 && f.ticks%secondEvery != 0
	introduces := first && (f.ticks%introduceEvery == 0 || now < introducing)
	f.mu.Unlock()
	if rests {
		// The other delegate is believed until it falls silent.
		packets, outside = trials, nil
	}
	for _, packet := range packets {
		f.sendTo(packet, targets)
	}
	if ends {
		return
	}
	for _, packet := range outside {
		f.sendTo(packet, inside)
	}
	if introduces {
		f.introducePair(now)
	}
}

// summary describes the own failure domain; first is set when this host is the delegate that is believed. The caller holds f.mu.
func (f *fleet) summary(now time.Duration) (s *Summary, first bool) {
	s = &Summary{Origin: f.origin()}
	listed, hosts := f.listed(now)
	s.Listed, s.Hosts = listed, uint16(min(hosts, math.MaxUint16))
	s.Busy = uint16(min(f.ownBusy(now), math.MaxUint16))
	f.newest(now, s)
	return s, len(listed) > 0 && listed[0].Host == s.Host
}

// domainPackets holds the summary and the demand of the own failure domain. The caller holds f.mu.
func (f *fleet) domainPackets(now time.Duration, s *Summary, first bool) []Packet {
	demand := f.ownRates(now)
	packets := []Packet{{Summary: s}}
	if len(demand) <= maxDemands {
		s.Whole, s.Demand = true, demand
		return packets
	}
	if first || f.ticks%idleEvery == 0 {
		packets = append(packets, ratePackets(s.Origin, ofDomain, demand)...)
	}
	return packets
}

// newest puts the newest objects that a host of the domain knows into the summary. The caller holds f.mu.
func (f *fleet) newest(now time.Duration, s *Summary) {
	state := func(host string, digests Digests, revisions Revisions) {
		for kind := range kindCount {
			if digests[kind] != 0 && revisions[kind] >= s.Revisions[kind] {
				s.NewerAt, s.Digests[kind], s.Revisions[kind] = host, digests[kind], revisions[kind]
			}
		}
	}
	if f.host.storeState() != watchers.Unknown {
		r := f.host.refresher
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

// delegatesElsewhere returns the addresses of the delegates of the other failure domains that are told in this tick. The
// caller holds f.mu.
func (f *fleet) delegatesElsewhere(now time.Duration) (addresses []netip.AddrPort) {
	many := f.size() >= manyHosts
	own := f.host.settings
	reached := map[string]bool{own.FailureDomain: true, "": true}
	for _, name := range f.domainNames() {
		d := f.domains[name]
		s := d.primary(now, f.domainSilence(name))
		reached[name] = s != nil
		if s == nil || many && own.Regions[name] != own.Region && f.ticks%farEvery != 0 {
			continue
		}
		addresses = append(addresses, s.delegates()...)
	}
	if f.ticks%silentEvery == 1 {
		addresses = append(addresses, f.unreached(reached)...)
	}
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	return slices.Compact(addresses)
}

// unreached returns the addresses at which hosts of the failure domains that are not reached may be. The caller holds f.mu.
func (f *fleet) unreached(reached map[string]bool) (addresses []netip.AddrPort) {
	for _, p := range f.peers {
		if !reached[p.FailureDomain] {
			addresses = append(addresses, p.address)
		}
	}
	for address, name := range f.contacts {
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
				addresses = append(addresses, listed.Peer)
			}
		}
	}
	return addresses
}

// neighbours returns the addresses of the hosts of the own failure domain that live. The caller holds f.mu.
func (f *fleet) neighbours(now time.Duration) (addresses []netip.AddrPort) {
	for _, p := range f.peers {
		if p.FailureDomain == f.host.settings.FailureDomain && now-p.heardAt < silentAfter {
			addresses = append(addresses, p.address)
		}
	}
	return addresses
}

// insiders returns the addresses of the hosts of the own failure domain that are told of the demand elsewhere in this tick:
// those with requests each time. The caller holds f.mu.
func (f *fleet) insiders(now time.Duration) (addresses []netip.AddrPort) {
	for name, p := range f.peers {
		if p.FailureDomain != f.host.settings.FailureDomain || now-p.heardAt >= silentAfter {
			continue
		}
		if p.busy() || (f.ticks+int(shortHash(name)))%idleEvery == 0 {
			addresses = append(addresses, p.address)
		}
	}
	return addresses
}

// summaries returns what is known of the other failure domains but one. The caller holds f.mu.
func (f *fleet) summaries(now time.Duration, but string) (packets []Packet) {
	for _, name := range f.domainNames() {
		if s := f.domains[name].primary(now, f.domainSilence(name)); s != nil && name != but {
			// The next summary replaces the one in s.
			summary := s.Summary
			packets = append(packets, Packet{Summary: &summary})
		}
	}
	return packets
}

// introduce tells a failure domain that is new to this host of the others.
func (f *fleet) introduce(now time.Duration, to *Summary) {
	f.mu.Lock()
	known := f.summaries(now, to.FailureDomain)
	f.mu.Unlock()
	for _, packet := range known {
		f.sendTo(packet, to.delegates())
	}
}

// introducePair tells one failure domain of another one, so that no two of them stay unknown to each other.
func (f *fleet) introducePair(now time.Duration) {
	f.mu.Lock()
	known := f.summaries(now, "")
	f.mu.Unlock()
	if len(known) < 2 {
		return
	}
	first := rand.IntN(len(known))
	second := (first + 1 + rand.IntN(len(known)-1)) % len(known)
	f.sendTo(known[first], known[second].Summary.delegates())
}

// delegates returns the peer addresses of the delegates of the domain.
func (s *Summary) delegates() (addresses []netip.AddrPort) {
	for _, listed := range s.Listed[:min(len(s.Listed), delegates.MaxDelegates)] {
		addresses = append(addresses, listed.Peer)
	}
	return addresses
}

// trialNews is what this host saw of rollouts.
func (f *fleet) trialNews() (packets []Packet) {
	f.mu.Lock()
	origin := f.origin()
	f.mu.Unlock()
	for _, report := range f.host.trialReports() {
		packets = append(packets, Packet{Trial: &TrialNews{Origin: origin, Report: report}})
	}
	return packets
}

// foreignDelegates returns the addresses of all delegates of the other failure domains. The caller holds f.mu.
func (f *fleet) foreignDelegates(now time.Duration) (addresses []netip.AddrPort) {
	for _, name := range f.domainNames() {
		if s := f.domains[name].primary(now, f.domainSilence(name)); s != nil {
			addresses = append(addresses, s.delegates()...)
		}
	}
	return addresses
}
