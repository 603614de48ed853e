package entry

import (
	"sync"
	"time"
)

const (
	// quarantineCrashes is the number of servers after whose crash a request is refused.
	quarantineCrashes = 2
	// crashTTL is how long a crash counts against a request.
	crashTTL = 2 * time.Minute
	// unansweredTTL is how long an unanswered request may explain that its server is down.
	unansweredTTL = 5 * time.Second
	// maxTrackedRequests bounds the requests that are remembered; beyond it the oldest is forgotten.
	maxTrackedRequests = 512
	// crashAnnouncements is how often other hosts are told of a crash, since messages may be lost.
	crashAnnouncements = 6
)

// Crash says that a request was running at a server that crashed.
type Crash struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	Server      uint32
}

// crashTracker finds requests that crash the servers that run them. A request is suspected when its connection broke without
// an answer and the server was found down before it answered anything else.
type crashTracker struct {
	mu sync.Mutex
	// unanswered holds requests whose connection broke, by server.
	unanswered map[uint32][]unansweredRequest
	// crashedServers holds the servers that crashed, by request, with the time.
	crashedServers map[uint64]map[uint32]time.Duration
	// announcements holds crashes that other hosts have to hear of, with the number of messages left.
	announcements map[Crash]int
}

type unansweredRequest struct {
	fingerprint uint64
	at          time.Duration
}

// recordUnanswered notes that the connection of a request recordUnanswered without an answer.
func (s *crashTracker) recordUnanswered(now time.Duration, server string, fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := hash32(server)
	kept := s.unanswered[key][:0]
	for _, b := range s.unanswered[key] {
		if now-b.at < unansweredTTL {
			kept = append(kept, b)
		}
	}
	if len(kept) < maxTrackedRequests/8 {
		kept = append(kept, unansweredRequest{fingerprint, now})
	}
	s.unanswered[key] = kept
}

// recordDown notes that a server does not listen.
func (s *crashTracker) recordDown(now time.Duration, server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := hash32(server)
	for _, b := range s.unanswered[key] {
		if now-b.at < unansweredTTL {
			crash := Crash{Fingerprint: b.fingerprint, Server: key}
			s.add(now, crash)
			s.announcements[crash] = crashAnnouncements
		}
	}
	delete(s.unanswered, key)
}

// recordAnswer notes that a server recordAnswer a request that began at begun: it did not crash before.
func (s *crashTracker) recordAnswer(server string, fingerprint uint64, begun time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.crashedServers, fingerprint)
	key := hash32(server)
	kept := s.unanswered[key][:0]
	for _, b := range s.unanswered[key] {
		if b.at > begun {
			kept = append(kept, b)
		}
	}
	if len(kept) == 0 {
		delete(s.unanswered, key)
		return
	}
	s.unanswered[key] = kept
}

// recordReported takes in a crash that another host saw, and reports whether it was not known.
func (s *crashTracker) recordReported(now time.Duration, crash Crash) (fresh bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, known := s.crashedServers[crash.Fingerprint][crash.Server]
	s.add(now, crash)
	return !known
}

// announce tells the other hosts of a crash that this host heard of.
func (s *crashTracker) announce(crash Crash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.announcements) < maxTrackedRequests {
		s.announcements[crash] = crashAnnouncements
	}
}

func (s *crashTracker) add(now time.Duration, crash Crash) {
	servers := s.crashedServers[crash.Fingerprint]
	if servers == nil {
		if len(s.crashedServers) >= maxTrackedRequests {
			s.evictOldest()
		}
		servers = map[uint32]time.Duration{}
		s.crashedServers[crash.Fingerprint] = servers
	}
	servers[crash.Server] = now
}

func (s *crashTracker) evictOldest() {
	var found uint64
	var least time.Duration
	for fingerprint, servers := range s.crashedServers {
		for _, at := range servers {
			if found == 0 || at < least {
				found, least = fingerprint, at
			}
		}
	}
	delete(s.crashedServers, found)
}

// isQuarantined reports whether the request crashed too many servers.
func (s *crashTracker) isQuarantined(now time.Duration, fingerprint uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	servers := s.crashedServers[fingerprint]
	for server, at := range servers {
		if now-at > crashTTL {
			delete(servers, server)
		}
	}
	return len(servers) >= quarantineCrashes
}

// takeAnnouncements returns the crashes to tell the other hosts.
func (s *crashTracker) takeAnnouncements() (crashes []Crash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for crash, left := range s.announcements {
		crashes = append(crashes, crash)
		if left <= 1 {
			delete(s.announcements, crash)
		} else {
			s.announcements[crash] = left - 1
		}
		if len(crashes) == maxCrashes {
			break
		}
	}
	return crashes
}
