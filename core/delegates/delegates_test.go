package delegates

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"vanillatally/core/watchers"
)

// Guards against hosts that disagree about who speaks for their domain, against a domain whose watcher of the store is not
// known to the others, and against one whose ready hosts are hidden by hosts that are not ready.
func TestList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringMatching("[a-d]{1,3}"), 1, 20, rapid.ID).Draw(t, "names")
		var hosts []Host
		for _, name := range names {
			store := watchers.StoreAccess(rapid.IntRange(int(watchers.Reachable), int(watchers.Unreachable)).Draw(t, "store"))
			hosts = append(hosts, Host{Name: name, Ready: rapid.Bool().Draw(t, "ready"), Store: store})
		}
		chosen, listed := Choose(hosts), Advertised(hosts)
		if len(chosen) != min(MaxDelegates, len(hosts)) || chosen[0] != slices.Min(names) {
			t.Fatalf("%v speak for %v", chosen, names)
		}
		if len(listed) != min(MaxAdvertised, len(hosts)) || !slices.Equal(listed[:len(chosen)], chosen) {
			t.Fatalf("%v are listed of %v, %v speak", listed, names, chosen)
		}
		for _, h := range hosts {
			for _, other := range hosts {
				if !slices.Contains(listed, h.Name) && slices.Contains(listed[len(chosen):], other.Name) && rank(h) < rank(other) {
					t.Fatalf("%+v is hidden by %+v", h, other)
				}
			}
		}
		slices.Reverse(hosts)
		if again := Advertised(hosts); !slices.Equal(again, listed) {
			t.Fatalf("listed %v and %v of the same hosts", listed, again)
		}
	})
}
