package entry

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"vanillatally/core/placement"
	"vanillatally/core/retry"
	"vanillatally/io/platform"
)

const (
	// reportLife is how long a server's own statement of its load counts.
	reportLife = 2 * time.Second
	// minDown and maxDown bound the pause after a refused connection.
	minDown = 200 * time.Millisecond
	maxDown = 2 * time.Second
	// successWeight makes few results decide, since a server that fails fast looks idle and draws requests.
	successWeight = 0.2
	// successHalfLife lets a server that is avoided be tried again.
	successHalfLife = 3 * time.Second
	// slownessWeight is the weight of one measurement of a server's service time.
	slownessWeight = 0.3
	// maxObjects bounds the objects that are remembered for each server; beyond it the oldest is forgotten.
	maxObjects = 256
	// objectLife is how long a server is believed to have an object at hand.
	objectLife = 30 * time.Second
)

// server is this host's state about one backend server.
type server struct {
	platform.BackendServer
	hash uint64
	// near is set when the server is in this host's region.
	near bool

	mu sync.Mutex
	// own counts this host's requests at the server.
	own int
	// reported is the server's statement of its load at reportedAt, when ownThen of the requests were this host's.
	reported, ownThen int
	reportedAt        time.Duration
	success           float64
	successAt         time.Duration
	slowness          float64
	slownessAt        time.Duration
	downUntil         time.Duration
	downs             int
	// probing is set while a prober asks whether the server is back.
	probing   bool
	coldUntil time.Duration
	// nextCold is when the server may get its next request while it is cold.
	nextCold time.Duration
	// objects maps an object to the time of its last request here, at most maxObjects.
	objects map[uint64]time.Duration
}

func newServer(listed platform.BackendServer, near bool, now time.Duration) *server {
	s := &server{
		BackendServer: listed, hash: placement.Hash(listed.ID), near: near, success: 1, slowness: 1,
		objects: map[uint64]time.Duration{},
	}
	s.coldUntil = now + listed.ColdFor
	return s
}

// relisted takes in a newer entry of the same start.
func (s *server) relisted(listed platform.BackendServer, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if listed.ColdFor > 0 && listed.ColdFor != s.ColdFor {
		s.coldUntil = max(s.coldUntil, now+listed.ColdFor)
		clear(s.objects)
	}
	s.BackendServer = listed
}

// candidate describes the server for a choice about object.
func (s *server) candidate(now time.Duration, object uint64) placement.Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := placement.Candidate{
		RendezvousWeight: placement.RendezvousWeight(object, s.hash), Local: s.near, Slots: s.Slots, Outstanding: s.outstanding(now),
		SuccessRate:         1 - (1-s.success)*decay(now-s.successAt, successHalfLife),
		RelativeServiceTime: 1 + (s.slowness-1)*decay(now-s.slownessAt, successHalfLife),
		Excluded:            now < s.downUntil || s.probing,
	}
	if at, ok := s.objects[object]; ok && now-at < objectLife {
		c.Warm = true
	}
	return c
}

// outstanding estimates the requests at the server from its last report and what this host sent since.
func (s *server) outstanding(now time.Duration) float64 {
	age := now - s.reportedAt
	if s.reportedAt == 0 || age > reportLife {
		return float64(s.own)
	}
	others := float64(s.reported-s.ownThen) * (1 - float64(age)/float64(reportLife))
	return float64(s.own) + max(others, 0)
}

// begin counts a request that is sent to the server.
func (s *server) begin(now time.Duration, object uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own++
	if object == 0 {
		return
	}
	if _, known := s.objects[object]; !known && len(s.objects) >= maxObjects {
		delete(s.objects, oldest(s.objects))
	}
	s.objects[object] = now
}

// end counts a request that has left the server.
func (s *server) end() {
	s.mu.Lock()
	s.own--
	s.mu.Unlock()
}

// result notes whether a request succeeded.
func (s *server) result(now time.Duration, failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	value := 1.0
	if failed {
		value = 0
	} else {
		s.downs = 0
	}
	current := 1 - (1-s.success)*decay(now-s.successAt, successHalfLife)
	s.success, s.successAt = current+(value-current)*successWeight, now
}

// full notes that the server refused a request.
func (s *server) full(now time.Duration) { s.result(now, true) }

// served notes the service time of a request over what was expected.
func (s *server) served(now time.Duration, ratio float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := 1 + (s.slowness-1)*decay(now-s.slownessAt, successHalfLife)
	s.slowness, s.slownessAt = current+(min(ratio, 20)-current)*slownessWeight, now
}

// down notes that no connection could be made, and returns the pause until the next try.
func (s *server) down(now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	pause := retry.Backoff(s.downs, minDown, maxDown, 0)
	s.downs++
	s.downUntil = now + pause
	return pause
}

// report takes in the server's statement of its load, "running,waiting,slots". The request that carried it has ended.
func (s *server) report(now time.Duration, statement string) {
	running, rest, _ := strings.Cut(statement, ",")
	waiting, _, _ := strings.Cut(rest, ",")
	r, err := strconv.Atoi(running)
	if err != nil {
		return
	}
	w, err := strconv.Atoi(waiting)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reported, s.ownThen, s.reportedAt = max(r+w, 0), s.own, now
}

// cold reports whether the server started lately.
func (s *server) cold(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now < s.coldUntil
}

// chill notes that the server is cold for at least d.
func (s *server) chill(now, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldUntil = max(s.coldUntil, now+d)
	clear(s.objects)
}

func oldest(objects map[uint64]time.Duration) (found uint64) {
	first := true
	for object, at := range objects {
		if first || at < objects[found] {
			found, first = object, false
		}
	}
	return found
}
