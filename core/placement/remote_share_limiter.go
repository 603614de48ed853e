package placement

import "time"

const (
	// limiterWindow is the length of the window whose share of remote requests is compared with that of the window before.
	limiterWindow = 2 * time.Second
	// limiterStep is the length of one bucket; limiterBuckets cover two windows.
	limiterStep    = 250 * time.Millisecond
	limiterBuckets = int(2 * limiterWindow / limiterStep)
	// maxShareChange is the largest change of the remote share from one window to the next.
	maxShareChange = 0.08
	// minWindowRequests is the number of requests in a window below which its share is ignored.
	minWindowRequests = 12
)

// RemoteShareLimiter limits how fast the share of requests that are served outside this host's region changes. A sudden move
// would meet cold servers and load a link all at once. It is an immutable value.
type RemoteShareLimiter struct {
	// counts holds the local and the remote requests of each bucket; newest numbers the time step of the newest one.
	counts [limiterBuckets][2]uint16
	newest int64
}

// WithRequest returns the limiter after a request; remote is set if it was served outside the region.
func (f RemoteShareLimiter) WithRequest(now time.Duration, remote bool) RemoteShareLimiter {
	f = f.advanced(now)
	side := 0
	if remote {
		side = 1
	}
	f.counts[f.newest%int64(limiterBuckets)][side]++
	return f
}

// advanced returns the limiter at the time now, with the buckets cleared that are reused.
func (f RemoteShareLimiter) advanced(now time.Duration) RemoteShareLimiter {
	step := int64(now / limiterStep)
	if step-f.newest >= int64(limiterBuckets) {
		return RemoteShareLimiter{newest: step}
	}
	for f.newest < step {
		f.newest++
		f.counts[f.newest%int64(limiterBuckets)] = [2]uint16{}
	}
	return f
}

// Allowed reports whether the next request may be served in this host's region, and whether outside it.
func (f RemoteShareLimiter) Allowed(now time.Duration) (local, remote bool) {
	f = f.advanced(now)
	recent, recentAll := f.share(0)
	before, beforeAll := f.share(limiterBuckets / 2)
	if recentAll < minWindowRequests || beforeAll < minWindowRequests {
		return true, true
	}
	return recent > before-maxShareChange, recent < before+maxShareChange
}

// share returns the share of remote requests in the window that ended age steps ago, and the number of its requests.
func (f RemoteShareLimiter) share(age int) (remoteShare float64, all int) {
	local, remote := 0, 0
	for i := range limiterBuckets / 2 {
		step := f.newest - int64(age+i)
		if step < 0 {
			break
		}
		counts := f.counts[step%int64(limiterBuckets)]
		local, remote = local+int(counts[0]), remote+int(counts[1])
	}
	return float64(remote) / float64(max(local+remote, 1)), local + remote
}
