package configs

import "time"

const (
	// lagWindow bounds the age of the baseline, because clocks that run 1% apart shift it by 0.3 s in twice this time.
	lagWindow = 15 * time.Second
	// lagSpacing is the least local time between the first statement of a relay and one that is believed.
	// Statements that waited in a socket while this host was paused arrive together.
	lagSpacing = 300 * time.Millisecond
)

// lag estimates how much longer a relay's statement was under way than the fastest ones before it. A statement that
// waited while this host was paused, or in a stalled connection, must not count as new. It is immutable.
type lag struct {
	instance uint64
	firstAt  time.Duration
	// best and earlier are the lowest differences between the local and the relay's clock in this window and the last.
	best, earlier time.Duration
	windowAt      time.Duration
}

// withStatement returns the lag after a statement that the relay sent at sent on its own clock, and its extra delay.
// known is false while the relay's instance has no baseline yet.
func (l lag) withStatement(now, sent time.Duration, instance uint64) (next lag, extra time.Duration, known bool) {
	difference := now - sent
	if l.instance != instance {
		return lag{instance: instance, firstAt: now, best: difference, earlier: difference, windowAt: now}, 0, false
	}
	if now-l.windowAt > lagWindow {
		l.earlier, l.best, l.windowAt = l.best, difference, now
	}
	extra = max(0, difference-min(l.best, l.earlier))
	l.best = min(l.best, difference)
	return l, extra, now-l.firstAt >= lagSpacing
}
