package waiting

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// model is a plain list of requests with the history of arrivals and starts.
type model struct {
	waiting  []*modelRequest
	arrivals []modelEvent
	starts   []modelEvent
}

type modelRequest struct {
	Request[int]
	ticket *Ticket[int]
}

type modelEvent struct {
	at   time.Duration
	rank int
	team string
}

// recent is the sum of the events that are counted, each decayed by its age.
func recent(events []modelEvent, now, memory time.Duration, counted func(modelEvent) bool) (sum float64) {
	for _, e := range events {
		if counted(e) {
			sum += math.Exp(-float64(now-e.at) / float64(memory))
		}
	}
	return sum
}

func (m *model) teamStarts(now time.Duration, rank int, team string) float64 {
	return recent(m.starts, now, startMemory, func(e modelEvent) bool { return e.rank == rank && e.team == team })
}

func (m *model) rankShare(now time.Duration, rank int) float64 {
	counted := func(e modelEvent) bool { return e.rank == rank }
	return recent(m.starts, now, shareMemory, counted) / recent(m.arrivals, now, shareMemory, counted)
}

// answerable returns the requests that can be answered in time and that are selected.
func (m *model) answerable(now time.Duration, selected func(*modelRequest) bool) (result []*modelRequest) {
	for _, r := range m.waiting {
		if now+r.Work <= r.Deadline && selected(r) {
			result = append(result, r)
		}
	}
	return result
}

func (m *model) take(t *rapid.T, value int) *modelRequest {
	i := slices.IndexFunc(m.waiting, func(r *modelRequest) bool { return r.Value == value })
	if i < 0 {
		t.Fatalf("request %d does not wait", value)
	}
	r := m.waiting[i]
	m.waiting = slices.Delete(m.waiting, i, i+1)
	return r
}

// better reports whether a precedes b among the requests of one team.
func better(a, b *modelRequest, now time.Duration) bool {
	keys := func(r *modelRequest) []float64 {
		inTime := now+r.Work <= r.Objective
		keys := []float64{-r.Worth / float64(r.Work), 1, -float64(r.Deadline), float64(r.Value)}
		if inTime {
			keys[1], keys[2] = 0, float64(r.Objective)
		}
		return keys
	}
	return slices.Compare(keys(a), keys(b)) < 0
}

const modelLength, tolerance = 8, 1e-9

// checkEvicted checks that the evicted request was of least worth before it was taken from the line.
func (m *model) checkEvicted(t *rapid.T, now time.Duration, r *modelRequest) {
	all := m.answerable(now, func(*modelRequest) bool { return true })
	if len(all) < len(m.waiting) {
		if now+r.Work <= r.Deadline {
			t.Fatalf("%+v is evicted instead of an expired request", r)
		}
		return
	}
	ofRank := func(rank int) int {
		return len(m.answerable(now, func(r *modelRequest) bool { return r.Rank == rank }))
	}
	if ofRank(r.Rank) <= modelLength/lowerRankEvery {
		t.Fatalf("rank %d has %d requests and loses one", r.Rank, ofRank(r.Rank))
	}
	for _, other := range all {
		if other.Rank > r.Rank && ofRank(other.Rank) > modelLength/lowerRankEvery {
			t.Fatalf("rank %d is evicted before rank %d", r.Rank, other.Rank)
		}
	}
	share := func(o *modelRequest) float64 {
		same := m.answerable(now, func(r *modelRequest) bool { return r.Rank == o.Rank && r.Team == o.Team })
		return (float64(len(same)) + m.teamStarts(now, o.Rank, o.Team)) / o.Weight
	}
	for _, other := range all {
		if other.Rank == r.Rank && share(other) > share(r)+tolerance {
			t.Fatalf("team %s is evicted before %s", r.Team, other.Team)
		}
		if other.Rank == r.Rank && other.Team == r.Team && better(r, other, now) {
			t.Fatalf("%+v is evicted before %+v", r, other)
		}
	}
}

// checkStart checks that the request was the one to start before it was taken from the line. turns has the number of starts at
// each waiting rank's last turn.
func (m *model) checkStart(t *rapid.T, now time.Duration, r *modelRequest, turns map[int]int) {
	all := m.answerable(now, func(*modelRequest) bool { return true })
	if !slices.Contains(all, r) {
		t.Fatalf("%+v starts too late at %v", r, now)
	}
	n := len(m.starts)
	for _, other := range all {
		waited := n - turns[other.Rank]
		servedLess := true
		for _, higher := range all {
			if higher.Rank < other.Rank && m.rankShare(now, other.Rank) > outOfOrderShare*m.rankShare(now, higher.Rank)-tolerance {
				servedLess = false
			}
		}
		switch {
		case other.Rank < r.Rank && n-turns[r.Rank] < lowerRankEvery-len(turns):
			t.Fatalf("rank %d starts out of order after %d starts", r.Rank, n-turns[r.Rank])
		case other.Rank < r.Rank && m.rankShare(now, r.Rank) > outOfOrderShare*m.rankShare(now, other.Rank)+tolerance:
			t.Fatalf("rank %d starts out of order and is served as often as rank %d", r.Rank, other.Rank)
		case other.Rank > r.Rank && servedLess && waited >= lowerRankEvery && turns[r.Rank] > turns[other.Rank]:
			t.Fatalf("rank %d has waited for %d starts", other.Rank, waited)
		}
		if other.Rank == r.Rank &&
			m.teamStarts(now, r.Rank, other.Team)/other.Weight < m.teamStarts(now, r.Rank, r.Team)/r.Weight-tolerance {
			t.Fatalf("team %s starts before %s", r.Team, other.Team)
		}
		if other.Rank == r.Rank && other.Team == r.Team && better(other, r, now) {
			t.Fatalf("%+v starts before %+v", r, other)
		}
	}
}

// Guards against requests that are lost or returned twice, and against any order of calls after which the line picks another
// request than the rules do.
func TestLineFollowsTheModel(t *testing.T) {
	weights := map[string]float64{"a": 1, "b": 2.5, "c": 0.3}
	rapid.Check(t, func(t *rapid.T) {
		l, m := New[int](Limits{Length: modelLength}), &model{}
		turns := map[int]int{}
		now := time.Duration(0)
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			// Ranks wait from the call at which they have an answerable request.
			for rank := range 4 {
				if len(m.answerable(now, func(r *modelRequest) bool { return r.Rank == rank })) == 0 {
					delete(turns, rank)
				}
			}
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2, 3, 4:
				r := &modelRequest{Request: Request[int]{
					Team: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"), Rank: rapid.IntRange(0, 3).Draw(t, "rank"),
					Worth: rapid.SampledFrom([]float64{1, 2, 8}).Draw(t, "worth"), Work: 100 * ms, Value: i,
					Objective: now + time.Duration(rapid.IntRange(0, 9).Draw(t, "objective"))*100*ms,
				}}
				r.Weight = weights[r.Team]
				r.Deadline = r.Objective + time.Duration(rapid.IntRange(0, 9).Draw(t, "deadline"))*500*ms
				m.waiting = append(m.waiting, r)
				if now+r.Work <= r.Deadline {
					m.arrivals = append(m.arrivals, modelEvent{now, r.Rank, r.Team})
					if _, waits := turns[r.Rank]; !waits {
						turns[r.Rank] = len(m.starts)
					}
				}
				ticket, evicted := l.Push(now, r.Request)
				r.ticket = ticket
				if want := max(len(m.waiting)-modelLength, 0); len(evicted) != want {
					t.Fatalf("%d evicted, want %d", len(evicted), want)
				}
				for _, value := range evicted {
					out := m.waiting[slices.IndexFunc(m.waiting, func(r *modelRequest) bool { return r.Value == value })]
					m.checkEvicted(t, now, out)
					m.take(t, value)
				}
			case 5, 6, 7:
				value, ok := l.Next(now)
				if all := m.answerable(now, func(*modelRequest) bool { return true }); ok != (len(all) > 0) {
					t.Fatalf("start %v with %d requests that can be answered", ok, len(all))
				}
				if ok {
					r := m.waiting[slices.IndexFunc(m.waiting, func(r *modelRequest) bool { return r.Value == value })]
					m.checkStart(t, now, r, turns)
					m.take(t, value)
					m.starts = append(m.starts, modelEvent{now, r.Rank, r.Team})
					turns[r.Rank] = len(m.starts)
				}
			case 8:
				late := len(m.waiting) - len(m.answerable(now, func(*modelRequest) bool { return true }))
				expired := l.Expired(now)
				if len(expired) != late {
					t.Fatalf("%d expired, want %d", len(expired), late)
				}
				for _, value := range expired {
					if r := m.take(t, value); now+r.Work <= r.Deadline {
						t.Fatalf("%+v expired at %v", r, now)
					}
				}
			default:
				if len(m.waiting) > 0 {
					r := rapid.SampledFrom(m.waiting).Draw(t, "removed")
					l.Remove(r.ticket)
					l.Remove(r.ticket)
					m.take(t, r.Value)
				}
			}
			now += time.Duration(rapid.SampledFrom([]int{0, 0, 0, 0, 10, 100}).Draw(t, "passed")) * ms
			if l.Len() != len(m.waiting) {
				t.Fatalf("length %d, want %d", l.Len(), len(m.waiting))
			}
			for rank := range 4 {
				want := 0
				for _, r := range m.waiting {
					if r.Rank == rank {
						want++
					}
				}
				if got := l.Waiting(rank); got != want {
					t.Fatalf("%d of rank %d wait, want %d", got, rank, want)
				}
			}
		}
	})
}
