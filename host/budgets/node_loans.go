package budgets

import (
	"cmp"
	"slices"
	"time"

	"vanillatally/core/budget"
	"vanillatally/core/ledger"
)

const (
	// tickInterval is the time between two rounds of loan requests to the same host.
	tickInterval = 50 * time.Millisecond
	// grantTimeout is how long an unanswered request counts as on its way: a round trip between regions and some.
	grantTimeout = 150 * time.Millisecond
	// settleBeforeExpiry returns the unspent rest of a loan while the lender can still take it back.
	settleBeforeExpiry = 150 * time.Millisecond
	// maxLendersPerRound bounds the lenders that are asked for one budget in a round.
	maxLendersPerRound = 8
	// lenderLevelTTL is how long a lender's statement about its level is used.
	lenderLevelTTL = time.Second
)

// lender is another holder of some of a budget's slots.
type lender struct {
	host       string
	shares     int
	sameRegion bool
}

// lendersOf returns the other holders of the slots, those of the own region first.
func (n *node) lendersOf(slots uint64) (lenders []lender) {
	shares := map[string]int{}
	for i, s := range n.ledger.Slots {
		if slots&(1<<i) != 0 && s.Holder != n.self.Host && s.Holder != "" {
			shares[s.Holder]++
		}
	}
	for _, near := range []bool{true, false} {
		for _, host := range sortedKeys(shares) {
			m, _ := n.ledger.Member(host)
			if (m.Region == n.self.Region) == near {
				lenders = append(lenders, lender{host, shares[host], near})
			}
		}
	}
	return lenders
}

// tick does all that is due at now.
func (n *node) tick(now time.Duration) {
	n.ledgerRequested = false
	n.sendRenewals(now)
	n.fenceSilentMembers(now)
	n.requestSlots(now)
	n.updateLoans(now)
}

// updateLoans closes finished loans and asks for new ones, in at most one message to each host.
func (n *node) updateLoans(now time.Duration) {
	batches := map[string]*loanRequestMessage{}
	batch := func(to string) *loanRequestMessage {
		if batches[to] == nil {
			batches[to] = &loanRequestMessage{}
		}
		return batches[to]
	}
	valid := n.leaseValid(now)
	for _, c := range n.sortedLimiters {
		c.mu.Lock()
		c.outstandingLoans, c.bucket = c.outstandingLoans.Expire(now, c.bucket)
		n.updateDemand(c, now)
		// Sparse demand keeps no borrowed tokens, because another host may need the whole token.
		idle := c.waitingCost == 0 && c.reserveTokens() == 0
		c.borrowedLoans = slices.DeleteFunc(c.borrowedLoans, func(l budget.Loan) bool {
			closed := l.Left <= 0 || now >= l.Expiry-settleBeforeExpiry || idle
			if closed {
				b := batch(l.Lender)
				b.Settlements = append(b.Settlements, l.Settlement(c.name))
			}
			return closed
		})
		n.requestLoans(c, now, valid, batch)
		c.mu.Unlock()
	}
	for _, to := range sortedKeys(batches) {
		if len(batches[to].Requests) > 0 {
			n.lastLoanRequest[to] = now
		}
		n.send(to, kindLoanRequest, *batches[to])
	}
}

// updateDemand updates the demand from what callers asked for since the last tick.
func (n *node) updateDemand(c *limiter, now time.Duration) {
	if dt := now - c.demandMeasuredAt; dt >= tickInterval/2 {
		c.demand = 0.5*c.demand + 0.5*c.attemptedCost/dt.Seconds()
		if c.attemptedCost == 0 && c.demand < c.maxCost/10 {
			c.demand = 0
		}
		c.attemptedCost, c.demandMeasuredAt = 0, now
	}
}

// requestLoans asks lenders for what the cell is short of, those with known tokens and of the own region first.
func (n *node) requestLoans(c *limiter, now time.Duration, valid bool, batch func(string) *loanRequestMessage) {
	ahead := c.reserveTokens()
	wanted := ahead + c.waitingCost
	c.openRequests = slices.DeleteFunc(c.openRequests, func(o openRequest) bool { return now-o.sentAt >= budget.BorrowerTTL })
	have := c.usableTokens(now, valid)
	for _, o := range c.openRequests {
		if now-o.sentAt < grantTimeout {
			have += o.amount
		}
	}
	if have >= wanted || len(c.lenders) == 0 {
		c.lendersEmpty = false
		return
	}
	lenders, total := n.rankLenders(c, now, ahead == 0)
	// Parts of a token that cannot be completed would only be missing elsewhere.
	coming := c.limits.Rate * grantTimeout.Seconds()
	c.lendersEmpty = have+total+coming < c.maxCost
	if ahead == 0 && have+total < min(c.maxCost, wanted) {
		return
	}
	// Half a need more than is missing, so that not every tick asks. Levels are estimates, and the last part of
	// a token is the hardest to get, so a little more is asked for.
	short, asked := wanted+ahead/2-have+c.maxCost*budget.MinLoanFraction/2, 0
	for _, l := range lenders {
		if short <= 0 || asked >= maxLendersPerRound || len(c.openRequests)+len(c.borrowedLoans) >= budget.MaxLoansPerBorrower {
			return
		}
		if l.level < c.maxCost*budget.MinLoanFraction || now < n.lastLoanRequest[l.host]+tickInterval {
			continue
		}
		n.lastLoanID++
		r := budget.LoanRequest{Name: c.name, ID: n.lastLoanID, Amount: min(max(short, c.maxCost*budget.MinLoanFraction), l.level), MaxCost: c.maxCost}
		c.openRequests = append(c.openRequests, openRequest{r.ID, l.host, r.Amount, now})
		c.lenderLevels[l.host] = lenderLevel{l.level - r.Amount, now}
		b := batch(l.host)
		b.Requests = append(b.Requests, r)
		short -= r.Amount
		asked++
	}
}

// candidate is a lender with the level that it is estimated to have.
type candidate struct {
	lender
	level float64
}

// rankLenders returns the lenders in the order in which to ask, and the sum of their estimated levels. Sparse demand
// asks the fullest first, because a full bucket wastes its refill; other demand the own region first.
func (n *node) rankLenders(c *limiter, now time.Duration, sparse bool) (ranked []candidate, total float64) {
	shares := float64(c.limits.Shares())
	ranked = make([]candidate, 0, len(c.lenders))
	first := n.rng.IntN(len(c.lenders))
	for k := range c.lenders {
		l := c.lenders[(first+k)%len(c.lenders)]
		part := float64(l.shares) / shares
		level := c.limits.Burst * part
		if h, ok := c.lenderLevels[l.host]; ok && now-h.knownAt < lenderLevelTTL {
			level = min(level, h.tokens+c.limits.Rate*part*(now-h.knownAt).Seconds())
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

// handleLoanRequest lends what this host can spare and takes note of closed loans.
func (n *node) handleLoanRequest(now time.Duration, from string, m loanRequestMessage) {
	cells, grants := *n.limiters.Load(), []budget.LoanGrant(nil)
	life := n.holder.Expiry() - now
	if n.disabled.loanOutlivesLease {
		life = time.Hour
	}
	for _, s := range m.Settlements {
		if c := cells[s.Name]; c != nil {
			c.mu.Lock()
			c.outstandingLoans, c.bucket = c.outstandingLoans.Settle(now, c.bucket, from, s)
			c.mu.Unlock()
		}
	}
	for _, r := range m.Requests {
		c := cells[r.Name]
		if c == nil {
			continue
		}
		c.mu.Lock()
		c.outstandingLoans, c.bucket = c.outstandingLoans.Expire(now, c.bucket)
		if !c.outstandingLoans.Contains(from, r.ID) {
			var g budget.LoanGrant
			c.outstandingLoans, c.bucket, g = c.outstandingLoans.Lend(now, c.bucket, from, r, c.reserveTokens()+c.waitingCost, life)
			if n.disabled.noOutstandingCount {
				c.bucket.Outstanding = 0
			}
			c.counts.Lent += g.Amount
			grants = append(grants, g)
		}
		c.mu.Unlock()
	}
	if len(grants) > 0 {
		n.send(from, kindLoanGrant, loanGrantMessage{grants})
	}
}

// handleLoanGrant accepts the grants that answer open requests; duplicates and late ones are ignored.
func (n *node) handleLoanGrant(now time.Duration, from string, m loanGrantMessage) {
	cells := *n.limiters.Load()
	for _, g := range m.Grants {
		c := cells[g.Name]
		if c == nil {
			continue
		}
		c.mu.Lock()
		c.lenderLevels[from] = lenderLevel{g.LenderLevel, now}
		at := slices.IndexFunc(c.openRequests, func(o openRequest) bool { return o.id == g.ID && o.lender == from })
		if at >= 0 {
			l := budget.Accept(from, c.openRequests[at].sentAt, g)
			if !n.disabled.acceptDuplicateGrants {
				c.openRequests = slices.Delete(c.openRequests, at, at+1)
			}
			if l.Usable(now) > 0 && len(c.borrowedLoans) < budget.MaxLoansPerBorrower {
				c.borrowedLoans = append(c.borrowedLoans, l)
				c.counts.Borrowed += l.Amount
			}
			c.wakeWaiters()
		}
		c.mu.Unlock()
	}
}

// forgetDepartedHosts forgets hosts that are no longer members, which bounds the maps by the fleet's size.
func (n *node) forgetDepartedHosts() {
	gone := func(host string) bool { _, ok := n.ledger.Member(host); return !ok }
	for host := range n.lastLoanRequest {
		if gone(host) {
			delete(n.lastLoanRequest, host)
		}
	}
	for _, c := range n.sortedLimiters {
		c.mu.Lock()
		for host := range c.lenderLevels {
			if gone(host) {
				delete(c.lenderLevels, host)
			}
		}
		c.mu.Unlock()
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
