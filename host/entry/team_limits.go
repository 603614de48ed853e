package entry

import (
	"sync"
	"time"

	"vanillatally/core/config"
	"vanillatally/core/share"
)

// rateSlackFraction is the fraction of the configured rate slack that hosts add to the bursts of their shares. The rest
// covers late demand reports.
const rateSlackFraction = 0.5

// minBucketCapacity lets a host with a small share of the limit still admit single requests.
const minBucketCapacity = 2

// teams holds the rate limiters of teams by name, one for each team of the configuration that sent a request.
type teams struct {
	host    *Host
	entries sync.Map
}

// teamLimiter enforces this host's share of one team's rate limit.
type teamLimiter struct {
	// hash identifies the team in messages between hosts.
	hash uint32
	mu   sync.Mutex
	// demand is the smoothed rate of the team's requests at this host.
	demand share.Rate
	// reports holds the demand that this host reported to the other hosts lately.
	reports       share.Reports
	bucket        share.TokenBucket
	bucketStarted bool
}

// get returns the limiter of the team, which it creates for the first request.
func (t *teams) get(name string) *teamLimiter {
	if found, ok := t.entries.Load(name); ok {
		return found.(*teamLimiter)
	}
	found, _ := t.entries.LoadOrStore(name, &teamLimiter{hash: hash32(name)})
	return found.(*teamLimiter)
}

// rateDecision is the decision about one request of a team, with the values that it is based on.
type rateDecision struct {
	allowed bool
	// retryAfter is the time until the next token when the request is not allowed.
	retryAfter time.Duration
	// rate is the team's limit; ownDemand is the demand at this host, othersDemand that reported by the other hosts. All are
	// in requests per second.
	rate, ownDemand, othersDemand float64
	// fraction is this host's share of the limit.
	fraction float64
}

// admit takes a token for one request of the team from this host's share of the limit.
func (t *teams) admit(now time.Duration, limits *config.EffectiveTeam) rateDecision {
	if limits.Rate <= 0 {
		return rateDecision{allowed: true}
	}
	limiter := t.get(limits.Name)
	othersDemand, busy := t.host.fleet.demand(now, limiter.hash)
	size := share.Fleet{Known: t.host.fleet.possibleHosts(), Active: busy}
	if share.InWarmup(now) {
		size.Serving = t.host.fleet.servingHosts(now)
	}
	lag := t.host.fleet.reportLag()
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	ownDemand := limiter.demand.At(now)
	fraction := share.ForHost(now, limits.Rate, share.Demand{
		Own: ownDemand, Reported: limiter.reports.Latest(), Known: limiter.reports.Known(now, lag), Others: othersDemand,
	}, size)
	limiter.demand = limiter.demand.WithEvent(now)
	capacity := max(minBucketCapacity, (limits.Burst+rateSlackFraction*t.host.limits.Load().RateSlack)*fraction)
	if !limiter.bucketStarted {
		limiter.bucketStarted, limiter.bucket = true, share.NewTokenBucket(now, share.InitialTokens(limits.Rate*fraction))
	}
	overdraft := share.Overdraft(now, limits.Rate, fraction, ownDemand+othersDemand)
	decision := rateDecision{rate: limits.Rate, ownDemand: ownDemand, othersDemand: othersDemand, fraction: fraction}
	limiter.bucket, decision.allowed, decision.retryAfter = limiter.bucket.Take(now, limits.Rate*fraction, capacity, overdraft)
	return decision
}

// advertisedDemand returns the demand of teams that this host reported last, times demandScale, by the hash of the team's
// name.
func (t *teams) advertisedDemand() map[uint32]uint16 {
	rates := map[uint32]uint16{}
	t.entries.Range(func(_, value any) bool {
		limiter := value.(*teamLimiter)
		limiter.mu.Lock()
		defer limiter.mu.Unlock()
		if scaled := limiter.reports.Latest() * demandScale; scaled >= 1 {
			rates[limiter.hash] = uint16(min(scaled, 65535))
		}
		return true
	})
	return rates
}

// advertiseDemand returns the current demand of teams in the same form, and stores it as the reported one.
func (t *teams) advertiseDemand(now time.Duration) map[uint32]uint16 {
	rates := map[uint32]uint16{}
	t.entries.Range(func(_, value any) bool {
		limiter := value.(*teamLimiter)
		limiter.mu.Lock()
		rate := limiter.demand.At(now)
		limiter.reports = limiter.reports.With(now, rate)
		limiter.mu.Unlock()
		if scaled := rate * demandScale; scaled >= 1 {
			rates[limiter.hash] = uint16(min(scaled, 65535))
		}
		return true
	})
	return rates
}
