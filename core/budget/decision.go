// Package budget implements distributed rate limiting with token buckets. A limit is divided into shares that belong to
// slots; each host has one bucket for the shares of the slots that it holds and may lend tokens to other hosts. Its
// functions do no input or output.
package budget

import "time"

// Decision is the result of an admission check.
type Decision struct {
	Admitted bool
	// RetryAfter estimates the time until a refused request can be admitted; 0 if it was admitted.
	RetryAfter time.Duration
	// Reason is set if the request was refused.
	Reason Reason
}

// Reason is the reason for a refusal.
type Reason string

// Reasons for a refusal.
const (
	ReasonRate  Reason = "rate-exceeded"
	ReasonLease Reason = "lease-lapsed"
)
