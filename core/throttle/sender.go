package throttle

import (
	"time"

	"vanillatally/core/share"
)

const (
	// maxSharing bounds the hosts that share a limit. Each may send a burst of one request, and all bursts together have to be
	// small beside a low limit.
	maxSharing = 4
	// silenceMargin is the time without a statement of the server, beyond the interval of its requests, after which further
	// hosts may send to it: the hosts that may use the limit have no requests for it, and its end would not be noticed. It
	// exceeds the time in which a statement is announced to all hosts.
	silenceMargin = 5 * time.Second
	// wideningInterval is the time after which another host may send while the server stays silent.
	wideningInterval = time.Second
	// burstTime is the time in which a host's part of a limit yields the requests that it may send at once.
	burstTime = 500 * time.Millisecond
)

// Part returns the part of a limit that the host at position rank may use, in requests per second, or 0. All hosts rank the
// hosts of the fleet in the same order for the server; the first preferred ones get the requests of callers near the server.
// silence is the time since the server's last statement.
func Part(perSecond float64, rank, preferred int, silence time.Duration) float64 {
	sharing := min(max(preferred, 1), maxSharing)
	allowed := sharing
	if Silent(perSecond, silence) {
		allowed += 1 + int((silence-silenceMargin-Interval(perSecond))/wideningInterval)
	}
	if rank < 0 || rank >= allowed {
		return 0
	}
	return perSecond / float64(sharing)
}

// Silent reports whether a server has stated nothing for so long that further hosts may send to it.
func Silent(perSecond float64, silence time.Duration) bool {
	return silence > silenceMargin+Interval(perSecond)
}

// Bucket is a token bucket for one host's part of a limit. It is an immutable value.
type Bucket struct{ tokens share.TokenBucket }

// NewBucket returns an empty bucket: requests that the server got before it stated its limit count against it.
func NewBucket(now time.Duration) Bucket { return Bucket{tokens: share.NewTokenBucket(now, 0)} }

// Take takes a token for one request of a host whose part of the limit is perSecond. If there is none, wait is the time until
// the next one.
func (b Bucket) Take(now time.Duration, perSecond float64) (after Bucket, ok bool, wait time.Duration) {
	capacity := max(1, perSecond*burstTime.Seconds())
	after.tokens, ok, wait = b.tokens.Take(now, perSecond, capacity, 0)
	return after, ok, wait
}

// Interval returns the time between two requests at a rate.
func Interval(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / perSecond)
}
