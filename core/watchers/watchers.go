// Package watchers chooses the hosts of a region that watch the store. The other hosts get the store's contents from them, so
// that the number of calls to the store grows with the number of regions and not with the number of hosts.
package watchers

import (
	"cmp"
	"slices"
)

// MaxWatchers is the number of hosts of a region that watch the store. With two, the region misses no change while one is down.
const MaxWatchers = 2

// StoreAccess is a host's access to the store.
type StoreAccess uint8

// The kinds of access, in the order in which hosts are chosen as watchers.
const (
	// Reachable: the host watches the store, which answers it.
	Reachable StoreAccess = iota
	// Unknown: the host gets the store's contents from other hosts, or hasn't reached the store yet.
	Unknown
	// Unreachable: the store refused the host recently. This holds even while the host gets the contents from other hosts, so
	// that no host gets them from it. It also stands for a host that hasn't sent messages for a while.
	Unreachable
)

// Host is a host of the region that sent messages recently, or this host itself.
type Host struct {
	Name  string
	Store StoreAccess
}

// Choose returns the names of the hosts that watch the store, in the order in which other hosts get its contents from them. A
// host that can't reach the store is chosen only if there are too few others.
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
