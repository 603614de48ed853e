package budgets

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"vanillatally/core/budget"
	"vanillatally/core/ledger"
)

// ErrUnknownBudget is returned for a team or link without limits.
var ErrUnknownBudget = errors.New("no limits are set for this name")

// Admit charges cost to team. When the tokens on this host are short it waits up to Options.MaxWait for a loan.
func (s *Service) Admit(ctx context.Context, team string, cost float64) (budget.Decision, error) {
	return s.admit(ctx, team, cost)
}

// AdmitLink charges bytes to the link, like Admit.
func (s *Service) AdmitLink(ctx context.Context, link string, bytes float64) (budget.Decision, error) {
	return s.admit(ctx, linkPrefix+link, bytes)
}

// CorrectLink charges the difference between the bytes that were sent and those that LinkAdmit charged.
func (s *Service) CorrectLink(link string, bytes float64) {
	c := (*s.node.limiters.Load())[linkPrefix+link]
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bucket = c.bucket.Corrected(s.options.Clock(), bytes)
}

func (s *Service) admit(ctx context.Context, name string, cost float64) (budget.Decision, error) {
	c := (*s.node.limiters.Load())[name]
	if c == nil || !(cost >= 0) {
		return budget.Decision{}, errors.Wrapf(ErrUnknownBudget, "admit %v to %q", cost, name)
	}
	c.mu.Lock()
	// The lease is checked under the lock at the moment of use, after any wait for the lock.
	now := s.options.Clock()
	valid := s.node.leaseValid(now)
	c.attemptedCost += cost
	c.maxCost = max(c.maxCost, min(cost, c.limits.Burst))
	if c.takeTokens(now, cost, valid) {
		c.counts.Admitted++
		c.mu.Unlock()
		return budget.Decision{Admitted: true}, nil
	}
	if s.options.MaxLoanWait <= 0 || c.lendersEmpty || c.waiters >= maxWaiters || cost > c.limits.Burst {
		d := c.refuse(cost, valid)
		c.mu.Unlock()
		return d, nil
	}
	return s.wait(ctx, c, cost, now)
}

// refuse counts a refusal and estimates when the fleet will have refilled the cost; c.mu is held.
func (c *limiter) refuse(cost float64, valid bool) budget.Decision {
	c.counts.Refused++
	d := budget.Decision{Reason: budget.ReasonRate, RetryAfter: time.Duration(cost / c.limits.Rate * float64(time.Second))}
	if !valid {
		d.Reason = budget.ReasonLease
	}
	return d
}

// wait admits when a loan arrives or the own shares have refilled, within MaxWait and ctx; c.mu is held on entry.
func (s *Service) wait(ctx context.Context, c *limiter, cost float64, now time.Duration) (budget.Decision, error) {
	end := now + s.options.MaxLoanWait
	c.waitingCost += cost
	c.waiters++
	for {
		if c.wake == nil {
			c.wake = make(chan struct{})
		}
		wake := c.wake
		pause := end - now
		if short := cost - c.bucket.Level; c.bucket.Rate > 0 && short > 0 {
			pause = min(pause, time.Duration(short/c.bucket.Rate*float64(time.Second))+time.Microsecond)
		}
		c.mu.Unlock()
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
		c.mu.Lock()
		now = s.options.Clock()
		valid := s.node.leaseValid(now)
		taken := err == nil && c.takeTokens(now, cost, valid)
		if taken || err != nil || now >= end || c.lendersEmpty {
			c.waitingCost -= cost
			c.waiters--
			if c.waiters == 0 {
				c.waitingCost = 0
			}
			defer c.mu.Unlock()
			if taken {
				c.counts.Admitted++
				return budget.Decision{Admitted: true}, nil
			}
			return c.refuse(cost, valid), errors.Wrap(err, "wait for a loan")
		}
	}
}

// Ledger returns the newest ledger that this host knows. It must not be changed.
func (s *Service) Ledger() ledger.Ledger {
	s.node.mu.Lock()
	defer s.node.mu.Unlock()
	return s.node.ledger
}

// LeaseValid reports whether the host may use its slots now.
func (s *Service) LeaseValid() bool { return s.node.leaseValid(s.options.Clock()) }

// Holds reports whether the ledger names this host for the slot, earlier holders have released it, and the lease holds now.
func (s *Service) Holds(slot int) bool {
	return slot >= 0 && slot < ledger.SlotCount && s.node.publishedSlots.Load()&(1<<slot) != 0 && s.LeaseValid()
}
