package budgets

import (
	"slices"
	"time"

	"vanillatally/core/lease"
	"vanillatally/core/ledger"
)

const (
	// fenceStagger delays the second and third witness, so that one of them normally does the fencing.
	fenceStagger = 300 * time.Millisecond
	// rejoinAfter is how long a lapsed lease may still be renewed before the host joins as a new incarnation.
	rejoinAfter = time.Second
)

// fence is an attempt to fence a member. Witnesses are first asked whether the member is silent; only when
// all are agreed and the store answers are they asked to promise, because a promise binds until the next epoch.
type fence struct {
	asked  time.Duration
	silent []string
	votes  []ledger.Vote
}

// renew sends the renewal requests that are due, and notes since when the lease has lapsed.
func (n *node) renew(now time.Duration) {
	holder, due := n.holder.RenewalDue(n.terms, now)
	n.holder = holder
	if due {
		m, _ := n.ledger.Member(n.self.Host)
		for _, w := range m.Witnesses {
			n.send(w, kindRenew, renewMessage{n.owner().Incarnation, now, n.ledger.Epoch})
		}
	}
	switch {
	case n.holder.Valid(now):
		n.lapsedAt = 0
	case n.lapsedAt == 0:
		n.lapsedAt = now
	}
}

func (n *node) renewAsked(now time.Duration, from string, m renewMessage) {
	n.heard(from, m.Epoch)
	witness, answer := n.witness.HandleRenewal(now, ledger.Process{Host: from, Incarnation: m.Incarnation}, n.holder.Valid(now))
	n.witness = witness
	n.send(from, kindRenewed, renewedMessage{m.Incarnation, m.Sent, n.ledger.Epoch, answer, n.owner().Incarnation})
}

func (n *node) renewed(now time.Duration, from string, m renewedMessage) {
	n.heard(from, m.Epoch)
	ok := m.Answer == lease.Granted
	if m.Answer == lease.Lapsed && m.Incarnation == n.owner().Incarnation {
		n.witness, ok = n.witness.HandleLapsedAnswer(now, ledger.Process{Host: from, Incarnation: m.Witness})
	}
	if ok {
		n.holder = n.holder.Renewed(n.terms, m.Incarnation, m.Sent, now)
		n.publish()
	}
}

// fenceSilent pursues the fencing of the members that this host witnesses and that are silent.
func (n *node) fenceSilent(now time.Duration) {
	if n.owner().Incarnation == 0 {
		return
	}
	for _, o := range n.witness.ExpiredMembers(n.terms, now) {
		m, ok := n.ledger.Member(o.Host)
		if !ok || m.Incarnation != o.Incarnation {
			continue
		}
		position := time.Duration(slices.Index(m.Witnesses, n.self.Host))
		late := n.terms
		late.WitnessTTL += position * fenceStagger
		if !n.witness.MayVoteToFence(late, now, o, n.ledger.Epoch) {
			continue
		}
		f, started := n.fences[o]
		if started && now < f.asked+askEvery {
			continue
		}
		f.asked = now
		n.fences[o] = f
		for _, w := range m.Witnesses {
			ask := fenceMessage{o.Host, o.Incarnation, n.ledger.Epoch, n.storeRecent(now) && n.agreed(m, f)}
			if w == n.self.Host {
				n.fenceAsked(now, w, ask)
			} else {
				n.send(w, kindFence, ask)
			}
		}
	}
}

// storeRecent reports whether the store answered lately enough to ask for promises.
func (n *node) storeRecent(now time.Duration) bool {
	return n.storeUp && now-n.storeSeen < time.Second
}

// agreed reports whether all witnesses have said that the member is silent.
func (n *node) agreed(m ledger.Member, f fence) bool {
	for _, w := range m.Witnesses {
		if !slices.Contains(f.silent, w) {
			return false
		}
	}
	return true
}

func (n *node) fenceAsked(now time.Duration, from string, m fenceMessage) {
	n.heard(from, m.Epoch)
	o := ledger.Process{Host: m.Host, Incarnation: m.Incarnation}
	ok := n.owner().Incarnation != 0 && n.witness.MayVoteToFence(n.terms, now, o, m.Epoch)
	if m.Promise && ok {
		n.witness, ok = n.witness.VoteToFence(n.terms, now, o, m.Epoch)
	}
	if !ok {
		return
	}
	vote := voteMessage{m, n.owner().Incarnation}
	if from == n.self.Host {
		n.voted(now, from, vote)
	} else {
		n.send(from, kindVote, vote)
	}
}

func (n *node) voted(now time.Duration, from string, m voteMessage) {
	o := ledger.Process{Host: m.Host, Incarnation: m.Incarnation}
	f, ok := n.fences[o]
	if !ok || m.Epoch != n.ledger.Epoch {
		return
	}
	vote := ledger.Vote{Witness: from, Incarnation: m.Witness}
	switch {
	case m.Promise && !slices.Contains(f.votes, vote):
		f.votes = append(slices.Clone(f.votes), vote)
	case !slices.Contains(f.silent, from):
		f.silent = append(slices.Clone(f.silent), from)
		if member, _ := n.ledger.Member(o.Host); n.agreed(member, f) {
			f.asked = now - askEvery
		}
	}
	n.fences[o] = f
}

// change is a transition of the ledger that this host wants to write.
type change struct {
	next ledger.Ledger
	// join is set when the change is this process's own entry.
	join bool
}

func (n *node) declaredDead(m ledger.Member) bool { return n.dead != nil && n.dead(m) }

// propose returns the next change for the known ledger, if one is due. asOf is a time at which the store
// still held the known ledger; the lease of a host that takes its first witnesses counts from it.
func (n *node) propose(asOf time.Duration, leaving bool) (c change, ok bool) {
	if n.lapsedAt != 0 && asOf-n.lapsedAt >= rejoinAfter && !n.holder.Valid(asOf) {
		// The lease will not be renewed; its loans ended with it, so the slots may start empty.
		n.drop(asOf)
	}
	o := n.owner()
	if o.Incarnation == 0 {
		_, known := n.ledger.Member(n.self.Host)
		if leaving || known && asOf < n.replaceAfter || n.declaredDead(n.self) {
			return change{}, false
		}
		next, err := n.ledger.Join(n.self)
		return change{next, true}, err == nil
	}
	me, _ := n.ledger.Member(o.Host)
	if i := slices.IndexFunc(n.ledger.Members, n.declaredDead); i >= 0 && !n.declaredDead(me) {
		next, err := n.ledger.DeclareDead(n.ledger.Members[i].Host)
		return change{next: next}, err == nil
	}
	if len(me.Witnesses) == 0 && len(n.ledger.Members) > 1 {
		next, err := n.ledger.AddWitnesses(o)
		n.holder = n.holder.AddingWitnesses(n.terms, asOf)
		n.publish()
		return change{next: next}, err == nil
	}
	for _, f := range n.witness.ExpiredMembers(n.terms, asOf) {
		vs := n.fences[f].votes
		if n.defects.oneVote && len(vs) > 0 {
			vs = nil
			m, _ := n.ledger.Member(f.Host)
			for _, w := range m.Witnesses {
				wm, _ := n.ledger.Member(w)
				vs = append(vs, ledger.Vote{Witness: w, Incarnation: wm.Incarnation})
			}
		}
		if next, err := n.ledger.Fence(f, vs); err == nil {
			return change{next: next}, true
		}
	}
	if leaving && !me.Leaving {
		next, err := n.ledger.MarkLeaving(o)
		return change{next: next}, err == nil
	}
	var settled uint64
	for i, s := range n.ledger.Slots {
		if n.held&(1<<i) != 0 && len(s.Unreleased) > 0 {
			settled |= 1 << i
		}
	}
	if settled != 0 {
		next, err := n.ledger.MarkAcquired(o, settled)
		return change{next: next}, err == nil
	}
	return change{}, false
}
