package entry

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"vanillatally/core/config"
	"vanillatally/core/era"
	"vanillatally/core/watchers"
)

// receiveHeartbeat lets the host receive a heartbeat of another one.
func receiveHeartbeat(h *Host, name, domain string, state State) {
	h.fleet.handleHeartbeat(netip.MustParseAddrPort("10.0.0.9:7000"), Heartbeat{
		Host: name, Started: 1, State: state, CallerAddr: name + ":80", FailureDomain: domain,
	})
}

// Guards against several hosts that each use the whole rate limit of a cold server, also right after all hosts were started.
func TestColdServerHasOneOwner(t *testing.T) {
	b := newBackend(t, answerOK)
	h := newTestHost(t, b)
	s := h.listedServer("server-a")
	if !h.fleet.ownsServer(s) {
		t.Error("the only host does not own the server")
	}
	h.fleet.addPeerAddress("10.0.0.9:7000", "")
	if h.fleet.ownsServer(s) {
		t.Error("a host owns the server before it received heartbeats of the other hosts")
	}
	h.start = h.start.Add(-membershipSettleTime)
	if !h.fleet.ownsServer(s) {
		t.Error("no host owns the server after the other host did not answer")
	}
	owners := 0
	for _, name := range []string{"host-2", "host-3", "host-4"} {
		receiveHeartbeat(h, name, "north-a", Ready)
		if h.fleet.ownsServer(s) {
			owners++
		}
	}
	receiveHeartbeat(h, "host-5", "elsewhere", Ready)
	if near := h.fleet.ownsServer(s); near != (owners == 3) {
		t.Errorf("a host of another region changed the owner: owned %v, owned before in %d of 3 cases", near, owners)
	}
}

// Guards against lookups that return hosts which are draining, down or not ready, and against empty lookups while a host
// is ready.
func TestLookupReturnsReadyHosts(t *testing.T) {
	h := newTestHost(t, newBackend(t, answerOK))
	h.settings.CallerAddress = "host-1:80"
	h.settings.Regions = map[string]string{"north-a": "north", "south-a": "south"}
	receiveHeartbeat(h, "host-2", "north-a", Ready)
	receiveHeartbeat(h, "host-3", "north-a", Leaving)
	receiveHeartbeat(h, "host-4", "north-a", Starting)
	receiveHeartbeat(h, "host-5", "south-a", Ready)
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
	expect("while this host drains", "north", "host-2:80")
	h.start = h.start.Add(-hostTimeout - time.Second)
	expect("after the other hosts timed out", "north")
}

// Guards against a team that exceeds its rate limit during a rolling restart: a leaving host still admits requests on its
// open connections, so the other hosts must not divide its share among themselves yet.
func TestLeavingHostKeepsItsShareOfARate(t *testing.T) {
	h := newTestHost(t, newBackend(t, answerOK))
	state := func(name string, state State) {
		h.fleet.handleHeartbeat(netip.MustParseAddrPort("10.0.0.9:7000"), Heartbeat{
			Host: name, Started: 1, State: state, FailureDomain: "north-a", Demand: map[uint32]uint16{7: 10 * demandScale},
		})
	}
	state("host-2", Ready)
	state("host-3", Leaving)
	if got, busy := h.fleet.demand(h.now(), 7); got != 20 || busy != 3 {
		t.Errorf("demand is %.1f/s at %d hosts while one leaves, want 20/s at 3", got, busy)
	}
	if got, _ := h.fleet.demand(h.now()+2*time.Second, 7); got <= 10 || got >= 16 {
		t.Errorf("demand is %.1f/s 2 s after the last message, want the leaving host's demand to decay", got)
	}
}

// Guards against a team that exceeds its rate limit while the only host of a failure domain leaves.
func TestLeavingDomainKeepsItsShareOfARate(t *testing.T) {
	h := newTestHost(t, newBackend(t, answerOK))
	h.settings.Regions = map[string]string{"north-a": "north", "north-b": "north"}
	report := func(number uint64, ends bool) {
		h.fleet.receive(netip.MustParseAddrPort("10.0.0.9:7000"), Packet{DomainSummary: &DomainSummary{
			Origin: Origin{FailureDomain: "north-b", Host: "host-2", Started: 1, Number: number}, Resigned: ends,
			LiveHosts: 1, BusyHosts: 1, DemandComplete: true, Demand: map[uint32]uint32{7: 10 * demandScale},
		}})
	}
	report(1, false)
	report(2, true)
	if got, _ := h.fleet.demand(h.now(), 7); got != 10 {
		t.Errorf("demand is %.1f/s while the other host leaves, want 10/s", got)
	}
	if got, _ := h.fleet.demand(h.now()+2*time.Second, 7); got <= 0 || got >= 6 {
		t.Errorf("demand is %.1f/s 2 s after the last message, want it to decay", got)
	}
	if got := h.fleet.liveHosts(); got != 1 {
		t.Errorf("%d hosts live, want 1", got)
	}
}

// Guards against a delegate whose demand arrives before its first summary: until then it must not replace a delegate whose
// summary is known, or the hosts of the domain are missing.
func TestDemandBeforeSummary(t *testing.T) {
	h := newTestHost(t, newBackend(t, answerOK))
	h.settings.Regions = map[string]string{"north-a": "north", "north-b": "north"}
	from := netip.MustParseAddrPort("10.0.0.9:7000")
	origin := func(host string) Origin { return Origin{FailureDomain: "north-b", Host: host, Started: 1, Number: 1} }
	h.fleet.receive(from, Packet{DomainSummary: &DomainSummary{
		Origin: origin("host-3"), LiveHosts: 2, Listed: []Listed{{Host: "host-3", State: Ready, CallerAddr: "host-3:80"}},
	}})
	h.fleet.receive(from, Packet{DemandPart: &DemandPart{Origin: origin("host-2"), Scope: scopeDomain, Parts: 1}})
	if got := h.fleet.liveHosts(); got != 3 {
		t.Errorf("%d hosts live, want 3", got)
	}
}

// Guards against a host that is ignored after a restart because its clock was set back, and against acting on late messages
// of its earlier process.
func TestHostWithClockSetBackIsAccepted(t *testing.T) {
	h := newTestHost(t, newBackend(t, answerOK))
	h.settings.Regions = map[string]string{"north-a": "north", "north-b": "north"}
	from := netip.MustParseAddrPort("10.0.0.9:7000")
	report := func(started int64, state State) {
		h.fleet.handleHeartbeat(from, Heartbeat{
			Host: "host-2", Started: started, State: state, FailureDomain: "north-a", CallerAddr: "host-2:80",
		})
		h.fleet.receive(from, Packet{DomainSummary: &DomainSummary{
			Origin: Origin{FailureDomain: "north-b", Host: "host-3", Started: started, Number: 1}, LiveHosts: 1,
			Listed: []Listed{{Host: "host-3", State: state, CallerAddr: "host-3:80"}},
		}})
	}
	report(2000, Ready)
	report(1000, Leaving)
	if got := h.fleet.lookup("north", ""); len(got) != 3 {
		t.Errorf("late messages of an earlier process are accepted: lookup returns %v", got)
	}
	h.start = h.start.Add(-hostTimeout - time.Second)
	if got := h.fleet.lookup("north", ""); len(got) != 1 {
		t.Errorf("lookup returns hosts that timed out: %v", got)
	}
	report(2000, Ready)
	if got := h.fleet.lookup("north", ""); len(got) != 2 {
		t.Errorf("a summary that was received before is accepted again: lookup returns %v", got)
	}
	h.start = h.start.Add(-hostTimeout - time.Second)
	report(1000, Ready)
	if got := h.fleet.lookup("north", ""); len(got) != 3 {
		t.Errorf("hosts whose clocks were set back are ignored: lookup returns %v", got)
	}
}

// Guards against objects that stay out of date because a watch no longer delivers changes, although another host has newer
// ones, and against lists of the store's objects without need.
func TestStaleObjectsAreRelisted(t *testing.T) {
	r := newStalenessDetector()
	r.digests, r.revisions = Digests{Configuration: 5, BackendServers: 6, Rollouts: 8},
		Revisions{Configuration: 20, BackendServers: 20, Rollouts: 30}
	receiveNewer := func(now time.Duration) {
		// This host's rollouts are newer than those of host-2.
		r.comparePeer(now, "host-2", Digests{Configuration: 5, BackendServers: 7, Rollouts: 7},
			Revisions{Configuration: 40, BackendServers: 21, Rollouts: 29})
	}
	receiveSame := func(now time.Duration) { r.comparePeer(now, "host-3", r.digests, r.revisions) }
	const at = 10 * time.Second
	receiveNewer(at)
	receiveSame(at + staleGrace/4)
	if stale := r.takeStale(at+staleGrace/2, staleGrace); len(stale) != 0 {
		t.Errorf("%v listed again while the change may still arrive", stale)
	}
	receiveSame(at + staleGrace/2)
	if stale := r.takeStale(at+staleGrace, staleGrace); len(stale) != 1 || stale[0] != BackendServers {
		t.Errorf("%v listed again, want the backend servers", stale)
	}
	select {
	case <-r.relist[BackendServers]:
	default:
		t.Error("the reader of the backend servers was not woken")
	}
	receiveNewer(at + staleGrace)
	if stale := r.takeStale(at+staleGrace+minRelistInterval/2, staleGrace); len(stale) != 0 {
		t.Errorf("%v listed again within minRelistInterval", stale)
	}
	h := &Host{stalenessDetector: r}
	h.SetDigest(BackendServers, 7, era.Position{Revision: 21})
	receiveNewer(at + 2*minRelistInterval)
	if stale := r.takeStale(at+4*minRelistInterval, staleGrace); len(stale) != 0 {
		t.Errorf("%v listed again although the newer objects are known", stale)
	}
}

// Guards against callers that are spread over all hosts of a region, so that each host opens connections to every backend
// server, and against callers that get only the few hosts of a small failure domain.
func TestLookupPrefersFailureDomain(t *testing.T) {
	h := newTestHost(t, newBackend(t, answerOK))
	h.settings.CallerAddress = "a-1:80"
	h.settings.Regions = map[string]string{"north-a": "north", "north-b": "north"}
	for i := range 6 {
		receiveHeartbeat(h, fmt.Sprint("a-", i+2), "north-a", Ready)
	}
	receiveHeartbeat(h, "b-1", "north-b", Ready)
	receiveHeartbeat(h, "b-2", "north-b", Ready)
	if got := h.fleet.lookup("north", "north-a"); !slices.Equal(got, []string{"a-1:80", "a-2:80", "a-3:80", "a-4:80"}) {
		t.Errorf("lookup in a domain with many hosts: %v", got)
	}
	if got := h.fleet.lookup("north", "north-b"); len(got) != 4 || slices.Contains(got, "b-1:80") && len(got) < 3 {
		t.Errorf("lookup in a domain with two hosts: %v", got)
	}
}

// Guards against hosts that the store refuses and that follow each other, or that others follow, so that the whole region
// keeps outdated objects.
func TestHostsRefusedByStoreAreNotFollowed(t *testing.T) {
	h := newTestHost(t, newBackend(t, answerOK))
	h.settings.Regions = map[string]string{"north-a": "north"}
	report := func(name string, store watchers.StoreAccess) {
		address := netip.MustParseAddrPort("10.0.0." + name[len(name)-1:] + ":7")
		h.fleet.peerPort = 7
		h.fleet.handleHeartbeat(address, Heartbeat{Host: name, State: Ready, FailureDomain: "north-a", StoreAccess: store})
	}
	report("host-2", watchers.Reachable)
	report("host-3", watchers.Reachable)
	report("host-4", watchers.Unknown)
	if got := h.fleet.watchersToFollow(h.now()); len(got) != 0 {
		t.Errorf("the first host that reaches the store follows %v, want none", got)
	}
	h.RecordStoreCall(Configuration, errors.New("refused"), true)
	h.fleet.updateStoreSource(h.now())
	if got := h.FollowedWatchers(); !slices.Equal(got, []string{"10.0.0.2:7", "10.0.0.3:7"}) {
		t.Errorf("a refused host follows %v, want host-2 and host-3", got)
	}
	if got := h.storeState(); got != watchers.Unreachable {
		t.Errorf("a refused host reports the store state %d while it follows others, want watchers.Unreachable", got)
	}
	report("host-2", watchers.Unreachable)
	if got := h.fleet.watchersToFollow(h.now()); !slices.Equal(got, []string{"10.0.0.3:7", "10.0.0.4:7"}) {
		t.Errorf("after host-2 was refused too it follows %v, want host-3 and host-4", got)
	}
}

// emptyConfiguration returns a configuration without routes and teams.
func emptyConfiguration() *config.Configuration {
	c := config.Configuration{Sequence: 1}.WithIndex()
	return &c
}

// Guards against callers of a failure domain that are sent to its small hosts because their addresses come first, and against
// capacities that are lost on the way to other failure domains.
func TestLookupPrefersLargeHosts(t *testing.T) {
	h := newTestHost(t, newBackend(t, answerOK))
	h.settings.Regions = map[string]string{"north-a": "north", "north-b": "north"}
	h.settings.CallerAddress, h.settings.CPUShare, h.settings.Cores, h.settings.LinkMbps = "a-9:80", 0.8, 1, 200
	small, large := []HostCapacity{{Cores: 16, LinkMbps: 10}}, []HostCapacity{{Cores: 80, LinkMbps: 200}}
	for name, capacities := range map[string][]HostCapacity{"a-1": small, "a-2": small, "a-3": small, "a-8": large} {
		h.fleet.receive(netip.MustParseAddrPort("10.0.0.9:7000"), Packet{HostHeartbeat: &Heartbeat{
			Host: name, Started: 1, State: Ready, CallerAddr: name + ":80", FailureDomain: "north-a",
		}, Capacities: capacities})
	}
	if got := h.fleet.lookup("north", "north-a"); !slices.Equal(got, []string{"a-8:80", "a-9:80"}) {
		t.Errorf("lookup returns %v, want the two large hosts", got)
	}
	h.fleet.mu.Lock()
	summary, _ := h.fleet.domainSummary(h.now())
	packets := h.fleet.domainPackets(h.now(), summary, true)
	h.fleet.mu.Unlock()
	other := newTestHost(t, newBackend(t, answerOK))
	other.settings.FailureDomain, other.settings.Regions = "north-b", h.settings.Regions
	for _, packet := range packets {
		other.fleet.receive(netip.MustParseAddrPort("10.0.0.9:7000"), packet)
	}
	if got := other.fleet.lookup("north", "north-a"); !slices.Equal(got, []string{"a-8:80", "a-9:80"}) {
		t.Errorf("lookup in another failure domain returns %v, want the two large hosts", got)
	}
}
