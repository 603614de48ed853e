package request

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"vanillatally/core/budget"
	"vanillatally/core/claim"
	"vanillatally/core/config"
	"vanillatally/core/rollout"
	"vanillatally/io/platform"
)

// LocalAdmitter is a token bucket for each team of the configuration, with an equal share of the team's rate for this host.
type LocalAdmitter struct {
	configuration func() *config.Configuration
	hosts         float64
	mu            sync.Mutex
	buckets       map[string]bucket
}

type bucket struct {
	tokens    float64
	updatedAt time.Time
}

// NewLocalAdmitter returns an admitter for one of the given number of hosts.
func NewLocalAdmitter(configuration func() *config.Configuration, hosts int) *LocalAdmitter {
	return &LocalAdmitter{configuration: configuration, hosts: float64(hosts), buckets: map[string]bucket{}}
}

// Admit charges cost to the team's bucket.
func (a *LocalAdmitter) Admit(_ context.Context, team string, cost float64) (budget.Decision, error) {
	c := a.configuration()
	t, ok := c.Teams[team]
	if !ok {
		return budget.Decision{}, errors.Newf("unknown team %s", team)
	}
	rate, burst := c.Templates[t.Template].Rate, c.Templates[t.Template].Burst
	if t.Rate != nil {
		rate = *t.Rate
	}
	if t.Burst != nil {
		burst = *t.Burst
	}
	rate, burst = rate/a.hosts, burst/a.hosts
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	b, ok := a.buckets[team]
	if !ok {
		b = bucket{burst, now}
	}
	b.tokens = min(burst, b.tokens+rate*now.Sub(b.updatedAt).Seconds())
	b.updatedAt = now
	decision := budget.Decision{Admitted: b.tokens >= cost}
	if decision.Admitted {
		b.tokens -= cost
	} else {
		decision.Reason = budget.ReasonRate
		decision.RetryAfter = time.Duration((cost - b.tokens) / rate * float64(time.Second))
	}
	a.buckets[team] = b
	return decision, nil
}

// LocalPermits bounds this host's concurrent requests at each backend server by the slots of the server.
type LocalPermits struct {
	servers func() []platform.BackendServer
	mu      sync.Mutex
	slots   map[string]chan struct{}
}

// NewLocalPermits returns permits for the servers that the given function lists.
func NewLocalPermits(servers func() []platform.BackendServer) *LocalPermits {
	return &LocalPermits{servers: servers, slots: map[string]chan struct{}{}}
}

// Acquire waits for a free slot of server.
func (p *LocalPermits) Acquire(ctx context.Context, server, _ string) (release func(), err error) {
	p.mu.Lock()
	slots, ok := p.slots[server]
	if !ok {
		for _, s := range p.servers() {
			if s.ID == server {
				slots = make(chan struct{}, max(s.Slots, 1))
			}
		}
		p.slots[server] = slots
	}
	p.mu.Unlock()
	if slots == nil {
		return nil, errors.Newf("unknown backend server %s", server)
	}
	select {
	case slots <- struct{}{}:
		return func() { <-slots }, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// maxLocalClaims bounds the claims of one host. Beyond it, new claims are refused.
const maxLocalClaims = 100_000

// LocalClaims keeps the claims of this host in memory.
type LocalClaims struct {
	mu           sync.Mutex
	claims       map[claim.Request]*claim.Answer
	fingerprints map[[2]string]uint64
}

// NewLocalClaims returns a LocalClaims without claims.
func NewLocalClaims() *LocalClaims {
	return &LocalClaims{claims: map[claim.Request]*claim.Answer{}, fingerprints: map[[2]string]uint64{}}
}

// Begin grants the first request with a key.
func (l *LocalClaims) Begin(_ context.Context, req claim.Request) (claim.Answer, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	teamAndKey := [2]string{req.Team, req.Key}
	fingerprint, known := l.fingerprints[teamAndKey]
	switch {
	case known && fingerprint != req.Fingerprint:
		return claim.Answer{State: claim.Mismatch}, nil
	case known:
		return *l.claims[req], nil
	case len(l.claims) >= maxLocalClaims:
		return claim.Answer{State: claim.Full}, nil
	}
	l.fingerprints[teamAndKey] = req.Fingerprint
	l.claims[req] = &claim.Answer{State: claim.Running}
	return claim.Answer{State: claim.Granted}, nil
}

// Valid always returns true, since no other host can take over a claim.
func (l *LocalClaims) Valid(claim.Request) bool { return true }

// Finish records the outcome.
func (l *LocalClaims) Finish(_ context.Context, req claim.Request, res claim.Result) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case res.NotRun:
		delete(l.claims, req)
		delete(l.fingerprints, [2]string{req.Team, req.Key})
	case res.Unknown:
		l.claims[req] = &claim.Answer{State: claim.Unknown}
	default:
		l.claims[req] = &claim.Answer{State: claim.Done, Result: &res}
	}
	return nil
}

// NoMoves implements Moves without any shift or rollout.
type NoMoves struct{}

// Version returns the empty string, for the configured version.
func (NoMoves) Version(string, string, float64) string { return "" }

// Place returns place.
func (NoMoves) Place(_, _, place string, _ float64) string { return place }

// Observe ignores the observation.
func (NoMoves) Observe(rollout.Observation) {}
