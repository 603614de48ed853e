package entry

import (
	"sync"
	"time"

	"vanillatally/core/config"
	"vanillatally/core/share"
)

// rateSlackPart is the part of the stated slack that hosts use for the bursts of their shares; the rest covers reports
// that are late.
const rateSlackPart = 0.5

// minTokens lets a host with a small share admit single requests.
const minTokens = 2

// teams counts the requests of each team; it holds one entry for each team of the configuration that sent a request.
type teams struct {
	host *Host
	all  sync.Map
}

// team is this host's state about one team.
type team struct {
	hash   uint32
	mu     sync.Mutex
	demand share.Rate
	// told is the demand that the other hosts were told last.
	told   float64
	bucket share.TokenBucket
	begun  bool
}

func (t *teams) of(name string) *team {
	if found, ok := t.all.Load(name); ok {
		return found.(*team)
	}
	found, _ := t.all.LoadOrStore(name, &team{hash: shortHash(name)})
	return found.(*team)
}

// rateDecision is the decision about one request of a team and what it rests on.
type rateDecision struct {
	ok bool
	// wait is the time until the next token of a refused team.
	wait time.Duration
	// rate is the team's limit, own and others the demand seen here and reported by the other hosts, in requests per second.
	rate, own, others float64
	// part is this host's part of the limit.
	part float64
}

// admit takes a token for one request.
func (t *teams) admit(now time.Duration, limits *config.EffectiveTeam) rateDecision {
	if limits.Rate <= 0 {
		return rateDecision{ok: true}
	}
	state := t.of(limits.Name)
	others, busy := t.host.fleet.demand(now, state.hash)
	known := t.host.fleet.known()
	state.mu.Lock()
	defer state.mu.Unlock()
	own := state.demand.At(now)
	part := share.ForHost(
		now, limits.Rate, share.Demand{Own: own, Reported: state.told, Others: others}, share.Fleet{Known: known, Active: busy},
	)
	state.demand = state.demand.WithEvent(now)
	capacity := max(minTokens, (limits.Burst+rateSlackPart*t.host.limits.Load().RateSlack)*part)
	if !state.begun {
		state.begun, state.bucket = true, share.NewTokenBucket(now, share.InitialTokens(limits.Rate*part))
	}
	overdraft := share.Overdraft(now, limits.Rate, part, own+others)
	a := rateDecision{rate: limits.Rate, own: own, others: others, part: part}
	state.bucket, a.ok, a.wait = state.bucket.Take(now, limits.Rate*part, capacity, overdraft)
	return a
}

// told returns the rates that the other hosts were told last.
func (t *teams) told() map[uint32]uint16 {
	rates := map[uint32]uint16{}
	t.all.Range(func(_, value any) bool {
		state := value.(*team)
		state.mu.Lock()
		defer state.mu.Unlock()
		if scaled := state.told * rateScale; scaled >= 1 {
			rates[state.hash] = uint16(min(scaled, 65535))
		}
		return true
	})
	return rates
}

// demands returns the rates of the teams that sent requests lately.
func (t *teams) demands(now time.Duration) map[uint32]uint16 {
	rates := map[uint32]uint16{}
	t.all.Range(func(_, value any) bool {
		state := value.(*team)
		state.mu.Lock()
		rate := state.demand.At(now)
		state.told = rate
		state.mu.Unlock()
		if scaled := rate * rateScale; scaled >= 1 {
			rates[state.hash] = uint16(min(scaled, 65535))
		}
		return true
	})
	return rates
}
