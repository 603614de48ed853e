package entry

import (
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"vanillatally/core/placement"
	"vanillatally/io/backends"
	"vanillatally/io/callers"
)

// minAttemptTime is the time that must be left before the deadline for a request to be sent to a server.
const minAttemptTime = 20 * time.Millisecond

// attemptResult is the result of one attempt. Exactly one field is set: response goes to the caller, final ends the request,
// and after retryable the request may be sent to another server.
type attemptResult struct {
	response         *backends.Response
	final, retryable *callers.Refusal
}

// attempt sends the request to one server and waits for the response.
func (x *exchange) attempt(v *view, s *server, choice placement.Choice) attemptResult {
	timeLeft := time.Until(x.deadline)
	if timeLeft < minAttemptTime {
		return attemptResult{final: deadlineExceeded()}
	}
	started := x.host.now()
	x.attemptStarted = started
	s.requestStarted(started, x.affinityKey)
	request := &backends.Request{HTTP: x.newServerRequest(s, timeLeft), ID: x.id, Deadline: x.deadline}
	observation := x.host.observe(v, s, x.routeName, x.slowThreshold(s, choice))
	response, failure := x.host.client.Do(x.context, s.Address, request)
	s.requestEnded()
	defer observation.close()
	now := x.host.now()
	if failure != nil {
		return x.handleFailure(observation, s, failure, now)
	}
	// A misdirected request was answered by another server, which has taken over the address.
	if load := response.Header.Get(x.host.headerNames.ServerLoad); load != "" && response.Status != http.StatusMisdirectedRequest {
		s.recordLoad(now, load)
	}
	return x.handleResponse(observation, s, response, choice, now, now-started)
}

// handleFailure records an attempt without a complete response, and decides whether another server may be tried.
func (x *exchange) handleFailure(
	observation *observation, s *server, failure *backends.Failure, now time.Duration,
) attemptResult {
	x.host.metrics.Count("attempt-failures", "", x.routeName, `cause="`+string(failure.Cause)+`"`, 1)
	if !failure.Sent {
		if failure.Cause == backends.CauseDial {
			x.host.recordDialFailure(s, failure, now)
		}
		if failure.Cause == backends.CausePoolExhausted {
			x.host.bodyMemory.evictStalledStream(s.Address)
		}
		return attemptResult{retryable: serverUnreachable()}
	}
	x.possibleRuns++
	switch failure.Cause {
	case backends.CauseCancelled:
		return attemptResult{final: callers.Refuse(statusClientClosedRequest, "caller-gone", "the caller has left")}
	case backends.CauseDeadline:
		observation.record(false, true)
		s.recordResult(now, true)
		return attemptResult{final: deadlineExceeded()}
	case backends.CauseClosed, backends.CauseTruncated, backends.CauseSilent:
		x.recordUnanswered(s, failure.Cause, now)
	}
	observation.record(false, true)
	s.recordResult(now, true)
	refusal := callers.Refuse(http.StatusBadGateway, string(failure.Cause), "the backend server gave no whole response").
		WithRan(callers.RunUnknown)
	if x.host.crashTracker.isSuspect(x.fingerprint) {
		// The request has crashed a server before, and probably this one too.
		return attemptResult{final: refusal}
	}
	return attemptResult{retryable: refusal}
}

// handleResponse decides whether a response goes to the caller, and updates the server's statistics with it.
func (x *exchange) handleResponse(
	observation *observation, s *server, response *backends.Response, choice placement.Choice, now, elapsed time.Duration,
) attemptResult {
	if response.Header.Get(x.host.headerNames.NotRun) != "" || response.Status == http.StatusMisdirectedRequest {
		discardResponse(response)
		return x.handleNotRun(s, response, now)
	}
	x.possibleRuns++
	// A proxy between this host and the application may have generated or changed the response.
	fromApplication := response.Header.Get(x.host.headerNames.ApplicationMarker) != "" &&
		response.Header.Get("Content-Encoding") == ""
	x.host.serverLimits.recordResponse(now, s, response.Header, fromApplication)
	if !fromApplication {
		discardResponse(response)
		s.recordResult(now, true)
		observation.record(false, true)
		return attemptResult{
			retryable: callers.Refuse(http.StatusBadGateway, "response-unproved", "the backend server gave no valid response").
				WithRan(callers.RunUnknown),
		}
	}
	if response.RemainingBody == nil {
		x.host.crashTracker.recordAnswer(now, s.Address, x.fingerprint, x.attemptStarted)
	}
	failed := response.Status >= http.StatusInternalServerError
	s.recordResult(now, failed)
	timedOut := response.Status == http.StatusGatewayTimeout
	observation.record(failed && !timedOut, timedOut || elapsed > x.slowThreshold(s, choice))
	if !failed {
		x.observeServiceTime(s, choice, now, elapsed)
	}
	if failed && x.idempotent && x.fallback == nil && response.RemainingBody == nil {
		x.fallback = response
		return attemptResult{
			retryable: callers.Refuse(http.StatusBadGateway, "server-error", "the backend server failed").WithRan(callers.RunUnknown),
		}
	}
	return attemptResult{response: response}
}

// handleNotRun records that the server did not run the request: it was overloaded, or the request was for another server.
func (x *exchange) handleNotRun(s *server, response *backends.Response, now time.Duration) attemptResult {
	x.host.metrics.Count("attempts-not-run", "", x.routeName, `status="`+strconv.Itoa(response.Status)+`"`, 1)
	if response.Status == http.StatusMisdirectedRequest {
		// The address belongs to another server by now; the list of servers is out of date.
		x.host.recordGone(s, now, addressTakenOver)
		x.host.markServerDown(s, now)
		return attemptResult{retryable: serverUnreachable()}
	}
	s.recordRefusal(now)
	x.host.serverLimits.recordResponse(now, s, response.Header, false)
	return attemptResult{
		retryable: callers.Refuse(http.StatusServiceUnavailable, "shed", "the backend server is full").WithRetryAfter(shortRetryAfter),
	}
}

// slowThreshold returns the time after which a response of the server counts as slow in a rollout.
func (x *exchange) slowThreshold(s *server, choice placement.Choice) time.Duration {
	_, cold, _ := x.serviceTimes.estimates()
	return x.host.regionRTTs.rtt(s.Region) + choice.QueueWait + slowFactor*cold
}

// observeServiceTime updates the statistics with the service time of a response: the time without the round trip and the
// expected wait in the server's queue. Responses of requests that were expected to queue are left out, since their wait is
// only an estimate.
func (x *exchange) observeServiceTime(s *server, choice placement.Choice, now, elapsed time.Duration) {
	serviceTime := elapsed - x.host.regionRTTs.rtt(s.Region) - choice.QueueWait
	if serviceTime > 0 && !choice.Queued {
		s.recordSlowness(now, x.serviceTimes.observe(x.affinityKey != 0, serviceTime))
	}
}

// newServerRequest returns the request to send to the server. The team's key is replaced by the team's name.
func (x *exchange) newServerRequest(s *server, timeLeft time.Duration) *http.Request {
	names := &x.host.headerNames
	header := x.r.Header.Clone()
	callers.StripHopByHopHeaders(header)
	header.Del(names.TeamKey)
	header.Del(names.Team)
	if x.team != nil {
		header.Set(names.Team, x.team.Name)
	}
	header.Set(names.ExpectedServer, s.ID)
	header.Set(names.TimeLeft, strconv.FormatInt(timeLeft.Milliseconds(), 10))
	if _, ok := header["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its default User-Agent.
		header["User-Agent"] = []string{""}
	}
	request := &http.Request{
		Method: x.r.Method,
		URL: &url.URL{
			Scheme: "http", Host: s.Address, Path: x.r.URL.Path, RawPath: x.r.URL.RawPath,
			RawQuery: x.r.URL.RawQuery, ForceQuery: x.r.URL.ForceQuery,
		},
		Host: x.r.Host, Header: header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Body: http.NoBody,
	}
	if x.body.length > 0 {
		request.Body, request.ContentLength = io.NopCloser(x.body.reader()), x.body.length
	}
	return request
}

func deadlineExceeded() *callers.Refusal {
	return callers.Refuse(http.StatusServiceUnavailable, "deadline-exceeded", "the request's time is over")
}

func serverUnreachable() *callers.Refusal {
	return callers.Refuse(http.StatusServiceUnavailable, "unreachable", "the backend server could not be reached").
		WithRetryAfter(shortRetryAfter)
}

// discardResponse closes a response that is not passed on to the caller.
func discardResponse(response *backends.Response) {
	if response.RemainingBody != nil {
		// Closing the body closes the connection. An error can be ignored, since the connection is not used again.
		_ = response.RemainingBody.Close()
	}
}
