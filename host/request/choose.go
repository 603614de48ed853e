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

// maxAttempts bounds the servers that one request is tried on.
const maxAttempts = 4

// attemptError is the failure of one attempt. choose decides whether another server is tried.
type attemptError struct {
	failure *backends.Failure
	// shed reports that the server stated that it did not process the request.
	shed bool
	// repeat reports that the budget was charged for another attempt already.
	repeat bool
	pause  time.Duration
}

// Error describes the failure.
func (e *attemptError) Error() string {
	switch {
	case e.shed:
		return "the server sheds load"
	case e.repeat:
		return "the server answered with an error"
	}
	return e.failure.Error()
}

type randomSource struct{}

func (randomSource) IntN(n int) int   { return rand.IntN(n) }
func (randomSource) Float64() float64 { return rand.Float64() }

// choose picks a backend server for each attempt, and repeats only what is safe to repeat.
func choose(x *exchange) error {
	view := x.service.pools.view(x.configuration)
	in := view.services[x.route.Service]
	if in == nil || len(in.servers) == 0 {
		return noServer()
	}
	x.pool = in
	in.retries.request()
	x.attempts = x.position
	x.version = x.service.options.Moves.Version(x.route.Service, x.routeName, rand.Float64())
	if x.version == "" {
		x.version = x.configuration.Services[x.route.Service].Version
	}
	for attempt := 1; ; attempt++ {
		if refusal := x.pick(); refusal != nil {
			return x.truthful(refusal)
		}
		chosen := x.server
		err := x.join(x.next())
		chosen.assigned.Add(-1)
		failed, ok := err.(*attemptError)
		if !ok {
			return x.truthful(err)
		}
		if attempt == x.mostAttempts() || !x.mayRepeat(failed) {
			return x.truthful(x.refusal(failed))
		}
		x.tried = append(x.tried, x.server)
		if x.crashed {
			// The next server is risked only for a request that runs alone, and only once over all hosts.
			x.endTrial()
			if err := x.beginTrial(); err != nil {
				return x.truthful(err)
			}
		}
	}
}

// mostAttempts is the number of servers that the request may be tried on.
func (x *exchange) mostAttempts() int {
	if x.route.Attempts > 0 {
		return min(x.route.Attempts, maxAttempts)
	}
	return maxAttempts
}

// truthful corrects a refusal of a later attempt when an earlier one may have run.
func (x *exchange) truthful(err error) error {
	if refusal, ok := err.(*callers.Refusal); ok && x.mayHaveRun {
		return refusal.WithRan(callers.RunUnknown)
	}
	return err
}

// mayRepeat reports whether the request may be sent to another server after failed.
func (x *exchange) mayRepeat(failed *attemptError) bool {
	if !x.body.replayable() || !time.Now().Before(x.deadline) {
		return false
	}
	switch {
	case failed.repeat:
		return true
	case failed.shed:
		// Without a key nothing ties a second arrival at a server to the first, so that it is not tried.
		return (x.idempotent || x.key != "") && x.pool.retries.retry()
	case !failed.failure.Sent:
		// No byte was sent, so that another server gets the request for the first time.
		return failed.failure.Cause == backends.CauseDial || failed.failure.Cause == backends.CausePoolExhausted
	}
	switch failed.failure.Cause {
	case backends.CauseDeadline, backends.CauseCancelled, backends.CauseRequestBody:
		return false
	}
	return x.idempotent && x.pool.retries.retry()
}

// refusal is the answer to a request whose last attempt failed.
func (x *exchange) refusal(failed *attemptError) *callers.Refusal {
	switch {
	case failed.repeat:
		return callers.Refuse(http.StatusGatewayTimeout, "deadline-exceeded", "the backend server answered with an error").
			WithRan(callers.RunUnknown)
	case failed.shed:
		return callers.Refuse(http.StatusServiceUnavailable, "shed", "the backend server sheds load").WithRetryAfter(failed.pause)
	}
	status := http.StatusBadGateway
	switch failed.failure.Cause {
	case backends.CauseDeadline:
		status = http.StatusGatewayTimeout
	case backends.CauseCancelled:
		status = statusClientGone
	case backends.CauseRequestBody:
		status = http.StatusBadRequest
	case backends.CauseDial, backends.CausePoolExhausted:
		status = http.StatusServiceUnavailable
	}
	refusal := callers.Refuse(status, string(failed.failure.Cause), "the backend server gave no whole response")
	if failed.failure.Sent {
		refusal.Ran = callers.RunUnknown
	}
	return refusal
}

func noServer() *callers.Refusal {
	return callers.Refuse(http.StatusServiceUnavailable, "no-backend-server", "no backend server of the service is available").
		WithRetryAfter(retryLater)
}

// wanted reports whether the server has the version of the request and is where the request may run.
func (x *exchange) wanted(s *server) bool {
	return (x.version == "" || s.Version == x.version) && x.atHome(s.Region)
}

// atHome reports whether the request may run in region.
func (x *exchange) atHome(region string) bool {
	if len(x.route.HomeRegions) > 0 && !slices.Contains(x.route.HomeRegions, region) {
		return false
	}
	return x.effective == nil || len(x.effective.HomeRegions) == 0 || slices.Contains(x.effective.HomeRegions, region)
}

// reservedPoll is how often a request looks again when every server is reserved.
const reservedPoll = 5 * time.Millisecond

func (p *pool) anyReserved() bool {
	for _, s := range p.servers {
		if s.reserved.Load() {
			return true
		}
	}
	return false
}

// pick sets the server of the next attempt.
func (x *exchange) pick() error {
	decision, chosen := x.pickFrom(x.wanted)
	for attempt := 0; decision.Shedding && x.route.Class != config.ClassPrompt; attempt++ {
		// Requests that may wait do so until a server takes work again or the deadline is near.
		if err := x.sleep(retry.Backoff(attempt, 10*time.Millisecond, 100*time.Millisecond, rand.Float64())); err != nil {
			return err
		}
		decision, chosen = x.pickFrom(x.wanted)
	}
	if decision.Shedding {
		return callers.Refuse(http.StatusServiceUnavailable, "shed", "all backend servers shed load").WithRetryAfter(retryLater)
	}
	for chosen == nil {
		// A server that is reserved for a suspected request is free again soon.
		if !x.pool.anyReserved() {
			return noServer()
		}
		if err := x.sleep(reservedPoll); err != nil {
			return err
		}
		_, chosen = x.pickFrom(x.wanted)
	}
	chosen = x.moved(chosen)
	if chosen.Region != x.service.options.Region &&
		!x.service.options.AdmitLinkTraffic(x.service.options.Region, chosen.Region, float64(len(x.body.start))+typicalBytes) {
		return callers.Refuse(http.StatusServiceUnavailable, "link-full", "the link to the other region is full").WithRetryAfter(retryLater)
	}
	x.server, x.serverID = chosen, chosen.ID
	chosen.assigned.Add(1)
	return nil
}

// typicalBytes stands for the headers and the response in the charge for a link.
const typicalBytes = 2048

// pickFrom chooses among the servers that pass. Larger pools are sampled at a random place.
func (x *exchange) pickFrom(pass func(s *server) bool) (balance.Decision, *server) {
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
		if !pass(s) {
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
		Now: now, Random: randomSource{}, Sequence: x.service.pools.turn.Add(1), Scratch: scratch,
	}, scratch.Candidates[:n])
	if decision.Index < 0 {
		return decision, nil
	}
	return decision, servers[decision.Index]
}

// moved applies the shifts: first to the chosen server's region, then to the server.
func (x *exchange) moved(chosen *server) *server {
	moves := x.service.options.Moves
	if region := moves.Place(x.routeName, x.team, chosen.Region, rand.Float64()); region != chosen.Region {
		_, other := x.pickFrom(func(s *server) bool {
			return s.Region == region && x.wanted(s)
		})
		if other != nil {
			chosen = other
		}
	}
	if id := moves.Place(x.routeName, x.team, chosen.ID, rand.Float64()); id != chosen.ID {
		_, other := x.pickFrom(func(s *server) bool { return s.ID == id })
		if other != nil {
			chosen = other
		}
	}
	return chosen
}
