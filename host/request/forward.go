package request

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"vanillatally/core/budget"
	"vanillatally/core/rollout"
	"vanillatally/io/backends"
	"vanillatally/io/callers"
)

const (
	// connectionVerifiedWithin is how recently a reused connection must have completed a response to carry a non-idempotent
	// request.
	connectionVerifiedWithin = time.Second
	// maxShedPause bounds the Retry-After of a shedding server, since its value may be wrong.
	maxShedPause = 2 * time.Second
)

// forward sends the request to the chosen server and handles its response.
func forward(x *exchange) error {
	x.serverCrashed = false
	now := time.Now()
	remaining := x.deadline.Sub(now) - responseMargin
	if remaining <= 0 {
		return deadlinePassedRefusal()
	}
	id := x.service.nextRequestID()
	attempt := &backends.Request{
		HTTP: x.outgoingRequest(id, remaining), ID: id, Deadline: x.deadline,
		InactivityTimeout: x.stats.inactivityTimeout(x.service.now(), x.service.options.InactivityTimeout),
	}
	if !x.isHedge {
		attempt.SlowAfter, attempt.OnSlow = x.service.options.HedgeDelay, x.startHedge
	}
	if x.body.rest != nil {
		attempt.BodyReadFailed = x.body.readFailed
	}
	if !x.idempotent {
		attempt.VerifiedWithin = connectionVerifiedWithin
	}
	arrival, serverWasIdle, err := x.enterServer()
	if err != nil {
		return err
	}
	if x.openClaim != nil && !x.service.options.Claims.Valid(*x.openClaim) {
		x.leaveServer()
		return callers.Refuse(http.StatusServiceUnavailable, string(budget.ReasonLease),
			"this host lost the right to run the request").
			WithRetryAfter(defaultRetryAfter)
	}
	now = time.Now()
	response, failure := x.send(attempt)
	latency := time.Since(now)
	x.backendTime += latency
	if failure != nil {
		x.detectCrash(failure, x.alone || serverWasIdle && x.server.arrivals.Load() == arrival)
	}
	return x.handleResult(response, failure, latency)
}

// enterServer counts the request at its server. For a suspected request, it reserves the server and waits until no other request
// runs there. serverWasIdle reports whether no other request ran there, and arrival is the number of requests sent to the server
// so far, which later shows whether another one followed.
func (x *exchange) enterServer() (arrival uint64, serverWasIdle bool, err error) {
	s := x.server
	if x.alone {
		if !s.reserved.CompareAndSwap(false, true) {
			return 0, false, &attemptError{failure: &backends.Failure{Cause: backends.CausePoolExhausted}}
		}
		x.holdsReservation = true
		for s.inFlight.Load() > 0 {
			if err := x.sleep(reservationPollInterval); err != nil {
				x.unreserve()
				return 0, false, err
			}
		}
	}
	running := s.inFlight.Add(1)
	if !x.alone && s.reserved.Load() {
		s.inFlight.Add(-1)
		return 0, false, &attemptError{failure: &backends.Failure{Cause: backends.CausePoolExhausted}}
	}
	return s.arrivals.Add(1), running == 1, nil
}

// send sends the request to the server that enterServer entered, and leaves it, also if sending panics.
func (x *exchange) send(attempt *backends.Request) (*backends.Response, *backends.Failure) {
	defer x.leaveServer()
	return x.service.client.Do(x.context, x.server.Address, attempt)
}

func (x *exchange) leaveServer() {
	x.server.inFlight.Add(-1)
	x.unreserve()
}

func (x *exchange) unreserve() {
	if x.holdsReservation {
		x.holdsReservation = false
		x.server.reserved.Store(false)
	}
}

// handleResult records the result of an attempt, and runs the rest of the chain for a response that goes to the caller.
func (x *exchange) handleResult(response *backends.Response, failure *backends.Failure, latency time.Duration) error {
	if response != nil {
		// A response that does not go to the caller is dropped, also when its handling panics.
		defer discard(response)
	}
	now := x.service.now()
	if failure != nil {
		x.mayHaveRun = x.mayHaveRun || failure.Sent
		x.recordFailure(now, failure, latency)
		return &attemptError{failure: failure}
	}
	if x.retryServerError(response) {
		x.server.recordResult(now, x.pool, x.routeName, true, latency)
		x.reportEvidence(true, latency)
		x.mayHaveRun = true
		return &attemptError{retryCharged: true}
	}
	x.server.recordReportedLoad(now, response.Header)
	if response.Status == http.StatusServiceUnavailable && response.Header.Get("X-Shed") == "true" {
		pause := shedPause(response.Header)
		// A single shed request says little about the load of the next second, so the server is avoided for only a tenth of the
		// pause.
		x.server.markShed(now, pause/10, response.ConnectionClose)
		x.service.options.Hook.Event("shed", x.server.ID)
		return &attemptError{shed: true, retryAfter: pause}
	}
	// Also when another attempt responded first, this response shows that the request ran.
	x.mayHaveRun = true
	if !x.tryWin() {
		return errHedgeLost
	}
	x.stats.addResponse(now, latency)
	failed := response.Status >= http.StatusInternalServerError
	x.server.recordResult(now, x.pool, x.routeName, failed, latency)
	x.reportEvidence(failed, latency)
	x.response = response
	if response.RemainingBody == nil {
		x.returnPermit()
	}
	return x.next()
}

// discard drops a response that is not forwarded.
func discard(response *backends.Response) {
	if response.RemainingBody != nil {
		// Closing the body closes the connection; an error needs no handling.
		_ = response.RemainingBody.Close()
	}
}

// retryServerError reports whether to try another server instead of forwarding a server error, and charges the retry budget for
// that.
func (x *exchange) retryServerError(response *backends.Response) bool {
	return response.Status >= http.StatusInternalServerError && response.Header.Get("X-Shed") != "true" &&
		x.idempotent && !x.alone && x.hedge == nil && !x.isHedge && response.RemainingBody == nil && x.body.replayable() &&
		len(x.tried)+1 < min(x.attemptLimit(), len(x.pool.servers)) && x.pool.retryBudget.takeRetry()
}

// recordFailure records a failed attempt in the server's health. An inactivity timeout, a disconnected caller, a body that could
// not be read and an exhausted pool do not count as failures of the server.
func (x *exchange) recordFailure(now time.Duration, failure *backends.Failure, latency time.Duration) {
	if failure.Cause == backends.CauseSilent && (x.hedge == nil || x.hedge.winner.Load() != 2) {
		x.stats.addTimeout()
	}
	switch failure.Cause {
	case backends.CauseSilent:
		x.server.recordWait(now, x.routeName, latency)
		return
	case backends.CauseCancelled, backends.CauseRequestBody, backends.CausePoolExhausted:
		return
	case backends.CauseDial:
		x.server.markDown(now)
	}
	x.server.recordResult(now, x.pool, x.routeName, true, latency)
	if failure.Sent {
		x.reportEvidence(true, latency)
	}
}

func (x *exchange) reportEvidence(failed bool, latency time.Duration) {
	x.service.options.Moves.Observe(rollout.Observation{
		Service: x.route.Service, Version: x.server.Version, Route: x.routeName, Server: x.server.ID, Failed: failed, Latency: latency,
	})
}

func shedPause(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return time.Second
	}
	return min(time.Duration(seconds)*time.Second, maxShedPause)
}

// outgoingRequest returns the request as it is sent to the backend server.
func (x *exchange) outgoingRequest(id string, remaining time.Duration) *http.Request {
	header := x.r.Header
	header["X-Request-Id"] = []string{id}
	header["X-Request-Deadline"] = []string{strconv.FormatInt(max(remaining.Milliseconds(), 1), 10)}
	if _, ok := header["User-Agent"]; !ok {
		// An empty value prevents net/http from adding its default User-Agent.
		header["User-Agent"] = []string{""}
	}
	return &http.Request{
		Method: x.r.Method,
		URL: &url.URL{
			Scheme: "http", Host: x.server.Address, Path: x.r.URL.Path, RawPath: x.r.URL.RawPath,
			RawQuery: x.r.URL.RawQuery, ForceQuery: x.r.URL.ForceQuery,
		},
		Host: x.r.Host, Header: header, Body: x.body.reader(), ContentLength: x.body.length,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
}
