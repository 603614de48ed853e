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
	"vanillatally/core/rollout"
	"vanillatally/core/share"
	"vanillatally/core/watchers"
	"vanillatally/io/datagrams"
	"vanillatally/io/events"
)

const (
	// tick is the time between two messages to each other host; tickJitter is the random part of it.
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
	// silentEvery is how many ticks pass between two messages to a host that is silent.
	silentEvery = 4
	// farHosts is the number of hosts for each tick between two messages to a host of another region, and maxFarEvery bounds
	// these ticks: links between regions carry few of the messages of a large fleet.
	farHosts    = 20
	maxFarEvery = 3
	// farSilence is added to silentAfter for each of these ticks beyond the first.
	farSilence = 1500 * time.Millisecond
	// rateScale turns rates per second into the integers of messages.
	rateScale = 8
	// maxCrashes, maxDemands and maxTrials bound a message.
	maxCrashes = 8
	maxDemands = 64
	maxTrials  = 4
)

// State says how far a host is in its life.
type State uint8

// The states of a host.
const (
	Starting State = iota
	Ready
	Leaving
)

// Message is what hosts tell each other. It must fit datagrams.MaxBytes.
type Message struct {
	_    struct{} `cbor:",toarray"`
	Host string
	// Started is the Unix time of the host's start in milliseconds; messages of an earlier process are ignored.
	Started       int64
	State         State
	Caller        string
	FailureDomain string
	Sequence      uint64
	// Demand holds the smoothed requests per second of teams, times rateScale, by the hash of the team's name.
	Demand  map[uint32]uint16
	Crashes []Crash
	Trials  []TrialReport
	Store   watchers.Store
	// Digests and Revisions are stated by hosts that watch the store.
	Digests   Digests
	Revisions Revisions
}

// TrialReport is what a host saw of a running rollout.
type TrialReport struct {
	_        struct{} `cbor:",toarray"`
	Service  string
	Revision uint64
	// ElapsedMS is the time since the order as the host knows it.
	ElapsedMS int64
	// Bad is set once the host found the version bad.
	Bad bool
	// Counts holds all evidence since the host first saw the order, so that a lost message loses nothing.
	Counts rollout.Batch
}

// peer is another host.
type peer struct {
	Message
	address netip.AddrPort
	region  string
	heardAt time.Duration
}

// fleet knows the other hosts, at most as many as the store lists.
type fleet struct {
	host *Host
	// node is set once the host listens.
	node atomic.Pointer[datagrams.Node[Message]]
	// port is the peer port of every host.
	port uint16

	mu    sync.Mutex
	peers map[string]*peer
	// contacts are addresses of hosts that were not heard from.
	contacts map[netip.AddrPort]bool
	ticks    int
}

func shortHash(name string) uint32 { return uint32(placement.Hash(name)) }

// contact adds the address of a host that may be running.
func (f *fleet) contact(address string) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.String() == f.host.settings.PeerAddress {
		return
	}
	f.mu.Lock()
	known := f.contacts[parsed]
	for _, p := range f.peers {
		known = known || p.address == parsed
	}
	if !known {
		f.contacts[parsed] = true
	}
	f.mu.Unlock()
	if !known {
		f.sendTo([]netip.AddrPort{parsed})
	}
}

// hosts returns the number of hosts that were heard from lately, this one included.
func (f *fleet) hosts() int {
	now := f.host.now()
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 1
	for _, p := range f.peers {
		if f.alive(p, now) {
			n++
		}
	}
	return n
}

// known returns the number of hosts that may be running: those heard from and those that were not yet.
func (f *fleet) known() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return 1 + len(f.peers) + len(f.contacts)
}

// alive reports whether the host was heard from lately and does not leave. The caller holds f.mu.
func (f *fleet) alive(p *peer, now time.Duration) bool {
	return now-p.heardAt < f.silence(p) && p.State != Leaving
}

// farEvery is the number of ticks between two messages to a host of another region. The caller holds f.mu.
func (f *fleet) farEvery() int { return min(max(1, len(f.peers)/farHosts), maxFarEvery) }

// silence is the time without a message after which the host is left out. The caller holds f.mu.
func (f *fleet) silence(p *peer) time.Duration {
	if p.region == f.host.settings.Region {
		return silentAfter
	}
	return silentAfter + time.Duration(f.farEvery()-1)*farSilence
}

// demand sums up what the other hosts see of a team's demand, in requests per second. A leaving host still admits the
// requests on its open connections; once it falls silent its last statement fades as its demand would.
func (f *fleet) demand(now time.Duration, team uint32) (perSecond float64, hosts int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	hosts = 1
	for _, p := range f.peers {
		silent := now - p.heardAt
		if silent >= f.silence(p) {
			continue
		}
		stated := float64(p.Demand[team]) / rateScale
		if p.State == Leaving && silent > tick {
			stated = share.Faded(stated, silent-tick)
		}
		hosts++
		perSecond += stated
	}
	return perSecond, hosts
}

// owner reports whether this host is the one of its region's hosts, or of all hosts when the region has none, that
// alone may send to a server.
func (f *fleet) owner(s *server) bool {
	now := f.host.now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if now < fleetKnown && len(f.contacts) > 0 {
		// Another host may be the owner, which this one has not heard yet.
		return false
	}
	self := f.host.settings
	best, bestWeight, bestNear := self.Host, placement.Affinity(s.hash, placement.Hash(self.Host)), self.Region == s.Region
	for name, p := range f.peers {
		if !f.alive(p, now) || p.State != Ready {
			continue
		}
		near, weight := p.region == s.Region, placement.Affinity(s.hash, placement.Hash(name))
		if near && !bestNear || near == bestNear && weight > bestWeight {
			best, bestWeight, bestNear = name, weight, near
		}
	}
	return best == self.Host
}

// leader reports whether this host has the lowest name of those that are ready.
func (f *fleet) leader() bool {
	now := f.host.now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, p := range f.peers {
		if f.alive(p, now) && p.State == Ready && name < f.host.settings.Host {
			return false
		}
	}
	return true
}

// StorePeers returns the peer addresses of the hosts that reach the store, those of this host's region first.
func (h *Host) StorePeers() []string {
	now := h.now()
	var near, far []string
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	for _, p := range h.fleet.peers {
		switch {
		case !h.fleet.alive(p, now) || p.Store != watchers.Reached:
		case p.region == h.settings.Region:
			near = append(near, p.address.String())
		default:
			far = append(far, p.address.String())
		}
	}
	return append(near, far...)
}

// domainHosts is the number of ready hosts of a failure domain from which its callers are sent to them alone.
const domainHosts = 3

// find returns the caller addresses of the ready hosts of a failure domain; when it has few, those of its region, and when
// that has none, of all. It returns at most as many as the settings allow.
func (f *fleet) find(region, failureDomain string) []string {
	now := f.host.now()
	var domain, near, all []string
	add := func(inRegion, inDomain, address string) {
		all = append(all, address)
		if inRegion == region {
			near = append(near, address)
		}
		if inDomain == failureDomain {
			domain = append(domain, address)
		}
	}
	if f.host.ready() {
		add(f.host.settings.Region, f.host.settings.FailureDomain, f.host.settings.CallerAddress)
	}
	f.mu.Lock()
	for _, p := range f.peers {
		if f.alive(p, now) && p.State == Ready {
			add(p.region, p.FailureDomain, p.Caller)
		}
	}
	f.mu.Unlock()
	found := all
	if len(domain) >= domainHosts {
		found = domain
	} else if len(near) > 0 {
		found = near
	}
	slices.Sort(found)
	return found[:min(len(found), int(f.host.limits.Load().LookupHosts))]
}

// receive takes in a message of another host.
func (f *fleet) receive(from netip.AddrPort, m Message) {
	if m.Host == "" || m.Host == f.host.settings.Host {
		return
	}
	now := f.host.now()
	address := netip.AddrPortFrom(from.Addr().Unmap(), f.port)
	f.mu.Lock()
	known := f.peers[m.Host]
	if known != nil && known.Started > m.Started {
		f.mu.Unlock()
		return
	}
	if known == nil || known.Started != m.Started || known.State != m.State {
		f.host.log.Emit(events.PeerHeard, "peer", m.Host, "state", m.State, "failure-domain", m.FailureDomain, "caller-address", m.Caller)
	}
	f.peers[m.Host] = &peer{Message: m, address: address, region: f.host.settings.Regions[m.FailureDomain], heardAt: now}
	delete(f.contacts, address)
	f.mu.Unlock()
	if known == nil {
		// A host that starts has to know soon who runs.
		f.sendTo([]netip.AddrPort{address})
	}
	for _, crash := range m.Crashes {
		f.host.suspects.heard(now, crash)
	}
	if m.Store == watchers.Reached {
		f.host.storeServesOthers()
	}
	f.host.hearTrials(now, m)
	f.host.refresher.compare(now, m.Host, m.Digests, m.Revisions)
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

// send sends one message to each host that is known.
func (f *fleet) send() { f.sendTo(f.addresses(f.host.now())) }

// sendTo sends one message to the addresses; before the host listens, or without an address, it does nothing.
func (f *fleet) sendTo(addresses []netip.AddrPort) {
	node := f.node.Load()
	if len(addresses) == 0 || node == nil {
		return
	}
	if err := node.Send(f.message(), addresses); err != nil {
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
		if now-p.heardAt >= f.silence(p) {
			every = silentEvery
		} else if p.region != f.host.settings.Region {
			every = f.farEvery()
		}
		if (f.ticks+int(shortHash(name)))%every == 0 {
			addresses = append(addresses, p.address)
		}
	}
	if f.ticks%silentEvery == 1 {
		for address := range f.contacts {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

func (f *fleet) message() Message {
	h := f.host
	m := Message{
		Host: h.settings.Host, Started: h.start.UnixMilli(), Caller: h.settings.CallerAddress,
		FailureDomain: h.settings.FailureDomain, Demand: h.teams.demands(h.now()), Crashes: h.suspects.news(), Trials: h.trialReports(),
	}
	if len(m.Demand) > maxDemands {
		m.Demand = largest(m.Demand, maxDemands)
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
	switch {
	case h.draining.Load():
		m.State = Leaving
	case h.ready():
		m.State = Ready
	}
	return m
}

// largest returns the n largest demands.
func largest(demand map[uint32]uint16, n int) map[uint32]uint16 {
	rates := make([]uint16, 0, len(demand))
	for _, rate := range demand {
		rates = append(rates, rate)
	}
	slices.Sort(rates)
	least := rates[len(rates)-n]
	kept := make(map[uint32]uint16, n)
	for team, rate := range demand {
		if rate >= least && len(kept) < n {
			kept[team] = rate
		}
	}
	return kept
}
