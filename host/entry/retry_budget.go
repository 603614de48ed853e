package entry

import (
	"sync"

	"vanillatally/core/retry"
)

// retrySlackFraction is the fraction of the fleet's retry slack that hosts use. The rest covers hosts that join and leave.
const retrySlackFraction = 0.75

// retryShareFraction is the fraction of the fleet's retry share that hosts use.
const retryShareFraction = 0.95

// retryBudgets holds this host's retry budget for each service.
type retryBudgets struct {
	host    *Host
	mu      sync.Mutex
	entries map[string]retry.Budget
}

// burst returns this host's share of the slack, which is divided equally among the hosts of the fleet.
func (r *retryBudgets) burst() float64 {
	limits := r.host.limits.Load()
	return max(1, limits.RetrySlack*retrySlackFraction/float64(r.host.fleet.liveHosts()))
}

// budget returns the budget of the service with the current burst. The caller holds r.mu.
func (r *retryBudgets) budget(service string) retry.Budget {
	budget, ok := r.entries[service]
	if !ok {
		return retry.NewBudgetWithRatio(retryShareFraction*r.host.limits.Load().RetryShare, r.burst())
	}
	return budget.WithBurst(r.burst())
}

// countRequest credits the service's budget with one request.
func (r *retryBudgets) countRequest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries[service] = r.budget(service).WithRequest()
}

// allowRetry takes one retry from the service's budget, and reports whether the budget had one.
func (r *retryBudgets) allowRetry(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	budget, ok := r.budget(service).WithRetry()
	r.entries[service] = budget
	return ok
}
