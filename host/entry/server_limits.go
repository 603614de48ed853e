package entry

import (
	"net/http"
	"strconv"
	"sync"
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
	mu   sync.Mutex
	// entries has an entry for each incarnation that stated a limit within forgetStatementAfter, up to maxServerLimits.
	entries map[incarnation]*serverLimit
}

// serverLimit is what this host knows of one server's limit.
type serverLimit struct {
	throttle.Statement
	// name and service are those of the server; they are empty until this host talks to it.
	name, service string
	// sent is the number of requests that this host sent to the server since reportedAt.
	sent       int
	reportedAt time.Duration
}

// recordResponse records what a response says about the server's limit. Any response may state one. Only the application's own
// responses end it: others may come from a proxy that does not know of it.
func (l *serverLimits) recordResponse(now time.Duration, s *server, header http.Header, fromApplication bool) {
	values := header.Values(l.host.headerNames.ServerLimit)
	if len(values) == 0 {
		if fromApplication {
			l.record(s, throttle.Statement{At: now})
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
	l.record(s, throttle.Statement{PerSecond: rate, At: now})
}

// record stores a statement of the server.
func (l *serverLimits) record(s *server, statement throttle.Statement) {
	l.mu.Lock()
	entry := l.entries[s.incarnation]
	if entry == nil && !statement.Limited() {
		l.mu.Unlock()
		return
	}
	if entry == nil {
		entry = l.add(s.incarnation, statement.At)
	}
	entry.name, entry.service = s.ID, s.Service
	previous := entry.Statement
	entry.Statement = previous.With(statement)
	current := entry.Statement
	l.mu.Unlock()
	l.logChange(s, previous, current)
}

// add adds an entry, in place of the oldest one if there are too many. The caller holds l.mu.
func (l *serverLimits) add(key incarnation, now time.Duration) *serverLimit {
	if len(l.entries) >= maxServerLimits {
		var oldest incarnation
		for other, entry := range l.entries {
			if oldest == (incarnation{}) || entry.At < l.entries[oldest].At {
				oldest = other
			}
		}
		delete(l.entries, oldest)
	}
	entry := &serverLimit{reportedAt: now}
	l.entries[key] = entry
	return entry
}

// logChange logs a change of a server's limit.
func (l *serverLimits) logChange(s *server, previous, current throttle.Statement) {
	switch {
	case current.PerSecond == previous.PerSecond:
	case current.Limited():
		l.host.log.EmitRateLimited(events.ServerLimitStated, s.ID, "server", s.ID, "service", s.Service,
			"per-second", current.PerSecond, "previous", previous.PerSecond)
	default:
		l.host.log.EmitRateLimited(events.ServerLimitEnded, s.ID, "server", s.ID, "service", s.Service,
			"previous", previous.PerSecond)
	}
}

// countRequest counts a request that is sent to the server, if it states a limit.
func (l *serverLimits) countRequest(s *server, route string) {
	l.mu.Lock()
	entry := l.entries[s.incarnation]
	limited := entry != nil && entry.Limited()
	if limited {
		entry.sent++
	}
	l.mu.Unlock()
	if limited {
		l.host.metrics.Count("limited-server-requests", "", route, "", 1)
	}
}

// limited returns the number of servers that state a limit.
func (l *serverLimits) limited() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, entry := range l.entries {
		if entry.Limited() {
			n++
		}
	}
	return n
}

// maintain logs the requests that were sent to servers with a limit, and forgets old statements.
func (l *serverLimits) maintain(now time.Duration) {
	l.mu.Lock()
	var reports [][]any
	for key, entry := range l.entries {
		if age := now - entry.reportedAt; age >= limitReportInterval {
			if entry.sent > 0 {
				reports = append(reports, []any{
					"server", entry.name, "service", entry.service, "per-second", entry.PerSecond, "sent", entry.sent, "in", age,
				})
			}
			entry.sent, entry.reportedAt = 0, now
		}
		if now-entry.At > forgetStatementAfter {
			delete(l.entries, key)
		}
	}
	l.mu.Unlock()
	for _, attributes := range reports {
		l.host.log.EmitRateLimited(events.ServerLimitUsed, "", attributes...)
	}
}
