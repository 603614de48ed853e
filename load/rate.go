package load

import (
	"cmp"
	"slices"
)

// rateReason is the refusal that counts against the team's rate.
const rateReason = "rate-exceeded"

// markWithinRate finds the refusals for lack of rate although the team's rate had room. A token bucket that starts
// full is charged with every admitted request when it was sent; a refusal that meets a token was within the rate.
func markWithinRate(team Team, samples []*sample) {
	slices.SortFunc(samples, func(a, b *sample) int { return cmp.Compare(a.sent, b.sent) })
	level, last := team.Burst, 0.0
	for _, s := range samples {
		now := s.sent.Seconds()
		level = min(team.Burst, level+(now-last)*team.Rate)
		last = now
		switch {
		case s.refusal == "":
			level--
		case s.refusal == rateReason:
			s.withinRate = level >= 1
		}
	}
}
