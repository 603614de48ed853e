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

// shortestAttempt is the least time left with which a request is sent to a server.
const shortestAttempt = 20 * time.Millisecond

// outcome is the result of one attempt. Exactly one of response, final and refusal is set; refusal allows another try.
type outcome struct {
	response       *backends.Response
	final, refusal *callers.Refusal
}

// attempt sends the request to one server.
func (x *exchange) attempt(v *view, s *server, choice placement.Choice) outcome {
	left := time.Until(x.deadline)
	if left < shortestAttempt {
		return outcome{final: late()}
	}
	begun := x.host.now()
	s.begin(begun, x.object)
	x.host.heated(v, s, begun)
	request := &backends.Request{HTTP: x.outgoing(s, left), ID: x.id, Deadline: x.deadline}
	evidence := x.host.evidence(v, s, x.routeName, x.slowAfter(s, choice))
	response, failure := x.host.client.Do(x.context, s.Address, request)
	s.end()
	defer evidence.close()
	now := x.host.now()
	if failure != nil {
		return x.failed(evidence, s, failure, now)
	}
	if load := response.Header.Get(x.host.dialect.Load); load != "" {
		s.report(now, load)
	}
	return x.settle(evidence, s, response, choice, now, now-begun)
}

// failed notes an attempt without an answer.
func (x *exchange) failed(evidence *evidence, s *server, failure *backends.Failure, now time.Duration) outcome {
	x.host.metrics.Count("attempt-failures", "", x.routeName, `cause="`+string(failure.Cause)+`"`, 1)
	if !failure.Sent {
		if failure.Cause == backends.CauseDial {
			x.host.serverDown(s, now)
		}
		return outcome{refusal: unreachable()}
	}
	x.runs++
	switch failure.Cause {
	case backends.CauseCancelled:
		return outcome{final: callers.Refuse(statusClientGone, "caller-gone", "the caller has left")}
	case backends.CauseDeadline:
		evidence.add(false, true)
		s.result(now, true)
		return outcome{final: late()}
	case backends.CauseClosed, backends.CauseTruncated, backends.CauseSilent:
		x.host.suspects.broke(now, s.ID, x.print)
	}
	evidence.add(false, true)
	s.result(now, true)
	return outcome{refusal: callers.Refuse(http.StatusBadGateway, string(failure.Cause), "the backend server gave no whole response").
		WithRan(callers.Unknown)}
}

// settle decides what a server's answer means.
func (x *exchange) settle(evidence *evidence, s *server, response *backends.Response, choice placement.Choice, now, took time.Duration) outcome {
	if response.Header.Get(x.host.dialect.NotRun) != "" || response.Status == http.StatusMisdirectedRequest {
		discard(response)
		return x.notRun(s, response, now)
	}
	x.runs++
	genuine := response.Header.Get(x.host.dialect.Proof) != "" && response.Header.Get("Content-Encoding") == ""
	if !genuine {
		discard(response)
		s.result(now, true)
		evidence.add(false, true)
		return outcome{refusal: callers.Refuse(http.StatusBadGateway, "response-unproved", "the backend server gave no valid response").
			WithRan(callers.Unknown)}
	}
	x.host.suspects.answered(s.ID, x.print, now-took)
	failed := response.Status >= http.StatusInternalServerError
	s.result(now, failed)
	late := response.Status == http.StatusGatewayTimeout
	evidence.add(failed && !late, late || took > x.slowAfter(s, choice))
	if !failed {
		x.measure(s, choice, now, took)
	}
	if failed && x.idempotent && x.fallback == nil && response.Rest == nil {
		x.fallback = response
		return outcome{refusal: callers.Refuse(http.StatusBadGateway, "server-error", "the backend server failed").WithRan(callers.Unknown)}
	}
	return outcome{response: response}
}

// notRun notes that the server did not run the request.
func (x *exchange) notRun(s *server, response *backends.Response, now time.Duration) outcome {
	x.host.metrics.Count("attempts-not-run", "", x.routeName, `status="`+strconv.Itoa(response.Status)+`"`, 1)
	if response.Status == http.StatusMisdirectedRequest {
		// Another server has the address; the entry is out of date.
		x.host.serverDown(s, now)
		return outcome{refusal: unreachable()}
	}
	s.full(now)
	return outcome{refusal: callers.Refuse(http.StatusServiceUnavailable, "shed", "the backend server is full").WithRetryAfter(retrySoon)}
}

// slowAfter is the time from which an answer of the server is slow.
func (x *exchange) slowAfter(s *server, choice placement.Choice) time.Duration {
	_, cold, _ := x.times.get()
	return x.host.distances.to(s.Region) + choice.QueueWait + slowFactor*cold
}

// measure takes in the service time of an answer.
func (x *exchange) measure(s *server, choice placement.Choice, now, took time.Duration) {
	service := took - x.host.distances.to(s.Region) - choice.QueueWait
	if service > 0 && !choice.Queued {
		s.served(now, x.times.add(x.object != 0, service))
	}
}

// outgoing is the request as the server gets it.
func (x *exchange) outgoing(s *server, left time.Duration) *http.Request {
	d := &x.host.dialect
	header := x.r.Header.Clone()
	callers.StripConnection(header)
	header.Del(d.Key)
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

func late() *callers.Refusal {
	return callers.Refuse(http.StatusServiceUnavailable, "deadline-exceeded", "the request's time is over")
}

func unreachable() *callers.Refusal {
	return callers.Refuse(http.StatusServiceUnavailable, "unreachable", "the backend server could not be reached").WithRetryAfter(retrySoon)
}

// discard gives up a response that is not passed on.
func discard(response *backends.Response) {
	if response.Rest != nil {
		// The connection is closed; there is nothing to do about an error.
		_ = response.Rest.Close()
	}
}
