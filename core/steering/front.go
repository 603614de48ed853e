package steering

import (
	"math/bits"
	"net/netip"

	"github.com/gaissmai/bart"
)

// front is a compact copy of the IPv4 part of the prefix table down to /24. It replaces the table's walk, most of
// whose steps miss the cache and the address translation buffer at 630,000 blocks.
// Its memory is bounded by 36 MB (one value per /24) and is about 5 MB at the target. A change copies one page.
type front struct {
	pages *[256]*page
}

// page holds the entries of one /8, run-length encoded for each /16.
type page struct {
	// starts has a bit for each /24 whose value differs from that of the /24 before it, or that begins a /16.
	starts [256][4]uint64
	// first is the index in values of each /16's first run.
	first [256]uint16
	// values holds the location of each run plus one, or 0 where only the prefix table knows the answer: no block, a
	// block shorter than /8 or longer than /24, or a location number that does not fit.
	values []uint16
}

const (
	frontShortest, frontLongest = 8, 24
	maxFrontLocation            = 1<<16 - 2
)

// lookup returns the location of an IPv4 address if the front has it.
func (f front) lookup(a [4]byte) (LocationID, bool) {
	p := f.pages[a[0]]
	if p == nil {
		return 0, false
	}
	starts := &p.starts[a[1]]
	word := int(a[2] >> 6)
	run := int(p.first[a[1]]) + bits.OnesCount64(starts[word]<<(63-a[2]&63)) - 1
	if word > 0 {
		run += bits.OnesCount64(starts[0])
	}
	if word > 1 {
		run += bits.OnesCount64(starts[1])
	}
	if word > 2 {
		run += bits.OnesCount64(starts[2])
	}
	v := p.values[run]
	return LocationID(v) - 1, v != 0
}

// flat is the uncompressed form of a page while it is written.
type flat [1 << 16]uint16

// fill writes the value of one block; blocks that contain others come before them.
func (f *flat) fill(prefix netip.Prefix, id LocationID) {
	value := uint16(0)
	if prefix.Bits() >= frontShortest && prefix.Bits() <= frontLongest && id <= maxFrontLocation {
		value = uint16(id) + 1
	}
	a := prefix.Addr().As4()
	start := int(a[1])<<8 | int(a[2])
	for i := range 1 << (frontLongest - min(max(prefix.Bits(), frontShortest), frontLongest)) {
		f[start+i] = value
	}
}

// compress returns the page, or nil if it would say nothing. A page has at most 65,536 runs, so that first fits
// because the last /16 begins at 65,280 at most.
func (f *flat) compress() *page {
	p := &page{values: make([]uint16, 0, 256)}
	some := false
	for i, value := range f {
		if i&255 == 0 {
			p.first[i>>8] = uint16(len(p.values))
		}
		if i&255 == 0 || value != f[i-1] {
			p.starts[i>>8][i>>6&3] |= 1 << (i & 63)
			p.values = append(p.values, value)
		}
		some = some || value != 0
	}
	if !some {
		return nil
	}
	p.values = append([]uint16(nil), p.values...)
	return p
}

// newFront builds the front of a table.
func newFront(table *bart.Table[LocationID]) front {
	f := front{pages: new([256]*page)}
	var current flat
	octet, some := 0, false
	flush := func() {
		if some {
			f.pages[octet] = current.compress()
			clear(current[:])
		}
		some = false
	}
	for prefix, id := range table.AllSorted4() {
		if prefix.Bits() < frontShortest {
			continue
		}
		if a := int(prefix.Addr().As4()[0]); a != octet {
			flush()
			octet = a
		}
		current.fill(prefix, id)
		some = true
	}
	flush()
	return f
}

// withBlock returns the front after a change of prefix in the table.
func (f front) withBlock(table *bart.Table[LocationID], prefix netip.Prefix) front {
	if !prefix.Addr().Is4() || prefix.Bits() < frontShortest {
		return f
	}
	octet := prefix.Addr().As4()[0]
	current := f.pages[octet].expand()
	outer := netip.PrefixFrom(prefix.Addr(), min(prefix.Bits(), frontLongest)).Masked()
	if owner, id, known := table.LookupPrefixLPM(outer); known && owner.Bits() >= frontShortest {
		current.fill(outer, id)
	} else {
		current.fill(outer, maxFrontLocation+1)
	}
	for inner, id := range table.Subnets(outer) {
		if inner != outer {
			current.fill(inner, id)
		}
	}
	next := front{pages: new([256]*page)}
	*next.pages = *f.pages
	next.pages[octet] = current.compress()
	return next
}

// expand returns the uncompressed form of a page; nil has no blocks.
func (p *page) expand() *flat {
	f := new(flat)
	if p == nil {
		return f
	}
	run := -1
	for i := range f {
		if p.starts[i>>8][i>>6&3]>>(i&63)&1 != 0 {
			run++
		}
		f[i] = p.values[run]
	}
	return f
}
