package budgets

import (
	"cmp"
	"slices"
	"time"

	"vanillatally/core/budget"
	"vanillatally/core/ledger"
)

const (
	// tickEvery is the time between two rounds of loan requests to the same host.
	tickEvery = 50 * time.Millisecond
	// patience is how long an unanswered request counts as on its way: a round trip between regions and some.
	patience = 150 * time.Millisecond
	// closeBefore returns the unspent rest of a loan while the lender can still take it back.
	closeBefore = 150 * time.Millisecond
	// fanOut bounds the lenders that are asked for one budget in a round.
	fanOut = 8
	// hintLife is how long a lender's statement about its level is used.
	hintLife = time.Second
)

// lender is another holder of some of a budget's slots.
type lender struct {
	host   string
	shares int
	near   bool
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
	n.pulled = false
	n.renew(now)
	n.fenceSilent(now)
	n.askSlots(now)
	n.borrow(now)
}

// borrow closes finished loans and asks for new ones, in at most one message to each host.
func (n *node) borrow(now time.Duration) {
	batches := map[string]*loanRequestMessage{}
	batch := func(to string) *loanRequestMessage {
		if batches[to] == nil {
			batches[to] = &loanRequestMessage{}
		}
		return batches[to]
	}
	valid := n.valid(now)
	for _, c := range n.sorted {
		c.mu.Lock()
		c.book, c.bucket = c.book.Expire(now, c.bucket)
		n.measure(c, now)
		// Sparse demand keeps no borrowed tokens, because another host may need the whole token.
		idle := c.waiting == 0 && c.ahead() == 0
		c.loans = slices.DeleteFunc(c.loans, func(l budget.Loan) bool {
			closed := l.Left <= 0 || now >= l.Expiry-closeBefore || idle
			if closed {
				b := batch(l.Lender)
				b.Settlements = append(b.Settlements, l.Settlement(c.name))
			}
			return closed
		})
		n.request(c, now, valid, batch)
		c.mu.Unlock()
	}
	for _, to := range sortedKeys(batches) {
		if len(batches[to].Requests) > 0 {
			n.lastTo[to] = now
		}
		n.send(to, kindLoanRequest, *batches[to])
	}
}

// measure updates the demand from what callers asked for since the last tick.
func (n *node) measure(c *cell, now time.Duration) {
	if dt := now - c.ticked; dt >= tickEvery/2 {
		c.demand = 0.5*c.demand + 0.5*c.attempted/dt.Seconds()
		if c.attempted == 0 && c.demand < c.unit/10 {
			c.demand = 0
		}
		c.attempted, c.ticked = 0, now
	}
}

// request asks lenders for what the cell is short of, those with known tokens and of the own region first.
func (n *node) request(c *cell, now time.Duration, valid bool, batch func(string) *loanRequestMessage) {
	ahead := c.ahead()
	wanted := ahead + c.waiting
	c.asked = slices.DeleteFunc(c.asked, func(o open) bool { return now-o.sent >= budget.BorrowerTTL })
	have := c.usable(now, valid)
	for _, o := range c.asked {
		if now-o.sent < patience {
			have += o.amount
		}
	}
	if have >= wanted || len(c.lenders) == 0 {
		c.scarce = false
		return
	}
	lenders, total := n.ranked(c, now, ahead == 0)
	// Parts of a token that cannot be completed would only be missing elsewhere.
	coming := c.limits.Rate * patience.Seconds()
	c.scarce = have+total+coming < c.unit
	if ahead == 0 && have+total < min(c.unit, wanted) {
		return
	}
	// Half a need more than is missing, so that not every tick asks. Levels are estimates, and the last part of
	// a token is the hardest to get, so a little more is asked for.
	short, asked := wanted+ahead/2-have+c.unit*budget.MinLoanFraction/2, 0
	for _, l := range lenders {
		if short <= 0 || asked >= fanOut || len(c.asked)+len(c.loans) >= budget.MaxLoansPerBorrower {
			return
		}
		if l.level < c.unit*budget.MinLoanFraction || now < n.lastTo[l.host]+tickEvery {
			continue
		}
		n.loanID++
		r := budget.LoanRequest{Name: c.name, ID: n.loanID, Amount: min(max(short, c.unit*budget.MinLoanFraction), l.level), MaxCost: c.unit}
		c.asked = append(c.asked, open{r.ID, l.host, r.Amount, now})
		c.hints[l.host] = hint{l.level - r.Amount, now}
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

// ranked returns the lenders in the order in which to ask, and the sum of their estimated levels. Sparse demand
// asks the fullest first, because a full bucket wastes its refill; other demand the own region first.
func (n *node) ranked(c *cell, now time.Duration, sparse bool) (ranked []candidate, total float64) {
	shares := float64(c.limits.Shares())
	ranked = make([]candidate, 0, len(c.lenders))
	first := n.rng.IntN(len(c.lenders))
	for k := range c.lenders {
		l := c.lenders[(first+k)%len(c.lenders)]
		part := float64(l.shares) / shares
		level := c.limits.Burst * part
		if h, ok := c.hints[l.host]; ok && now-h.at < hintLife {
			level = min(level, h.left+c.limits.Rate*part*(now-h.at).Seconds())
		}
		total += max(0, level)
		ranked = append(ranked, candidate{l, level})
	}
	slices.SortStableFunc(ranked, func(a, b candidate) int {
		switch {
		case sparse && a.level != b.level:
			return cmp.Compare(b.level, a.level)
		case a.near == b.near:
			return 0
		case a.near:
			return -1
		}
		return 1
	})
	return ranked, total
}

// loanAsked lends what this host can spare and takes note of closed loans.
func (n *node) loanAsked(now time.Duration, from string, m loanRequestMessage) {
	cells, grants := *n.cells.Load(), []budget.LoanGrant(nil)
	life := n.holder.Expiry() - now
	if n.defects.loanOutlivesLease {
		life = time.Hour
	}
	for _, s := range m.Settlements {
		if c := cells[s.Name]; c != nil {
			c.mu.Lock()
			c.book, c.bucket = c.book.Settle(now, c.bucket, from, s)
			c.mu.Unlock()
		}
	}
	for _, r := range m.Requests {
		c := cells[r.Name]
		if c == nil {
			continue
		}
		c.mu.Lock()
		c.book, c.bucket = c.book.Expire(now, c.bucket)
		if !c.book.Contains(from, r.ID) {
			var g budget.LoanGrant
			c.book, c.bucket, g = c.book.Lend(now, c.bucket, from, r, c.ahead()+c.waiting, life)
			if n.defects.noOutstanding {
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

// loanGranted accepts the grants that answer open requests; duplicates and late ones are ignored.
func (n *node) loanGranted(now time.Duration, from string, m loanGrantMessage) {
	cells := *n.cells.Load()
	for _, g := range m.Grants {
		c := cells[g.Name]
		if c == nil {
			continue
		}
		c.mu.Lock()
		c.hints[from] = hint{g.LenderLevel, now}
		at := slices.IndexFunc(c.asked, func(o open) bool { return o.id == g.ID && o.lender == from })
		if at >= 0 {
			l := budget.Accept(from, c.asked[at].sent, g)
			if !n.defects.acceptDuplicates {
				c.asked = slices.Delete(c.asked, at, at+1)
			}
			if l.Usable(now) > 0 && len(c.loans) < budget.MaxLoansPerBorrower {
				c.loans = append(c.loans, l)
				c.counts.Borrowed += l.Amount
			}
			c.wakeWaiters()
		}
		c.mu.Unlock()
	}
}

// pruneHints forgets hosts that are no longer members, which bounds the maps by the fleet's size.
func (n *node) pruneHints() {
	gone := func(host string) bool { _, ok := n.ledger.Member(host); return !ok }
	for host := range n.lastTo {
		if gone(host) {
			delete(n.lastTo, host)
		}
	}
	for _, c := range n.sorted {
		c.mu.Lock()
		for host := range c.hints {
			if gone(host) {
				delete(c.hints, host)
			}
		}
		c.mu.Unlock()
	}
}

// receive handles one message.
func (n *node) receive(now time.Duration, from string, message any) {
	switch m := message.(type) {
	case renewMessage:
		n.renewAsked(now, from, m)
	case renewedMessage:
		n.renewed(now, from, m)
	case fenceMessage:
		n.fenceAsked(now, from, m)
	case voteMessage:
		n.voted(now, from, m)
	case slotAskMessage:
		n.slotAsked(from, slotMessage(m))
	case slotMessage:
		n.slotReleased(now, from, m)
	case loanRequestMessage:
		n.loanAsked(now, from, m)
	case loanGrantMessage:
		n.loanGranted(now, from, m)
	case ledgerAskMessage:
		if m.Epoch < n.ledger.Epoch {
			if value, err := n.ledger.Encode(); err == nil {
				n.send(from, kindLedger, ledgerMessage{n.ledger.Epoch, value})
			}
		}
	case ledgerMessage:
		if m.Epoch <= n.ledger.Epoch {
			return
		}
		if l, err := ledger.Decode(m.Value); err == nil {
			n.learn(now, l)
		}
	}
}
