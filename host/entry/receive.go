package entry

import (
	"net/netip"
	"slices"
	"time"

	"vanillatally/core/watchers"
)

// delegateRecord returns the record of a delegate of another failure domain, nil when the message is of no use. The caller
// holds f.mu.
func (f *fleet) delegateRecord(o Origin) *delegate {
	if o.FailureDomain == f.host.settings.FailureDomain || f.host.settings.Regions[o.FailureDomain] == "" || o.Host == "" {
		return nil
	}
	d := f.domains[o.FailureDomain]
	if d == nil {
		d = &domain{delegates: map[string]*delegate{}}
		f.domains[o.FailureDomain] = d
	}
	for host, s := range d.delegates {
		if f.host.now()-s.lastHeard > forgetHostAfter {
			delete(d.delegates, host)
		}
	}
	s := d.delegates[o.Host]
	if s == nil {
		s = &delegate{}
		d.delegates[o.Host] = s
	}
	return s
}

// handleSummary takes in what a delegate tells of its failure domain. A delegate passes it on to the hosts of its own domain, and
// so does a host that was told from outside because its delegates are not known there.
func (f *fleet) handleSummary(from netip.AddrPort, packet Packet) {
	m := packet.DomainSummary
	now := f.host.now()
	f.mu.Lock()
	_, heardOf := f.domains[m.FailureDomain]
	s := f.delegateRecord(m.Origin)
	if s == nil || !m.supersedes(s.DomainSummary.Origin, now-s.lastHeard) {
		f.mu.Unlock()
		return
	}
	s.DomainSummary, s.lastHeard = *m, now
	if m.DemandComplete {
		s.demandReport.addPart(now, &DemandPart{Origin: m.Origin, Scope: scopeDomain, Parts: 1, Demand: m.Demand})
	}
	for address, failureDomain := range f.unheardAddresses {
		if failureDomain == m.FailureDomain {
			delete(f.unheardAddresses, address)
		}
	}
	for _, listed := range m.Listed {
		delete(f.unheardAddresses, listed.PeerAddr)
	}
	believed := f.domains[m.FailureDomain].primary(now, f.domainTimeout(m.FailureDomain)) == s || m.Resigned
	inside := f.domainPeerAddresses(now)
	f.mu.Unlock()
	delegated := f.isDelegate(now)
	if believed && (f.isPrimaryDelegate(now) || !delegated && !slices.Contains(inside, netip.AddrPortFrom(from.Addr().Unmap(), f.peerPort))) {
		f.sendPacket(packet, inside)
	}
	if !heardOf && delegated {
		f.introduceDomain(now, m)
	}
	f.handleCrashes(now, m.Crashes)
	for _, listed := range m.Listed {
		if listed.Store == watchers.Reachable {
			f.host.noteStoreReachableByPeer()
		}
	}
	f.host.stalenessDetector.comparePeer(now, m.FreshestHost, m.Digests, m.Revisions)
}

// handleDemand takes in the demand that a delegate tells.
func (f *fleet) handleDemand(packet Packet) {
	m := packet.DemandPart
	now := f.host.now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if m.Parts == 0 || m.Part >= m.Parts {
		return
	}
	switch {
	case m.Host == f.host.settings.Host:
	case m.Scope == scopeHost:
		if p := f.peers[m.Host]; p != nil && p.Started == m.Started {
			p.demandReport.addPart(now, m)
		}
	case m.Scope == scopeDomain:
		if s := f.delegateRecord(m.Origin); s != nil && (m.supersedes(s.demandReport.Origin, now-s.demandReport.lastHeard) || m.Number == s.demandReport.Number) {
			s.demandReport.addPart(now, m)
		}
	case m.FailureDomain == f.host.settings.FailureDomain:
		f.handleOutsideDemand(now, m)
	}
}

// handleOutsideDemand takes in what a delegate of the own failure domain tells of all others. The caller holds f.mu.
func (f *fleet) handleOutsideDemand(now time.Duration, m *DemandPart) {
	r := f.outsideDemand[m.Host]
	if r == nil {
		r = &demandReport{}
		f.outsideDemand[m.Host] = r
	}
	if m.supersedes(r.Origin, now-r.lastHeard) || m.Number == r.Number {
		r.addPart(now, m)
	}
	for host, other := range f.outsideDemand {
		if now-other.lastHeard > forgetHostAfter {
			delete(f.outsideDemand, host)
		}
	}
}

// handleRolloutMessage takes in what another host saw of a rollout. A delegate passes what is new on: what its own domain saw to the
// other domains, and the rest to the hosts of its own.
func (f *fleet) handleRolloutMessage(packet Packet) {
	m := packet.Rollout
	if m.Host == f.host.settings.Host {
		return
	}
	now := f.host.now()
	if !f.host.handleRolloutMessage(now, m) || !f.isDelegate(now) {
		return
	}
	f.mu.Lock()
	var addresses []netip.AddrPort
	if m.FailureDomain == f.host.settings.FailureDomain {
		addresses = f.otherDelegates(now)
	} else {
		addresses = f.domainPeerAddresses(now)
	}
	f.mu.Unlock()
	f.sendPacket(packet, addresses)
}
