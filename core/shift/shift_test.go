package shift_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"vanillatally/core/config"
	"vanillatally/core/rollout"
	"vanillatally/core/shift"
)

// region is a simulated receiver with caches that warm by what they serve.
type region struct {
	// base is its use without the shift, perShare what the whole of the shifted traffic adds, rate its requests/s.
	base, perShare, rate float64
	// warm is the share of the callers whose data the caches hold; warming is how fast a request adds to it.
	warm, warming float64
	failing       float64
	deadFrom      time.Duration
	deadTo        time.Duration
	silentFrom    time.Duration
	silentTo      time.Duration
}

// cached holds the shares of the last seconds, which callers with cached answers still use.
type cached []float64

func (c cached) highest() (high float64) {
	for _, share := range c {
		high = max(high, share)
	}
	return high
}

type outcome struct {
	phase                shift.Phase
	took                 time.Duration
	moved, peak, fullest float64
	// rose counts steps upwards while measurements were silent, sent the seconds in which a dead receiver was used.
	rose, sent int
	// coldest is the largest share that met cold caches.
	coldest float64
}

func (g region) run(r *rand.Rand, c config.Shift) (out outcome) {
	s := shift.New(0, shift.NewPlan(c))
	var answers cached
	for now := time.Second; !s.Phase.Terminal(); now += time.Second {
		answers = append(answers, s.MovedShare)
		answers = answers[max(0, len(answers)-int(shift.MaxLookupCacheTime/time.Second)):]
		effective := answers.highest()
		cold := max(0, effective-g.warm)
		out.coldest = max(out.coldest, cold)
		use := g.base + effective*g.perShare*(1+0.2*cold)
		g.warm = min(1, g.warm+effective*g.rate*g.warming)
		out.peak, out.fullest = max(out.peak, effective), max(out.fullest, use)
		dead := now >= g.deadFrom && now < g.deadTo
		m := shift.Measurement{
			Batch: rollout.Batch{"r": {Old: draw(r, g.rate*(1-effective), 0.001, 0.06), New: map[uint8]rollout.Counts{
				0: draw(r, g.rate*effective, 0.001+g.failing, min(0.06+cold/max(effective, 0.001), 0.95)),
				1: draw(r, g.rate*effective, 0.001+g.failing, min(0.06+cold/max(effective, 0.001), 0.95)),
			}}},
			Complete: true, Destination: shift.Load{Utilization: use, UtilizationPerShare: g.perShare, Known: true}, Link: shift.Load{Known: true}, DestinationDown: dead,
		}
		silent := now >= g.silentFrom && now < g.silentTo
		if silent {
			m = shift.Measurement{DestinationDown: dead}
		}
		before := s.MovedShare
		s, _ = s.Next(now, m)
		if silent && s.MovedShare > before {
			out.rose++
		}
		if dead && s.MovedShare > 0 {
			out.sent++
		}
		out.took = now
	}
	out.phase, out.moved = s.Phase, s.MovedShare
	return out
}

func draw(r *rand.Rand, rate, failing, slow float64) (c rollout.Counts) {
	n := uint32(max(0, math.Round(rate/2+r.NormFloat64()*math.Sqrt(rate/2))))
	c = rollout.Counts{Requests: n, LatencySamples: n}
	for range n {
		if r.Float64() < failing {
			c.Failed++
		}
		if r.Float64() < slow {
			c.Slow++
		}
	}
	return c
}

// Guards against shifts that overshoot their cap, overload the receiver, send most of their share to cold caches, rise without measurements, stay in a dead
// region, or end their deadline neither done nor reverted.
func TestShiftsOfEveryKind(t *testing.T) {
	count := 40
	if text := os.Getenv("VANILLATALLY_MOVES_SEEDS"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		count = n
	}
	for k, kind := range []struct {
		name string
		want shift.Phase
		set  func(g *region, r *rand.Rand, c *config.Shift)
	}{
		{"good", shift.Done, func(*region, *rand.Rand, *config.Shift) {}},
		{"cold caches", shift.Done, func(g *region, _ *rand.Rand, _ *config.Shift) { g.warm, g.warming = 0, 5e-4 }},
		{"no headroom", shift.Reverted, func(g *region, r *rand.Rand, _ *config.Shift) { g.base, g.perShare = 0.7+0.1*r.Float64(), 2 }},
		{"measurements stop", shift.Done, func(g *region, r *rand.Rand, c *config.Shift) {
			g.silentFrom = time.Duration(r.IntN(60)) * time.Second
			g.silentTo = g.silentFrom + time.Duration(c.Within)/5
		}},
		{"measurements stop for good", shift.Reverted, func(g *region, r *rand.Rand, _ *config.Shift) {
			g.silentFrom, g.silentTo = time.Duration(r.IntN(30))*time.Second, time.Hour
		}},
		{"receiver fails midway", shift.Done, func(g *region, r *rand.Rand, _ *config.Shift) {
			g.deadFrom = time.Duration(5+r.IntN(30)) * time.Second
			g.deadTo = g.deadFrom + 20*time.Second
		}},
		{"receiver stays dead", shift.Reverted, func(g *region, _ *rand.Rand, _ *config.Shift) { g.deadFrom, g.deadTo = 20*time.Second, time.Hour }},
		{"receiver fails requests", shift.Reverted, func(g *region, r *rand.Rand, _ *config.Shift) { g.failing = 0.1 + 0.8*r.Float64() }},
		{"no traffic", shift.Done, func(g *region, _ *rand.Rand, _ *config.Shift) { g.rate = 0 }},
	} {
		wrong, slowest, fullest := 0, 0.0, 0.0
		for seed := range count {
			r := rand.New(rand.NewPCG(uint64(seed)+1, uint64(k)))
			limit := 0.2 + 0.8*r.Float64()
			c := config.Shift{Share: limit * (0.5 + 0.5*r.Float64()), Cap: limit, Within: config.Duration(time.Duration(200+r.IntN(200)) * time.Second)}
			g := region{base: 0.3 * r.Float64(), perShare: 0.5 * r.Float64(), rate: 50 + 150*r.Float64(), warm: 1}
			kind.set(&g, r, &c)
			out := g.run(r, c)
			settled := out.phase == shift.Done && math.Abs(out.moved-c.Share) < 1e-9 || out.phase == shift.Reverted && out.moved == 0
			if out.phase != kind.want || !settled || out.peak > c.Cap+1e-9 || out.fullest > 1 || out.rose > 0 || out.sent > 0 || out.coldest > 0.6*c.Share || out.took > time.Duration(c.Within) {
				if wrong++; wrong <= 3 {
					t.Errorf("%s, seed %d: %+v with %+v", kind.name, seed, out, c)
				}
			}
			slowest = max(slowest, out.took.Seconds()/shift.NewPlan(c).MinDuration().Seconds())
			fullest = max(fullest, out.fullest)
		}
		t.Logf("%-28s %d runs, %d wrong, slowest %.2f of the fastest plan, highest use %.2f", kind.name, count, wrong, slowest, fullest)
	}
}

// Guards against any order of measurements, vetoes, takeovers and failures that moves more than the cap, raises
// without evidence, or leaves the end of the deadline open.
func TestShiftStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0.01, 1).Draw(t, "cap")
		plan := shift.NewPlan(config.Shift{Share: limit * rapid.Float64Range(0.1, 1).Draw(t, "part"), Cap: limit, Within: config.Duration(rapid.IntRange(1, 300).Draw(t, "within")) * config.Duration(time.Second)})
		s := shift.New(0, plan)
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		for now := time.Second; now <= plan.Within+time.Second; now += time.Second {
			event := rapid.IntRange(0, 30).Draw(t, fmt.Sprint("event-", now))
			m := shift.Measurement{
				Batch: rollout.Batch{"r": {Old: draw(r, 20, 0, 0.05), New: map[uint8]rollout.Counts{0: draw(r, 60, 0, 0.05)}}}, Complete: event != 1,
				Destination: shift.Load{Utilization: 0.2, UtilizationPerShare: 0.3, Known: event != 2}, Link: shift.Load{Known: true}, DestinationDown: event == 3, Cancelled: event == 4,
			}
			if event == 5 {
				m.VetoReason = "host"
			}
			if event == 6 {
				s = shift.Resume(now, plan, s.MovedShare, s.Reductions, now)
			}
			before, over := s.MovedShare, s.Phase.Terminal()
			var d shift.Decision
			s, d = s.Next(now, m)
			switch {
			case s.MovedShare > plan.Cap || s.MovedShare > plan.Target:
				t.Fatalf("moved %v above the cap %v", s.MovedShare, plan.Cap)
			case s.MovedShare > before && (event >= 1 && event <= 6 || d != shift.Raise):
				t.Fatalf("raised at event %d with decision %s", event, d)
			case event == 3 && !over && s.MovedShare > 0:
				t.Fatal("a dead receiver is used")
			}
		}
		if !s.Phase.Terminal() {
			t.Fatalf("phase %s after the deadline", s.Phase)
		}
	})
}
