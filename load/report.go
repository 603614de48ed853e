package load

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"
)

// RouteReport sums up the requests of one team on one route. Latencies are in milliseconds and of succeeded requests.
type RouteReport struct {
	Team      string  `json:"team"`
	Route     string  `json:"route"`
	Requests  int     `json:"requests"`
	Succeeded int     `json:"succeeded"`
	Refused   int     `json:"refused"`
	Failed    int     `json:"failed"`
	P50       float64 `json:"p50-ms"`
	P99       float64 `json:"p99-ms"`
	P999      float64 `json:"p99.9-ms"`
}

// GuaranteeReport is the result of the checks of one guarantee.
type GuaranteeReport struct {
	Guarantee  string `json:"promise"`
	Checks     int    `json:"checks"`
	Violations int    `json:"violations"`
	// Example describes the first violation.
	Example string `json:"example,omitempty"`
}

// Report is the result of a run.
type Report struct {
	DurationSeconds float64       `json:"duration-seconds"`
	Routes          []RouteReport `json:"routes"`
	// Teams is in ascending order of the served share.
	Teams    []TeamReport   `json:"teams"`
	Refusals map[string]int `json:"refusals-by-reason"`
	// Skipped is the number of requests that were not sent because too many were in flight.
	Skipped    uint64            `json:"skipped-arrivals"`
	Headroom   []RegionHeadroom  `json:"headroom"`
	Guarantees []GuaranteeReport `json:"promises"`
}

// HasViolations reports whether a guarantee was violated.
func (r Report) HasViolations() bool {
	return slices.ContainsFunc(r.Guarantees, func(p GuaranteeReport) bool { return p.Violations > 0 })
}

// Report sums up the run and checks the guarantees, also with data of the backend servers.
func (r *Runner) Report(standIns *StandIns) Report {
	report := Report{DurationSeconds: time.Since(r.start).Seconds(), Skipped: r.skipped.Load(), Refusals: map[string]int{}}
	type routeKey struct{ team, route string }
	latencies := map[routeKey][]time.Duration{}
	routes := map[routeKey]*RouteReport{}
	for _, res := range r.results {
		key := routeKey{res.team, res.route}
		route := routes[key]
		if route == nil {
			route = &RouteReport{Team: res.team, Route: res.route}
			routes[key] = route
		}
		route.Requests++
		switch {
		case res.refusal != "":
			route.Refused++
			report.Refusals[res.refusal]++
		case res.failed || res.status >= 500:
			route.Failed++
		default:
			route.Succeeded++
			latencies[key] = append(latencies[key], res.finished-res.sent)
		}
	}
	for key, route := range routes {
		route.P50, route.P99, route.P999 = quantile(latencies[key], 0.5),
			quantile(latencies[key], 0.99), quantile(latencies[key], 0.999)
		report.Routes = append(report.Routes, *route)
	}
	slices.SortFunc(report.Routes, func(a, b RouteReport) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Route, b.Route))
	})
	report.Teams = r.teamReports()
	report.Headroom = standIns.Headroom()
	report.Guarantees = r.checkGuarantees(standIns)
	return report
}

// quantile returns the q-quantile of values in milliseconds, or 0 if there are none. It sorts values.
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
	fmt.Fprintf(out, "%-12s %-16s %8s %8s %8s %8s %9s %9s %9s\n",
		"team", "route", "requests", "served", "refused", "failed", "p50 ms", "p99 ms", "p99.9 ms")
	for _, t := range r.Routes {
		fmt.Fprintf(out, "%-12s %-16s %8d %8d %8d %8d %9.2f %9.2f %9.2f\n",
			t.Team, t.Route, t.Requests, t.Succeeded, t.Refused, t.Failed, t.P50, t.P99, t.P999)
	}
	for i, t := range r.Teams {
		note := ""
		if i == 0 {
			note = "  (worst-served team)"
		}
		fmt.Fprintf(out, "team %-14s conforming %6d served %6d refused within rate %4d, served share %.2f%%%s\n",
			t.Team, t.Conforming, t.Served, t.RefusedWithinRate, 100*t.ServedShare, note)
	}
	fmt.Fprintf(out, "refusals by reason: %v; skipped arrivals: %d\n", r.Refusals, r.Skipped)
	for _, h := range r.Headroom {
		fmt.Fprintf(out, "headroom in %-12s mean %.0f%%, lowest %.0f%% of %d slots\n", h.Region, 100*h.Mean, 100*h.Lowest, h.Slots)
	}
	for _, p := range r.Guarantees {
		fmt.Fprintf(out, "guarantee %-20s %7d checks %4d violations %s\n", p.Guarantee, p.Checks, p.Violations, p.Example)
	}
}
