package retry

import (
	"testing"
	"time"
)

// Retries must add no more than a tenth to the load, and backoff waits must stay within their bounds.
func TestBudgetBoundsRetries(t *testing.T) {
	b, retries := NewBudget(), 0
	for range 10_000 {
		b = b.WithRequest()
		for {
			next, ok := b.WithRetry()
			if !ok {
				break
			}
			b, retries = next, retries+1
		}
	}
	if retries > 1000+initialTokens || retries < 990 {
		t.Errorf("%d retries of 10000 requests", retries)
	}
	for attempt := range 40 {
		for _, u := range []float64{0, 0.5, 0.999} {
			if w := Backoff(attempt, time.Millisecond, time.Second, u); w < time.Millisecond/2 || w > time.Second {
				t.Errorf("backoff of attempt %d is %v", attempt, w)
			}
		}
	}
}
