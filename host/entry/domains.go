package entry

import (
	"maps"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"vanillatally/core/delegates"
	"vanillatally/core/share"
	"vanillatally/core/watchers"
)

const (
	// manyHosts is the size of a fleet from which summaries go to other regions only each second tick: links between regions
	// carry few of the messages of a large fleet.
	manyHosts = 40
	farEvery  = 2
	// farSilence is added to silentAfter for domains of other regions then.
	farSilence = 1500 * time.Millisecond
	// idleEvery is the number of ticks between two messages about the demand of teams to hosts that need it less: those
	// without requests, and from the delegate that is not believed.
	idleEvery = 3
	// secondEvery is the number of ticks between two summaries of the delegate that is not believed.
	secondEvery = 2
	// introduceEvery is the number of ticks after which a delegate tells one other domain of another.
	introduceEvery = 8
	// introducing is the time after the start in which it does so each tick, since the whole fleet may have started.
	introducing = 8 * time.Second
)

// domain is another failure domain as its delegates describe it.
type domain struct {
	// speakers holds what each delegate told, by host; it has an entry for each that was heard within forgetAfter.
	speakers map[string]*speaker
}

// speaker is a delegate of another failure domain.
type speaker struct {
	Summary
	heardAt time.Duration
	rates   rates
}

// rates are the parts of the rates that one host stated.
type rates struct {
	Origin
	parts   map[uint8]map[uint32]uint32
	count   uint8
	heardAt time.Duration
}

// with takes in one part.
func (r *rates) with(now time.Duration, m *Rates) {
	if r.parts == nil || r.count != m.Parts || r.Started != m.Started {
		r.parts, r.count = map[uint8]map[uint32]uint32{}, m.Parts
	}
	r.Origin, r.heardAt = m.Origin, now
	r.parts[m.Part] = m.Demand
}

// of is the demand of a team in requests per second.
func (r *rates) of(team uint32) float64 {
	if r.count == 0 {
		return 0
	}
	return float64(r.parts[uint8(team%uint32(r.count))][team]) / rateScale
}

// speaker returns the first by name of the delegates that were heard lately, nil without one. All hosts believe the same one,
// so that two delegates which know different things do no harm.
func (d *domain) speaker(now, silence time.Duration) *speaker {
	var found *speaker
	for _, s := range d.speakers {
		if !s.Ends && now-s.heardAt < silence && (found == nil || s.Host < found.Host) {
			found = s
		}
	}
	return found
}

// rater returns the delegate whose rates count, nil without one: that which is believed, or else the last one that has stopped
// speaking. A domain whose only host leaves still admits the requests on its open connections.
func (d *domain) rater(now, silence time.Duration) *speaker {
	if s := d.speaker(now, silence); s != nil {
		return s
	}
	var found *speaker
	for _, s := range d.speakers {
		if s.Ends && now-s.heardAt < silence && (found == nil || s.heardAt > found.heardAt) {
			found = s
		}
	}
	return found
}

// demand is what the delegate stated of a team's demand in its domain, in requests per second. It fades once a delegate that
// stops speaking has fallen silent.
func (s *speaker) demand(now time.Duration, team uint32) float64 {
	stated := s.rates.of(team)
	if silent := now - s.heardAt; s.Ends && silent > tick {
		return share.Faded(stated, silent-tick)
	}
	return stated
}

// domainNames returns the names of the other failure domains that were heard of, in order. The caller holds f.mu.
func (f *fleet) domainNames() []string { return slices.Sorted(maps.Keys(f.domains)) }

// domainSilence is the time without a summary after which a failure domain is left out. The caller holds f.mu.
func (f *fleet) domainSilence(failureDomain string) time.Duration {
	if f.host.settings.Regions[failureDomain] == f.host.settings.Region || f.size() < manyHosts {
		return silentAfter
	}
	return silentAfter + farSilence
}

// size is the number of hosts that were heard of. The caller holds f.mu.
func (f *fleet) size() int {
	n := 1 + len(f.peers)
	for _, d := range f.domains {
		most := 0
		for _, s := range d.speakers {
			most = max(most, int(s.Hosts))
		}
		n += most
	}
	return n
}

// ownHosts describes the hosts of the own failure domain that live, this one included. The caller holds f.mu.
func (f *fleet) ownHosts(now time.Duration) []delegates.Host {
	var hosts []delegates.Host
	if own := f.host; !own.draining.Load() {
		hosts = append(hosts, delegates.Host{Name: own.settings.Host, Ready: own.ready(), Store: own.storeState()})
	}
	for name, p := range f.peers {
		if p.FailureDomain == f.host.settings.FailureDomain && f.alive(p, now) {
			hosts = append(hosts, delegates.Host{Name: name, Ready: p.State == Ready, Store: p.store(now)})
		}
	}
	return hosts
}

// store is what the host knows of the store. A host that is silent for a while is not followed, though it may live.
func (p *peer) store(now time.Duration) watchers.Store {
	if now-p.heardAt >= watcherSilence {
		return watchers.Away
	}
	return p.Store
}

// speaks reports whether this host is a delegate of its failure domain.
func (f *fleet) speaks(now time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Contains(delegates.Choose(f.ownHosts(now)), f.host.settings.Host)
}

// listed returns the hosts of the own failure domain that others know by name. The caller holds f.mu.
func (f *fleet) listed(now time.Duration) (all []Listed, hosts int) {
	own := f.ownHosts(now)
	for _, name := range delegates.List(own) {
		if name == f.host.settings.Host {
			self, _ := netip.ParseAddrPort(f.host.settings.PeerAddress)
			all = append(all, Listed{Host: name, State: f.host.state(), Caller: f.host.settings.CallerAddress, Peer: self, Store: f.host.storeState()})
			continue
		}
		p := f.peers[name]
		all = append(all, Listed{Host: name, State: p.State, Caller: p.Caller, Peer: p.address, Store: p.store(now)})
	}
	return all, len(own)
}

// speak tells the other failure domains of the own one, and the hosts of the own one of the others, if this host is a delegate.
func (f *fleet) speak(now time.Duration, crashes []Crash) {
	ends := f.host.draining.Load()
	speaks := f.speaks(now)
	trials := f.trialNews()
	f.mu.Lock()
	if ends {
		speaks = f.spoke
	}
	f.spoke = speaks
	if !speaks {
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
		f.introduceSome(now)
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
		for host, s := range d.speakers {
			if now-s.heardAt > forgetAfter {
				delete(d.speakers, host)
			}
		}
		s := d.speaker(now, f.domainSilence(name))
		reached[name] = s != nil
		if s == nil || many && own.Regions[name] != own.Region && f.ticks%farEvery != 0 {
			continue
		}
		addresses = append(addresses, s.delegates()...)
	}
	if f.ticks%silentEvery == 1 {
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
			for _, s := range d.speakers {
				for _, listed := range s.Listed {
					addresses = append(addresses, listed.Peer)
				}
			}
		}
	}
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	return slices.Compact(addresses)
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

// ownRates sums up the demand of teams in the own failure domain. The caller holds f.mu.
func (f *fleet) ownRates(now time.Duration) map[uint32]uint32 {
	sum := map[uint32]uint32{}
	for team, rate := range f.host.teams.told() {
		sum[team] += uint32(rate)
	}
	for _, p := range f.peers {
		if p.FailureDomain != f.host.settings.FailureDomain {
			continue
		}
		for team := range p.Demand {
			sum[team] += uint32(f.statedDemand(p, now, team) * rateScale)
		}
		for _, part := range p.rates.parts {
			for team := range part {
				sum[team] += uint32(f.statedDemand(p, now, team) * rateScale)
			}
		}
	}
	return sum
}

// ratesElsewhere sums up the demand of teams in the other failure domains, as their delegates told this host. The caller
// holds f.mu.
func (f *fleet) ratesElsewhere(now time.Duration) map[uint32]uint32 {
	sum := map[uint32]uint32{}
	for name, d := range f.domains {
		s := d.rater(now, f.domainSilence(name))
		if s == nil {
			continue
		}
		for _, part := range s.rates.parts {
			for team := range part {
				sum[team] += uint32(s.demand(now, team) * rateScale)
			}
		}
	}
	return sum
}

// ratePackets divides rates among as few messages as hold them. There is one even without rates, which says so.
func ratePackets(origin Origin, scope Scope, demand map[uint32]uint32) []Packet {
	const maxParts = 255
	parts := min(1+len(demand)/partRates, maxParts)
	if parts > 1 {
		// The teams are not spread quite evenly.
		parts = min(parts+1, maxParts)
	}
	packets := make([]Packet, parts)
	for i := range packets {
		packets[i].Rates = &Rates{Origin: origin, Scope: scope, Part: uint8(i), Parts: uint8(parts), Demand: map[uint32]uint32{}}
	}
	for team, rate := range demand {
		if rate > 0 {
			packets[team%uint32(parts)].Rates.Demand[team] = rate
		}
	}
	return packets
}

// speakerOf returns the record of a delegate of another failure domain, nil when the message is of no use. The caller
// holds f.mu.
func (f *fleet) speakerOf(o Origin) *speaker {
	if o.FailureDomain == f.host.settings.FailureDomain || f.host.settings.Regions[o.FailureDomain] == "" || o.Host == "" {
		return nil
	}
	d := f.domains[o.FailureDomain]
	if d == nil {
		d = &domain{speakers: map[string]*speaker{}}
		f.domains[o.FailureDomain] = d
	}
	s := d.speakers[o.Host]
	if s == nil {
		s = &speaker{}
		d.speakers[o.Host] = s
	}
	return s
}

// summaries returns what is known of the other failure domains but one. The caller holds f.mu.
func (f *fleet) summaries(now time.Duration, but string) (packets []Packet) {
	for _, name := range f.domainNames() {
		if s := f.domains[name].speaker(now, f.domainSilence(name)); s != nil && name != but {
			// The next summary replaces the one in s.
			summary := s.Summary
			packets = append(packets, Packet{Summary: &summary})
		}
	}
	return packets
}

// introduce tells a failure domain of which this host had not heard of the others, and now and then one of another, so that
// no two of them stay unknown to each other.
func (f *fleet) introduce(now time.Duration, to *Summary) {
	f.mu.Lock()
	known := f.summaries(now, to.FailureDomain)
	f.mu.Unlock()
	for _, packet := range known {
		f.sendTo(packet, to.delegates())
	}
}

// introduceSome tells one failure domain of another one.
func (f *fleet) introduceSome(now time.Duration) {
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

// delegates returns the peer addresses of the hosts that speak for the domain.
func (s *Summary) delegates() (addresses []netip.AddrPort) {
	for _, listed := range s.Listed[:min(len(s.Listed), delegates.Count)] {
		addresses = append(addresses, listed.Peer)
	}
	return addresses
}

// hearSummary takes in what a delegate tells of its failure domain. A delegate passes it on to the hosts of its own domain, and
// so does a host that was told from outside because its delegates are not known there.
func (f *fleet) hearSummary(from netip.AddrPort, packet Packet) {
	m := packet.Summary
	now := f.host.now()
	f.mu.Lock()
	_, heardOf := f.domains[m.FailureDomain]
	s := f.speakerOf(m.Origin)
	if s == nil || !m.newer(s.Summary.Origin) {
		f.mu.Unlock()
		return
	}
	s.Summary, s.heardAt = *m, now
	if m.Whole {
		s.rates.with(now, &Rates{Origin: m.Origin, Scope: ofDomain, Parts: 1, Demand: m.Demand})
	}
	for address, failureDomain := range f.contacts {
		if failureDomain == m.FailureDomain {
			delete(f.contacts, address)
		}
	}
	for _, listed := range m.Listed {
		delete(f.contacts, listed.Peer)
	}
	believed := f.domains[m.FailureDomain].speaker(now, f.domainSilence(m.FailureDomain)) == s || m.Ends
	inside := f.neighbours(now)
	f.mu.Unlock()
	speaks := f.speaks(now)
	if believed && (f.speaksFirst(now) || !speaks && !slices.Contains(inside, netip.AddrPortFrom(from.Addr().Unmap(), f.port))) {
		f.sendTo(packet, inside)
	}
	if !heardOf && speaks {
		f.introduce(now, m)
	}
	f.takeCrashes(now, m.Crashes)
	for _, listed := range m.Listed {
		if listed.Store == watchers.Reached {
			f.host.storeServesOthers()
		}
	}
	f.host.refresher.compare(now, m.NewerAt, m.Digests, m.Revisions)
}

// hearRates takes in the demand that a delegate tells.
func (f *fleet) hearRates(packet Packet) {
	m := packet.Rates
	now := f.host.now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if m.Parts == 0 || m.Part >= m.Parts {
		return
	}
	switch {
	case m.Host == f.host.settings.Host:
	case m.Scope == ofHost:
		if p := f.peers[m.Host]; p != nil && p.Started == m.Started {
			p.rates.with(now, m)
		}
	case m.Scope == ofDomain:
		if s := f.speakerOf(m.Origin); s != nil && (m.newer(s.rates.Origin) || m.Number == s.rates.Number) {
			s.rates.with(now, m)
		}
	case m.FailureDomain == f.host.settings.FailureDomain:
		f.hearElsewhere(now, m)
	}
}

// hearElsewhere takes in what a delegate of the own failure domain tells of all others. The caller holds f.mu.
func (f *fleet) hearElsewhere(now time.Duration, m *Rates) {
	r := f.elsewhere[m.Host]
	if r == nil {
		r = &rates{}
		f.elsewhere[m.Host] = r
	}
	if m.newer(r.Origin) || m.Number == r.Number {
		r.with(now, m)
	}
	for host, other := range f.elsewhere {
		if now-other.heardAt > forgetAfter {
			delete(f.elsewhere, host)
		}
	}
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

// speakersElsewhere returns the addresses of all delegates of the other failure domains. The caller holds f.mu.
func (f *fleet) speakersElsewhere(now time.Duration) (addresses []netip.AddrPort) {
	for _, name := range f.domainNames() {
		if s := f.domains[name].speaker(now, f.domainSilence(name)); s != nil {
			addresses = append(addresses, s.delegates()...)
		}
	}
	return addresses
}

// hearTrial takes in what another host saw of a rollout. A delegate passes what is new on: what its own domain saw to the
// other domains, and the rest to the hosts of its own.
func (f *fleet) hearTrial(packet Packet) {
	m := packet.Trial
	if m.Host == f.host.settings.Host {
		return
	}
	now := f.host.now()
	if !f.host.hearTrial(now, m) || !f.speaks(now) {
		return
	}
	f.mu.Lock()
	var addresses []netip.AddrPort
	if m.FailureDomain == f.host.settings.FailureDomain {
		addresses = f.speakersElsewhere(now)
	} else {
		addresses = f.neighbours(now)
	}
	f.mu.Unlock()
	f.sendTo(packet, addresses)
}

// speaksFirst reports whether this host is the delegate that its failure domain believes.
func (f *fleet) speaksFirst(now time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	chosen := delegates.Choose(f.ownHosts(now))
	return len(chosen) > 0 && chosen[0] == f.host.settings.Host
}
