package entry

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"vanillatally/core/config"
	"vanillatally/core/watchers"
)

func hear(h *Host, name, domain string, state State) {
	h.fleet.handleHeartbeat(netip.MustParseAddrPort("10.0.0.9:7000"), Heartbeat{
		Host: name, Started: 1, State: state, CallerAddr: name + ":80", FailureDomain: domain,
	})
}

// Guards against several hosts that each send a cold server all that it may get together, right after all were started.
func TestOneHostOwnsAColdServer(t *testing.T) {
	b := newBackend(t, good)
	h := newTestHost(t, b)
	s := h.listedServer("server-a")
	if !h.fleet.ownsServer(s) {
		t.Error("the only host is not the owner")
	}
	h.fleet.addPeerAddress("10.0.0.9:7000", "")
	if h.fleet.ownsServer(s) {
		t.Error("a host is the owner before it heard the others")
	}
	h.start = h.start.Add(-membershipSettleTime)
	if !h.fleet.ownsServer(s) {
		t.Error("no owner when the other host is gone")
	}
	owners := 0
	for _, name := range []string{"host-2", "host-3", "host-4"} {
		hear(h, name, "north-a", Ready)
		if h.fleet.ownsServer(s) {
			owners++
		}
	}
	hear(h, "host-5", "elsewhere", Ready)
	if near := h.fleet.ownsServer(s); near != (owners == 3) {
		t.Errorf("a host of another region changes the owner: %v after %d", near, owners)
	}
}

// Guards against look-ups that name hosts that are stopping, silent or not ready, and against none while a host is ready.
func TestLookupNamesReadyHosts(t *testing.T) {
	h := newTestHost(t, newBackend(t, good))
	h.settings.CallerAddress = "host-1:80"
	h.settings.Regions = map[string]string{"north-a": "north", "south-a": "south"}
	hear(h, "host-2", "north-a", Ready)
	hear(h, "host-3", "north-a", Leaving)
	hear(h, "host-4", "north-a", Starting)
	hear(h, "host-5", "south-a", Ready)
	expect := func(what, region string, want ...string) {
		t.Helper()
		got := h.fleet.lookup(region, "")
		if len(got) != len(want) {
			t.Fatalf("%s: %v, want %v", what, got, want)
		}
		for i := range want {
			if got[i] != want[i] {
				t.Fatalf("%s: %v, want %v", what, got, want)
			}
		}
	}
	expect("own region", "north", "host-1:80", "host-2:80")
	expect("other region", "south", "host-5:80")
	expect("region without hosts", "west", "host-1:80", "host-2:80", "host-5:80")
	h.draining.Store(true)
	expect("stopping", "north", "host-2:80")
	h.start = h.start.Add(-hostTimeout - time.Second)
	expect("silent", "north")
}

// Guards against a team that exceeds its rate in a rolling restart: a leaving host admits requests on its open connections
// until it ends, while the others would divide its part among themselves.
func TestLeavingHostKeepsItsPartOfARate(t *testing.T) {
	h := newTestHost(t, newBackend(t, good))
	state := func(name string, state State) {
		h.fleet.handleHeartbeat(netip.MustParseAddrPort("10.0.0.9:7000"), Heartbeat{
			Host: name, Started: 1, State: state, FailureDomain: "north-a", Demand: map[uint32]uint16{7: 10 * demandScale},
		})
	}
	state("host-2", Ready)
	state("host-3", Leaving)
	if got, busy := h.fleet.demand(h.now(), 7); got != 20 || busy != 3 {
		t.Errorf("demand of %.1f/s at %d hosts while one leaves, want 20/s at 3", got, busy)
	}
	if got, _ := h.fleet.demand(h.now()+2*time.Second, 7); got <= 10 || got >= 16 {
		t.Errorf("demand of %.1f/s 2 s after the last message, want the leaving host's to fade", got)
	}
}

// Guards against a team that exceeds its rate while the only host of a failure domain leaves.
func TestLeavingDomainKeepsItsPartOfARate(t *testing.T) {
	h := newTestHost(t, newBackend(t, good))
	h.settings.Regions = map[string]string{"north-a": "north", "north-b": "north"}
	speak := func(number uint64, ends bool) {
		h.fleet.receive(netip.MustParseAddrPort("10.0.0.9:7000"), Packet{DomainSummary: &DomainSummary{
			Origin: Origin{FailureDomain: "north-b", Host: "host-2", Started: 1, Number: number}, Resigned: ends,
			LiveHosts: 1, BusyHosts: 1, DemandComplete: true, Demand: map[uint32]uint32{7: 10 * demandScale},
		}})
	}
	speak(1, false)
	speak(2, true)
	if got, _ := h.fleet.demand(h.now(), 7); got != 10 {
		t.Errorf("demand of %.1f/s while the other host leaves, want 10/s", got)
	}
	if got, _ := h.fleet.demand(h.now()+2*time.Second, 7); got <= 0 || got >= 6 {
		t.Errorf("demand of %.1f/s 2 s after the last message, want it to fade", got)
	}
	if got := h.fleet.liveHosts(); got != 1 {
		t.Errorf("%d hosts live, want 1", got)
	}
}

// Guards against a failure domain without hosts that hides another delegate: its rates may arrive before its summary.
func TestRatesBeforeTheSummary(t *testing.T) {
	h := newTestHost(t, newBackend(t, good))
	h.settings.Regions = map[string]string{"north-a": "north", "north-b": "north"}
	from := netip.MustParseAddrPort("10.0.0.9:7000")
	origin := func(host string) Origin { return Origin{FailureDomain: "north-b", Host: host, Started: 1, Number: 1} }
	h.fleet.receive(from, Packet{DomainSummary: &DomainSummary{Origin: origin("host-3"), LiveHosts: 2, Listed: []Listed{{Host: "host-3", State: Ready, CallerAddr: "host-3:80"}}}})
	h.fleet.receive(from, Packet{DemandPart: &DemandPart{Origin: origin("host-2"), Scope: scopeDomain, Parts: 1}})
	if got := h.fleet.liveHosts(); got != 3 {
		t.Errorf("%d hosts live, want 3", got)
	}
}

// Guards against a host that is ignored after a restart because its clock was set back, and against late messages of its
// earlier process.
func TestHostWhoseClockWasSetBackIsHeard(t *testing.T) {
	h := newTestHost(t, newBackend(t, good))
	h.settings.Regions = map[string]string{"north-a": "north", "north-b": "north"}
	from := netip.MustParseAddrPort("10.0.0.9:7000")
	tell := func(started int64, state State) {
		h.fleet.handleHeartbeat(from, Heartbeat{Host: "host-2", Started: started, State: state, FailureDomain: "north-a", CallerAddr: "host-2:80"})
		h.fleet.receive(from, Packet{DomainSummary: &DomainSummary{
			Origin: Origin{FailureDomain: "north-b", Host: "host-3", Started: started, Number: 1}, LiveHosts: 1,
			Listed: []Listed{{Host: "host-3", State: state, CallerAddr: "host-3:80"}},
		}})
	}
	tell(2000, Ready)
	tell(1000, Leaving)
	if got := h.fleet.lookup("north", ""); len(got) != 3 {
		t.Errorf("late messages of an earlier process count: %v", got)
	}
	h.start = h.start.Add(-hostTimeout - time.Second)
	if got := h.fleet.lookup("north", ""); len(got) != 1 {
		t.Errorf("silent hosts are named: %v", got)
	}
	tell(2000, Ready)
	if got := h.fleet.lookup("north", ""); len(got) != 2 {
		t.Errorf("a summary that was heard before counts again: %v", got)
	}
	h.start = h.start.Add(-hostTimeout - time.Second)
	tell(1000, Ready)
	if got := h.fleet.lookup("north", ""); len(got) != 3 {
		t.Errorf("hosts whose clocks were set back are not heard: %v", got)
	}
}

// Guards against a view that stays old because a watch has gone deaf, while one host knows newer objects and another one
// the same old ones, and against hosts that read the store without need.
func TestOutdatedViewIsReadAgain(t *testing.T) {
	r := newStalenessDetector()
	r.digests, r.revisions = Digests{Configuration: 5, BackendServers: 6, Rollouts: 8}, Revisions{Configuration: 20, BackendServers: 20, Rollouts: 30}
	newer := func(now time.Duration) {
		// The rollouts of this host are the newer ones.
		r.comparePeer(now, "host-2", Digests{Configuration: 5, BackendServers: 7, Rollouts: 7}, Revisions{Configuration: 40, BackendServers: 21, Rollouts: 29})
	}
	same := func(now time.Duration) { r.comparePeer(now, "host-3", r.digests, r.revisions) }
	const at = 10 * time.Second
	newer(at)
	same(at + staleGrace/4)
	if stale := r.takeStale(at + staleGrace/2); len(stale) != 0 {
		t.Errorf("%v read while the change may be on its way", stale)
	}
	same(at + staleGrace/2)
	if stale := r.takeStale(at + staleGrace); len(stale) != 1 || stale[0] != BackendServers {
		t.Errorf("%v read, want the backend servers", stale)
	}
	select {
	case <-r.relist[BackendServers]:
	default:
		t.Error("the reader was not woken")
	}
	newer(at + staleGrace)
	if stale := r.takeStale(at + staleGrace + minRelistInterval/2); len(stale) != 0 {
		t.Errorf("%v read again at once", stale)
	}
	h := &Host{stalenessDetector: r}
	h.SetDigest(BackendServers, 7, 21)
	newer(at + 2*minRelistInterval)
	if stale := r.takeStale(at + 4*minRelistInterval); len(stale) != 0 {
		t.Errorf("%v read again after the newer objects were taken in", stale)
	}
}

// Guards against callers that are spread over all hosts of a region, so that each host opens connections to every backend
// server, and against callers that are left with the one host of their failure domain.
func TestLookupPrefersTheFailureDomain(t *testing.T) {
	h := newTestHost(t, newBackend(t, good))
	h.settings.CallerAddress = "a-1:80"
	h.settings.Regions = map[string]string{"north-a": "north", "north-b": "north"}
	for i := range 6 {
		hear(h, fmt.Sprint("a-", i+2), "north-a", Ready)
	}
	hear(h, "b-1", "north-b", Ready)
	hear(h, "b-2", "north-b", Ready)
	if got := h.fleet.lookup("north", "north-a"); !slices.Equal(got, []string{"a-1:80", "a-2:80", "a-3:80", "a-4:80"}) {
		t.Errorf("a domain with many hosts: %v", got)
	}
	if got := h.fleet.lookup("north", "north-b"); len(got) != 4 || slices.Contains(got, "b-1:80") && len(got) < minDomainHosts {
		t.Errorf("a domain with two hosts: %v", got)
	}
}

// Guards against hosts that the store refuses and that follow each other, or are followed by others, so that the whole
// region keeps an old view.
func TestRefusedHostsAreNotFollowed(t *testing.T) {
	h := newTestHost(t, newBackend(t, good))
	h.settings.Regions = map[string]string{"north-a": "north"}
	says := func(name string, store watchers.StoreAccess) {
		address := netip.MustParseAddrPort("10.0.0." + name[len(name)-1:] + ":7")
		h.fleet.peerPort = 7
		h.fleet.handleHeartbeat(address, Heartbeat{Host: name, State: Ready, FailureDomain: "north-a", Store: store})
	}
	says("host-2", watchers.Reachable)
	says("host-3", watchers.Reachable)
	says("host-4", watchers.Unknown)
	if got := h.fleet.watchersToFollow(h.now()); len(got) != 0 {
		t.Errorf("the first host that reaches the store follows %v", got)
	}
	h.RecordStoreCall(Configuration, errors.New("refused"), true)
	h.fleet.updateStoreSource(h.now())
	if got := h.FollowedWatchers(); !slices.Equal(got, []string{"10.0.0.2:7", "10.0.0.3:7"}) {
		t.Errorf("a refused host follows %v", got)
	}
	if got := h.storeState(); got != watchers.Unreachable {
		t.Errorf("it states %d while it follows", got)
	}
	says("host-2", watchers.Unreachable)
	if got := h.fleet.watchersToFollow(h.now()); !slices.Equal(got, []string{"10.0.0.3:7", "10.0.0.4:7"}) {
		t.Errorf("with another refused host it follows %v", got)
	}
}

// emptyConfiguration has neither routes nor teams.
func emptyConfiguration() *config.Configuration {
	c := config.Configuration{Sequence: 1}.WithIndex()
	return &c
}
