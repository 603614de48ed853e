package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	warm      = 250 * time.Millisecond
	cold      = 900 * time.Millisecond
	remoteRTT = 110 * time.Millisecond
)

func stickyRequest() Request {
	return Request{
		Sticky: true, WarmServiceTime: warm, ColdServiceTime: cold, MeanServiceTime: warm,
		Random: func() float64 { return 0 },
	}
}

// newFleet returns idle servers: first the local ones, then the remote ones.
func newFleet(object uint64, local, remote int) []Candidate {
	all := make([]Candidate, local+remote)
	for i := range all {
		all[i] = Candidate{
			RendezvousWeight: RendezvousWeight(object, uint64(i+1)), Local: i < local,
			Slots: 3, RelativeServiceTime: 1, SuccessRate: 1,
		}
		if !all[i].Local {
			all[i].RoundTripTime = remoteRTT
		}
	}
	return all
}

// Under a small load an object's requests must keep going to its home, since every other server would run them cold.
func TestObjectStaysAtItsHome(t *testing.T) {
	for object := uint64(1); object < 50; object++ {
		all := newFleet(object, 4, 8)
		home := Choose(stickyRequest(), all).Index
		if home < 0 || !all[home].Local {
			t.Fatalf("object %d: home %d is not local", object, home)
		}
		for i := range all {
			all[i].Outstanding = rand.Float64() * 2
		}
		if again := Choose(stickyRequest(), all).Index; again != home {
			t.Errorf("object %d moved from %d to %d under a small load", object, home, again)
		}
	}
}

// When a server goes away, only the objects that had their home there may move.
func TestOnlyTheObjectsOfALostServerMove(t *testing.T) {
	for object := uint64(1); object < 200; object++ {
		all := newFleet(object, 6, 6)
		home := Choose(stickyRequest(), all).Index
		all[0].Excluded = true
		if after := Choose(stickyRequest(), all).Index; home != 0 && after != home {
			t.Errorf("object %d moved from %d to %d", object, home, after)
		}
	}
}

// A request must leave the object's home when the queue there costs more than a cold run elsewhere, and not before. If another
// server has the object cached, the request must go there.
func TestLeavesHomeOnlyWhenCheaper(t *testing.T) {
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
		{"warm elsewhere, queue longer than the round trip", 6, 9, false},
	} {
		all := newFleet(object, 4, 8)
		home := Choose(stickyRequest(), all).Index
		all[home].Outstanding = c.queue
		if c.warmAt >= 0 {
			all[c.warmAt].Warm = true
		}
		got := Choose(stickyRequest(), all)
		if (got.Index == home) != c.stays {
			t.Errorf("%s: chose %d, home %d, want to stay %v", c.name, got.Index, home, c.stays)
		}
		if c.warmAt >= 0 && !c.stays && got.Index != c.warmAt {
			t.Errorf("%s: chose %d, want the warm server %d", c.name, got.Index, c.warmAt)
		}
	}
}

// An excluded server must never be chosen, and some server must be chosen while one isn't excluded.
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
		request := stickyRequest()
		request.HomeRemote = rapid.Bool().Draw(t, "away")
		got := Choose(request, all)
		if (got.Index >= 0) != (left > 0) || got.Index >= 0 && all[got.Index].Excluded {
			t.Fatalf("chose %d of %d left", got.Index, left)
		}
	})
}

// A new version gets few requests. Unless they are packed onto few servers, they hardly ever run at the same time, and a fault
// under load stays hidden until the version gets all requests. Packing must not put too many requests on one server.
func TestPackLoadsFewServers(t *testing.T) {
	const perSecond, work = 3.0, 0.7
	random := rand.New(rand.NewPCG(1, 2))
	ends, concurrent, sent := make([][]float64, 12), 0, 0
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
		chosen := Choose(stickyRequest(), all).Index
		if all[chosen].Outstanding > 0 {
			concurrent++
		}
		if all[chosen].Outstanding >= 2*float64(all[chosen].Slots) {
			t.Fatalf("%.0f requests at one packed server", all[chosen].Outstanding)
		}
		ends[chosen] = append(ends[chosen], now+work)
		sent++
	}
	if concurrent < sent/2 {
		t.Errorf("%d of %d requests ran beside another one", concurrent, sent)
	}
}

// Objects must move to other regions while the local servers are overloaded and others aren't, they must move gradually, and
// they must come back when the load is gone.
func TestSpilloverChangesGradually(t *testing.T) {
	s, before := Spillover{}, 0.0
	for i := range 350 {
		now := time.Duration(i) * 100 * time.Millisecond
		s = s.WithLoad(now, 1.5, 0.3)
		if s.Share-before > spilloverRate*0.11 {
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
		t.Errorf("a region with a sixth of the slots and a third of the callers starts with a share of %.2f", got)
	}
}

// The share of remote requests must not jump from one window to the next, but must be able to change over time.
func TestRemoteShareChangesGradually(t *testing.T) {
	var f RemoteShareLimiter
	remote := 0
	for i := range 400 {
		now := time.Duration(i) * 20 * time.Millisecond
		_, remoteAllowed := f.Allowed(now)
		remoteRequest := now > 2*time.Second && remoteAllowed
		if remoteRequest && now < 4*time.Second {
			remote++
		}
		f = f.WithRequest(now, remoteRequest)
	}
	if remote < 5 || remote > 20 {
		t.Errorf("%d of 100 requests were remote in the first window in which all asked to be remote", remote)
	}
	if share, all := f.share(0); all != 100 || share < 2.5*maxShareChange {
		t.Errorf("%.2f of %d requests are remote after 6 s", share, all)
	}
}
