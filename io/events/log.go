package events

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"
)

// decisionCapacity bounds the decision log; the oldest decision is overwritten.
const decisionCapacity = 4096

// Decision answers why something was decided.
type Decision struct {
	Time time.Time `json:"time"`
	// Kind is the part that decided, such as "admission" or "rollout".
	Kind string `json:"kind"`
	// Subject is the team, route, server or move that was decided about.
	Subject string `json:"subject"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
}

// Log writes numbered events and keeps the newest decisions.
type Log struct {
	logger *slog.Logger

	mu sync.Mutex
	// bounds counts the lines of the current second by event and reason; it is emptied each second.
	bounds   map[bound]int
	boundsAt time.Time
	// decisions is a ring of at most decisionCapacity entries; next is where the next one goes.
	decisions []Decision
	next      int
}

// NewLog returns a log that writes JSON lines to out.
func NewLog(out io.Writer, level slog.Level, host string) *Log {
	handler := slog.NewJSONHandler(out, &slog.HandlerOptions{Level: level})
	return &Log{logger: slog.New(handler).With("host", host)}
}

// Logger returns the logger for parts that log without a numbered event.
func (l *Log) Logger() *slog.Logger { return l.logger }

// Emit writes one event with attributes as alternating keys and values.
func (l *Log) Emit(event Event, attributes ...any) {
	if !l.logger.Enabled(context.Background(), event.Level) {
		return
	}
	l.logger.Log(context.Background(), event.Level, event.Message, append([]any{"event", event.Number}, attributes...)...)
}

// RecordDecision records one decision.
func (l *Log) RecordDecision(kind, subject, outcome, reason string) {
	d := Decision{Time: time.Now(), Kind: kind, Subject: subject, Outcome: outcome, Reason: reason}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.decisions) < decisionCapacity {
		l.decisions = append(l.decisions, d)
		return
	}
	l.decisions[l.next] = d
	l.next = (l.next + 1) % decisionCapacity
}

// Decisions returns the newest decisions, newest first, that match kind and subject; an empty filter matches all.
func (l *Log) Decisions(kind, subject string, limit int) []Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []Decision
	for i := range l.decisions {
		d := l.decisions[(l.next+len(l.decisions)-1-i)%len(l.decisions)]
		if (kind == "" || d.Kind == kind) && (subject == "" || d.Subject == subject) {
			found = append(found, d)
		}
		if len(found) == limit {
			break
		}
	}
	return found
}

const (
	// linesPerSecond bounds the lines of one event and reason.
	linesPerSecond = 20
	// maxBounds bounds the reasons that are told apart in a second.
	maxBounds = 256
)

type bound struct {
	event  int
	reason string
}

// EmitRateLimited writes one event like Emit, but at most linesPerSecond lines of the event and reason in a second. How
// many were left out is written in the next second.
func (l *Log) EmitRateLimited(event Event, reason string, attributes ...any) {
	if !l.logger.Enabled(context.Background(), event.Level) {
		return
	}
	now := time.Now()
	key := bound{event.Number, reason}
	l.mu.Lock()
	var ended map[bound]int
	if l.bounds == nil || now.Sub(l.boundsAt) >= time.Second {
		ended, l.bounds, l.boundsAt = l.bounds, map[bound]int{}, now
	}
	if len(l.bounds) >= maxBounds {
		key.reason = ""
	}
	l.bounds[key]++
	allowed := l.bounds[key] <= linesPerSecond
	l.mu.Unlock()
	for key, lines := range ended {
		if lines > linesPerSecond {
			l.Emit(LinesOmitted, "of", key.event, "reason", key.reason, "count", lines-linesPerSecond)
		}
	}
	if allowed {
		l.Emit(event, attributes...)
	}
}
