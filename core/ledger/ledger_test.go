package ledger

import (
	"flag"
	"fmt"
	"math/bits"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Seeds are fixed; -rapid.seed on the command line takes another.
func init() { _ = flag.Set("rapid.seed", "1") }

func member(i, regions int) Member {
	return Member{
		Host: fmt.Sprintf("h%02d", i), Region: fmt.Sprintf("r%d", i%regions), FailureDomain: fmt.Sprintf("z%d", i%(2*regions)),
	}
}

func newFleetLedger(t interface{ Fatal(...any) }, n, regions int) Ledger {
	var l Ledger
	for i := range n {
		var err error
		if l, err = l.Join(member(i, regions)); err != nil {
			t.Fatal(err)
		}
	}
	for _, m := range l.Members {
		if len(m.Witnesses) == 0 {
			l, _ = l.AddWitnesses(Process{m.Host, m.Incarnation})
		}
	}
	return l
}

// Guards against transitions that assign slots unevenly, move more slots than necessary, drop a witness that is still a
// member, give first witnesses to a member that did not ask for them, or return an invalid ledger.
func TestTransitionsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newFleetLedger(t, rapid.IntRange(1, 12).Draw(t, "hosts"), 3)
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			m := l.Members[rapid.IntRange(0, len(l.Members)-1).Draw(t, "member")]
			process, next := Process{m.Host, m.Incarnation}, l
			switch rapid.IntRange(0, 4).Draw(t, "change") {
			case 0:
				next, _ = l.Join(member(rapid.IntRange(0, 20).Draw(t, "joins"), 3))
			case 1:
				var votes []Vote
				for _, w := range m.Witnesses {
					witness, _ := l.Member(w)
					votes = append(votes, Vote{w, witness.Incarnation})
				}
				next, _ = l.Fence(process, votes)
			case 2:
				next, _ = l.MarkLeaving(process)
			case 3:
				if len(l.Members) > 1 {
					next, _ = l.Leave(process)
				}
			case 4:
				next, _ = l.MarkAcquired(process, l.AssignedSlots(m.Host))
			}
			if next.Epoch == l.Epoch {
				continue
			}
			checkTransition(t, l, next)
			l = next
		}
	})
}

func checkTransition(t *rapid.T, before, after Ledger) {
	if err := after.Validate(); err != nil {
		t.Fatal(err)
	}
	lowest, highest, moved, eligible := SlotCount, 0, 0, 0
	for _, m := range after.Members {
		n := bits.OnesCount64(after.AssignedSlots(m.Host))
		if !m.Leaving {
			lowest, highest, eligible = min(lowest, n), max(highest, n), eligible+1
		}
		if old, ok := before.Member(m.Host); ok {
			for _, w := range old.Witnesses {
				if _, alive := after.Member(w); alive && !slices.Contains(m.Witnesses, w) {
					t.Fatalf("%s lost the witness %s, which is still a member", m.Host, w)
				}
			}
			if len(old.Witnesses) == 0 && len(m.Witnesses) > 0 && old.Incarnation == m.Incarnation && old.Leaving == m.Leaving {
				t.Fatalf("%s got its first witnesses by another host's transition", m.Host)
			}
		}
	}
	if eligible > 0 && highest-lowest > 1 {
		t.Fatalf("slots per host range from %d to %d, want a difference of at most 1", lowest, highest)
	}
	for i := range after.Slots {
		if after.Slots[i].Holder != before.Slots[i].Holder {
			moved++
		}
	}
	largest := 0
	for _, l := range []Ledger{before, after} {
		for _, m := range l.Members {
			largest = max(largest, bits.OnesCount64(l.AssignedSlots(m.Host)))
		}
	}
	if moved > largest {
		t.Fatalf("%d slots moved, want at most the %d slots of one host", moved, largest)
	}
}

// Guards against fencing a member without the votes of all its witnesses, or with a vote of a witness that has restarted
// since and may renew the lease.
func TestFenceNeedsVotesOfAllWitnesses(t *testing.T) {
	l := newFleetLedger(t, 6, 2)
	m := l.Members[0]
	process := Process{m.Host, m.Incarnation}
	var votes []Vote
	for _, w := range m.Witnesses {
		witness, _ := l.Member(w)
		votes = append(votes, Vote{w, witness.Incarnation})
	}
	if _, err := l.Fence(process, votes[1:]); err == nil {
		t.Error("fenced without the vote of a witness")
	}
	restarted, _ := l.Join(Member{Host: votes[0].Witness, Region: "r0"})
	if _, err := restarted.Fence(process, votes); err == nil {
		t.Error("fenced with the vote of an earlier incarnation of a witness")
	}
	next, err := l.Fence(process, votes)
	if err != nil || next.IsMember(process) || next.AssignedSlots(process.Host) != 0 {
		t.Errorf("fencing failed or left the member in the ledger: %v", err)
	}
	if dead := l.DeclareRegionDead("r0"); len(dead.Members) != 3 || dead.Validate() != nil {
		t.Errorf("%d members are left without region r0, want 3 in a valid ledger", len(dead.Members))
	}
}

// Guards against using a corrupt or foreign value in the store as the ledger.
func TestDecodeRejectsInvalidValues(t *testing.T) {
	value, err := newFleetLedger(t, 3, 1).Encode()
	if err != nil {
		t.Fatal(err)
	}
	good := string(value)
	if l, err := Decode(value); err != nil || l.Epoch == 0 {
		t.Fatalf("decode of an encoded ledger: %v", err)
	}
	for _, c := range []struct{ name, old, new string }{
		{"unknown field", `"epoch"`, `"extra":1,"epoch"`},
		{"epoch 0", `"epoch":`, `"epoch":0,"x":`},
		{"unknown holder", `"holder":"h00"`, `"holder":"h99"`},
		{"member is its own witness", `"witnesses":["h01"`, `"witnesses":["h00"`},
		{"incarnation above the epoch", `"incarnation":1,`, `"incarnation":99,`},
		{"trailing data", `}]}`, `}]}{}`},
		{"members out of order", `"host":"h00","incarnation"`, `"host":"h77","incarnation"`},
	} {
		bad := strings.Replace(good, c.old, c.new, 1)
		if _, err := Decode([]byte(bad)); bad == good || err == nil {
			t.Errorf("%s: accepted", c.name)
		}
	}
}
