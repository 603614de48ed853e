package ledger

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// assignWitnesses drops witnesses that are no longer members and adds others up to 2, or up to MaxWitnesses when the
// member's region has that many other members. Of the members without witnesses only actor gets some, see
// Member.Witnesses.
func (l *Ledger) assignWitnesses(actor string) {
	load, region := map[string]int{}, map[string]int{}
	for _, m := range l.Members {
		region[m.Region]++
		for _, w := range m.Witnesses {
			load[w]++
		}
	}
	for i := range l.Members {
		m := &l.Members[i]
		had := len(m.Witnesses)
		m.Witnesses = slices.DeleteFunc(m.Witnesses, func(w string) bool { return l.index(w) < 0 })
		if len(m.Witnesses) < had {
			m.WitnessesSinceEpoch = l.Epoch
		}
		if had == 0 && m.Host != actor {
			continue
		}
		want := 2
		if region[m.Region] > MaxWitnesses {
			want = MaxWitnesses
		}
		for len(m.Witnesses) < want {
			w := l.pickWitness(*m, load)
			if w == "" {
				break
			}
			m.Witnesses = append(m.Witnesses, w)
			load[w]++
		}
	}
}

// pickWitness returns the best further witness of m, or "". It prefers, in this order, members that are not leaving,
// members in the same region, in another failure domain, and witnesses of few members; ties are broken by a hash.
func (l *Ledger) pickWitness(m Member, load map[string]int) (best string) {
	var bestRank [5]uint64
	for _, c := range l.Members {
		if c.Host == m.Host || slices.Contains(m.Witnesses, c.Host) {
			continue
		}
		rank := [5]uint64{
			boolRank(c.Leaving), boolRank(c.Region != m.Region), boolRank(c.FailureDomain == m.FailureDomain),
			uint64(load[c.Host]), xxhash.Sum64String(m.Host + "\x00" + c.Host),
		}
		if best == "" || slices.Compare(rank[:], bestRank[:]) < 0 {
			best, bestRank = c.Host, rank
		}
	}
	return best
}

func boolRank(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

// assignSlots spreads the slots evenly over the members that are not leaving, with the fewest moves.
func (l *Ledger) assignSlots() {
	count := map[string]int{}
	var eligible []string
	for _, m := range l.Members {
		if !m.Leaving {
			eligible = append(eligible, m.Host)
			count[m.Host] = 0
		}
	}
	if len(eligible) == 0 {
		for i := range l.Slots {
			switch {
			case l.index(l.Slots[i].Holder) >= 0:
			case len(l.Members) > 0:
				l.move(i, l.Members[0].Host)
			default:
				l.Slots[i] = Slot{PreviousHolder: l.Slots[i].Holder, SinceEpoch: l.Epoch}
			}
		}
		return
	}
	for _, s := range l.Slots {
		if _, ok := count[s.Holder]; ok {
			count[s.Holder]++
		}
	}
	selectHost := func(better func(a, b int) bool) string {
		best := eligible[0]
		for _, h := range eligible[1:] {
			if better(count[h], count[best]) {
				best = h
			}
		}
		return best
	}
	leastLoaded := func() string { return selectHost(func(a, b int) bool { return a < b }) }
	for i := range l.Slots {
		if _, ok := count[l.Slots[i].Holder]; !ok {
			to := leastLoaded()
			if l.move(i, to) {
				count[to]++
			}
		}
	}
	for range SlotCount {
		from, to := selectHost(func(a, b int) bool { return a > b }), leastLoaded()
		if count[from]-count[to] <= 1 {
			return
		}
		moved := false
		for i := SlotCount - 1; i >= 0 && !moved; i-- {
			moved = l.Slots[i].Holder == from && l.move(i, to)
		}
		if !moved {
			return
		}
		count[from]--
		count[to]++
	}
}

// move makes to the holder of slot i and reports whether it did. The former holder, if it is still a member, has to
// release the slot before the new one may use it.
func (l *Ledger) move(i int, to string) bool {
	s := l.Slots[i]
	unreleased := s.Unreleased
	if m, ok := l.Member(s.Holder); ok {
		if len(unreleased) >= MaxUnreleased {
			return false
		}
		unreleased = append(unreleased, Process{m.Host, m.Incarnation})
	}
	// A former holder that gets the slot back need not release it to itself.
	unreleased = slices.DeleteFunc(unreleased, func(p Process) bool { return p.Host == to })
	l.Slots[i] = Slot{Holder: to, PreviousHolder: s.Holder, SinceEpoch: l.Epoch, Unreleased: unreleased}
	return true
}
