package budgets

import (
	"cmp"
	"slices"
	"time"

	"vanillatally/core/budget"
	"vanillatally/core/ledger"
)

const (
	// tickInterval is the time between two ticks, and the minimum time between two loan requests to the same host.
	tickInterval = 50 * time.Millisecond
	// grantTimeout is how long the amount of an open request counts as expected: a round trip between regions and a margin.
	grantTimeout = 150 * time.Millisecond
	// settleBeforeExpiry is how long before its expiry a loan is settled, so that the lender can still take back the rest.
	settleBeforeExpiry = 150 * time.Millisecond
	// maxLendersPerRound bounds the lenders that are asked for tokens of one budget in a round.
	maxLendersPerRound = 8
	// lenderLevelTTL is how long a reported level of a lender is used.
	lenderLevelTTL = time.Second
)

// lender is another host that holds some of the slots of a budget.
type lender struct {
	host       string
	shares     int
	sameRegion bool
}

// lendersOf returns the other hosts that hold some of the slots, those in this host's region first.
func (n *node) lendersOf(slots uint64) (lenders []lender) {
	shares := map[string]int{}
	for i, s := range n.ledger.Slots {
		if slots&(1<<i) != 0 && s.Holder != n.self.Host && s.Holder != "" {
			shares[s.Holder]++
		}
	}
	for _, sameRegion := range []bool{true, false} {
		for _, host := range sortedKeys(shares) {
			m, _ := n.ledger.Member(host)
			if (m.Region == n.self.Region) == sameRegion {
				lenders = append(lenders, lender{host, shares[host], sameRegion})
			}
		}
	}
	return lenders
}

// tick does the periodic work that is due at now.
func (n *node) tick(now time.Duration) {
	n.ledgerRequested = false
	n.sendRenewals(now)
	n.fenceExpiredMembers(now)
	n.requestSlots(now)
	n.updateLoans(now)
}

// updateLoans settles loans that have ended and requests new ones, in at most one message to each host.
func (n *node) updateLoans(now time.Duration) {
	batches := map[string]*loanRequestMessage{}
	batch := func(to string) *loanRequestMessage {
		if batches[to] == nil {
			batches[to] = &loanRequestMessage{}
		}
		return batches[to]
	}
	valid := n.leaseValid(now)
	for _, lim := range n.sortedLimiters {
		lim.mu.Lock()
		lim.outstandingLoans, lim.bucket = lim.outstandingLoans.Expire(now, lim.bucket)
		n.updateDemand(lim, now)
		// With sparse demand no borrowed tokens are kept, because another host may need them to complete a whole one.
		keepNone := lim.waitingCost == 0 && lim.reserveTokens() == 0
		lim.borrowedLoans = slices.DeleteFunc(lim.borrowedLoans, func(l budget.Loan) bool {
			closed := l.Left <= 0 || now >= l.Expiry-settleBeforeExpiry || keepNone
			if closed {
				b := batch(l.Lender)
				b.Settlements = append(b.Settlements, l.Settlement(lim.name))
			}
			return closed
		})
		n.requestLoans(lim, now, valid, batch)
		lim.mu.Unlock()
	}
	for _, to := range sortedKeys(batches) {
		if len(batches[to].Requests) > 0 {
			n.lastLoanRequest[to] = now
		}
		n.send(to, kindLoanRequest, *batches[to])
	}
}

// updateDemand updates the smoothed demand from the cost that callers asked for since the last measurement.
func (n *node) updateDemand(lim *limiter, now time.Duration) {
	if elapsed := now - lim.demandMeasuredAt; elapsed >= tickInterval/2 {
		lim.demand = 0.5*lim.demand + 0.5*lim.attemptedCost/elapsed.Seconds()
		if lim.attemptedCost == 0 && lim.demand < lim.maxCost/10 {
			lim.demand = 0
		}
		lim.attemptedCost, lim.demandMeasuredAt = 0, now
	}
}

// requestLoans requests the missing tokens of one budget from its lenders, in the order of rankLenders.
func (n *node) requestLoans(lim *limiter, now time.Duration, valid bool, batch func(string) *loanRequestMessage) {
	reserve := lim.reserveTokens()
	wanted := reserve + lim.waitingCost
	lim.openRequests = slices.DeleteFunc(lim.openRequests, func(o openRequest) bool { return now-o.sentAt >= budget.BorrowerTTL })
	have := lim.usableTokens(now, valid)
	for _, o := range lim.openRequests {
		if now-o.sentAt < grantTimeout {
			have += o.amount
		}
	}
	if have >= wanted || len(lim.lenders) == 0 {
		lim.lendersEmpty = false
		return
	}
	lenders, total := n.rankLenders(lim, now, reserve == 0)
	refill := lim.limits.Rate * grantTimeout.Seconds()
	lim.lendersEmpty = have+total+refill < lim.maxCost
	// With sparse demand nothing is borrowed when all lenders together cannot complete an admission, because the parts would
	// only be missing elsewhere.
	if reserve == 0 && have+total < min(lim.maxCost, wanted) {
		return
	}
	// Half the reserve is requested on top of what is missing, so that not every tick sends requests. Levels are estimates,
	// and the last part of a token is the hardest to get, so a little more is requested.
	missing, requestCount := wanted+reserve/2-have+lim.maxCost*budget.MinLoanFraction/2, 0
	for _, l := range lenders {
		if missing <= 0 || requestCount >= maxLendersPerRound ||
			len(lim.openRequests)+len(lim.borrowedLoans) >= budget.MaxLoansPerBorrower {
			return
		}
		if l.level < lim.maxCost*budget.MinLoanFraction || now < n.lastLoanRequest[l.host]+tickInterval {
			continue
		}
		n.lastLoanID++
		r := budget.LoanRequest{
			Name: lim.name, ID: n.lastLoanID,
			Amount: min(max(missing, lim.maxCost*budget.MinLoanFraction), l.level), MaxCost: lim.maxCost,
		}
		lim.openRequests = append(lim.openRequests, openRequest{r.ID, l.host, r.Amount, now})
		lim.lenderLevels[l.host] = lenderLevel{l.level - r.Amount, now}
		b := batch(l.host)
		b.Requests = append(b.Requests, r)
		missing -= r.Amount
		requestCount++
	}
}

// candidate is a lender with its estimated bucket level.
type candidate struct {
	lender
	level float64
}

// rankLenders returns the lenders in the order in which to ask them, and the sum of their estimated levels. With sparse demand
// the fullest come first, because a full bucket wastes its refill; otherwise those in this host's region come first.
func (n *node) rankLenders(lim *limiter, now time.Duration, sparse bool) (ranked []candidate, total float64) {
	shares := float64(lim.limits.Shares())
	ranked = make([]candidate, 0, len(lim.lenders))
	first := n.rng.IntN(len(lim.lenders))
	for k := range lim.lenders {
		l := lim.lenders[(first+k)%len(lim.lenders)]
		fraction := float64(l.shares) / shares
		level := lim.limits.Burst * fraction
		if h, ok := lim.lenderLevels[l.host]; ok && now-h.knownAt < lenderLevelTTL {
			level = min(level, h.tokens+lim.limits.Rate*fraction*(now-h.knownAt).Seconds())
		}
		total += max(0, level)
		ranked = append(ranked, candidate{l, level})
	}
	slices.SortStableFunc(ranked, func(a, b candidate) int {
		switch {
		case sparse && a.level != b.level:
			return cmp.Compare(b.level, a.level)
		case a.sameRegion == b.sameRegion:
			return 0
		case a.sameRegion:
			return -1
		}
		return 1
	})
	return ranked, total
}

// handleLoanRequest books the settlements and lends what this host can spare.
func (n *node) handleLoanRequest(now time.Duration, from string, m loanRequestMessage) {
	limiters, grants := *n.limiters.Load(), []budget.LoanGrant(nil)
	leaseLeft := n.holder.Expiry() - now
	if n.disabled.loanOutlivesLease {
		leaseLeft = time.Hour
	}
	for _, s := range m.Settlements {
		if lim := limiters[s.Name]; lim != nil {
			lim.mu.Lock()
			lim.outstandingLoans, lim.bucket = lim.outstandingLoans.Settle(now, lim.bucket, from, s)
			lim.mu.Unlock()
		}
	}
	for _, r := range m.Requests {
		lim := limiters[r.Name]
		if lim == nil {
			continue
		}
		lim.mu.Lock()
		lim.outstandingLoans, lim.bucket = lim.outstandingLoans.Expire(now, lim.bucket)
		if !lim.outstandingLoans.Contains(from, r.ID) {
			var g budget.LoanGrant
			lim.outstandingLoans, lim.bucket, g = lim.outstandingLoans.Lend(
				now, lim.bucket, from, r, lim.reserveTokens()+lim.waitingCost, leaseLeft)
			if n.disabled.noOutstandingCount {
				lim.bucket.Outstanding = 0
			}
			lim.counts.Lent += g.Amount
			grants = append(grants, g)
		}
		lim.mu.Unlock()
	}
	if len(grants) > 0 {
		n.send(from, kindLoanGrant, loanGrantMessage{grants})
	}
}

// handleLoanGrant accepts the grants that answer open requests. Duplicate and late grants are ignored.
func (n *node) handleLoanGrant(now time.Duration, from string, m loanGrantMessage) {
	limiters := *n.limiters.Load()
	for _, g := range m.Grants {
		lim := limiters[g.Name]
		if lim == nil {
			continue
		}
		lim.mu.Lock()
		lim.lenderLevels[from] = lenderLevel{g.LenderLevel, now}
		index := slices.IndexFunc(lim.openRequests, func(o openRequest) bool { return o.id == g.ID && o.lender == from })
		if index >= 0 {
			l := budget.Accept(from, lim.openRequests[index].sentAt, g)
			if !n.disabled.acceptDuplicateGrants {
				lim.openRequests = slices.Delete(lim.openRequests, index, index+1)
			}
			if l.Usable(now) > 0 && len(lim.borrowedLoans) < budget.MaxLoansPerBorrower {
				lim.borrowedLoans = append(lim.borrowedLoans, l)
				lim.counts.Borrowed += l.Amount
			}
			lim.wakeWaiters()
		}
		lim.mu.Unlock()
	}
}

// forgetDepartedHosts forgets hosts that are no longer members, which bounds the maps by the fleet's size.
func (n *node) forgetDepartedHosts() {
	departed := func(host string) bool { _, ok := n.ledger.Member(host); return !ok }
	for host := range n.lastLoanRequest {
		if departed(host) {
			delete(n.lastLoanRequest, host)
		}
	}
	for _, lim := range n.sortedLimiters {
		lim.mu.Lock()
		for host := range lim.lenderLevels {
			if departed(host) {
				delete(lim.lenderLevels, host)
			}
		}
		lim.mu.Unlock()
	}
}

// handleMessage handles one message.
func (n *node) handleMessage(now time.Duration, from string, message any) {
	switch m := message.(type) {
	case renewMessage:
		n.handleRenew(now, from, m)
	case renewedMessage:
		n.handleRenewed(now, from, m)
	case fenceMessage:
		n.handleFence(now, from, m)
	case voteMessage:
		n.handleVote(now, from, m)
	case slotRequestMessage:
		n.handleSlotRequest(from, slotReleaseMessage(m))
	case slotReleaseMessage:
		n.handleSlotRelease(now, from, m)
	case loanRequestMessage:
		n.handleLoanRequest(now, from, m)
	case loanGrantMessage:
		n.handleLoanGrant(now, from, m)
	case ledgerRequestMessage:
		if m.Epoch < n.ledger.Epoch {
			if value, err := n.ledger.Encode(); err == nil {
				n.send(from, kindLedger, ledgerMessage{n.ledger.Epoch, value})
			}
		}
	case ledgerMessage:
		if m.Epoch <= n.ledger.Epoch {
			return
		}
		if l, err := ledger.Decode(m.Ledger); err == nil {
			n.adoptNewer(now, l)
		}
	}
}
