// Package retry decides whether and when something that failed is tried again.
package retry

import (
	"math"
	"time"
)

// Budget bounds retries to a part of the requests. It is an immutable value.
type Budget struct {
	// tokens is in [0, most]; each request adds share, each retry takes 1.
	tokens, most, share float64
}

// DefaultRatio is the extra load that retries may cause.
const DefaultRatio = 0.1

// maxTokens bounds the burst of retries after a quiet time; the start value lets a host without history retry.
const (
	maxTokens   = 10
	startTokens = 3
)

// NewBudget returns the budget of a host that has just started.
func NewBudget() Budget { return Budget{tokens: startTokens, most: maxTokens, share: DefaultRatio} }

// NewBudgetWithRatio returns a budget of share retries for each request and burst more at once.
func NewBudgetWithRatio(share, burst float64) Budget {
	return Budget{tokens: burst, most: burst, share: share}
}

// WithRequest returns the budget after one more first attempt.
func (b Budget) WithRequest() Budget {
	b.tokens = min(b.tokens+b.share, b.most)
	return b
}

// WithBurst returns the budget with another bound of its burst.
func (b Budget) WithBurst(burst float64) Budget {
	b.most = burst
	b.tokens = min(b.tokens, burst)
	return b
}

// WithRetry takes one retry, and reports whether the budget allows it.
func (b Budget) WithRetry() (Budget, bool) {
	if b.tokens < 1 {
		return b, false
	}
	b.tokens--
	return b, true
}

// Backoff returns the wait before retry number attempt (from 0): exponential from base to limit,
// of which u, uniform in [0, 1), takes up to half away, so that callers do not retry together.
func Backoff(attempt int, base, limit time.Duration, u float64) time.Duration {
	wait := min(float64(base)*math.Exp2(float64(min(attempt, 30))), float64(limit))
	return time.Duration(wait * (1 - u/2))
}
