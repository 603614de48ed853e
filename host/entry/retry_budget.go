package entry

import (
	"sync"

	"vanillatally/core/retry"
)

// retrySlackFraction is the part of the fleet's slack that hosts use; the rest covers hosts that come and go.
const retrySlackFraction = 0.75

// retryShareFraction is the part of the fleet's share of retries that hosts use.
const retryShareFraction = 0.95

// retryBudgets holds a budget for each service.
type retryBudgets struct {
	host    *Host
	mu      sync.Mutex
	entries map[string]retry.Budget
}

// burst is this host's part of the slack that the fleet has together.
func (r *retryBudgets) burst() float64 {
	limits := r.host.limits.Load()
	return max(1, limits.RetrySlack*retrySlackFraction/float64(r.host.fleet.liveHosts()))
}

func (r *retryBudgets) budget(service string) retry.Budget {
	budget, ok := r.entries[service]
	if !ok {
		return retry.NewBudgetWithRatio(retryShareFraction*r.host.limits.Load().RetryShare, r.burst())
	}
	return budget.WithBurst(r.burst())
}

// countRequest counts a countRequest for service.
func (r *retryBudgets) countRequest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries[service] = r.budget(service).WithRequest()
}

// allowRetry reports whether a request may arrive at one more backend server of service.
func (r *retryBudgets) allowRetry(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	budget, ok := r.budget(service).WithRetry()
	r.entries[service] = budget
	return ok
}
