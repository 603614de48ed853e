package entry

import (
	"sync"
	"time"

	"vanillatally/core/placement"
)

// crossRegionFlow counts the requests sent inside and outside this host's region, to limit how quickly their proportion
// changes.
type crossRegionFlow struct {
	mu sync.Mutex
	placement.RemoteShareLimiter
}

// countRequest counts a request; away is set if its server is in another region.
func (f *crossRegionFlow) countRequest(now time.Duration, away bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.RemoteShareLimiter = f.WithRequest(now, away)
}

// allows reports whether a request to the server keeps the change of the share of cross-region requests gradual.
func (f *crossRegionFlow) allows(now time.Duration, s *server) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	near, away := f.Allowed(now)
	if s.sameRegion {
		return near
	}
	return away
}
