package watchers

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a region that watches through hosts that the store refuses while another one could watch, against none that
// watches, and against hosts that disagree.
func TestChoose(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringMatching("[a-d]{1,3}"), 1, 9, rapid.ID).Draw(t, "names")
		states := map[string]StoreAccess{}
		var hosts []Host
		for _, name := range names {
			states[name] = StoreAccess(rapid.IntRange(int(Reachable), int(Unreachable)).Draw(t, "store"))
			hosts = append(hosts, Host{name, states[name]})
		}
		chosen := Choose(hosts)
		if len(chosen) != min(len(hosts), MaxWatchers) {
			t.Fatalf("%d of %d hosts watch", len(chosen), len(hosts))
		}
		for _, name := range names {
			for _, watcher := range chosen {
				if !slices.Contains(chosen, name) && states[name] < states[watcher] {
					t.Fatalf("%s watches in state %d, and %s does not in state %d", watcher, states[watcher], name, states[name])
				}
			}
		}
		slices.Reverse(hosts)
		if again := Choose(hosts); !slices.Equal(chosen, again) {
			t.Fatalf("chose %v and %v from the same hosts", chosen, again)
		}
	})
}
