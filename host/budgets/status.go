package budgets

import (
	"math/bits"
	"strings"
	"time"

	"vanillatally/core/lease"
)

// BudgetStatus is the state of one budget on this host.
type BudgetStatus struct {
	Level         float64 `json:"level"`
	Outstanding   float64 `json:"outstanding"`
	Cap           float64 `json:"cap"`
	Shares        int     `json:"shares"`
	BorrowedLoans int     `json:"loans"`
	Demand        float64 `json:"demand"`
	Counts
}

// Status is the state of the service that operators see.
type Status struct {
	LedgerEpoch     uint64        `json:"epoch"`
	Members         int           `json:"members"`
	Incarnation     uint64        `json:"incarnation"`
	LeaseValid      bool          `json:"lease-valid"`
	LeaseLeft       time.Duration `json:"lease-left"`
	NoWitnesses     bool          `json:"alone"`
	HeldSlots       int           `json:"held"`
	AwaitedSlots    int           `json:"awaited"`
	StoreUp         bool          `json:"store-up"`
	StoreErrors     uint64        `json:"store-errors"`
	DroppedMessages uint64        `json:"dropped"`
	// Teams and Links hold the budgets by name.
	Teams map[string]BudgetStatus `json:"teams"`
	Links map[string]BudgetStatus `json:"links"`
}

// Status returns the service's state.
func (s *Service) Status() Status {
	n, now := s.node, s.options.Clock()
	n.mu.Lock()
	defer n.mu.Unlock()
	expiry := n.holder.Expiry()
	status := Status{
		LedgerEpoch: n.ledger.Epoch, Members: len(n.ledger.Members), Incarnation: n.process().Incarnation,
		LeaseValid: now < expiry, NoWitnesses: expiry == lease.NoExpiry,
		HeldSlots: bits.OnesCount64(n.heldSlots), AwaitedSlots: len(n.awaitedSlots),
		StoreUp: n.storeUp, StoreErrors: s.storeErrors.Load(), DroppedMessages: s.droppedMessages.Load(),
		Teams: map[string]BudgetStatus{}, Links: map[string]BudgetStatus{},
	}
	if status.LeaseValid && !status.NoWitnesses {
		status.LeaseLeft = expiry - now
	}
	for _, lim := range n.sortedLimiters {
		lim.mu.Lock()
		b := lim.bucket.Refilled(now)
		entry := BudgetStatus{b.Level, b.Outstanding, b.Cap, lim.heldShares(), len(lim.borrowedLoans), lim.demand, lim.counts}
		lim.mu.Unlock()
		if name, ok := strings.CutPrefix(lim.name, linkPrefix); ok {
			status.Links[name] = entry
		} else {
			status.Teams[lim.name] = entry
		}
	}
	return status
}
