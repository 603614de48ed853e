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

// observeInterval is how often the observer compares the host's state with what it has logged.
const observeInterval = 200 * time.Millisecond

// observer logs changes of state that no other part logs, and records the decisions about moves.
type observer struct {
	host *Host
	// fresh, leased, epoch and rejected are what was logged last.
	fresh, leased bool
	epoch         uint64
	rejected      uint64
	// moves holds the phase and share of each move that was logged last, bounded by the configuration.
	moves map[string]moves.Status
	done  chan struct{}
}

func newObserver(h *Host) *observer {
	return &observer{host: h, moves: map[string]moves.Status{}, done: make(chan struct{})}
}

func (o *observer) run(ctx context.Context) error {
	defer close(o.done)
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			o.observeHost()
			o.observeMoves()
		}
	}
}

func (o *observer) observeHost() {
	h := o.host
	fresh := h.configs.Fresh("")
	if o.fresh && !fresh {
		h.log.Emit(events.ConfigStale, "sequence", h.configs.Sequence())
		h.log.RecordDecision("configuration", h.settings.Host, "stale", "no statement of a relay for 3 s")
	}
	o.fresh = fresh
	leased := h.budgets.LeaseValid()
	if o.leased && !leased {
		h.log.Emit(events.LeaseExpired)
		h.log.RecordDecision("admission", h.settings.Host, "lease lapsed", "no witness renewed the lease")
	}
	o.leased = leased
	if epoch := h.budgets.Ledger().Epoch; epoch > o.epoch {
		h.log.Emit(events.LedgerChanged, "epoch", epoch)
		o.epoch = epoch
	}
	if rejected := h.node.Stats().Rejected.Load(); rejected > o.rejected {
		h.log.Emit(events.PeerRejected, "count", rejected-o.rejected)
		o.rejected = rejected
	}
}

// observeMoves logs each new step of a move, and its end, with the driver's reason.
func (o *observer) observeMoves() {
	current := map[string]moves.Status{}
	for _, m := range o.host.moves.Status() {
		key := m.Kind + "/" + m.Name
		current[key] = m
		before := o.moves[key]
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
		o.host.log.Emit(event, "move", key, "phase", m.Phase, "share", m.Share, "driver", m.Driver, "reason", m.Reason)
		o.host.log.RecordDecision(strings.TrimSuffix(m.Kind, "s"), m.Name, m.Phase, m.Reason)
	}
	o.moves = current
}
