package entry

import (
	"sync"
	"time"

	"vanillatally/core/placement"
)

// crossRegionFlow counts the requests that leave this host's region.
type crossRegionFlow struct {
	mu sync.Mutex
	placement.RemoteShareLimiter
}

// countRequest notes where a request goes.
func (f *crossRegionFlow) countRequest(now time.Duration, away bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.RemoteShareLimiter = f.WithRequest(now, away)
}

// allows reports whether the share of requests that leave the region changes little when the next one goes to the server.
func (f *crossRegionFlow) allows(now time.Duration, s *server) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	near, away := f.Allowed(now)
	if s.sameRegion {
		return near
	}
	return away
}
