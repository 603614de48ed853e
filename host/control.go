package host

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"vanillatally/core/config"
	"vanillatally/core/rollout"
	"vanillatally/core/shift"
	"vanillatally/host/configs"
	"vanillatally/host/moves"
	"vanillatally/io/events"
	"vanillatally/io/operators"
)

// Ready reports whether the host serves callers. Like the exported methods below, it implements operators.Control.
func (h *Host) Ready() bool { return h.configs.Fresh("") && !h.draining.Load() }

// Configuration returns the configuration in force, or nil before there is one.
func (h *Host) Configuration() *config.Configuration { return h.configs.Current() }

// Validate checks edits against the configuration in force.
func (h *Host) Validate(edits []config.Edit) error {
	_, err := h.configs.Validate(h.configs.Sequence(), edits)
	return err
}

// Apply applies a change to the configuration and logs the outcome.
func (h *Host) Apply(ctx context.Context, change operators.ChangeRequest) (operators.ChangeResult, error) {
	outcome, err := h.configs.Apply(ctx, change.ExpectedSequence, change.Edits)
	if err != nil {
		h.log.RecordDecision("configuration", "change", "failed", err.Error())
		return operators.ChangeResult{}, err
	}
	h.log.Emit(events.ConfigChanged, "sequence", outcome.Sequence, "outcome", outcome.State, "took", outcome.PropagationTime)
	for _, edit := range change.Edits {
		h.log.RecordDecision("configuration", edit.Kind+"/"+edit.Name, string(outcome.State), "operator change "+outcome.ChangeID)
	}
	if outcome.State == configs.OutcomeUnknown {
		return operators.ChangeResult{}, errors.New(
			"the store's answer was lost and could not be read back; look at the configuration before another try")
	}
	return operators.ChangeResult{
		State: operators.State(outcome.State), Sequence: outcome.Sequence,
		Unconfirmed: outcome.Unconfirmed, ConflictingChange: outcome.ConflictingChange,
	}, nil
}

// Decisions returns the latest decisions that match.
func (h *Host) Decisions(kind, subject string, limit int) []events.Decision {
	return h.log.Decisions(kind, subject, limit)
}

// moveStatus describes the shifts and rollouts to operators.
func (h *Host) moveStatus() []operators.Move {
	var statuses []operators.Move
	for _, m := range h.moves.Status() {
		move := operators.Move{
			Name: m.Name, Kind: strings.TrimSuffix(m.Kind, "s"), State: moveState(m), Share: m.Share, Driver: m.Driver,
			NextStep: fmt.Sprintf("share %.3f in %s", m.NextShare, m.NextIn.Round(time.Millisecond)),
			Deadline: m.DeadlineIn.Round(time.Second).String(), Reason: m.Reason, Evidence: describeEvidence(m),
		}
		if m.Driver != h.settings.Host {
			move.NextStep = "known at the driver"
		}
		statuses = append(statuses, move)
	}
	return statuses
}

// moveState returns the phase of a move, with one name for the final phases of shifts and rollouts.
func moveState(m moves.Status) string {
	switch m.Phase {
	case "":
		return "waiting"
	case string(rollout.Finished):
		return string(shift.Done)
	}
	return m.Phase
}

func describeEvidence(m moves.Status) string {
	var parts []string
	for _, route := range slices.Sorted(maps.Keys(m.Evidence)) {
		parts = append(parts, fmt.Sprintf("%s: %+v", route, m.Evidence[route]))
	}
	if m.Inconclusive {
		parts = append(parts, "too little traffic to judge")
	}
	if len(m.HostsWithoutReports) > 0 {
		parts = append(parts, "no measurements from "+strings.Join(m.HostsWithoutReports, ", "))
	}
	for _, veto := range m.Vetoes {
		parts = append(parts, "veto: "+veto)
	}
	return strings.Join(parts, "; ")
}

// Status returns the state of the host and what it knows about the other hosts and the backend servers.
func (h *Host) Status() operators.Status {
	budgets := h.budgets.Status()
	return operators.Status{
		Host: h.settings.Host, Region: h.settings.Region, FailureDomain: h.settings.FailureDomain,
		Ready: h.Ready(), Draining: h.draining.Load(),
		Sequence: h.configs.Sequence(), Fresh: h.configs.Fresh(""),
		LeaseValid: budgets.LeaseValid, LedgerEpoch: budgets.LedgerEpoch, Slots: budgets.HeldSlots,
		Moves: h.moveStatus(), InFlight: h.requests.InFlight(),
		Members: h.members.Members(), BackendServers: len(h.servers.get()),
	}
}
