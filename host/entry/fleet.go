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
	// tick is the time between two messages to each other host of the failure domain; tickJitter is the random part of it.
	tick       = 600 * time.Millisecond
	tickJitter = 100 * time.Millisecond
	// fastTick replaces tick while a version is being widened.
	fastTick = 250 * time.Millisecond
	// silentAfter is the time without a message after which a host is left out of look-ups and shares.
	silentAfter = 2500 * time.Millisecond
	// forgetAfter is the time without a message after which a host is forgotten.
	forgetAfter = time.Minute
	// fleetKnown is the time after the start from which hosts that were not heard from are taken for gone.
	fleetKnown = 3 * time.Second
	// maxForeignGreetings is the number of hosts of other failure domains that a host greets while it knows nobody.
	maxForeignGreetings = 6
	// silentEvery is how many ticks pass between two messages to a host that is silent.
	silentEvery = 4
)

// sender sends packets to other hosts.
type sender interface {
	Send(packet Packet, addresses []netip.AddrPort) error
}

// peer is another host that was heard from directly.
type peer struct {
	Message
	address netip.AddrPort
	region  string
	heardAt time.Duration
	// rates holds the demand of a host with many teams.
	rates rates
}

// fleet knows the other hosts: each of its own failure domain, at most as many as the store lists, and of the other domains
// what their delegates tell.
type fleet struct {
	host *Host
	// node is set once the host listens.
	node atomic.Pointer[datagrams.Node[Packet]]
	// sender is the node but for tests.
	sender func() sender
	// port is the peer port of every host.
	port uint16

	mu    sync.Mutex
	peers map[string]*peer
	// domains holds the other failure domains by name.
	domains map[string]*domain
	// elsewhere holds the rates of all other domains as the delegates of the own one state them, by host.
	elsewhere map[string]*rates
	// contacts are addresses of hosts that were not heard from, with their failure domain if it is known.
	contacts map[netip.AddrPort]string
	ticks    int
	// number is that of the last summary.
	number uint64
	// wasDelegate is set while this host is a delegate.
	wasDelegate bool
}

func newFleet(h *Host) *fleet {
	f := &fleet{
		host: h, peers: map[string]*peer{}, domains: map[string]*domain{}, elsewhere: map[string]*rates{}, contacts: map[netip.AddrPort]string{},
	}
	f.sender = func() sender {
		if node := f.node.Load(); node != nil {
			return node
		}
		return nil
	}
	return f
}

func shortHash(name string) uint32 { return uint32(placement.Hash(name)) }

// contact adds the address of a host that may be running; failureDomain is empty when it is not known. Hosts of other
// failure domains are left to the delegates.
func (f *fleet) contact(address, failureDomain string) {
	parsed, err := netip.ParseAddrPort(address)
	if err == nil {
		f.contactAt(parsed, failureDomain)
	}
}

func (f *fleet) contactAt(address netip.AddrPort, failureDomain string) {
	own := f.host.settings
	if address.String() == own.PeerAddress {
		return
	}
	f.mu.Lock()
	_, known := f.contacts[address]
	for _, p := range f.peers {
		known = known || p.address == address
	}
	if !known {
		f.contacts[address] = failureDomain
	}
	alone := len(f.peers)+len(f.domains) == 0 && len(f.contacts) <= maxForeignGreetings
	f.mu.Unlock()
	if !known && (failureDomain == "" || failureDomain == own.FailureDomain || alone) {
		f.sendMessage([]netip.AddrPort{address})
	}
}

// receive takes in a packet of another host.
func (f *fleet) receive(from netip.AddrPort, packet Packet) {
	switch {
	case packet.Host != nil:
		f.hear(from, *packet.Host)
	case packet.Summary != nil:
		f.hearSummary(from, packet)
	case packet.Rates != nil:
		f.hearRates(packet)
	case packet.Trial != nil:
		f.hearTrial(packet)
	}
}

// hear takes in a message of another host.
func (f *fleet) hear(from netip.AddrPort, m Message) {
	if m.Host == "" || m.Host == f.host.settings.Host {
		return
	}
	now := f.host.now()
	address := netip.AddrPortFrom(from.Addr().Unmap(), f.port)
	f.mu.Lock()
	known := f.peers[m.Host]
	if known != nil && known.Started > m.Started && now-known.heardAt < silentAfter {
		// A message of an earlier process came late. After a silence it is that of a host whose clock was set back.
		f.mu.Unlock()
		return
	}
	if known == nil || known.Started != m.Started || known.State != m.State {
		f.host.log.Emit(events.PeerHeard, "peer", m.Host, "state", m.State, "failure-domain", m.FailureDomain, "caller-address", m.Caller)
	}
	heard := &peer{Message: m, address: address, region: f.host.settings.Regions[m.FailureDomain], heardAt: now}
	if known != nil && known.Started == m.Started && len(m.Demand) == 0 && now-known.rates.heardAt < silentAfter {
		heard.rates = known.rates
	}
	f.peers[m.Host] = heard
	delete(f.contacts, address)
	f.mu.Unlock()
	if known == nil || known.Started != m.Started {
		f.answerGreeting(address, m.FailureDomain)
	}
	for _, contact := range m.Contacts {
		f.contactAt(contact, f.host.settings.FailureDomain)
	}
	f.takeCrashes(now, m.Crashes)
	if m.Store == watchers.Reachable {
		f.host.storeServesOthers()
	}
	f.host.refresher.compare(now, m.Host, m.Digests, m.Revisions)
}

// answerGreeting tells a host that starts who runs: this host, hosts of its failure domain, and the domains that are known.
func (f *fleet) answerGreeting(address netip.AddrPort, failureDomain string) {
	m := f.message(nil)
	now := f.host.now()
	f.mu.Lock()
	m.Contacts = f.contactsOf(failureDomain, now)
	known := f.summaries(now, failureDomain)
	f.mu.Unlock()
	f.sendTo(Packet{Host: &m}, []netip.AddrPort{address})
	if failureDomain == f.host.settings.FailureDomain && f.isDelegate(now) {
		for _, packet := range known {
			f.sendTo(packet, []netip.AddrPort{address})
		}
	}
}

// contactsOf returns peer addresses of hosts of a failure domain. The caller holds f.mu.
func (f *fleet) contactsOf(failureDomain string, now time.Duration) (addresses []netip.AddrPort) {
	for _, p := range f.peers {
		if p.FailureDomain == failureDomain && now-p.heardAt < forgetAfter/4 {
			addresses = append(addresses, p.address)
		}
	}
	if d := f.domains[failureDomain]; d != nil {
		if s := d.primary(now, f.domainSilence(failureDomain)); s != nil {
			for _, listed := range s.Listed {
				addresses = append(addresses, listed.Peer)
			}
		}
	}
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	addresses = slices.Compact(addresses)
	if len(addresses) > maxContacts {
		rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
		addresses = addresses[:maxContacts]
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
		f.choosePollers(f.host.now())
		f.send()
		next := tick
		if f.host.widening() {
			next = fastTick
		}
		timer.Reset(next + time.Duration(rand.Int64N(int64(tickJitter))))
	}
}

// send tells the hosts of the own failure domain of this host, and the other domains of the own one.
func (f *fleet) send() {
	crashes := f.host.suspects.news()
	now := f.host.now()
	m := f.message(crashes)
	addresses := f.addresses(now)
	if f.isDelegate(now) {
		f.mu.Lock()
		m.Contacts = f.contactsOf(f.host.settings.FailureDomain, now)
		f.mu.Unlock()
	}
	packets := append([]Packet{{Host: &m}}, f.trialNews()...)
	if len(m.Demand) == 0 {
		packets = append(packets, f.manyRates()...)
	}
	for _, packet := range packets {
		f.sendTo(packet, addresses)
	}
	f.advertise(now, crashes)
}

// sendMessage sends this host's message to the addresses.
func (f *fleet) sendMessage(addresses []netip.AddrPort) {
	m := f.message(nil)
	f.sendTo(Packet{Host: &m}, addresses)
}

// sendTo sends a packet to the addresses; before the host listens, or without an address, it does nothing.
func (f *fleet) sendTo(packet Packet, addresses []netip.AddrPort) {
	node := f.sender()
	if len(addresses) == 0 || node == nil {
		return
	}
	if err := node.Send(packet, addresses); err != nil {
		f.host.log.Emit(events.PeerNotTold, "error", err)
	}
}

// addresses returns where the next message goes; silent hosts get few messages.
func (f *fleet) addresses(now time.Duration) (addresses []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ticks++
	for name, p := range f.peers {
		if now-p.heardAt > forgetAfter {
			delete(f.peers, name)
			continue
		}
		every := 1
		if now-p.heardAt >= silentAfter {
			every = silentEvery
		}
		if p.FailureDomain == f.host.settings.FailureDomain && (f.ticks+int(shortHash(name)))%every == 0 {
			addresses = append(addresses, p.address)
		}
	}
	if f.ticks%silentEvery == 1 || now < fleetKnown {
		for address, failureDomain := range f.contacts {
			if failureDomain == "" || failureDomain == f.host.settings.FailureDomain {
				addresses = append(addresses, address)
			}
		}
	}
	return addresses
}

// message is what this host tells others; crashes are those that they have to hear of.
func (f *fleet) message(crashes []Crash) Message {
	h := f.host
	m := Message{
		Host: h.settings.Host, Started: h.start.UnixMilli(), Caller: h.settings.CallerAddress,
		FailureDomain: h.settings.FailureDomain, Demand: h.teams.demands(h.now()), Crashes: crashes,
	}
	if len(m.Demand) > maxDemands {
		m.Demand = nil
	}
	if current := h.view.Load().configuration; current != nil {
		m.Sequence = current.Sequence
	}
	m.Store = h.storeState()
	if m.Store != watchers.Unknown {
		h.refresher.mu.Lock()
		m.Digests, m.Revisions = h.refresher.digests, h.refresher.revisions
		h.refresher.mu.Unlock()
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

// takeCrashes takes in crashes that other hosts saw, and passes on those that are new when this host is a delegate.
func (f *fleet) takeCrashes(now time.Duration, crashes []Crash) {
	for _, crash := range crashes {
		if f.host.suspects.heard(now, crash) && f.isDelegate(now) {
			f.host.suspects.passOn(crash)
		}
	}
}

// manyRates is the demand that this host told last when it is that of more teams than a message holds.
func (f *fleet) manyRates() []Packet {
	told := f.host.teams.told()
	if len(told) <= maxDemands {
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
	return ratePackets(origin, ofHost, demand)
}

// origin names this host as the origin of the next message. The caller holds f.mu.
func (f *fleet) origin() Origin {
	own := f.host.settings
	return Origin{FailureDomain: own.FailureDomain, Host: own.Host, Started: f.host.start.UnixMilli(), Number: f.number}
}
