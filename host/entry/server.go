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
	// loadReportTTL is how long a server's own statement of its load counts.
	loadReportTTL = 2 * time.Second
	// minDialBackoff and maxDown bound the pause after a refused connection.
	minDialBackoff = 200 * time.Millisecond
	maxDialBackoff = 2 * time.Second
	// successRateWeight makes few results decide, since a server that fails fast looks idle and draws requests.
	successRateWeight = 0.2
	// scoreHalfLife lets a server that is avoided be tried again.
	scoreHalfLife = 3 * time.Second
	// slownessWeight is the weight of one measurement of a server's service time.
	slownessWeight = 0.3
	// maxRecentKeys bounds the objects that are remembered for each server; beyond it the oldest is forgotten.
	maxRecentKeys = 256
	// recentKeyTTL is how long a server is believed to have an object at hand.
	recentKeyTTL = 30 * time.Second
)

// server is this host's state about one backend server.
type server struct {
	platform.BackendServer
	hash uint64
	// sameRegion is set when the server is in this host's region.
	sameRegion bool

	mu sync.Mutex
	// inFlight counts this host's requests at the server.
	inFlight int
	// reportedLoad is the server's statement of its load at reportedAt, when inFlightAtReport of the requests were this host's.
	reportedLoad, inFlightAtReport int
	reportedAt                     time.Duration
	successRate                    float64
	successRateAt                  time.Duration
	slowness                       float64
	slownessAt                     time.Duration
	downUntil                      time.Duration
	failedDials                    int
	// probing is set while a prober asks whether the server is back.
	probing   bool
	coldUntil time.Duration
	// nextColdRequestAt is when the server may get its next request while it is cold.
	nextColdRequestAt time.Duration
	// recentKeys maps an object to the time of its last request here, at most maxObjects.
	recentKeys map[uint64]time.Duration
}

func newServer(listed platform.BackendServer, sameRegion bool, now time.Duration) *server {
	s := &server{
		BackendServer: listed, hash: placement.Hash(listed.ID), sameRegion: sameRegion, successRate: 1, slowness: 1,
		recentKeys: map[uint64]time.Duration{},
	}
	s.coldUntil = now + listed.ColdFor
	return s
}

// updateListing takes in a newer entry of the same start.
func (s *server) updateListing(listed platform.BackendServer, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if listed.ColdFor > 0 && listed.ColdFor != s.ColdFor {
		s.coldUntil = max(s.coldUntil, now+listed.ColdFor)
		clear(s.recentKeys)
	}
	s.BackendServer = listed
}

// candidate describes the server for a choice about object.
func (s *server) candidate(now time.Duration, object uint64) placement.Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := placement.Candidate{
		RendezvousWeight: placement.RendezvousWeight(object, s.hash), Local: s.sameRegion, Slots: s.Slots, Outstanding: s.outstanding(now),
		SuccessRate: 1 - (1-s.successRate)*decay(now-s.successRateAt, scoreHalfLife), RelativeServiceTime: 1 + (s.slowness-1)*decay(now-s.slownessAt, scoreHalfLife),
		Excluded: now < s.downUntil || s.probing,
	}
	if at, ok := s.recentKeys[object]; ok && now-at < recentKeyTTL {
		c.Warm = true
	}
	return c
}

// outstanding estimates the requests at the server from its last report and what this host sent since.
func (s *server) outstanding(now time.Duration) float64 {
	age := now - s.reportedAt
	if s.reportedAt == 0 || age > loadReportTTL {
		return float64(s.inFlight)
	}
	others := float64(s.reportedLoad-s.inFlightAtReport) * (1 - float64(age)/float64(loadReportTTL))
	return float64(s.inFlight) + max(others, 0)
}

// requestStarted counts a request that is sent to the server.
func (s *server) requestStarted(now time.Duration, object uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	if object == 0 {
		return
	}
	if _, known := s.recentKeys[object]; !known && len(s.recentKeys) >= maxRecentKeys {
		delete(s.recentKeys, leastRecentKey(s.recentKeys))
	}
	s.recentKeys[object] = now
}

// requestEnded counts a request that has left the server.
func (s *server) requestEnded() {
	s.mu.Lock()
	s.inFlight--
	s.mu.Unlock()
}

// recordResult notes whether a request succeeded.
func (s *server) recordResult(now time.Duration, failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	value := 1.0
	if failed {
		value = 0
	} else {
		s.failedDials = 0
	}
	current := 1 - (1-s.successRate)*decay(now-s.successRateAt, scoreHalfLife)
	s.successRate, s.successRateAt = current+(value-current)*successRateWeight, now
}

// recordRefusal notes that the server refused a request.
func (s *server) recordRefusal(now time.Duration) { s.recordResult(now, true) }

// recordSlowness notes the service time of a request over what was expected.
func (s *server) recordSlowness(now time.Duration, ratio float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := 1 + (s.slowness-1)*decay(now-s.slownessAt, scoreHalfLife)
	s.slowness, s.slownessAt = current+(min(ratio, 20)-current)*slownessWeight, now
}

// recordDown notes that no connection could be made, and returns the pause until the next try.
func (s *server) recordDown(now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	pause := retry.Backoff(s.failedDials, minDialBackoff, maxDialBackoff, 0)
	s.failedDials++
	s.downUntil = now + pause
	return pause
}

// recordLoad takes in the server's statement of its load, "running,waiting,slots". The request that carried it has ended.
func (s *server) recordLoad(now time.Duration, statement string) {
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
	s.reportedLoad, s.inFlightAtReport, s.reportedAt = max(r+w, 0), s.inFlight, now
}

// isCold reports whether the server started lately.
func (s *server) isCold(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now < s.coldUntil
}

// markCold notes that the server is cold for at least d.
func (s *server) markCold(now, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldUntil = max(s.coldUntil, now+d)
	clear(s.recentKeys)
}

func leastRecentKey(objects map[uint64]time.Duration) (found uint64) {
	first := true
	for object, at := range objects {
		if first || at < objects[found] {
			found, first = object, false
		}
	}
	return found
}
