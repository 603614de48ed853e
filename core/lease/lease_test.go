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

// pair returns a ledger with two hosts that witness each other, and the owners.
func pair(t *testing.T) (l ledger.Ledger, a, b ledger.Process) {
	l, _ = ledger.Create(ledger.Member{Host: "a"})
	l, _ = l.Join(ledger.Member{Host: "b"})
	l, err := l.AddWitnesses(ledger.Process{Host: "a", Incarnation: 1})
	if err != nil {
		t.Fatal(err)
	}
	return l, ledger.Process{Host: "a", Incarnation: 1}, ledger.Process{Host: "b", Incarnation: 2}
}

// Guards against a vote to fence while the holder, with a clock up to 1% apart from true time, still holds its lease.
func TestWitnessVotesOnlyAfterTheHoldersEnd(t *testing.T) {
	l, _, b := pair(t)
	terms := DefaultTiming()
	rapid.Check(t, func(t *rapid.T) {
		skew := rapid.Float64Range(0.99, 1.01)
		holderClock, witnessClock := skew.Draw(t, "holder"), skew.Draw(t, "witness")
		sent := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "sent"))
		arrived := sent + time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "delay"))
		local := func(at time.Duration, clock float64) time.Duration { return time.Duration(float64(at) * clock) }
		h := NewHolder(terms, b.Incarnation, -terms.HolderTTL).Renewed(terms, b.Incarnation, local(sent, holderClock), local(arrived, holderClock))
		w, answer := Witness{}.WithLedger(0, "a", l).HandleRenewal(local(arrived, witnessClock), b, true)
		at := sent + time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "at"))
		if _, voted := w.VoteToFence(terms, local(at, witnessClock), b, l.Epoch); voted && h.Valid(local(at, holderClock)) {
			t.Fatalf("voted %v after the request while the lease holds, answer %s", at-sent, answer)
		}
	})
}

// Guards against each way in which a witness must refuse, and against promises that bind for ever.
func TestWitnessAnswers(t *testing.T) {
	l, _, b := pair(t)
	terms := DefaultTiming()
	w := Witness{}.WithLedger(0, "a", l)
	late := terms.WitnessTTL + time.Second
	promised, ok := w.VoteToFence(terms, late, b, l.Epoch)
	if !ok {
		t.Fatal("no vote after a long silence")
	}
	if _, ok := w.VoteToFence(terms, late, b, l.Epoch+1); ok {
		t.Error("voted at an epoch that the witness does not know")
	}
	next, _ := l.Join(ledger.Member{Host: "c"})
	restarted, _ := l.Join(ledger.Member{Host: "b"})
	// A renewal by the dropped witness c may hold for as long as the remaining witness a must still wait.
	dropped, err := next.DeclareDead("c")
	if err != nil {
		t.Fatal(err)
	}
	if w := (Witness{}).WithLedger(0, "a", next).WithLedger(late, "a", dropped); w.MayVoteToFence(terms, late+terms.WitnessTTL-1, b, dropped.Epoch) {
		t.Error("votes at once after another witness was dropped")
	}
	for _, c := range []struct {
		name  string
		w     Witness
		owner ledger.Process
		own   bool
		want  Answer
	}{
		{"witness renews", w, b, true, Granted},
		{"own lease lapsed", w, b, false, Lapsed},
		{"after a promise", promised, b, true, VotedToFence},
		{"promise ends with the epoch", promised.WithLedger(late, "a", next), b, true, Granted},
		{"ended incarnation", w.WithLedger(late, "a", restarted), b, true, NotWitness},
		{"not its witness", w, ledger.Process{Host: "c", Incarnation: 3}, true, NotWitness},
	} {
		if _, got := c.w.HandleRenewal(late, c.owner, c.own); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}

// Guards against a lease from answers to an earlier process, and against a lone host that keeps its lease for ever
// after it asked for witnesses.
func TestHolder(t *testing.T) {
	terms := DefaultTiming()
	h := NewHolder(terms, 7, 0)
	for _, c := range []struct {
		name string
		h    Holder
		at   time.Duration
		want bool
	}{
		{"zero value", Holder{}, 0, false},
		{"fresh entry", h, terms.HolderTTL - 1, true},
		{"fresh entry ends", h, terms.HolderTTL, false},
		{"renewed", h.Renewed(terms, 7, time.Second, time.Second), terms.HolderTTL + 999*time.Millisecond, true},
		{"other incarnation", h.Renewed(terms, 6, time.Second, time.Second), terms.HolderTTL, false},
		{"answer from the future", h.Renewed(terms, 7, time.Minute, time.Second), terms.HolderTTL, false},
		{"alone", h.WithWitnesses(0), time.Hour, true},
		{"alone outside the ledger", Holder{}.WithWitnesses(0), 0, false},
		{"adopting", h.WithWitnesses(0).AddingWitnesses(terms, time.Hour), time.Hour + terms.HolderTTL, false},
	} {
		if got := c.h.Valid(c.at); got != c.want {
			t.Errorf("%s: valid %v, want %v", c.name, got, c.want)
		}
	}
}
