package balance

import (
	"math/rand/v2"
	"testing"
	"time"
)

// pickCounts returns how often each candidate is chosen in the given number of rounds.
func pickCounts(policy Policy, now time.Duration, candidates []Candidate, rounds int) []int {
	counts := make([]int, len(candidates)+1)
	r := rand.New(rand.NewPCG(1, 2))
	scratch := &Scratch{}
	for i := range rounds {
		d := Pick(policy, Request{Now: now, Random: r, Sequence: uint64(i), Scratch: scratch}, candidates)
		counts[d.Index+1]++
	}
	return counts[1:]
}

// newPool returns n equal candidates after change was called for each.
func newPool(n int, change func(i int, c *Candidate)) []Candidate {
	all := make([]Candidate, n)
	for i := range all {
		all[i] = Candidate{
			Slots: 4, Age: time.Hour,
			Health: Health{SuccessRate: 1, Samples: 100, Latency: time.Millisecond, UpdatedAt: time.Minute},
		}
		change(i, &all[i])
	}
	return all
}

// Pick must take the servers' health, load, age and distance into account, and must still choose a server when most or all of
// them look unhealthy.
func TestPick(t *testing.T) {
	const now = time.Minute
	for _, c := range []struct {
		name       string
		change     func(i int, c *Candidate)
		least, max int
		server     int
	}{
		{"equal", func(int, *Candidate) {}, 60, 110, 0},
		{"fails fast and looks idle", func(i int, c *Candidate) {
			if i == 0 {
				c.Health.SuccessRate, c.Health.Latency = 0.1, time.Microsecond
			} else {
				c.InFlight = 2
			}
		}, 0, 0, 0},
		{"slow", func(i int, c *Candidate) {
			if i == 0 {
				c.Health.Latency = 20 * time.Millisecond
			}
		}, 0, 0, 0},
		{"slow long ago", func(i int, c *Candidate) {
			if i == 0 {
				c.Health.Latency, c.Health.UpdatedAt = 20*time.Millisecond, 0
			}
		}, 100, 200, 0},
		{"slow start", func(i int, c *Candidate) {
			if i == 0 {
				c.Age = 0
			} else {
				c.InFlight = i % 3
			}
		}, 0, 20, 0},
		{"ejected", func(i int, c *Candidate) {
			if i == 0 {
				c.Health.EjectedUntil = 2 * now
			}
		}, 0, 0, 0},
		{"shedding", func(i int, c *Candidate) {
			if i == 0 {
				c.ShedUntil = 2 * now
			}
		}, 0, 0, 0},
		{"most ejected", func(i int, c *Candidate) {
			if i != 0 {
				c.Health.EjectedUntil = 2 * now
			}
		}, 60, 110, 0},
		{"all down", func(_ int, c *Candidate) { c.Down = true }, 60, 110, 0},
		{"in another region", func(i int, c *Candidate) {
			if i == 0 {
				c.Tier = OtherRegion
			}
		}, 0, 0, 0},
		{"in another region, local ones full", func(i int, c *Candidate) {
			if i == 0 {
				c.Tier = SameRegion
			} else {
				c.InFlight = 4
			}
		}, 100, 1000, 0},
	} {
		got := pickCounts(PowerOfTwo, now, newPool(12, c.change), 1000)[c.server]
		if got < c.least || got > c.max {
			t.Errorf("%s: server %d got %d of 1000, want %d to %d", c.name, c.server, got, c.least, c.max)
		}
	}
}

// Only failing or slow servers must be outliers, an ejection must end, the next one must be longer, and not too many servers of
// a pool may be ejected.
func TestEjection(t *testing.T) {
	good, failing, slow := Health{}, Health{}, Health{}
	for i := range 50 {
		now := time.Duration(i) * time.Millisecond
		good = good.WithResult(now, i%20 == 0, time.Millisecond)
		failing = failing.WithResult(now, true, time.Microsecond)
		slow = slow.WithResult(now, false, 50*time.Millisecond)
	}
	if good.Outlier(time.Millisecond) || !failing.Outlier(time.Millisecond) || !slow.Outlier(time.Millisecond) {
		t.Errorf("outliers: good server %v, failing server %v, slow server %v", good, failing, slow)
	}
	out := failing.WithEjection(time.Second)
	if !out.Ejected(2*time.Second) || out.Ejected(time.Second+baseEjection) {
		t.Errorf("first ejection until %v", out.EjectedUntil)
	}
	if again := out.WithEjection(4 * time.Second); again.EjectedUntil-4*time.Second != 2*baseEjection {
		t.Errorf("second ejection until %v", again.EjectedUntil)
	}
	ejected := 0
	for MayEject(ejected, 12) {
		ejected++
	}
	if ejected != 3 {
		t.Errorf("%d of 12 servers can be ejected, want 3", ejected)
	}
}
