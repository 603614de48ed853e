package waiting

import "time"

const (
	// minRetryAfter and maxRetryAfter bound the wait before the jitter, which at most doubles it.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 15 * time.Second
)

// RetryAfter returns when a refused caller may return: when the requests that would start before its own have been started at
// drainRate, the starts per second at this host, and up to as long again, so that the callers don't return together. random is
// at least 0 and below 1.
func (l *Line[T]) RetryAfter(now time.Duration, number int, drainRate, random float64) time.Duration {
	l.expire(now)
	ahead, own := 0, 0
	for _, r := range l.ranks {
		if r.number <= number {
			ahead += r.answerable
		}
		if r.number == number {
			own = r.answerable
		}
	}
	// The starts that a rank is guaranteed bound the wait of its requests.
	ahead = min(ahead, (own+1)*lowerRankEvery)
	wait := maxRetryAfter
	if seconds := float64(ahead) / drainRate; drainRate > 0 && seconds < maxRetryAfter.Seconds() {
		wait = max(time.Duration(seconds*float64(time.Second)), minRetryAfter)
	}
	return wait + time.Duration(min(max(random, 0), 1)*float64(wait))
}
