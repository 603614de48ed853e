package entry

import (
	"testing"

	"vanillatally/core/dispatch"
)

// Guards against hosts that see a host's capacity differently from itself, and so choose other delegates and send callers to other
// hosts, and against a small capacity that others take for an unknown one.
func TestHostsAgreeOnCapacity(t *testing.T) {
	for _, c := range []struct {
		cpuShare, cores, linkMbps float64
		want                      dispatch.Capacity
	}{
		{0, 1, 0, dispatch.Capacity{}},
		{0.29, 1, 10, dispatch.Capacity{Cores: 0.29, LinkMbps: 10}},
		{0.58, 1, 10.6, dispatch.Capacity{Cores: 0.58, LinkMbps: 11}},
		{0.112, 0.5, 1, dispatch.Capacity{Cores: 0.06, LinkMbps: 1}},
		{0.001, 1, 0.2, dispatch.Capacity{Cores: 0.01, LinkMbps: 1}},
		{1e6, 1, 1e12, dispatch.Capacity{Cores: 655.35, LinkMbps: 1<<32 - 1}},
	} {
		h := newTestHost(t)
		h.settings.CPUShare, h.settings.Cores, h.settings.LinkMbps = c.cpuShare, c.cores, c.linkMbps
		own := h.capacity()
		packet := h.fleet.heartbeatPacket(&Heartbeat{})
		sent := HostCapacity{}
		if len(packet.Capacities) > 0 {
			sent = packet.Capacities[0]
		}
		if other := sent.decode(); own != c.want || other != c.want {
			t.Errorf("share %v of %v, %v Mbit/s: the host sees %v, others %v, want %v",
				c.cpuShare, c.cores, c.linkMbps, own, other, c.want)
		}
	}
}
