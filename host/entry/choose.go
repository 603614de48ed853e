package entry

import (
	"math/rand/v2"
	"slices"
	"time"

	"vanillatally/core/placement"
)

// maxCandidates bounds the servers that one choice looks at.
const maxCandidates = 512

// chooseServer picks the server for the next attempt.
func (x *exchange) chooseServer(v *view) (chosen *server, choice placement.Choice) {
	now := x.host.now()
	all := v.services[x.service]
	spill := x.host.spillovers.update(now, x.service, all)
	servers, candidates := make([]*server, 0, len(all)), make([]placement.Candidate, 0, len(all))
	for _, s := range all[:min(len(all), maxCandidates)] {
		if !x.isEligible(s) {
			continue
		}
		c := s.candidate(now, x.affinityKey)
		c.RoundTripTime = x.host.regionRTTs.rtt(s.Region)
		c.Excluded = c.Excluded || slices.Contains(x.tried, s)
		if !c.Excluded && s.isCold(now) {
			c.Excluded = !x.host.fleet.ownsServer(s) || !x.host.allowsColdRequest(v, s, now)
		}
		servers, candidates = append(servers, s), append(candidates, c)
	}
	warm, cold, mean := x.serviceTimes.estimates()
	request := placement.Request{
		Sticky: x.affinityKey != 0, HomeRemote: spill.HomeRemote(x.affinityKey), WarmServiceTime: warm, ColdServiceTime: cold, MeanServiceTime: mean, Random: rand.Float64,
	}
	if x.partial {
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

// rechooseOnHomeSide repeats a choice on the side of the object's home; without a server there the first choice stays.
func rechooseOnHomeSide(request placement.Request, candidates []placement.Candidate, first placement.Choice) placement.Choice {
	for i := range candidates {
		candidates[i].Excluded = candidates[i].Excluded || candidates[i].Local == request.HomeRemote
	}
	if choice := placement.Choose(request, candidates); choice.Index >= 0 {
		return choice
	}
	return first
}

// rechooseOffHomeSide repeats a choice for a request that would go home, on the other side. A server there is taken only when it has
// the object at hand and answers in time; without one the first choice stays.
func rechooseOffHomeSide(request placement.Request, candidates []placement.Candidate, first placement.Choice, limit time.Duration) placement.Choice {
	for i := range candidates {
		candidates[i].Excluded = candidates[i].Excluded || candidates[i].Local != request.HomeRemote
	}
	choice := placement.Choose(request, candidates)
	if choice.Index >= 0 && choice.KnownWarm && choice.ExpectedLatency <= limit {
		return choice
	}
	return first
}

// isEligible reports whether the request may run at the server.
func (x *exchange) isEligible(s *server) bool {
	if !x.allowsVersion(s.Version) {
		return false
	}
	if len(x.route.HomeRegions) > 0 && !slices.Contains(x.route.HomeRegions, s.Region) {
		return false
	}
	return x.team == nil || len(x.team.HomeRegions) == 0 || slices.Contains(x.team.HomeRegions, s.Region)
}

// allowsColdRequest reports whether a cold server may get one more request now.
func (h *Host) allowsColdRequest(v *view, s *server, now time.Duration) bool {
	rate := v.configuration.Services[s.Service].ColdRate
	if rate <= 0 {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return now >= s.nextColdRequestAt
}

// countColdRequest counts a request at a cold server.
func (h *Host) countColdRequest(v *view, s *server, now time.Duration) {
	rate := v.configuration.Services[s.Service].ColdRate
	s.mu.Lock()
	defer s.mu.Unlock()
	if rate > 0 && now < s.coldUntil {
		s.nextColdRequestAt = now + time.Duration(float64(time.Second)/rate)
	}
}
