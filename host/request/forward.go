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
	// connectionVerifiedWithin is how lately a connection must have proved that it works to carry a request that cannot be repeated.
	connectionVerifiedWithin = time.Second
	// maxShedPause bounds what a shedding server can ask for, since its statement may mislead.
	maxShedPause = 2 * time.Second
)

// forward sends the request to the chosen server and takes its response.
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
		return callers.Refuse(http.StatusServiceUnavailable, string(budget.ReasonLease), "this host lost the right to run the request").
			WithRetryAfter(defaultRetryAfter)
	}
	now = time.Now()
	response, failure := x.service.client.Do(x.context, x.server.Address, attempt)
	latency := time.Since(now)
	x.leaveServer()
	x.backendTime += latency
	if failure != nil {
		x.detectCrash(failure, x.alone || serverWasIdle && x.server.arrivals.Load() == arrival)
	}
	return x.handleResult(response, failure, latency)
}

// enterServer counts the request at its server. A suspected request gets the server for itself.
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

// handleResult notes the outcome of an attempt and passes a response on.
func (x *exchange) handleResult(response *backends.Response, failure *backends.Failure, latency time.Duration) error {
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
		// One shed request says little about the next second, so that the server is avoided for a tenth of the time only.
		x.server.markShed(now, pause/10, response.ConnectionClose)
		x.service.options.Hook.Event("shed", x.server.ID)
		discard(response)
		return &attemptError{shed: true, retryAfter: pause}
	}
	// A response that loses against another attempt's still shows that the request ran.
	x.mayHaveRun = true
	if !x.tryWin() {
		discard(response)
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

// discard gives up a response that is not passed on.
func discard(response *backends.Response) {
	if response.RemainingBody != nil {
		// The connection is closed; there is nothing to do about an error.
		_ = response.RemainingBody.Close()
	}
}

// retryServerError reports whether another server is tried instead of passing on a server's error.
func (x *exchange) retryServerError(response *backends.Response) bool {
	return response.Status >= http.StatusInternalServerError && response.Header.Get("X-Shed") != "true" &&
		x.idempotent && !x.alone && x.hedge == nil && !x.isHedge && response.RemainingBody == nil && x.body.replayable() &&
		len(x.tried)+1 < min(x.attemptLimit(), len(x.pool.servers)) && x.pool.retryBudget.takeRetry()
}

// recordFailure adds a failed attempt to the server's health. A silent connection, a caller that went away
// and a body that broke off say nothing about the server.
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

// outgoingRequest is the request as the backend server gets it.
func (x *exchange) outgoingRequest(id string, remaining time.Duration) *http.Request {
	header := x.r.Header
	header["X-Request-Id"] = []string{id}
	header["X-Request-Deadline"] = []string{strconv.FormatInt(max(remaining.Milliseconds(), 1), 10)}
	if _, ok := header["User-Agent"]; !ok {
		// An empty entry keeps net/http from adding its own name.
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
