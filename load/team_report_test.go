package load

import (
	"testing"
	"time"
)

// Guards against a report that misses refusals within the rate of a team that also exceeds it, or that counts refusals
// beyond the rate against the system.
func TestTeamReport(t *testing.T) {
	// simultaneousArrivals sends n requests at once at second 0; admitted of them are served.
	simultaneousArrivals := func(n, admitted int) (results []result) {
		for i := range n {
			res := result{team: "alpha", sent: 0, finished: time.Millisecond, status: 200}
			if i >= admitted {
				res.refusal = "rate-exceeded"
			}
			results = append(results, res)
		}
		return results
	}
	for _, c := range []struct {
		name           string
		sent, admitted int
		want           TeamReport
	}{
		{"within burst and served", 10, 10, TeamReport{"alpha", 10, 10, 0, 1}},
		{"within burst and refused", 10, 8, TeamReport{"alpha", 10, 8, 2, 0.8}},
		{"beyond burst", 50, 20, TeamReport{"alpha", 20, 20, 0, 1}},
		{"beyond burst and too many refused", 50, 15, TeamReport{"alpha", 20, 15, 5, 0.75}},
	} {
		t.Run(c.name, func(t *testing.T) {
			team := Team{Name: "alpha", Rate: 1, Burst: 20}
			if got := teamReport(team, simultaneousArrivals(c.sent, c.admitted)); got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}

// Guards against a rate check that never fails: it must find a single request served beyond burst and rate.
func TestCheckRatesFindsAnOverAdmission(t *testing.T) {
	profile := Profile{Teams: []Team{{Name: "alpha", Rate: 10, Burst: 5}}}
	for _, c := range []struct {
		name                  string
		extra, wantViolations int
	}{{"a full burst, then requests at the rate", 0, 0}, {"one more request at the end", 1, 1}} {
		r := &Runner{profile: profile}
		addServed := func(at time.Duration) {
			r.results = append(r.results, result{team: "alpha", sent: at, finished: at, status: 200})
		}
		for i := range 15 {
			addServed(time.Duration(max(0, i-4)) * 100 * time.Millisecond)
		}
		for range c.extra {
			addServed(time.Second)
		}
		if got := r.checkRates().Violations; got != c.wantViolations {
			t.Errorf("%s: %d violations, want %d", c.name, got, c.wantViolations)
		}
	}
}
