package era

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a new era whose lower revisions count as older, and against another order once positions are packed into
// messages.
func TestPositionsAreOrderedByEraFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) Position {
			e := Era(5<<16) + Era(rapid.Uint16().Draw(t, name+" era"))
			return Position{Era: e, Revision: rapid.Uint64Range(0, MaxRevision).Draw(t, name+" revision")}
		}
		a, b := draw("a"), draw("b")
		if a.Era < b.Era && !a.Before(b) || a.Era == b.Era && a.Before(b) != (a.Revision < b.Revision) {
			t.Fatalf("%+v and %+v are in the wrong order", a, b)
		}
		if a.Before(b) != (a.Packed() < b.Packed()) {
			t.Fatalf("%+v and %+v have another order when packed", a, b)
		}
	})
}

// Guards against revisions that change without the header, and against a revision that spills into the era.
func TestPackedKeepsWithinBounds(t *testing.T) {
	for _, c := range []struct {
		position Position
		want     uint64
	}{
		{Position{0, 17}, 17},
		{Position{0, math.MaxUint64}, math.MaxUint64},
		{Position{3, 17}, 3<<revisionBits | 17},
		{Position{3, math.MaxUint64}, 4<<revisionBits - 1},
		{Position{7<<16 + 3, 17}, 3<<revisionBits | 17},
	} {
		if got := c.position.Packed(); got != c.want {
			t.Errorf("%+v is packed to %#x, want %#x", c.position, got, c.want)
		}
	}
}

// Guards against a late response that is taken over, a restore that is not noticed or noticed twice, and a restore that is
// assumed when a process starts.
func TestLatestJudgesResponses(t *testing.T) {
	var latest Latest
	for i, c := range []struct {
		stated  bool
		era     Era
		want    Verdict
		highest Era
	}{
		{true, 4, Current, 4},
		{true, 4, Current, 4},
		{true, 3, Late, 4},
		{false, 0, Current, 4},
		{true, 0, Late, 4},
		{true, 6, Restored, 6},
		{true, 6, Current, 6},
		{true, 5, Late, 6},
	} {
		var got Verdict
		if c.stated {
			latest, got = latest.WithStated(c.era)
		} else {
			latest = latest.WithUnstated()
		}
		if got != c.want || latest.Era != c.highest {
			t.Errorf("response %d: verdict %d, highest era %d; want %d, %d", i, got, latest.Era, c.want, c.highest)
		}
	}
	if latest = (Latest{}).WithUnstated(); latest.Stated {
		t.Error("a response without an era counts as one that states it")
	}
	if latest, _ = latest.WithStated(0); !latest.Stated {
		t.Error("a response that states era 0 counts as one without an era")
	}
	if _, got := (Latest{}).WithUnstated().WithStated(1); got != Restored {
		t.Errorf("the first stated era after responses without one: verdict %d, want Restored", got)
	}
}
