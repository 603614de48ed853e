package request

import "time"

// ServerLoad returns the requests that run at a backend server: what the server stated in a response within maxAge,
// or this host's own number if that is higher. A server that stated nothing lately counts with the own number.
func (s *Service) ServerLoad(id string, maxAge time.Duration) int {
	s.pools.mu.Lock()
	found := s.pools.servers[id]
	s.pools.mu.Unlock()
	if found == nil {
		return 0
	}
	own := int(found.inFlight.Load())
	found.mu.Lock()
	defer found.mu.Unlock()
	if found.reportedAt == 0 || s.now()-found.reportedAt > maxAge {
		return own
	}
	return max(own, found.reported)
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
