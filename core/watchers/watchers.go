// Package watchers decides which hosts of a region watch the store. The others follow these hosts, so that the calls to
// the store grow with the number of regions and not with the fleet.
package watchers

import (
	"cmp"
	"slices"
)

// MaxWatchers is the number of hosts of a region that watch the store. With two, the region misses nothing while one dies.
const MaxWatchers = 2

// StoreAccess says what a host knows of the store.
type StoreAccess uint8

// The states of the store, in the order in which hosts are chosen: one that watches already goes first, and one that the
// store refuses goes last, even while it follows others.
const (
	Reachable StoreAccess = iota
	Unknown
	Unreachable
)

// Host is a host of the region that was heard from lately, or this host itself.
type Host struct {
	Name  string
	Store StoreAccess
}

// Choose returns the names of the hosts that watch, in the order in which the others follow them. While the store refuses
// some hosts, others take their place.
func Choose(hosts []Host) []string {
	ordered := slices.Clone(hosts)
	slices.SortFunc(ordered, func(a, b Host) int {
		return cmp.Or(cmp.Compare(a.Store, b.Store), cmp.Compare(a.Name, b.Name))
	})
	names := make([]string, 0, MaxWatchers)
	for _, h := range ordered[:min(len(ordered), MaxWatchers)] {
		names = append(names, h.Name)
	}
	return names
}
