package load

import (
	"testing"
	"time"
)

// Guards against a report that hides refusals within rate of a team that sends too much, or that blames the
// system for refusals beyond the rate.
func TestTeamReport(t *testing.T) {
	// arrivals sends n requests at once at second 0; admitted of them are served.
	arrivals := func(n, admitted int) (samples []sample) {
		for i := range n {
			s := sample{team: "alpha", sent: 0, finished: time.Millisecond, status: 200}
			if i >= admitted {
				s.refusal = "rate-exceeded"
			}
			samples = append(samples, s)
		}
		return samples
	}
	for _, c := range []struct {
		name           string
		sent, admitted int
		want           TeamReport
	}{
		{"within burst and served", 10, 10, TeamReport{"alpha", 10, 10, 0, 1}},
		{"within burst and refused", 10, 8, TeamReport{"alpha", 10, 8, 2, 0.8}},
		{"beyond burst", 50, 20, TeamReport{"alpha", 20, 20, 0, 1}},
		{"beyond burst and refused too much", 50, 15, TeamReport{"alpha", 20, 15, 5, 0.75}},
	} {
		t.Run(c.name, func(t *testing.T) {
			team := Team{Name: "alpha", Rate: 1, Burst: 20}
			if got := teamReport(team, arrivals(c.sent, c.admitted)); got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}

// Guards against a rate check that cannot fail: one admission beyond burst and rate must be found.
func TestCheckRatesFindsAnOverAdmission(t *testing.T) {
	profile := Profile{Teams: []Team{{Name: "alpha", Rate: 10, Burst: 5}}}
	for _, c := range []struct {
		name              string
		extra, violations int
	}{{"a whole burst and then the rate", 0, 0}, {"one more at the end", 1, 1}} {
		r := &Runner{profile: profile}
		add := func(at time.Duration) {
			r.samples = append(r.samples, sample{team: "alpha", sent: at, finished: at, status: 200})
		}
		for i := range 15 {
			add(time.Duration(max(0, i-4)) * 100 * time.Millisecond)
		}
		for range c.extra {
			add(time.Second)
		}
		if got := r.checkRates().Violations; got != c.violations {
			t.Errorf("%s: %d violations, want %d", c.name, got, c.violations)
		}
	}
}
