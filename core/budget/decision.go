// Package budget decides about rates and bursts that are counted over all hosts together.
package budget

import "time"

// Decision is the outcome of one admission.
type Decision struct {
	Admitted bool
	// RetryAfter estimates when a refused request could be admitted; 0 when admitted.
	RetryAfter time.Duration
	// Reason is set when refused: ReasonRate or ReasonLease.
	Reason Reason
}

// Reason says why an admission was refused.
type Reason string

// The reasons for a refusal.
const (
	ReasonRate  Reason = "rate-exceeded"
	ReasonLease Reason = "lease-lapsed"
)
