package entry

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"

	"vanillatally/core/era"
	"vanillatally/io/datagrams"
	"vanillatally/io/events"
	"vanillatally/io/settings"
)

// network delivers packets between the hosts of a test with a delay. A host without an entry in hosts is down.
type network struct {
	t  *testing.T
	mu sync.Mutex
	// The fields below are guarded by mu.
	hosts map[netip.AddrPort]*Host
	// lose, if set, reports whether the next packet is lost.
	lose func() bool
	// domainBytes counts the bytes sent within failure domains, regionBytes those between failure domains of a region, and
	// crossRegionBytes those between regions.
	domainBytes, regionBytes, crossRegionBytes int
}

// hostSender sends the packets of one host.
type hostSender struct {
	*network
	from *Host
}

const (
	intraRegionDelay = 2 * time.Millisecond
	interRegionDelay = 55 * time.Millisecond
	// packetHeaderBytes is the size of the IP and UDP headers.
	packetHeaderBytes = 28
)

func (p hostSender) Send(packet Packet, addresses []netip.AddrPort) error {
	encoded, err := cbor.Marshal(packet)
	if err != nil {
		return err
	}
	if len(encoded) > datagrams.MaxMessageBytes {
		p.t.Errorf("a packet of %d bytes exceeds datagrams.MaxBytes", len(encoded))
	}
	own, _ := netip.ParseAddrPort(p.from.settings.PeerAddress)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, address := range addresses {
		to, delay := p.hosts[address], intraRegionDelay
		switch {
		case to == nil || p.lose != nil && p.lose():
			continue
		case to.settings.FailureDomain == p.from.settings.FailureDomain:
			p.domainBytes += len(encoded) + packetHeaderBytes
		case to.settings.Region == p.from.settings.Region:
			p.regionBytes += len(encoded) + packetHeaderBytes
		default:
			p.crossRegionBytes, delay = p.crossRegionBytes+len(encoded)+packetHeaderBytes, interRegionDelay
		}
		time.AfterFunc(delay, func() {
			var decoded Packet
			if err := cbor.Unmarshal(encoded, &decoded); err != nil {
				p.t.Error(err)
			}
			if p.hostAt(address) == to {
				to.fleet.receive(own, decoded)
			}
		})
	}
	return nil
}

// hostAt returns the running host at an address, or nil.
func (n *network) hostAt(address netip.AddrPort) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hosts[address]
}

// setRunning makes a host reachable at its address, or unreachable.
func (n *network) setRunning(h *Host, running bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.hosts, netip.MustParseAddrPort(h.settings.PeerAddress))
	if running {
		n.hosts[netip.MustParseAddrPort(h.settings.PeerAddress)] = h
	}
}

func (n *network) resetCounters() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.domainBytes, n.regionBytes, n.crossRegionBytes = 0, 0, 0
}

// sentBytes returns the bytes sent since resetCounters.
func (n *network) sentBytes() (domainBytes, regionBytes, crossRegionBytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.domainBytes, n.regionBytes, n.crossRegionBytes
}

// testFleet is a fleet of hosts of nine failure domains in three regions.
type testFleet struct {
	*network
	running []*Host
	stops   map[*Host]context.CancelFunc
	group   errgroup.Group
	// teams is the number of teams that send requests to the busy hosts.
	teams int
}

// busyHosts is the number of hosts in each failure domain that get requests.
const busyHosts = 4

func newTestFleet(t *testing.T, hosts, teams int) *testFleet {
	f := &testFleet{network: &network{t: t, hosts: map[netip.AddrPort]*Host{}}, stops: map[*Host]context.CancelFunc{}, teams: teams}
	regions := map[string]string{}
	for i := range 9 {
		regions[fmt.Sprint("domain-", i)] = fmt.Sprint("region-", i%3)
	}
	for i := range hosts {
		s := settings.DefaultEntryHost()
		s.FailureDomain = fmt.Sprint("domain-", i%9)
		s.Host, s.Regions, s.Region = fmt.Sprintf("host-%d-%03d", i%9, i/9), regions, regions[s.FailureDomain]
		s.PeerAddress = fmt.Sprintf("10.0.%d.%d:7000", i%9, i/9+1)
		s.CallerAddress = fmt.Sprintf("10.0.%d.%d:80", i%9, i/9+1)
		h := New(Options{Settings: s, Log: events.NewLog(io.Discard, 0, s.Host)})
		h.mu.Lock()
		h.configuration, h.serversListed = emptyConfiguration(), true
		h.publishView()
		h.mu.Unlock()
		f.running = append(f.running, h)
		f.start(h)
	}
	for _, h := range f.running {
		for _, seed := range f.running[:min(len(f.running), 3)] {
			h.AddPeerAddress(seed.settings.PeerAddress, "")
		}
	}
	return f
}

func (f *testFleet) start(h *Host) {
	address := netip.MustParseAddrPort(h.settings.PeerAddress)
	h.fleet.peerPort = address.Port()
	h.fleet.sender = func() sender { return hostSender{f.network, h} }
	f.setRunning(h, true)
	ctx, stop := context.WithCancel(context.Background())
	f.stops[h] = stop
	f.group.Go(func() error { return h.fleet.run(ctx) })
}

// kill stops a host without a goodbye to the others.
func (f *testFleet) kill(h *Host) {
	f.stops[h]()
	f.setRunning(h, false)
	f.running = slices.DeleteFunc(f.running, func(other *Host) bool { return other == h })
}

// sendRequests simulates perSecond requests of each team at each busy host for the duration.
func (f *testFleet) sendRequests(d time.Duration, perSecond int) {
	for range int(d.Seconds() * float64(perSecond)) {
		time.Sleep(time.Second / time.Duration(perSecond))
		for _, h := range f.running {
			if h.settings.Host[len("host-0-"):] >= fmt.Sprintf("%03d", busyHosts) {
				continue
			}
			for i := range f.teams {
				state := h.teams.get(fmt.Sprint("team-", i))
				state.mu.Lock()
				state.demand = state.demand.WithEvent(h.now())
				state.mu.Unlock()
			}
		}
	}
}

func (f *testFleet) stop() {
	for _, stop := range f.stops {
		stop()
	}
	if err := f.group.Wait(); err != nil {
		f.t.Error(err)
	}
}

// checkKnowledge checks the number of hosts and the demand of each team that every host knows.
func (f *testFleet) checkKnowledge(when string, perSecond float64) {
	f.t.Helper()
	busy := 0
	for _, h := range f.running {
		if h.settings.Host[len("host-0-"):] < fmt.Sprintf("%03d", busyHosts) {
			busy++
		}
	}
	for _, h := range f.running {
		if got := h.fleet.liveHosts(); got != len(f.running) {
			f.t.Errorf("%s: %s knows %d live hosts, want %d", when, h.settings.Host, got, len(f.running))
		}
		own := 0.0
		if h.settings.Host[len("host-0-"):] < fmt.Sprintf("%03d", busyHosts) {
			own = 1
		}
		for i := range f.teams {
			want := perSecond * (float64(busy) - own)
			got, _ := h.fleet.demand(h.now(), hash32(fmt.Sprint("team-", i)))
			if got < 0.8*want || got > 1.2*want {
				f.t.Errorf("%s: %s knows a demand of %.1f requests/s for a team, want %.1f/s", when, h.settings.Host, got, want)
				break
			}
		}
	}
}

// Guards against traffic that grows with the square of the fleet, demand of teams that is dropped or counted twice, and a
// failure domain that is lost to the others when its delegate dies.
func TestFleetKnowsHostsAndDemandOfAllDomains(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		hosts, teams int
		// maxBytes bounds the bytes that a host sends to other failure domains in a second.
		maxBytes float64
	}{{9, 8, 4096}, {45, 75, 4096}, {135, 100, 2048}} {
		t.Run(fmt.Sprint(c.hosts, " hosts"), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				const rate, duration = 4, 6 * time.Second
				f := newTestFleet(t, c.hosts, c.teams)
				defer f.stop()
				// Hosts without requests get the demand in other domains with a delay of some seconds.
				f.sendRequests(2*duration, rate)
				f.checkKnowledge("while all hosts run", rate)
				f.resetCounters()
				f.sendRequests(duration, rate)
				domainBytes, regionBytes, crossRegionBytes := f.sentBytes()
				perHost := func(bytes int) float64 { return float64(bytes) / float64(c.hosts) / duration.Seconds() }
				t.Logf("%d hosts, bytes per host and second: %.0f within failure domains, %.0f between them, %.0f between regions",
					c.hosts, perHost(domainBytes), perHost(regionBytes), perHost(crossRegionBytes))
				if got := perHost(regionBytes + crossRegionBytes); got > c.maxBytes {
					t.Errorf("each host sends %.0f bytes/s to other failure domains, want at most %.0f", got, c.maxBytes)
				}
				killed := f.running[0]
				f.kill(killed)
				f.sendRequests(8*time.Second, rate)
				f.checkKnowledge("after the death of a delegate", rate)
				for _, h := range f.running {
					if found := h.fleet.lookup(killed.settings.Region, killed.settings.FailureDomain); slices.Contains(
						found, killed.settings.CallerAddress,
					) {
						t.Errorf("%s still returns the killed host in lookups", h.settings.Host)
					}
				}
			})
		})
	}
}

// Guards against several owners of a cold server, which together exceed its rate limit for requests, and against none, so
// that the server gets no requests and stays cold.
func TestFleetAgreesOnColdServerOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 45, 0)
		defer f.stop()
		f.sendRequests(8*time.Second, 1)
		for i := range 50 {
			s := &server{hash: uint64(i) * 7919}
			s.Region = fmt.Sprint("region-", i%3)
			owners := 0
			for _, h := range f.running {
				if h.fleet.ownsServer(s) {
					owners++
				}
			}
			if owners != 1 {
				t.Errorf("server has %d owners, want 1", owners)
			}
		}
	})
}

// Guards against a change of the store's objects that one region has, while the others learn only seconds later that their own
// objects are out of date, because their watches deliver nothing.
func TestFleetLearnsOfNewerObjectsAtOnce(t *testing.T) {
	for _, hosts := range []int{9, 45} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, hosts, 0)
				defer f.stop()
				for _, h := range f.running {
					h.SetDigest(Evacuations, 1, era.Position{Revision: 10})
				}
				f.sendRequests(8*time.Second, 1)
				const most = 300 * time.Millisecond
				f.running[0].SetDigest(Evacuations, 2, era.Position{Revision: 20})
				time.Sleep(most)
				for _, h := range f.running[1:] {
					h.stalenessDetector.mu.Lock()
					since := h.stalenessDetector.staleSince[Evacuations]
					h.stalenessDetector.mu.Unlock()
					if since == 0 {
						t.Errorf("%s does not know after %v that its evacuations are out of date", h.settings.Host, most)
					}
				}
			})
		})
	}
}
