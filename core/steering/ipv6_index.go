package steering

import (
	"encoding/binary"
	"iter"
	"net/netip"
	"slices"

	"github.com/gaissmai/bart"
)

// ipv6Index is the counterpart of ipv4Index for prefixes from /24 to /64: for each /24, it holds the sorted runs of /64
// networks with the same location, at most two runs per prefix. A change rebuilds the runs of one /24.
type ipv6Index struct {
	slash8s *[256]*ipv6Slash8
}

type (
	// ipv6Slash8 and ipv6Slash16 hold the parts of a /8 by the address's second byte and of a /16 by its third byte.
	ipv6Slash8  [256]*ipv6Slash16
	ipv6Slash16 [256]ipv6Runs
	// ipv6Runs holds the runs of one /24. An entry has the lower 40 bits of the run's first /64 network, then a 16-bit
	// value as in ipv4Page. One array instead of two saves a cache miss.
	ipv6Runs []uint64
)

// packRun returns the entry of a run that starts at the /64 network.
func packRun(network uint64, value uint16) uint64 { return network<<24>>8 | uint64(value) }

const (
	ipv6MinBits, ipv6MaxBits = 24, 64
)

// network64 returns the upper 64 bits of an IPv6 address.
func network64(a netip.Addr) uint64 {
	b := a.As16()
	return binary.BigEndian.Uint64(b[:8])
}

// lookup returns the location of an IPv6 /64 network, and false if only the prefix table knows it.
func (x ipv6Index) lookup(network uint64) (LocationID, bool) {
	slash8 := x.slash8s[network>>56]
	if slash8 == nil {
		return 0, false
	}
	slash16 := slash8[network>>48&255]
	if slash16 == nil {
		return 0, false
	}
	runs := slash16[network>>40&255]
	if len(runs) == 0 {
		return 0, false
	}
	largest := packRun(network, 1<<16-1)
	low, n := 0, len(runs) // the run's index is in [low, low+n)
	for n > 1 {
		half := n / 2
		if runs[low+half] <= largest {
			low += half
		}
		n -= half
	}
	v := uint16(runs[low])
	return LocationID(v) - 1, v != 0
}

// newIPv6Runs converts the prefixes of one /24 to runs. The prefixes are sorted by address, each after those that
// contain it. The first run starts at 0, so that every network belongs to a run.
func newIPv6Runs(prefixes iter.Seq2[netip.Prefix, LocationID]) ipv6Runs {
	r := ipv6Runs{packRun(0, 0)}
	type open struct {
		last  uint64
		value uint16
	}
	stack := []open{{last: ^uint64(0)}}
	add := func(start uint64, value uint16) {
		run, last := packRun(start, value), len(r)-1
		switch {
		case r[last]>>16 == run>>16:
			r[last] = run
		case uint16(r[last]) != value:
			r = append(r, run)
		}
	}
	closeBefore := func(start uint64) {
		for len(stack) > 1 && stack[len(stack)-1].last < start {
			end := stack[len(stack)-1].last
			stack = stack[:len(stack)-1]
			add(end+1, stack[len(stack)-1].value)
		}
	}
	for prefix, id := range prefixes {
		value := uint16(0)
		if prefix.Bits() <= ipv6MaxBits && id <= maxIndexedLocation {
			value = uint16(id) + 1
		}
		start := network64(prefix.Addr())
		last := start | ^uint64(0)>>min(prefix.Bits(), ipv6MaxBits)
		closeBefore(start)
		add(start, value)
		stack = append(stack, open{last, value})
	}
	for len(stack) > 1 {
		// The network after the /24's last one belongs to the next /24, or to none.
		if after := stack[len(stack)-1].last + 1; after<<ipv6MinBits != 0 {
			add(after, stack[len(stack)-2].value)
		}
		stack = stack[:len(stack)-1]
	}
	return slices.Clip(r)
}

// newIPv6Index builds the index of a prefix table.
func newIPv6Index(table *bart.Table[LocationID]) ipv6Index {
	x := ipv6Index{slash8s: new([256]*ipv6Slash8)}
	type entry struct {
		prefix netip.Prefix
		id     LocationID
	}
	var group []entry
	flush := func() {
		if len(group) > 0 {
			x = x.withRuns(network64(group[0].prefix.Addr()), true, newIPv6Runs(func(yield func(netip.Prefix, LocationID) bool) {
				for _, e := range group {
					if !yield(e.prefix, e.id) {
						return
					}
				}
			}))
		}
		group = group[:0]
	}
	for prefix, id := range table.AllSorted6() {
		if prefix.Bits() < ipv6MinBits {
			continue
		}
		if len(group) > 0 && network64(group[0].prefix.Addr())>>40 != network64(prefix.Addr())>>40 {
			flush()
		}
		group = append(group, entry{prefix, id})
	}
	flush()
	return x
}

// withRuns sets the runs of the network's /24. Without inPlace it copies the parts that it shares with older indexes.
func (x ipv6Index) withRuns(network uint64, inPlace bool, runs ipv6Runs) ipv6Index {
	slash8s, slash8, slash16 := x.slash8s, new(ipv6Slash8), new(ipv6Slash16)
	if old := slash8s[network>>56]; old != nil {
		if slash8 = old; !inPlace {
			slash8 = new(ipv6Slash8)
			*slash8 = *old
		}
	}
	if old := slash8[network>>48&255]; old != nil {
		if slash16 = old; !inPlace {
			slash16 = new(ipv6Slash16)
			*slash16 = *old
		}
	}
	if !inPlace {
		slash8s = new([256]*ipv6Slash8)
		*slash8s = *x.slash8s
	}
	slash8s[network>>56], slash8[network>>48&255], slash16[network>>40&255] = slash8, slash16, runs
	return ipv6Index{slash8s: slash8s}
}

// withPrefixChange returns the index after prefix was inserted in, changed in or deleted from the table.
func (x ipv6Index) withPrefixChange(table *bart.Table[LocationID], prefix netip.Prefix) ipv6Index {
	if prefix.Addr().Is4() || prefix.Bits() < ipv6MinBits {
		return x
	}
	slash24 := netip.PrefixFrom(prefix.Addr(), ipv6MinBits).Masked()
	return x.withRuns(network64(prefix.Addr()), false, newIPv6Runs(table.Subnets(slash24)))
}
