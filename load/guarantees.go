package load

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// checkGuarantees checks the results of all requests and the execution logs of the backend servers.
func (r *Runner) checkGuarantees(standIns *StandIns) []GuaranteeReport {
	executionsByKey, executionsByTag, leaks := standIns.CountExecutions(r.id)
	return []GuaranteeReport{
		r.checkEach("whole-answer", func(res result) (bool, string) {
			return res.status != 200 || res.refusal != "" || !res.wrongBody, "request " + res.tag + " got a wrong response body"
		}),
		r.checkEach("answered", func(res result) (bool, string) {
			return !res.failed,
				"request " + res.tag + " of team " + res.team + " on route " + res.route + " got neither a response nor a refusal"
		}),
		r.checkEach("at-most-once", func(res result) (bool, string) {
			return res.idempotencyKey == "" || executionsByKey[res.idempotencyKey] <= 1,
				fmt.Sprintf("the request with idempotency key %s was executed %d times",
					res.idempotencyKey, executionsByKey[res.idempotencyKey])
		}),
		r.checkEach("true-not-run", func(res result) (bool, string) {
			tag := fmt.Sprintf("%s-%d", res.tag, res.attempts-1)
			return res.ran != "not-run" || executionsByTag[tag] == 0,
				"request " + tag + " was executed although its refusal says not-run"
		}),
		{
			Guarantee: "key-hidden", Checks: len(r.results), Violations: len(leaks),
			Example: strings.Join(leaks[:min(1, len(leaks))], ""),
		},
		r.checkRates(),
	}
}

// checkEach checks every result and reports the example of the first violation.
func (r *Runner) checkEach(guarantee string, check func(res result) (ok bool, example string)) GuaranteeReport {
	report := GuaranteeReport{Guarantee: guarantee}
	for _, res := range r.results {
		report.Checks++
		if ok, example := check(res); !ok {
			report.Violations++
			if report.Example == "" {
				report.Example = example
			}
		}
	}
	return report
}

// maxIntervalStarts is the maximum number of interval starts that checkRates examines for each team, so that the check of
// a long run ends in seconds. With fewer served requests, every interval is checked.
const maxIntervalStarts = 4000

// checkRates checks that no team was served more than its rate and burst allow. It examines intervals that begin when a
// request was sent and end when a request finished. Served requests that were sent and finished within an interval were
// admitted within it, so there may be at most burst + rate × length of them.
func (r *Runner) checkRates() GuaranteeReport {
	report := GuaranteeReport{Guarantee: "rate-and-burst"}
	for _, team := range r.profile.Teams {
		var served []result
		for _, res := range r.results {
			if res.team == team.Name && res.refusal == "" && !res.failed {
				served = append(served, res)
			}
		}
		slices.SortFunc(served, func(a, b result) int { return cmp.Compare(a.finished, b.finished) })
		starts := make([]time.Duration, len(served))
		for i, res := range served {
			starts[i] = res.sent
		}
		slices.Sort(starts)
		starts = slices.Compact(starts)
		for i := 0; i < len(starts); i += 1 + len(starts)/maxIntervalStarts {
			checkInterval(&report, team, served, starts[i])
		}
	}
	return report
}

// checkInterval checks the intervals that begin at start; served is sorted by finish time.
func checkInterval(report *GuaranteeReport, team Team, served []result, start time.Duration) {
	inside := 0
	for _, res := range served {
		if res.sent < start {
			continue
		}
		inside++
		report.Checks++
		length := res.finished - start
		if float64(inside) <= team.Burst+team.Rate*length.Seconds() {
			continue
		}
		report.Violations++
		if report.Example == "" {
			report.Example = fmt.Sprintf("team %s: %d requests within %s", team.Name, inside, length)
		}
	}
}
