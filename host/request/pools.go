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
	// maxSnapshotAge is how long a snapshot of the pools is used. It is far below the 3 s after which a leaving server must get
	// no new requests.
	maxSnapshotAge = 100 * time.Millisecond
	// absentServerTTL is how long the state of a server is kept after the server disappeared from the list, since the list may
	// be wrong temporarily.
	absentServerTTL = time.Minute
	// leavingNoticeTTL is how long a server is avoided after a shed response that closes the connection, which announces that
	// the server is leaving. Later shed responses extend the time.
	leavingNoticeTTL = 10 * time.Second
	// loadReportTTL is how long the load that a server reported in a response is used.
	loadReportTTL = time.Second
	// minDownBackoff and maxDownBackoff bound the time for which a server is avoided after a refused connection.
	minDownBackoff = 250 * time.Millisecond
	maxDownBackoff = 2 * time.Second
)

// server is the state of one backend server at this host, including its health on each route.
type server struct {
	platform.BackendServer
	firstSeen time.Duration
	inFlight  atomic.Int32
	// assigned counts the requests that were assigned to the server: those in flight there and those that wait for its permit.
	assigned atomic.Int32
	// reserved is set while a suspected request runs alone on the server.
	reserved atomic.Bool
	// arrivals counts the requests that were sent to the server.
	arrivals atomic.Uint64
	probing  atomic.Bool

	mu     sync.Mutex
	health map[string]balance.Health
	// listedAt is the time of the last list that contained the server. downUntil, shedUntil and leavingUntil are the times until
	// which it is avoided after a refused connection, a shed request and a notice that it is leaving.
	listedAt, downUntil, shedUntil, leavingUntil time.Duration
	consecutiveDowns                             int
	reportedInFlight                             int
	reportedAt                                   time.Duration
}

// pool holds the servers of one service that may get new requests. It does not change, except for the state within the servers,
// the retry budget and the statistics.
type pool struct {
	servers     []*server
	retryBudget *retryBudget
	// stats maps route names to *routeStats.
	stats *sync.Map
	slots int
}

// retryBudget is a retry.Budget that may be used concurrently.
type retryBudget struct {
	mu     sync.Mutex
	budget retry.Budget
}

// addRequest counts a request, which raises the budget.
func (r *retryBudget) addRequest() {
	r.mu.Lock()
	r.budget = r.budget.WithRequest()
	r.mu.Unlock()
}

// takeRetry charges one retry and reports whether the budget allows it.
func (r *retryBudget) takeRetry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	budget, ok := r.budget.WithRetry()
	r.budget = budget
	return ok
}

// poolSnapshot holds the pools of all services for one configuration and one list of backend servers.
type poolSnapshot struct {
	at            time.Duration
	configuration *config.Configuration
	services      map[string]*pool
}

// pools builds the snapshots. It holds the servers of the list and those that disappeared from it within absentServerTTL.
type pools struct {
	service   *Service
	current   atomic.Pointer[poolSnapshot]
	pickCount atomic.Uint64
	mu        sync.Mutex
	servers   map[string]*server
}

// snapshot returns a snapshot that is at most maxSnapshotAge old, or an older one while another request refreshes it.
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
				// Servers that exist when the host starts are not new, so they need no slow start.
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
				servicePool.retryBudget, servicePool.stats = previous.services[listed.Service].retryBudget,
					previous.services[listed.Service].stats
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
		expired := now-s.listedAt > absentServerTTL
		s.mu.Unlock()
		if expired {
			delete(p.servers, id)
		}
	}
	p.current.Store(next)
	return next
}

// candidate describes the server to the balancing policy.
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

// recordResult records the result of an attempt, and ejects the server if it has become an outlier.
func (s *server) recordResult(now time.Duration, servicePool *pool, route string, failed bool, latency time.Duration) {
	s.mu.Lock()
	h := s.health[route].WithResult(now, failed, latency)
	s.health[route] = h
	if !failed {
		s.consecutiveDowns, s.downUntil = 0, 0
	}
	s.mu.Unlock()
	// The comparison with the whole pool is limited to failures and every 16th success.
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

// recordWait records a time without a response, which is neither a success nor a failure.
func (s *server) recordWait(now time.Duration, route string, latency time.Duration) {
	s.mu.Lock()
	s.health[route] = s.health[route].WithLatency(now, latency)
	s.mu.Unlock()
}

// markDown records that the server refused a connection or failed a probe.
func (s *server) markDown(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.downUntil = now + retry.Backoff(s.consecutiveDowns, minDownBackoff, maxDownBackoff, 0)
	s.consecutiveDowns++
}

// markShed records that the server asked for a pause and, if leaving is set, that it is leaving.
func (s *server) markShed(now, pause time.Duration, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shedUntil = now + pause
	if leaving {
		s.leavingUntil = now + leavingNoticeTTL
	}
}

// recordReportedLoad records the load from the X-Load header of a response, in the form in-flight/slots.
func (s *server) recordReportedLoad(now time.Duration, header http.Header) {
	inFlight, _, ok := strings.Cut(header.Get("X-Load"), "/")
	if !ok {
		return
	}
	if n, err := strconv.Atoi(inFlight); err == nil && n >= 0 {
		s.mu.Lock()
		s.reportedInFlight, s.reportedAt = n, now
		s.mu.Unlock()
	}
}

// latencyAndEjections returns the median latency of the servers on route and the number of ejected servers.
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
