package entry

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"vanillatally/core/watchers"
	"vanillatally/io/events"
)

// sendRound sends the heartbeats of one round, and returns the time until the next one.
func (f *fleet) sendRound(urgent bool) (next time.Duration) {
	f.updatePollerRole(f.host.now())
	f.setUrgent(urgent)
	f.sendHeartbeats()
	next = heartbeatInterval
	if f.host.isWidening() {
		next = rolloutHeartbeatInterval
	}
	return next + time.Duration(rand.Int64N(int64(heartbeatJitter)))
}

// setUrgent sets whether the next round has urgent news.
func (f *fleet) setUrgent(urgent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.urgent = urgent
}

// sendHeartbeats sends this host's state to the hosts of its failure domain and, on a delegate, the domain's summary to the
// other domains.
func (f *fleet) sendHeartbeats() {
	now := f.host.now()
	f.mu.Lock()
	refresh := f.rounds%crashRefreshRounds == 0
	f.mu.Unlock()
	crashes := f.host.crashTracker.takeAnnouncements(now, refresh && f.isDelegate(now))
	heartbeat := f.newHeartbeat(crashes)
	addresses := f.heartbeatTargets(now)
	if f.isDelegate(now) {
		f.mu.Lock()
		heartbeat.PeerAddresses = f.peerAddressesOf(f.host.settings.FailureDomain, now)
		f.mu.Unlock()
	}
	packets := append([]Packet{f.heartbeatPacket(&heartbeat)}, f.rolloutPackets()...)
	if len(heartbeat.Demand) == 0 {
		packets = append(packets, f.hostDemandPackets()...)
	}
	for _, packet := range packets {
		f.sendPacket(packet, addresses)
	}
	f.advertiseDomain(now, crashes)
	f.announceNotices(now)
}

// sendHeartbeatTo sends this host's heartbeat to the addresses.
func (f *fleet) sendHeartbeatTo(addresses []netip.AddrPort) {
	heartbeat := f.newHeartbeat(nil)
	f.sendPacket(f.heartbeatPacket(&heartbeat), addresses)
}

// sendPacket sends a packet to the addresses. Before the host listens it does nothing.
func (f *fleet) sendPacket(packet Packet, addresses []netip.AddrPort) {
	sender := f.sender()
	if len(addresses) == 0 || sender == nil {
		return
	}
	if err := sender.Send(packet, addresses); err != nil {
		f.host.log.Emit(events.PeerSendFailed, "error", err)
	}
}

// heartbeatTargets starts a heartbeat round: it deletes hosts without a heartbeat for forgetHostAfter, and returns the addresses
// that get a heartbeat. Unresponsive hosts get one only every unresponsiveHostRounds rounds.
func (f *fleet) heartbeatTargets(now time.Duration) (addresses []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rounds++
	for name, p := range f.peers {
		if now-p.lastSeen > forgetHostAfter {
			delete(f.peers, name)
			continue
		}
		every := 1
		if now-p.lastSeen >= hostTimeout {
			every = unresponsiveHostRounds
		}
		if p.FailureDomain == f.host.settings.FailureDomain && (f.rounds+int(hash32(name)))%every == 0 {
			addresses = append(addresses, p.address)
		}
	}
	if f.rounds%unresponsiveHostRounds == 1 || now < membershipSettleTime {
		for address, failureDomain := range f.unconfirmedAddresses {
			if failureDomain == "" || failureDomain == f.host.settings.FailureDomain {
				addresses = append(addresses, address)
			}
		}
	}
	return addresses
}

// newHeartbeat returns this host's heartbeat, which announces the crashes to other hosts.
func (f *fleet) newHeartbeat(crashes []Crash) Heartbeat {
	h := f.host
	heartbeat := Heartbeat{
		Host: h.settings.Host, Started: h.start.UnixMilli(), CallerAddr: h.settings.CallerAddress,
		FailureDomain: h.settings.FailureDomain, Demand: h.teams.advertiseDemand(h.now()), Crashes: crashes,
	}
	if len(heartbeat.Demand) > maxHeartbeatTeams {
		heartbeat.Demand = nil
	}
	if current := h.view.Load().configuration; current != nil {
		heartbeat.Sequence = current.Sequence
	}
	heartbeat.StoreAccess = h.storeState()
	if heartbeat.StoreAccess != watchers.Unknown {
		h.stalenessDetector.mu.Lock()
		heartbeat.Digests, heartbeat.Revisions = h.stalenessDetector.digests, h.stalenessDetector.revisions
		h.stalenessDetector.mu.Unlock()
	}
	heartbeat.State = h.state()
	return heartbeat
}

// hostDemandPackets returns messages with the demand that this host reported last. It returns none if the demand fits a
// heartbeat.
func (f *fleet) hostDemandPackets() []Packet {
	advertised := f.host.teams.advertisedDemand()
	if len(advertised) <= maxHeartbeatTeams {
		return nil
	}
	demand := make(map[uint32]uint32, len(advertised))
	for team, rate := range advertised {
		demand[team] = uint32(rate)
	}
	f.mu.Lock()
	f.number++
	origin := f.origin()
	f.mu.Unlock()
	return demandPackets(origin, scopeHost, demand)
}
