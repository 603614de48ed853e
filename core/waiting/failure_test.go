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

// event is a call of run at a time.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

// agenda is a heap of events.
type agenda []event

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].sequence < a[j].sequence
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// fakeHost is a host with its line and the messages of its callers and servers.
type fakeHost struct {
	line *Line[int]
	busy int
	// incarnation increases when the host dies; what was sent to an earlier one is lost.
	incarnation int
	dead        bool
	// tickets has the waiting requests by call.
	tickets map[int]*Ticket[int]
}

// fleet replays a load on several hosts.
type fleet struct {
	t      *testing.T
	random *rand.Rand
	now    time.Duration
	agenda agenda
	events int
	hosts  []*fakeHost
	calls  []*call
	// starts counts the starts of each call, queued the lines in which it waits.
	starts, queued []int
	// lost counts the requests that waited at a host when it died.
	lost int
}

const (
	hostSlots = 12
	// lostShare is the share of the messages that don't arrive: ends of requests and of callers' connections.
	lostShare = 0.05
	// leavingShare is the share of the callers that disconnect while their request waits or runs.
	leavingShare = 0.1
)

func (f *fleet) after(wait time.Duration, run func()) {
	f.events++
	heap.Push(&f.agenda, event{f.now + wait, f.events, run})
}

// arrive sends a call to a random host that lives.
func (f *fleet) arrive(i int) {
	h := f.hosts[f.random.IntN(len(f.hosts))]
	for h.dead {
		h = f.hosts[f.random.IntN(len(f.hosts))]
	}
	incarnation := h.incarnation
	ticket, evicted := h.line.Push(f.now, f.calls[i].request)
	f.queued[i]++
	h.tickets[i] = ticket
	f.leave(h, evicted)
	f.start(h)
	if f.random.Float64() < leavingShare {
		f.after(time.Duration(f.random.Float64()*float64(time.Second)), func() {
			if h.incarnation != incarnation || f.random.Float64() < lostShare {
				return
			}
			// The host may get the message after the request has left the line, and more than once.
			before := h.line.Len()
			h.line.Remove(ticket)
			h.line.Remove(ticket)
			if h.line.Len() < before {
				f.leave(h, []int{i})
			}
		})
	}
}

// leave records that requests left the line of a host.
func (f *fleet) leave(h *fakeHost, requests []int) {
	for _, i := range requests {
		f.queued[i]--
		if f.queued[i] != 0 {
			f.t.Fatalf("call %d left a line twice or waits in two", i)
		}
		delete(h.tickets, i)
	}
}

// start starts requests while the host has slots.
func (f *fleet) start(h *fakeHost) {
	f.leave(h, h.line.Expired(f.now))
	for h.busy < hostSlots {
		i, ok := h.line.Next(f.now)
		if !ok {
			return
		}
		f.leave(h, []int{i})
		c, incarnation := f.calls[i], h.incarnation
		if f.starts[i]++; f.starts[i] > 1 {
			f.t.Fatalf("call %d runs twice", i)
		}
		h.busy++
		held := c.work
		if f.random.Float64() < lostShare {
			// The host never gets the end and frees the slot at the deadline.
			held = c.request.Deadline - f.now
		}
		f.after(max(held, c.work), func() {
			if h.incarnation != incarnation {
				return
			}
			if held == c.work {
				c.finish(f.now)
			}
			h.busy--
			f.start(h)
		})
	}
}

// die loses the line of a host and what runs there. The callers of queued requests see a closed connection and send them again.
func (f *fleet) die(h *fakeHost) {
	tickets := h.tickets
	h.incarnation++
	h.dead, h.busy, h.line, h.tickets = true, 0, New[int](Limits{}), map[int]*Ticket[int]{}
	for i := range f.calls {
		if tickets[i] != nil {
			f.lost++
			f.queued[i]--
			f.after(50*ms, func() { f.arrive(i) })
		}
	}
}

// Guards against requests that run twice, are lost or keep their place when hosts die with their lines, callers leave, and the
// messages about the ends of requests and connections are lost; and against ranks or teams that starve on the remaining hosts.
func TestHostsDieAndMessagesAreLost(t *testing.T) {
	const hosts = 20
	f := &fleet{t: t, random: rand.New(rand.NewPCG(7, 5))}
	for range hosts {
		f.hosts = append(f.hosts, &fakeHost{line: New[int](Limits{}), tickets: map[int]*Ticket[int]{}})
	}
	f.calls = newLoad(loadShape{"", hosts * hostSlots, 1036.0 / 900, 1, 1}, 9)
	f.starts, f.queued = make([]int, len(f.calls)), make([]int, len(f.calls))
	for i, c := range f.calls {
		f.after(c.arrival, func() { f.arrive(i) })
	}
	for i, h := range f.hosts[:hosts/4] {
		f.after(10*time.Second+time.Duration(i)*200*ms, func() { f.die(h) })
		f.after(15*time.Second, func() { h.dead = false })
	}
	for f.agenda.Len() > 0 {
		e := heap.Pop(&f.agenda).(event)
		f.now = e.at
		e.run()
	}
	for i, h := range f.hosts {
		f.leave(h, h.line.Expired(f.now))
		if h.line.Len() != 0 || h.busy != 0 || len(h.tickets) != 0 || h.line.answerable != 0 || len(h.line.turns) != 0 {
			t.Errorf("host %d: %d requests wait and %d run after the end", i, h.line.Len(), h.busy)
		}
		for _, r := range h.line.ranks {
			if r.waiting != 0 || r.answerable != 0 {
				t.Errorf("host %d: rank %d counts %d requests after the end", i, r.number, r.waiting)
			}
		}
	}
	for i, n := range f.queued {
		if n != 0 {
			t.Fatalf("call %d has not left its line", i)
		}
	}
	if f.lost == 0 {
		t.Error("no request waited at a host that died")
	}
	result := outcomes(f.calls)
	t.Logf("%d queued requests were lost with their hosts", f.lost)
	for _, key := range slices.Sorted(maps.Keys(result)) {
		o := result[key]
		t.Logf("%-8s %6d answered %3.0f%%", cmp.Or(key, "all"), o.calls, 100*o.share())
		if o.share() < result[""].share()/4 {
			t.Errorf("%s starves: %.3f of its calls are answered, of all %.3f", key, o.share(), result[""].share())
		}
	}
	for rank := range 2 {
		higher, lower := result[fmt.Sprint("rank-", rank)], result[fmt.Sprint("rank-", rank+1)]
		if lower.share() > higher.share() {
			t.Errorf("rank %d is answered more often than the higher one: %.3f, %.3f", rank+1, lower.share(), higher.share())
		}
	}
}
