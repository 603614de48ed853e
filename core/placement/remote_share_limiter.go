package placement

import "time"

const (
	// flowWindow is the span over which the share of requests that leave the region is compared with the span before.
	flowWindow = 2 * time.Second
	// flowStep is the length of one bucket; flowBuckets cover two windows.
	flowStep    = 250 * time.Millisecond
	flowBuckets = int(2 * flowWindow / flowStep)
	// flowChange is the largest change of the share from one window to the next.
	flowChange = 0.08
	// flowLeast is the number of requests in a window below which a share says nothing.
	flowLeast = 12
)

// RemoteShareLimiter counts the requests that were served in this host's region and elsewhere, so that the share that leaves changes
// gradually: a sudden move would meet cold servers and load a link at once. It is an immutable value.
type RemoteShareLimiter struct {
	// counts holds the near and away requests of each step; newest is the step of the last one.
	counts [flowBuckets][2]uint16
	newest int64
}

// WithRequest returns the flow after one more request.
func (f RemoteShareLimiter) WithRequest(now time.Duration, away bool) RemoteShareLimiter {
	f = f.advanced(now)
	side := 0
	if away {
		side = 1
	}
	f.counts[f.newest%int64(flowBuckets)][side]++
	return f
}

// advanced returns the flow with the steps emptied that have passed.
func (f RemoteShareLimiter) advanced(now time.Duration) RemoteShareLimiter {
	step := int64(now / flowStep)
	if step-f.newest >= int64(flowBuckets) {
		return RemoteShareLimiter{newest: step}
	}
	for f.newest < step {
		f.newest++
		f.counts[f.newest%int64(flowBuckets)] = [2]uint16{}
	}
	return f
}

// Allowed tells whether the next request may be served near and away.
func (f RemoteShareLimiter) Allowed(now time.Duration) (near, away bool) {
	f = f.advanced(now)
	recent, recentAll := f.share(0)
	before, beforeAll := f.share(flowBuckets / 2)
	if recentAll < flowLeast || beforeAll < flowLeast {
		return true, true
	}
	return recent > before-flowChange, recent < before+flowChange
}

// share returns the part of the requests that left in the window that ends age steps ago, and the number of requests.
func (f RemoteShareLimiter) share(age int) (part float64, all int) {
	near, away := 0, 0
	for i := range flowBuckets / 2 {
		step := f.newest - int64(age+i)
		if step < 0 {
			break
		}
		counts := f.counts[step%int64(flowBuckets)]
		near, away = near+int(counts[0]), away+int(counts[1])
	}
	return float64(away) / float64(max(near+away, 1)), near + away
}
