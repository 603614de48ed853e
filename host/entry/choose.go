package entry

import (
	"slices"
	"time"

	"vanillatally/core/placement"
)

// maxCandidates bounds the number of servers that one choice considers.
const maxCandidates = 512

// chooseServer picks the server for the next attempt. It returns nil when no server may get the request. If that is because of
// the limits that servers state, x.limitWait is the time until the first of them may get one.
func (x *exchange) chooseServer(v *view) (chosen *server, choice placement.Choice) {
	now := x.host.now()
	x.limitWait = 0
	listed := v.services[x.service]
	spillover := x.host.spillovers.update(now, x.service, listed)
	servers, candidates := make([]*server, 0, len(listed)), make([]placement.Candidate, 0, len(listed))
	warmTime, coldTime, meanTime := x.serviceTimes.estimates()
	for _, s := range listed[:min(len(listed), maxCandidates)] {
		if !x.isEligible(s) {
			continue
		}
		candidate := s.candidate(now, x.affinityKey, meanTime)
		candidate.RoundTripTime = x.host.regionRTTs.rtt(s.Region)
		candidate.Excluded = candidate.Excluded || slices.Contains(x.tried, s)
		if !candidate.Excluded && s.isCold(now) {
			candidate.Excluded = !x.host.fleet.ownsServer(s) || !x.host.allowsColdRequest(v, s, now)
		}
		if !candidate.Excluded {
			candidate.Excluded = x.exceedsLimit(now, s)
		}
		servers, candidates = append(servers, s), append(candidates, candidate)
	}
	request := placement.Request{
		Sticky: x.affinityKey != 0, HomeRemote: spillover.HomeRemote(x.affinityKey),
		WarmServiceTime: warmTime, ColdServiceTime: coldTime, MeanServiceTime: meanTime, Random: x.host.random,
	}
	if x.canary {
		placement.Pack(candidates)
	}
	choice = placement.Choose(request, candidates)
	switch {
	case choice.Index < 0 || x.host.crossRegionFlow.allows(now, servers[choice.Index]):
	case candidates[choice.Index].Local != request.HomeRemote:
		choice = rechooseOffHomeSide(request, candidates, choice, latencyObjective(x.route))
	default:
		choice = rechooseOnHomeSide(request, candidates, choice)
	}
	if choice.Index < 0 {
		return nil, choice
	}
	chosen = servers[choice.Index]
	x.host.crossRegionFlow.countRequest(now, !chosen.sameRegion)
	return chosen, choice
}

// rechooseOnHomeSide repeats a choice that would change the share of cross-region requests too quickly, among the servers on
// the side of the affinity key's home: those in this host's region, or those in other regions if a spillover moved the home
// away. If there is none, the first choice stays.
func rechooseOnHomeSide(request placement.Request, candidates []placement.Candidate, first placement.Choice) placement.Choice {
	for i := range candidates {
		candidates[i].Excluded = candidates[i].Excluded || candidates[i].Local == request.HomeRemote
	}
	if choice := placement.Choose(request, candidates); choice.Index >= 0 {
		return choice
	}
	return first
}

// rechooseOffHomeSide repeats a choice that would change the share of cross-region requests too quickly, among the servers that
// are not on the side of the affinity key's home. The new choice replaces the first one only if its server got the key recently,
// so that it probably has the key's data cached, and is expected to answer within maxExpected.
func rechooseOffHomeSide(
	request placement.Request, candidates []placement.Candidate, first placement.Choice, maxExpected time.Duration,
) placement.Choice {
	for i := range candidates {
		candidates[i].Excluded = candidates[i].Excluded || candidates[i].Local != request.HomeRemote
	}
	choice := placement.Choose(request, candidates)
	if choice.Index >= 0 && choice.KnownWarm && choice.ExpectedLatency <= maxExpected {
		return choice
	}
	return first
}

// isEligible reports whether the rollout of the service and the home regions of the route and the team let the request run
// at the server.
func (x *exchange) isEligible(s *server) bool {
	if !x.allowsVersion(s.Version) {
		return false
	}
	if len(x.route.Homes) > 0 && !slices.Contains(x.route.Homes, s.Region) {
		return false
	}
	return x.team == nil || len(x.team.Homes) == 0 || slices.Contains(x.team.Homes, s.Region)
}

// exceedsLimit reports whether the server states a limit that leaves this host no request now, and updates x.limitWait.
func (x *exchange) exceedsLimit(now time.Duration, s *server) bool {
	wait := x.host.serverLimits.wait(now, s)
	if wait > 0 && (x.limitWait == 0 || wait < x.limitWait) {
		x.limitWait = wait
	}
	return wait > 0
}

// allowsColdRequest reports whether the service's rate limit for cold servers lets this server get another request now.
func (h *Host) allowsColdRequest(v *view, s *server, now time.Duration) bool {
	rate := v.configuration.Services[s.Service].ColdRate
	if rate <= 0 {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return now >= s.nextColdRequestAt
}

// reserve counts a request that is sent to the server now against the rate limit for cold servers and the limit that the server
// states. It reports false if another request has used them up since the server was chosen.
func (h *Host) reserve(v *view, s *server, now time.Duration) bool {
	return s.takeColdRequest(v.configuration.Services[s.Service].ColdRate, now) && h.serverLimits.take(now, s)
}
