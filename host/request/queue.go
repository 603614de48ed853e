package request

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"vanillatally/core/queue"
	"vanillatally/io/callers"
)

// concurrencyLimiters holds one gate for each service of the configuration.
type concurrencyLimiters struct {
	service   *Service
	byService sync.Map
}

// concurrencyLimiter lets as many requests of a service run at once as its backend servers have slots; the others wait in its queue.
type concurrencyLimiter struct {
	service *Service
	limit   atomic.Int64
	mu      sync.Mutex
	running int
	waiting *queue.Queue[chan bool]
}

func (q *concurrencyLimiters) forService(name string) *concurrencyLimiter {
	if g, ok := q.byService.Load(name); ok {
		return g.(*concurrencyLimiter)
	}
	g, _ := q.byService.LoadOrStore(name, &concurrencyLimiter{service: q.service, waiting: queue.New[chan bool]()})
	return g.(*concurrencyLimiter)
}

// acquireConcurrency lets the request run when its turn comes, or refuses it while it is still known not to have run.
func acquireConcurrency(x *exchange) error {
	view := x.service.pools.snapshot(x.configuration)
	servicePool := view.services[x.route.Service]
	if servicePool == nil || len(servicePool.servers) == 0 {
		return noServerRefusal()
	}
	x.pool = servicePool
	x.stats = servicePool.statsOf(x.routeName)
	x.limiter = x.service.limiters.forService(x.route.Service)
	x.limiter.limit.Store(int64(servicePool.slots))
	expectedLatency := x.stats.typicalLatency()
	if time.Until(x.deadline) < expectedLatency/2 {
		return callers.Refuse(http.StatusGatewayTimeout, "deadline-unreachable", "the route takes longer than the request's deadline")
	}
	if err := x.limiter.acquire(x, expectedLatency); err != nil {
		return err
	}
	err := x.next()
	x.releaseConcurrency()
	return err
}

func (g *concurrencyLimiter) acquire(x *exchange, expectedLatency time.Duration) error {
	limit := int(g.limit.Load())
	g.mu.Lock()
	if g.running < limit && g.waiting.Len() == 0 {
		g.running++
		g.mu.Unlock()
		x.limiterAcquired = true
		return nil
	}
	now := g.service.now()
	item := &queue.Item[chan bool]{
		Team: x.team, Class: x.route.Class, Weight: x.teamWeight(),
		StartBy: now + time.Until(x.deadline) - expectedLatency/2, Value: make(chan bool, 1),
	}
	verdict := g.waiting.Push(now, item, expectedLatency, limit)
	g.mu.Unlock()
	if verdict != queue.Queued {
		return callers.Refuse(http.StatusServiceUnavailable, string(verdict), "too many requests are waiting").
			WithRetryAfter(max(expectedLatency, 100*time.Millisecond))
	}
	return g.wait(x, item, expectedLatency)
}

// wait blocks until the item's turn, its latest start or the caller's end.
func (g *concurrencyLimiter) wait(x *exchange, item *queue.Item[chan bool], expectedLatency time.Duration) error {
	start := time.Now()
	timer := time.NewTimer(time.Until(x.deadline) - expectedLatency/2)
	defer timer.Stop()
	granted, callerGone := false, false
	select {
	case granted = <-item.Value:
	case <-timer.C:
	case <-x.context.Done():
		callerGone = true
	}
	x.queueTime += time.Since(start)
	if granted {
		x.limiterAcquired = true
		return nil
	}
	g.mu.Lock()
	g.waiting.Remove(item)
	g.mu.Unlock()
	select {
	case granted = <-item.Value:
		// The turn came together with the end of the wait, so that the slot goes to the next one.
		if granted {
			g.release()
		}
	default:
	}
	if callerGone {
		return callers.Refuse(statusClientClosedRequest, "cancelled", "the caller has gone")
	}
	return callers.Refuse(http.StatusServiceUnavailable, "overloaded", "the request waited too long to meet its deadline").
		WithRetryAfter(defaultRetryAfter)
}

// release passes the place on to the next request.
func (g *concurrencyLimiter) release() {
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

// releaseConcurrency gives back what the request holds of this host.
func (x *exchange) releaseConcurrency() {
	if x.limiterAcquired {
		x.limiterAcquired = false
		x.limiter.release()
	}
}

// teamWeight is the team's part in fair sharing; requests on open routes without a key weigh as one team.
func (x *exchange) teamWeight() float64 {
	if x.effectiveTeam == nil {
		return 1
	}
	return x.effectiveTeam.Weight
}
