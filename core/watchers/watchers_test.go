package watchers

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a region that watches through hosts that the store turns away while it serves another one, against none
// that watches, and against hosts that disagree.
func TestChoose(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringMatching("[a-d]{1,3}"), 1, 9, rapid.ID).Draw(t, "names")
		var hosts []Host
		reached := 0
		for _, name := range names {
			h := Host{Name: name, Away: rapid.Bool().Draw(t, "away")}
			hosts = append(hosts, h)
			if !h.Away {
				reached++
			}
		}
		chosen := Choose(hosts)
		if len(chosen) != min(len(hosts), Count) {
			t.Fatalf("%d of %d hosts watch", len(chosen), len(hosts))
		}
		for i, name := range chosen {
			away := hosts[slices.IndexFunc(hosts, func(h Host) bool { return h.Name == name })].Away
			if away != (i >= reached) {
				t.Fatalf("host %d of %v watches, away %v; %d hosts reach the store", i, chosen, away, reached)
			}
		}
		slices.Reverse(hosts)
		if again := Choose(hosts); !slices.Equal(chosen, again) {
			t.Fatalf("chose %v and %v from the same hosts", chosen, again)
		}
	})
}
