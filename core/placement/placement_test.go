package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	warm = 250 * time.Millisecond
	cold = 900 * time.Millisecond
	far  = 110 * time.Millisecond
)

func sticky() Request {
	return Request{Sticky: true, WarmServiceTime: warm, ColdServiceTime: cold, MeanServiceTime: warm, Random: func() float64 { return 0 }}
}

// fleet returns near servers followed by away servers, all idle.
func newFleet(object uint64, near, away int) []Candidate {
	all := make([]Candidate, near+away)
	for i := range all {
		all[i] = Candidate{RendezvousWeight: RendezvousWeight(object, uint64(i+1)), Local: i < near, Slots: 3, RelativeServiceTime: 1, SuccessRate: 1}
		if !all[i].Local {
			all[i].RoundTripTime = far
		}
	}
	return all
}

// Guards against an object that wanders between servers, each of which runs it cold.
func TestObjectStaysAtItsHome(t *testing.T) {
	for object := uint64(1); object < 50; object++ {
		all := newFleet(object, 4, 8)
		home := Choose(sticky(), all).Index
		if home < 0 || !all[home].Local {
			t.Fatalf("object %d: home %d is not near", object, home)
		}
		for i := range all {
			all[i].Outstanding = rand.Float64() * 2
		}
		if again := Choose(sticky(), all).Index; again != home {
			t.Errorf("object %d moved from %d to %d by a small load", object, home, again)
		}
	}
}

// Guards against homes that all move when one server leaves.
func TestOnlyTheObjectsOfALostServerMove(t *testing.T) {
	for object := uint64(1); object < 200; object++ {
		all := newFleet(object, 6, 6)
		home := Choose(sticky(), all).Index
		all[0].Excluded = true
		if after := Choose(sticky(), all).Index; home != 0 && after != home {
			t.Errorf("object %d moved from %d to %d", object, home, after)
		}
	}
}

// Guards against waiting at a home whose queue costs more than a cold run elsewhere, against scattering before that, and
// against a cold run where another server has the object at hand.
func TestSpillFollowsTheCost(t *testing.T) {
	const object = 7
	for _, c := range []struct {
		name   string
		queue  float64
		warmAt int
		stays  bool
	}{
		{"short queue", 3, -1, true},
		{"long queue", 30, -1, false},
		{"warm elsewhere, short queue", 2, 9, true},
		{"warm elsewhere, queue above the distance", 6, 9, false},
	} {
		all := newFleet(object, 4, 8)
		home := Choose(sticky(), all).Index
		all[home].Outstanding = c.queue
		if c.warmAt >= 0 {
			all[c.warmAt].Warm = true
		}
		got := Choose(sticky(), all)
		if (got.Index == home) != c.stays {
			t.Errorf("%s: chose %d, home %d, want to stay %v", c.name, got.Index, home, c.stays)
		}
		if c.warmAt >= 0 && !c.stays && got.Index != c.warmAt {
			t.Errorf("%s: chose %d, want the warm server %d", c.name, got.Index, c.warmAt)
		}
	}
}

// Guards against a choice of an excluded server, and against none while one is left.
func TestExcludedServersAreNeverChosen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		object := rapid.Uint64().Draw(t, "object")
		all := newFleet(object, rapid.IntRange(0, 5).Draw(t, "near"), rapid.IntRange(0, 5).Draw(t, "away"))
		left := 0
		for i := range all {
			all[i].Excluded = rapid.Bool().Draw(t, "excluded")
			all[i].Outstanding = rapid.Float64Range(0, 100).Draw(t, "outstanding")
			all[i].SuccessRate = rapid.Float64Range(0, 1).Draw(t, "success")
			if !all[i].Excluded {
				left++
			}
		}
		request := sticky()
		request.HomeRemote = rapid.Bool().Draw(t, "away")
		got := Choose(request, all)
		if (got.Index >= 0) != (left > 0) || got.Index >= 0 && all[got.Index].Excluded {
			t.Fatalf("chose %d of %d left", got.Index, left)
		}
	})
}

// Guards against a version on trial whose few requests never meet at a server, so that a fault under load stays hidden
// until the version has all requests, and against a server that is packed beyond its slots.
func TestPackedServersAreLoaded(t *testing.T) {
	const perSecond, work = 3.0, 0.7
	random := rand.New(rand.NewPCG(1, 2))
	ends, met, sent := make([][]float64, 12), 0, 0
	for now := 0.0; now < 200; now += random.ExpFloat64() / perSecond {
		all := newFleet(random.Uint64(), 4, 8)
		for i := range all {
			running := ends[i][:0]
			for _, end := range ends[i] {
				if end > now {
					running = append(running, end)
				}
			}
			ends[i], all[i].Outstanding = running, float64(len(running))
		}
		Pack(all)
		chosen := Choose(sticky(), all).Index
		if all[chosen].Outstanding > 0 {
			met++
		}
		if all[chosen].Outstanding >= 2*float64(all[chosen].Slots) {
			t.Fatalf("%.0f requests at one server", all[chosen].Outstanding)
		}
		ends[chosen] = append(ends[chosen], now+work)
		sent++
	}
	if met < sent/2 {
		t.Errorf("%d of %d requests met another one", met, sent)
	}
}

// Guards against a region whose servers stay full while others are free, against moves that are sudden, and against
// objects that stay away after the load is gone.
func TestSpillMovesGradually(t *testing.T) {
	s, before := Spillover{}, 0.0
	for i := range 350 {
		now := time.Duration(i) * 100 * time.Millisecond
		s = s.WithLoad(now, 1.5, 0.3)
		if s.Share-before > spillRate*0.11 {
			t.Fatalf("share rose from %.3f to %.3f in 100 ms", before, s.Share)
		}
		before = s.Share
	}
	if s.Share < 0.8 {
		t.Errorf("share %.2f after 35 s of overload", s.Share)
	}
	for i := range 400 {
		s = s.WithLoad(35*time.Second+time.Duration(i)*100*time.Millisecond, 0.1, 0.1)
	}
	if s.Share != 0 {
		t.Errorf("share %.2f after 40 s without load", s.Share)
	}
	if got := NewSpillover(0, 6, 36, 3).Share; got < 0.49 || got > 0.51 {
		t.Errorf("a region with a sixth of the slots for a third of the callers starts with %.2f away", got)
	}
}

// Guards against a share of away requests that jumps between two windows, and against one that can never change.
func TestFlowChangesGradually(t *testing.T) {
	var f RemoteShareLimiter
	away := 0
	for i := range 400 {
		now := time.Duration(i) * 20 * time.Millisecond
		_, mayLeave := f.Allowed(now)
		leaves := now > 2*time.Second && mayLeave
		if leaves && now < 4*time.Second {
			away++
		}
		f = f.WithRequest(now, leaves)
	}
	if away < 5 || away > 20 {
		t.Errorf("%d of 100 requests left in the first window in which all wanted to", away)
	}
	if share, all := f.share(0); all != 100 || share < 2.5*flowChange {
		t.Errorf("%.2f of %d requests leave after 6 s", share, all)
	}
}
