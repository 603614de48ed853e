package entry

import (
	"math/rand/v2"
	"slices"
	"time"

	"vanillatally/core/placement"
)

// maxScan bounds the servers that one choice looks at.
const maxScan = 512

// choose picks the server for the next attempt.
func (x *exchange) choose(v *view) (chosen *server, choice placement.Choice) {
	now := x.host.now()
	all := v.services[x.service]
	spill := x.host.spills.update(now, x.service, all)
	servers, candidates := make([]*server, 0, len(all)), make([]placement.Candidate, 0, len(all))
	for _, s := range all[:min(len(all), maxScan)] {
		if !x.mayRun(s) {
			continue
		}
		c := s.candidate(now, x.object)
		c.RoundTripTime = x.host.distances.to(s.Region)
		c.Excluded = c.Excluded || slices.Contains(x.tried, s)
		if !c.Excluded && s.cold(now) {
			c.Excluded = !x.host.fleet.owner(s) || !x.host.mayHeat(v, s, now)
		}
		servers, candidates = append(servers, s), append(candidates, c)
	}
	warm, cold, mean := x.times.get()
	request := placement.Request{
		Sticky: x.object != 0, HomeRemote: spill.HomeRemote(x.object),
		WarmServiceTime: warm, ColdServiceTime: cold, MeanServiceTime: mean, Random: rand.Float64,
	}
	if x.packed {
		placement.Pack(candidates)
	}
	choice = placement.Choose(request, candidates)
	switch {
	case choice.Index < 0 || x.host.flow.permits(now, servers[choice.Index]):
	case candidates[choice.Index].Local != request.HomeRemote:
		choice = stayOut(request, candidates, choice, objective(x.route))
	default:
		choice = atHome(request, candidates, choice)
	}
	if choice.Index < 0 {
		return nil, choice
	}
	chosen = servers[choice.Index]
	x.host.flow.count(now, !chosen.near)
	return chosen, choice
}

// atHome repeats a choice on the side of the object's home; without a server there the first choice stays.
func atHome(request placement.Request, candidates []placement.Candidate, first placement.Choice) placement.Choice {
	for i := range candidates {
		candidates[i].Excluded = candidates[i].Excluded || candidates[i].Local == request.HomeRemote
	}
	if choice := placement.Choose(request, candidates); choice.Index >= 0 {
		return choice
	}
	return first
}

// stayOut repeats a choice for a request that would go home, on the other side. A server there is taken only when it has
// the object at hand and answers in time; without one the first choice stays.
func stayOut(request placement.Request, candidates []placement.Candidate, first placement.Choice, limit time.Duration) placement.Choice {
	for i := range candidates {
		candidates[i].Excluded = candidates[i].Excluded || candidates[i].Local != request.HomeRemote
	}
	choice := placement.Choose(request, candidates)
	if choice.Index >= 0 && choice.KnownWarm && choice.ExpectedLatency <= limit {
		return choice
	}
	return first
}

// mayRun reports whether the request may run at the server.
func (x *exchange) mayRun(s *server) bool {
	if !x.allow(s.Version) {
		return false
	}
	if len(x.route.Homes) > 0 && !slices.Contains(x.route.Homes, s.Region) {
		return false
	}
	return x.team == nil || len(x.team.Homes) == 0 || slices.Contains(x.team.Homes, s.Region)
}

// mayHeat reports whether a cold server may get one more request now.
func (h *Host) mayHeat(v *view, s *server, now time.Duration) bool {
	rate := v.configuration.Services[s.Service].ColdRate
	if rate <= 0 {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return now >= s.nextCold
}

// heated counts a request at a cold server.
func (h *Host) heated(v *view, s *server, now time.Duration) {
	rate := v.configuration.Services[s.Service].ColdRate
	s.mu.Lock()
	defer s.mu.Unlock()
	if rate > 0 && now < s.coldUntil {
		s.nextCold = now + time.Duration(float64(time.Second)/rate)
	}
}
