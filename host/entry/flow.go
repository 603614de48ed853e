package entry

import (
	"sync"
	"time"

	"vanillatally/core/placement"
)

// flow counts the requests that leave this host's region.
type flow struct {
	mu sync.Mutex
	placement.RemoteShareLimiter
}

// count notes where a request goes.
func (f *flow) count(now time.Duration, away bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.RemoteShareLimiter = f.WithRequest(now, away)
}

// permits reports whether the share of requests that leave the region changes little when the next one goes to the server.
func (f *flow) permits(now time.Duration, s *server) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	near, away := f.Allowed(now)
	if s.near {
		return near
	}
	return away
}
