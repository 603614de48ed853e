package load

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// checkPromises checks each promise that shows from outside.
func (r *Runner) checkPromises(servers *StandIns) []GuaranteeReport {
	runsByKey, runsByTag, seen := servers.CountExecutions(r.run)
	return []GuaranteeReport{
		r.checkEach("whole-answer", func(s sample) (bool, string) {
			return s.status != 200 || s.refusal != "" || !s.wrong, "request " + s.tag + " got another body"
		}),
		r.checkEach("answered", func(s sample) (bool, string) {
			return !s.failed, "request " + s.tag + " of team " + s.team + " on route " + s.route + " got neither an answer nor a refusal"
		}),
		r.checkEach("at-most-once", func(s sample) (bool, string) {
			return s.key == "" || runsByKey[s.key] <= 1, fmt.Sprintf("key %s ran %d times", s.key, runsByKey[s.key])
		}),
		r.checkEach("true-not-run", func(s sample) (bool, string) {
			tag := fmt.Sprintf("%s-%d", s.tag, s.attempts-1)
			return s.ran != "not-run" || runsByTag[tag] == 0, "request " + tag + " ran"
		}),
		{Guarantee: "key-hidden", Checks: len(r.samples), Violations: len(seen), Example: strings.Join(seen[:min(1, len(seen))], "")},
		r.checkRates(),
	}
}

func (r *Runner) checkEach(promise string, check func(s sample) (ok bool, example string)) GuaranteeReport {
	report := GuaranteeReport{Guarantee: promise}
	for _, s := range r.samples {
		report.Checks++
		if ok, example := check(s); !ok {
			report.Violations++
			if report.Example == "" {
				report.Example = example
			}
		}
	}
	return report
}

// maxStarts bounds the interval starts that checkRates examines for each team, so that the check of a long run ends
// in seconds. Up to that many served requests every interval is checked.
const maxStarts = 4000

// checkRates counts the served requests that lie wholly inside an interval from one request's sending to
// another's end. They were admitted inside it, so there may be at most burst + rate × length of them.
func (r *Runner) checkRates() GuaranteeReport {
	report := GuaranteeReport{Guarantee: "rate-and-burst"}
	for _, team := range r.profile.Teams {
		var served []sample
		for _, s := range r.samples {
			if s.team == team.Name && s.refusal == "" && !s.failed {
				served = append(served, s)
			}
		}
		slices.SortFunc(served, func(a, b sample) int { return cmp.Compare(a.finished, b.finished) })
		starts := make([]time.Duration, len(served))
		for i, s := range served {
			starts[i] = s.sent
		}
		slices.Sort(starts)
		starts = slices.Compact(starts)
		for i := 0; i < len(starts); i += 1 + len(starts)/maxStarts {
			checkInterval(&report, team, served, starts[i])
		}
	}
	return report
}

// checkInterval checks every interval that begins at start; served is sorted by end.
func checkInterval(report *GuaranteeReport, team Team, served []sample, start time.Duration) {
	inside := 0
	for _, s := range served {
		if s.sent < start {
			continue
		}
		inside++
		report.Checks++
		length := s.finished - start
		if float64(inside) <= team.Burst+team.Rate*length.Seconds() {
			continue
		}
		report.Violations++
		if report.Example == "" {
			report.Example = fmt.Sprintf("team %s: %d requests within %s", team.Name, inside, length)
		}
	}
}
