package rollout

import (
	"math/rand/v2"
	"testing"
	"time"
)

// versionCase describes a new version in a simulated short rollout.
type versionCase struct {
	name string
	// fails returns the share of the target version's requests that fail, depending on the target's share of all requests.
	fails func(share float64) float64
	// oldFails is the share of the old version's requests that fail.
	oldFails float64
	good     bool
}

// simulateShortRollout runs a short rollout with perSecond requests whose responses take 0.7 s each. It returns how the
// rollout ended, how many requests the target version got, and how many there were.
func simulateShortRollout(c versionCase, within time.Duration, perSecond float64, seed uint64) (end Phase, target, all int) {
	const tick, responseTime, exposure = 100 * time.Millisecond, 700 * time.Millisecond, 0.1
	random := rand.New(rand.NewPCG(seed, 7))
	t := NewShortRollout(0, ShortRolloutSpec{Service: "search", TargetVersion: "v2", Within: within}, 0)
	type response struct {
		at      time.Duration
		new     bool
		bad     bool
		counted bool
	}
	var responses []response
	secondBatch := Batch{}
	var newResponses Batch
	for now := time.Duration(0); now < within; now += tick {
		share := t.Share(now, exposure)
		for range int(perSecond * tick.Seconds()) {
			all++
			a := response{at: now + responseTime, new: random.Float64() < share}
			if a.new {
				target++
				a.bad = random.Float64() < c.fails(share)
			} else {
				a.bad = random.Float64() < c.oldFails
			}
			responses = append(responses, a)
		}
		counts := RouteCounts{New: map[uint8]Counts{}}
		for i := range responses {
			a := &responses[i]
			if a.counted || a.at > now {
				continue
			}
			a.counted = true
			one := Counts{Requests: 1, LatencySamples: 1}
			if a.bad {
				one.Failed = 1
			}
			if a.new {
				server := uint8(random.IntN(6))
				counts.New[server] = counts.New[server].Plus(one)
			} else {
				counts.Old = counts.Old.Plus(one)
			}
		}
		secondBatch, newResponses = secondBatch.Plus(Batch{"r": counts}), newResponses.Plus(Batch{"r": counts})
		if now%(500*time.Millisecond) == 0 {
			t, newResponses = t.WithResponses(newResponses).Next(now), Batch{}
		}
		if now%BatchInterval == 0 {
			t, secondBatch = t.WithBatch(secondBatch).Next(now), Batch{}
		}
	}
	return t.Next(within).Phase, target, all
}

// A faulty version must not get more than a tenth of the requests plus 50, whether it always fails or only under load, and
// a good one must be finished in time rather than rolled back.
func TestShortRolloutLimitsExposureToFaultyVersions(t *testing.T) {
	constant := func(part float64) func(float64) float64 { return func(float64) float64 { return part } }
	for _, c := range []versionCase{
		{"good", constant(0.005), 0.005, true},
		{"good beside failing servers", constant(0.05), 0.05, true},
		{"bad at once", constant(0.5), 0.005, false},
		{"bad under load", func(share float64) float64 {
			if share > 0.15 {
				return 0.5
			}
			return 0.005
		}, 0.005, false},
		{"bad at full load", func(share float64) float64 {
			if share > 0.3 {
				return 0.5
			}
			return 0.005
		}, 0.005, false},
		{"bad under load beside failing servers", func(share float64) float64 {
			if share > 0.3 {
				return 0.55
			}
			return 0.1
		}, 0.1, false},
	} {
		wrong := 0
		for seed := range uint64(200) {
			within, perSecond := []time.Duration{12 * time.Second, 16 * time.Second}[seed%2], []float64{50, 250}[seed/2%2]
			end, target, all := simulateShortRollout(c, within, perSecond, seed)
			if c.good != (end == Finished) {
				wrong++
			}
			if most := all/10 + 50; !c.good && target > most {
				t.Errorf("%s, seed %d: the target version got %d of %d requests, at most %d allowed", c.name, seed, target, all, most)
			}
		}
		if !c.good && wrong > 0 || wrong > 6 {
			t.Errorf("%s: %d of 200 rollouts ended in the wrong phase", c.name, wrong)
		}
	}
}

// A phase that ended the rollout in the store must stay final, and a rollout without requests must be reverted.
func TestShortRolloutKeepsRecordedEnd(t *testing.T) {
	running := NewShortRollout(
		0, ShortRolloutSpec{Service: "search", TargetVersion: "v2", Within: 12 * time.Second}, 0,
	).WithRecordedPhase(Finished)
	if after := running.WithRevert("late").Next(time.Minute); after.Phase != Finished || after.Share(time.Minute, 0.1) != 1 {
		t.Errorf("phase %s after the store recorded the end", after.Phase)
	}
	running = NewShortRollout(0, ShortRolloutSpec{Service: "search", TargetVersion: "v2", Within: 12 * time.Second}, 0)
	if idle := running.Next(11 * time.Second); idle.Phase != Reverted {
		t.Errorf("phase %s without a request", idle.Phase)
	}
}

// A host that restarts during a rollout knows nothing of the earlier responses. It must neither roll a good version back
// nor keep its share low while the other hosts send all requests to it.
func TestHostJoinsRunningShortRollout(t *testing.T) {
	const within = 14 * time.Second
	spec := ShortRolloutSpec{Service: "search", TargetVersion: "v2", Within: within}
	good := Batch{"r": {
		Old: Counts{Requests: 200, LatencySamples: 200},
		New: map[uint8]Counts{1: {Requests: 60, LatencySamples: 60}, 2: {Requests: 60, LatencySamples: 60}},
	}}
	for _, joins := range []time.Duration{7 * time.Second, 10 * time.Second, 11500 * time.Millisecond} {
		running := NewShortRollout(0, spec, 0).WithElapsed(0, joins)
		if early := running.Next(0); early.Phase.Terminal() {
			t.Errorf("joined after %s: %s before the other hosts' counts arrived", joins, early.Phase)
		}
		running = running.WithResponses(good).WithBatch(good).Next(500 * time.Millisecond)
		if running.Phase != Widening {
			t.Errorf("joined after %s: %s (%s)", joins, running.Phase, running.Reason)
		}
		if end := running.Next(within - joins); end.Phase != Finished {
			t.Errorf("joined after %s: ended as %s (%s)", joins, end.Phase, end.Reason)
		}
	}
}

// A version that fails only above the share of the last step before all requests shows no failures until it gets all of
// them, and the responses then come too late. The bursts of full traffic have to find it.
func TestShortRolloutFindsFaultsAboveLastStep(t *testing.T) {
	for _, from := range []float64{0.4, 0.6} {
		c := versionCase{"bad above the last step", func(share float64) float64 {
			if share > from {
				return 0.5
			}
			return 0.005
		}, 0.005, false}
		for seed := range uint64(200) {
			within, perSecond := []time.Duration{12 * time.Second, 16 * time.Second}[seed%2], []float64{50, 250}[seed/2%2]
			end, target, all := simulateShortRollout(c, within, perSecond, seed)
			if most := all/10 + 50; target > most || end == Finished {
				t.Errorf("fault from share %.1f, seed %d: %s, the target version got %d of %d requests, at most %d allowed",
					from, seed, end, target, all, most)
			}
		}
	}
}
