package lease

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"vanillatally/core/ledger"
)

// Seeds are fixed; -rapid.seed on the command line takes another.
func init() { _ = flag.Set("rapid.seed", "1") }

// newTwoHostLedger returns a ledger of two hosts that are each other's witnesses, and their processes.
func newTwoHostLedger(t *testing.T) (l ledger.Ledger, a, b ledger.Process) {
	l, _ = ledger.Create(ledger.Member{Host: "a"})
	l, _ = l.Join(ledger.Member{Host: "b"})
	l, err := l.AddWitnesses(ledger.Process{Host: "a", Incarnation: 1})
	if err != nil {
		t.Fatal(err)
	}
	return l, ledger.Process{Host: "a", Incarnation: 1}, ledger.Process{Host: "b", Incarnation: 2}
}

// Guards against a vote to fence a member whose lease is still valid on its own clock. Both clocks run up to 1% fast or
// slow, and renewal requests are delayed.
func TestWitnessVotesOnlyAfterLeaseExpired(t *testing.T) {
	l, _, b := newTwoHostLedger(t)
	timing := DefaultTiming()
	rapid.Check(t, func(t *rapid.T) {
		skew := rapid.Float64Range(0.99, 1.01)
		holderClock, witnessClock := skew.Draw(t, "holder"), skew.Draw(t, "witness")
		sent := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "sent"))
		arrived := sent + time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "delay"))
		local := func(at time.Duration, clock float64) time.Duration { return time.Duration(float64(at) * clock) }
		h := NewHolder(timing, b.Incarnation, -timing.HolderTTL).
			Renewed(timing, b.Incarnation, local(sent, holderClock), local(arrived, holderClock))
		w, answer := Witness{}.WithLedger(0, "a", l).HandleRenewal(local(arrived, witnessClock), b, true)
		at := sent + time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "at"))
		if _, voted := w.VoteToFence(timing, local(at, witnessClock), b, l.Epoch); voted && h.Valid(local(at, holderClock)) {
			t.Fatalf("voted to fence %v after the renewal request while the lease is valid, renewal answer %s", at-sent, answer)
		}
	})
}

// Guards against renewing a lease that the witness must not renew, against votes at an unknown epoch or too soon after
// another witness was dropped, and against a vote that still blocks renewals at a later epoch.
func TestWitnessAnswers(t *testing.T) {
	l, _, b := newTwoHostLedger(t)
	timing := DefaultTiming()
	w := Witness{}.WithLedger(0, "a", l)
	late := timing.WitnessTTL + time.Second
	voted, ok := w.VoteToFence(timing, late, b, l.Epoch)
	if !ok {
		t.Fatal("did not vote after WitnessTTL without renewal requests")
	}
	if _, ok := w.VoteToFence(timing, late, b, l.Epoch+1); ok {
		t.Error("voted at an epoch that the witness has not seen")
	}
	next, _ := l.Join(ledger.Member{Host: "c"})
	restarted, _ := l.Join(ledger.Member{Host: "b"})
	// The dropped witness c may just have renewed the lease, so the remaining witness a has to wait a full WitnessTTL.
	dropped, err := next.DeclareDead("c")
	if err != nil {
		t.Fatal(err)
	}
	if w := (Witness{}).WithLedger(0, "a", next).WithLedger(late, "a", dropped); w.MayVoteToFence(
		timing, late+timing.WitnessTTL-1, b, dropped.Epoch,
	) {
		t.Error("may vote before WitnessTTL has passed since another witness was dropped")
	}
	for _, c := range []struct {
		name  string
		w     Witness
		owner ledger.Process
		own   bool
		want  Answer
	}{
		{"witness renews", w, b, true, Granted},
		{"witness's own lease expired", w, b, false, Lapsed},
		{"after a vote to fence", voted, b, true, VotedToFence},
		{"vote ends with the epoch", voted.WithLedger(late, "a", next), b, true, Granted},
		{"ended incarnation", w.WithLedger(late, "a", restarted), b, true, NotWitness},
		{"not its witness", w, ledger.Process{Host: "c", Incarnation: 3}, true, NotWitness},
	} {
		if _, got := c.w.HandleRenewal(late, c.owner, c.own); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}

// Guards against renewing a lease by answers to an earlier process, and against a host without witnesses that keeps an
// unlimited lease after it has asked for witnesses.
func TestHolderValidity(t *testing.T) {
	timing := DefaultTiming()
	h := NewHolder(timing, 7, 0)
	for _, c := range []struct {
		name string
		h    Holder
		at   time.Duration
		want bool
	}{
		{"zero value", Holder{}, 0, false},
		{"new ledger entry", h, timing.HolderTTL - 1, true},
		{"new ledger entry expired", h, timing.HolderTTL, false},
		{"renewed", h.Renewed(timing, 7, time.Second, time.Second), timing.HolderTTL + 999*time.Millisecond, true},
		{"other incarnation", h.Renewed(timing, 6, time.Second, time.Second), timing.HolderTTL, false},
		{"answer from the future", h.Renewed(timing, 7, time.Minute, time.Second), timing.HolderTTL, false},
		{"without witnesses", h.WithWitnesses(0), time.Hour, true},
		{"without witnesses and not in the ledger", Holder{}.WithWitnesses(0), 0, false},
		{"adding witnesses", h.WithWitnesses(0).AddingWitnesses(timing, time.Hour), time.Hour + timing.HolderTTL, false},
	} {
		if got := c.h.Valid(c.at); got != c.want {
			t.Errorf("%s: valid %v, want %v", c.name, got, c.want)
		}
	}
}
