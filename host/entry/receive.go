package entry

import (
	"net/netip"
	"slices"
	"time"

	"vanillatally/core/watchers"
)

// delegateRecord returns the record of a delegate of another failure domain, which it creates if needed. It returns nil if
// the message is of this host's own domain or of an unknown one. The caller holds f.mu.
func (f *fleet) delegateRecord(origin Origin) *delegate {
	if origin.FailureDomain == f.host.settings.FailureDomain || f.host.settings.Regions[origin.FailureDomain] == "" ||
		origin.Host == "" {
		return nil
	}
	d := f.domains[origin.FailureDomain]
	if d == nil {
		d = &domain{delegates: map[string]*delegate{}}
		f.domains[origin.FailureDomain] = d
	}
	for host, record := range d.delegates {
		if f.host.now()-record.lastSeen > forgetHostAfter {
			delete(d.delegates, host)
		}
	}
	record := d.delegates[origin.Host]
	if record == nil {
		record = &delegate{}
		d.delegates[origin.Host] = record
	}
	return record
}

// handleSummary stores the summary of another failure domain. The primary delegate forwards it to the hosts of its own
// domain. So does any other host that received it from outside its domain: the sender does not know the domain's delegates
// in that case.
func (f *fleet) handleSummary(from netip.AddrPort, packet Packet) {
	summary := packet.DomainSummary
	now := f.host.now()
	f.mu.Lock()
	_, knownDomain := f.domains[summary.FailureDomain]
	record := f.delegateRecord(summary.Origin)
	if record == nil || !summary.supersedes(record.DomainSummary.Origin, now-record.lastSeen) {
		f.mu.Unlock()
		return
	}
	record.DomainSummary, record.lastSeen, record.capacities = *summary, now, packet.Capacities
	if summary.DemandComplete {
		record.demandReport.addPart(now, &DemandPart{Origin: summary.Origin, Scope: scopeDomain, Parts: 1, Demand: summary.Demand})
	}
	for address, failureDomain := range f.unconfirmedAddresses {
		if failureDomain == summary.FailureDomain {
			delete(f.unconfirmedAddresses, address)
		}
	}
	for _, listed := range summary.Listed {
		delete(f.unconfirmedAddresses, listed.PeerAddr)
	}
	authoritative := f.domains[summary.FailureDomain].primary(now, f.domainTimeout(summary.FailureDomain)) == record ||
		summary.Resigned
	domainPeers := f.domainPeerAddresses(now)
	f.mu.Unlock()
	isDelegate := f.isDelegate(now)
	if authoritative && (f.isPrimaryDelegate(now) ||
		!isDelegate && !slices.Contains(domainPeers, netip.AddrPortFrom(from.Addr().Unmap(), f.peerPort))) {
		f.sendPacket(packet, domainPeers)
	}
	if !knownDomain && isDelegate {
		f.introduceDomain(now, summary)
	}
	f.handleCrashes(now, summary.Crashes)
	for _, listed := range summary.Listed {
		if listed.StoreAccess == watchers.Reachable {
			f.host.recordStoreReachableByPeer()
		}
	}
	f.host.stalenessDetector.comparePeer(now, summary.FreshestHost, summary.Digests, summary.Revisions)
}

// handleDemand stores a part of a demand report of another host or failure domain.
func (f *fleet) handleDemand(packet Packet) {
	part := packet.DemandPart
	now := f.host.now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if part.Parts == 0 || part.Part >= part.Parts {
		return
	}
	switch {
	case part.Host == f.host.settings.Host:
	case part.Scope == scopeHost:
		if p := f.peers[part.Host]; p != nil && p.Started == part.Started {
			p.demandReport.addPart(now, part)
		}
	case part.Scope == scopeDomain:
		if record := f.delegateRecord(part.Origin); record != nil &&
			(part.supersedes(record.demandReport.Origin, now-record.demandReport.lastSeen) || part.Number == record.demandReport.Number) {
			record.demandReport.addPart(now, part)
		}
	case part.FailureDomain == f.host.settings.FailureDomain:
		f.handleOutsideDemand(now, part)
	}
}

// handleOutsideDemand stores the demand in all other failure domains, as a delegate of this host's own domain sums it up.
// The caller holds f.mu.
func (f *fleet) handleOutsideDemand(now time.Duration, part *DemandPart) {
	report := f.outsideDemand[part.Host]
	if report == nil {
		report = &demandReport{}
		f.outsideDemand[part.Host] = report
	}
	if part.supersedes(report.Origin, now-report.lastSeen) || part.Number == report.Number {
		report.addPart(now, part)
	}
	for host, other := range f.outsideDemand {
		if now-other.lastSeen > forgetHostAfter {
			delete(f.outsideDemand, host)
		}
	}
}

// handleRolloutMessage stores another host's report on a rollout. A delegate forwards new reports: those of its own domain
// to the other domains, and all others to the hosts of its own.
func (f *fleet) handleRolloutMessage(packet Packet) {
	message := packet.Rollout
	if message.Host == f.host.settings.Host {
		return
	}
	now := f.host.now()
	if !f.host.handleRolloutMessage(now, message) || !f.isDelegate(now) {
		return
	}
	f.mu.Lock()
	var addresses []netip.AddrPort
	if message.FailureDomain == f.host.settings.FailureDomain {
		addresses = f.otherDelegates(now)
	} else {
		addresses = f.domainPeerAddresses(now)
	}
	f.mu.Unlock()
	f.sendPacket(packet, addresses)
}
