package steering

import (
	"math"
	"net/netip"
)

// Query is the input of one decision.
type Query struct {
	Client netip.Addr
	// FallbackLocation is the location of clients whose block is unknown.
	FallbackLocation LocationID
}

// Ranking is the caller-supplied result of one decision.
type Ranking struct {
	// Sites holds the first Len places, best first.
	Sites [MaxRankedSites]SiteID
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
	id, known := s.Location(client)
	if known = known && int(id) < len(s.locations); !known {
		id = q.FallbackLocation
	}
	out.Location, out.Known, out.Len = id, known, 0
	if int(id) >= len(s.locations) || want <= 0 {
		return
	}
	w := walk{snapshot: s, key: ClientKey(client), want: min(want, MaxRankedSites), out: out}
	near, bucket := s.nears[id], w.key%buckets
	w.sites(near.sites[:], order(near.orders[bucket]), true, any16, any16)
	if out.Len >= w.want {
		return
	}
	loc := &s.locations[id]
	if !w.shifted {
		// The precomputed order was too short, because sites took less than all clients.
		rest := newOrder(s.seats, loc.first(), bucketKey(id, bucket)) >> (4 * shortPlaces)
		w.sites(near.sites[:], rest, false, any16, any16)
	}
	for t := 1; t < loc.tiers() && !w.shifted; t++ {
		w.tier(loc.tier(t), any16, any16)
	}
	if !w.shifted {
		return
	}
	// A shift took the client from its own site: the receiving region's sites come first.
	for t := range loc.tiers() {
		w.tier(loc.tier(t), w.shiftTo, any16)
	}
	for t := range loc.tiers() {
		w.tier(loc.tier(t), any16, w.shiftTo)
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

// tier appends the sites of a tier in the client's order, of region only and not of region except.
func (w *walk) tier(sites []SiteID, only, except uint16) {
	if w.out.Len < w.want {
		w.sites(sites, newOrder(w.snapshot.seats, sites, w.key), false, only, except)
	}
}

func (w *walk) sites(sites []SiteID, o order, home bool, only, except uint16) {
	for ; o != 0 && w.out.Len < w.want; o >>= 4 {
		id := sites[o&15-1]
		seat := &w.snapshot.seats[id]
		share := seat.spare
		if home {
			share = seat.home
			if seat.shift > 0 && seat.shift.admits(uint32(mix(w.key^seat.seed^shiftSalt))) {
				w.shifted, w.shiftTo = true, seat.shiftTo
				return
			}
			home = false
		}
		if only != any16 && seat.region != only || except != any16 && seat.region == except {
			continue
		}
		if share != always && !share.admits(uint32(mix(w.key^seat.seed^admitSalt))) {
			continue
		}
		w.out.Sites[w.out.Len&(MaxRankedSites-1)] = id
		w.out.Len++
	}
}

// The salts make the numbers for admission and shifts independent of each other and of the order.
const (
	admitSalt = 0x6a09e667f3bcc909
	shiftSalt = 0xbb67ae8584caa73b
)
