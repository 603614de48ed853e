package configs

import (
	"context"
	"time"
)

// The bounds of the delay between retries.
const (
	firstDelay = 50 * time.Millisecond
	lastDelay  = time.Second
)

// pause waits for a jittered delay that doubles with each attempt; false when ctx ended.
func (s *Service) pause(ctx context.Context, attempt int) bool {
	return wait(ctx, s.jitter(min(firstDelay<<min(attempt, 10), lastDelay)))
}

// jitter returns a time in [d/2, d).
func (s *Service) jitter(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return d/2 + time.Duration(s.random.Int64N(int64(d/2)))
}

func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
