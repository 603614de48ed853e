package waiting

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// request returns a request of worth 1 that takes 100 ms and has its full value for 400 ms, some value for 2 s.
func request(team string, rank, value int) Request[int] {
	return Request[int]{Team: team, Rank: rank, Work: 100 * ms, Objective: 400 * ms, Deadline: 2 * time.Second, Value: value}
}

func drain(l *Line[int], now time.Duration, n int) (values []int) {
	for range n {
		if value, ok := l.Next(now); ok {
			values = append(values, value)
		}
	}
	return values
}

// Guards against a request of lower rank or worth that starts before, or is kept instead of, a better one.
func TestOrderOfStartsAndEvictions(t *testing.T) {
	with := func(r Request[int], change func(*Request[int])) Request[int] { change(&r); return r }
	for _, c := range []struct {
		name string
		// best to worst, for Next at 0 and for eviction.
		requests []Request[int]
	}{
		{"rank", []Request[int]{request("a", 0, 0), request("a", 1, 1), request("a", 5, 2)}},
		{"worth", []Request[int]{
			with(request("a", 0, 0), func(r *Request[int]) { r.Worth = 4 }),
			with(request("a", 0, 1), func(r *Request[int]) { r.Worth = 2 }),
			request("a", 0, 2),
		}},
		{"work", []Request[int]{
			with(request("a", 0, 0), func(r *Request[int]) { r.Work = 25 * ms }),
			with(request("a", 0, 1), func(r *Request[int]) { r.Work = 50 * ms }),
			request("a", 0, 2),
		}},
		{"objective", []Request[int]{
			with(request("a", 0, 0), func(r *Request[int]) { r.Objective = 100 * ms }),
			with(request("a", 0, 1), func(r *Request[int]) { r.Objective = 200 * ms }),
			with(request("a", 0, 2), func(r *Request[int]) { r.Objective, r.Deadline = 50*ms, 3*time.Second }),
			with(request("a", 0, 3), func(r *Request[int]) { r.Objective = 99 * ms }),
		}},
		{"arrival", []Request[int]{request("a", 0, 0), request("a", 0, 1), request("a", 0, 2)}},
	} {
		n := len(c.requests)
		for shift := range n {
			starts, evictions := New[int](Limits{}), New[int](Limits{Length: n - 1})
			var evicted []int
			for i := range n {
				r := c.requests[i]
				if c.name != "arrival" {
					r = c.requests[(i+shift)%n]
				}
				starts.Push(0, r)
				ticket, out := evictions.Push(0, r)
				if evicted = append(evicted, out...); (ticket == nil) != slices.Contains(out, r.Value) {
					t.Errorf("%s: ticket %v with evicted %v", c.name, ticket, out)
				}
			}
			if got := drain(starts, 0, n); !slices.IsSorted(got) || len(got) != n {
				t.Errorf("%s: started in the order %v", c.name, got)
			}
			if !slices.Equal(evicted, []int{n - 1}) {
				t.Errorf("%s: evicted %v", c.name, evicted)
			}
		}
	}
}

// Guards against lower ranks that starve behind a full line of higher ones, and against those that are served more often than a
// higher rank because few of their requests arrive.
func TestEachRankGetsItsStarts(t *testing.T) {
	for _, c := range []struct {
		name string
		// arrivals are those of each rank per 10 ms, in which there are three starts.
		arrivals []int
		// window is the number of starts of which each rank gets one.
		window int
	}{
		{"two ranks", []int{4, 4}, lowerRankEvery},
		{"three ranks", []int{4, 4, 4}, 2 * lowerRankEvery},
		{"the highest alone is too much", []int{8, 2}, lowerRankEvery},
		// With equal shares, rank 1 has one of 41 starts.
		{"a low rank with few requests", []int{40, 1}, 8 * lowerRankEvery},
		{"six ranks", []int{4, 4, 4, 4, 4, 4}, 8 * lowerRankEvery},
	} {
		l := New[int](Limits{})
		arrived, served := make([]int, len(c.arrivals)), make([]int, len(c.arrivals))
		var starts []int
		for i := range 4000 {
			now := time.Duration(i) * 10 * ms
			for rank, n := range c.arrivals {
				for range n {
					r := request("a", rank, rank)
					r.Objective, r.Deadline = r.Objective+now, r.Deadline+now
					l.Push(now, r)
					arrived[rank]++
				}
			}
			l.Expired(now)
			starts = append(starts, drain(l, now, 3)...)
		}
		for i, rank := range starts {
			served[rank]++
			if i > c.window {
				for rank := range c.arrivals {
					if !slices.Contains(starts[i-c.window:i], rank) {
						t.Fatalf("%s: rank %d has no start in %v", c.name, rank, starts[i-c.window:i])
					}
				}
			}
		}
		for rank := 1; rank < len(served); rank++ {
			if 4*served[rank]*int(l.pushes) < len(starts)*arrived[rank] {
				t.Errorf("%s: rank %d starves: served %v of %v", c.name, rank, served, arrived)
			}
			if served[rank]*arrived[rank-1] > served[rank-1]*arrived[rank] {
				t.Errorf("%s: served %v of %v", c.name, served, arrived)
			}
		}
	}
}

// Guards against a team that takes the starts or the places of the others by sending more.
func TestTeamsShareStartsAndPlacesByWeight(t *testing.T) {
	l := New[int](Limits{Length: 64})
	teams := []Request[int]{request("greedy", 0, 0), request("small", 0, 1), request("large", 0, 2)}
	teams[2].Weight = 3
	for range 500 {
		l.Push(0, teams[0])
	}
	for range 40 {
		l.Push(0, teams[1])
		l.Push(0, teams[2])
	}
	waiting := map[int]int{}
	starts := drain(l, 0, 50)
	for _, v := range starts {
		waiting[v]++
	}
	if waiting[0] != 10 || waiting[1] != 10 || waiting[2] != 30 {
		t.Errorf("starts %v, want 10 greedy, 10 small, 30 large", waiting)
	}
	for _, v := range drain(l, 0, 64) {
		waiting[v]++
	}
	if waiting[0] < 12 || waiting[1] < 12 || waiting[2] < 38 {
		t.Errorf("places %v, want about 13, 13 and 38", waiting)
	}
}

// Guards against requests that start although their response would come too late, and against callers that are never told.
func TestRequestsThatCannotBeAnsweredInTime(t *testing.T) {
	l := New[int](Limits{Length: 3})
	l.Push(0, request("a", 0, 0))
	last := request("a", 1, 1)
	last.Deadline = 3 * time.Second
	ticket, _ := l.Push(0, last)
	if got := l.Expired(1900 * ms); got != nil {
		t.Errorf("%v expired at its last moment", got)
	}
	if got, ok := l.Next(1901 * ms); !ok || got != 1 {
		t.Errorf("started %v, want the request that can be answered", got)
	}
	l.Remove(ticket)
	if l.Len() != 1 || l.Waiting(0) != 1 || l.Waiting(1) != 0 {
		t.Errorf("%d waiting before Expired", l.Len())
	}
	l.Push(1901*ms, request("a", 0, 2))
	l.Push(1901*ms, last)
	if _, evicted := l.Push(1901*ms, last); !slices.Equal(evicted, []int{0}) {
		t.Errorf("evicted %v, want the expired request first", evicted)
	}
	if got := l.Expired(1901 * ms); !slices.Equal(got, []int{2}) || l.Len() != 2 {
		t.Errorf("%v expired, %d waiting", got, l.Len())
	}
}

// Guards against accounts of teams that grow without bound, and against an idle team that saves up turns.
func TestAccountsAreBounded(t *testing.T) {
	l := New[int](Limits{Length: 8})
	now := time.Duration(0)
	for i := range 10_000 {
		now += ms
		r := request(fmt.Sprint("team-", i), i%50, i)
		r.Deadline += now
		l.Push(now, r)
		if i%2 == 0 {
			l.Next(now)
		}
		if l.accounts > 8*accountsPerPlace || len(l.ranks) > 8*accountsPerPlace+8 || len(l.turns) > 8 {
			t.Fatalf("%d teams, %d ranks, %d turns", l.accounts, len(l.ranks), len(l.turns))
		}
	}
}

// Guards against callers that return all at once, or before the requests ahead of theirs.
func TestRetryAfter(t *testing.T) {
	l := New[int](Limits{})
	if got := l.RetryAfter(0, 0, 100, 0); got != minRetryAfter {
		t.Errorf("empty line: %v", got)
	}
	for range 100 {
		l.Push(0, request("a", 1, 0))
	}
	for _, c := range []struct {
		rank              int
		drainRate, random float64
		want              time.Duration
	}{
		{0, 50, 0, minRetryAfter},
		{1, 50, 0, 2 * time.Second},
		{1, 50, 0.5, 3 * time.Second},
		// A lower rank gets a start in lowerRankEvery.
		{2, 10, 0, 800 * ms},
		{1, 0, 0, maxRetryAfter},
		{1, 0.001, 0.999, maxRetryAfter * 1999 / 1000},
	} {
		if got := l.RetryAfter(0, c.rank, c.drainRate, c.random); (got - c.want).Abs() > ms {
			t.Errorf("rank %d, %v starts per second: %v, want %v", c.rank, c.drainRate, got, c.want)
		}
	}
	if got := l.RetryAfter(3*time.Second, 1, 1, 0); got != minRetryAfter {
		t.Errorf("expired requests count: %v", got)
	}
}

// A start must not allocate, since it happens under the lock of the service.
func TestCallsDontAllocate(t *testing.T) {
	l := New[int](Limits{})
	for i := range 200 {
		l.Push(0, request(fmt.Sprint("team-", i%8), i%3, i))
	}
	r := request("team-1", 1, 0)
	if n := testing.AllocsPerRun(100, func() {
		ticket, _ := l.Push(0, r)
		l.Next(0)
		l.Push(0, r)
		l.Remove(ticket)
		l.Expired(0)
	}); n > 2 {
		t.Errorf("%v allocations for two requests", n)
	}
}

func BenchmarkPushAndNextInFullLine(b *testing.B) {
	l := New[int](Limits{})
	requests := make([]Request[int], 400)
	for i := range requests {
		requests[i] = request(fmt.Sprint("team-", i%8), i%3, i)
		requests[i].Deadline += time.Duration(i) * 10 * ms
	}
	for i := range b.N {
		l.Push(0, requests[i%400])
		if l.Len() == 256 && i%2 == 0 {
			l.Next(0)
		}
	}
}
