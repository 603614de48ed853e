package configs

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"vanillatally/core/config"
	"vanillatally/io/peers"
)

// Kinds of messages between hosts.
const (
	// KindChange carries a change. The host that wrote the change broadcasts it, or a relay when that host failed to.
	KindChange = "config-change"
	// KindFreshness carries a freshness statement, which relays broadcast.
	KindFreshness = "config-freshness"
	// KindPull requests the changes after a sequence.
	KindPull = "config-pull"
	// KindConfirm reports to the host that wrote a change which sequence is in force at the sender.
	KindConfirm = "config-confirm"
	// KindStatus requests the sequence in force at the receiver.
	KindStatus = "config-status"
)

// changeMessage carries one change that was written to the store.
type changeMessage struct {
	// Writer is the host that waits for confirmations. It is empty when a relay broadcasts the change.
	Writer string        `cbor:"w,omitempty"`
	Change config.Change `cbor:"c"`
}

// freshnessStatement says that Sequence is the newest sequence as of AgeMillis before the time of sending.
type freshnessStatement struct {
	Relay string `cbor:"r"`
	// Number increases with each statement of a relay, also across restarts, so that receivers can ignore statements
	// that arrive out of order.
	Number   uint64 `cbor:"n"`
	Sequence uint64 `cbor:"s"`
	// StoreContact says that the statement is based on a store read that is AgeMillis old. Otherwise the store is
	// unreachable, and the statement is based on the response of a peer.
	StoreContact bool   `cbor:"c"`
	AgeMillis    uint64 `cbor:"a"`
	// Instance identifies the relay's process. SentMillis is the time of sending on the monotonic clock of that process.
	Instance   uint64 `cbor:"i"`
	SentMillis uint64 `cbor:"t"`
}

// age returns the age of the statement, at most FreshnessTTL: a statement that old proves nothing, and a faulty, very large age
// would overflow.
func (st freshnessStatement) age() time.Duration {
	return time.Duration(min(st.AgeMillis, uint64(FreshnessTTL.Milliseconds()))) * time.Millisecond
}

type pullRequest struct {
	After uint64 `cbor:"a"`
}

// pullResponse holds the changes after the requested sequence, or the full configuration if the history no longer has
// all of them.
type pullResponse struct {
	Changes []config.Change `cbor:"c,omitempty"`
	Full    []byte          `cbor:"w,omitempty"`
}

// sequenceMessage holds the sequence in force at its sender. It serves as a request and as a response.
type sequenceMessage struct {
	Sequence uint64 `cbor:"s"`
}

func (s *Service) registerHandlers(table *peers.HandlerTable) {
	peers.Handle(table, KindChange, func(ctx context.Context, from string, m changeMessage) (struct{}, error) {
		s.handleChange(ctx, from, m)
		return struct{}{}, nil
	})
	peers.Handle(table, KindFreshness, func(_ context.Context, _ string, st freshnessStatement) (struct{}, error) {
		s.handleStatement(st)
		return struct{}{}, nil
	})
	peers.Handle(table, KindPull, func(_ context.Context, _ string, req pullRequest) (pullResponse, error) {
		return s.handlePull(req)
	})
	peers.Handle(table, KindConfirm, func(_ context.Context, from string, m sequenceMessage) (struct{}, error) {
		s.recordConfirmation(from, m.Sequence)
		return struct{}{}, nil
	})
	peers.Handle(table, KindStatus, func(_ context.Context, from string, m sequenceMessage) (sequenceMessage, error) {
		s.ObserveSequence(from, m.Sequence)
		return sequenceMessage{Sequence: s.Sequence()}, nil
	})
}

// handleChange puts a broadcast change in force if it is the next one, and otherwise pulls the missing changes.
func (s *Service) handleChange(ctx context.Context, from string, m changeMessage) {
	s.mu.Lock()
	s.lastBroadcast = max(s.lastBroadcast, m.Change.Sequence)
	s.mu.Unlock()
	current := s.Current()
	switch {
	case current != nil && m.Change.Sequence <= current.Sequence:
	case current != nil && m.Change.Sequence == current.Sequence+1:
		next, err := current.WithChange(m.Change)
		if err != nil {
			s.opts.Logger.Warn("cannot apply a broadcast change; pulling from its sender", "error", err)
			s.requestPull(pullHint{host: from, sequence: m.Change.Sequence, writer: m.Writer})
			return
		}
		s.install(&next, &m.Change)
	default:
		s.requestPull(pullHint{host: from, sequence: m.Change.Sequence, writer: m.Writer})
		return
	}
	s.sendConfirmation(ctx, m.Writer)
}

// sendConfirmation reports to the host that wrote a change which sequence is in force here. If the confirmation is lost, the
// writer asks for it.
func (s *Service) sendConfirmation(ctx context.Context, writer string) {
	if writer == "" || writer == s.opts.Host {
		return
	}
	if err := peers.Send(ctx, s.opts.Caller, writer, KindConfirm, sequenceMessage{Sequence: s.Sequence()}); err != nil {
		s.opts.Logger.Debug("cannot send the confirmation of a change", "writer", writer, "error", err)
	}
}

func (s *Service) handlePull(req pullRequest) (response pullResponse, err error) {
	current := s.Current()
	if current == nil || current.Sequence <= req.After {
		return response, nil
	}
	s.mu.Lock()
	changes, ok := s.history.changesAfter(req.After)
	s.mu.Unlock()
	if ok {
		return pullResponse{Changes: changes}, nil
	}
	response.Full, err = current.Encode()
	return response, err
}

// broadcastChange broadcasts a change that was written to the store.
func (s *Service) broadcastChange(ctx context.Context, writer string, change config.Change) {
	s.mu.Lock()
	s.lastBroadcast = max(s.lastBroadcast, change.Sequence)
	s.mu.Unlock()
	s.broadcast(ctx, KindChange, changeMessage{Writer: writer, Change: change})
}

func (s *Service) broadcast(ctx context.Context, kind string, message any) {
	body, err := cbor.Marshal(message)
	if err == nil {
		err = s.opts.Members.Broadcast(ctx, kind, body)
	}
	if err != nil && ctx.Err() == nil {
		s.opts.Logger.Warn("broadcast failed", "kind", kind, "error", err)
	}
}
