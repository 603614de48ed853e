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
	// refreshAfter is how old the view of the backend servers may get. It is far below the 3 s
	// after which a leaving server must get nothing new.
	refreshAfter = 100 * time.Millisecond
	// forgetAfter keeps the state of a server that vanished from the list, which may be wrong for a while.
	forgetAfter = time.Minute
	// ownNotice is how long a server's own notice that it is leaving counts without being repeated.
	ownNotice = 10 * time.Second
	// reportLife is how long a server's report of its load counts.
	reportLife = time.Second
	minDown    = 250 * time.Millisecond
	maxDown    = 2 * time.Second
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
	downs                                        int
	reported                                     int
	reportedAt                                   time.Duration
}

// pool is one service's servers that may get new requests. It is immutable but for the servers' own state.
type pool struct {
	servers []*server
	retries *retries
	// stats maps each route to its *routeStats.
	stats *sync.Map
	slots int
}

type retries struct {
	mu     sync.Mutex
	budget retry.Budget
}

// request counts a first attempt.
func (r *retries) request() {
	r.mu.Lock()
	r.budget = r.budget.WithRequest()
	r.mu.Unlock()
}

// retry reports whether the budget allows one more attempt.
func (r *retries) retry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	budget, ok := r.budget.WithRetry()
	r.budget = budget
	return ok
}

type snapshot struct {
	at            time.Duration
	configuration *config.Configuration
	services      map[string]*pool
}

// pools holds the view of the backend servers, bounded by the platform list and the servers that left it in the last minute.
type pools struct {
	service *Service
	current atomic.Pointer[snapshot]
	turn    atomic.Uint64
	mu      sync.Mutex
	servers map[string]*server
}

// view returns a snapshot that is at most refreshAfter old, or older while another request refreshes it.
func (p *pools) view(configuration *config.Configuration) *snapshot {
	now := p.service.now()
	current := p.current.Load()
	if current != nil && now-current.at < refreshAfter && current.configuration == configuration {
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

func (p *pools) refresh(now time.Duration, before *snapshot, configuration *config.Configuration) *snapshot {
	first := p.servers == nil
	if first {
		p.servers = map[string]*server{}
	}
	after := &snapshot{at: now, configuration: configuration, services: map[string]*pool{}}
	for _, listed := range p.service.options.BackendServers() {
		s := p.servers[listed.ID]
		if s == nil || s.Address != listed.Address {
			s = &server{BackendServer: listed, firstSeen: now, health: map[string]balance.Health{}}
			if first {
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
		in := after.services[listed.Service]
		if in == nil {
			in = &pool{retries: &retries{budget: retry.NewBudget()}, stats: &sync.Map{}}
			if before != nil && before.services[listed.Service] != nil {
				in.retries, in.stats = before.services[listed.Service].retries, before.services[listed.Service].stats
			}
			after.services[listed.Service] = in
		}
		if !leaving {
			in.servers = append(in.servers, s)
			in.slots += max(listed.Slots, 1)
		}
	}
	for id, s := range p.servers {
		s.mu.Lock()
		gone := now-s.listedAt > forgetAfter
		s.mu.Unlock()
		if gone {
			delete(p.servers, id)
		}
	}
	p.current.Store(after)
	return after
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
	if now-s.reportedAt < reportLife {
		c.ReportedInFlight = s.reported
	}
	return c
}

// observe notes the result of an attempt and ejects the server when it is an outlier.
func (s *server) observe(now time.Duration, in *pool, route string, failed bool, latency time.Duration) {
	s.mu.Lock()
	h := s.health[route].WithResult(now, failed, latency)
	s.health[route] = h
	if !failed {
		s.downs, s.downUntil = 0, 0
	}
	s.mu.Unlock()
	// The pool is looked at only when the server has something to compare.
	if h.Ejected(now) || !failed && h.Samples%16 != 0 {
		return
	}
	median, ejected := in.compare(now, route)
	if h.Outlier(median) && balance.MayEject(ejected, len(in.servers)) {
		s.mu.Lock()
		s.health[route] = s.health[route].WithEjection(now)
		s.mu.Unlock()
	}
}

// waited notes a wait without a response.
func (s *server) waited(now time.Duration, route string, latency time.Duration) {
	s.mu.Lock()
	s.health[route] = s.health[route].WithLatency(now, latency)
	s.mu.Unlock()
}

// down notes that nothing listens at the server's address.
func (s *server) down(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.downUntil = now + retry.Backoff(s.downs, minDown, maxDown, 0)
	s.downs++
}

// shed notes that the server asked for a pause, and perhaps that it is leaving.
func (s *server) shed(now, pause time.Duration, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shedUntil = now + pause
	if leaving {
		s.leavingUntil = now + ownNotice
	}
}

// report notes the load that the server stated, in the form in-flight/slots.
func (s *server) report(now time.Duration, header http.Header) {
	stated, _, ok := strings.Cut(header.Get("X-Load"), "/")
	if !ok {
		return
	}
	if n, err := strconv.Atoi(stated); err == nil && n >= 0 {
		s.mu.Lock()
		s.reported, s.reportedAt = n, now
		s.mu.Unlock()
	}
}

// compare returns the median latency on route and the number of ejected servers.
func (p *pool) compare(now time.Duration, route string) (median time.Duration, ejected int) {
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
