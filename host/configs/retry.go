package configs

import (
	"context"
	"time"
)

// Bounds of the delay between retries.
const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
)

// backOff sleeps for a delay with jitter that doubles with each attempt. It returns false when ctx ended before.
func (s *Service) backOff(ctx context.Context, attempt int) bool {
	return sleep(ctx, s.jitter(min(minRetryDelay<<min(attempt, 10), maxRetryDelay)))
}

// jitter returns a random duration in [d/2, d).
func (s *Service) jitter(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return d/2 + time.Duration(s.random.Int64N(int64(d/2)))
}

// sleep returns false when ctx ended before d had passed.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
