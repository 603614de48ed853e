package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"vanillatally/core/concurrency"
	"vanillatally/core/config"
	"vanillatally/io/backends"
	"vanillatally/io/callers"
	"vanillatally/io/platform"
)

// lineTestSlots is the number of requests that the line of a lineTest admits at once: the least limit.
const lineTestSlots = 4

// lineTest sends requests through the line of a service with routes of three ranks. No server gets them: the test decides when
// they end.
type lineTest struct {
	*Host
	t     *testing.T
	group errgroup.Group
}

// lineCall is a request of a lineTest.
type lineCall struct {
	*exchange
	// decided is set once the request has started or was refused, took after its arrival.
	decided bool
	took    time.Duration
	refusal *callers.Refusal
	leave   context.CancelFunc
}

// newLineTest returns a host with the routes "rank-0" to "rank-2" to the service "search" and the route "plain" to a service
// without ranks. It must be called within a synctest bubble.
func newLineTest(t *testing.T) *lineTest {
	l := &lineTest{Host: newTestHost(t), t: t}
	// Only the lines use it here, under the lock of the one line.
	l.random = rand.New(rand.NewPCG(1, 2)).Float64
	next := *l.configuration
	next.Sequence++
	next.Routes = map[string]config.Route{}
	for name, service := range map[string]string{"rank-0": "search", "rank-1": "search", "rank-2": "search", "plain": "plain"} {
		next.Routes[name] = config.Route{
			PathPrefix: "/" + name + "/", Service: service, Replay: config.ReplayNever, Priority: int(name[len(name)-1]-'0') % 3,
			Timeout: config.Duration(20 * time.Second), Objective: config.Duration(time.Second),
		}
	}
	next = next.WithIndex()
	l.SetConfiguration(&next)
	l.listServers()
	return l
}

// listServers lists one server of each service, with few enough slots for the least limit.
func (l *lineTest) listServers() {
	l.SetServers([]platform.BackendServer{
		{ID: "server-a", Service: "search", Region: "north", FailureDomain: "north-a", Address: "127.0.0.1:1", Slots: 1},
		{ID: "server-b", Service: "plain", Region: "north", FailureDomain: "north-a", Address: "127.0.0.1:2", Slots: 1},
	})
}

// call lets a request of the route arrive whose caller waits for left.
func (l *lineTest) call(route string, left time.Duration) *lineCall {
	ctx, leave := context.WithCancel(l.t.Context())
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/"+route+"/", nil)
	configured := l.view.Load().configuration.Routes[route]
	now := time.Now()
	c := &lineCall{leave: leave, exchange: &exchange{
		host: l.Host, r: r, received: now, context: ctx, routeName: route, route: configured, service: configured.Service,
		deadline: now.Add(left), serviceTimes: l.serviceTimes.forRoute(route, configured.Service, configured),
	}}
	l.group.Go(func() error {
		c.refusal = c.enterLine(l.view.Load())
		c.took, c.decided = time.Since(now), true
		return nil
	})
	synctest.Wait()
	return c
}

// fill lets requests arrive that take all slots.
func (l *lineTest) fill() (running []*lineCall) {
	l.t.Helper()
	for range lineTestSlots {
		c := l.call("rank-0", 20*time.Second)
		if !c.inLine {
			l.t.Fatalf("a request got no free slot: %v", c.refusal)
		}
		running = append(running, c)
	}
	return running
}

// end ends a request that was sent.
func (*lineTest) end(c *lineCall) {
	c.leaveLine(nil)
	synctest.Wait()
}

// checkEmpty checks that the line has no request and all slots are free.
func (l *lineTest) checkEmpty() {
	l.t.Helper()
	if err := l.group.Wait(); err != nil {
		l.t.Error(err)
	}
	checkLineEmpty(l.t, l.Host)
}

func checkLineEmpty(t *testing.T, h *Host) {
	t.Helper()
	line := h.waitingLines.entries["search"]
	if line == nil {
		t.Fatal("the service has no line")
	}
	line.mu.Lock()
	defer line.mu.Unlock()
	if line.inFlight != 0 || line.line.Len() != 0 {
		t.Errorf("%d slots in use and %d requests waiting, want none", line.inFlight, line.line.Len())
	}
}

// Guards against urgent requests that start after less urgent ones, and against requests beyond the limit.
func TestHigherRankStartsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLineTest(t)
		running := l.fill()
		order := []*lineCall{nil, nil, nil}
		for i, route := range []string{"rank-2", "rank-1", "rank-0"} {
			order[2-i] = l.call(route, 20*time.Second)
		}
		for i, next := range order {
			for _, waiting := range order[i:] {
				if waiting.decided {
					t.Fatalf("%s was decided before a slot was free", waiting.routeName)
				}
			}
			l.end(running[i])
			if !next.inLine {
				t.Fatalf("%s did not start when slot %d was free", next.routeName, i)
			}
		}
		for _, c := range append(order, running[len(order)]) {
			l.end(c)
		}
		l.checkEmpty()
	})
}

// Guards against places in the line, and slots, for callers that have left, and against a refusal of the host's for their
// requests in its log.
func TestCallerThatLeavesGivesItsPlaceBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLineTest(t)
		running := l.fill()
		gone, other := l.call("rank-0", 20*time.Second), l.call("rank-2", 20*time.Second)
		gone.leave()
		synctest.Wait()
		if !gone.decided || gone.inLine || gone.refusal == nil || gone.refusal.Reason != "caller-gone" ||
			gone.refusal.Status != statusClientClosedRequest || gone.refusal.Ran != callers.NotRun {
			t.Errorf("the request of a caller that left: decided %v, %v", gone.decided, gone.refusal)
		}
		l.end(running[0])
		if !other.inLine {
			t.Error("the slot was not given to the request of the other caller")
		}
		for _, c := range append(running[1:], other) {
			l.end(c)
		}
		l.checkEmpty()
	})
}

// Guards against requests that wait beyond their callers' time while no other request arrives or ends, and against waits of
// requests that can't be answered in time even in a free slot.
func TestRequestThatCannotStartInTimeIsRefused(t *testing.T) {
	for _, c := range []struct {
		name string
		// left is the caller's time; busy is set if all slots are in use.
		left time.Duration
		busy bool
		// atMost is the wait after which the request must have been refused.
		atMost time.Duration
		reason string
	}{
		{"half of the objective is over", 20 * time.Second, true, 500 * time.Millisecond, "no-slot"},
		{"the caller has little time", 700 * time.Millisecond, true, 200 * time.Millisecond, "no-slot"},
		{"the caller has too little time", 400 * time.Millisecond, true, 0, "deadline-unreachable"},
		{"the caller has too little time, slots are free", 400 * time.Millisecond, false, 0, "deadline-unreachable"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newLineTest(t)
				var running []*lineCall
				if c.busy {
					running = l.fill()
				}
				refused := l.call("rank-1", c.left)
				_ = l.group.Wait()
				if refused.refusal == nil || refused.took > c.atMost {
					t.Fatalf("decided after %v with %v, want a refusal within %v", refused.took, refused.refusal, c.atMost)
				}
				if got := refused.refusal; got.Reason != c.reason || got.Status != http.StatusServiceUnavailable ||
					got.Ran != callers.NotRun || got.RetryAfter <= 0 || got.RetryAfter > maxRetryAfter {
					t.Errorf("refused with status %d, %v, Retry-After %v", got.Status, got, got.RetryAfter)
				}
				for _, r := range running {
					l.end(r)
				}
				l.end(refused)
				l.checkEmpty()
			})
		})
	}
}

// Guards against waits without end, requests that are answered after their callers' time, callers that all come back at the same
// moment, and slots lost for good, when servers stop answering while more requests arrive than the line has places.
func TestServersStopAnsweringWhileRequestsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLineTest(t)
		running := l.fill()
		var waiting []*lineCall
		for i := range 300 {
			waiting = append(waiting, l.call([]string{"rank-0", "rank-1", "rank-2"}[i%3], time.Duration(600+10*(i%50))*time.Millisecond))
		}
		_ = l.group.Wait()
		returns := map[time.Duration]int{}
		for _, c := range waiting {
			if c.refusal == nil || c.refusal.Ran != callers.NotRun || c.received.Add(c.took).After(c.deadline) {
				t.Fatalf("decided after %v with %v, want a refusal as not run within %v", c.took, c.refusal, c.deadline.Sub(c.received))
			}
			returns[c.refusal.RetryAfter]++
		}
		for after, n := range returns {
			if n > len(waiting)/10 {
				t.Errorf("%d of %d callers come back after %v", n, len(waiting), after)
			}
		}
		// The attempts end at their deadlines, and the servers answer again.
		for _, c := range running {
			l.end(c)
		}
		for _, c := range l.fill() {
			l.end(c)
		}
		l.checkEmpty()
	})
}

// Guards against requests that hold up a planned stop, and against ones that start so late that the host stops while a server
// runs them.
func TestWaitingRequestsEndWithTheDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const grace = time.Second
		l := newLineTest(t)
		next := *l.configuration
		next.Sequence++
		slow := next.Routes["rank-1"]
		slow.Objective = config.Duration(8 * time.Second)
		next.Routes = map[string]config.Route{"rank-0": next.Routes["rank-0"], "rank-1": slow}
		next = next.WithIndex()
		l.SetConfiguration(&next)
		running := l.fill()
		waiting := l.call("rank-1", 20*time.Second)
		l.drainDeadline.Store(int64(l.now() + grace))
		l.draining.Store(true)
		close(l.stopping)
		_ = l.group.Wait()
		if waiting.refusal == nil || waiting.refusal.Ran != callers.NotRun || waiting.took > grace-drainResponseMargin {
			t.Errorf("decided after %v with %v, want a refusal within the grace period of %v", waiting.took, waiting.refusal, grace)
		}
		for _, c := range running {
			l.end(c)
		}
		l.end(waiting)
		started := l.call("rank-0", 20*time.Second)
		l.end(started)
		l.checkEmpty()
	})
}

// Guards against a host that refuses requests after a start or an outage, since the limit was set while it knew no servers.
func TestLimitAfterServersBecomeKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLineTest(t)
		l.SetEvacuations([]string{"north-a"})
		early := l.call("rank-0", 20*time.Second)
		l.end(early)
		l.SetEvacuations(nil)
		many := l.listedServer("server-a").BackendServer
		many.Slots = 100
		l.SetServers([]platform.BackendServer{many})
		var running []*lineCall
		for range 100 {
			c := l.call("rank-0", 20*time.Second)
			if !c.inLine {
				t.Fatalf("request %d waits for one of 100 slots", len(running)+1)
			}
			running = append(running, c)
		}
		for _, c := range running {
			l.end(c)
		}
		l.checkEmpty()
	})
}

// Guards against a server that reports an absurd number of waiting requests and so raises the limit.
func TestAbsurdQueueLowersTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLineTest(t)
		server := l.listedServer("server-a").BackendServer
		server.Slots = 100
		l.SetServers([]platform.BackendServer{server})
		c := l.call("rank-0", 20*time.Second)
		c.serviceTimes.service.mean = float64(8 * time.Second)
		before := c.line.limit.Value()
		c.leaveLine(&backends.Response{Status: http.StatusOK, Header: http.Header{"Load": {"0,2147483647,1"}}})
		if after := c.line.limit.Value(); after >= before {
			t.Errorf("the limit went from %v to %v", before, after)
		}
		l.checkEmpty()
	})
}

// Guards against a limit on the requests of services whose requests all have the same rank.
func TestServiceWithoutRanksHasNoLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLineTest(t)
		for range 10 * lineTestSlots {
			c := l.call("plain", 20*time.Second)
			if !c.decided || c.refusal != nil || c.line != nil {
				t.Fatalf("decided %v, %v, in a line: %v", c.decided, c.refusal, c.line != nil)
			}
			l.end(c)
		}
		l.reenterWithoutLine()
	})
}

// reenterWithoutLine sends a request without ranks again.
func (l *lineTest) reenterWithoutLine() {
	c := l.call("plain", 20*time.Second)
	c.reenterLine()
	if c.inLine || l.waitingLines.entries["plain"] != nil {
		l.t.Error("a request without ranks has a slot in a line")
	}
}

// Guards against ranked requests that don't wait in the order of their ranks, and against lines for services without ranks.
func TestRankedServices(t *testing.T) {
	rate := 1.0
	team := func(priority int, routes ...string) config.Team {
		return config.Team{Rate: &rate, Burst: &rate, Routes: routes, Priority: priority}
	}
	split := config.Route{Split: []config.WeightedService{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}}}
	for _, c := range []struct {
		name   string
		routes map[string]config.Route
		teams  map[string]config.Team
		ranked []string
	}{
		{"one rank", map[string]config.Route{"x": {Service: "a"}, "y": {Service: "a"}}, nil, nil},
		{"two routes", map[string]config.Route{"x": {Service: "a"}, "y": {Service: "a", Priority: 1}, "z": {Service: "b"}}, nil, []string{"a"}},
		{"a team", map[string]config.Route{"x": {Service: "a"}}, map[string]config.Team{"t": team(2, config.AllRoutes)}, []string{"a"}},
		{"a team and a split route", map[string]config.Route{"x": split}, map[string]config.Team{"t": team(2, "x")}, []string{"a", "b"}},
		{"a team of another route", map[string]config.Route{"x": {Service: "a"}, "y": {Service: "b"}}, map[string]config.Team{"t": team(2, "y")}, []string{"b"}},
		{"a split and a whole route", map[string]config.Route{"x": split, "y": {Service: "b", Priority: 1}}, nil, []string{"b"}},
	} {
		configuration := config.Configuration{Routes: c.routes, Teams: c.teams}.WithIndex()
		ranked := rankedServices(&configuration)
		for _, service := range []string{"a", "b", ""} {
			want := false
			for _, name := range c.ranked {
				want = want || name == service
			}
			if ranked[service] != want {
				t.Errorf("%s: service %q is ranked: %v, want %v", c.name, service, ranked[service], want)
			}
		}
	}
}

// Guards against a limit that stays at its start for ever because the servers of the service report no load.
func TestResponsesWithoutLoadReportChangeTheLimit(t *testing.T) {
	for _, c := range []struct {
		name   string
		header http.Header
		want   concurrency.Response
	}{
		{"answer", http.Header{}, concurrency.Response{}},
		{"rejection", http.Header{"Not-Run": {"1"}}, concurrency.Response{Full: true}},
		{"answer with a malformed report", http.Header{"Load": {"x"}}, concurrency.Response{}},
	} {
		x := &exchange{host: newTestHost(t)}
		if got := x.queueReport(&backends.Response{Status: http.StatusOK, Header: c.header}); got == nil || *got != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
}
