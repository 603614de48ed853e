package balance

import "time"

// Random is a source of random numbers.
type Random interface {
	IntN(n int) int
	Float64() float64
}

// Request is the input of one choice.
type Request struct {
	Now    time.Duration
	Random Random
	// Sequence numbers the choices, for round robin.
	Sequence uint64
	// Scratch is memory that the caller reuses; it holds nothing between choices.
	Scratch *Scratch
}

// Scratch is the working memory of Pick.
type Scratch struct {
	// Candidates is for the caller's list of candidates.
	Candidates [MaxCandidates]Candidate
	usable     [MaxCandidates]int
}

// pickFunc returns one of the usable indexes of candidates.
type pickFunc func(r Request, candidates []Candidate, usable []int) int

// Policy names a load balancing algorithm.
type Policy string

// The policies.
const (
	PowerOfTwo           Policy = "power-of-two"
	HotColdLexicographic Policy = "probing"
	UniformRandom        Policy = "random"
	RoundRobin           Policy = "round-robin"
)

var policies = map[Policy]pickFunc{
	PowerOfTwo:           powerOfTwo,
	HotColdLexicographic: hotColdLexicographic,
	UniformRandom:        uniform,
	RoundRobin:           roundRobin,
}

const (
	// spilloverLoad is the load per slot above which a tier shares its traffic with the next one.
	spilloverLoad = 0.8
	// panicThreshold is the healthy share of a pool below which outlier ejections are ignored (panic mode).
	panicThreshold = 0.5
	// MaxCandidates bounds the candidates of one choice, and so its cost; callers sample larger pools.
	MaxCandidates = 64
)

// Decision is the outcome of Pick.
type Decision struct {
	// Index is the index of the chosen candidate, or -1 when there is none.
	Index int
	// Panic is set when so many servers look unhealthy that ejections are ignored.
	Panic bool
	// Shedding is set when nothing was chosen because every server asks for no requests.
	Shedding bool
}

// Pick chooses a server. Failing health never empties the pool: when fewer than half of the servers are healthy, ejected
// servers are used as well (panic mode), and servers that refused a connection are used when no other is left. Servers that
// asked to get no requests are never chosen.
func Pick(name Policy, r Request, candidates []Candidate) Decision {
	buffer := &r.Scratch.usable
	candidates = candidates[:min(len(candidates), MaxCandidates)]
	healthy, shedding, count := 0, 0, 0
	for i := range candidates {
		c := &candidates[i]
		count++
		if c.healthy(r.Now) {
			healthy++
		}
		if r.Now < c.ShedUntil {
			shedding++
		}
	}
	if shedding == count && count > 0 {
		return Decision{Index: -1, Shedding: true}
	}
	panicMode := float64(healthy) < panicThreshold*float64(count)
	usable := byTier(candidates, buffer[:0], func(c *Candidate) bool { return c.healthy(r.Now) })
	if panicMode {
		usable = byTier(candidates, buffer[:0], func(c *Candidate) bool { return !c.Down && r.Now >= c.ShedUntil })
	}
	if len(usable) == 0 {
		usable = byTier(candidates, buffer[:0], func(c *Candidate) bool { return r.Now >= c.ShedUntil })
	}
	if len(usable) == 0 {
		return Decision{Index: -1, Panic: panicMode}
	}
	pick := policies[name]
	if pick == nil {
		pick = powerOfTwo
	}
	return Decision{Index: pick(r, candidates, usable), Panic: panicMode}
}

// byTier returns the usable candidates of the nearest tier that has any. If that tier is loaded above spilloverLoad, those
// of the next one are added, and so on.
func byTier(candidates []Candidate, buffer []int, usable func(c *Candidate) bool) []int {
	for tier := range tierCount {
		load, slots := 0.0, 0
		for i := range candidates {
			c := &candidates[i]
			if c.Excluded || !usable(c) {
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
		if len(buffer) > 0 && load <= spilloverLoad*float64(slots) {
			break
		}
	}
	return buffer
}

// powerOfTwo returns the better one of two random servers.
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

// hotColdLexicographic compares three random servers by the hot-cold lexicographic rule: of the servers with a low load (cold)
// it returns the one with the lowest latency, or if there is none, the one with the lowest load. The rule comes from schemes
// that send probes to servers; here the load and latency are those that this host knows already.
func hotColdLexicographic(r Request, candidates []Candidate, usable []int) int {
	best, bestIsCold := -1, false
	for range 3 {
		i := usable[r.Random.IntN(len(usable))]
		cold := candidates[i].load() < 0.5
		switch {
		case best < 0, cold && !bestIsCold:
			best, bestIsCold = i, cold
		case cold == bestIsCold && cold &&
			candidates[i].Health.EffectiveLatency(r.Now) < candidates[best].Health.EffectiveLatency(r.Now):
			best = i
		case cold == bestIsCold && !cold && candidates[i].load() < candidates[best].load():
			best = i
		}
	}
	return best
}

func uniform(r Request, _ []Candidate, usable []int) int { return usable[r.Random.IntN(len(usable))] }

func roundRobin(r Request, _ []Candidate, usable []int) int {
	return usable[int(r.Sequence%uint64(len(usable)))]
}
