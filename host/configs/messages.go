package configs

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"vanillatally/core/config"
	"vanillatally/io/peers"
)

// The kinds of messages between hosts.
const (
	// KindChange is broadcast by the host that wrote a change, or by a relay that saw it first.
	KindChange = "config-change"
	// KindFreshness is broadcast by relays.
	KindFreshness = "config-freshness"
	// KindPull asks for what is newer than a sequence.
	KindPull = "config-pull"
	// KindConfirm reports a sequence in force to the host that wrote it.
	KindConfirm = "config-confirm"
	// KindStatus asks for the sequence in force.
	KindStatus = "config-status"
)

// announcement carries one accepted change.
type announcement struct {
	// Writer waits for confirmations; it is empty when a relay announces.
	Writer string        `cbor:"w,omitempty"`
	Change config.Change `cbor:"c"`
}

// statement says that a sequence is the newest one as of now.
type statement struct {
	Relay string `cbor:"r"`
	// Number rises with every statement of a relay, across its restarts too, so that delayed ones are ignored.
	Number   uint64 `cbor:"n"`
	Sequence uint64 `cbor:"s"`
	// Contact is set when the root is a store read that is AgeMillis old, and not set when the store is unreachable.
	Contact   bool   `cbor:"c"`
	AgeMillis uint64 `cbor:"a"`
	// Instance identifies the relay's process, SentMillis is the time of sending on its monotonic clock.
	Instance   uint64 `cbor:"i"`
	SentMillis uint64 `cbor:"t"`
}

type pullRequest struct {
	After uint64 `cbor:"a"`
}

// pullAnswer holds the changes that follow, or the whole configuration when they are no longer retained.
type pullAnswer struct {
	Changes []config.Change `cbor:"c,omitempty"`
	Whole   []byte          `cbor:"w,omitempty"`
}

// status is a request with the asker's sequence, and the answer with the answerer's.
type status struct {
	Sequence uint64 `cbor:"s"`
}

func (s *Service) register(table *peers.HandlerTable) {
	peers.Handle(table, KindChange, func(ctx context.Context, from string, a announcement) (struct{}, error) {
		s.receive(ctx, from, a)
		return struct{}{}, nil
	})
	peers.Handle(table, KindFreshness, func(_ context.Context, _ string, st statement) (struct{}, error) {
		s.heard(st)
		return struct{}{}, nil
	})
	peers.Handle(table, KindPull, func(_ context.Context, _ string, req pullRequest) (pullAnswer, error) {
		return s.answerPull(req)
	})
	peers.Handle(table, KindConfirm, func(_ context.Context, from string, st status) (struct{}, error) {
		s.confirm(from, st.Sequence)
		return struct{}{}, nil
	})
	peers.Handle(table, KindStatus, func(_ context.Context, from string, st status) (status, error) {
		s.ObserveSequence(from, st.Sequence)
		return status{Sequence: s.Sequence()}, nil
	})
}

// receive handles a broadcast change.
func (s *Service) receive(ctx context.Context, from string, a announcement) {
	s.mu.Lock()
	s.broadcast = max(s.broadcast, a.Change.Sequence)
	s.mu.Unlock()
	current := s.Current()
	switch {
	case current != nil && a.Change.Sequence <= current.Sequence:
	case current != nil && a.Change.Sequence == current.Sequence+1:
		next, err := current.WithChange(a.Change)
		if err != nil {
			s.opts.Logger.Warn("broadcast change does not apply; pulling the whole configuration", "error", err)
			s.hint(hint{host: from, sequence: a.Change.Sequence, writer: a.Writer})
			return
		}
		s.take(&next, &a.Change)
	default:
		s.hint(hint{host: from, sequence: a.Change.Sequence, writer: a.Writer})
		return
	}
	s.report(ctx, a.Writer)
}

// report tells the writer which sequence is in force. A lost report is found out by the writer's own asking.
func (s *Service) report(ctx context.Context, writer string) {
	if writer == "" || writer == s.opts.Host {
		return
	}
	if err := peers.Send(ctx, s.opts.Caller, writer, KindConfirm, status{Sequence: s.Sequence()}); err != nil {
		s.opts.Logger.Debug("confirmation was not sent", "writer", writer, "error", err)
	}
}

func (s *Service) answerPull(req pullRequest) (answer pullAnswer, err error) {
	current := s.Current()
	if current == nil || current.Sequence <= req.After {
		return answer, nil
	}
	s.mu.Lock()
	changes, ok := s.history.after(req.After)
	s.mu.Unlock()
	if ok {
		return pullAnswer{Changes: changes}, nil
	}
	answer.Whole, err = current.Encode()
	return answer, err
}

// announce broadcasts an accepted change.
func (s *Service) announce(ctx context.Context, writer string, change config.Change) {
	s.mu.Lock()
	s.broadcast = max(s.broadcast, change.Sequence)
	s.mu.Unlock()
	s.flood(ctx, KindChange, announcement{Writer: writer, Change: change})
}

func (s *Service) flood(ctx context.Context, kind string, message any) {
	body, err := cbor.Marshal(message)
	if err == nil {
		err = s.opts.Members.Broadcast(ctx, kind, body)
	}
	if err != nil && ctx.Err() == nil {
		s.opts.Logger.Warn("broadcast failed", "kind", kind, "error", err)
	}
}
