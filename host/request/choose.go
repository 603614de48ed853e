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

// attemptCap is the most attempts of a request, whatever its route allows.
const attemptCap = 4

// attemptError is the error of one attempt. tryServers decides whether to retry on another server.
type attemptError struct {
	failure *backends.Failure
	// shed reports that the server stated that it did not process the request.
	shed bool
	// retryCharged reports that the server responded with an error and that the retry was already charged to the retry budget.
	retryCharged bool
	retryAfter   time.Duration
}

// Error describes why the attempt failed.
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

// tryServers attempts the request on one backend server after the other, until one responds or a retry is unsafe or not allowed.
func tryServers(x *exchange) error {
	snapshot := x.service.pools.snapshot(x.configuration)
	servicePool := snapshot.services[x.route.Service]
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
		err := x.attemptAtServer()
		attemptErr, ok := err.(*attemptError)
		if !ok {
			return x.correctRunState(err)
		}
		if attempt == x.attemptLimit() || !x.mayRetry(attemptErr) {
			return x.correctRunState(x.refusalFor(attemptErr))
		}
		x.tried = append(x.tried, x.server)
		if x.serverCrashed {
			// Another server is risked only when the request runs alone, and only by one host at a time.
			x.endTrial()
			if err := x.beginTrial(); err != nil {
				return x.correctRunState(err)
			}
		}
	}
}

// attemptAtServer runs the rest of the chain at the chosen server and waits for the hedged attempt, if any.
func (x *exchange) attemptAtServer() error {
	defer x.server.assigned.Add(-1)
	defer x.abandonHedge()
	return x.joinHedge(x.next())
}

// attemptLimit is the most attempts that the request may have.
func (x *exchange) attemptLimit() int {
	if x.route.Attempts > 0 {
		return min(x.route.Attempts, attemptCap)
	}
	return attemptCap
}

// correctRunState changes a refusal to "run unknown" when an earlier attempt may have run.
func (x *exchange) correctRunState(err error) error {
	if refusal, ok := err.(*callers.Refusal); ok && x.mayHaveRun {
		return refusal.WithRan(callers.RunUnknown)
	}
	return err
}

// mayRetry reports whether the request may be sent to another server, and charges the retry budget for that.
func (x *exchange) mayRetry(attemptErr *attemptError) bool {
	if !x.body.replayable() || !time.Now().Before(x.deadline) {
		return false
	}
	switch {
	case attemptErr.retryCharged:
		return true
	case attemptErr.shed:
		// Shedding servers state that they did not run the request. It is still retried only if it is idempotent or has a key,
		// since otherwise nothing would link the second request to the first.
		return (x.idempotent || x.idempotencyKey != "") && x.pool.retryBudget.takeRetry()
	case !attemptErr.failure.Sent:
		// The server got no byte of the request, so the next attempt adds no load and is not charged to the retry budget.
		return attemptErr.failure.Cause == backends.CauseDial || attemptErr.failure.Cause == backends.CausePoolExhausted
	}
	switch attemptErr.failure.Cause {
	case backends.CauseDeadline, backends.CauseCancelled, backends.CauseRequestBody:
		return false
	}
	return x.idempotent && x.pool.retryBudget.takeRetry()
}

// refusalFor returns the refusal of a request whose last attempt failed.
func (x *exchange) refusalFor(attemptErr *attemptError) *callers.Refusal {
	switch {
	case attemptErr.retryCharged:
		return callers.Refuse(http.StatusGatewayTimeout, "deadline-exceeded", "the backend server answered with an error").
			WithRan(callers.RunUnknown)
	case attemptErr.shed:
		return callers.Refuse(http.StatusServiceUnavailable, "shed", "the backend server sheds load").
			WithRetryAfter(attemptErr.retryAfter)
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

// eligible reports whether the server has the version for the request and is in a region where the request may run.
func (x *exchange) eligible(s *server) bool {
	return (x.version == "" || s.Version == x.version) && x.regionAllowed(s.Region)
}

// regionAllowed reports whether the route and the team allow requests in region.
func (x *exchange) regionAllowed(region string) bool {
	if len(x.route.Homes) > 0 && !slices.Contains(x.route.Homes, region) {
		return false
	}
	return x.effectiveTeam == nil || len(x.effectiveTeam.Homes) == 0 || slices.Contains(x.effectiveTeam.Homes, region)
}

// reservationPollInterval is how often a request checks whether a server is still reserved or busy.
const reservationPollInterval = 5 * time.Millisecond

func (p *pool) anyReserved() bool {
	for _, s := range p.servers {
		if s.reserved.Load() {
			return true
		}
	}
	return false
}

// pickServer chooses the server of the next attempt.
func (x *exchange) pickServer() error {
	decision, chosen := x.pickAmong(x.eligible)
	for attempt := 0; decision.Shedding && x.route.Class != config.ClassPrompt; attempt++ {
		// Requests of the other classes wait until a server accepts work again or the deadline is near.
		if err := x.sleep(retry.Backoff(attempt, 10*time.Millisecond, 100*time.Millisecond, rand.Float64())); err != nil {
			return err
		}
		decision, chosen = x.pickAmong(x.eligible)
	}
	if decision.Shedding {
		return callers.Refuse(http.StatusServiceUnavailable, "shed", "all backend servers shed load").
			WithRetryAfter(defaultRetryAfter)
	}
	for chosen == nil {
		// A server that is reserved for a suspected request will soon be available again.
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
		return callers.Refuse(http.StatusServiceUnavailable, "link-full", "the link to the other region is full").
			WithRetryAfter(defaultRetryAfter)
	}
	x.server, x.serverID = chosen, chosen.ID
	chosen.assigned.Add(1)
	return nil
}

// linkOverheadBytes is the estimated size of the headers and the response, which is charged to the link in addition to the
// buffered part of the body.
const linkOverheadBytes = 2048

// pickAmong applies the balancing policy to the servers that accept allows. In a larger pool it considers MaxCandidates servers,
// beginning at a random one.
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

// applyShifts redirects the request according to the shifts: first to another region, then to another server.
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
