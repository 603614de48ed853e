package entry

import (
	"slices"
	"time"

	"vanillatally/core/dispatch"
)

// lookup returns the caller addresses of the ready hosts that callers of the failure domain are sent to, at most as many as
// configured.
func (f *fleet) lookup(region, failureDomain string) []string {
	return f.chooseHosts(f.readyHosts(f.host.now()), region, failureDomain)
}

// chooseHosts returns the caller addresses of those of the ready hosts that callers of the failure domain are sent to.
func (f *fleet) chooseHosts(ready []member, region, failureDomain string) []string {
	hosts := make([]dispatch.Host, 0, len(ready))
	for _, m := range ready {
		hosts = append(hosts, dispatch.Host{
			Address: m.CallerAddr, SameDomain: m.failureDomain == failureDomain, SameRegion: m.region == region, Capacity: m.capacity,
		})
	}
	return dispatch.Choose(hosts, int(f.host.limits.Load().LookupHosts))
}

// readyHosts returns the ready hosts that are known by name, with this one.
func (f *fleet) readyHosts(now time.Duration) (ready []member) {
	if own := f.host.settings; f.host.ready() {
		ready = append(ready, member{
			Listed: Listed{Host: own.Host, CallerAddr: own.CallerAddress}, failureDomain: own.FailureDomain, region: own.Region,
			capacity: f.host.capacity(),
		})
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members(now) {
		if m.State == Ready {
			ready = append(ready, m)
		}
	}
	return ready
}

// servingHostsTTL is the time for which the number of hosts that callers are sent to is kept.
const servingHostsTTL = 50 * time.Millisecond

// servingHosts returns an upper estimate of the number of hosts that callers are sent to, with this one. Addresses without a
// known host, and failure domains of which nothing is known, count as hosts that serve callers.
func (f *fleet) servingHosts(now time.Duration) int {
	f.mu.Lock()
	counted, at := f.serving, f.servingAt
	f.mu.Unlock()
	if counted > 0 && now-at < servingHostsTTL {
		return counted
	}
	own := f.host.settings
	ready := f.readyHosts(now)
	serving := map[string]bool{own.CallerAddress: true}
	undiscovered := 0
	for failureDomain, region := range own.Regions {
		f.mu.Lock()
		d := f.domains[failureDomain]
		known := failureDomain == own.FailureDomain || d != nil && d.primary(now, f.domainTimeout(failureDomain)) != nil
		f.mu.Unlock()
		if !known {
			undiscovered += int(f.host.limits.Load().LookupHosts)
		}
		for _, address := range f.chooseHosts(ready, region, failureDomain) {
			serving[address] = true
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, failureDomain := range f.unconfirmedAddresses {
		if failureDomain == "" || failureDomain == own.FailureDomain {
			undiscovered++
		}
	}
	f.serving, f.servingAt = len(serving)+undiscovered, now
	return f.serving
}

// capacity returns the capacity of this host's machine according to the settings, rounded as other hosts receive it, so that all
// choose the same hosts.
func (h *Host) capacity() dispatch.Capacity {
	own := h.settings
	return encodeCapacity(dispatch.Capacity{Cores: own.CPUShare * own.Cores, LinkMbps: own.LinkMbps}).decode()
}

// heartbeatPacket returns the heartbeat together with this host's capacity, if the settings state it.
func (f *fleet) heartbeatPacket(heartbeat *Heartbeat) Packet {
	packet := Packet{HostHeartbeat: heartbeat}
	if own := f.host.capacity(); own != (dispatch.Capacity{}) {
		packet.Capacities = []HostCapacity{encodeCapacity(own)}
	}
	return packet
}

// recordCapacity stores the capacity of the sender of a heartbeat.
func (f *fleet) recordCapacity(packet Packet) {
	if len(packet.Capacities) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.peers[packet.HostHeartbeat.Host]; p != nil && p.Started == packet.HostHeartbeat.Started {
		p.capacity = packet.Capacities[0].decode()
	}
}

// capacitiesOf returns the capacities of hosts of this host's failure domain, or nil if none is known. The caller holds f.mu.
func (f *fleet) capacitiesOf(listed []Listed) (capacities []HostCapacity) {
	for _, l := range listed {
		capacity := f.host.capacity()
		if p := f.peers[l.Host]; p != nil {
			capacity = p.capacity
		}
		capacities = append(capacities, encodeCapacity(capacity))
	}
	if !slices.ContainsFunc(capacities, func(c HostCapacity) bool { return c != HostCapacity{} }) {
		return nil
	}
	return capacities
}

// capacity returns the capacity of the i-th listed host; zero if it is not known.
func (d *delegate) capacity(i int) dispatch.Capacity {
	if i >= len(d.capacities) {
		return dispatch.Capacity{}
	}
	return d.capacities[i].decode()
}
