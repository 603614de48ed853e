package entry

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"vanillatally/core/placement"
	"vanillatally/io/backends"
	"vanillatally/io/callers"
)

// minAttemptTime is the least time left with which a request is sent to a server.
const minAttemptTime = 20 * time.Millisecond

// attemptResult is the result of one attempt. Exactly one of response, final and refusal is set; refusal allows another try.
type attemptResult struct {
	response         *backends.Response
	final, retryable *callers.Refusal
}

// attempt sends the request to one server.
func (x *exchange) attempt(v *view, s *server, choice placement.Choice) attemptResult {
	left := time.Until(x.deadline)
	if left < minAttemptTime {
		return attemptResult{final: deadlineExceeded()}
	}
	begun := x.host.now()
	s.requestStarted(begun, x.affinityKey)
	x.host.countColdRequest(v, s, begun)
	request := &backends.Request{HTTP: x.newServerRequest(s, left), ID: x.id, Deadline: x.deadline}
	observation := x.host.observe(v, s, x.routeName, x.slowThreshold(s, choice))
	response, failure := x.host.client.Do(x.context, s.Address, request)
	s.requestEnded()
	defer observation.close()
	now := x.host.now()
	if failure != nil {
		return x.handleFailure(observation, s, failure, now)
	}
	if load := response.Header.Get(x.host.headerNames.ServerLoad); load != "" {
		s.recordLoad(now, load)
	}
	return x.handleResponse(observation, s, response, choice, now, now-begun)
}

// handleFailure notes an attempt without an answer.
func (x *exchange) handleFailure(observation *observation, s *server, failure *backends.Failure, now time.Duration) attemptResult {
	x.host.metrics.Count("attempt-failures", "", x.routeName, `cause="`+string(failure.Cause)+`"`, 1)
	if !failure.Sent {
		if failure.Cause == backends.CauseDial {
			x.host.markServerDown(s, now)
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
		x.host.crashTracker.recordUnanswered(now, s.ID, x.print)
	}
	observation.record(false, true)
	s.recordResult(now, true)
	return attemptResult{retryable: callers.Refuse(http.StatusBadGateway, string(failure.Cause), "the backend server gave no whole response").
		WithRan(callers.RunUnknown)}
}

// handleResponse decides what a server's answer means.
func (x *exchange) handleResponse(observation *observation, s *server, response *backends.Response, choice placement.Choice, now, took time.Duration) attemptResult {
	if response.Header.Get(x.host.headerNames.NotRun) != "" || response.Status == http.StatusMisdirectedRequest {
		discardResponse(response)
		return x.handleNotRun(s, response, now)
	}
	x.possibleRuns++
	genuine := response.Header.Get(x.host.headerNames.ApplicationMarker) != "" && response.Header.Get("Content-Encoding") == ""
	if !genuine {
		discardResponse(response)
		s.recordResult(now, true)
		observation.record(false, true)
		return attemptResult{retryable: callers.Refuse(http.StatusBadGateway, "response-unproved", "the backend server gave no valid response").
			WithRan(callers.RunUnknown)}
	}
	x.host.crashTracker.recordAnswer(s.ID, x.print, now-took)
	failed := response.Status >= http.StatusInternalServerError
	s.recordResult(now, failed)
	late := response.Status == http.StatusGatewayTimeout
	observation.record(failed && !late, late || took > x.slowThreshold(s, choice))
	if !failed {
		x.observeServiceTime(s, choice, now, took)
	}
	if failed && x.idempotent && x.fallback == nil && response.RemainingBody == nil {
		x.fallback = response
		return attemptResult{retryable: callers.Refuse(http.StatusBadGateway, "server-error", "the backend server failed").WithRan(callers.RunUnknown)}
	}
	return attemptResult{response: response}
}

// handleNotRun notes that the server did not run the request.
func (x *exchange) handleNotRun(s *server, response *backends.Response, now time.Duration) attemptResult {
	x.host.metrics.Count("attempts-not-run", "", x.routeName, `status="`+strconv.Itoa(response.Status)+`"`, 1)
	if response.Status == http.StatusMisdirectedRequest {
		// Another server has the address; the entry is out of date.
		x.host.markServerDown(s, now)
		return attemptResult{retryable: serverUnreachable()}
	}
	s.recordRefusal(now)
	return attemptResult{retryable: callers.Refuse(http.StatusServiceUnavailable, "shed", "the backend server is full").WithRetryAfter(shortRetryAfter)}
}

// slowThreshold is the time from which an answer of the server is slow.
func (x *exchange) slowThreshold(s *server, choice placement.Choice) time.Duration {
	_, cold, _ := x.serviceTimes.estimates()
	return x.host.regionRTTs.rtt(s.Region) + choice.QueueWait + slowFactor*cold
}

// observeServiceTime takes in the service time of an answer.
func (x *exchange) observeServiceTime(s *server, choice placement.Choice, now, took time.Duration) {
	service := took - x.host.regionRTTs.rtt(s.Region) - choice.QueueWait
	if service > 0 && !choice.Queued {
		s.recordSlowness(now, x.serviceTimes.observe(x.affinityKey != 0, service))
	}
}

// newServerRequest is the request as the server gets it.
func (x *exchange) newServerRequest(s *server, left time.Duration) *http.Request {
	d := &x.host.headerNames
	header := x.r.Header.Clone()
	callers.StripHopByHopHeaders(header)
	header.Del(d.TeamKey)
	header.Del(d.Team)
	if x.team != nil {
		header.Set(d.Team, x.team.Name)
	}
	header.Set(d.ExpectedServer, s.ID)
	header.Set(d.TimeLeft, strconv.FormatInt(left.Milliseconds(), 10))
	if _, ok := header["User-Agent"]; !ok {
		// An empty entry keeps net/http from adding its own name.
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
	if len(x.body) > 0 {
		request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(x.body)), int64(len(x.body))
	}
	return request
}

func deadlineExceeded() *callers.Refusal {
	return callers.Refuse(http.StatusServiceUnavailable, "deadline-exceeded", "the request's time is over")
}

func serverUnreachable() *callers.Refusal {
	return callers.Refuse(http.StatusServiceUnavailable, "unreachable", "the backend server could not be reached").WithRetryAfter(shortRetryAfter)
}

// discardResponse gives up a response that is not passed on.
func discardResponse(response *backends.Response) {
	if response.RemainingBody != nil {
		// The connection is closed; there is nothing to do about an error.
		_ = response.RemainingBody.Close()
	}
}
