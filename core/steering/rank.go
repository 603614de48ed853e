package steering

import (
	"math"
	"net/netip"
)

// Query is the input of one decision.
type Query struct {
	Client netip.Addr
	// Fallback is the location of clients whose block is unknown.
	Fallback LocationID
}

// Ranking is the caller-supplied result of one decision.
type Ranking struct {
	// Sites holds the first Len places, best first.
	Sites [MaxRanked]SiteID
	// Len is 0 when no candidate site takes the client.
	Len int
	// Location is the client's location, or the fallback when Known is false.
	Location LocationID
	Known    bool
}

// Rank writes the sites for the query's client to out, at most want of them, and allocates nothing.
//
// The order of a tier's sites depends on their names and capacities only. The first site of the first tier is the
// client's own site. Losing a site therefore moves only its own clients, and each of them to its next site.
// A site takes its own clients up to Health and Admit, and clients of lost sites up to Headroom.
func (s *Snapshot) Rank(q Query, want int, out *Ranking) {
	client := q.Client.Unmap()
	id, known := s.blocks.Lookup(client)
	if !known {
		id = q.Fallback
	}
	out.Location, out.Known, out.Len = id, known, 0
	if int(id) >= len(s.locations) {
		return
	}
	w := walk{snapshot: s, key: ClientKey(client), want: min(want, MaxRanked), out: out}
	loc := &s.locations[id]
	for tier := range loc.tiers() {
		w.tier(loc.tier(tier), tier == 0, any16, any16)
		if w.shifted {
			// A shift took the client from its own site: the receiving region's sites come first.
			for t := range loc.tiers() {
				w.tier(loc.tier(t), false, w.shiftTo, any16)
			}
			for t := range loc.tiers() {
				w.tier(loc.tier(t), false, any16, w.shiftTo)
			}
			return
		}
		if out.Len >= w.want {
			return
		}
	}
}

// any16 stands for no condition on the region.
const any16 = math.MaxUint16

type walk struct {
	snapshot *Snapshot
	key      uint64
	want     int
	out      *Ranking
	shifted  bool
	shiftTo  uint16
}

// tier appends the tier's sites in the client's order, of region only and not of region except.
func (w *walk) tier(sites []SiteID, first bool, only, except uint16) {
	if w.out.Len >= w.want {
		return
	}
	// Each entry holds the order number in its upper and the position in its lower half, so that one comparison
	// without branches finds the next site. Non-negative floats order like their bit patterns.
	var order [MaxTierSites]uint64
	n := min(len(sites), MaxTierSites)
	for i := range n {
		seat := &w.snapshot.seats[sites[i]]
		number := exponential(mix(w.key^seat.seed)) * seat.inverse
		order[i] = uint64(math.Float32bits(number))<<32 | uint64(i)
		if seat.inverse == 0 || only != any16 && seat.region != only || except != any16 && seat.region == except {
			order[i] = math.MaxUint64
		}
	}
	last, started := uint64(0), false
	for range n {
		next := uint64(math.MaxUint64)
		for i := range n {
			candidate := order[i]
			if started && candidate <= last {
				candidate = math.MaxUint64
			}
			next = min(next, candidate)
		}
		if next == math.MaxUint64 {
			return
		}
		last = next
		home := first && !started
		started = true
		id := sites[uint32(next)]
		seat := &w.snapshot.seats[id]
		share := seat.spare
		if home {
			share = seat.home
		}
		if home && seat.shift > 0 && seat.shift.admits(uint32(mix(w.key^seat.seed^shiftSalt))) {
			w.shifted, w.shiftTo = true, seat.shiftTo
			return
		}
		if share == 0 || !share.admits(uint32(mix(w.key^seat.seed^admitSalt))) {
			continue
		}
		w.out.Sites[w.out.Len] = id
		w.out.Len++
		if w.out.Len >= w.want {
			return
		}
	}
}

// The salts make the numbers for admission and shifts independent of each other and of the order.
const (
	admitSalt = 0x6a09e667f3bcc909
	shiftSalt = 0xbb67ae8584caa73b
)
