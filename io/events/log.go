package events

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"
)

// decisionCapacity is the number of decisions that are kept. Then a new one overwrites the oldest.
const decisionCapacity = 4096

// Decision is one decision of the host, with its reason.
type Decision struct {
	Time time.Time `json:"time"`
	// Kind is the component that decided, such as "admission" or "rollout".
	Kind string `json:"kind"`
	// Subject is the team, route, server or move that was decided about.
	Subject string `json:"subject"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
}

// Log writes events as log lines and keeps the newest decisions.
type Log struct {
	logger *slog.Logger

	mu sync.Mutex
	// lineCounts counts the lines by event and reason in the second that began at countedSince.
	lineCounts   map[rateLimitKey]int
	countedSince time.Time
	// decisions is a ring buffer of at most decisionCapacity entries. nextDecision is the index that is overwritten next, once
	// it is full.
	decisions    []Decision
	nextDecision int
}

// NewLog returns a log that writes JSON lines to out.
func NewLog(out io.Writer, level slog.Level, host string) *Log {
	handler := slog.NewJSONHandler(out, &slog.HandlerOptions{Level: level})
	return &Log{logger: slog.New(handler).With("host", host)}
}

// Logger returns the logger for components that log without an event number.
func (l *Log) Logger() *slog.Logger { return l.logger }

// Emit logs an event. The attributes are alternating keys and values.
func (l *Log) Emit(event Event, attributes ...any) {
	if !l.logger.Enabled(context.Background(), event.Level) {
		return
	}
	l.logger.Log(context.Background(), event.Level, event.Message, append([]any{"event", event.Number}, attributes...)...)
}

// RecordDecision keeps a decision for Decisions.
func (l *Log) RecordDecision(kind, subject, outcome, reason string) {
	d := Decision{Time: time.Now(), Kind: kind, Subject: subject, Outcome: outcome, Reason: reason}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.decisions) < decisionCapacity {
		l.decisions = append(l.decisions, d)
		return
	}
	l.decisions[l.nextDecision] = d
	l.nextDecision = (l.nextDecision + 1) % decisionCapacity
}

// Decisions returns the decisions of a kind about a subject, newest first. An empty kind or subject matches all. At most
// limit decisions are returned; a negative limit returns all.
func (l *Log) Decisions(kind, subject string, limit int) []Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []Decision
	for i := range l.decisions {
		d := l.decisions[(l.nextDecision+len(l.decisions)-1-i)%len(l.decisions)]
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
	// maxLinesPerSecond bounds the lines of one event and reason in a second.
	maxLinesPerSecond = 20
	// maxRateLimitKeys bounds the memory for counting. Above it, all lines of an event share one limit.
	maxRateLimitKeys = 256
)

// rateLimitKey identifies the lines that share a rate limit.
type rateLimitKey struct {
	event  int
	reason string
}

// EmitRateLimited logs an event like Emit, but at most maxLinesPerSecond lines of the event and reason in a second. The number
// of omitted lines is logged by a later call, as the event LinesOmitted.
func (l *Log) EmitRateLimited(event Event, reason string, attributes ...any) {
	if !l.logger.Enabled(context.Background(), event.Level) {
		return
	}
	now := time.Now()
	key := rateLimitKey{event.Number, reason}
	l.mu.Lock()
	var previous map[rateLimitKey]int
	if l.lineCounts == nil || now.Sub(l.countedSince) >= time.Second {
		previous, l.lineCounts, l.countedSince = l.lineCounts, map[rateLimitKey]int{}, now
	}
	if len(l.lineCounts) >= maxRateLimitKeys {
		key.reason = ""
	}
	l.lineCounts[key]++
	allowed := l.lineCounts[key] <= maxLinesPerSecond
	l.mu.Unlock()
	for key, lines := range previous {
		if lines > maxLinesPerSecond {
			l.Emit(LinesOmitted, "of", key.event, "reason", key.reason, "count", lines-maxLinesPerSecond)
		}
	}
	if allowed {
		l.Emit(event, attributes...)
	}
}
