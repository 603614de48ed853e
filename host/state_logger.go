package host

import (
	"context"
	"strings"
	"time"

	"vanillatally/core/rollout"
	"vanillatally/core/shift"
	"vanillatally/host/moves"
	"vanillatally/io/events"
)

// statePollInterval is how often the state of the host is compared with the state that was logged last.
const statePollInterval = 200 * time.Millisecond

// stateLogger logs changes of state that no service logs itself, and records the decisions of shifts and rollouts.
type stateLogger struct {
	host *Host
	// The state that was logged last.
	fresh, leaseValid bool
	epoch             uint64
	rejected          uint64
	// moves holds the status of each move that was logged last; its size is bounded by the configuration.
	moves map[string]moves.Status
	done  chan struct{}
}

func newStateLogger(h *Host) *stateLogger {
	return &stateLogger{host: h, moves: map[string]moves.Status{}, done: make(chan struct{})}
}

func (l *stateLogger) run(ctx context.Context) error {
	defer close(l.done)
	ticker := time.NewTicker(statePollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			l.logHostChanges()
			l.logMoveChanges()
		}
	}
}

func (l *stateLogger) logHostChanges() {
	h := l.host
	fresh := h.configs.Fresh("")
	if l.fresh && !fresh {
		h.log.Emit(events.ConfigStale, "sequence", h.configs.Sequence())
		h.log.RecordDecision("configuration", h.settings.Host, "stale", "no statement of a relay for 3 s")
	}
	l.fresh = fresh
	leased := h.budgets.LeaseValid()
	if l.leaseValid && !leased {
		h.log.Emit(events.LeaseExpired)
		h.log.RecordDecision("admission", h.settings.Host, "lease lapsed", "no witness renewed the lease")
	}
	l.leaseValid = leased
	if epoch := h.budgets.Ledger().Epoch; epoch > l.epoch {
		h.log.Emit(events.LedgerChanged, "epoch", epoch)
		l.epoch = epoch
	}
	if rejected := h.node.Stats().Rejected.Load(); rejected > l.rejected {
		h.log.Emit(events.PeerRejected, "count", rejected-l.rejected)
		l.rejected = rejected
	}
}

// logMoveChanges logs each change of the phase or share of a move, with the reason from its driver.
func (l *stateLogger) logMoveChanges() {
	current := map[string]moves.Status{}
	for _, m := range l.host.moves.Status() {
		key := m.Kind + "/" + m.Name
		current[key] = m
		before := l.moves[key]
		if m.Phase == before.Phase && m.Share == before.Share {
			continue
		}
		event := events.MoveStep
		switch m.Phase {
		case string(shift.Done), string(rollout.Finished):
			event = events.MoveFinished
		case string(shift.Reverted):
			event = events.MoveReverted
		}
		l.host.log.Emit(event, "move", key, "phase", m.Phase, "share", m.Share, "driver", m.Driver, "reason", m.Reason)
		l.host.log.RecordDecision(strings.TrimSuffix(m.Kind, "s"), m.Name, m.Phase, m.Reason)
	}
	l.moves = current
}
