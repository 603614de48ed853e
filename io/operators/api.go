// Package operators implements the HTTP API through which operators manage a host, and the client for it.
package operators

import (
	"context"

	"vanillatally/core/config"
	"vanillatally/core/membership"
	"vanillatally/io/events"
)

// State is the outcome of a configuration change.
type State string

// The outcomes of a change.
const (
	// Accepted: written, and in force at every host that is not known to be dead.
	Accepted State = "accepted"
	// Pending: written, but some hosts have not confirmed that it is in force.
	Pending State = "pending"
	// Conflict: not written, because another change was written first.
	Conflict State = "conflict"
)

// ChangeRequest is a request to validate or to apply edits.
type ChangeRequest struct {
	// ExpectedSequence is the sequence of the configuration that the edits are based on. If the current one differs, the
	// change is refused as a conflict.
	ExpectedSequence uint64        `json:"expect"`
	Edits            []config.Edit `json:"edits"`
}

// ChangeResult is the outcome of a change.
type ChangeResult struct {
	State    State  `json:"state"`
	Sequence uint64 `json:"sequence"`
	// Unconfirmed lists the hosts that have not yet confirmed a pending change.
	Unconfirmed []string `json:"unconfirmed,omitempty"`
	// ConflictingChange is the change that was written instead, after a conflict; nil if it is unknown.
	ConflictingChange *config.Change `json:"other,omitempty"`
}

// Move is the status of a shift or rollout, both of which move traffic.
type Move struct {
	Name string `json:"name"`
	// Kind is "shift" or "rollout".
	Kind  string  `json:"kind"`
	State string  `json:"state"`
	Share float64 `json:"share"`
	// Evidence describes the measurements on which the next decision is based.
	Evidence string `json:"evidence"`
	// Driver is the id of the host that runs the move.
	Driver   string `json:"driver"`
	NextStep string `json:"next-step"`
	// Deadline is the time left until the deadline, such as "4m0s".
	Deadline string `json:"deadline"`
	Reason   string `json:"reason"`
}

// Status is the state of one host and its view of the fleet.
type Status struct {
	Host          string `json:"host"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure-domain"`
	Ready         bool   `json:"ready"`
	Draining      bool   `json:"draining"`
	Sequence      uint64 `json:"sequence"`
	// Fresh is false while the host cannot tell whether its configuration is the newest.
	Fresh       bool                `json:"fresh"`
	LeaseValid  bool                `json:"lease-valid"`
	LedgerEpoch uint64              `json:"ledger-epoch"`
	Slots       int                 `json:"slots"`
	Members     []membership.Member `json:"members"`
	// BackendServers is the number of backend servers in the platform list.
	BackendServers int    `json:"backend-servers"`
	InFlight       int    `json:"in-flight"`
	Moves          []Move `json:"moves"`
}

// HostControl is the interface of the host that the API calls.
type HostControl interface {
	Status() Status
	// Configuration returns the configuration in force, or nil before there is one.
	Configuration() *config.Configuration
	// Validate checks edits against the configuration in force without applying them.
	Validate(edits []config.Edit) error
	// Apply writes the edits and waits a bounded time until all hosts have confirmed them.
	Apply(ctx context.Context, change ChangeRequest) (ChangeResult, error)
	// Decisions returns the newest decisions that match; empty filters match all.
	Decisions(kind, subject string, limit int) []events.Decision
	// Ready reports whether the host serves callers.
	Ready() bool
}
