// Package delegates decides which hosts represent a failure domain, so that what hosts tell each other grows with the number
// of failure domains and not with the square of the fleet.
package delegates

import (
	"cmp"
	"slices"

	"vanillatally/core/watchers"
)

// MaxDelegates is the number of hosts that represent a failure domain. With two, the domain stays heard while one dies.
const MaxDelegates = 2

// MaxAdvertised is the number of hosts of a failure domain that the other domains know by name.
const MaxAdvertised = 6

// Host is a host of a failure domain that was heard from lately, or this host itself.
type Host struct {
	Name string
	// Ready hosts take requests.
	Ready bool
	Store watchers.StoreAccess
}

// Choose returns the names of the hosts that represent the domain, the one that is believed first.
func Choose(hosts []Host) []string {
	names := make([]string, 0, len(hosts))
	for _, h := range hosts {
		names = append(names, h.Name)
	}
	slices.Sort(names)
	return names[:min(len(names), MaxDelegates)]
}

// Advertised returns the names of the hosts that the other domains have to know: its delegates, then those that
// watch the store, then those that take requests.
func Advertised(hosts []Host) []string {
	first := Choose(hosts)
	rest := slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return slices.Contains(first, h.Name) })
	slices.SortFunc(rest, func(a, b Host) int { return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Name, b.Name)) })
	for _, h := range rest[:min(len(rest), MaxAdvertised-len(first))] {
		first = append(first, h.Name)
	}
	return first
}

// rank orders the hosts that are listed behind the delegates.
func rank(h Host) int {
	switch {
	case h.Store == watchers.Reachable:
		return 0
	case h.Ready && h.Store != watchers.Unreachable:
		return 1
	case h.Ready:
		return 2
	}
	return 3
}
