package queue

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"vanillatally/core/config"
)

func item(team string, class config.QueueClass, weight float64, startBy time.Duration) *Item[int] {
	return &Item[int]{Team: team, Class: class, Weight: weight, StartBy: startBy}
}

// A team that queues many requests must take neither the turns nor the places of the other teams.
func TestTeamsShareTurnsByWeight(t *testing.T) {
	q := New[int]()
	refused := 0
	for range 1000 {
		if q.Push(0, item("greedy", config.ClassPatient, 1, time.Hour), 0, 1) == QueueFull {
			refused++
		}
	}
	for range 30 {
		if v := q.Push(0, item("small", config.ClassPatient, 3, time.Hour), 0, 1); v != Queued {
			t.Fatalf("the small team was refused: %s", v)
		}
	}
	served := map[string]int{}
	for range 40 {
		next, _ := q.Pop(0)
		served[next.Team]++
	}
	if refused != 1000-256 || served["small"] < 28 {
		t.Errorf("%d of the greedy team refused, turns %v", refused, served)
	}
}

// Bulk requests must be served eventually even while prompt ones wait, and prompt requests must not wait behind bulk ones.
func TestClassesAreServedInOrderAndNoneStarves(t *testing.T) {
	q := New[int]()
	for _, class := range []config.QueueClass{config.ClassBulk, config.ClassPatient, config.ClassPrompt} {
		for range 60 {
			q.Push(0, item("a", class, 1, time.Hour), 0, 1)
		}
	}
	served := map[config.QueueClass]int{}
	for range 64 {
		next, _ := q.Pop(0)
		served[next.Class]++
	}
	if served[config.ClassPrompt] < 44 || served[config.ClassPatient] < 8 || served[config.ClassBulk] < 4 {
		t.Errorf("turns %v", served)
	}
}

// Requests that can't meet their deadline must be neither queued nor started.
func TestLateRequestsAreRefused(t *testing.T) {
	q := New[int]()
	for i := range 10 {
		q.Push(0, item(fmt.Sprint(i), config.ClassPatient, 1, time.Second), 100*time.Millisecond, 1)
	}
	if v := q.Push(0, item("b", config.ClassPatient, 1, 500*time.Millisecond), 100*time.Millisecond, 1); v != Overloaded {
		t.Errorf("a request that cannot start in time: %s", v)
	}
	if v := q.Push(0, item("c", config.ClassPrompt, 1, time.Hour), 100*time.Millisecond, 1); v != Queued {
		t.Errorf("a prompt request before patient ones: %s", v)
	}
	next, expired := q.Pop(2 * time.Second)
	if next == nil || next.Team != "c" {
		t.Errorf("got %+v first", next)
	}
	if next, expired = q.Pop(2 * time.Second); next != nil || len(expired) != 10 {
		t.Errorf("got %+v and %d expired after the deadline", next, len(expired))
	}
}

// Whatever the order of calls, the queue must lose no request, return none twice, and know its length.
func TestQueueReturnsEachRequestOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[int]()
		waiting := map[*Item[int]]bool{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				i := item(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"), rapid.SampledFrom(classOrder).Draw(t, "class"),
					rapid.SampledFrom([]float64{0.3, 1, 2.5}).Draw(t, "weight"), time.Hour)
				if q.Push(0, i, 0, 1) == Queued {
					waiting[i] = true
				}
			case 2:
				next, _ := q.Pop(0)
				if next != nil && !waiting[next] || next == nil && len(waiting) > 0 {
					t.Fatalf("popped %+v of %d waiting", next, len(waiting))
				}
				delete(waiting, next)
			default:
				for i := range waiting {
					q.Remove(i)
					delete(waiting, i)
					break
				}
			}
			if q.Len() != len(waiting) {
				t.Fatalf("length %d, want %d", q.Len(), len(waiting))
			}
		}
	})
}
