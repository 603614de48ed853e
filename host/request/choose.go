package request

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"vanillatally/core/balance"
	"vanillatally/core/config"
	"vanillatally/core/retry"
	"vanillatally/io/backends"
	"vanillatally/io/callers"
)

// attemptCap bounds the servers that one request is tried on.
const attemptCap = 4

// attemptError is the failure of one attempt. choose decides whether another server is tried.
type attemptError struct {
	failure *backends.Failure
	// shed reports that the server stated that it did not process the request.
	shed bool
	// retryCharged reports that the budget was charged for another attempt already.
	retryCharged bool
	retryAfter   time.Duration
}

// Error describes the failure.
func (e *attemptError) Error() string {
	switch {
	case e.shed:
		return "the server sheds load"
	case e.retryCharged:
		return "the server answered with an error"
	}
	return e.failure.Error()
}

type globalRandom struct{}

func (globalRandom) IntN(n int) int   { return rand.IntN(n) }
func (globalRandom) Float64() float64 { return rand.Float64() }

// tryServers picks a backend server for each attempt, and repeats only what is safe to repeat.
func tryServers(x *exchange) error {
	view := x.service.pools.snapshot(x.configuration)
	servicePool := view.services[x.route.Service]
	if servicePool == nil || len(servicePool.servers) == 0 {
		return noServerRefusal()
	}
	x.pool = servicePool
	servicePool.retryBudget.addRequest()
	x.attemptStart = x.nextFilter
	x.version = x.service.options.Moves.Version(x.route.Service, x.routeName, rand.Float64())
	if x.version == "" {
		x.version = x.configuration.Services[x.route.Service].Version
	}
	for attempt := 1; ; attempt++ {
		if refusal := x.pickServer(); refusal != nil {
			return x.correctRunState(refusal)
		}
		chosen := x.server
		err := x.joinHedge(x.next())
		chosen.assigned.Add(-1)
		attemptErr, ok := err.(*attemptError)
		if !ok {
			return x.correctRunState(err)
		}
		if attempt == x.attemptLimit() || !x.mayRetry(attemptErr) {
			return x.correctRunState(x.refusalFor(attemptErr))
		}
		x.tried = append(x.tried, x.server)
		if x.serverCrashed {
			// The next server is risked only for a request that runs alone, and only once over all hosts.
			x.endTrial()
			if err := x.beginTrial(); err != nil {
				return x.correctRunState(err)
			}
		}
	}
}

// attemptLimit is the number of servers that the request may be tried on.
func (x *exchange) attemptLimit() int {
	if x.route.Attempts > 0 {
		return min(x.route.Attempts, attemptCap)
	}
	return attemptCap
}

// correctRunState corrects a refusal of a later attempt when an earlier one may have run.
func (x *exchange) correctRunState(err error) error {
	if refusal, ok := err.(*callers.Refusal); ok && x.mayHaveRun {
		return refusal.WithRan(callers.RunUnknown)
	}
	return err
}

// mayRetry reports whether the request may be sent to another server after failed.
func (x *exchange) mayRetry(attemptErr *attemptError) bool {
	if !x.body.replayable() || !time.Now().Before(x.deadline) {
		return false
	}
	switch {
	case attemptErr.retryCharged:
		return true
	case attemptErr.shed:
		// Without a key nothing ties a second arrival at a server to the first, so that it is not tried.
		return (x.idempotent || x.idempotencyKey != "") && x.pool.retryBudget.takeRetry()
	case !attemptErr.failure.Sent:
		// No byte was sent, so that another server gets the request for the first time.
		return attemptErr.failure.Cause == backends.CauseDial || attemptErr.failure.Cause == backends.CausePoolExhausted
	}
	switch attemptErr.failure.Cause {
	case backends.CauseDeadline, backends.CauseCancelled, backends.CauseRequestBody:
		return false
	}
	return x.idempotent && x.pool.retryBudget.takeRetry()
}

// refusalFor is the answer to a request whose last attempt failed.
func (x *exchange) refusalFor(attemptErr *attemptError) *callers.Refusal {
	switch {
	case attemptErr.retryCharged:
		return callers.Refuse(http.StatusGatewayTimeout, "deadline-exceeded", "the backend server answered with an error").
			WithRan(callers.RunUnknown)
	case attemptErr.shed:
		return callers.Refuse(http.StatusServiceUnavailable, "shed", "the backend server sheds load").WithRetryAfter(attemptErr.retryAfter)
	}
	status := http.StatusBadGateway
	switch attemptErr.failure.Cause {
	case backends.CauseDeadline:
		status = http.StatusGatewayTimeout
	case backends.CauseCancelled:
		status = statusClientClosedRequest
	case backends.CauseRequestBody:
		status = http.StatusBadRequest
	case backends.CauseDial, backends.CausePoolExhausted:
		status = http.StatusServiceUnavailable
	}
	refusal := callers.Refuse(status, string(attemptErr.failure.Cause), "the backend server gave no whole response")
	if attemptErr.failure.Sent {
		refusal.Ran = callers.RunUnknown
	}
	return refusal
}

func noServerRefusal() *callers.Refusal {
	return callers.Refuse(http.StatusServiceUnavailable, "no-backend-server", "no backend server of the service is available").
		WithRetryAfter(defaultRetryAfter)
}

// eligible reports whether the server has the version of the request and is where the request may run.
func (x *exchange) eligible(s *server) bool {
	return (x.version == "" || s.Version == x.version) && x.regionAllowed(s.Region)
}

// regionAllowed reports whether the request may run in region.
func (x *exchange) regionAllowed(region string) bool {
	if len(x.route.HomeRegions) > 0 && !slices.Contains(x.route.HomeRegions, region) {
		return false
	}
	return x.effectiveTeam == nil || len(x.effectiveTeam.HomeRegions) == 0 || slices.Contains(x.effectiveTeam.HomeRegions, region)
}

// reservationPollInterval is how often a request looks again when every server is reserved.
const reservationPollInterval = 5 * time.Millisecond

func (p *pool) anyReserved() bool {
	for _, s := range p.servers {
		if s.reserved.Load() {
			return true
		}
	}
	return false
}

// pickServer sets the server of the next attempt.
func (x *exchange) pickServer() error {
	decision, chosen := x.pickAmong(x.eligible)
	for attempt := 0; decision.Shedding && x.route.Class != config.ClassPrompt; attempt++ {
		// Requests that may wait do so until a server takes work again or the deadline is near.
		if err := x.sleep(retry.Backoff(attempt, 10*time.Millisecond, 100*time.Millisecond, rand.Float64())); err != nil {
			return err
		}
		decision, chosen = x.pickAmong(x.eligible)
	}
	if decision.Shedding {
		return callers.Refuse(http.StatusServiceUnavailable, "shed", "all backend servers shed load").WithRetryAfter(defaultRetryAfter)
	}
	for chosen == nil {
		// A server that is reserved for a suspected request is free again soon.
		if !x.pool.anyReserved() {
			return noServerRefusal()
		}
		if err := x.sleep(reservationPollInterval); err != nil {
			return err
		}
		_, chosen = x.pickAmong(x.eligible)
	}
	chosen = x.applyShifts(chosen)
	if chosen.Region != x.service.options.Region &&
		!x.service.options.AdmitLinkTraffic(x.service.options.Region, chosen.Region, float64(len(x.body.start))+linkOverheadBytes) {
		return callers.Refuse(http.StatusServiceUnavailable, "link-full", "the link to the other region is full").WithRetryAfter(defaultRetryAfter)
	}
	x.server, x.serverID = chosen, chosen.ID
	chosen.assigned.Add(1)
	return nil
}

// linkOverheadBytes stands for the headers and the response in the charge for a link.
const linkOverheadBytes = 2048

// pickAmong chooses among the servers that pass. Larger pools are sampled at a random place.
func (x *exchange) pickAmong(accept func(s *server) bool) (balance.Decision, *server) {
	scratch := x.service.scratch.Get().(*balance.Scratch)
	defer x.service.scratch.Put(scratch)
	var servers [balance.MaxCandidates]*server
	now, n := x.service.now(), 0
	offset := 0
	if len(x.pool.servers) > balance.MaxCandidates {
		offset = rand.IntN(len(x.pool.servers))
	}
	for i := range x.pool.servers {
		s := x.pool.servers[(i+offset)%len(x.pool.servers)]
		if !accept(s) {
			continue
		}
		scratch.Candidates[n] = s.candidate(x.service, now, x.routeName)
		for _, tried := range x.tried {
			if tried == s {
				scratch.Candidates[n].Excluded = true
			}
		}
		servers[n] = s
		if n++; n == balance.MaxCandidates {
			break
		}
	}
	decision := balance.Pick(x.service.options.Policy, balance.Request{
		Now: now, Random: globalRandom{}, Sequence: x.service.pools.pickCount.Add(1), Scratch: scratch,
	}, scratch.Candidates[:n])
	if decision.Index < 0 {
		return decision, nil
	}
	return decision, servers[decision.Index]
}

// applyShifts applies the shifts: first to the chosen server's region, then to the server.
func (x *exchange) applyShifts(chosen *server) *server {
	moves := x.service.options.Moves
	if region := moves.Place(x.routeName, x.team, chosen.Region, rand.Float64()); region != chosen.Region {
		_, other := x.pickAmong(func(s *server) bool {
			return s.Region == region && x.eligible(s)
		})
		if other != nil {
			chosen = other
		}
	}
	if id := moves.Place(x.routeName, x.team, chosen.ID, rand.Float64()); id != chosen.ID {
		_, other := x.pickAmong(func(s *server) bool { return s.ID == id })
		if other != nil {
			chosen = other
		}
	}
	return chosen
}
