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

	"vanillatally/io/datagrams"
	"vanillatally/io/events"
	"vanillatally/io/settings"
)

// network carries packets between the hosts of a test with a delay. A host without an entry in hosts is down.
type network struct {
	t  *testing.T
	mu sync.Mutex
	// The fields below are guarded by mu.
	hosts map[netip.AddrPort]*Host
	// inside, between and far count the bytes within failure domains, between those of a region, and between regions.
	inside, between, far int
}

// port is the sender of one host.
type port struct {
	*network
	from *Host
}

const (
	nearDelay = 2 * time.Millisecond
	farDelay  = 55 * time.Millisecond
	// packetHeader is the size in bytes of the headers of IP and UDP.
	packetHeader = 28
)

func (p port) Send(packet Packet, addresses []netip.AddrPort) error {
	encoded, err := cbor.Marshal(packet)
	if err != nil {
		return err
	}
	if len(encoded) > datagrams.MaxMessageBytes {
		p.t.Errorf("a packet has %d bytes", len(encoded))
	}
	own, _ := netip.ParseAddrPort(p.from.settings.PeerAddress)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, address := range addresses {
		to, delay := p.hosts[address], nearDelay
		switch {
		case to == nil:
			continue
		case to.settings.FailureDomain == p.from.settings.FailureDomain:
			p.inside += len(encoded) + packetHeader
		case to.settings.Region == p.from.settings.Region:
			p.between += len(encoded) + packetHeader
		default:
			p.far, delay = p.far+len(encoded)+packetHeader, farDelay
		}
		time.AfterFunc(delay, func() {
			var decoded Packet
			if err := cbor.Unmarshal(encoded, &decoded); err != nil {
				p.t.Error(err)
			}
			if p.at(address) == to {
				to.fleet.receive(own, decoded)
			}
		})
	}
	return nil
}

// at returns the host at an address, nil when it is down.
func (n *network) at(address netip.AddrPort) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hosts[address]
}

// set puts a host at its address, or takes it away.
func (n *network) set(h *Host, running bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.hosts, netip.MustParseAddrPort(h.settings.PeerAddress))
	if running {
		n.hosts[netip.MustParseAddrPort(h.settings.PeerAddress)] = h
	}
}

// reset begins to count anew, and sent returns the bytes that left failure domains.
func (n *network) reset() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inside, n.between, n.far = 0, 0, 0
}

func (n *network) sent() (inside, between, far int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.inside, n.between, n.far
}

// testFleet is a fleet of hosts of nine failure domains in three regions.
type testFleet struct {
	*network
	all   []*Host
	stops map[*Host]context.CancelFunc
	group errgroup.Group
	// teams is the number of teams that send requests to the first hosts of each failure domain.
	teams int
}

// busyHosts is the number of hosts of each failure domain that get requests.
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
		f.all = append(f.all, h)
		f.start(h)
	}
	for _, h := range f.all {
		for _, seed := range f.all[:min(len(f.all), 3)] {
			h.AddPeerAddress(seed.settings.PeerAddress, "")
		}
	}
	return f
}

func (f *testFleet) start(h *Host) {
	address := netip.MustParseAddrPort(h.settings.PeerAddress)
	h.fleet.peerPort = address.Port()
	h.fleet.sender = func() sender { return port{f.network, h} }
	f.set(h, true)
	ctx, stop := context.WithCancel(context.Background())
	f.stops[h] = stop
	f.group.Go(func() error { return h.fleet.run(ctx) })
}

// kill ends a host without a word.
func (f *testFleet) kill(h *Host) {
	f.stops[h]()
	f.set(h, false)
	f.all = slices.DeleteFunc(f.all, func(other *Host) bool { return other == h })
}

// play lets the busy hosts get perSecond requests of each team for d.
func (f *testFleet) play(d time.Duration, perSecond int) {
	for range int(d.Seconds() * float64(perSecond)) {
		time.Sleep(time.Second / time.Duration(perSecond))
		for _, h := range f.all {
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

// end stops all hosts.
func (f *testFleet) end() {
	for _, stop := range f.stops {
		stop()
	}
	if err := f.group.Wait(); err != nil {
		f.t.Error(err)
	}
}

// check looks at what each host knows of the others.
func (f *testFleet) check(what string, perSecond float64) {
	f.t.Helper()
	busy := 0
	for _, h := range f.all {
		if h.settings.Host[len("host-0-"):] < fmt.Sprintf("%03d", busyHosts) {
			busy++
		}
	}
	for _, h := range f.all {
		if got := h.fleet.liveHosts(); got != len(f.all) {
			f.t.Errorf("%s: %s counts %d of %d hosts", what, h.settings.Host, got, len(f.all))
		}
		own := 0.0
		if h.settings.Host[len("host-0-"):] < fmt.Sprintf("%03d", busyHosts) {
			own = 1
		}
		for i := range f.teams {
			want := perSecond * (float64(busy) - own)
			got, _ := h.fleet.demand(h.now(), hash32(fmt.Sprint("team-", i)))
			if got < 0.8*want || got > 1.2*want {
				f.t.Errorf("%s: %s knows a demand of %.1f/s of a team, want %.1f/s", what, h.settings.Host, got, want)
				break
			}
		}
	}
}

// Guards against messages that grow with the square of the fleet, against teams whose demand is cut off or counted twice, and
// against a failure domain that is lost with its delegate.
func TestFleetHearsItsFailureDomains(t *testing.T) {
	for _, c := range []struct {
		hosts, teams int
		// most is the bound of the bytes that a host sends to other failure domains in a second.
		most float64
	}{{9, 8, 4096}, {45, 75, 4096}, {135, 100, 2048}} {
		t.Run(fmt.Sprint(c.hosts, " hosts"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const rate, played = 4, 6 * time.Second
				f := newTestFleet(t, c.hosts, c.teams)
				defer f.end()
				// Hosts without requests know the demand of some seconds ago.
				f.play(2*played, rate)
				f.check("calm", rate)
				f.reset()
				f.play(played, rate)
				inside, between, far := f.sent()
				perHost := func(bytes int) float64 { return float64(bytes) / float64(c.hosts) / played.Seconds() }
				t.Logf("%d hosts, bytes a host and second: %.0f within failure domains, %.0f between them, %.0f between regions",
					c.hosts, perHost(inside), perHost(between), perHost(far))
				if got := perHost(between + far); got > c.most {
					t.Errorf("%.0f bytes a host and second leave the failure domain, at most %.0f", got, c.most)
				}
				gone := f.all[0]
				f.kill(gone)
				f.play(8*time.Second, rate)
				f.check("after the death of a delegate", rate)
				for _, h := range f.all {
					if found := h.fleet.lookup(gone.settings.Region, gone.settings.FailureDomain); slices.Contains(found, gone.settings.CallerAddress) {
						t.Errorf("%s names the dead host", h.settings.Host)
					}
				}
			})
		})
	}
}

// Guards against two hosts of a region that each send a cold server all that it may get, and against none that does.
func TestFleetAgreesOnTheOwnerOfAServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 45, 0)
		defer f.end()
		f.play(8*time.Second, 1)
		for i := range 50 {
			s := &server{hash: uint64(i) * 7919}
			s.Region = fmt.Sprint("region-", i%3)
			owners := 0
			for _, h := range f.all {
				if h.fleet.ownsServer(s) {
					owners++
				}
			}
			if owners != 1 {
				t.Errorf("%d owners of a server", owners)
			}
		}
	})
}
