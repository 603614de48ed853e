package request

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"vanillatally/core/balance"
	"vanillatally/core/config"
	"vanillatally/core/retry"
	"vanillatally/io/platform"
)

const (
	// maxSnapshotAge is how old the view of the backend servers may get. It is far below the 3 s
	// after which a leaving server must get nothing new.
	maxSnapshotAge = 100 * time.Millisecond
	// absentServerTTL keeps the state of a server that vanished from the list, which may be wrong for a while.
	absentServerTTL = time.Minute
	// leavingNoticeTTL is how long a server's own notice that it is leaving counts without being repeated.
	leavingNoticeTTL = 10 * time.Second
	// loadReportTTL is how long a server's report of its load counts.
	loadReportTTL  = time.Second
	minDownBackoff = 250 * time.Millisecond
	maxDownBackoff = 2 * time.Second
)

// server is this host's state about one backend server. It has one health for each route of its service.
type server struct {
	platform.BackendServer
	firstSeen time.Duration
	inFlight  atomic.Int32
	// assigned counts the requests in flight and those that wait for a permit of the server.
	assigned atomic.Int32
	// reserved is set while a suspected request runs alone on the server.
	reserved atomic.Bool
	// arrivals counts the requests that were sent to the server.
	arrivals atomic.Uint64
	probing  atomic.Bool

	mu     sync.Mutex
	health map[string]balance.Health
	// listedAt is the time of the last list that had the server.
	listedAt, downUntil, shedUntil, leavingUntil time.Duration
	consecutiveDowns                             int
	reportedInFlight                             int
	reportedAt                                   time.Duration
}

// pool is one service's servers that may get new requests. It is immutable but for the servers' own state.
type pool struct {
	servers     []*server
	retryBudget *retryBudget
	// stats maps each route to its *routeStats.
	stats *sync.Map
	slots int
}

type retryBudget struct {
	mu     sync.Mutex
	budget retry.Budget
}

// addRequest counts a first attempt.
func (r *retryBudget) addRequest() {
	r.mu.Lock()
	r.budget = r.budget.WithRequest()
	r.mu.Unlock()
}

// takeRetry reports whether the budget allows one more attempt.
func (r *retryBudget) takeRetry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	budget, ok := r.budget.WithRetry()
	r.budget = budget
	return ok
}

type poolSnapshot struct {
	at            time.Duration
	configuration *config.Configuration
	services      map[string]*pool
}

// pools holds the view of the backend servers, bounded by the platform list and the servers that left it in the last minute.
type pools struct {
	service   *Service
	current   atomic.Pointer[poolSnapshot]
	pickCount atomic.Uint64
	mu        sync.Mutex
	servers   map[string]*server
}

// snapshot returns a snapshot that is at most refreshAfter old, or older while another request refreshes it.
func (p *pools) snapshot(configuration *config.Configuration) *poolSnapshot {
	now := p.service.now()
	current := p.current.Load()
	if current != nil && now-current.at < maxSnapshotAge && current.configuration == configuration {
		return current
	}
	if current == nil {
		p.mu.Lock()
	} else if !p.mu.TryLock() {
		return current
	}
	defer p.mu.Unlock()
	return p.refresh(now, current, configuration)
}

func (p *pools) refresh(now time.Duration, previous *poolSnapshot, configuration *config.Configuration) *poolSnapshot {
	firstRefresh := p.servers == nil
	if firstRefresh {
		p.servers = map[string]*server{}
	}
	next := &poolSnapshot{at: now, configuration: configuration, services: map[string]*pool{}}
	for _, listed := range p.service.options.BackendServers() {
		s := p.servers[listed.ID]
		if s == nil || s.Address != listed.Address {
			s = &server{BackendServer: listed, firstSeen: now, health: map[string]balance.Health{}}
			if firstRefresh {
				// The servers that a starting host finds have been running before.
				s.firstSeen = -time.Hour
			}
			p.servers[listed.ID] = s
		}
		s.mu.Lock()
		s.listedAt = now
		_, evacuated := configuration.Evacuations[listed.FailureDomain]
		leaving := listed.Leaving || evacuated || configuration.Servers[listed.ID].Drain || now < s.leavingUntil
		s.mu.Unlock()
		servicePool := next.services[listed.Service]
		if servicePool == nil {
			servicePool = &pool{retryBudget: &retryBudget{budget: retry.NewBudget()}, stats: &sync.Map{}}
			if previous != nil && previous.services[listed.Service] != nil {
				servicePool.retryBudget, servicePool.stats = previous.services[listed.Service].retryBudget, previous.services[listed.Service].stats
			}
			next.services[listed.Service] = servicePool
		}
		if !leaving {
			servicePool.servers = append(servicePool.servers, s)
			servicePool.slots += max(listed.Slots, 1)
		}
	}
	for id, s := range p.servers {
		s.mu.Lock()
		gone := now-s.listedAt > absentServerTTL
		s.mu.Unlock()
		if gone {
			delete(p.servers, id)
		}
	}
	p.current.Store(next)
	return next
}

// candidate describes the server for a choice on route.
func (s *server) candidate(service *Service, now time.Duration, route string) balance.Candidate {
	tier := balance.OtherRegion
	if s.Region == service.options.Region {
		tier = balance.SameRegion
		if s.FailureDomain == service.options.FailureDomain {
			tier = balance.SameFailureDomain
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c := balance.Candidate{
		Health: s.health[route], Tier: tier, InFlight: int(s.assigned.Load()), Slots: s.Slots, Age: now - s.firstSeen,
		Down: now < s.downUntil, ShedUntil: s.shedUntil, Excluded: s.reserved.Load() || now < s.leavingUntil,
	}
	if now-s.reportedAt < loadReportTTL {
		c.ReportedInFlight = s.reportedInFlight
	}
	return c
}

// recordResult notes the result of an attempt and ejects the server when it is an outlier.
func (s *server) recordResult(now time.Duration, servicePool *pool, route string, failed bool, latency time.Duration) {
	s.mu.Lock()
	h := s.health[route].WithResult(now, failed, latency)
	s.health[route] = h
	if !failed {
		s.consecutiveDowns, s.downUntil = 0, 0
	}
	s.mu.Unlock()
	// The pool is looked at only when the server has something to compare.
	if h.Ejected(now) || !failed && h.Samples%16 != 0 {
		return
	}
	median, ejected := servicePool.latencyAndEjections(now, route)
	if h.Outlier(median) && balance.MayEject(ejected, len(servicePool.servers)) {
		s.mu.Lock()
		s.health[route] = s.health[route].WithEjection(now)
		s.mu.Unlock()
	}
}

// recordWait notes a wait without a response.
func (s *server) recordWait(now time.Duration, route string, latency time.Duration) {
	s.mu.Lock()
	s.health[route] = s.health[route].WithLatency(now, latency)
	s.mu.Unlock()
}

// markDown notes that nothing listens at the server's address.
func (s *server) markDown(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.downUntil = now + retry.Backoff(s.consecutiveDowns, minDownBackoff, maxDownBackoff, 0)
	s.consecutiveDowns++
}

// markShed notes that the server asked for a pause, and perhaps that it is leaving.
func (s *server) markShed(now, pause time.Duration, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shedUntil = now + pause
	if leaving {
		s.leavingUntil = now + leavingNoticeTTL
	}
}

// recordReportedLoad notes the load that the server stated, in the form in-flight/slots.
func (s *server) recordReportedLoad(now time.Duration, header http.Header) {
	stated, _, ok := strings.Cut(header.Get("X-Load"), "/")
	if !ok {
		return
	}
	if n, err := strconv.Atoi(stated); err == nil && n >= 0 {
		s.mu.Lock()
		s.reportedInFlight, s.reportedAt = n, now
		s.mu.Unlock()
	}
}

// latencyAndEjections returns the median latency on route and the number of ejected servers.
func (p *pool) latencyAndEjections(now time.Duration, route string) (median time.Duration, ejected int) {
	latencies := make([]time.Duration, 0, len(p.servers))
	for _, s := range p.servers {
		s.mu.Lock()
		h := s.health[route]
		s.mu.Unlock()
		if h.Ejected(now) {
			ejected++
		} else if h.Latency > 0 {
			latencies = append(latencies, h.Latency)
		}
	}
	return balance.Median(latencies), ejected
}
