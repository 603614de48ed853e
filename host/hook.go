package host

import (
	"strconv"
	"sync/atomic"

	"vanillatally/host/request"
	"vanillatally/io/events"
	"vanillatally/io/scrapers"
)

// hook turns what the request path reports into metrics, log events and decisions.
type hook struct {
	metrics  *scrapers.Metrics
	log      *events.Log
	inFlight atomic.Int64
}

// serverEvents maps the request path's event names to log events; others are only counted.
var serverEvents = map[string]events.Event{
	"request-quarantined": events.RequestQuarantined,
}

// RequestFinished implements request.Hook.
func (h *hook) RequestFinished(f request.FinishedRequest) {
	team := f.Team
	if team == "" {
		team = "none"
	}
	h.metrics.Observe("request-time", team, f.Route, "queue", f.QueueTime)
	h.metrics.Observe("request-time", team, f.Route, "backend-server", f.BackendTime)
	h.metrics.Observe("request-time", team, f.Route, "own", f.OverheadTime)
	if f.Reason == "" {
		h.metrics.Count("requests", team, f.Route, "status="+strconv.Quote(strconv.Itoa(f.Status)), 1)
		return
	}
	h.metrics.Count("refusals", team, f.Route, "reason="+strconv.Quote(f.Reason), 1)
	h.log.EmitRateLimited(events.RequestRefused, f.Reason, "team", team, "route", f.Route, "reason", f.Reason, "ran", f.Ran)
	h.log.RecordDecision("request", team, "refused", f.Reason+" ("+string(f.Ran)+") on route "+f.Route+" at server "+f.Server)
}

// Event implements request.Hook.
func (h *hook) Event(name, subject string) {
	h.metrics.Count("request-events", "", "", "event="+strconv.Quote(name), 1)
	if event, ok := serverEvents[name]; ok {
		h.log.Emit(event, "subject", subject)
		h.log.RecordDecision("request", subject, name, event.Meaning)
	}
}
