package membership

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fleet simulates hosts in steps of tickInterval. A message takes one step, or one to four with delays.
type fleet struct {
	t     rapid.TB
	now   time.Duration
	views map[string]*View
	hosts []string
	// down and paused hosts process nothing; paused hosts receive their messages when they resume.
	down, paused map[string]bool
	// cut holds the pairs of sender and receiver between which all messages are lost.
	cut      map[[2]string]bool
	loss     func() bool
	delay    func() int
	inFlight map[time.Duration][]delivery
	// noRefutation suppresses refutations, to show that the test detects their absence.
	noRefutation bool
	random       uint64
}

type delivery struct {
	from, to string
	handle   func(v View) (View, Output)
}

const tickInterval = 50 * time.Millisecond

func newFleet(t rapid.TB, n int) *fleet {
	f := &fleet{
		t: t, views: map[string]*View{}, down: map[string]bool{}, paused: map[string]bool{}, cut: map[[2]string]bool{},
		inFlight: map[time.Duration][]delivery{}, loss: func() bool { return false }, delay: func() int { return 1 },
	}
	for i := range n {
		f.start(fmt.Sprintf("h%02d", i), 1)
	}
	return f
}

func (f *fleet) start(host string, incarnation uint64) {
	v := New(DefaultTiming(), Member{Host: host, Incarnation: incarnation, PeerAddress: host}, []string{"h00", "h01"}, f.now)
	if f.views[host] == nil {
		f.hosts = append(f.hosts, host)
	}
	f.views[host] = &v
	f.down[host] = false
}

func (f *fleet) send(from, to string, handle func(v View) (View, Output)) {
	if f.cut[[2]string{from, to}] || f.loss() {
		return
	}
	at := f.now + time.Duration(f.delay())*tickInterval
	f.inFlight[at] = append(f.inFlight[at], delivery{from: from, to: to, handle: handle})
}

func (f *fleet) sendAll(from string, out Output) {
	for _, to := range out.UpdateTargets {
		f.send(from, to, func(v View) (View, Output) { return v.MergeUpdates(f.now, out.Updates) })
	}
	for _, b := range out.Heartbeats {
		f.send(from, b.To, func(v View) (View, Output) { return v.HandleHeartbeat(f.now, from, b.Heartbeat) })
	}
	for _, to := range out.SyncTargets {
		request := f.views[from].NewSyncRequest(to)
		f.send(from, to, func(v View) (View, Output) {
			v, answer, answerOut := v.HandleSyncRequest(f.now, request)
			f.send(to, from, func(v View) (View, Output) { return v.HandleSyncResponse(f.now, to, answer) })
			return v, answerOut
		})
	}
}

func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += tickInterval {
		due := f.inFlight[f.now]
		delete(f.inFlight, f.now)
		for _, d := range due {
			v := f.views[d.to]
			switch {
			case v == nil || f.down[d.to]:
			case f.paused[d.to]:
				f.inFlight[f.now+tickInterval] = append(f.inFlight[f.now+tickInterval], d)
			default:
				f.update(d.to, d.handle)
			}
		}
		for _, h := range f.hosts {
			if f.down[h] || f.paused[h] {
				continue
			}
			f.random = f.random*6364136223846793005 + 1442695040888963407
			f.update(h, func(v View) (View, Output) { return v.Tick(f.now, f.random>>11) })
		}
	}
}

func (f *fleet) update(host string, handle func(v View) (View, Output)) {
	before := *f.views[host]
	after, out := handle(before)
	if f.noRefutation && after.Self().Incarnation > 1 {
		return
	}
	f.views[host] = &after
	for _, m := range before.members {
		if e := after.member(m.Host); e != nil && e.Incarnation < m.Incarnation {
			f.t.Fatalf("%s: incarnation of %s decreased", host, m.Host)
		}
	}
	neighbours := 0
	for _, l := range after.links {
		if l.neighbour {
			neighbours++
		}
	}
	if neighbours > 2*RingCount || len(after.links) > maxLinks {
		f.t.Fatalf("%s has too many neighbours (%d) or links (%d)", host, neighbours, len(after.links))
	}
	f.sendAll(host, out)
}

// disagreement describes a record in a running host's table that is wrong, or returns "".
func (f *fleet) disagreement() string {
	for _, h := range f.hosts {
		if f.down[h] {
			continue
		}
		for _, o := range f.hosts {
			e := f.views[h].member(o)
			if f.down[o] != (e == nil || e.State == Dead) || (!f.down[o] && e.State != Alive) {
				return fmt.Sprintf("record of %s at %s is %+v, want down %t", o, h, e, f.down[o])
			}
		}
	}
	return ""
}

// Guards against a dead host that is detected late, or by only some hosts.
func TestAllHostsDetectDeadHost(t *testing.T) {
	f := newFleet(t, 30)
	f.run(15 * time.Second)
	if d := f.disagreement(); d != "" {
		t.Fatalf("tables have not converged after the start: %s", d)
	}
	f.down["h07"] = true
	f.run(1500*time.Millisecond + 3*time.Second + 1200*time.Millisecond)
	if d := f.disagreement(); d != "" {
		t.Fatal(d)
	}
}

// Guards against declaring a running host dead when one neighbour misses its heartbeats. The host is suspected and
// has to refute the suspicion in time.
func TestSuspectedHostRefutes(t *testing.T) {
	falseDeaths := func(noRefutation bool) int {
		f := newFleet(t, 12)
		f.run(15 * time.Second)
		f.noRefutation = noRefutation
		f.cut[[2]string{"h03", f.views["h03"].neighbours()[0]}] = true
		dead := 0
		for range 200 {
			f.run(4 * tickInterval)
			for _, h := range f.hosts {
				if f.views[h].member("h03").State == Dead {
					dead++
				}
			}
		}
		if !noRefutation && f.views["h03"].Self().Incarnation == 1 {
			t.Fatal("no host suspected h03")
		}
		return dead
	}
	if n := falseDeaths(false); n != 0 {
		t.Fatalf("a running host was recorded as dead %d times", n)
	}
	if falseDeaths(true) == 0 {
		t.Fatal("without refutations the host was not declared dead, so the test proves nothing")
	}
}

// Guards against a partition that does not heal because each side has declared the other side's hosts dead and no
// longer sends to them.
func TestPartitionHeals(t *testing.T) {
	f := newFleet(t, 20)
	f.run(15 * time.Second)
	for i, a := range f.hosts {
		for j, b := range f.hosts {
			f.cut[[2]string{a, b}] = (i < 8) != (j < 8)
		}
	}
	f.run(30 * time.Second)
	if f.views["h01"].member("h15").State != Dead {
		t.Fatal("the partition was not detected")
	}
	f.cut = map[[2]string]bool{}
	f.run(25 * time.Second)
	if d := f.disagreement(); d != "" {
		t.Fatal(d)
	}
}

// Guards against member tables that stay wrong after crashes, restarts, pauses, partitions and message loss have ended.
func TestTablesConvergeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, rapid.IntRange(3, 9).Draw(t, "hosts"))
		f.run(5 * time.Second)
		for range rapid.IntRange(1, 6).Draw(t, "faults") {
			a, b := rapid.SampledFrom(f.hosts).Draw(t, "a"), rapid.SampledFrom(f.hosts).Draw(t, "b")
			switch rapid.IntRange(0, 6).Draw(t, "fault") {
			case 0:
				f.down[a] = true
			case 1:
				f.start(a, f.views[a].Self().Incarnation+1)
			case 2:
				f.paused[a] = !f.paused[a]
			case 3:
				f.cut[[2]string{a, b}] = true
			case 4:
				f.cut[[2]string{a, b}], f.cut[[2]string{b, a}] = true, true
			case 5:
				seed := rapid.Uint64().Draw(t, "loss")
				f.loss = func() bool { seed = seed*6364136223846793005 + 1; return seed>>61 == 0 }
				f.delay = func() int { seed = seed*6364136223846793005 + 1; return 1 + int(seed>>62) }
			case 6:
				f.start(fmt.Sprintf("n%02d", len(f.hosts)), 1)
			}
			f.run(time.Duration(rapid.IntRange(0, 8).Draw(t, "seconds")) * time.Second)
		}
		f.paused, f.cut = map[string]bool{}, map[[2]string]bool{}
		f.loss = func() bool { return false }
		if f.down["h00"] && f.down["h01"] {
			f.start("h00", f.views["h00"].Self().Incarnation+1)
		}
		f.run(60 * time.Second)
		if d := f.disagreement(); d != "" {
			t.Fatal(d)
		}
	})
}

// Guards against storing records without an address or state and tombstones of unknown hosts, against a host that
// keeps its incarnation below the one that peers have, and against a platform list that is not applied.
func TestInvalidRecordsAreIgnored(t *testing.T) {
	v := New(DefaultTiming(), Member{Host: "a", Incarnation: 5, PeerAddress: "a"}, nil, 0)
	v, out := v.MergeUpdates(0, []Member{
		{Host: "b", State: Alive},
		{Host: "c", State: Dead, PeerAddress: "c"},
		{Host: "d", PeerAddress: "d"},
	})
	if len(out.Updates) != 0 || len(v.Members()) != 1 {
		t.Fatalf("stored invalid records %v", out.Updates)
	}
	if v, _ = v.MergeUpdates(0, []Member{{Host: "a", Incarnation: 9, State: Alive}}); v.Self().Incarnation != 10 {
		t.Fatalf("incarnation is %d after a peer's record had 9, want 10", v.Self().Incarnation)
	}
	v = v.WithPlatformHosts(map[string]PlatformHost{"a": {PeerAddress: "a", Leaving: true}, "x": {PeerAddress: "x:1"}})
	if a, ok := v.Address("x"); !ok || a != "x:1" || v.Members()[0].State != Leaving || v.Self().State != Alive {
		t.Fatalf("the platform list was not applied: address %s, members %v", a, v.Members())
	}
}

// TestMain runs 20 random histories with a fixed seed. HISTORIES sets another number and uses a random seed.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.nofailfile", "true")
	if number := os.Getenv("HISTORIES"); number != "" {
		_ = flag.Set("rapid.checks", number)
	} else {
		_ = flag.Set("rapid.seed", "1")
		_ = flag.Set("rapid.checks", "20")
	}
	os.Exit(m.Run())
}
