package budgets

import (
	"slices"
	"time"

	"vanillatally/core/lease"
	"vanillatally/core/ledger"
)

const (
	// witnessStagger delays the second and third witness of a member, so that normally only the first one starts the fencing.
	witnessStagger = 300 * time.Millisecond
	// rejoinDelay is how long an expired lease may still be renewed before the host joins as a new incarnation.
	rejoinDelay = time.Second
)

// fenceAttempt collects the witnesses' answers for fencing a member. The witnesses are first asked whether the member is
// silent. Only when all say so and the store answers are they asked for binding votes, because a vote binds until the next
// epoch.
type fenceAttempt struct {
	askedAt        time.Duration
	silenceReports []string
	votes          []ledger.Vote
}

// sendRenewals sends the lease renewals that are due, and records since when the lease has been invalid.
func (n *node) sendRenewals(now time.Duration) {
	holder, due := n.holder.RenewalDue(n.timing, now)
	n.holder = holder
	if due {
		m, _ := n.ledger.Member(n.self.Host)
		for _, w := range m.Witnesses {
			n.send(w, kindRenew, renewMessage{n.process().Incarnation, now, n.ledger.Epoch})
		}
	}
	switch {
	case n.holder.Valid(now):
		n.leaseLapsedAt = 0
	case n.leaseLapsedAt == 0:
		n.leaseLapsedAt = now
	}
}

// handleRenew answers a renewal request as a witness.
func (n *node) handleRenew(now time.Duration, from string, m renewMessage) {
	n.requestNewerLedger(from, m.Epoch)
	witness, answer := n.witness.HandleRenewal(now, ledger.Process{Host: from, Incarnation: m.Incarnation}, n.holder.Valid(now))
	n.witness = witness
	n.send(from, kindRenewed, renewedMessage{m.Incarnation, m.SentAt, n.ledger.Epoch, answer, n.process().Incarnation})
}

// handleRenewed renews this host's lease after the answer of a witness.
func (n *node) handleRenewed(now time.Duration, from string, m renewedMessage) {
	n.requestNewerLedger(from, m.Epoch)
	ok := m.Answer == lease.Granted
	if m.Answer == lease.Lapsed && m.Incarnation == n.process().Incarnation {
		n.witness, ok = n.witness.HandleLapsedAnswer(now, ledger.Process{Host: from, Incarnation: m.WitnessIncarnation})
	}
	if ok {
		n.holder = n.holder.Renewed(n.timing, m.Incarnation, m.SentAt, now)
		n.publishLease()
	}
}

// fenceExpiredMembers asks the witnesses to fence the expired members that this host witnesses.
func (n *node) fenceExpiredMembers(now time.Duration) {
	if n.process().Incarnation == 0 {
		return
	}
	for _, o := range n.witness.ExpiredMembers(n.timing, now) {
		m, ok := n.ledger.Member(o.Host)
		if !ok || m.Incarnation != o.Incarnation {
			continue
		}
		position := time.Duration(slices.Index(m.Witnesses, n.self.Host))
		delayed := n.timing
		delayed.WitnessTTL += position * witnessStagger
		if !n.witness.MayVoteToFence(delayed, now, o, n.ledger.Epoch) {
			continue
		}
		f, started := n.fenceAttempts[o]
		if started && now < f.askedAt+requestInterval {
			continue
		}
		f.askedAt = now
		n.fenceAttempts[o] = f
		for _, w := range m.Witnesses {
			message := fenceMessage{o.Host, o.Incarnation, n.ledger.Epoch, n.storeAnsweredRecently(now) && n.allReportSilence(m, f)}
			if w == n.self.Host {
				n.handleFence(now, w, message)
			} else {
				n.send(w, kindFence, message)
			}
		}
	}
}

// storeAnsweredRecently reports whether the store answered recently enough to ask for binding votes.
func (n *node) storeAnsweredRecently(now time.Duration) bool {
	return n.storeUp && now-n.storeAnsweredAt < time.Second
}

// allReportSilence reports whether all witnesses have said that the member is silent.
func (n *node) allReportSilence(m ledger.Member, f fenceAttempt) bool {
	for _, w := range m.Witnesses {
		if !slices.Contains(f.silenceReports, w) {
			return false
		}
	}
	return true
}

// handleFence answers, as a witness, whether a member is silent, or votes to fence it. Without agreement it does not answer.
func (n *node) handleFence(now time.Duration, from string, m fenceMessage) {
	n.requestNewerLedger(from, m.Epoch)
	o := ledger.Process{Host: m.Host, Incarnation: m.Incarnation}
	ok := n.process().Incarnation != 0 && n.witness.MayVoteToFence(n.timing, now, o, m.Epoch)
	if m.Binding && ok {
		n.witness, ok = n.witness.VoteToFence(n.timing, now, o, m.Epoch)
	}
	if !ok {
		return
	}
	vote := voteMessage{m, n.process().Incarnation}
	if from == n.self.Host {
		n.handleVote(now, from, vote)
	} else {
		n.send(from, kindVote, vote)
	}
}

// handleVote records the answer of a witness to a fenceMessage of this host.
func (n *node) handleVote(now time.Duration, from string, m voteMessage) {
	o := ledger.Process{Host: m.Host, Incarnation: m.Incarnation}
	f, ok := n.fenceAttempts[o]
	if !ok || m.Epoch != n.ledger.Epoch {
		return
	}
	vote := ledger.Vote{Witness: from, Incarnation: m.WitnessIncarnation}
	switch {
	case m.Binding && !slices.Contains(f.votes, vote):
		f.votes = append(slices.Clone(f.votes), vote)
	case !slices.Contains(f.silenceReports, from):
		f.silenceReports = append(slices.Clone(f.silenceReports), from)
		if member, _ := n.ledger.Member(o.Host); n.allReportSilence(member, f) {
			f.askedAt = now - requestInterval
		}
	}
	n.fenceAttempts[o] = f
}

// ledgerChange is a transition of the ledger that this host is about to write.
type ledgerChange struct {
	next ledger.Ledger
	// isJoin is set when the change adds this process as a member.
	isJoin bool
}

func (n *node) declaredDead(m ledger.Member) bool {
	return n.operatorDeclaredDead != nil && n.operatorDeclaredDead(m)
}

// proposeChange returns the next change of the known ledger, if one is due. asOf is a time at which the store still held the
// known ledger; the lease of a host that adds its first witnesses counts from it.
func (n *node) proposeChange(asOf time.Duration, leaving bool) (c ledgerChange, ok bool) {
	if n.leaseLapsedAt != 0 && asOf-n.leaseLapsedAt >= rejoinDelay && !n.holder.Valid(asOf) {
		// The lease will not be renewed any more. The loans of this host have ended with it, so the slots may start empty.
		n.dropSlots(asOf)
	}
	o := n.process()
	if o.Incarnation == 0 {
		_, known := n.ledger.Member(n.self.Host)
		if leaving || known && asOf < n.replaceEntryAfter || n.declaredDead(n.self) {
			return ledgerChange{}, false
		}
		next, err := n.ledger.Join(n.self)
		return ledgerChange{next, true}, err == nil
	}
	me, _ := n.ledger.Member(o.Host)
	if i := slices.IndexFunc(n.ledger.Members, n.declaredDead); i >= 0 && !n.declaredDead(me) {
		next, err := n.ledger.DeclareDead(n.ledger.Members[i].Host)
		return ledgerChange{next: next}, err == nil
	}
	if len(me.Witnesses) == 0 && len(n.ledger.Members) > 1 {
		next, err := n.ledger.AddWitnesses(o)
		n.holder = n.holder.AddingWitnesses(n.timing, asOf)
		n.publishLease()
		return ledgerChange{next: next}, err == nil
	}
	for _, expired := range n.witness.ExpiredMembers(n.timing, asOf) {
		votes := n.fenceAttempts[expired].votes
		if n.disabled.fenceByOneVote && len(votes) > 0 {
			votes = nil
			m, _ := n.ledger.Member(expired.Host)
			for _, w := range m.Witnesses {
				wm, _ := n.ledger.Member(w)
				votes = append(votes, ledger.Vote{Witness: w, Incarnation: wm.Incarnation})
			}
		}
		if next, err := n.ledger.Fence(expired, votes); err == nil {
			return ledgerChange{next: next}, true
		}
	}
	if leaving && !me.Leaving {
		next, err := n.ledger.MarkLeaving(o)
		return ledgerChange{next: next}, err == nil
	}
	var acquired uint64
	for i, s := range n.ledger.Slots {
		if n.heldSlots&(1<<i) != 0 && len(s.Unreleased) > 0 {
			acquired |= 1 << i
		}
	}
	if acquired != 0 {
		next, err := n.ledger.MarkAcquired(o, acquired)
		return ledgerChange{next: next}, err == nil
	}
	return ledgerChange{}, false
}
