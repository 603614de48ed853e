package entry

import (
	"sync"
	"time"

	"vanillatally/core/pace"
	"vanillatally/core/placement"
	"vanillatally/core/retry"
	"vanillatally/io/platform"
)

const (
	// loadReportTTL is the time for which a server's own load report counts.
	loadReportTTL = 2 * time.Second
	// minDialBackoff and maxDialBackoff bound the pause after a refused connection.
	minDialBackoff = 200 * time.Millisecond
	maxDialBackoff = 2 * time.Second
	// successRateWeight is the weight of one result in the moving average. It is large, so that a few failures decide: a
	// server that fails quickly looks idle and would attract requests.
	successRateWeight = 0.2
	// scoreHalfLife is the time in which a server's success rate and slowness move half of the way back to normal, so that a
	// server that gets no requests is tried again.
	scoreHalfLife = 3 * time.Second
	// slownessWeight is the weight of one service time in the moving average of a server's slowness.
	slownessWeight = 0.3
	// maxRecentKeys bounds the affinity keys that are remembered for each server; beyond it the least recent one is dropped.
	maxRecentKeys = 256
	// recentKeyTTL is the time for which a server is assumed to have the data of an affinity key cached.
	recentKeyTTL = 30 * time.Second
)

// server is what this host knows of one backend server.
type server struct {
	platform.BackendServer
	// hash identifies the server in rendezvous hashing.
	hash uint64
	// incarnation identifies the server's process.
	incarnation incarnation
	// sameRegion is set if the server is in this host's region.
	sameRegion bool

	mu sync.Mutex
	// inFlight is the number of this host's requests at the server.
	inFlight int
	// reportedLoad is the number of requests that the server reported at reportedAt; inFlightAtReport of them were this
	// host's.
	reportedLoad, inFlightAtReport int
	reportedAt                     time.Duration
	// pace is the last report of how long work takes on the server's machine. Its times are those at which a request has to be
	// sent to reach the server then.
	pace pace.Pace
	// successRate is the moving average of results, from 0 to 1.
	successRate   float64
	successRateAt time.Duration
	// slowness is the moving average of service times relative to the usual ones; 1 is usual. It leaves out what the reported
	// pace explains.
	slowness    float64
	slownessAt  time.Duration
	downUntil   time.Duration
	failedDials int
	// probing is set while the server is probed after a failed connection.
	probing bool
	// checkingCrash is set while it is checked whether the server crashed after it left a request unanswered.
	checkingCrash bool
	coldUntil     time.Duration
	// nextColdRequestAt is the time from which the server may get another request while it is cold.
	nextColdRequestAt time.Duration
	// recentKeys holds the time of the last request for each affinity key, for at most maxRecentKeys of them.
	recentKeys map[uint64]time.Duration
}

func newServer(listed platform.BackendServer, sameRegion bool, now time.Duration) *server {
	s := &server{
		BackendServer: listed, hash: placement.Hash(listed.ID), incarnation: incarnationOf(listed), sameRegion: sameRegion,
		successRate: 1, slowness: 1, recentKeys: map[uint64]time.Duration{},
	}
	s.coldUntil = now + listed.ColdFor
	return s
}

// updateListing replaces the entry of a server that did not restart.
func (s *server) updateListing(listed platform.BackendServer, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if listed.ColdFor > 0 && listed.ColdFor != s.ColdFor {
		s.coldUntil = max(s.coldUntil, now+listed.ColdFor)
		clear(s.recentKeys)
	}
	s.BackendServer = listed
}

// candidate describes the server for the choice of a server for affinityKey. work is the mean service time of the requests that
// run at present.
func (s *server) candidate(now time.Duration, affinityKey uint64, work time.Duration) placement.Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	slowness := 1 + (s.slowness-1)*decay(now-s.slownessAt, scoreHalfLife)
	candidate := placement.Candidate{
		RendezvousWeight: placement.RendezvousWeight(affinityKey, s.hash), Local: s.sameRegion, Slots: s.Slots,
		Outstanding:         s.outstanding(now),
		SuccessRate:         1 - (1-s.successRate)*decay(now-s.successRateAt, scoreHalfLife),
		RelativeServiceTime: slowness * s.pace.Over(now, work),
		Excluded:            now < s.downUntil || s.probing,
	}
	if at, ok := s.recentKeys[affinityKey]; ok && now-at < recentKeyTTL {
		candidate.Warm = true
	}
	return candidate
}

// outstanding estimates the number of requests at the server: this host's own, and those of other hosts according to the
// last load report. The latter fade until the report expires. The caller holds s.mu.
func (s *server) outstanding(now time.Duration) float64 {
	age := now - s.reportedAt
	if s.reportedAt == 0 || age > loadReportTTL {
		return float64(s.inFlight)
	}
	others := float64(s.reportedLoad-s.inFlightAtReport) * (1 - float64(age)/float64(loadReportTTL))
	return float64(s.inFlight) + max(others, 0)
}

// requestStarted counts a request that is sent to the server.
func (s *server) requestStarted(now time.Duration, affinityKey uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	if affinityKey == 0 {
		return
	}
	if _, known := s.recentKeys[affinityKey]; !known && len(s.recentKeys) >= maxRecentKeys {
		delete(s.recentKeys, leastRecentKey(s.recentKeys))
	}
	s.recentKeys[affinityKey] = now
}

// requestEnded counts a request that the server has finished, or that failed.
func (s *server) requestEnded() {
	s.mu.Lock()
	s.inFlight--
	s.mu.Unlock()
}

// recordResult updates the success rate with the result of a request.
func (s *server) recordResult(now time.Duration, failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	outcome := 1.0
	if failed {
		outcome = 0
	} else {
		s.failedDials = 0
	}
	current := 1 - (1-s.successRate)*decay(now-s.successRateAt, scoreHalfLife)
	s.successRate, s.successRateAt = current+(outcome-current)*successRateWeight, now
}

// recordRefusal records that the server refused a request because it is overloaded.
func (s *server) recordRefusal(now time.Duration) { s.recordResult(now, true) }

// recordSlowness updates the slowness with the ratio of a service time to the usual one.
func (s *server) recordSlowness(now time.Duration, ratio float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := 1 + (s.slowness-1)*decay(now-s.slownessAt, scoreHalfLife)
	s.slowness, s.slownessAt = current+(min(ratio, 20)-current)*slownessWeight, now
}

// recordDown records a failed connection, and returns the pause until the next attempt.
func (s *server) recordDown(now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	pause := retry.Backoff(s.failedDials, minDialBackoff, maxDialBackoff, 0)
	s.failedDials++
	s.downUntil = now + pause
	return pause
}

// recordLoad stores the server's load report. The request whose response carried it is no longer in flight.
func (s *server) recordLoad(now, roundTripTime time.Duration, report loadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reportedLoad, s.inFlightAtReport, s.reportedAt = report.running+report.waiting, s.inFlight, now
	if report.pacePercent > 0 {
		// The report was half a round trip on its way, and so is the next request.
		s.pace = s.pace.WithReport(now-roundTripTime, report.pacePercent)
	}
}

// paceAt returns the pace that a request meets which is sent to the server at the given time.
func (s *server) paceAt(sent time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pace.At(sent)
}

// isCold reports whether the server is in the cold phase after its start, in which it may get few requests only.
func (s *server) isCold(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now < s.coldUntil
}

// takeColdRequest counts a request against the rate limit for cold servers, in requests per second, and reports whether it may
// be sent. A rate of 0 is no limit.
func (s *server) takeColdRequest(rate float64, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rate <= 0 || now >= s.coldUntil {
		return true
	}
	if now < s.nextColdRequestAt {
		return false
	}
	s.nextColdRequestAt = now + time.Duration(float64(time.Second)/rate)
	return true
}

// markCold treats the server as cold for at least the given time.
func (s *server) markCold(now, atLeast time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldUntil = max(s.coldUntil, now+atLeast)
	clear(s.recentKeys)
}

func leastRecentKey(keys map[uint64]time.Duration) (found uint64) {
	first := true
	for key, at := range keys {
		if first || at < keys[found] {
			found, first = key, false
		}
	}
	return found
}
