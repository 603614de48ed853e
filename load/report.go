package load

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"
)

// RouteReport is what the callers of one team saw on one route. Times are in milliseconds.
type RouteReport struct {
	Team              string  `json:"team"`
	Route             string  `json:"route"`
	Requests          int     `json:"requests"`
	Succeeded         int     `json:"succeeded"`
	Refused           int     `json:"refused"`
	RefusedWithinRate int     `json:"refused-within-rate"`
	Failed            int     `json:"failed"`
	P50               float64 `json:"p50-ms"`
	P99               float64 `json:"p99-ms"`
	P999              float64 `json:"p99.9-ms"`
}

// PromiseReport is the check of one promise.
type PromiseReport struct {
	Promise    string `json:"promise"`
	Checks     int    `json:"checks"`
	Violations int    `json:"violations"`
	// Example describes the first violation.
	Example string `json:"example,omitempty"`
}

// Report is the result of a run.
type Report struct {
	DurationSeconds float64       `json:"duration-seconds"`
	Routes          []RouteReport `json:"routes"`
	// WorstTeam had the smallest part of its requests within rate served.
	WorstTeam       string           `json:"worst-served-team"`
	WorstTeamServed float64          `json:"worst-served-share"`
	Refusals        map[string]int   `json:"refusals-by-reason"`
	Skipped         uint64           `json:"skipped-arrivals"`
	Headroom        []RegionHeadroom `json:"headroom"`
	Promises        []PromiseReport  `json:"promises"`
}

// Broken reports whether a promise was violated.
func (r Report) Broken() bool {
	return slices.ContainsFunc(r.Promises, func(p PromiseReport) bool { return p.Violations > 0 })
}

// Report sums up the run and checks the promises against the backend servers.
func (r *Runner) Report(servers *Servers) Report {
	report := Report{DurationSeconds: time.Since(r.start).Seconds(), Skipped: r.skipped.Load(), Refusals: map[string]int{}}
	type group struct{ team, route string }
	r.markTeams()
	latencies := map[group][]time.Duration{}
	routes := map[group]*RouteReport{}
	for _, s := range r.samples {
		g := group{s.team, s.route}
		route := routes[g]
		if route == nil {
			route = &RouteReport{Team: s.team, Route: s.route}
			routes[g] = route
		}
		route.Requests++
		switch {
		case s.refusal != "":
			route.Refused++
			report.Refusals[s.refusal]++
			if s.withinRate {
				route.RefusedWithinRate++
			}
		case s.failed || s.status >= 500:
			route.Failed++
		default:
			route.Succeeded++
			latencies[g] = append(latencies[g], s.finished-s.sent)
		}
	}
	for g, route := range routes {
		route.P50, route.P99, route.P999 = quantile(latencies[g], 0.5), quantile(latencies[g], 0.99), quantile(latencies[g], 0.999)
		report.Routes = append(report.Routes, *route)
	}
	slices.SortFunc(report.Routes, func(a, b RouteReport) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Route, b.Route))
	})
	report.WorstTeam, report.WorstTeamServed = worstTeam(r.samples)
	report.Headroom = servers.Headroom()
	report.Promises = r.checkPromises(servers)
	return report
}

// markTeams marks the refusals within rate of every team.
func (r *Runner) markTeams() {
	for _, team := range r.profile.Teams {
		var samples []*sample
		for i := range r.samples {
			if r.samples[i].team == team.Name {
				samples = append(samples, &r.samples[i])
			}
		}
		markWithinRate(team, samples)
	}
}

// worstTeam compares the served share of what was due to each team: all but the refusals beyond its rate.
func worstTeam(samples []sample) (worst string, share float64) {
	due, served := map[string]int{}, map[string]int{}
	for _, s := range samples {
		if s.refusal == rateReason && !s.withinRate {
			continue
		}
		due[s.team]++
		if s.refusal == "" && !s.failed {
			served[s.team]++
		}
	}
	share = 2
	for team, n := range due {
		if part := float64(served[team]) / float64(n); part < share || part == share && team < worst {
			worst, share = team, part
		}
	}
	return worst, share
}

// quantile returns milliseconds; 0 without samples.
func quantile(values []time.Duration, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	index := min(len(values)-1, int(float64(len(values))*q))
	return float64(values[index]) / float64(time.Millisecond)
}

// Write prints the report as text.
func (r Report) Write(out io.Writer) {
	fmt.Fprintf(out, "%-12s %-16s %8s %8s %8s %8s %8s %9s %9s %9s\n",
		"team", "route", "requests", "served", "refused", "in-rate", "failed", "p50 ms", "p99 ms", "p99.9 ms")
	for _, t := range r.Routes {
		fmt.Fprintf(out, "%-12s %-16s %8d %8d %8d %8d %8d %9.2f %9.2f %9.2f\n",
			t.Team, t.Route, t.Requests, t.Succeeded, t.Refused, t.RefusedWithinRate, t.Failed, t.P50, t.P99, t.P999)
	}
	fmt.Fprintf(out, "worst-served team: %s, %.2f%% of what was due to it\n", r.WorstTeam, 100*r.WorstTeamServed)
	fmt.Fprintf(out, "refusals by reason: %v; skipped arrivals: %d\n", r.Refusals, r.Skipped)
	for _, h := range r.Headroom {
		fmt.Fprintf(out, "headroom in %-12s mean %.0f%%, lowest %.0f%% of %d slots\n", h.Region, 100*h.Mean, 100*h.Lowest, h.Slots)
	}
	for _, p := range r.Promises {
		fmt.Fprintf(out, "promise %-20s %7d checks %4d violations %s\n", p.Promise, p.Checks, p.Violations, p.Example)
	}
}
