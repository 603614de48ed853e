package permits

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"vanillatally/core/permit"
)

// startWorker sends requests to a server one after the other until the fleet closes.
func (f *fleet) startWorker(h *host, server, team string, seed uint64, maxDuration, maxPause time.Duration) {
	f.load.Go(func() error {
		for f.ctx.Err() == nil {
			seed = seed*6364136223846793005 + 1442695040888963407
			f.mu.Lock()
			dead := h.dead
			f.mu.Unlock()
			if dead {
				return nil
			}
			f.runRequest(f.ctx, h, server, team, maxDuration/8+time.Duration(seed>>33)%maxDuration)
			if maxPause > 0 {
				time.Sleep(time.Duration(seed>>35) % maxPause)
			}
		}
		return nil
	})
}

// fault is one step of runFaults. After waitMs, kind selects what happens to the hosts. Each bit of delayedHosts keeps the
// present ledger from one host.
type fault struct{ waitMs, kind, host, other, delayedHosts int }

// runFaults applies faults to a fleet under load. It returns by how many the running requests exceeded a server's slots, and
// whether an owner may have been unreachable.
func runFaults(seed uint64, hosts int, faults []fault, skipTakeover bool) (excess int, unreachable bool) {
	f := newFleet(map[string]Server{
		"s": {Slots: 3, Region: "r", FailureDomain: "a"}, "t": {Slots: 5, Region: "x", FailureDomain: "b"},
	})
	f.skipTakeover = skipTakeover
	for range hosts {
		f.add()
	}
	f.showLedger(f.hosts...)
	for i := range f.hosts {
		for j, server := range []string{"s", "t", "s", "t"} {
			f.startWorker(f.hosts[i], server, fmt.Sprintf("team%d", j%3), seed+uint64(10*i+j), 400*time.Millisecond, 300*time.Millisecond)
		}
	}
	for _, d := range faults {
		time.Sleep(time.Duration(d.waitMs) * time.Millisecond)
		a, b := f.hosts[d.host%len(f.hosts)], f.hosts[d.other%len(f.hosts)]
		switch d.kind {
		case 0:
			f.kill(a)
			unreachable = true
		case 1, 2:
			f.network.SetLinkDown(a.id, b.id, d.kind == 1)
			unreachable = unreachable || d.kind == 1
		case 3:
			f.fence(a)
		case 4:
			if len(f.hosts) < 8 {
				h := f.add()
				f.showLedger(h)
				f.startWorker(h, "s", "team1", seed, 400*time.Millisecond, 0)
			}
		case 5:
			f.network.SetDuplicated(d.other%2 == 0)
		case 6:
			f.network.SetDelay(time.Duration(1+10*(d.other%8)) * time.Millisecond)
		}
		// Some hosts get the changed ledger later.
		for i, h := range f.hosts {
			if d.delayedHosts>>i&1 == 0 {
				f.showLedger(h)
			}
		}
	}
	time.Sleep(3 * time.Second)
	f.close()
	return max(f.excess["s"], f.excess["t"]), unreachable
}

// Guards against more concurrent requests at a server than it has slots, under random crashes, partitions, fencing, joins,
// outdated ledgers, and slow and duplicate messages. While the owner is unreachable, each host in the server's failure
// domain may run one request in addition.
func TestConcurrencyStaysWithinSlots(t *testing.T) {
	intUpTo := func(limit int) *rapid.Generator[int] { return rapid.IntRange(0, limit) }
	rapid.Check(t, func(rt *rapid.T) {
		seed, hosts := rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(2, 6).Draw(rt, "hosts")
		faults := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) fault {
			return fault{
				intUpTo(1500).Draw(rt, "wait"), intUpTo(6).Draw(rt, "kind"), intUpTo(9).Draw(rt, "host"), intUpTo(9).Draw(rt, "other"),
				intUpTo(255).Draw(rt, "seen"),
			}
		}), 1, 10).Draw(rt, "faults")
		var excess int
		var unreachable bool
		synctest.Test(t, func(*testing.T) { excess, unreachable = runFaults(seed, hosts, faults, false) })
		if !unreachable && excess > 0 || excess > 4 {
			rt.Fatalf("%d requests more than slots, owner unreachable: %t", excess, unreachable)
		}
	})
}

// Checks that TestConcurrencyStaysWithinSlots would detect an owner that grants permits without a takeover.
func TestCheckDetectsMissingTakeover(t *testing.T) {
	var excess int
	for seed := range uint64(5) {
		synctest.Test(t, func(*testing.T) {
			e, _ := runFaults(seed, 2, []fault{{500, 4, 0, 0, 3}, {300, 4, 0, 0, 3}, {300, 4, 0, 0, 3}, {300, 4, 0, 0, 3}}, true)
			excess = max(excess, e)
		})
	}
	if excess == 0 {
		t.Fatal("the slots were not exceeded although new owners skipped the takeover")
	}
}

// Guards against slots that are idle while requests wait, and against a team that takes more than its share: one of eight
// teams on nine hosts sends ten times the requests of its share.
func TestIdleSlotsAndFairSharing(t *testing.T) {
	if idle, worstServed, excess := measureContention(t, true); idle >= 0.05 || worstServed < 0.99 || excess > 0 {
		t.Errorf("share of idle slots %.3f, served share of the worst team's requests %.3f, excess %d", idle, worstServed, excess)
	}
	if _, worstServed, _ := measureContention(t, false); worstServed >= 0.99 {
		t.Errorf("the check did not detect that all teams share one queue: the worst team was served %.3f", worstServed)
	}
}

// measureContention returns the share of slots that were idle while requests waited, the lowest share of requests served
// among the teams that stay within their share, and by how many the running requests exceeded the slots. Without fair, all
// requests count for one team.
func measureContention(t *testing.T, fair bool) (idleShare, worstServed float64, excess int) {
	const slots, seconds = 12, 10
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(map[string]Server{"s": {Slots: slots, Region: "r"}})
		for range 9 {
			f.add()
		}
		f.showLedger(f.hosts...)
		time.Sleep(2 * time.Second)
		start := time.Now()
		var served, offered [8]atomic.Int64
		const serviceTime = 30 * time.Millisecond
		ctx, cancel := context.WithTimeout(f.ctx, seconds*time.Second)
		defer cancel()
		for team := range 8 {
			// Each team's share is an eighth of the slots. Team 0 sends ten times its share, the others 90% of it.
			rate := 0.9 * slots / 8 / serviceTime.Seconds()
			if team == 0 {
				rate *= 10 / 0.9
			}
			seed := uint64(team)
			f.load.Go(func() error {
				for ctx.Err() == nil {
					seed = seed*6364136223846793005 + 1442695040888963407
					time.Sleep(time.Duration(float64(seed>>40) / (1 << 24) * 2 / rate * float64(time.Second)))
					// Requests of the last 2 s may not end before the test and don't count.
					counted := time.Since(start) < (seconds-2)*time.Second
					if counted {
						offered[team].Add(1)
					}
					h := f.hosts[seed>>33%9]
					f.load.Go(func() error {
						requestCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
						defer cancel()
						name := "all"
						if fair {
							name = fmt.Sprintf("team%d", team)
						}
						if f.runRequest(requestCtx, h, "s", name, serviceTime) && counted {
							served[team].Add(1)
						}
						return nil
					})
				}
				return nil
			})
		}
		idle, samples := 0, 0
		for range seconds * 1000 {
			time.Sleep(time.Millisecond)
			waiting, busy := 0, 0
			f.mu.Lock()
			for _, h := range f.hosts {
				busy += f.running["s"][h]
				c := &(*h.service.servers.Load())["s"].cache
				c.mu.Lock()
				waiting += c.waiting
				c.mu.Unlock()
			}
			f.mu.Unlock()
			if waiting > 0 {
				idle += max(0, min(waiting, slots-busy))
				samples += slots
			}
		}
		messages, bytes := f.network.Sent("h0")
		f.close()
		worstServed = 1.0
		for team := 1; team < 8; team++ {
			worstServed = min(worstServed, float64(served[team].Load())/float64(offered[team].Load()))
		}
		excess, idleShare = f.excess["s"], float64(idle)/float64(samples)
		t.Logf("fair %t: idle slots %.2f%%; worst team served %.2f%%, team 0 %.0f%%; excess %d; h0 sent %d messages, %d bytes in %d s",
			fair, 100*idleShare, 100*worstServed, 100*float64(served[0].Load())/float64(offered[0].Load()),
			excess, messages, bytes, seconds)
	})
	return idleShare, worstServed, excess
}

// Guards against permits that stay at an idle host, an Acquire that outlasts its context, and one that succeeds for a removed
// server.
func TestIdlePermitsDeadlineAndServerRemoval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(map[string]Server{"s": {Slots: 1, Region: "r"}})
		a, b := f.add(), f.add()
		f.showLedger(a, b)
		time.Sleep(3 * time.Second)
		if !f.runRequest(t.Context(), a, "s", "x", time.Millisecond) || !f.runRequest(t.Context(), b, "s", "x", time.Millisecond) {
			t.Fatal("got no permit")
		}
		time.Sleep(3 * time.Second)
		for _, h := range f.hosts {
			c := &(*h.service.servers.Load())["s"].cache
			c.mu.Lock()
			held := c.permits.Limit
			c.mu.Unlock()
			if held != 0 {
				t.Errorf("%s holds %d permits without requests", h.id, held)
			}
		}
		release, err := a.service.Acquire(t.Context(), "s", "x")
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err = b.service.Acquire(ctx, "s", "x"); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("request beyond the slots got error %v", err)
		}
		release()
		b.service.SetServers(nil)
		if _, err = b.service.Acquire(t.Context(), "s", "x"); !errors.Is(err, ErrUnknownServer) {
			t.Errorf("request to a removed server got error %v", err)
		}
		f.close()
	})
}

// BenchmarkCachedPermit measures Acquire and release with a permit in the host's cache.
func BenchmarkCachedPermit(b *testing.B) {
	f := newFleet(map[string]Server{"s": {Slots: 1000}})
	h := f.add()
	c := &(*h.service.servers.Load())["s"].cache
	c.permits = permit.HostPermits{Limit: 1000, Expiry: 1 << 60}
	c.peakSince = 1 << 60
	b.ReportAllocs()
	b.ResetTimer()
	for b.Loop() {
		release, err := h.service.Acquire(context.Background(), "s", "team")
		if err != nil {
			b.Fatal(err)
		}
		release()
	}
	b.StopTimer()
	f.close()
}
