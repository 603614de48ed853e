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

// region is a simulated destination whose caches warm up with the requests that it handles.
type region struct {
	// base is the utilization without the shift, perShare what all of the shifted traffic adds to it, and rate the requests per
	// second.
	base, perShare, rate float64
	// warm is the share of the callers whose data the caches hold, and warmupPerRequest how much a request adds to it.
	warm, warmupPerRequest float64
	// failing is the share of the requests that the destination fails.
	failing        float64
	downFrom       time.Duration
	downTo         time.Duration
	unmeasuredFrom time.Duration
	unmeasuredTo   time.Duration
}

// recentShares holds the shares of the last seconds, since callers still use look-up answers that they cached then.
type recentShares []float64

func (c recentShares) highest() (high float64) {
	for _, share := range c {
		high = max(high, share)
	}
	return high
}

// outcome is the result of a simulated shift.
type outcome struct {
	phase                shift.Phase
	took                 time.Duration
	moved, peak, fullest float64
	// raisedUnmeasured counts the raises without measurements, secondsToDownDestination the seconds in which a
	// destination that was down got traffic.
	raisedUnmeasured, secondsToDownDestination int
	// maxColdShare is the largest share of the traffic that met cold caches.
	maxColdShare float64
}

func (g region) run(r *rand.Rand, c config.Shift) (out outcome) {
	s := shift.New(0, shift.NewPlan(c))
	var answers recentShares
	for now := time.Second; !s.Phase.Terminal(); now += time.Second {
		answers = append(answers, s.MovedShare)
		answers = answers[max(0, len(answers)-int(shift.MaxLookupCacheTime/time.Second)):]
		effective := answers.highest()
		cold := max(0, effective-g.warm)
		out.maxColdShare = max(out.maxColdShare, cold)
		use := g.base + effective*g.perShare*(1+0.2*cold)
		g.warm = min(1, g.warm+effective*g.rate*g.warmupPerRequest)
		out.peak, out.fullest = max(out.peak, effective), max(out.fullest, use)
		down := now >= g.downFrom && now < g.downTo
		m := shift.Measurement{
			Batch: rollout.Batch{"r": {Old: drawCounts(r, g.rate*(1-effective), 0.001, 0.06), New: map[uint8]rollout.Counts{
				0: drawCounts(r, g.rate*effective, 0.001+g.failing, min(0.06+cold/max(effective, 0.001), 0.95)),
				1: drawCounts(r, g.rate*effective, 0.001+g.failing, min(0.06+cold/max(effective, 0.001), 0.95)),
			}}},
			Complete: true, Destination: shift.Load{Utilization: use, UtilizationPerShare: g.perShare, Known: true},
			Link: shift.Load{Known: true}, DestinationDown: down,
		}
		unmeasured := now >= g.unmeasuredFrom && now < g.unmeasuredTo
		if unmeasured {
			m = shift.Measurement{DestinationDown: down}
		}
		before := s.MovedShare
		s, _ = s.Next(now, m)
		if unmeasured && s.MovedShare > before {
			out.raisedUnmeasured++
		}
		if down && s.MovedShare > 0 {
			out.secondsToDownDestination++
		}
		out.took = now
	}
	out.phase, out.moved = s.Phase, s.MovedShare
	return out
}

func drawCounts(r *rand.Rand, rate, failing, slow float64) (c rollout.Counts) {
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

// failedSeeds holds the seeds of TestShiftsOfEveryKind that failed once. 427: with cold caches, one window of few requests found
// them warm by chance.
var failedSeeds = []int{427}

// A shift must not exceed its cap, overload the destination, send most of its share to cold caches, rise without measurements
// or keep a destination that is down in use, and it must be done or reverted at its deadline.
func TestShiftsOfEveryKind(t *testing.T) {
	count := 40
	if text := os.Getenv("VANILLATALLY_MOVES_SEEDS"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		count = n
	}
	for k, scenario := range []struct {
		name string
		want shift.Phase
		set  func(g *region, r *rand.Rand, c *config.Shift)
	}{
		{"good", shift.Done, func(*region, *rand.Rand, *config.Shift) {}},
		{"cold caches", shift.Done, func(g *region, _ *rand.Rand, _ *config.Shift) { g.warm, g.warmupPerRequest = 0, 5e-4 }},
		{"no headroom", shift.Reverted, func(g *region, r *rand.Rand, _ *config.Shift) { g.base, g.perShare = 0.7+0.1*r.Float64(), 2 }},
		{"measurements stop", shift.Done, func(g *region, r *rand.Rand, c *config.Shift) {
			g.unmeasuredFrom = time.Duration(r.IntN(60)) * time.Second
			g.unmeasuredTo = g.unmeasuredFrom + time.Duration(c.Within)/5
		}},
		{"measurements stop for good", shift.Reverted, func(g *region, r *rand.Rand, _ *config.Shift) {
			g.unmeasuredFrom, g.unmeasuredTo = time.Duration(r.IntN(30))*time.Second, time.Hour
		}},
		{"destination fails midway", shift.Done, func(g *region, r *rand.Rand, _ *config.Shift) {
			g.downFrom = time.Duration(5+r.IntN(30)) * time.Second
			g.downTo = g.downFrom + 20*time.Second
		}},
		{"destination stays down", shift.Reverted, func(g *region, _ *rand.Rand, _ *config.Shift) {
			g.downFrom, g.downTo = 20*time.Second, time.Hour
		}},
		{"destination fails requests", shift.Reverted, func(g *region, r *rand.Rand, _ *config.Shift) {
			g.failing = 0.1 + 0.8*r.Float64()
		}},
		{"no traffic", shift.Done, func(g *region, _ *rand.Rand, _ *config.Shift) { g.rate = 0 }},
	} {
		wrong, slowest, fullest := 0, 0.0, 0.0
		for i := range count + len(failedSeeds) {
			seed := i
			if i >= count {
				seed = failedSeeds[i-count]
			}
			r := rand.New(rand.NewPCG(uint64(seed)+1, uint64(k)))
			limit := 0.2 + 0.8*r.Float64()
			c := config.Shift{
				Share: limit * (0.5 + 0.5*r.Float64()), Cap: limit,
				Within: config.Duration(time.Duration(200+r.IntN(200)) * time.Second),
			}
			g := region{base: 0.3 * r.Float64(), perShare: 0.5 * r.Float64(), rate: 50 + 150*r.Float64(), warm: 1}
			scenario.set(&g, r, &c)
			out := g.run(r, c)
			settled := out.phase == shift.Done && math.Abs(out.moved-c.Share) < 1e-9 || out.phase == shift.Reverted && out.moved == 0
			if out.phase != scenario.want || !settled || out.peak > c.Cap+1e-9 || out.fullest > 1 || out.raisedUnmeasured > 0 ||
				out.secondsToDownDestination > 0 || out.maxColdShare > 0.6*c.Share || out.took > time.Duration(c.Within) {
				if wrong++; wrong <= 3 {
					t.Errorf("%s, seed %d: %+v with %+v", scenario.name, seed, out, c)
				}
			}
			slowest = max(slowest, out.took.Seconds()/shift.NewPlan(c).MinDuration().Seconds())
			fullest = max(fullest, out.fullest)
		}
		t.Logf("%-28s %d runs, %d wrong, longest %.2f of the minimum duration, highest use %.2f",
			scenario.name, count, wrong, slowest, fullest)
	}
}

// Whatever the order of measurements, vetoes, takeovers and failures: the moved share must not exceed the cap nor rise without
// complete measurements, and the shift must be over after its deadline.
func TestShiftStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0.01, 1).Draw(t, "cap")
		plan := shift.NewPlan(config.Shift{
			Share: limit * rapid.Float64Range(0.1, 1).Draw(t, "part"), Cap: limit,
			Within: config.Duration(rapid.IntRange(1, 300).Draw(t, "within")) * config.Duration(time.Second),
		})
		s := shift.New(0, plan)
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		for now := time.Second; now <= plan.Within+time.Second; now += time.Second {
			event := rapid.IntRange(0, 30).Draw(t, fmt.Sprint("event-", now))
			m := shift.Measurement{
				Batch:    rollout.Batch{"r": {Old: drawCounts(r, 20, 0, 0.05), New: map[uint8]rollout.Counts{0: drawCounts(r, 60, 0, 0.05)}}},
				Complete: event != 1, Destination: shift.Load{Utilization: 0.2, UtilizationPerShare: 0.3, Known: event != 2},
				Link: shift.Load{Known: true}, DestinationDown: event == 3, Cancelled: event == 4,
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
				t.Fatalf("moved share %v above the cap %v", s.MovedShare, plan.Cap)
			case s.MovedShare > before && (event >= 1 && event <= 6 || d != shift.Raise):
				t.Fatalf("raised at event %d with decision %s", event, d)
			case event == 3 && !over && s.MovedShare > 0:
				t.Fatal("traffic moves to a destination that is down")
			}
		}
		if !s.Phase.Terminal() {
			t.Fatalf("shift in phase %s after the deadline", s.Phase)
		}
	})
}
