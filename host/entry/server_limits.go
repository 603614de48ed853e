package entry

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"vanillatally/core/throttle"
	"vanillatally/io/events"
	"vanillatally/io/platform"
)

const (
	// maxServerLimits bounds the servers whose statements are remembered; beyond it the oldest one is dropped.
	maxServerLimits = 1024
	// forgetStatementAfter is the time without a statement after which a server's statements are forgotten.
	forgetStatementAfter = time.Minute
	// partInterval is the time between two updates of this host's part of a limit.
	partInterval = 200 * time.Millisecond
	// minLimitWait is the shortest wait for a token.
	minLimitWait = time.Millisecond
	// limitReportInterval is the time between two log lines with the requests that were sent to one server with a limit.
	limitReportInterval = 4 * time.Second
	// maxLoggedValue bounds the length of an invalid value in the log.
	maxLoggedValue = 40
)

// incarnation identifies one process of a backend server: a server that starts again knows nothing of what it said before.
type incarnation struct {
	// server is the hash of the server's ID and address.
	server  uint32
	started int64
}

func incarnationOf(listed platform.BackendServer) incarnation {
	return incarnation{server: hash32(listed.ID + " " + listed.Address), started: listed.Started}
}

// serverLimits holds what backend servers stated about the requests per second that they take from all hosts together. It
// survives a server that disappears from the list and returns.
type serverLimits struct {
	host *Host
	// limited is the number of entries with a limit in force. Without any, requests take no lock.
	limited atomic.Int64

	mu sync.Mutex
	// entries has an entry for each incarnation that stated a limit within forgetStatementAfter, up to maxServerLimits.
	entries map[incarnation]*serverLimit
}

// serverLimit is what this host knows of one server's limit.
type serverLimit struct {
	throttle.Statement
	// source is where the statement comes from.
	source noticeSource
	// changeRounds is the number of heartbeat rounds in which a changed statement is still announced; announcedAt is the time of
	// the statement that was announced last.
	changeRounds int
	announcedAt  time.Duration
	// bucket limits this host's requests to part, its part of the limit in requests per second, which was computed at partAt.
	bucket throttle.Bucket
	part   float64
	partAt time.Duration
	// sent is the number of requests that this host sent to the server since reportedAt.
	sent       int
	reportedAt time.Duration
}

// recordResponse records what a response says about the server's limit. Any response may state one. Only the application's own
// responses end it: others may come from a proxy that does not know of it.
func (l *serverLimits) recordResponse(now time.Duration, s *server, header http.Header, fromApplication bool) {
	values := header.Values(l.host.headerNames.ServerLimit)
	if len(values) == 0 {
		if fromApplication && l.limited.Load() > 0 {
			l.record(now, s.incarnation, throttle.Statement{At: now}, fromResponse)
		}
		return
	}
	rate, err := throttle.ParseRate(values[0])
	if len(values) > 1 {
		err = throttle.ErrMalformed
	}
	if err != nil {
		l.host.log.EmitRateLimited(events.ServerLimitInvalid, s.ID, "server", s.ID, "service", s.Service,
			"value", strconv.Quote(values[0][:min(len(values[0]), maxLoggedValue)]), "values", len(values), "error", err.Error())
		l.host.metrics.Count("invalid-server-limits", "", "", "", 1)
	}
	if errors.Is(err, throttle.ErrMalformed) {
		return
	}
	l.record(now, s.incarnation, throttle.Statement{PerSecond: rate, At: now}, fromResponse)
}

// record stores a statement of a server if it is newer than the known one.
func (l *serverLimits) record(now time.Duration, key incarnation, statement throttle.Statement, source noticeSource) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.entries[key]
	switch {
	case entry == nil && !statement.Limited():
		return
	case entry == nil:
		entry = l.add(now, key)
	case statement.At <= entry.At || !statement.Limited() && !entry.Limited():
		return
	}
	previous := entry.PerSecond
	entry.Statement, entry.source = statement, source
	if previous == statement.PerSecond {
		return
	}
	entry.changeRounds = noticeRounds
	entry.partAt = 0
	switch {
	case previous == 0:
		l.limited.Add(1)
		entry.bucket = throttle.NewBucket(now)
	case !statement.Limited():
		l.limited.Add(-1)
	}
	l.logChange(key, previous, entry)
}

// add adds an entry, in place of the oldest one if there are too many. The caller holds l.mu.
func (l *serverLimits) add(now time.Duration, key incarnation) *serverLimit {
	if len(l.entries) >= maxServerLimits {
		var oldest incarnation
		for other, entry := range l.entries {
			if l.entries[oldest] == nil || entry.At < l.entries[oldest].At {
				oldest = other
			}
		}
		l.remove(oldest)
	}
	entry := &serverLimit{reportedAt: now}
	l.entries[key] = entry
	return entry
}

// remove deletes an entry. The caller holds l.mu.
func (l *serverLimits) remove(key incarnation) {
	if l.entries[key].Limited() {
		l.limited.Add(-1)
	}
	delete(l.entries, key)
}

// logChange logs a change of a server's limit. The caller holds l.mu.
func (l *serverLimits) logChange(key incarnation, previous float64, entry *serverLimit) {
	id, service := l.host.serverName(key)
	event := events.ServerLimitStated
	if !entry.Limited() {
		event = events.ServerLimitEnded
	}
	l.host.log.EmitRateLimited(event, id, "server", id, "service", service, "per-second", entry.PerSecond,
		"previous", previous, "from-response", entry.source == fromResponse)
}

// serverOf returns the server of the view that runs as this process, or nil.
func (h *Host) serverOf(key incarnation) *server {
	for _, servers := range h.view.Load().services {
		for _, s := range servers {
			if s.incarnation == key {
				return s
			}
		}
	}
	return nil
}

// serverName returns the ID and the service of a server in the view, or empty strings.
func (h *Host) serverName(key incarnation) (id, service string) {
	if s := h.serverOf(key); s != nil {
		return s.ID, s.Service
	}
	return "", ""
}

// wait returns the time until this host may send the server a request; 0 if it may now.
func (l *serverLimits) wait(now time.Duration, s *server) time.Duration {
	if l.limited.Load() == 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.entries[s.incarnation]
	if entry == nil || !entry.Limited() {
		return 0
	}
	if l.updatePart(now, s, entry); entry.part == 0 {
		// The limit is for other hosts, which the caller may reach with its next request.
		return throttle.Interval(entry.PerSecond)
	}
	_, ok, wait := entry.bucket.Take(now, entry.part)
	if ok {
		return 0
	}
	return max(wait, minLimitWait)
}

// take takes a token for a request that is sent to the server now, and reports whether there was one.
func (l *serverLimits) take(now time.Duration, s *server) (ok bool) {
	if l.limited.Load() == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.entries[s.incarnation]
	if entry == nil || !entry.Limited() {
		return true
	}
	if l.updatePart(now, s, entry); entry.part == 0 {
		return false
	}
	if entry.bucket, ok, _ = entry.bucket.Take(now, entry.part); ok {
		entry.sent++
		l.host.metrics.Count("limited-server-requests", "", "", "service="+strconv.Quote(s.Service), 1)
	}
	return ok
}

// updatePart computes this host's part of the server's limit if the last value is too old. The caller holds l.mu.
func (l *serverLimits) updatePart(now time.Duration, s *server, entry *serverLimit) {
	if entry.partAt > 0 && now-entry.partAt < partInterval {
		return
	}
	rank, preferred := l.host.fleet.rankForServer(now, s)
	silence := now - entry.At
	part := throttle.Part(entry.PerSecond, rank, preferred, silence)
	if entry.part == 0 && part > 0 && !throttle.Silent(entry.PerSecond, silence) {
		// The hosts that used the limit until now may have sent their bursts.
		entry.bucket = throttle.NewBucket(now)
	}
	entry.part, entry.partAt = part, now
}

// maintain logs the requests that were sent to servers with a limit, and forgets old statements.
func (l *serverLimits) maintain(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, entry := range l.entries {
		if age := now - entry.reportedAt; age >= limitReportInterval {
			if entry.sent > 0 {
				id, service := l.host.serverName(key)
				l.host.log.EmitRateLimited(events.ServerLimitUsed, "", "server", id, "service", service,
					"per-second", entry.PerSecond, "part", entry.part, "sent", entry.sent, "in", age)
			}
			entry.sent, entry.reportedAt = 0, now
		}
		if now-entry.At > forgetStatementAfter {
			l.remove(key)
		}
	}
}
