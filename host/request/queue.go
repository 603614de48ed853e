package request

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"vanillatally/core/queue"
	"vanillatally/io/callers"
)

// concurrencyLimiters holds one limiter for each service of the configuration.
type concurrencyLimiters struct {
	service   *Service
	byService sync.Map
}

// concurrencyLimiter bounds the concurrent requests of a service to the total slots of its backend servers. Further requests
// wait in its queue.
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

// acquireConcurrency runs the rest of the chain when the service's concurrency limit allows it. A request that would miss its
// deadline is refused before it is sent, so that it certainly did not run.
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
		return callers.Refuse(http.StatusGatewayTimeout, "deadline-unreachable",
			"the expected latency of the route exceeds the time left until the deadline")
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
		return callers.Refuse(http.StatusServiceUnavailable, string(verdict), "too many requests are queued").
			WithRetryAfter(max(expectedLatency, 100*time.Millisecond))
	}
	return g.wait(x, item, expectedLatency)
}

// wait blocks until the item is taken from the queue, the latest time at which starting it makes sense, or the caller's
// disconnect.
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
		// The request was dequeued just as its wait ended, so the next request takes its place.
		if granted {
			g.release()
		}
	default:
	}
	if callerGone {
		return callers.Refuse(statusClientClosedRequest, "cancelled", "the caller disconnected")
	}
	return callers.Refuse(http.StatusServiceUnavailable, "overloaded",
		"the request waited in the queue too long to meet its deadline").
		WithRetryAfter(defaultRetryAfter)
}

// release starts the next waiting requests in place of one that has ended.
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

// releaseConcurrency stops counting the request against the concurrency limit, unless that was done before.
func (x *exchange) releaseConcurrency() {
	if x.limiterAcquired {
		x.limiterAcquired = false
		x.limiter.release()
	}
}

// teamWeight is the team's weight in fair queueing. All requests without a team, on open routes, share the weight 1.
func (x *exchange) teamWeight() float64 {
	if x.effectiveTeam == nil {
		return 1
	}
	return x.effectiveTeam.Weight
}
