package steering

import (
	"math"
	"net/netip"
)

// Query is the input of one decision.
type Query struct {
	Client netip.Addr
	// FallbackLocation is used for clients whose address matches no prefix.
	FallbackLocation LocationID
}

// Ranking is the result of one decision. The caller of Rank supplies it, so that Rank allocates nothing.
type Ranking struct {
	// Sites holds the chosen sites in its first Len entries, best first.
	Sites [MaxRankedSites]SiteID
	// Len is 0 when no candidate site accepts the client.
	Len int
	// Location is the client's location, or the fallback location when Known is false.
	Location LocationID
	Known    bool
}

// Rank writes at most want sites for the query's client to out, best first, without allocating memory.
//
// The order of the sites in a tier depends only on their names and capacities and on the client. The first site of the
// first tier is the client's own site, so the loss of a site moves only its own clients, each to its next site. A site
// accepts its own clients up to Health × AdmittedShare, and clients of lost or refusing sites up to Health ×
// FailoverShare.
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
	rk := ranker{snapshot: s, key: ClientKey(client), want: min(want, MaxRankedSites), out: out}
	tier0, bucket := s.firstTiers[id], rk.key%bucketsPerLocation
	rk.appendSites(tier0.sites[:], siteOrder(tier0.orders[bucket]), true, anyRegion, anyRegion)
	if out.Len >= rk.want {
		return
	}
	loc := &s.locations[id]
	if !rk.shifted {
		// The precomputed order was too short, because some of its sites refused the client. Compute the remaining
		// places.
		rest := newOrder(s.compactSites, loc.firstTierSites(), bucketKey(id, bucket)) >> (4 * precomputedSites)
		rk.appendSites(tier0.sites[:], rest, false, anyRegion, anyRegion)
	}
	for t := 1; t < loc.tiers() && !rk.shifted; t++ {
		rk.appendTier(loc.tier(t), anyRegion, anyRegion)
	}
	if !rk.shifted {
		return
	}
	// A traffic shift moved the client away from its own site: the sites of the receiving region come first.
	for t := range loc.tiers() {
		rk.appendTier(loc.tier(t), rk.shiftRegion, anyRegion)
	}
	for t := range loc.tiers() {
		rk.appendTier(loc.tier(t), anyRegion, rk.shiftRegion)
	}
}

// anyRegion disables the condition on the region.
const anyRegion = math.MaxUint16

// ranker appends sites to the ranking of one client.
type ranker struct {
	snapshot    *Snapshot
	key         uint64
	want        int
	out         *Ranking
	shifted     bool
	shiftRegion uint16
}

// appendTier appends the sites of a tier in the client's order. It takes only sites of region only and skips those of
// region except.
func (rk *ranker) appendTier(sites []SiteID, only, except uint16) {
	if rk.out.Len < rk.want {
		rk.appendSites(sites, newOrder(rk.snapshot.compactSites, sites, rk.key), false, only, except)
	}
}

// appendSites appends the sites that accept the client, in the order o. With primary set, the first one is the client's
// own site; appendSites then stops without it if a traffic shift moved the client to another region.
func (rk *ranker) appendSites(sites []SiteID, o siteOrder, primary bool, only, except uint16) {
	for ; o != 0 && rk.out.Len < rk.want; o >>= 4 {
		id := sites[o&15-1]
		site := &rk.snapshot.compactSites[id]
		share := site.failoverShare
		if primary {
			share = site.primaryShare
			if site.shiftShare > 0 && site.shiftShare.admits(uint32(splitMix64(rk.key^site.seed^shiftSalt))) {
				rk.shifted, rk.shiftRegion = true, site.shiftRegion
				return
			}
			primary = false
		}
		if only != anyRegion && site.region != only || except != anyRegion && site.region == except {
			continue
		}
		if share != everyClient && !share.admits(uint32(splitMix64(rk.key^site.seed^admitSalt))) {
			continue
		}
		rk.out.Sites[rk.out.Len&(MaxRankedSites-1)] = id
		rk.out.Len++
	}
}

// The salts make a client's hashes for admission and for shifts independent of each other and of its site order.
const (
	admitSalt = 0x6a09e667f3bcc909
	shiftSalt = 0xbb67ae8584caa73b
)
