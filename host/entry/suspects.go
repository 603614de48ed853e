package entry

import (
	"sync"
	"time"
)

const (
	// crashServers is the number of servers after whose crash a request is refused.
	crashServers = 2
	// crashMemory is how long a crash counts against a request.
	crashMemory = 2 * time.Minute
	// brokenMemory is how long an unanswered request may explain that its server is down.
	brokenMemory = 5 * time.Second
	// maxSuspects bounds the requests that are remembered; beyond it the oldest is forgotten.
	maxSuspects = 512
	// crashRepeats is how often other hosts are told of a crash, since messages may be lost.
	crashRepeats = 6
)

// Crash says that a request was running at a server that crashed.
type Crash struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	Server      uint32
}

// suspects finds requests that crash the servers that run them. A request is suspected when its connection broke without
// an answer and the server was found down before it answered anything else.
type suspects struct {
	mu sync.Mutex
	// broken holds requests whose connection broke, by server.
	broken map[uint32][]brokenRequest
	// crashes holds the servers that crashed, by request, with the time.
	crashes map[uint64]map[uint32]time.Duration
	// tell holds crashes that other hosts have to hear of, with the number of messages left.
	tell map[Crash]int
}

type brokenRequest struct {
	fingerprint uint64
	at          time.Duration
}

// broke notes that the connection of a request broke without an answer.
func (s *suspects) broke(now time.Duration, server string, fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := shortHash(server)
	kept := s.broken[key][:0]
	for _, b := range s.broken[key] {
		if now-b.at < brokenMemory {
			kept = append(kept, b)
		}
	}
	if len(kept) < maxSuspects/8 {
		kept = append(kept, brokenRequest{fingerprint, now})
	}
	s.broken[key] = kept
}

// down notes that a server does not listen.
func (s *suspects) down(now time.Duration, server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := shortHash(server)
	for _, b := range s.broken[key] {
		if now-b.at < brokenMemory {
			crash := Crash{Fingerprint: b.fingerprint, Server: key}
			s.add(now, crash)
			s.tell[crash] = crashRepeats
		}
	}
	delete(s.broken, key)
}

// answered notes that a server answered a request that began at begun: it did not crash before.
func (s *suspects) answered(server string, fingerprint uint64, begun time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.crashes, fingerprint)
	key := shortHash(server)
	kept := s.broken[key][:0]
	for _, b := range s.broken[key] {
		if b.at > begun {
			kept = append(kept, b)
		}
	}
	if len(kept) == 0 {
		delete(s.broken, key)
		return
	}
	s.broken[key] = kept
}

// heard takes in a crash that another host saw, and reports whether it was not known.
func (s *suspects) heard(now time.Duration, crash Crash) (fresh bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, known := s.crashes[crash.Fingerprint][crash.Server]
	s.add(now, crash)
	return !known
}

// passOn tells the other hosts of a crash that this host heard of.
func (s *suspects) passOn(crash Crash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.tell) < maxSuspects {
		s.tell[crash] = crashRepeats
	}
}

func (s *suspects) add(now time.Duration, crash Crash) {
	servers := s.crashes[crash.Fingerprint]
	if servers == nil {
		if len(s.crashes) >= maxSuspects {
			s.forgetOldest()
		}
		servers = map[uint32]time.Duration{}
		s.crashes[crash.Fingerprint] = servers
	}
	servers[crash.Server] = now
}

func (s *suspects) forgetOldest() {
	var found uint64
	var least time.Duration
	for fingerprint, servers := range s.crashes {
		for _, at := range servers {
			if found == 0 || at < least {
				found, least = fingerprint, at
			}
		}
	}
	delete(s.crashes, found)
}

// refused reports whether the request crashed too many servers.
func (s *suspects) refused(now time.Duration, fingerprint uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	servers := s.crashes[fingerprint]
	for server, at := range servers {
		if now-at > crashMemory {
			delete(servers, server)
		}
	}
	return len(servers) >= crashServers
}

// news returns the crashes to tell the other hosts.
func (s *suspects) news() (crashes []Crash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for crash, left := range s.tell {
		crashes = append(crashes, crash)
		if left <= 1 {
			delete(s.tell, crash)
		} else {
			s.tell[crash] = left - 1
		}
		if len(crashes) == maxCrashes {
			break
		}
	}
	return crashes
}
