package rollout

import (
	"math/rand/v2"
	"testing"
	"time"
)

// trialCase is a version as a trial meets it.
type trialCase struct {
	name string
	// fails is the part of the target's requests that fail at a share of the requests.
	fails func(share float64) float64
	// base is the part of the old version's requests that fail.
	base float64
	good bool
}

// playTrial plays an order at perSecond requests whose answers are known after 0.7 s, and counts the requests that the
// target got.
func playTrial(c trialCase, within time.Duration, perSecond float64, seed uint64) (end Phase, target, all int) {
	const tick, lag, exposure = 100 * time.Millisecond, 700 * time.Millisecond, 0.1
	random := rand.New(rand.NewPCG(seed, 7))
	t := NewShortRollout(0, ShortRolloutSpec{Service: "search", TargetVersion: "v2", Within: within}, 0)
	type answer struct {
		at   time.Duration
		new  bool
		bad  bool
		made bool
	}
	var answers []answer
	batch := Batch{}
	var fresh Batch
	for now := time.Duration(0); now < within; now += tick {
		share := t.Share(now, exposure)
		for range int(perSecond * tick.Seconds()) {
			all++
			a := answer{at: now + lag, new: random.Float64() < share}
			if a.new {
				target++
				a.bad = random.Float64() < c.fails(share)
			} else {
				a.bad = random.Float64() < c.base
			}
			answers = append(answers, a)
		}
		counts := RouteCounts{New: map[uint8]Counts{}}
		for i := range answers {
			a := &answers[i]
			if a.made || a.at > now {
				continue
			}
			a.made = true
			one := Counts{Requests: 1, LatencySamples: 1}
			if a.bad {
				one.Failed = 1
			}
			if a.new {
				machine := uint8(random.IntN(6))
				counts.New[machine] = counts.New[machine].Plus(one)
			} else {
				counts.Old = counts.Old.Plus(one)
			}
		}
		batch, fresh = batch.Plus(Batch{"r": counts}), fresh.Plus(Batch{"r": counts})
		if now%(500*time.Millisecond) == 0 {
			t, fresh = t.WithResponses(fresh).Next(now), Batch{}
		}
		if now%BatchInterval == 0 {
			t, batch = t.WithBatch(batch).Next(now), Batch{}
		}
	}
	return t.Next(within).Phase, target, all
}

// Guards against a bad version that gets more than a tenth of the requests and 50, whether it is bad at once, under load
// only or a little, and against a good one that is taken back or not finished in time.
func TestTrials(t *testing.T) {
	constant := func(part float64) func(float64) float64 { return func(float64) float64 { return part } }
	for _, c := range []trialCase{
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
			end, target, all := playTrial(c, within, perSecond, seed)
			if c.good != (end == Finished) {
				wrong++
			}
			if most := all/10 + 50; !c.good && target > most {
				t.Errorf("%s, seed %d: the target got %d of %d requests, at most %d allowed", c.name, seed, target, all, most)
			}
		}
		if !c.good && wrong > 0 || wrong > 6 {
			t.Errorf("%s: %d of 200 ended wrongly", c.name, wrong)
		}
	}
}

// Guards against a phase that changes after the store has recorded the end.
func TestTrialFollowsTheRecord(t *testing.T) {
	trial := NewShortRollout(0, ShortRolloutSpec{Service: "search", TargetVersion: "v2", Within: 12 * time.Second}, 0).WithRecordedPhase(Finished)
	if after := trial.WithRevert("late").Next(time.Minute); after.Phase != Finished || after.Share(time.Minute, 0.1) != 1 {
		t.Errorf("phase %s after the end", after.Phase)
	}
	trial = NewShortRollout(0, ShortRolloutSpec{Service: "search", TargetVersion: "v2", Within: 12 * time.Second}, 0)
	if idle := trial.Next(11 * time.Second); idle.Phase != Reverted {
		t.Errorf("phase %s without a request", idle.Phase)
	}
}

// Guards against a good version that is taken back by a host that was started again during the trial, and against one that
// such a host keeps on trial while the others send everything to it.
func TestHostJoinsARunningTrial(t *testing.T) {
	const within = 14 * time.Second
	order := ShortRolloutSpec{Service: "search", TargetVersion: "v2", Within: within}
	good := Batch{"r": {Old: Counts{Requests: 200, LatencySamples: 200}, New: map[uint8]Counts{1: {Requests: 60, LatencySamples: 60}, 2: {Requests: 60, LatencySamples: 60}}}}
	for _, joins := range []time.Duration{7 * time.Second, 10 * time.Second, 11500 * time.Millisecond} {
		trial := NewShortRollout(0, order, 0).WithElapsed(0, joins)
		if early := trial.Next(0); early.Phase.Terminal() {
			t.Errorf("joined after %s: %s before the others' evidence came", joins, early.Phase)
		}
		trial = trial.WithResponses(good).WithBatch(good).Next(500 * time.Millisecond)
		if trial.Phase != Widening {
			t.Errorf("joined after %s: %s (%s)", joins, trial.Phase, trial.Reason)
		}
		if end := trial.Next(within - joins); end.Phase != Finished {
			t.Errorf("joined after %s: ended as %s (%s)", joins, end.Phase, end.Reason)
		}
	}
}

// Guards against a bad version that fails only above the last step before all requests: nothing shows before the target
// has them all, and the answers come too late.
func TestTrialsOfVersionsBadAboveTheLastStep(t *testing.T) {
	for _, from := range []float64{0.4, 0.6} {
		c := trialCase{"bad above the last step", func(share float64) float64 {
			if share > from {
				return 0.5
			}
			return 0.005
		}, 0.005, false}
		for seed := range uint64(200) {
			within, perSecond := []time.Duration{12 * time.Second, 16 * time.Second}[seed%2], []float64{50, 250}[seed/2%2]
			end, target, all := playTrial(c, within, perSecond, seed)
			if most := all/10 + 50; target > most || end == Finished {
				t.Errorf("from %.1f, seed %d: %s, the target got %d of %d requests, at most %d allowed", from, seed, end, target, all, most)
			}
		}
	}
}
