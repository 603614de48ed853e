package entry

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"vanillatally/core/placement"
	"vanillatally/core/watchers"
	"vanillatally/io/datagrams"
	"vanillatally/io/events"
)

const (
	// heartbeatInterval is the time between two messages to each other host of the failure domain; tickJitter is the random part of it.
	heartbeatInterval = 600 * time.Millisecond
	heartbeatJitter   = 100 * time.Millisecond
	// rolloutHeartbeatInterval replaces tick while a version is being widened.
	rolloutHeartbeatInterval = 250 * time.Millisecond
	// hostTimeout is the time without a message after which a host is left out of look-ups and shares.
	hostTimeout = 2500 * time.Millisecond
	// forgetHostAfter is the time without a message after which a host is forgotten.
	forgetHostAfter = time.Minute
	// membershipSettleTime is the time after the start from which hosts that were not heard from are taken for gone.
	membershipSettleTime = 3 * time.Second
	// maxOtherDomainGreetings is the number of hosts of other failure domains that a host greets while it knows nobody.
	maxOtherDomainGreetings = 6
	// silentHostTicks is how many ticks pass between two messages to a host that is silent.
	silentHostTicks = 4
)

// sender sends packets to other hosts.
type sender interface {
	Send(packet Packet, addresses []netip.AddrPort) error
}

// peer is another host that was heard from directly.
type peer struct {
	Heartbeat
	address   netip.AddrPort
	region    string
	lastHeard time.Duration
	// demandReport holds the demand of a host with many teams.
	demandReport demandReport
}

// fleet knows the other hosts: each of its own failure domain, at most as many as the store lists, and of the other domains
// what their delegates tell.
type fleet struct {
	host *Host
	// node is set once the host listens.
	node atomic.Pointer[datagrams.Socket[Packet]]
	// sender is the node but for tests.
	sender func() sender
	// peerPort is the peer peerPort of every host.
	peerPort uint16

	mu    sync.Mutex
	peers map[string]*peer
	// domains holds the other failure domains by name.
	domains map[string]*domain
	// outsideDemand holds the rates of all other domains as the delegates of the own one state them, by host.
	outsideDemand map[string]*demandReport
	// unheardAddresses are addresses of hosts that were not heard from, with their failure domain if it is known.
	unheardAddresses map[netip.AddrPort]string
	ticks            int
	// number is that of the last summary.
	number uint64
	// wasDelegate is set while this host is a delegate.
	wasDelegate bool
}

func newFleet(h *Host) *fleet {
	f := &fleet{
		host: h, peers: map[string]*peer{}, domains: map[string]*domain{}, outsideDemand: map[string]*demandReport{}, unheardAddresses: map[netip.AddrPort]string{},
	}
	f.sender = func() sender {
		if node := f.node.Load(); node != nil {
			return node
		}
		return nil
	}
	return f
}

func hash32(name string) uint32 { return uint32(placement.Hash(name)) }

// addPeerAddress adds the address of a host that may be running; failureDomain is empty when it is not known. Hosts of other
// failure domains are left to the delegates.
func (f *fleet) addPeerAddress(address, failureDomain string) {
	parsed, err := netip.ParseAddrPort(address)
	if err == nil {
		f.addPeerAddrPort(parsed, failureDomain)
	}
}

func (f *fleet) addPeerAddrPort(address netip.AddrPort, failureDomain string) {
	own := f.host.settings
	if address.String() == own.PeerAddress {
		return
	}
	f.mu.Lock()
	_, known := f.unheardAddresses[address]
	for _, p := range f.peers {
		known = known || p.address == address
	}
	if !known {
		f.unheardAddresses[address] = failureDomain
	}
	alone := len(f.peers)+len(f.domains) == 0 && len(f.unheardAddresses) <= maxOtherDomainGreetings
	f.mu.Unlock()
	if !known && (failureDomain == "" || failureDomain == own.FailureDomain || alone) {
		f.sendHeartbeatTo([]netip.AddrPort{address})
	}
}

// receive takes in a packet of another host.
func (f *fleet) receive(from netip.AddrPort, packet Packet) {
	switch {
	case packet.HostHeartbeat != nil:
		f.handleHeartbeat(from, *packet.HostHeartbeat)
	case packet.DomainSummary != nil:
		f.handleSummary(from, packet)
	case packet.DemandPart != nil:
		f.handleDemand(packet)
	case packet.Rollout != nil:
		f.handleRolloutMessage(packet)
	}
}

// handleHeartbeat takes in a message of another host.
func (f *fleet) handleHeartbeat(from netip.AddrPort, m Heartbeat) {
	if m.Host == "" || m.Host == f.host.settings.Host {
		return
	}
	now := f.host.now()
	address := netip.AddrPortFrom(from.Addr().Unmap(), f.peerPort)
	f.mu.Lock()
	known := f.peers[m.Host]
	if known != nil && known.Started > m.Started && now-known.lastHeard < hostTimeout {
		// A message of an earlier process came late. After a silence it is that of a host whose clock was set back.
		f.mu.Unlock()
		return
	}
	if known == nil || known.Started != m.Started || known.State != m.State {
		f.host.log.Emit(events.PeerHeard, "peer", m.Host, "state", m.State, "failure-domain", m.FailureDomain, "caller-address", m.CallerAddr)
	}
	heard := &peer{Heartbeat: m, address: address, region: f.host.settings.Regions[m.FailureDomain], lastHeard: now}
	if known != nil && known.Started == m.Started && len(m.Demand) == 0 && now-known.demandReport.lastHeard < hostTimeout {
		heard.demandReport = known.demandReport
	}
	f.peers[m.Host] = heard
	delete(f.unheardAddresses, address)
	f.mu.Unlock()
	if known == nil || known.Started != m.Started {
		f.answerGreeting(address, m.FailureDomain)
	}
	for _, contact := range m.PeerAddresses {
		f.addPeerAddrPort(contact, f.host.settings.FailureDomain)
	}
	f.handleCrashes(now, m.Crashes)
	if m.Store == watchers.Reachable {
		f.host.noteStoreReachableByPeer()
	}
	f.host.stalenessDetector.comparePeer(now, m.Host, m.Digests, m.Revisions)
}

// answerGreeting tells a host that starts who runs: this host, hosts of its failure domain, and the domains that are known.
func (f *fleet) answerGreeting(address netip.AddrPort, failureDomain string) {
	m := f.newHeartbeat(nil)
	now := f.host.now()
	f.mu.Lock()
	m.PeerAddresses = f.peerAddressesOf(failureDomain, now)
	known := f.knownSummaries(now, failureDomain)
	f.mu.Unlock()
	f.sendPacket(Packet{HostHeartbeat: &m}, []netip.AddrPort{address})
	if failureDomain == f.host.settings.FailureDomain && f.isDelegate(now) {
		for _, packet := range known {
			f.sendPacket(packet, []netip.AddrPort{address})
		}
	}
}

// peerAddressesOf returns peer addresses of hosts of a failure domain. The caller holds f.mu.
func (f *fleet) peerAddressesOf(failureDomain string, now time.Duration) (addresses []netip.AddrPort) {
	for _, p := range f.peers {
		if p.FailureDomain == failureDomain && now-p.lastHeard < forgetHostAfter/4 {
			addresses = append(addresses, p.address)
		}
	}
	if d := f.domains[failureDomain]; d != nil {
		if s := d.primary(now, f.domainTimeout(failureDomain)); s != nil {
			for _, listed := range s.Listed {
				addresses = append(addresses, listed.PeerAddr)
			}
		}
	}
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	addresses = slices.Compact(addresses)
	if len(addresses) > maxPeerAddresses {
		rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
		addresses = addresses[:maxPeerAddresses]
	}
	return addresses
}

// run sends messages until ctx ends.
func (f *fleet) run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		f.updatePollerRole(f.host.now())
		f.sendHeartbeats()
		next := heartbeatInterval
		if f.host.isWidening() {
			next = rolloutHeartbeatInterval
		}
		timer.Reset(next + time.Duration(rand.Int64N(int64(heartbeatJitter))))
	}
}

// sendHeartbeats tells the hosts of the own failure domain of this host, and the other domains of the own one.
func (f *fleet) sendHeartbeats() {
	crashes := f.host.crashTracker.takeAnnouncements()
	now := f.host.now()
	m := f.newHeartbeat(crashes)
	addresses := f.heartbeatTargets(now)
	if f.isDelegate(now) {
		f.mu.Lock()
		m.PeerAddresses = f.peerAddressesOf(f.host.settings.FailureDomain, now)
		f.mu.Unlock()
	}
	packets := append([]Packet{{HostHeartbeat: &m}}, f.rolloutPackets()...)
	if len(m.Demand) == 0 {
		packets = append(packets, f.hostDemandPackets()...)
	}
	for _, packet := range packets {
		f.sendPacket(packet, addresses)
	}
	f.advertiseDomain(now, crashes)
}

// sendHeartbeatTo sends this host's message to the addresses.
func (f *fleet) sendHeartbeatTo(addresses []netip.AddrPort) {
	m := f.newHeartbeat(nil)
	f.sendPacket(Packet{HostHeartbeat: &m}, addresses)
}

// sendPacket sends a packet to the addresses; before the host listens, or without an address, it does nothing.
func (f *fleet) sendPacket(packet Packet, addresses []netip.AddrPort) {
	node := f.sender()
	if len(addresses) == 0 || node == nil {
		return
	}
	if err := node.Send(packet, addresses); err != nil {
		f.host.log.Emit(events.PeerNotTold, "error", err)
	}
}

// heartbeatTargets returns where the next message goes; silent hosts get few messages.
func (f *fleet) heartbeatTargets(now time.Duration) (addresses []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ticks++
	for name, p := range f.peers {
		if now-p.lastHeard > forgetHostAfter {
			delete(f.peers, name)
			continue
		}
		every := 1
		if now-p.lastHeard >= hostTimeout {
			every = silentHostTicks
		}
		if p.FailureDomain == f.host.settings.FailureDomain && (f.ticks+int(hash32(name)))%every == 0 {
			addresses = append(addresses, p.address)
		}
	}
	if f.ticks%silentHostTicks == 1 || now < membershipSettleTime {
		for address, failureDomain := range f.unheardAddresses {
			if failureDomain == "" || failureDomain == f.host.settings.FailureDomain {
				addresses = append(addresses, address)
			}
		}
	}
	return addresses
}

// newHeartbeat is what this host tells others; crashes are those that they have to hear of.
func (f *fleet) newHeartbeat(crashes []Crash) Heartbeat {
	h := f.host
	m := Heartbeat{
		Host: h.settings.Host, Started: h.start.UnixMilli(), CallerAddr: h.settings.CallerAddress,
		FailureDomain: h.settings.FailureDomain, Demand: h.teams.advertiseDemand(h.now()), Crashes: crashes,
	}
	if len(m.Demand) > maxHeartbeatTeams {
		m.Demand = nil
	}
	if current := h.view.Load().configuration; current != nil {
		m.Sequence = current.Sequence
	}
	m.Store = h.storeState()
	if m.Store != watchers.Unknown {
		h.stalenessDetector.mu.Lock()
		m.Digests, m.Revisions = h.stalenessDetector.digests, h.stalenessDetector.revisions
		h.stalenessDetector.mu.Unlock()
	}
	m.State = h.state()
	return m
}

// state is how far this host is in its life.
func (h *Host) state() State {
	switch {
	case h.draining.Load():
		return Leaving
	case h.ready():
		return Ready
	}
	return Starting
}

// handleCrashes takes in crashes that other hosts saw, and passes on those that are new when this host is a delegate.
func (f *fleet) handleCrashes(now time.Duration, crashes []Crash) {
	for _, crash := range crashes {
		if f.host.crashTracker.recordReported(now, crash) && f.isDelegate(now) {
			f.host.crashTracker.announce(crash)
		}
	}
}

// hostDemandPackets is the demand that this host told last when it is that of more teams than a message holds.
func (f *fleet) hostDemandPackets() []Packet {
	told := f.host.teams.advertisedDemand()
	if len(told) <= maxHeartbeatTeams {
		return nil
	}
	demand := make(map[uint32]uint32, len(told))
	for team, rate := range told {
		demand[team] = uint32(rate)
	}
	f.mu.Lock()
	f.number++
	origin := f.origin()
	f.mu.Unlock()
	return demandPackets(origin, scopeHost, demand)
}

// origin names this host as the origin of the next message. The caller holds f.mu.
func (f *fleet) origin() Origin {
	own := f.host.settings
	return Origin{FailureDomain: own.FailureDomain, Host: own.Host, Started: f.host.start.UnixMilli(), Number: f.number}
}
