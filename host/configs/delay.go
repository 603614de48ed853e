package configs

import "time"

const (
	// baselineWindow bounds the age of the baseline to twice this time. Over that time, clocks whose rates differ by 1%
	// drift 0.3 s apart.
	baselineWindow = 15 * time.Second
	// baselineMinAge is the local time after a relay's first statement before its statements are trusted. Statements that
	// waited in a socket while this host was paused arrive all at once, and none of them can serve as a baseline.
	baselineMinAge = 300 * time.Millisecond
)

// delayEstimate estimates how much longer a relay's freshness statement was on its way than the fastest one so far, the
// baseline. A statement that waited while this host was paused, or in a stalled connection, must not count as new.
// A delayEstimate is immutable.
type delayEstimate struct {
	instance uint64
	firstAt  time.Duration
	// windowMin and previousMin are the lowest differences between the local clock at arrival and the relay's clock at
	// sending, in the current and the previous window.
	windowMin, previousMin time.Duration
	windowStart            time.Duration
}

// withStatement adds a statement that the given process of the relay sent at the time sent of its own clock. It returns
// the new estimate and the statement's delay above the baseline. hasBaseline is false while the baseline is younger than
// baselineMinAge.
func (e delayEstimate) withStatement(
	now, sent time.Duration, instance uint64,
) (next delayEstimate, extraDelay time.Duration, hasBaseline bool) {
	difference := now - sent
	if e.instance != instance {
		return delayEstimate{
			instance: instance, firstAt: now, windowMin: difference, previousMin: difference, windowStart: now,
		}, 0, false
	}
	if now-e.windowStart > baselineWindow {
		e.previousMin, e.windowMin, e.windowStart = e.windowMin, difference, now
	}
	extraDelay = max(0, difference-min(e.windowMin, e.previousMin))
	e.windowMin = min(e.windowMin, difference)
	return e, extraDelay, now-e.firstAt >= baselineMinAge
}
