package budgets

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"vanillatally/core/budget"
	"vanillatally/core/ledger"
)

// ErrUnknownBudget is returned for a team or link without limits, and for a cost that is negative or not a number.
var ErrUnknownBudget = errors.New("no limits are configured for this team or link")

// Admit charges cost to team. If this host has too few tokens, it waits up to Options.MaxLoanWait for a
// loan from another host.
func (s *Service) Admit(ctx context.Context, team string, cost float64) (budget.Decision, error) {
	return s.admit(ctx, team, cost)
}

// AdmitLink charges bytes to the budget of the link in the same way as Admit.
func (s *Service) AdmitLink(ctx context.Context, link string, bytes float64) (budget.Decision, error) {
	return s.admit(ctx, linkPrefix+link, bytes)
}

// CorrectLink charges bytes that were sent beyond those that AdmitLink charged; a negative number refunds bytes.
func (s *Service) CorrectLink(link string, bytes float64) {
	lim := (*s.node.limiters.Load())[linkPrefix+link]
	if lim == nil {
		return
	}
	lim.mu.Lock()
	defer lim.mu.Unlock()
	lim.bucket = lim.bucket.Corrected(s.options.Clock(), bytes)
}

func (s *Service) admit(ctx context.Context, name string, cost float64) (budget.Decision, error) {
	lim := (*s.node.limiters.Load())[name]
	if lim == nil || !(cost >= 0) {
		return budget.Decision{}, errors.Wrapf(ErrUnknownBudget, "admit a cost of %v to budget %q", cost, name)
	}
	lim.mu.Lock()
	// The lease is checked after the lock was taken, because it may expire while this goroutine waits for the lock.
	now := s.options.Clock()
	valid := s.node.leaseValid(now)
	lim.attemptedCost += cost
	lim.maxCost = max(lim.maxCost, min(cost, lim.limits.Burst))
	if lim.takeTokens(now, cost, valid) {
		lim.counts.Admitted++
		lim.mu.Unlock()
		return budget.Decision{Admitted: true}, nil
	}
	if s.options.MaxLoanWait <= 0 || lim.lendersEmpty || lim.waiters >= maxWaiters || cost > lim.limits.Burst {
		d := lim.refuse(cost, valid)
		lim.mu.Unlock()
		return d, nil
	}
	return s.wait(ctx, lim, cost, now)
}

// refuse counts a refusal. RetryAfter is the time in which the whole fleet refills cost. The caller holds lim.mu.
func (lim *limiter) refuse(cost float64, valid bool) budget.Decision {
	lim.counts.Refused++
	d := budget.Decision{Reason: budget.ReasonRate, RetryAfter: time.Duration(cost / lim.limits.Rate * float64(time.Second))}
	if !valid {
		d.Reason = budget.ReasonLease
	}
	return d
}

// wait admits cost once a loan has arrived or this host's own shares have refilled, within Options.MaxLoanWait and ctx.
// The caller holds lim.mu, and wait releases it.
func (s *Service) wait(ctx context.Context, lim *limiter, cost float64, now time.Duration) (budget.Decision, error) {
	deadline := now + s.options.MaxLoanWait
	lim.waitingCost += cost
	lim.waiters++
	for {
		if lim.wake == nil {
			lim.wake = make(chan struct{})
		}
		wake := lim.wake
		pause := deadline - now
		if missing := cost - lim.bucket.Level; lim.bucket.Rate > 0 && missing > 0 {
			pause = min(pause, time.Duration(missing/lim.bucket.Rate*float64(time.Second))+time.Microsecond)
		}
		lim.mu.Unlock()
		signal(s.borrowNow)
		timer := time.NewTimer(max(pause, time.Millisecond))
		var err error
		select {
		case <-wake:
		case <-timer.C:
		case <-ctx.Done():
			err = ctx.Err()
		}
		timer.Stop()
		lim.mu.Lock()
		now = s.options.Clock()
		valid := s.node.leaseValid(now)
		taken := err == nil && lim.takeTokens(now, cost, valid)
		if taken || err != nil || now >= deadline || lim.lendersEmpty {
			lim.waitingCost -= cost
			lim.waiters--
			if lim.waiters == 0 {
				lim.waitingCost = 0
			}
			defer lim.mu.Unlock()
			if taken {
				lim.counts.Admitted++
				return budget.Decision{Admitted: true}, nil
			}
			return lim.refuse(cost, valid), errors.Wrap(err, "wait for a loan")
		}
	}
}

// Ledger returns the newest ledger that this host knows. The caller must not modify it.
func (s *Service) Ledger() ledger.Ledger {
	s.node.mu.Lock()
	defer s.node.mu.Unlock()
	return s.node.ledger
}

// LeaseValid reports whether this host's lease is valid, without which it must not use its slots.
func (s *Service) LeaseValid() bool { return s.node.leaseValid(s.options.Clock()) }

// Holds reports whether this host may use the slot now: the ledger assigns the slot to it, the previous holders have
// released the slot, and the lease is valid.
func (s *Service) Holds(slot int) bool {
	return slot >= 0 && slot < ledger.SlotCount && s.node.publishedSlots.Load()&(1<<slot) != 0 && s.LeaseValid()
}
