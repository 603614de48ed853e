package ledger

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// ErrNotMember is returned by transitions of a host or incarnation that is not a member.
var ErrNotMember = errors.New("host is not a member of the ledger with this incarnation")

// ErrFull is returned when the ledger has MaxMembers members.
var ErrFull = errors.New("ledger is full")

// Vote is a witness's vote to fence a member. The witness renews the member's lease no more at this epoch.
type Vote struct {
	Witness     string
	Incarnation uint64
}

// Create returns a new ledger in which m is the only member and holds all slots.
func Create(m Member) (Ledger, error) { return Ledger{}.Join(m) }

// nextEpoch returns a deep copy with the next epoch.
func (l Ledger) nextEpoch() Ledger {
	l.Epoch++
	l.Members = slices.Clone(l.Members)
	for i := range l.Members {
		l.Members[i].Witnesses = slices.Clone(l.Members[i].Witnesses)
	}
	for i := range l.Slots {
		l.Slots[i].Unreleased = slices.Clone(l.Slots[i].Unreleased)
	}
	return l
}

func (l Ledger) index(host string) int {
	return slices.IndexFunc(l.Members, func(m Member) bool { return m.Host == host })
}

// Join adds m with the new epoch as its incarnation. If the host is already a member, the new incarnation replaces the
// old one, which the caller knows to have ended. The host keeps its slots, but their state is lost.
func (l Ledger) Join(m Member) (Ledger, error) {
	n := l.nextEpoch()
	m.Incarnation, m.Leaving, m.Witnesses = n.Epoch, false, nil
	if i := n.index(m.Host); i >= 0 {
		n.LostCount++
		m.Witnesses, m.WitnessesSinceEpoch = n.Members[i].Witnesses, n.Members[i].WitnessesSinceEpoch
		n.Members[i] = m
		for s := range n.Slots {
			if n.Slots[s].Holder == m.Host {
				n.Slots[s].SinceEpoch, n.Slots[s].PreviousHolder = n.Epoch, m.Host
			}
		}
	} else {
		if len(n.Members) >= MaxMembers {
			return l, ErrFull
		}
		n.Members = append(n.Members, m)
		slices.SortFunc(n.Members, func(a, b Member) int {
			if a.Host < b.Host {
				return -1
			}
			return 1
		})
	}
	return n.reassigned(m.Host), nil
}

// AddWitnesses adds witnesses to a member that has none. Only the member itself may do this, because its lease doesn't
// expire until it knows that it has witnesses.
func (l Ledger) AddWitnesses(p Process) (Ledger, error) {
	if !l.IsMember(p) {
		return l, ErrNotMember
	}
	return l.nextEpoch().reassigned(p.Host), nil
}

// Fence removes a member if all its witnesses have voted for it. A vote counts only if it comes from the witness's
// incarnation in this ledger: a restarted witness has forgotten its votes and may renew the lease.
func (l Ledger) Fence(p Process, votes []Vote) (Ledger, error) {
	if !l.IsMember(p) {
		return l, ErrNotMember
	}
	m, _ := l.Member(p.Host)
	if len(m.Witnesses) == 0 {
		return l, errors.Newf("host %s has no witnesses and cannot be fenced", p.Host)
	}
	for _, w := range m.Witnesses {
		witness, _ := l.Member(w)
		if !slices.Contains(votes, Vote{w, witness.Incarnation}) {
			return l, errors.Newf("witness %s has not voted to fence %s", w, p.Host)
		}
	}
	return l.removeLost(func(m Member) bool { return m.Host == p.Host }), nil
}

// MarkLeaving moves the slots away from a member that is about to stop. It remains a member until Leave.
func (l Ledger) MarkLeaving(p Process) (Ledger, error) {
	if !l.IsMember(p) {
		return l, ErrNotMember
	}
	n := l.nextEpoch()
	n.Members[n.index(p.Host)].Leaving = true
	return n.reassigned(""), nil
}

// Leave removes a member that no longer uses its slots or renews leases of others.
func (l Ledger) Leave(p Process) (Ledger, error) {
	if !l.IsMember(p) {
		return l, ErrNotMember
	}
	return l.remove(func(m Member) bool { return m.Host == p.Host }), nil
}

// DeclareRegionDead removes all members of a region. The operator asserts that none of them is running.
func (l Ledger) DeclareRegionDead(region string) Ledger {
	return l.removeLost(func(m Member) bool { return m.Region == region })
}

// DeclareDead removes a member that can neither be fenced nor replaced. The operator asserts that it is not running.
func (l Ledger) DeclareDead(host string) (Ledger, error) {
	if l.index(host) < 0 {
		return l, ErrNotMember
	}
	return l.removeLost(func(m Member) bool { return m.Host == host }), nil
}

// MarkAcquired clears Unreleased of the slots that p holds and has started to use.
func (l Ledger) MarkAcquired(p Process, slots uint64) (Ledger, error) {
	if !l.IsMember(p) {
		return l, ErrNotMember
	}
	n := l.nextEpoch()
	for i := range n.Slots {
		if slots&(1<<i) != 0 && n.Slots[i].Holder == p.Host {
			n.Slots[i].Unreleased = nil
		}
	}
	return n, nil
}

// removeLost removes members that didn't leave by themselves and counts them in LostCount.
func (l Ledger) removeLost(removed func(Member) bool) Ledger {
	n := l.remove(removed)
	n.LostCount += uint64(len(l.Members) - len(n.Members))
	return n
}

func (l Ledger) remove(removed func(Member) bool) Ledger {
	n := l.nextEpoch()
	n.Members = slices.DeleteFunc(n.Members, removed)
	return n.reassigned("")
}

// reassigned updates the assignment of witnesses and slots after a change of the members. actor is the only member that
// may get its first witnesses.
func (l Ledger) reassigned(actor string) Ledger {
	for i := range l.Slots {
		l.Slots[i].Unreleased = slices.DeleteFunc(l.Slots[i].Unreleased, func(p Process) bool { return !l.IsMember(p) })
	}
	l.assignWitnesses(actor)
	l.assignSlots()
	return l
}
