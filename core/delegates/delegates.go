// Package delegates chooses the hosts that exchange messages with other failure domains on behalf of their own, so that the
// number of messages grows with the number of failure domains and not with the square of the number of hosts.
package delegates

import (
	"cmp"
	"slices"

	"vanillatally/core/watchers"
)

// MaxDelegates is the number of delegates of a failure domain. With two, its messages keep arriving while one is down.
const MaxDelegates = 2

// MaxAdvertised is the number of hosts of a failure domain that are made known to the other domains.
const MaxAdvertised = 6

// Host is a host of a failure domain that sent messages recently, or this host itself.
type Host struct {
	Name string
	// Ready is set when the host accepts requests.
	Ready bool
	// Store is the host's access to the store.
	Store watchers.StoreAccess
	// Cores is the processor time that the host's machine provides per second; 0 if it is not known.
	Cores float64
}

// Choose returns the names of the failure domain's delegates. The first one takes precedence when they disagree.
func Choose(hosts []Host) []string {
	names := make([]string, 0, len(hosts))
	for _, h := range hosts {
		names = append(names, h.Name)
	}
	slices.Sort(names)
	return names[:min(len(names), MaxDelegates)]
}

// Advertised returns the names of the hosts that are made known to the other domains: the delegates, then the hosts that reach
// the store, then those that accept requests, of each kind the ones with the most cores first.
func Advertised(hosts []Host) []string {
	names := Choose(hosts)
	rest := slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return slices.Contains(names, h.Name) })
	slices.SortFunc(rest, func(a, b Host) int {
		return cmp.Or(cmp.Compare(advertisingRank(a), advertisingRank(b)), cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.Name, b.Name))
	})
	for _, h := range rest[:min(len(rest), MaxAdvertised-len(names))] {
		names = append(names, h.Name)
	}
	return names
}

// advertisingRank orders the hosts that are advertised after the delegates.
func advertisingRank(h Host) int {
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
