package host

import (
	"strconv"
	"sync/atomic"

	"vanillatally/host/request"
	"vanillatally/io/events"
	"vanillatally/io/scrapers"
)

// requestHook turns events of request processing into metrics, log lines and decisions.
type requestHook struct {
	metrics  *scrapers.Metrics
	log      *events.Log
	inFlight atomic.Int64
}

// loggedEvents maps names of request events to log events. Other request events are only counted.
var loggedEvents = map[string]events.Event{
	"request-quarantined": events.RequestQuarantined,
}

// RequestFinished implements request.Hook.
func (h *requestHook) RequestFinished(finished request.FinishedRequest) {
	team := finished.Team
	if team == "" {
		team = "none"
	}
	h.metrics.Observe("request-time", team, finished.Route, "queue", finished.QueueTime)
	h.metrics.Observe("request-time", team, finished.Route, "backend-server", finished.BackendTime)
	h.metrics.Observe("request-time", team, finished.Route, "own", finished.OverheadTime)
	if finished.Reason == "" {
		h.metrics.Count("requests", team, finished.Route, "status="+strconv.Quote(strconv.Itoa(finished.Status)), 1)
		return
	}
	h.metrics.Count("refusals", team, finished.Route, "reason="+strconv.Quote(finished.Reason), 1)
	h.log.EmitRateLimited(events.RequestRefused, finished.Reason,
		"team", team, "route", finished.Route, "reason", finished.Reason, "ran", finished.Ran)
	h.log.RecordDecision("request", team, "refused",
		finished.Reason+" ("+string(finished.Ran)+") on route "+finished.Route+" at server "+finished.Server)
}

// Event implements request.Hook.
func (h *requestHook) Event(name, subject string) {
	h.metrics.Count("request-events", "", "", "event="+strconv.Quote(name), 1)
	if event, ok := loggedEvents[name]; ok {
		h.log.Emit(event, "subject", subject)
		h.log.RecordDecision("request", subject, name, event.Meaning)
	}
}
