package entry

import (
	"slices"

	"vanillatally/core/dispatch"
)

// lookup returns the caller addresses of the ready hosts that callers of the failure domain are sent to, at most as many as
// configured.
func (f *fleet) lookup(region, failureDomain string) []string {
	now := f.host.now()
	var hosts []dispatch.Host
	add := func(inRegion, inDomain, address string, capacity dispatch.Capacity) {
		hosts = append(hosts, dispatch.Host{
			Address: address, SameDomain: inDomain == failureDomain, SameRegion: inRegion == region, Capacity: capacity,
		})
	}
	if own := f.host.settings; f.host.ready() {
		add(own.Region, own.FailureDomain, own.CallerAddress, f.host.capacity())
	}
	f.mu.Lock()
	for _, m := range f.members(now) {
		if m.State == Ready {
			add(m.region, m.failureDomain, m.CallerAddr, m.capacity)
		}
	}
	f.mu.Unlock()
	return dispatch.Choose(hosts, int(f.host.limits.Load().LookupHosts))
}

// capacity returns the capacity of this host's machine according to the settings.
func (h *Host) capacity() dispatch.Capacity {
	return dispatch.Capacity{Cores: h.settings.CPUShare * h.settings.Cores, LinkMbps: h.settings.LinkMbps}
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
