package entry

import (
	"strconv"

	"vanillatally/io/backends"
	"vanillatally/io/events"
)

// logUnanswered logs that the connection to the server broke before the response to the request was complete.
func (x *exchange) logUnanswered(s *server, cause backends.Cause) {
	x.host.log.EmitRateLimited(events.AttemptUnanswered, s.ID, "id", x.id, "fingerprint", formatFingerprint(x.fingerprint),
		"server", s.ID, "cause", string(cause))
}

// logCrash logs that a crash counts against a request. evidence says how it is known that the server crashed.
func (h *Host) logCrash(crash Crash, server, evidence string) {
	h.metrics.Count("request-crashes", "", "", "evidence="+strconv.Quote(evidence), 1)
	h.log.EmitRateLimited(events.CrashCounted, evidence, "fingerprint", formatFingerprint(crash.Fingerprint), "server", server,
		"evidence", evidence)
}

// formatFingerprint returns the fingerprint of a request as the log shows it.
func formatFingerprint(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 16) }
