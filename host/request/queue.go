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

func (l *concurrencyLimiters) forService(name string) *concurrencyLimiter {
	if limiter, ok := l.byService.Load(name); ok {
		return limiter.(*concurrencyLimiter)
	}
	limiter, _ := l.byService.LoadOrStore(name, &concurrencyLimiter{service: l.service, waiting: queue.New[chan bool]()})
	return limiter.(*concurrencyLimiter)
}

// acquireConcurrency runs the rest of the chain when the service's concurrency limit allows it. A request that would miss its
// deadline is refused before it is sent, so that it certainly did not run.
func acquireConcurrency(x *exchange) error {
	snapshot := x.service.pools.snapshot(x.configuration)
	servicePool := snapshot.services[x.route.Service]
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
			"the route takes longer than the request's deadline")
	}
	if err := x.limiter.acquire(x, expectedLatency); err != nil {
		return err
	}
	defer x.releaseConcurrency()
	return x.next()
}

func (l *concurrencyLimiter) acquire(x *exchange, expectedLatency time.Duration) error {
	limit := int(l.limit.Load())
	l.mu.Lock()
	if l.running < limit && l.waiting.Len() == 0 {
		l.running++
		l.mu.Unlock()
		x.limiterAcquired = true
		return nil
	}
	now := l.service.now()
	item := &queue.Item[chan bool]{
		Team: x.team, Class: x.route.Class, Weight: x.teamWeight(),
		StartBy: now + time.Until(x.deadline) - expectedLatency/2, Value: make(chan bool, 1),
	}
	pushResult := l.waiting.Push(now, item, expectedLatency, limit)
	l.mu.Unlock()
	if pushResult != queue.Queued {
		return callers.Refuse(http.StatusServiceUnavailable, string(pushResult), "too many requests are waiting").
			WithRetryAfter(max(expectedLatency, 100*time.Millisecond))
	}
	return l.wait(x, item, expectedLatency)
}

// wait blocks until the item is dequeued, the latest time at which starting it makes sense has passed, or the caller
// disconnects.
func (l *concurrencyLimiter) wait(x *exchange, item *queue.Item[chan bool], expectedLatency time.Duration) error {
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
	l.mu.Lock()
	l.waiting.Remove(item)
	l.mu.Unlock()
	select {
	case granted = <-item.Value:
		// The request was dequeued just as its wait ended, so the next request takes its place.
		if granted {
			l.release()
		}
	default:
	}
	if callerGone {
		return callers.Refuse(statusClientClosedRequest, "cancelled", "the caller has gone")
	}
	return callers.Refuse(http.StatusServiceUnavailable, "overloaded",
		"the request waited too long to meet its deadline").
		WithRetryAfter(defaultRetryAfter)
}

// release starts the next waiting requests in place of one that has ended.
func (l *concurrencyLimiter) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	for l.running < int(l.limit.Load()) {
		next, expired := l.waiting.Pop(l.service.now())
		for _, item := range expired {
			item.Value <- false
		}
		if next == nil {
			return
		}
		l.running++
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

// teamWeight is the team's weight in fair queueing. The requests without a team, on open routes, are treated as one team of
// weight 1.
func (x *exchange) teamWeight() float64 {
	if x.effectiveTeam == nil {
		return 1
	}
	return x.effectiveTeam.Weight
}
