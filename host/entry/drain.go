package entry

import (
	"context"
	"net/http"
	"time"

	"vanillatally/io/callers"
	"vanillatally/io/events"
	"vanillatally/io/settings"
)

const (
	// drainNotice is the time for which a draining host still accepts requests, while it asks callers to close their connections. It
	// is at most half of the drain time, so that the last ones can finish.
	drainNotice = 2500 * time.Millisecond
	// drainMargin is the time at the end of the grace period that is reserved for stopping the process.
	drainMargin = 500 * time.Millisecond
	// drainResponseMargin is the time that a draining host reserves for passing on its last responses.
	drainResponseMargin = 100 * time.Millisecond
)

// drainTime returns the time in which a draining host finishes its requests.
func drainTime(limits settings.EntryHostLimits) time.Duration {
	return time.Duration(limits.GracePeriod) - drainMargin
}

// drainNoticeFor returns the time for which a draining host accepts requests.
func drainNoticeFor(limits settings.EntryHostLimits) time.Duration {
	return min(drainNotice, drainTime(limits)/2)
}

// drain removes this host from lookups and waits for the requests in flight until the grace period ends.
func (h *Host) drain() {
	limit := drainTime(*h.limits.Load())
	h.drainDeadline.Store(int64(h.now() + limit))
	h.draining.Store(true)
	// A probe may take as long as the rest of the grace period. Requests that wait for a slot must learn of its end.
	close(h.stopping)
	h.log.Emit(events.HostDraining, "in-flight", h.inFlight.Load())
	h.fleet.sendHeartbeats()
	// The last requests get an answer, while there is time to write it.
	defer time.AfterFunc(limit-drainResponseMargin, h.endGrace).Stop()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := h.callers.Shutdown(ctx); err != nil {
		h.log.Emit(events.DrainTimedOut, "error", err, "in-flight", h.inFlight.Load())
	}
	h.fleet.sendHeartbeats()
}

// limitToDrain ends the request's time with the drain, if the host is draining: requests that cannot finish within the grace
// period still get a response before the host closes its connections.
func (x *exchange) limitToDrain() {
	if !x.host.draining.Load() {
		return
	}
	if at := x.host.start.Add(time.Duration(x.host.drainDeadline.Load()) - drainResponseMargin); at.Before(x.deadline) {
		x.deadline = at
	}
}

// graceOver refuses a request that a stopping host cannot finish. fail turns it into a 502 if a server may have run the request.
func graceOver() *callers.Refusal {
	return callers.Refuse(http.StatusServiceUnavailable, "host-stopped", "the host's time to finish requests is over").
		WithRetryAfter(shortRetryAfter)
}
