// Package retry implements retry budgets and exponential backoff.
package retry

import (
	"math"
	"time"
)

// Budget is a token bucket that bounds retries to a ratio of the requests. It is an immutable value.
type Budget struct {
	// tokens is in [0, maxTokens]. Each request adds ratio, and each retry takes 1.
	tokens, maxTokens, ratio float64
}

// DefaultRatio is the default ratio of retries to requests: retries add at most 10% to the load.
const DefaultRatio = 0.1

const (
	// defaultBurst bounds the number of retries at once after a time with few failures.
	defaultBurst = 10
	// initialTokens lets a host that has just started retry.
	initialTokens = 3
)

// NewBudget returns the default budget of a host that has just started.
func NewBudget() Budget {
	return Budget{tokens: initialTokens, maxTokens: defaultBurst, ratio: DefaultRatio}
}

// NewBudgetWithRatio returns a budget that allows ratio retries for each request, and at first burst retries at once.
func NewBudgetWithRatio(ratio, burst float64) Budget {
	return Budget{tokens: burst, maxTokens: burst, ratio: ratio}
}

// WithRequest returns the budget after a request's first attempt.
func (b Budget) WithRequest() Budget {
	b.tokens = min(b.tokens+b.ratio, b.maxTokens)
	return b
}

// WithBurst returns the budget with another bound of the retries at once.
func (b Budget) WithBurst(burst float64) Budget {
	b.maxTokens = burst
	b.tokens = min(b.tokens, burst)
	return b
}

// WithRetry takes a token for a retry, and reports whether the budget allows the retry.
func (b Budget) WithRetry() (Budget, bool) {
	if b.tokens < 1 {
		return b, false
	}
	b.tokens--
	return b, true
}

// Backoff returns the wait before a retry; attempt counts the retries before it. The wait grows exponentially from base to
// limit. Jitter takes up to half of it away, by u, uniform in [0, 1), so that callers don't retry at the same time.
func Backoff(attempt int, base, limit time.Duration, u float64) time.Duration {
	wait := min(float64(base)*math.Exp2(float64(min(attempt, 30))), float64(limit))
	return time.Duration(wait * (1 - u/2))
}
