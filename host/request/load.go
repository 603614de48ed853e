package request

import "time"

// ServerLoad returns the number of requests in flight at a backend server: the larger of what the server reported within maxAge
// and the number of requests from this host. Without a recent report it is the latter.
func (s *Service) ServerLoad(id string, maxAge time.Duration) int {
	s.pools.mu.Lock()
	target := s.pools.servers[id]
	s.pools.mu.Unlock()
	if target == nil {
		return 0
	}
	ownInFlight := int(target.inFlight.Load())
	target.mu.Lock()
	defer target.mu.Unlock()
	if target.reportedAt == 0 || s.now()-target.reportedAt > maxAge {
		return ownInFlight
	}
	return max(ownInFlight, target.reportedInFlight)
}

// InFlight returns the number of requests from this host that are in flight at backend servers.
func (s *Service) InFlight() (total int) {
	s.pools.mu.Lock()
	defer s.pools.mu.Unlock()
	for _, server := range s.pools.servers {
		total += int(server.inFlight.Load())
	}
	return total
}
