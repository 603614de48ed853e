package delegates

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"vanillatally/core/watchers"
)

// All hosts must choose the same delegates and advertised hosts, whatever the order of their lists. A host that reaches the
// store must not be left out for one that doesn't, and a ready host not for one that isn't ready.
func TestAdvertised(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringMatching("[a-d]{1,3}"), 1, 20, rapid.ID).Draw(t, "names")
		var hosts []Host
		for _, name := range names {
			store := watchers.StoreAccess(rapid.IntRange(int(watchers.Reachable), int(watchers.Unreachable)).Draw(t, "store"))
			hosts = append(hosts, Host{Name: name, Ready: rapid.Bool().Draw(t, "ready"), Store: store})
		}
		chosen, advertised := Choose(hosts), Advertised(hosts)
		if len(chosen) != min(MaxDelegates, len(hosts)) || chosen[0] != slices.Min(names) {
			t.Fatalf("%v are the delegates of %v", chosen, names)
		}
		if len(advertised) != min(MaxAdvertised, len(hosts)) || !slices.Equal(advertised[:len(chosen)], chosen) {
			t.Fatalf("%v are advertised of %v, %v are delegates", advertised, names, chosen)
		}
		for _, h := range hosts {
			for _, other := range hosts {
				if !slices.Contains(advertised, h.Name) && slices.Contains(advertised[len(chosen):], other.Name) &&
					advertisingRank(h) < advertisingRank(other) {
					t.Fatalf("%+v is left out for %+v", h, other)
				}
			}
		}
		slices.Reverse(hosts)
		if again := Advertised(hosts); !slices.Equal(again, advertised) {
			t.Fatalf("advertised %v and %v of the same hosts", advertised, again)
		}
	})
}
