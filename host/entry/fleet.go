package entry

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"vanillatally/core/dispatch"
	"vanillatally/core/placement"
	"vanillatally/core/watchers"
	"vanillatally/io/datagrams"
	"vanillatally/io/events"
)

const (
	// heartbeatInterval is the time between two heartbeats to each other host of the failure domain; up to heartbeatJitter
	// is added at random.
	heartbeatInterval = 600 * time.Millisecond
	heartbeatJitter   = 100 * time.Millisecond
	// minUrgentInterval is the shortest time between a heartbeat round and one with urgent news.
	minUrgentInterval = 200 * time.Millisecond
	// rolloutHeartbeatInterval replaces heartbeatInterval while a rollout is widening, so that evidence spreads quickly.
	rolloutHeartbeatInterval = 250 * time.Millisecond
	// hostTimeout is the time without a message after which a host counts as down: it is left out of lookups and of the
	// shares of rate limits.
	hostTimeout = 2500 * time.Millisecond
	// forgetHostAfter is the time without a message after which a host's record is deleted.
	forgetHostAfter = time.Minute
	// membershipSettleTime is the time after the start from which a host counts as down if no message from it was received.
	membershipSettleTime = 3 * time.Second
	// A host that knows no other host sends its heartbeat to addresses in other failure domains too, while it has at most
	// maxDiscoveryAddresses unconfirmed addresses.
	maxDiscoveryAddresses = 6
	// unresponsiveHostRounds is the number of heartbeat rounds between two messages to a host that sends none itself.
	unresponsiveHostRounds = 4
	// crashRefreshRounds is the number of heartbeat rounds between two in which a delegate announces quarantined requests again,
	// for hosts that were cut off or have restarted.
	crashRefreshRounds = 5
)

// sender sends packets to other hosts.
type sender interface {
	Send(packet Packet, addresses []netip.AddrPort) error
}

// peer is another host of which this host has received a heartbeat, rather than only a delegate's summary.
type peer struct {
	Heartbeat
	address netip.AddrPort
	region  string
	// capacity is that of the host's machine; zero if it is not known.
	capacity dispatch.Capacity
	// lastSeen is the time of the last heartbeat.
	lastSeen time.Duration
	// demandReport holds the host's demand if it has more teams than a heartbeat holds.
	demandReport demandReport
}

// fleet holds what this host knows of the other hosts: all hosts of its own failure domain by their heartbeats, and the other
// domains by their delegates' summaries, which list only a few hosts of each domain.
type fleet struct {
	host *Host
	// socket is the socket for messages of other hosts; nil until the host listens.
	socket atomic.Pointer[datagrams.Socket[Packet]]
	// sender returns the socket; tests replace it.
	sender func() sender
	// peerPort is the peer port, which is the same at every host.
	peerPort uint16
	// urgentNews receives when the other hosts must learn something before the next round: this host, which watches the store,
	// has newer objects, or a request must be quarantined.
	urgentNews chan struct{}

	mu sync.Mutex
	// peers holds the hosts whose heartbeats were received, by name.
	peers map[string]*peer
	// domains holds the other failure domains by name.
	domains map[string]*domain
	// outsideDemand holds the demand in all other domains as the delegates of this host's domain report it, by delegate.
	outsideDemand map[string]*demandReport
	// unconfirmedAddresses holds the peer addresses at which no running host is known yet, with the failure domain or "".
	unconfirmedAddresses map[netip.AddrPort]string
	// rounds counts the heartbeat rounds.
	rounds int
	// number is the sequence number of the last message with an Origin.
	number uint64
	// urgent is set in a round with urgent news, which goes to all delegates.
	urgent bool
	// wasDelegate is set if this host was a delegate in the last round.
	wasDelegate bool
	// serving is the last result of servingHosts, counted at servingAt.
	serving   int
	servingAt time.Duration
}

func newFleet(h *Host) *fleet {
	f := &fleet{
		host: h, peers: map[string]*peer{}, domains: map[string]*domain{}, outsideDemand: map[string]*demandReport{},
		unconfirmedAddresses: map[netip.AddrPort]string{}, urgentNews: make(chan struct{}, 1),
	}
	f.sender = func() sender {
		if socket := f.socket.Load(); socket != nil {
			return socket
		}
		return nil
	}
	return f
}

// hash32 returns a short hash of a name. Messages identify teams and servers by it.
func hash32(name string) uint32 { return uint32(placement.Hash(name)) }

// addPeerAddress adds the peer address of a host that may be running. failureDomain is empty if it is not known.
func (f *fleet) addPeerAddress(address, failureDomain string) {
	parsed, err := netip.ParseAddrPort(address)
	if err == nil {
		f.addPeerAddrPort(parsed, failureDomain)
	}
}

// addPeerAddrPort adds a peer address and sends this host's heartbeat to it, so that the host there answers with its own.
// Addresses in other failure domains are left to the delegates, unless this host knows no other host.
func (f *fleet) addPeerAddrPort(address netip.AddrPort, failureDomain string) {
	own := f.host.settings
	if address.String() == own.PeerAddress {
		return
	}
	f.mu.Lock()
	_, known := f.unconfirmedAddresses[address]
	for _, p := range f.peers {
		known = known || p.address == address
	}
	if !known {
		f.unconfirmedAddresses[address] = failureDomain
	}
	knowsNoHost := len(f.peers)+len(f.domains) == 0 && len(f.unconfirmedAddresses) <= maxDiscoveryAddresses
	f.mu.Unlock()
	if !known && (failureDomain == "" || failureDomain == own.FailureDomain || knowsNoHost) {
		f.sendHeartbeatTo([]netip.AddrPort{address})
	}
}

// receive handles a packet of another host.
func (f *fleet) receive(from netip.AddrPort, packet Packet) {
	switch {
	case packet.HostHeartbeat != nil:
		f.handleHeartbeat(from, *packet.HostHeartbeat)
		f.recordCapacity(packet)
	case packet.DomainSummary != nil:
		f.handleSummary(from, packet)
	case packet.DemandPart != nil:
		f.handleDemand(packet)
	case packet.Rollout != nil:
		f.handleRolloutMessage(packet)
	case packet.ServerNotices != nil:
		f.handleNotices(packet.ServerNotices)
	}
}

// handleHeartbeat stores the heartbeat of another host, and answers it if it is the first one received from the host's process.
func (f *fleet) handleHeartbeat(from netip.AddrPort, heartbeat Heartbeat) {
	if heartbeat.Host == "" || heartbeat.Host == f.host.settings.Host {
		return
	}
	now := f.host.now()
	address := netip.AddrPortFrom(from.Addr().Unmap(), f.peerPort)
	f.mu.Lock()
	previous := f.peers[heartbeat.Host]
	if previous != nil && previous.Started > heartbeat.Started && now-previous.lastSeen < hostTimeout {
		// A late message of an earlier process. If no message has arrived for hostTimeout, a lower start time means that the
		// host restarted with its clock set back.
		f.mu.Unlock()
		return
	}
	if previous == nil || previous.Started != heartbeat.Started || previous.State != heartbeat.State {
		f.host.log.Emit(events.PeerStateChanged, "peer", heartbeat.Host, "state", heartbeat.State,
			"failure-domain", heartbeat.FailureDomain, "caller-address", heartbeat.CallerAddr)
	}
	current := &peer{
		Heartbeat: heartbeat, address: address, region: f.host.settings.Regions[heartbeat.FailureDomain], lastSeen: now,
	}
	if previous != nil && previous.Started == heartbeat.Started && len(heartbeat.Demand) == 0 &&
		now-previous.demandReport.lastSeen < hostTimeout {
		current.demandReport = previous.demandReport
	}
	if previous != nil && previous.Started == heartbeat.Started {
		current.capacity = previous.capacity
	}
	f.peers[heartbeat.Host] = current
	delete(f.unconfirmedAddresses, address)
	f.mu.Unlock()
	if previous == nil || previous.Started != heartbeat.Started {
		f.answerFirstHeartbeat(address, heartbeat.FailureDomain)
	}
	for _, peerAddress := range heartbeat.PeerAddresses {
		f.addPeerAddrPort(peerAddress, f.host.settings.FailureDomain)
	}
	f.handleCrashes(now, heartbeat.Crashes)
	if heartbeat.StoreAccess == watchers.Reachable {
		f.host.recordStoreReachableByPeer()
	}
	f.host.stalenessDetector.comparePeer(now, heartbeat.Host, heartbeat.Digests, heartbeat.Revisions)
}

// answerFirstHeartbeat sends a newly discovered or restarted host this host's heartbeat, with quarantined requests and with peer
// addresses of hosts in the receiver's failure domain. A delegate also sends the limits of servers and, to a host of its own domain,
// the summaries of the other domains.
func (f *fleet) answerFirstHeartbeat(address netip.AddrPort, failureDomain string) {
	now := f.host.now()
	heartbeat := f.newHeartbeat(f.host.crashTracker.quarantined(now))
	f.mu.Lock()
	heartbeat.PeerAddresses = f.peerAddressesOf(failureDomain, now)
	known := f.knownSummaries(now, failureDomain)
	f.mu.Unlock()
	f.sendPacket(f.heartbeatPacket(&heartbeat), []netip.AddrPort{address})
	if !f.isDelegate(now) {
		return
	}
	f.sendNotices(f.host.noticesInForce(now), []netip.AddrPort{address})
	if failureDomain == f.host.settings.FailureDomain {
		for _, packet := range known {
			f.sendPacket(packet, []netip.AddrPort{address})
		}
	}
}

// peerAddressesOf returns a random selection of up to maxPeerAddresses peer addresses of hosts in a failure domain. The
// caller holds f.mu.
func (f *fleet) peerAddressesOf(failureDomain string, now time.Duration) (addresses []netip.AddrPort) {
	for _, p := range f.peers {
		if p.FailureDomain == failureDomain && now-p.lastSeen < forgetHostAfter/4 {
			addresses = append(addresses, p.address)
		}
	}
	if d := f.domains[failureDomain]; d != nil {
		if primary := d.primary(now, f.domainTimeout(failureDomain)); primary != nil {
			for _, listed := range primary.Listed {
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

// run sends heartbeats until ctx is cancelled: at once, at intervals, and when there is urgent news.
func (f *fleet) run(ctx context.Context) error {
	timer := time.NewTimer(f.sendRound(false))
	defer timer.Stop()
	for lastRound := f.host.now(); ; lastRound = f.host.now() {
		urgent := false
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-f.urgentNews:
			urgent = true
			if !wait(ctx, lastRound+minUrgentInterval-f.host.now()) {
				return nil
			}
		}
		timer.Reset(f.sendRound(urgent))
	}
}

// wait waits for d, and reports whether ctx has not ended. It uses no timer for a wait that is over: in a testing/synctest bubble,
// receiving from a timer that is due crashes the race detector of Go 1.26 (runtime.(*timer).maybeRunChan).
func wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// state returns this host's stage in its life cycle.
func (h *Host) state() State {
	switch {
	case h.draining.Load():
		return Leaving
	case h.ready():
		return Ready
	}
	return Starting
}

// origin returns the origin of this host's next message. The caller holds f.mu.
func (f *fleet) origin() Origin {
	own := f.host.settings
	return Origin{FailureDomain: own.FailureDomain, Host: own.Host, Started: f.host.start.UnixMilli(), Number: f.number}
}
