package load

import (
	"cmp"
	"slices"
)

// TeamReport compares what a team was served with what its rate and burst entitled it to.
type TeamReport struct {
	Team string `json:"team"`
	// Conforming is the number of requests that a token bucket of the team's rate and burst would have admitted.
	Conforming int `json:"due"`
	Served     int `json:"served"`
	// RefusedWithinRate is the number of due requests that were not admitted.
	RefusedWithinRate int `json:"refused-within-rate"`
	// ServedShare is the served part of what was due, at most 1.
	ServedShare float64 `json:"share"`
}

// teamReport charges a token bucket, which starts full, with the team's arrivals in their order.
func teamReport(team Team, samples []sample) TeamReport {
	report := TeamReport{Team: team.Name, ServedShare: 1}
	var arrivals []float64
	refused := 0
	for _, s := range samples {
		if s.team != team.Name {
			continue
		}
		arrivals = append(arrivals, s.sent.Seconds())
		if s.refusal == "" && !s.failed {
			report.Served++
		}
		if s.refusal == "rate-exceeded" {
			refused++
		}
	}
	slices.Sort(arrivals)
	level, last := team.Burst, 0.0
	for _, at := range arrivals {
		level = min(team.Burst, level+(at-last)*team.Rate)
		last = at
		if level >= 1 {
			level--
			report.Conforming++
		}
	}
	// A team that sent more than its rate has refusals beyond it; only the shortfall counts.
	report.RefusedWithinRate = max(0, min(refused, report.Conforming-report.Served))
	if report.Conforming > 0 {
		report.ServedShare = min(1, float64(report.Served)/float64(report.Conforming))
	}
	return report
}

// teamReports returns the reports of all teams, the worst served first.
func (r *Runner) teamReports() []TeamReport {
	var reports []TeamReport
	for _, team := range r.profile.Teams {
		reports = append(reports, teamReport(team, r.samples))
	}
	slices.SortStableFunc(reports, func(a, b TeamReport) int { return cmp.Compare(a.ServedShare, b.ServedShare) })
	return reports
}
