package ledger

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// ErrNotMember is returned when a transition concerns a host or incarnation that is not in the ledger.
var ErrNotMember = errors.New("host is not a member of the ledger with this incarnation")

// ErrFull is returned when the ledger has MaxMembers members.
var ErrFull = errors.New("ledger is full")

// Vote is a witness's promise not to renew a member's lease again at this epoch.
type Vote struct {
	Witness     string
	Incarnation uint64
}

// Create returns the first ledger, in which m holds all slots.
func Create(m Member) (Ledger, error) { return Ledger{}.Join(m) }

// next returns a deep copy at the following epoch.
func (l Ledger) next() Ledger {
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

// Join adds m, or replaces an earlier incarnation of it, which the caller knows to have ended.
// The new incarnation is the new epoch. Slots of a replaced incarnation stay with the host and start empty.
func (l Ledger) Join(m Member) (Ledger, error) {
	n := l.next()
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
	return n.settled(m.Host), nil
}

// AddWitnesses gives witnesses to a member that has none. Only the member itself may make this change, because
// until it knows its witnesses it takes its lease to hold always.
func (l Ledger) AddWitnesses(o Process) (Ledger, error) {
	if !l.IsMember(o) {
		return l, ErrNotMember
	}
	return l.next().settled(o.Host), nil
}

// Fence removes a member whose witnesses have all promised not to renew it. A vote counts only if it comes
// from the witness's incarnation in this ledger: a restarted witness has forgotten its promises.
func (l Ledger) Fence(o Process, votes []Vote) (Ledger, error) {
	if !l.IsMember(o) {
		return l, ErrNotMember
	}
	m, _ := l.Member(o.Host)
	if len(m.Witnesses) == 0 {
		return l, errors.Newf("host %s has no witnesses and cannot be fenced", o.Host)
	}
	for _, w := range m.Witnesses {
		wm, _ := l.Member(w)
		if !slices.Contains(votes, Vote{w, wm.Incarnation}) {
			return l, errors.Newf("witness %s has not voted to fence %s", w, o.Host)
		}
	}
	return l.lose(func(m Member) bool { return m.Host == o.Host }), nil
}

// MarkLeaving takes the slots from a member that is about to stop; it remains a member until Leave.
func (l Ledger) MarkLeaving(o Process) (Ledger, error) {
	if !l.IsMember(o) {
		return l, ErrNotMember
	}
	n := l.next()
	n.Members[n.index(o.Host)].Leaving = true
	return n.settled(""), nil
}

// Leave removes a member that has stopped using its slots and renewing others.
func (l Ledger) Leave(o Process) (Ledger, error) {
	if !l.IsMember(o) {
		return l, ErrNotMember
	}
	return l.remove(func(m Member) bool { return m.Host == o.Host }), nil
}

// DeclareRegionDead removes all members of a region. The operator asserts that none of them runs.
func (l Ledger) DeclareRegionDead(region string) Ledger {
	return l.lose(func(m Member) bool { return m.Region == region })
}

// DeclareDead removes a member that can neither be fenced nor replaced. The operator asserts that it has ended.
func (l Ledger) DeclareDead(host string) (Ledger, error) {
	if l.index(host) < 0 {
		return l, ErrNotMember
	}
	return l.lose(func(m Member) bool { return m.Host == host }), nil
}

// MarkAcquired clears the earlier holders of the slots that o reports to have started using.
func (l Ledger) MarkAcquired(o Process, slots uint64) (Ledger, error) {
	if !l.IsMember(o) {
		return l, ErrNotMember
	}
	n := l.next()
	for i := range n.Slots {
		if slots&(1<<i) != 0 && n.Slots[i].Holder == o.Host {
			n.Slots[i].Unreleased = nil
		}
	}
	return n, nil
}

// lose removes members that have not left.
func (l Ledger) lose(gone func(Member) bool) Ledger {
	n := l.remove(gone)
	n.LostCount += uint64(len(l.Members) - len(n.Members))
	return n
}

func (l Ledger) remove(gone func(Member) bool) Ledger {
	n := l.next()
	n.Members = slices.DeleteFunc(n.Members, gone)
	return n.settled("")
}

// settled restores the invariants between members, witnesses and slots after a change of the members.
func (l Ledger) settled(actor string) Ledger {
	for i := range l.Slots {
		l.Slots[i].Unreleased = slices.DeleteFunc(l.Slots[i].Unreleased, func(o Process) bool { return !l.IsMember(o) })
	}
	l.assignWitnesses(actor)
	l.assignSlots()
	return l
}
