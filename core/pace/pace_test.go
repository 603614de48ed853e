package pace

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A report must count whole when it is new and not at all when a slow period that was just noticed is long over. Otherwise
// requests go to a slow server, or a server that is normal again gets none.
func TestReportDecaysToNormal(t *testing.T) {
	const reported = 5 * time.Second
	for _, percent := range []int{10, 40, 100, 250, 10_000} {
		p := Pace{}.WithReport(reported, percent)
		figure := float64(percent) / NormalPercent
		if got := p.At(reported); math.Abs(got-figure) > 1e-9 {
			t.Errorf("%d%%: %.3f at once", percent, got)
		}
		if got := p.At(reported + halfLifeMS*time.Millisecond); math.Abs(got-(1+figure)/2) > 1e-6 {
			t.Errorf("%d%%: %.3f after the half-life", percent, got)
		}
		if got := p.At(reported + 2*time.Second); got != 1 {
			t.Errorf("%d%%: %.3f after 2 s", percent, got)
		}
	}
	if got := (Pace{}).At(reported); got != 1 {
		t.Errorf("%.3f without a report", got)
	}
}

// A figure that no machine can have must not exclude a server or attract all requests.
func TestAbsurdFiguresAreIgnored(t *testing.T) {
	known := Pace{}.WithReport(time.Second, 250)
	for _, percent := range []int{math.MinInt, -250, 0, 9, 10_001, math.MaxInt} {
		if got := known.WithReport(2*time.Second, percent); got != known {
			t.Errorf("%d%% changed %v to %v", percent, known, got)
		}
	}
}

// Long work on a slow server must be expected to run partly after the server's recovery, or its slowness counts too much.
func TestOverWeighsHowLongTheServerStaysSlow(t *testing.T) {
	p := Pace{}.WithReport(0, 250)
	for _, c := range []struct{ now, work time.Duration }{
		{0, time.Millisecond},
		{0, 300 * time.Millisecond},
		{0, 3 * time.Second},
		{200 * time.Millisecond, 300 * time.Millisecond},
		{600 * time.Millisecond, 300 * time.Millisecond},
	} {
		// Runs the work in steps, each at the mean speed that the decay implies.
		left, took := float64(c.work), 0.0
		const step = float64(50 * time.Microsecond)
		for ; left > 0; took += step {
			weight := math.Exp2(-(float64(c.now) + took) / (halfLifeMS * float64(time.Millisecond)))
			left -= step * (1 - weight + weight/2.5)
		}
		want := took / float64(c.work)
		if got := p.Over(c.now, c.work); math.Abs(got-want) > 0.03*want {
			t.Errorf("after %v, work of %v: %.3f, want %.3f", c.now, c.work, got, want)
		}
	}
}

// An estimate must never be outside the range between normal and the reported figure, nor rise with the age of the report.
func TestOverIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Pace{}.WithReport(time.Second, rapid.IntRange(minPercent, maxPercent).Draw(t, "percent"))
		now := time.Second + time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "age"))
		work := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "work"))
		got := p.Over(now, work)
		if got < 1 || got > max(p.At(now), 1) {
			t.Fatalf("%.3f, at %.3f", got, p.At(now))
		}
		if later := p.Over(now+time.Millisecond, work); later > got+1e-9 {
			t.Fatalf("%.6f, a millisecond later %.6f", got, later)
		}
	})
}

// The reported pace must not be counted a second time as measured slowness, and a server that recovered during a run must not
// look fast.
func TestNormalizeTakesOutWhatThePaceExplains(t *testing.T) {
	for _, c := range []struct{ took, pace, want float64 }{
		{300, 1, 300},
		{750, 2.5, 300},
		{480, 2.5, 300},
		{1500, 2.5, 600},
		{200, 2.5, 200},
		{1500, 0.4, 1500},
	} {
		if got := Normalize(c.took, 300, c.pace); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%.0f at %.1f: %.1f, want %.1f", c.took, c.pace, got, c.want)
		}
	}
}
