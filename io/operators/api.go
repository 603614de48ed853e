// Package operators serves the operators' HTTP API of a host and holds its client.
package operators

import (
	"context"

	"vanillatally/core/config"
	"vanillatally/core/membership"
	"vanillatally/io/events"
)

// State is the outcome of a change.
type State string

// The outcomes of a change.
const (
	// Accepted: written, and in force at every host that is not known dead.
	Accepted State = "accepted"
	// Pending: written, but some hosts have not confirmed that it is in force.
	Pending State = "pending"
	// Conflict: not written, because another change came first.
	Conflict State = "conflict"
)

// ChangeRequest asks to check or to apply edits.
type ChangeRequest struct {
	// Expect is the sequence that the operator saw.
	Expect uint64        `json:"expect"`
	Edits  []config.Edit `json:"edits"`
}

// ChangeResult tells what became of a change.
type ChangeResult struct {
	State    State  `json:"state"`
	Sequence uint64 `json:"sequence"`
	// Unconfirmed names the hosts that have not confirmed a pending change.
	Unconfirmed []string `json:"unconfirmed,omitempty"`
	// Other is the change that won a conflict.
	Other *config.Change `json:"other,omitempty"`
}

// Move is the status of a shift or a rollout.
type Move struct {
	Name string `json:"name"`
	// Kind is "shift" or "rollout".
	Kind  string  `json:"kind"`
	State string  `json:"state"`
	Share float64 `json:"share"`
	// Evidence says in words what the decision rests on.
	Evidence string `json:"evidence"`
	Driver   string `json:"driver"`
	NextStep string `json:"next-step"`
	// Deadline is the time left, such as "4m0s".
	Deadline string `json:"deadline"`
	Reason   string `json:"reason"`
}

// Status is what one host knows about itself and the fleet.
type Status struct {
	Host          string `json:"host"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure-domain"`
	Ready         bool   `json:"ready"`
	Draining      bool   `json:"draining"`
	Sequence      uint64 `json:"sequence"`
	// Fresh is false when the host cannot tell whether its configuration is the newest.
	Fresh       bool                `json:"fresh"`
	LeaseValid  bool                `json:"lease-valid"`
	LedgerEpoch uint64              `json:"ledger-epoch"`
	Slots       int                 `json:"slots"`
	Members     []membership.Member `json:"members"`
	// BackendServers is the number of servers in the platform list.
	BackendServers int    `json:"backend-servers"`
	InFlight       int    `json:"in-flight"`
	Moves          []Move `json:"moves"`
}

// HostControl is what the API needs from the host.
type HostControl interface {
	Status() Status
	// Configuration returns the configuration in force, or nil before there is one.
	Configuration() *config.Configuration
	// Validate checks edits against the configuration in force without applying them.
	Validate(edits []config.Edit) error
	// Apply writes the edits and waits for the confirmations of all hosts.
	Apply(ctx context.Context, change ChangeRequest) (ChangeResult, error)
	// Decisions returns the newest decisions that match; empty filters match all.
	Decisions(kind, subject string, limit int) []events.Decision
	// Ready reports whether the host serves callers.
	Ready() bool
}
