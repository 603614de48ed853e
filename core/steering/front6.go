package steering

import (
	"encoding/binary"
	"iter"
	"net/netip"
	"slices"

	"github.com/gaissmai/bart"
)

// front6 is the front for IPv6: for each /24, the sorted runs of /64 networks with the same location.
// It holds at most two runs per block. A change rebuilds the runs of one /24.
type front6 struct {
	roots *[256]*root6
}

type (
	root6  [256]*index6
	index6 [256]runs6
	// runs6 holds the runs of one /24: the first network's lower 40 bits, then a value as in page. One array instead
	// of two saves a cache miss.
	runs6 []uint64
)

func newRun(network uint64, value uint16) uint64 { return network<<24>>8 | uint64(value) }

const (
	front6Shortest, front6Longest = 24, 64
)

func upper(a netip.Addr) uint64 {
	b := a.As16()
	return binary.BigEndian.Uint64(b[:8])
}

// lookup returns the location of an IPv6 address if the front has it.
func (f front6) lookup(network uint64) (LocationID, bool) {
	root := f.roots[network>>56]
	if root == nil {
		return 0, false
	}
	index := root[network>>48&255]
	if index == nil {
		return 0, false
	}
	runs := index[network>>40&255]
	if len(runs) == 0 {
		return 0, false
	}
	largest := newRun(network, 1<<16-1)
	low, n := 0, len(runs) // the run is in [low, low+n)
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

// newRuns flattens blocks inside a /24, ordered by address and each after those that contain it. The first run starts
// at 0, so that every network has a run.
func newRuns(blocks iter.Seq2[netip.Prefix, LocationID]) runs6 {
	r := runs6{newRun(0, 0)}
	type open struct {
		last  uint64
		value uint16
	}
	stack := []open{{last: ^uint64(0)}}
	add := func(start uint64, value uint16) {
		run, last := newRun(start, value), len(r)-1
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
	for prefix, id := range blocks {
		value := uint16(0)
		if prefix.Bits() <= front6Longest && id <= maxFrontLocation {
			value = uint16(id) + 1
		}
		start := upper(prefix.Addr())
		last := start | ^uint64(0)>>min(prefix.Bits(), front6Longest)
		closeBefore(start)
		add(start, value)
		stack = append(stack, open{last, value})
	}
	for len(stack) > 1 {
		// The network after the /24's last one belongs to the next /24, or to none.
		if after := stack[len(stack)-1].last + 1; after<<front6Shortest != 0 {
			add(after, stack[len(stack)-2].value)
		}
		stack = stack[:len(stack)-1]
	}
	return slices.Clip(r)
}

// newFront6 builds the front of a table.
func newFront6(table *bart.Table[LocationID]) front6 {
	f := front6{roots: new([256]*root6)}
	type entry struct {
		prefix netip.Prefix
		id     LocationID
	}
	var group []entry
	flush := func() {
		if len(group) > 0 {
			f = f.with(upper(group[0].prefix.Addr()), true, newRuns(func(yield func(netip.Prefix, LocationID) bool) {
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
		if prefix.Bits() < front6Shortest {
			continue
		}
		if len(group) > 0 && upper(group[0].prefix.Addr())>>40 != upper(prefix.Addr())>>40 {
			flush()
		}
		group = append(group, entry{prefix, id})
	}
	flush()
	return f
}

// with sets the runs of the network's /24. Without own it copies the parts that older fronts share.
func (f front6) with(network uint64, own bool, runs runs6) front6 {
	roots, root, index := f.roots, new(root6), new(index6)
	if old := roots[network>>56]; old != nil {
		if root = old; !own {
			root = new(root6)
			*root = *old
		}
	}
	if old := root[network>>48&255]; old != nil {
		if index = old; !own {
			index = new(index6)
			*index = *old
		}
	}
	if !own {
		roots = new([256]*root6)
		*roots = *f.roots
	}
	roots[network>>56], root[network>>48&255], index[network>>40&255] = root, index, runs
	return front6{roots: roots}
}

// withBlock returns the front after a change of prefix in the table.
func (f front6) withBlock(table *bart.Table[LocationID], prefix netip.Prefix) front6 {
	if prefix.Addr().Is4() || prefix.Bits() < front6Shortest {
		return f
	}
	all := netip.PrefixFrom(prefix.Addr(), front6Shortest).Masked()
	return f.with(upper(prefix.Addr()), false, newRuns(table.Subnets(all)))
}
