package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"vanillatally/core/config"
	"vanillatally/core/rollout"
)

// Whatever the order of measurements, vetoes, takeovers and cancellations: the share must not exceed the cap in the proving
// phase nor rise while reports of live hosts are missing, a reverted version must get no traffic, and the rollout must be over
// after its deadline.
func TestRolloutStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := config.Rollout{
			Cap:                rapid.Float64Range(0.001, 1).Draw(t, "cap"),
			Within:             config.Duration(rapid.IntRange(1, 200).Draw(t, "within")) * config.Duration(time.Second),
			OnTooLittleTraffic: rapid.SampledFrom([]string{"finish", "revert"}).Draw(t, "choice"),
		}
		plan := rollout.NewPlan(c)
		s := rollout.New(0, plan)
		w := &simulation{rates: []float64{100}, latencyFactor: 1, route: -1, server: -1}
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var since [serverCount]time.Duration
		for now := time.Second; now <= plan.Within+time.Second; now += time.Second {
			event := rapid.IntRange(0, 40).Draw(t, fmt.Sprint("event-", now))
			batch, _ := w.drawSecond(r, now, s.Share(), &since)
			m := rollout.Measurement{Batch: batch, Complete: event != 1, Cancelled: event == 4}
			switch event {
			case 2:
				m.Batch = nil
			case 5:
				m.VetoReason = "host"
			case 6:
				s = rollout.Resume(now, plan, s.Step, now)
			}
			before := s
			var d rollout.Decision
			s, d = s.Next(now, m)
			switch {
			case s.Phase == rollout.Proving && s.Share() > c.Cap:
				t.Fatalf("share %v above the cap %v", s.Share(), c.Cap)
			case s.Phase == rollout.Reverted && s.Share() != 0:
				t.Fatalf("reverted with share %v", s.Share())
			case before.Phase.Terminal() && s.Share() != before.Share():
				t.Fatal("share changed after the rollout ended")
			case s.Step > before.Step &&
				(d != rollout.Raise || s.Step != before.Step+1 || event == 1 || event == 4 || event == 5 || event == 6):
				t.Fatalf("raised at event %d with decision %s", event, d)
			case (event == 4 || event == 5) && !before.Phase.Terminal() && s.Phase != rollout.Reverted:
				t.Fatal("a veto or cancellation did not revert")
			}
		}
		if !s.Phase.Terminal() {
			t.Fatalf("rollout in phase %s after the deadline", s.Phase)
		}
	})
}

// A host's own test must find a faulty version from its own requests, and must not reject a good one.
func TestLocalJudgeFindsFaultyVersion(t *testing.T) {
	plan := rollout.NewPlan(config.Rollout{Cap: 0.1, Within: config.Duration(10 * time.Minute), OnTooLittleTraffic: "finish"})
	for _, c := range []struct {
		name    string
		failing float64
		want    bool
	}{{"good", 0, false}, {"bad", 0.5, true}} {
		for seed := range uint64(20) {
			r := rand.New(rand.NewPCG(seed, 1))
			w := &simulation{rates: []float64{30, 20}, latencyFactor: 1, route: -1, server: -1, extraFailures: c.failing}
			l, found := rollout.NewLocalJudge(0, plan, 9), false
			var since [serverCount]time.Duration
			for now := time.Second; now < 2*time.Minute && !found; now += time.Second {
				batch, _ := w.drawSecond(r, now, 0.1, &since)
				l, _, found = l.Next(now, 1, batch)
			}
			if found != c.want {
				t.Errorf("%s version, seed %d: regression found: %v", c.name, seed, found)
			}
		}
	}
}

// Plus must not change its operands, since a host and the host that drives the rollout share batches.
func TestBatchPlusIsImmutable(t *testing.T) {
	one := rollout.Batch{"r": {Old: rollout.Counts{Requests: 1}, New: map[uint8]rollout.Counts{3: {Requests: 2, Failed: 1}}}}
	sum := one.Plus(one).Plus(nil).Plus(rollout.Batch{"s": {}})
	if one["r"].New[3].Requests != 2 || sum["r"].New[3] != (rollout.Counts{Requests: 4, Failed: 2}) ||
		sum["r"].Old.Requests != 2 || len(sum) != 2 {
		t.Fatalf("sum %+v of %+v", sum, one)
	}
}
