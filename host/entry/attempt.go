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

// refusedWithRoomRetryAfter is the mean Retry-After of a request that was refused by a server with a free slot: there is no
// overload that has to end first.
const refusedWithRoomRetryAfter = 60 * time.Millisecond

// maxExcusedPace bounds the pace that excuses a slow response in a rollout, so that a faulty version can't hide its slowness
// behind a wrong report.
const maxExcusedPace = 3

// attemptResult is the result of one attempt. Exactly one of the first fields is set: response goes to the caller, final ends
// the request, and after retryable the request may be sent to another server.
type attemptResult struct {
	response         *backends.Response
	final, retryable *callers.Refusal
	// mayRepeat is set if the request may also be sent to the same server again.
	mayRepeat bool
}

// attempt sends the request to one server and waits for the response.
func (x *exchange) attempt(v *view, s *server, choice placement.Choice) (result attemptResult) {
	timeLeft := time.Until(x.deadline)
	if timeLeft < minAttemptTime {
		return attemptResult{final: deadlineExceeded()}
	}
	started := x.host.now()
	x.attemptStarted, x.attemptPace = started, s.paceAt(started)
	request := &backends.Request{HTTP: x.newServerRequest(s, timeLeft), ID: x.id, Deadline: x.deadline, Reserve: x.reserveResponse}
	observation := x.host.observe(v, s, x.routeName, x.slowThreshold(s, choice))
	defer observation.close()
	response, failure := x.send(s, request)
	x.leaveLine(response)
	now := x.host.now()
	if failure != nil {
		return x.handleFailure(observation, s, failure, now)
	}
	handled := false
	defer func() {
		if !handled {
			// The handling of the response panicked.
			discardResponse(response)
		}
	}()
	// A misdirected request was answered by another server, which has taken over the address.
	if load := response.Header.Get(x.host.headerNames.ServerLoad); load != "" && response.Status != http.StatusMisdirectedRequest {
		x.recordLoad(s, load, now)
	}
	result = x.handleResponse(observation, s, response, choice, now, now-started)
	handled = true
	return result
}

// send sends the request to the server and counts it as in flight there until the response or a failure, also if it panics.
func (x *exchange) send(s *server, request *backends.Request) (*backends.Response, *backends.Failure) {
	s.requestStarted(x.attemptStarted, x.affinityKey)
	defer s.requestEnded()
	return x.host.client.Do(x.context, s.Address, request)
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
		if x.host.grace.Err() != nil {
			return attemptResult{final: graceOver()}
		}
		return attemptResult{final: callerGone()}
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
	result := attemptResult{
		retryable: callers.Refuse(http.StatusServiceUnavailable, "shed", "the backend server is full").WithRetryAfter(shortRetryAfter),
	}
	if report, invalid := parseLoadReport(response.Header.Get(x.host.headerNames.ServerLoad)); invalid == "" && report.hasFreeSlot() {
		// The server refuses some requests although it has room. Another server would probably refuse as often, and run the request
		// without its data cached.
		result.mayRepeat = true
		result.retryable = result.retryable.WithRetryAfter(x.host.jitter(refusedWithRoomRetryAfter))
	}
	return result
}

// recordLoad stores the load report of a response, or the part of it that is valid.
func (x *exchange) recordLoad(s *server, header string, now time.Duration) {
	report, invalid := parseLoadReport(header)
	if invalid != "" {
		x.host.metrics.Count("invalid-load-reports", "", "", "part="+strconv.Quote(string(invalid)), 1)
	}
	if invalid != invalidReport {
		s.recordLoad(now, x.host.regionRTTs.rtt(s.Region), report)
	}
}

// slowThreshold returns the time after which a response of the server counts as slow in a rollout. A machine that is slow at
// present says nothing about the version that runs on it.
func (x *exchange) slowThreshold(s *server, choice placement.Choice) time.Duration {
	_, cold, _ := x.serviceTimes.estimates()
	roundTripTime := x.host.regionRTTs.rtt(s.Region)
	allowed := slowFactor * min(x.maxPace(s, x.host.now()-roundTripTime), maxExcusedPace) * float64(cold)
	return roundTripTime + choice.QueueWait + time.Duration(allowed)
}

// maxPace returns the higher one of the paces that the server had when the attempt began and when it ended, at least 1. ended is
// the time at which a request would have had to be sent to arrive at the end.
func (x *exchange) maxPace(s *server, ended time.Duration) float64 {
	return max(x.attemptPace, s.paceAt(ended), 1)
}

// observeServiceTime updates the statistics with the service time of a response: the time without the round trip and the
// expected wait in the server's queue, without what the reported pace of the server explains. Responses of requests that were
// expected to queue are left out, since their wait is only an estimate.
func (x *exchange) observeServiceTime(s *server, choice placement.Choice, now, elapsed time.Duration) {
	roundTripTime := x.host.regionRTTs.rtt(s.Region)
	serviceTime := elapsed - roundTripTime - choice.QueueWait
	if serviceTime > 0 && !choice.Queued {
		pace := x.maxPace(s, now-roundTripTime)
		s.recordSlowness(now, x.serviceTimes.observe(x.affinityKey != 0, serviceTime, pace))
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

func callerGone() *callers.Refusal {
	return callers.Refuse(statusClientClosedRequest, "caller-gone", "the caller has left")
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
