// Package dispatch chooses the hosts that the callers of a failure domain are sent to. Where hosts differ in size, a small one
// that gets the same share of the callers as a large one is overloaded long before the fleet is.
package dispatch

import (
	"cmp"
	"slices"
)

// Capacity is what the machine of a host provides. A field is 0 if it is not known.
type Capacity struct {
	// Cores is the processor time per second of wall clock time.
	Cores float64
	// LinkMbps is the bandwidth of the network link, in megabits per second.
	LinkMbps float64
}

// Host is a host that accepts requests.
type Host struct {
	// Address is the address for callers. It is unique.
	Address string
	// SameDomain and SameRegion are set for hosts in the callers' failure domain and region.
	SameDomain, SameRegion bool
	Capacity               Capacity
}

const (
	// minDomainHosts is the number of hosts in a failure domain from which its callers are sent to these hosts only.
	minDomainHosts = 3
	// minLargeHosts is the number of large hosts that suffice: when one of them fails, its callers have another one.
	minLargeHosts = 2
	// largeHostFraction is the fraction of the largest capacity from which a host counts as large.
	largeHostFraction = 0.5
	// minLargeShare is the part of the processor time of all hosts near the callers that the large ones must provide to be used
	// alone.
	minLargeShare = 1.0 / 3
)

// Choose returns the addresses of at most limit hosts for the callers: the large hosts of their region, those of their failure
// domain first. If no such hosts stand out, it returns hosts of the failure domain, of the region if the domain has
// fewer than minDomainHosts, or of all regions if the region has none, in the order of their addresses. It sorts hosts in place.
func Choose(hosts []Host, limit int) []string {
	slices.SortFunc(hosts, func(a, b Host) int { return cmp.Compare(a.Address, b.Address) })
	domain := filter(hosts, func(h Host) bool { return h.SameDomain })
	region := filter(hosts, func(h Host) bool { return h.SameRegion })
	if large := largeHosts(region); large != nil {
		// Further hosts of the region keep serving the callers if those of their failure domain fail together.
		slices.SortStableFunc(large, func(a, b Host) int { return boolCompare(b.SameDomain, a.SameDomain) })
		return addresses(large, limit)
	}
	switch {
	case len(domain) >= minDomainHosts:
		return addresses(domain, limit)
	case len(region) > 0:
		return addresses(region, limit)
	}
	return addresses(hosts, limit)
}

// largeHosts returns the large ones of the hosts, or nil if all are large, or the large ones are too few to be used alone.
func largeHosts(hosts []Host) []Host {
	largest := largestCapacity(hosts)
	large := filter(hosts, func(h Host) bool { return h.Capacity.fraction(largest) >= largeHostFraction })
	if len(large) < minLargeHosts || len(large) == len(hosts) || cores(large, largest) < minLargeShare*cores(hosts, largest) {
		return nil
	}
	return large
}

// fraction returns the capacity as a fraction of the largest one, by whichever resource is scarcer.
func (c Capacity) fraction(largest Capacity) float64 {
	fraction := 1.0
	if largest.Cores > 0 {
		fraction = min(fraction, c.Cores/largest.Cores)
	}
	if largest.LinkMbps > 0 {
		fraction = min(fraction, c.LinkMbps/largest.LinkMbps)
	}
	return fraction
}

func largestCapacity(hosts []Host) (largest Capacity) {
	for _, h := range hosts {
		largest.Cores, largest.LinkMbps = max(largest.Cores, h.Capacity.Cores), max(largest.LinkMbps, h.Capacity.LinkMbps)
	}
	return largest
}

// cores returns the processor time of the hosts. Those that don't state it count as large as the largest one: most hosts may run
// an earlier version, and the few that state a capacity could not take all callers.
func cores(hosts []Host, largest Capacity) (sum float64) {
	assumed := largest.Cores
	if assumed == 0 {
		assumed = 1
	}
	for _, h := range hosts {
		if h.Capacity.Cores > 0 {
			sum += h.Capacity.Cores
		} else {
			sum += assumed
		}
	}
	return sum
}

// boolCompare orders false before true.
func boolCompare(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

func filter(hosts []Host, keep func(Host) bool) []Host {
	return slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return !keep(h) })
}

func addresses(hosts []Host, limit int) []string {
	found := make([]string, 0, len(hosts))
	for _, h := range hosts[:min(len(hosts), limit)] {
		found = append(found, h.Address)
	}
	return found
}
