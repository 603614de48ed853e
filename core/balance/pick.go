package balance

import "time"

// Random is the source of chance.
type Random interface {
	IntN(n int) int
	Float64() float64
}

// Request is what one choice is about.
type Request struct {
	Now    time.Duration
	Random Random
	// Sequence counts the choices, for round robin.
	Sequence uint64
	// Scratch is memory for the choice that the caller reuses; it holds nothing between choices.
	Scratch *Scratch
}

// Scratch holds the working memory of Pick.
type Scratch struct {
	// Candidates is for the caller to fill.
	Candidates [MaxCandidates]Candidate
	usable     [MaxCandidates]int
}

// policy picks one of the usable indexes of candidates.
type policy func(r Request, candidates []Candidate, usable []int) int

// Policy names a way to pick a server.
type Policy string

// The policies.
const (
	PowerOfTwo           Policy = "power-of-two"
	HotColdLexicographic Policy = "probing"
	UniformRandom        Policy = "random"
	RoundRobin           Policy = "round-robin"
)

var policies = map[Policy]policy{
	PowerOfTwo:           powerOfTwo,
	HotColdLexicographic: probing,
	UniformRandom:        uniform,
	RoundRobin:           roundRobin,
}

const (
	// spillLoad is the load for each slot above which a tier shares its traffic with the next one.
	spillLoad = 0.8
	// panicShare is the healthy part of a pool below which outlier marks are ignored.
	panicShare = 0.5
	// MaxCandidates bounds the work of one choice; larger pools are sampled.
	MaxCandidates = 64
)

// Decision is the outcome of Pick.
type Decision struct {
	// Index is that of the chosen candidate, or -1 when every candidate is excluded.
	Index int
	// Panic reports that most servers look unhealthy, so that the marks were ignored.
	Panic bool
	// Shedding reports that nothing was chosen because every server asked for a pause.
	Shedding bool
}

// Pick chooses a server. Suspicion never empties the pool: when fewer than half of the servers look healthy,
// suspected servers are used as well, and refused connections rule a server out only while others remain.
func Pick(name Policy, r Request, candidates []Candidate) Decision {
	buffer := &r.Scratch.usable
	candidates = candidates[:min(len(candidates), MaxCandidates)]
	healthy, shedding, present := 0, 0, 0
	for i := range candidates {
		c := &candidates[i]
		present++
		if c.healthy(r.Now) {
			healthy++
		}
		if r.Now < c.ShedUntil {
			shedding++
		}
	}
	if shedding == present && present > 0 {
		return Decision{Index: -1, Shedding: true}
	}
	desperate := float64(healthy) < panicShare*float64(present)
	usable := byTier(candidates, buffer[:0], func(c *Candidate) bool { return c.healthy(r.Now) })
	if desperate {
		usable = byTier(candidates, buffer[:0], func(c *Candidate) bool { return !c.Down && r.Now >= c.ShedUntil })
	}
	if len(usable) == 0 {
		usable = byTier(candidates, buffer[:0], func(c *Candidate) bool { return r.Now >= c.ShedUntil })
	}
	if len(usable) == 0 {
		return Decision{Index: -1, Panic: desperate}
	}
	pick := policies[name]
	if pick == nil {
		pick = powerOfTwo
	}
	return Decision{Index: pick(r, candidates, usable), Panic: desperate}
}

// byTier returns the nearest candidates that pass; a tier above spillLoad shares with the next one.
func byTier(candidates []Candidate, buffer []int, pass func(c *Candidate) bool) []int {
	for tier := range tierCount {
		load, slots := 0.0, 0
		for i := range candidates {
			c := &candidates[i]
			if c.Excluded || !pass(c) {
				continue
			}
			if c.Tier == tier {
				buffer = append(buffer, i)
			}
			if c.Tier <= tier {
				load += c.load() * float64(c.Slots) / SlowStartFactor(c.Age)
				slots += c.Slots
			}
		}
		if len(buffer) > 0 && load <= spillLoad*float64(slots) {
			break
		}
	}
	return buffer
}

func powerOfTwo(r Request, candidates []Candidate, usable []int) int {
	if len(usable) == 1 {
		return usable[0]
	}
	first := r.Random.IntN(len(usable))
	second := r.Random.IntN(len(usable) - 1)
	if second >= first {
		second++
	}
	a, b := usable[first], usable[second]
	if candidates[b].score(r.Now) < candidates[a].score(r.Now) {
		return b
	}
	return a
}

// probing compares three random servers by the load that they report: the one with the lowest latency of those
// below the median load, as a scheme that probes servers would do with fresh answers.
func probing(r Request, candidates []Candidate, usable []int) int {
	best, bestCold := -1, false
	for range 3 {
		i := usable[r.Random.IntN(len(usable))]
		cold := candidates[i].load() < 0.5
		switch {
		case best < 0, cold && !bestCold:
			best, bestCold = i, cold
		case cold == bestCold && cold && candidates[i].Health.EffectiveLatency(r.Now) < candidates[best].Health.EffectiveLatency(r.Now):
			best = i
		case cold == bestCold && !cold && candidates[i].load() < candidates[best].load():
			best = i
		}
	}
	return best
}

func uniform(r Request, _ []Candidate, usable []int) int { return usable[r.Random.IntN(len(usable))] }

func roundRobin(r Request, _ []Candidate, usable []int) int {
	return usable[int(r.Sequence%uint64(len(usable)))]
}
