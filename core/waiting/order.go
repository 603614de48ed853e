package waiting

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// startMemory is the time constant with which the starts of a team are forgotten: an idle team saves up no more turns than
	// it would get in about that time.
	startMemory = 2 * time.Second
	// shareMemory is the time constant with which the arrivals and starts of a rank are forgotten.
	shareMemory = 10 * time.Second
	// maxEpochAge bounds the exponent of Line.unit.
	maxEpochAge = 100 * startMemory
	// forgottenStarts is the number of recent starts below which the account of a team without requests is dropped first.
	forgottenStarts = 0.05
	// accountsPerPlace bounds the teams that a line knows, in proportion to its length. At the bound, the team without requests
	// that was served least recently is forgotten.
	accountsPerPlace = 2
	// classesPerDoubling is the number of classes of worth per Work in a factor of 2. Work is an estimate that drifts, so that
	// requests of the same kind would otherwise be ordered by its noise.
	classesPerDoubling = 2
	// maxWeight bounds the weight of a team.
	maxWeight = 1e9
	// minWork is the shortest Work in the worth per Work.
	minWork = time.Millisecond
)

// team is the account of one team within one rank.
type team[T any] struct {
	name   string
	weight float64
	// tickets has the team's answerable requests in no order.
	tickets []*Ticket[T]
	// started is the number of recent starts, in units of Line.unit.
	started float64
}

// worthClass returns the class of a request's worth per Work on a logarithmic scale.
func worthClass(worth float64, work time.Duration) int {
	return int(math.Round(classesPerDoubling * (math.Log2(min(worth, math.MaxFloat64)) - math.Log2(max(work, minWork).Seconds()))))
}

// unit is what a start or arrival now adds to a count with that time constant. It grows exponentially, so that earlier ones
// count for less in comparison and no count has to be changed as time passes.
func (l *Line[T]) unit(now, memory time.Duration) float64 {
	if age := now - l.epoch; age > maxEpochAge {
		for _, r := range l.ranks {
			scale := math.Exp(-float64(age) / float64(shareMemory))
			r.arrived *= scale
			r.started *= scale
			scale = math.Exp(-float64(age) / float64(startMemory))
			for _, t := range r.teams {
				t.started *= scale
			}
		}
		l.epoch = now
	}
	return math.Exp(float64(now-l.epoch) / float64(memory))
}

// teamOf returns the team's account in the rank, a new one if there is none.
func (l *Line[T]) teamOf(now time.Duration, r *rank[T], name string) *team[T] {
	if i := slices.IndexFunc(r.teams, func(t *team[T]) bool { return t.name == name }); i >= 0 {
		return r.teams[i]
	}
	if l.accounts >= accountsPerPlace*l.length {
		l.forgetTeams(now)
	}
	t := &team[T]{name: name}
	r.teams = append(r.teams, t)
	l.accounts++
	return t
}

// forgetTeams drops the accounts of teams without requests and recent starts, or else those with the fewest starts.
func (l *Line[T]) forgetTeams(now time.Duration) {
	limit := forgottenStarts * l.unit(now, startMemory)
	fewest := math.Inf(1)
	for _, r := range l.ranks {
		for _, t := range r.teams {
			if len(t.tickets) == 0 {
				fewest = min(fewest, t.started)
			}
		}
	}
	limit = max(limit, fewest)
	for i := len(l.ranks) - 1; i >= 0; i-- {
		r := l.ranks[i]
		before := len(r.teams)
		r.teams = slices.DeleteFunc(r.teams, func(t *team[T]) bool { return len(t.tickets) == 0 && t.started <= limit })
		l.accounts -= before - len(r.teams)
		l.dropIfUnused(r)
	}
}

// nextTeam returns the team with waiting requests that has had the fewest recent starts for its weight.
func (r *rank[T]) nextTeam() *team[T] {
	var next *team[T]
	for _, t := range r.teams {
		if len(t.tickets) > 0 && (next == nil || t.started*next.weight < next.started*t.weight) {
			next = t
		}
	}
	return next
}

// best returns the request of the team that starts first.
func (t *team[T]) best(now time.Duration) *Ticket[T] {
	return slices.MinFunc(t.tickets, func(a, b *Ticket[T]) int { return a.compare(b, now) })
}

// compare orders the requests of one team: higher worth per Work, then those that can still meet their objective, the earliest
// first. Of the others, the one with the latest deadline starts first: under a lasting overload, the earliest deadline first
// would start each at its last moment, so that every underestimate of Work makes a response late.
func (a *Ticket[T]) compare(b *Ticket[T], now time.Duration) int {
	if a.class != b.class {
		return b.class - a.class
	}
	aInTime, bInTime := now+a.request.Work <= a.request.Objective, now+b.request.Work <= b.request.Objective
	switch {
	case aInTime && !bInTime:
		return -1
	case !aInTime && bInTime:
		return 1
	case aInTime && a.request.Objective != b.request.Objective:
		return cmp.Compare(a.request.Objective, b.request.Objective)
	case !aInTime && a.request.Deadline != b.request.Deadline:
		return cmp.Compare(b.request.Deadline, a.request.Deadline)
	}
	return cmp.Compare(a.sequence, b.sequence)
}

// leastWorth returns the request to evict from a line that is over its length: one that can't be answered in time; else one of
// the lowest rank that has more than its reserved places, of its team with the most requests waiting and recently started for
// its weight.
func (l *Line[T]) leastWorth(now time.Duration) *Ticket[T] {
	if len(l.late) > 0 {
		return l.late[0]
	}
	r := l.lowestUnreserved()
	unit := l.unit(now, startMemory)
	var most *team[T]
	var mostShare float64
	for _, t := range r.teams {
		if len(t.tickets) == 0 {
			continue
		}
		share := (float64(len(t.tickets)) + t.started/unit) / t.weight
		if most == nil || share > mostShare {
			most, mostShare = t, share
		}
	}
	return slices.MaxFunc(most.tickets, func(a, b *Ticket[T]) int { return a.compare(b, now) })
}

// lowestUnreserved returns the lowest rank that has more requests than places reserved for it. There is one, since the line has
// more requests than places.
func (l *Line[T]) lowestUnreserved() *rank[T] {
	reserved := l.length / max(lowerRankEvery, len(l.turns))
	for i := len(l.ranks) - 1; i > 0; i-- {
		if r := l.ranks[i]; r.answerable > reserved {
			return r
		}
	}
	return l.ranks[0]
}
