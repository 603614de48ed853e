package steering

import (
	"math/bits"
	"net/netip"

	"github.com/gaissmai/bart"
)

// ipv4Index is a compact copy of the IPv4 part of the prefix table for prefixes from /8 to /24. It answers most lookups
// without a walk through the table, most of whose steps miss the CPU cache and the TLB at 630,000 prefixes. It needs at
// most 36 MB (one value per /24), and about 5 MB with the 630,000 prefixes that the system is built for. A change
// copies one page.
type ipv4Index struct {
	pages *[256]*ipv4Page
}

// ipv4Page holds the values of one /8, run-length encoded for each /16.
type ipv4Page struct {
	// starts has a bit for each /24 that begins a run: its value differs from that of the /24 before it, or it is the
	// first of its /16.
	starts [256][4]uint64
	// first is the index in values of each /16's first run.
	first [256]uint16
	// values holds for each run the location plus one, or 0 where only the prefix table knows the answer: without a
	// prefix, with a prefix shorter than /8 or longer than /24, or with a location number that does not fit.
	values []uint16
}

const (
	ipv4MinBits, ipv4MaxBits = 8, 24
	maxIndexedLocation       = 1<<16 - 2
)

// lookup returns the location of an IPv4 address, and false if only the prefix table knows it.
func (x ipv4Index) lookup(a [4]byte) (LocationID, bool) {
	p := x.pages[a[0]]
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

// uncompressedPage holds the value of each /24 of a page while the page is built.
type uncompressedPage [1 << 16]uint16

// set writes the value of one prefix. A prefix must be written before those that it contains.
func (f *uncompressedPage) set(prefix netip.Prefix, id LocationID) {
	value := uint16(0)
	if prefix.Bits() >= ipv4MinBits && prefix.Bits() <= ipv4MaxBits && id <= maxIndexedLocation {
		value = uint16(id) + 1
	}
	a := prefix.Addr().As4()
	start := int(a[1])<<8 | int(a[2])
	for i := range 1 << (ipv4MaxBits - min(max(prefix.Bits(), ipv4MinBits), ipv4MaxBits)) {
		f[start+i] = value
	}
}

// compress returns the page, or nil if all values are 0. A page has at most 65,536 runs, and the last /16 begins with
// run 65,280 at most, so that the indexes in first fit 16 bits.
func (f *uncompressedPage) compress() *ipv4Page {
	p := &ipv4Page{values: make([]uint16, 0, 256)}
	anyValue := false
	for i, value := range f {
		if i&255 == 0 {
			p.first[i>>8] = uint16(len(p.values))
		}
		if i&255 == 0 || value != f[i-1] {
			p.starts[i>>8][i>>6&3] |= 1 << (i & 63)
			p.values = append(p.values, value)
		}
		anyValue = anyValue || value != 0
	}
	if !anyValue {
		return nil
	}
	p.values = append([]uint16(nil), p.values...)
	return p
}

// newIPv4Index builds the index of a prefix table.
func newIPv4Index(table *bart.Table[LocationID]) ipv4Index {
	x := ipv4Index{pages: new([256]*ipv4Page)}
	var current uncompressedPage
	octet, anyPrefix := 0, false
	flush := func() {
		if anyPrefix {
			x.pages[octet] = current.compress()
			clear(current[:])
		}
		anyPrefix = false
	}
	for prefix, id := range table.AllSorted4() {
		if prefix.Bits() < ipv4MinBits {
			continue
		}
		if a := int(prefix.Addr().As4()[0]); a != octet {
			flush()
			octet = a
		}
		current.set(prefix, id)
		anyPrefix = true
	}
	flush()
	return x
}

// withPrefixChange returns the index after prefix was inserted in, changed in or deleted from the table.
func (x ipv4Index) withPrefixChange(table *bart.Table[LocationID], prefix netip.Prefix) ipv4Index {
	if !prefix.Addr().Is4() || prefix.Bits() < ipv4MinBits {
		return x
	}
	octet := prefix.Addr().As4()[0]
	current := x.pages[octet].expand()
	outer := netip.PrefixFrom(prefix.Addr(), min(prefix.Bits(), ipv4MaxBits)).Masked()
	if owner, id, known := table.LookupPrefixLPM(outer); known && owner.Bits() >= ipv4MinBits {
		current.set(outer, id)
	} else {
		current.set(outer, maxIndexedLocation+1)
	}
	for inner, id := range table.Subnets(outer) {
		if inner != outer {
			current.set(inner, id)
		}
	}
	next := ipv4Index{pages: new([256]*ipv4Page)}
	*next.pages = *x.pages
	next.pages[octet] = current.compress()
	return next
}

// expand returns the uncompressed form of a page; nil stands for a page whose values are all 0.
func (p *ipv4Page) expand() *uncompressedPage {
	f := new(uncompressedPage)
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
