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

// worker sends requests one after the other until the fleet closes.
func (f *fleet) worker(h *host, server, team string, seed uint64, longest, pause time.Duration) {
	f.load.Go(func() error {
		for f.ctx.Err() == nil {
			seed = seed*6364136223846793005 + 1442695040888963407
			f.mu.Lock()
			dead := h.dead
			f.mu.Unlock()
			if dead {
				return nil
			}
			f.run(f.ctx, h, server, team, longest/8+time.Duration(seed>>33)%longest)
			if pause > 0 {
				time.Sleep(time.Duration(seed>>35) % pause)
			}
		}
		return nil
	})
}

type fault struct{ wait, kind, host, other, seen int }

// play returns how far the running requests exceeded the slots, and whether an owner was unreachable.
func play(seed uint64, hosts int, faults []fault, skipTakeover bool) (excess int, unreachable bool) {
	f := newFleet(map[string]Server{"s": {Slots: 3, Region: "r", FailureDomain: "a"}, "t": {Slots: 5, Region: "x", FailureDomain: "b"}})
	f.skipTakeover = skipTakeover
	for range hosts {
		f.add()
	}
	f.show(f.hosts...)
	for i := range f.hosts {
		for j, server := range []string{"s", "t", "s", "t"} {
			f.worker(f.hosts[i], server, fmt.Sprintf("team%d", j%3), seed+uint64(10*i+j), 400*time.Millisecond, 300*time.Millisecond)
		}
	}
	for _, d := range faults {
		time.Sleep(time.Duration(d.wait) * time.Millisecond)
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
				f.show(h)
				f.worker(h, "s", "team1", seed, 400*time.Millisecond, 0)
			}
		case 5:
			f.network.SetDuplicated(d.other%2 == 0)
		case 6:
			f.network.SetDelay(time.Duration(1+10*(d.other%8)) * time.Millisecond)
		}
		// Some hosts see the change later.
		for i, h := range f.hosts {
			if d.seen>>i&1 == 0 {
				f.show(h)
			}
		}
	}
	time.Sleep(3 * time.Second)
	f.close()
	return max(f.excess["s"], f.excess["t"]), unreachable
}

// Guards against more requests at a server than it has slots, under any mix of crashes, cuts, fencing,
// joins, late ledgers, slow and doubled messages. With an unreachable owner the hosts of the server's
// failure domain may add one each.
func TestConcurrencyStaysWithinSlots(t *testing.T) {
	number := func(limit int) *rapid.Generator[int] { return rapid.IntRange(0, limit) }
	rapid.Check(t, func(rt *rapid.T) {
		seed, hosts := rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(2, 6).Draw(rt, "hosts")
		faults := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) fault {
			return fault{number(1500).Draw(rt, "wait"), number(6).Draw(rt, "kind"), number(9).Draw(rt, "host"), number(9).Draw(rt, "other"), number(255).Draw(rt, "seen")}
		}), 1, 10).Draw(rt, "faults")
		var excess int
		var unreachable bool
		synctest.Test(t, func(*testing.T) { excess, unreachable = play(seed, hosts, faults, false) })
		if !unreachable && excess > 0 || excess > 4 {
			rt.Fatalf("%d requests above the slots, owner unreachable: %t", excess, unreachable)
		}
	})
}

// Shows that the check above notices an owner that grants without having taken over.
func TestCheckNoticesMissingTakeover(t *testing.T) {
	var excess int
	for seed := range uint64(5) {
		synctest.Test(t, func(*testing.T) {
			e, _ := play(seed, 2, []fault{{500, 4, 0, 0, 3}, {300, 4, 0, 0, 3}, {300, 4, 0, 0, 3}, {300, 4, 0, 0, 3}}, true)
			excess = max(excess, e)
		})
	}
	if excess == 0 {
		t.Fatal("hosts that grant at once after they join did not exceed the slots")
	}
}

// Guards against slots that stay idle while requests wait, and against a team that takes more than its
// part: nine hosts, eight teams, one of which sends ten times its due.
func TestIdleSlotsAndFairness(t *testing.T) {
	if idle, worst, excess := contend(t, true); idle >= 0.05 || worst < 0.99 || excess > 0 {
		t.Errorf("idle %.3f, worst team %.3f, excess %d", idle, worst, excess)
	}
	if _, worst, _ := contend(t, false); worst >= 0.99 {
		t.Errorf("the check does not notice that the teams share one queue: worst team %.3f", worst)
	}
}

// contend returns the part of the slots that was idle with work waiting, the part of its requests that
// the worst served other team got through, and the excess over the slots.
func contend(t *testing.T, fair bool) (share, worst float64, excess int) {
	const slots, seconds = 12, 10
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(map[string]Server{"s": {Slots: slots, Region: "r"}})
		for range 9 {
			f.add()
		}
		f.show(f.hosts...)
		time.Sleep(2 * time.Second)
		start := time.Now()
		var served, offered [8]atomic.Int64
		const service = 30 * time.Millisecond
		ctx, cancel := context.WithTimeout(f.ctx, seconds*time.Second)
		defer cancel()
		for team := range 8 {
			// The due of a team is an eighth of the slots; the others use 90% of it.
			rate := 0.9 * slots / 8 / service.Seconds()
			if team == 0 {
				rate *= 10 / 0.9
			}
			seed := uint64(team)
			f.load.Go(func() error {
				for ctx.Err() == nil {
					seed = seed*6364136223846793005 + 1442695040888963407
					time.Sleep(time.Duration(float64(seed>>40) / (1 << 24) * 2 / rate * float64(time.Second)))
					// The last requests would be cut by the end of the test.
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
						if f.run(requestCtx, h, "s", name, service) && counted {
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
		worst = 1.0
		for team := 1; team < 8; team++ {
			worst = min(worst, float64(served[team].Load())/float64(offered[team].Load()))
		}
		excess, share = f.excess["s"], float64(idle)/float64(samples)
		t.Logf("fair %t: idle slots with work waiting %.2f%%, worst other team served %.2f%%, the greedy one %.0f%% of its offer; excess %d; %d messages and %d bytes in %d s from one host",
			fair, 100*share, 100*worst, 100*float64(served[0].Load())/float64(offered[0].Load()), excess, messages, bytes, seconds)
	})
	return share, worst, excess
}

// Guards against permits that stay at an idle host, a lost deadline, and servers that are removed.
func TestIdleReturnDeadlineAndRemoval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(map[string]Server{"s": {Slots: 1, Region: "r"}})
		a, b := f.add(), f.add()
		f.show(a, b)
		time.Sleep(3 * time.Second)
		if !f.run(t.Context(), a, "s", "x", time.Millisecond) || !f.run(t.Context(), b, "s", "x", time.Millisecond) {
			t.Fatal("no permit")
		}
		time.Sleep(3 * time.Second)
		for _, h := range f.hosts {
			c := &(*h.service.servers.Load())["s"].cache
			c.mu.Lock()
			held := c.permits.Limit
			c.mu.Unlock()
			if held != 0 {
				t.Errorf("%s holds %d permits without work", h.id, held)
			}
		}
		release, err := a.service.Acquire(t.Context(), "s", "x")
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err = b.service.Acquire(ctx, "s", "x"); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("second request got %v", err)
		}
		release()
		b.service.SetServers(nil)
		if _, err = b.service.Acquire(t.Context(), "s", "x"); !errors.Is(err, ErrUnknownServer) {
			t.Errorf("removed server got %v", err)
		}
		f.close()
	})
}

// BenchmarkCachedPermit measures a request whose permit is at the host.
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
