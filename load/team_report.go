package load

import (
	"cmp"
	"slices"
)

// TeamReport compares the requests of a team that were served with those that its rate and burst allow.
type TeamReport struct {
	Team string `json:"team"`
	// Conforming is the number of requests that a token bucket with the team's rate and burst would have admitted.
	Conforming int `json:"due"`
	Served     int `json:"served"`
	// RefusedWithinRate is the number of conforming requests that were refused for exceeding the rate.
	RefusedWithinRate int `json:"refused-within-rate"`
	// ServedShare is Served divided by Conforming, at most 1.
	ServedShare float64 `json:"share"`
}

// teamReport runs the team's requests, in the order of their arrival, through a token bucket that starts full.
func teamReport(team Team, results []result) TeamReport {
	report := TeamReport{Team: team.Name, ServedShare: 1}
	var arrivals []float64
	refused := 0
	for _, res := range results {
		if res.team != team.Name {
			continue
		}
		arrivals = append(arrivals, res.sent.Seconds())
		if res.refusal == "" && !res.failed {
			report.Served++
		}
		if res.refusal == "rate-exceeded" {
			refused++
		}
	}
	slices.Sort(arrivals)
	tokens, lastArrival := team.Burst, 0.0
	for _, arrival := range arrivals {
		tokens = min(team.Burst, tokens+(arrival-lastArrival)*team.Rate)
		lastArrival = arrival
		if tokens >= 1 {
			tokens--
			report.Conforming++
		}
	}
	// Refusals of a team that sent more than its rate are right, except for those that left it with less than it may have.
	report.RefusedWithinRate = max(0, min(refused, report.Conforming-report.Served))
	if report.Conforming > 0 {
		report.ServedShare = min(1, float64(report.Served)/float64(report.Conforming))
	}
	return report
}

// teamReports returns the reports of all teams in ascending order of their served share.
func (r *Runner) teamReports() []TeamReport {
	var reports []TeamReport
	for _, team := range r.profile.Teams {
		reports = append(reports, teamReport(team, r.results))
	}
	slices.SortStableFunc(reports, func(a, b TeamReport) int { return cmp.Compare(a.ServedShare, b.ServedShare) })
	return reports
}
