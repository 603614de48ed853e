package request

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"vanillatally/core/queue"
	"vanillatally/io/callers"
)

// queues holds one gate for each service of the configuration.
type queues struct {
	service *Service
	gates   sync.Map
}

// gate lets as many requests of a service run at once as its backend servers have slots; the others wait in its queue.
type gate struct {
	service *Service
	limit   atomic.Int64
	mu      sync.Mutex
	running int
	waiting *queue.Queue[chan bool]
}

func (q *queues) gate(name string) *gate {
	if g, ok := q.gates.Load(name); ok {
		return g.(*gate)
	}
	g, _ := q.gates.LoadOrStore(name, &gate{service: q.service, waiting: queue.New[chan bool]()})
	return g.(*gate)
}

// waitInQueue lets the request run when its turn comes, or refuses it while it is still known not to have run.
func waitInQueue(x *exchange) error {
	view := x.service.pools.view(x.configuration)
	in := view.services[x.route.Service]
	if in == nil || len(in.servers) == 0 {
		return noServer()
	}
	x.pool = in
	x.stats = in.statsOf(x.routeName)
	x.gate = x.service.queues.gate(x.route.Service)
	x.gate.limit.Store(int64(in.slots))
	expected := x.stats.typical()
	if time.Until(x.deadline) < expected/2 {
		return callers.Refuse(http.StatusGatewayTimeout, "deadline-unreachable", "the route takes longer than the request's deadline")
	}
	if err := x.gate.enter(x, expected); err != nil {
		return err
	}
	err := x.next()
	x.release()
	return err
}

func (g *gate) enter(x *exchange, expected time.Duration) error {
	limit := int(g.limit.Load())
	g.mu.Lock()
	if g.running < limit && g.waiting.Len() == 0 {
		g.running++
		g.mu.Unlock()
		x.holds = true
		return nil
	}
	now := g.service.now()
	item := &queue.Item[chan bool]{
		Team: x.team, Class: x.route.Class, Weight: x.weight(),
		StartBy: now + time.Until(x.deadline) - expected/2, Value: make(chan bool, 1),
	}
	verdict := g.waiting.Push(now, item, expected, limit)
	g.mu.Unlock()
	if verdict != queue.Queued {
		return callers.Refuse(http.StatusServiceUnavailable, string(verdict), "too many requests are waiting").
			WithRetryAfter(max(expected, 100*time.Millisecond))
	}
	return g.wait(x, item, expected)
}

// wait blocks until the item's turn, its latest start or the caller's end.
func (g *gate) wait(x *exchange, item *queue.Item[chan bool], expected time.Duration) error {
	begun := time.Now()
	timer := time.NewTimer(time.Until(x.deadline) - expected/2)
	defer timer.Stop()
	granted, gone := false, false
	select {
	case granted = <-item.Value:
	case <-timer.C:
	case <-x.context.Done():
		gone = true
	}
	x.queued += time.Since(begun)
	if granted {
		x.holds = true
		return nil
	}
	g.mu.Lock()
	g.waiting.Remove(item)
	g.mu.Unlock()
	select {
	case granted = <-item.Value:
		// The turn came together with the end of the wait, so that the slot goes to the next one.
		if granted {
			g.leave()
		}
	default:
	}
	if gone {
		return callers.Refuse(statusClientGone, "cancelled", "the caller has gone")
	}
	return callers.Refuse(http.StatusServiceUnavailable, "overloaded", "the request waited too long to meet its deadline").
		WithRetryAfter(retryLater)
}

// leave passes the place on to the next request.
func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	for g.running < int(g.limit.Load()) {
		next, expired := g.waiting.Pop(g.service.now())
		for _, item := range expired {
			item.Value <- false
		}
		if next == nil {
			return
		}
		g.running++
		next.Value <- true
	}
}

// release gives back what the request holds of this host.
func (x *exchange) release() {
	if x.holds {
		x.holds = false
		x.gate.leave()
	}
}

// weight is the team's part in fair sharing; requests on open routes without a key weigh as one team.
func (x *exchange) weight() float64 {
	if x.effective == nil {
		return 1
	}
	return x.effective.Weight
}
