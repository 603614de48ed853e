package entry

import (
	"sync"
	"time"
)

const (
	// quarantineCrashes is the number of servers after whose crash a request is refused.
	quarantineCrashes = 2
	// crashTTL is the time for which a crash counts against a request.
	crashTTL = 2 * time.Minute
	// unansweredTTL is the time for which an unanswered request may be the cause of a server being down.
	unansweredTTL = 5 * time.Second
	// maxTrackedRequests bounds the number of tracked requests; beyond it the oldest one is dropped.
	maxTrackedRequests = 512
	// crashAnnouncements is the number of messages that announce a crash to other hosts, since messages may be lost.
	crashAnnouncements = 6
)

// Crash reports that a request was running at a server that crashed. Server is the hash of the server's ID.
type Crash struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	Server      uint32
}

// crashTracker finds requests that crash the servers that run them. A crash counts against a request if its connection broke
// without a response, and the server was found down before it answered another request.
type crashTracker struct {
	mu sync.Mutex
	// unanswered holds the requests whose connection broke, by server.
	unanswered map[uint32][]unansweredRequest
	// crashedServers holds the servers that crashed while they ran a request, with the time, by request.
	crashedServers map[uint64]map[uint32]time.Duration
	// announcements holds the crashes to announce to other hosts, with the number of messages left.
	announcements map[Crash]int
}

// unansweredRequest is a request whose connection broke at the given time.
type unansweredRequest struct {
	fingerprint uint64
	at          time.Duration
}

// recordUnanswered records that the connection of a request broke without a response.
func (t *crashTracker) recordUnanswered(now time.Duration, server string, fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := hash32(server)
	kept := t.unanswered[key][:0]
	for _, request := range t.unanswered[key] {
		if now-request.at < unansweredTTL {
			kept = append(kept, request)
		}
	}
	if len(kept) < maxTrackedRequests/8 {
		kept = append(kept, unansweredRequest{fingerprint, now})
	}
	t.unanswered[key] = kept
}

// recordDown records that a server refuses connections, and counts a crash against each request that it left unanswered within
// unansweredTTL. It returns the crashes.
func (t *crashTracker) recordDown(now time.Duration, server string) (crashes []Crash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := hash32(server)
	for _, request := range t.unanswered[key] {
		if now-request.at < unansweredTTL {
			crash := Crash{Fingerprint: request.fingerprint, Server: key}
			t.add(now, crash)
			t.announcements[crash] = crashAnnouncements
			crashes = append(crashes, crash)
		}
	}
	delete(t.unanswered, key)
	return crashes
}

// recordAnswer records that a server answered a request sent at started. The server was running at that time, so the requests
// that it had left unanswered by then did not crash it.
func (t *crashTracker) recordAnswer(server string, fingerprint uint64, started time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.crashedServers, fingerprint)
	key := hash32(server)
	kept := t.unanswered[key][:0]
	for _, request := range t.unanswered[key] {
		if request.at > started {
			kept = append(kept, request)
		}
	}
	if len(kept) == 0 {
		delete(t.unanswered, key)
		return
	}
	t.unanswered[key] = kept
}

// recordReported records a crash that another host observed, and reports whether it is new.
func (t *crashTracker) recordReported(now time.Duration, crash Crash) (isNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, known := t.crashedServers[crash.Fingerprint][crash.Server]
	t.add(now, crash)
	return !known
}

// announce adds a crash that another host observed to the next announcements.
func (t *crashTracker) announce(crash Crash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.announcements) < maxTrackedRequests {
		t.announcements[crash] = crashAnnouncements
	}
}

func (t *crashTracker) add(now time.Duration, crash Crash) {
	servers := t.crashedServers[crash.Fingerprint]
	if servers == nil {
		if len(t.crashedServers) >= maxTrackedRequests {
			t.evictOldest()
		}
		servers = map[uint32]time.Duration{}
		t.crashedServers[crash.Fingerprint] = servers
	}
	servers[crash.Server] = now
}

func (t *crashTracker) evictOldest() {
	var oldestRequest uint64
	var oldestTime time.Duration
	for fingerprint, servers := range t.crashedServers {
		for _, at := range servers {
			if oldestRequest == 0 || at < oldestTime {
				oldestRequest, oldestTime = fingerprint, at
			}
		}
	}
	delete(t.crashedServers, oldestRequest)
}

// isQuarantined reports whether the request crashed too many servers to be run again.
func (t *crashTracker) isQuarantined(now time.Duration, fingerprint uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	servers := t.crashedServers[fingerprint]
	for crashed, at := range servers {
		if now-at > crashTTL {
			delete(servers, crashed)
		}
	}
	return len(servers) >= quarantineCrashes
}

// takeAnnouncements returns the crashes to announce in the next message.
func (t *crashTracker) takeAnnouncements() (crashes []Crash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for crash, left := range t.announcements {
		crashes = append(crashes, crash)
		if left <= 1 {
			delete(t.announcements, crash)
		} else {
			t.announcements[crash] = left - 1
		}
		if len(crashes) == maxCrashes {
			break
		}
	}
	return crashes
}
