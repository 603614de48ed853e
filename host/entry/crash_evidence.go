package entry

import (
	"context"
	"strconv"
	"time"

	"vanillatally/core/quarantine"
	"vanillatally/io/backends"
	"vanillatally/io/events"
	"vanillatally/io/platform"
)

// crashCheckPauses are the pauses before each check of a server that left a request unanswered. The first one gives a crashed
// process time to close its other sockets, which it does in no fixed order.
var crashCheckPauses = [...]time.Duration{20 * time.Millisecond, 200 * time.Millisecond}

// The evidence that a server crashed while it ran a request whose connection broke.
const (
	connectionRefused = "connection-refused"
	addressTakenOver  = "address-taken-over"
	processRestarted  = "process-restarted"
	reportedByHost    = "reported"
)

// recordUnanswered records that the connection to the server broke before the response to the request was complete, and starts
// checks whether the server has crashed. Otherwise a crash stays unknown while no other request goes to the server.
func (x *exchange) recordUnanswered(s *server, cause backends.Cause, now time.Duration) {
	h := x.host
	h.log.EmitRateLimited(events.AttemptUnanswered, s.ID, "id", x.id, "fingerprint", formatFingerprint(x.fingerprint),
		"server", s.ID, "cause", string(cause))
	if h.isLeaving(s) {
		// A server that leaves closes the connections of the requests that it cannot finish.
		return
	}
	h.crashTracker.recordUnanswered(s, x.fingerprint, quarantine.Run{Started: x.attemptStarted, Ended: now})
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.checkingCrash {
		return
	}
	// Too many probes may be running. Requests that are sent to the server later still show whether it has crashed.
	s.checkingCrash = h.probes.TryGo(func() error { h.checkCrash(s); return nil })
}

// isLeaving reports whether the server is about to end or has left the list.
func (h *Host) isLeaving(s *server) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	listed := h.servers[s.ID]
	return listed == nil || listed.Leaving
}

// checkCrash checks whether a server that left a request unanswered refuses connections.
func (h *Host) checkCrash(s *server) {
	defer func() {
		s.mu.Lock()
		s.checkingCrash = false
		s.mu.Unlock()
	}()
	for _, pause := range crashCheckPauses {
		select {
		case <-h.stopping:
			return
		case <-time.After(pause):
		}
		if !h.crashTracker.hasUnanswered(s.Address) {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		failure := h.client.CheckListening(ctx, s.Address)
		cancel()
		if failure != nil && backends.IsConnectionRefused(failure) {
			h.recordDialFailure(s, failure, h.now())
			return
		}
	}
}

// recordDialFailure records that no connection to the server could be opened. Only a refused connection shows that the server's
// process has ended: after a timeout it may be cut off.
func (h *Host) recordDialFailure(s *server, failure *backends.Failure, now time.Duration) {
	if backends.IsConnectionRefused(failure) {
		h.recordGone(s, now, connectionRefused)
	}
	h.markServerDown(s, now)
}

// recordGone counts the end of the server's process against the requests that it left unanswered.
func (h *Host) recordGone(s *server, now time.Duration, evidence string) {
	h.announceCrashes(h.crashTracker.recordGone(now, s.Address), s.ID, evidence)
}

// recordNewProcess counts the crash of an earlier process, which a listed server replaces, against the requests that it left
// unanswered. known is the earlier entry of the server, or nil. The caller holds h.mu.
func (h *Host) recordNewProcess(now time.Duration, known *server, listed platform.BackendServer) {
	h.announceCrashes(h.crashTracker.recordProcess(now, listed.Address, incarnationOf(listed)), listed.ID, processRestarted)
	if known != nil && known.Address != listed.Address {
		h.announceCrashes(h.crashTracker.recordProcess(now, known.Address, incarnationOf(listed)), listed.ID, processRestarted)
	}
}

// handleCrashes records crashes that other hosts observed. A delegate also announces the new ones.
func (f *fleet) handleCrashes(now time.Duration, reported []Crash) {
	for _, report := range reported {
		crash, isNew := f.host.crashTracker.recordReported(now, report)
		if !isNew {
			continue
		}
		f.host.logCrash(crash, "", reportedByHost)
		if f.isDelegate(now) {
			f.host.crashTracker.announce(crash.Fingerprint)
			f.hurryAnnouncement(crash)
		}
	}
}

// announceCrashes logs new crashes. Other hosts learn of them in the next heartbeats.
func (h *Host) announceCrashes(crashes []Crash, server, evidence string) {
	for _, crash := range crashes {
		h.logCrash(crash, server, evidence)
		h.fleet.hurryAnnouncement(crash)
	}
}

// hurryAnnouncement lets the next heartbeats follow at once if the request is quarantined, since its caller may send it again to
// any host.
func (f *fleet) hurryAnnouncement(crash Crash) {
	if crash.Number >= quarantineCrashes {
		notify(f.urgentNews)
	}
}

// logCrash logs that a crash counts against a request. evidence says how it is known that the server crashed.
func (h *Host) logCrash(crash Crash, server, evidence string) {
	fingerprint := formatFingerprint(crash.Fingerprint)
	h.metrics.Count("request-crashes", "", "", "evidence="+strconv.Quote(evidence), 1)
	h.log.EmitRateLimited(events.CrashCounted, evidence, "fingerprint", fingerprint, "number", crash.Number, "server", server,
		"evidence", evidence)
	if crash.Number >= quarantineCrashes {
		h.log.EmitRateLimited(events.RequestQuarantined, "", "fingerprint", fingerprint)
	}
}

// formatFingerprint returns the fingerprint of a request as the log shows it.
func formatFingerprint(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 16) }
