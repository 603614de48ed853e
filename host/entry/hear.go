package entry

import (
	"net/netip"
	"slices"
	"time"

	"vanillatally/core/watchers"
)

// delegateOf returns the record of a delegate of another failure domain, nil when the message is of no use. The caller
// holds f.mu.
func (f *fleet) delegateOf(o Origin) *delegate {
	if o.FailureDomain == f.host.settings.FailureDomain || f.host.settings.Regions[o.FailureDomain] == "" || o.Host == "" {
		return nil
	}
	d := f.domains[o.FailureDomain]
	if d == nil {
		d = &domain{delegates: map[string]*delegate{}}
		f.domains[o.FailureDomain] = d
	}
	for host, s := range d.delegates {
		if f.host.now()-s.heardAt > forgetAfter {
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

// hearSummary takes in what a delegate tells of its failure domain. A delegate passes it on to the hosts of its own domain, and
// so does a host that was told from outside because its delegates are not known there.
func (f *fleet) hearSummary(from netip.AddrPort, packet Packet) {
	m := packet.Summary
	now := f.host.now()
	f.mu.Lock()
	_, heardOf := f.domains[m.FailureDomain]
	s := f.delegateOf(m.Origin)
	if s == nil || !m.replaces(s.Summary.Origin, now-s.heardAt) {
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
	believed := f.domains[m.FailureDomain].primary(now, f.domainSilence(m.FailureDomain)) == s || m.Ends
	inside := f.neighbours(now)
	f.mu.Unlock()
	delegated := f.isDelegate(now)
	if believed && (f.isPrimaryDelegate(now) || !delegated && !slices.Contains(inside, netip.AddrPortFrom(from.Addr().Unmap(), f.port))) {
		f.sendTo(packet, inside)
	}
	if !heardOf && delegated {
		f.introduce(now, m)
	}
	f.takeCrashes(now, m.Crashes)
	for _, listed := range m.Listed {
		if listed.Store == watchers.Reachable {
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
		if s := f.delegateOf(m.Origin); s != nil && (m.replaces(s.rates.Origin, now-s.rates.heardAt) || m.Number == s.rates.Number) {
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
	if m.replaces(r.Origin, now-r.heardAt) || m.Number == r.Number {
		r.with(now, m)
	}
	for host, other := range f.elsewhere {
		if now-other.heardAt > forgetAfter {
			delete(f.elsewhere, host)
		}
	}
}

// hearTrial takes in what another host saw of a rollout. A delegate passes what is new on: what its own domain saw to the
// other domains, and the rest to the hosts of its own.
func (f *fleet) hearTrial(packet Packet) {
	m := packet.Trial
	if m.Host == f.host.settings.Host {
		return
	}
	now := f.host.now()
	if !f.host.hearTrial(now, m) || !f.isDelegate(now) {
		return
	}
	f.mu.Lock()
	var addresses []netip.AddrPort
	if m.FailureDomain == f.host.settings.FailureDomain {
		addresses = f.foreignDelegates(now)
	} else {
		addresses = f.neighbours(now)
	}
	f.mu.Unlock()
	f.sendTo(packet, addresses)
}
