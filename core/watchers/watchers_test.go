package watchers

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// All hosts must choose the same watchers, whatever the order of their lists. As many as possible must be chosen, and none
// that has worse access to the store than a host that isn't chosen.
func TestChoosePrefersHostsThatReachTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringMatching("[a-d]{1,3}"), 1, 9, rapid.ID).Draw(t, "names")
		access := map[string]StoreAccess{}
		var hosts []Host
		for _, name := range names {
			access[name] = StoreAccess(rapid.IntRange(int(Reachable), int(Unreachable)).Draw(t, "store"))
			hosts = append(hosts, Host{name, access[name]})
		}
		chosen := Choose(hosts)
		if len(chosen) != min(len(hosts), MaxWatchers) {
			t.Fatalf("%d of %d hosts watch", len(chosen), len(hosts))
		}
		for _, name := range names {
			for _, watcher := range chosen {
				if !slices.Contains(chosen, name) && access[name] < access[watcher] {
					t.Fatalf("%s with access %d watches the store, and %s with access %d does not",
						watcher, access[watcher], name, access[name])
				}
			}
		}
		slices.Reverse(hosts)
		if again := Choose(hosts); !slices.Equal(chosen, again) {
			t.Fatalf("chose %v and %v from the same hosts", chosen, again)
		}
	})
}
