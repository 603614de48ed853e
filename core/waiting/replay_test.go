package waiting

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// call is a request of the replayed load with what became of it.
type call struct {
	arrival time.Duration
	request Request[int]
	// rank is the key of its rank in the outcomes.
	rank string
	// work is the slot time that it takes; Request.Work is only expected.
	work time.Duration
	// worth is what its caller got, answered whether that was before the deadline.
	worth    float64
	answered bool
}

// loadShape describes a replayed load.
type loadShape struct {
	name  string
	slots int
	// demand is the slots asked for, in proportion to slots.
	demand float64
	// burst is the factor of the first route's rate for burstTime, greedy that of one team's rate.
	burst, greedy float64
}

const (
	replayTime = 40 * time.Second
	// countedTime is when the last counted calls arrive. The longest time limit ends before the load does: afterwards the slots
	// are free for what still waits.
	countedTime = 20 * time.Second
	burstStart  = 5 * time.Second
	burstTime   = 6500 * ms
)

// replayRoutes are the routes of the service; share is that of the slots asked for.
var replayRoutes = []struct {
	rank                   int
	work, objective, limit time.Duration
	worth, share           float64
}{
	{0, 120 * ms, 400 * ms, 2 * time.Second, 1, 0.3},
	{0, 300 * ms, time.Second, 4 * time.Second, 4, 0.15},
	{1, 250 * ms, time.Second, 5 * time.Second, 2, 0.3},
	{2, 600 * ms, 2500 * ms, 20 * time.Second, 1, 0.25},
}

// replayTeams has the teams' rates; each sends in proportion.
var replayTeams = []float64{40, 30, 10, 10, 10, 5, 5, 2}

// greedyTeam is the team that sends more than its rate.
const greedyTeam = 2

// newLoad returns the calls of a load in the order of their arrivals.
func newLoad(shape loadShape, seed uint64) []*call {
	random := rand.New(rand.NewPCG(seed, 5))
	rates := 0.0
	for _, rate := range replayTeams {
		rates += rate
	}
	var calls []*call
	for i, route := range replayRoutes {
		for team, rate := range replayTeams {
			name := fmt.Sprint("team-", team)
			perSecond := shape.demand * float64(shape.slots) * route.share / route.work.Seconds() * rate / rates
			if team == greedyTeam {
				perSecond *= shape.greedy
			}
			for at := time.Duration(0); ; {
				now := perSecond
				if i == 0 && at >= burstStart && at < burstStart+burstTime {
					now *= shape.burst
				}
				if at += time.Duration(random.ExpFloat64() / now * float64(time.Second)); at >= replayTime {
					break
				}
				calls = append(calls, &call{
					arrival: at, rank: fmt.Sprint("rank-", route.rank), work: time.Duration((0.5 + random.Float64()) * float64(route.work)),
					request: Request[int]{
						Team: name, Weight: rate, Rank: route.rank, Worth: route.worth, Work: route.work,
						Objective: at + route.objective, Deadline: at + route.limit,
					},
				})
			}
		}
	}
	slices.SortFunc(calls, func(a, b *call) int { return cmp.Compare(a.arrival, b.arrival) })
	for i, c := range calls {
		c.request.Value = i
	}
	return calls
}

// finish records a response. Its worth falls from the objective to the deadline.
func (c *call) finish(at time.Duration) {
	r := c.request
	if at > r.Deadline {
		return
	}
	c.answered = true
	c.worth = r.Worth * min(1, float64(r.Deadline-at)/float64(r.Deadline-r.Objective))
}

// policy decides which calls start.
type policy interface {
	push(now time.Duration, c *call)
	next(now time.Duration) (call int, ok bool)
}

// linePolicy starts requests as the line does. It counts the starts while requests of the highest rank wait, and those of lower
// ranks among them.
type linePolicy struct {
	*Line[int]
	calls         []*call
	starts, lower int
}

func (p *linePolicy) push(now time.Duration, c *call) { p.Push(now, c.request) }

func (p *linePolicy) next(now time.Duration) (next int, ok bool) {
	p.Expired(now)
	waits := p.Waiting(0) > 0
	if next, ok = p.Next(now); ok && waits {
		p.starts++
		if p.calls[next].request.Rank > 0 {
			p.lower++
		}
	}
	return next, ok
}

// firstComePolicy starts requests in the order of arrival, with the line's bound.
type firstComePolicy struct{ waiting []*call }

func (p *firstComePolicy) push(_ time.Duration, c *call) {
	if len(p.waiting) < defaultLength {
		p.waiting = append(p.waiting, c)
	}
}

func (p *firstComePolicy) next(now time.Duration) (int, bool) {
	for len(p.waiting) > 0 {
		c := p.waiting[0]
		p.waiting = p.waiting[1:]
		if now <= c.request.latestStart() {
			return c.request.Value, true
		}
	}
	return 0, false
}

// times is a heap of the times at which slots become free.
type times []time.Duration

func (t times) Len() int           { return len(t) }
func (t times) Less(i, j int) bool { return t[i] < t[j] }
func (t times) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *times) Push(x any)        { *t = append(*t, x.(time.Duration)) }
func (t *times) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// replay runs the calls through the policy, until none waits.
func replay(calls []*call, slots int, p policy) {
	busy := &times{}
	for i := 0; i < len(calls) || busy.Len() > 0; {
		var now time.Duration
		if busy.Len() == 0 || i < len(calls) && calls[i].arrival < (*busy)[0] {
			now = calls[i].arrival
			p.push(now, calls[i])
			i++
		} else {
			now = heap.Pop(busy).(time.Duration)
		}
		for busy.Len() < slots {
			next, ok := p.next(now)
			if !ok {
				break
			}
			c := calls[next]
			heap.Push(busy, now+c.work)
			c.finish(now + c.work)
		}
	}
}

// replayOptimum gives each call, from the most to the least preferred, the earliest free slot time before its deadline, if there
// is enough. It knows all arrivals and the work of each call, and a call may pause, so that it is an upper bound. With byRank,
// higher ranks are preferred, else only the worth per work counts.
func replayOptimum(calls []*call, slots int, byRank bool) {
	const step = 10 * ms
	free := make([]time.Duration, (replayTime+30*time.Second)/step)
	// nextFree leads to the next step that is not full, in several jumps.
	nextFree := make([]int, len(free)+1)
	for i := range nextFree {
		nextFree[i] = i
	}
	for i := range free {
		free[i] = time.Duration(slots) * step
	}
	find := func(i int) int {
		for nextFree[i] != i {
			nextFree[i] = nextFree[nextFree[i]]
			i = nextFree[i]
		}
		return i
	}
	worthPerWork := func(c *call) float64 { return c.request.Worth / float64(c.work) }
	sorted := slices.Clone(calls)
	slices.SortFunc(sorted, func(a, b *call) int {
		if byRank && a.request.Rank != b.request.Rank {
			return a.request.Rank - b.request.Rank
		}
		return cmp.Or(cmp.Compare(worthPerWork(b), worthPerWork(a)), a.request.Value-b.request.Value)
	})
	for _, c := range sorted {
		first, last, left := find(int(c.arrival/step)), int(c.request.Deadline/step), c.work
		end := first
		for ; end < last && left > 0; end = find(end + 1) {
			left -= min(left, step, free[end])
		}
		if left > 0 {
			continue
		}
		left = c.work
		at := first
		for ; left > 0; at = find(at + 1) {
			used := min(left, step, free[at])
			left -= used
			if free[at] -= used; free[at] == 0 {
				nextFree[at] = at + 1
			}
			end = at
		}
		c.finish(max(time.Duration(end)*step, c.arrival+c.work))
	}
}

// outcome counts the calls of a rank or team.
type outcome struct {
	calls, answered int
	worth, offered  float64
}

func (o outcome) share() float64 { return float64(o.answered) / float64(max(o.calls, 1)) }

// outcomes has the outcomes of all calls, under the key "", and by rank and team. It clears the calls for the next replay.
func outcomes(calls []*call) map[string]outcome {
	result := map[string]outcome{}
	for _, c := range calls {
		if c.arrival > countedTime {
			continue
		}
		for _, key := range []string{"", c.rank, c.request.Team} {
			o := result[key]
			o.calls++
			o.offered += c.request.Worth
			o.worth += c.worth
			if c.answered {
				o.answered++
			}
			result[key] = o
		}
	}
	for _, c := range calls {
		c.worth, c.answered = 0, false
	}
	return result
}

// Guards against an overload in which lower ranks displace higher ones, ranks or teams starve, or callers get less than from a
// queue in the order of arrival.
func TestReplayedOverload(t *testing.T) {
	for i, shape := range []loadShape{
		{"shortage of 15%", 12, 1036.0 / 900, 1, 1},
		{"shortage of 60%", 12, 1.6, 1, 1},
		{"burst of a route", 12, 1036.0 / 900, 2.2, 1},
		{"team at 5 times its rate", 12, 1036.0 / 900, 1, 5},
		{"burst and greedy team in a shortage of 60%", 12, 1.6, 2.2, 5},
		{"shortage of 15%", 900, 1036.0 / 900, 1, 1},
		{"shortage of 60%", 900, 1.6, 1, 1},
		{"burst of a route", 900, 1036.0 / 900, 2.2, 1},
		{"team at 5 times its rate", 900, 1036.0 / 900, 1, 5},
	} {
		t.Run(fmt.Sprintf("%s of %d slots", shape.name, shape.slots), func(t *testing.T) {
			calls := newLoad(shape, uint64(i))
			replayOptimum(calls, shape.slots, true)
			byRank := outcomes(calls)
			replayOptimum(calls, shape.slots, false)
			byWorth := outcomes(calls)
			replay(calls, shape.slots, &firstComePolicy{})
			firstCome := outcomes(calls)
			p := &linePolicy{Line: New[int](Limits{}), calls: calls}
			replay(calls, shape.slots, p)
			line := outcomes(calls)
			t.Logf("%-8s %6s %21s %21s %21s %21s", "", "calls", "line", "first come", "best by rank", "best by worth")
			for _, key := range slices.Sorted(maps.Keys(line)) {
				text := fmt.Sprintf("%-8s %6d", cmp.Or(key, "all"), line[key].calls)
				for _, o := range []outcome{line[key], firstCome[key], byRank[key], byWorth[key]} {
					text += fmt.Sprintf(" answered %3.0f%% worth %3.0f%%", 100*o.share(), 100*o.worth/o.offered)
				}
				t.Log(text)
			}
			if line[""].worth < firstCome[""].worth {
				t.Errorf("callers get less than in the order of arrival: %.0f, %.0f", line[""].worth, firstCome[""].worth)
			}
			// Two lower ranks get at most one start in lowerRankEvery each.
			if p.lower*lowerRankEvery > p.starts*2 {
				t.Errorf("%d of %d starts while the highest rank waits go to lower ranks", p.lower, p.starts)
			}
			for key, o := range line {
				if o.share() < line[""].share()/4 {
					t.Errorf("%s starves: %.3f of its calls are answered, of all %.3f", key, o.share(), line[""].share())
				}
			}
			for rank := range 2 {
				higher, lower := line[fmt.Sprint("rank-", rank)], line[fmt.Sprint("rank-", rank+1)]
				if lower.share() > higher.share() {
					t.Errorf("rank %d is answered more often than the higher one: %.3f, %.3f", rank+1, lower.share(), higher.share())
				}
			}
		})
	}
}
