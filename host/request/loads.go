package request

import "time"

// ServerLoad returns the requests that run at a backend server: what the server stated in a response within maxAge,
// or this host's own number if that is higher. A server that stated nothing lately counts with the own number.
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

// InFlight returns the requests of this host that run at backend servers.
func (s *Service) InFlight() (total int) {
	s.pools.mu.Lock()
	defer s.pools.mu.Unlock()
	for _, server := range s.pools.servers {
		total += int(server.inFlight.Load())
	}
	return total
}
