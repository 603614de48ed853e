package entry

import (
	"sync"

	"vanillatally/core/retry"
)

// retrySlackPart is the part of the fleet's slack that hosts use; the rest covers hosts that come and go.
const retrySlackPart = 0.75

// retryShareOf is the part of the fleet's share of retries that hosts use.
const retryShareOf = 0.95

// retries holds a budget for each service.
type retries struct {
	host *Host
	mu   sync.Mutex
	all  map[string]retry.Budget
}

// burst is this host's part of the slack that the fleet has together.
func (r *retries) burst() float64 {
	limits := r.host.limits.Load()
	return max(1, limits.RetrySlack*retrySlackPart/float64(r.host.fleet.hosts()))
}

func (r *retries) of(service string) retry.Budget {
	budget, ok := r.all[service]
	if !ok {
		return retry.NewBudgetWithRatio(retryShareOf*r.host.limits.Load().RetryShare, r.burst())
	}
	return budget.WithBurst(r.burst())
}

// request counts a request for service.
func (r *retries) request(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all[service] = r.of(service).WithRequest()
}

// retry reports whether a request may arrive at one more backend server of service.
func (r *retries) retry(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	budget, ok := r.of(service).WithRetry()
	r.all[service] = budget
	return ok
}
