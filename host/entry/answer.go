package entry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"vanillatally/io/backends"
	"vanillatally/io/callers"
	"vanillatally/io/events"
)

// writeResponse passes a server's response on to the caller. It returns errResponseAborted if the response cannot be
// completed.
func (x *exchange) writeResponse(response *backends.Response) error {
	// Closes the server's connection if the response was not read to its end, also when a write panics.
	defer discardResponse(response)
	x.status = response.Status
	// The request is not sent again.
	x.releaseBody()
	x.responseReservation.received()
	callers.StripHopByHopHeaders(response.Header)
	header := x.w.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	if _, present := header["Content-Type"]; !present {
		// An empty value keeps net/http from detecting the type.
		header["Content-Type"] = nil
	}
	bodyAllowed := response.Status != http.StatusNoContent && response.Status != http.StatusNotModified &&
		x.r.Method != http.MethodHead
	if response.RemainingBody == nil && bodyAllowed {
		header["Content-Length"] = []string{strconv.Itoa(len(response.Body))}
	}
	x.w.WriteHeader(response.Status)
	if err := x.writeBuffered(response); err != nil && bodyAllowed {
		return errResponseAborted
	}
	if response.RemainingBody == nil {
		x.finishResponse()
		return nil
	}
	response.Body = nil
	x.openResponseReservation()
	x.responseReservation.streamFrom(x.lastServer.Address)
	if err := callers.Stream(x.w, response.RemainingBody, x.extendWrite); err != nil {
		x.recordIncompleteResponse(err)
		return errResponseAborted
	}
	x.finishResponse()
	x.host.crashTracker.recordAnswer(x.host.now(), x.lastServer.Address, x.fingerprint, x.attemptStarted)
	return nil
}

// recordIncompleteResponse lowers the server's success rate if a streamed response ended early because of the server, and not
// because the caller closed the connection.
func (x *exchange) recordIncompleteResponse(err error) {
	var failure *backends.Failure
	if !errors.As(err, &failure) || failure.Cause == backends.CauseCancelled {
		return
	}
	now := x.host.now()
	x.lastServer.recordResult(now, true)
	if failure.Cause == backends.CauseTruncated {
		x.recordUnanswered(x.lastServer, failure.Cause, now)
	}
}

// recordOutcome counts the request in the metrics and logs its outcome.
func (x *exchange) recordOutcome(refusal *callers.Refusal, err error) {
	team := "none"
	if x.team != nil {
		team = x.team.Name
	}
	elapsed := time.Since(x.received)
	metrics := x.host.metrics
	metrics.Observe("request-time", team, x.routeName, "total", elapsed)
	if refusal == nil && err == nil {
		metrics.Count("requests", team, x.routeName, "status="+strconv.Quote(strconv.Itoa(x.status)), 1)
		if x.status < http.StatusInternalServerError {
			x.host.log.Emit(events.RequestServed, "request", x.id, "team", team, "route", x.routeName, "server", x.server,
				"status", x.status, "tries", x.attempts+1, "expected", x.expectedLatency, "took", elapsed)
			return
		}
	}
	reason, ran, status := "server-error", callers.RunUnknown, x.status
	switch {
	case refusal != nil:
		reason, ran, status = refusal.Reason, refusal.Ran, refusal.Status
	case err != nil:
		reason = "aborted"
	}
	metrics.Count("refusals", team, x.routeName, "reason="+strconv.Quote(reason), 1)
	x.host.log.EmitRateLimited(events.RequestRefused, reason, append(x.logAttributes,
		"request", x.id, "team", team, "route", x.routeName, "service", x.service, "server", x.server,
		"reason", reason, "ran", ran, "status", status, "tries", x.attempts, "expected", x.expectedLatency,
		"left", x.timeLeft(), "took", elapsed, "sequence", x.configurationSequence())...)
}

// timeLeft returns the time until the deadline, or 0 before the deadline is known.
func (x *exchange) timeLeft() time.Duration {
	if x.deadline.IsZero() {
		return 0
	}
	return time.Until(x.deadline)
}

func (x *exchange) configurationSequence() uint64 {
	if c := x.host.view.Load().configuration; c != nil {
		return c.Sequence
	}
	return 0
}
