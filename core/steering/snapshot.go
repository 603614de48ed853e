package steering

import (
	"iter"
	"net/netip"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/gaissmai/bart"
)

// Snapshot is an immutable look-up index. Changes return a new snapshot that shares the unchanged parts, so that
// readers of the old one are never blocked. Its memory is bounded by the blocks, sites and locations that were loaded.
type Snapshot struct {
	blocks *bart.Table[LocationID]
	// front and front6 answer most look-ups that blocks would answer.
	front     front
	front6    front6
	sites     []Site
	seats     []seat
	locations []location
	// nears holds the precomputed first tier of each location.
	nears []*near
	// demand is the load of each location as the last Plan estimated it, or nil.
	demand []float64
	// regions maps region numbers, as seats hold them, to names.
	regions []string
}

// location is the compact form of a Location.
type location struct {
	sites []SiteID
	// ends holds the end of each tier in sites; unused entries repeat the last.
	ends    [MaxTiers]uint8
	count   uint8
	region  uint16
	clients float32
}

func (l *location) tiers() int { return int(l.count) }

// first returns the first tier, which may be empty.
func (l *location) first() []SiteID { return l.sites[:l.ends[0]] }

func (l *location) tier(i int) []SiteID {
	start := uint8(0)
	if i > 0 {
		start = l.ends[i-1]
	}
	return l.sites[start:l.ends[i]]
}

// New builds a snapshot. It refuses locations that name unknown sites or exceed the limits, and bad prefixes.
func New(sites []Site, locations []Location, blocks iter.Seq2[netip.Prefix, LocationID]) (s *Snapshot, err error) {
	defer func() { err = errors.Wrap(err, "build look-up index") }()
	s = &Snapshot{blocks: &bart.Table[LocationID]{}}
	s.front, s.front6 = newFront(s.blocks), newFront6(s.blocks)
	s = s.WithSites(sites)
	if s.locations, err = s.compact(locations); err != nil {
		return nil, err
	}
	if blocks == nil {
		return s, nil
	}
	for prefix, id := range blocks {
		if prefix, err = s.check(prefix, id); err != nil {
			return nil, err
		}
		s.blocks.Insert(prefix, id)
	}
	s.front, s.front6 = newFront(s.blocks), newFront6(s.blocks)
	return s, nil
}

func (s *Snapshot) compact(locations []Location) ([]location, error) {
	compact := make([]location, len(locations))
	for i, l := range locations {
		if len(l.Tiers) > MaxTiers {
			return nil, errors.Newf("location %d has %d tiers; accepted: at most %d", i, len(l.Tiers), MaxTiers)
		}
		c := location{count: uint8(len(l.Tiers)), region: s.region(l.Region), clients: float32(l.ExpectedLoad)}
		for t, tier := range l.Tiers {
			if len(tier) > MaxTierSites {
				return nil, errors.Newf("location %d, tier %d has %d sites; accepted: at most %d", i, t, len(tier), MaxTierSites)
			}
			for _, id := range tier {
				if int(id) >= len(s.sites) {
					return nil, errors.Newf("location %d names site %d; accepted: 0 to %d", i, id, len(s.sites)-1)
				}
			}
			c.sites = append(c.sites, tier...)
			c.ends[t] = uint8(len(c.sites))
		}
		c.sites = slices.Clip(c.sites)
		s.nears = append(s.nears, newNear(s.seats, LocationID(i), c.first()))
		compact[i] = c
	}
	return compact, nil
}

// region returns the number of a region and adds it to s, which must not be shared yet.
func (s *Snapshot) region(name string) uint16 {
	if i := slices.Index(s.regions, name); i >= 0 {
		return uint16(i)
	}
	s.regions = append(slices.Clone(s.regions), name)
	return uint16(len(s.regions) - 1)
}

func (s *Snapshot) check(prefix netip.Prefix, id LocationID) (netip.Prefix, error) {
	if !prefix.IsValid() {
		return prefix, errors.Newf("block %v is not a valid prefix", prefix)
	}
	if prefix.Addr().Is4In6() {
		return prefix, errors.Newf("block %v is an IPv4 address inside IPv6; accepted: the IPv4 prefix", prefix)
	}
	if int(id) >= len(s.locations) {
		return prefix, errors.Newf("block %v names location %d; accepted: 0 to %d", prefix, id, len(s.locations)-1)
	}
	return prefix.Masked(), nil
}

// WithPrefix maps a block to a location. Longer blocks take precedence over shorter ones.
func (s *Snapshot) WithPrefix(prefix netip.Prefix, id LocationID) (*Snapshot, error) {
	prefix, err := s.check(prefix, id)
	if err != nil {
		return nil, err
	}
	next := *s
	next.blocks = s.blocks.InsertPersist(prefix, id)
	next.front, next.front6 = s.front.withBlock(next.blocks, prefix), s.front6.withBlock(next.blocks, prefix)
	return &next, nil
}

// WithoutPrefix removes a block; its clients fall to the next shorter block.
func (s *Snapshot) WithoutPrefix(prefix netip.Prefix) *Snapshot {
	next, prefix := *s, prefix.Masked()
	next.blocks = s.blocks.DeletePersist(prefix)
	next.front, next.front6 = s.front.withBlock(next.blocks, prefix), s.front6.withBlock(next.blocks, prefix)
	return &next
}

// WithSite replaces one site. An unknown id changes nothing.
func (s *Snapshot) WithSite(id SiteID, site Site) *Snapshot {
	if int(id) >= len(s.sites) {
		return s
	}
	next := *s
	next.sites, next.seats = slices.Clone(s.sites), slices.Clone(s.seats)
	next.put(id, site)
	next.reorder(s)
	return &next
}

// WithSites replaces all sites; ids are positions in sites. Locations keep their ids, so sites may be appended and
// changed, but a shorter list is refused by returning s unchanged.
func (s *Snapshot) WithSites(sites []Site) *Snapshot {
	if len(sites) < len(s.sites) {
		return s
	}
	next := *s
	next.sites, next.seats = slices.Clone(sites), make([]seat, len(sites))
	for i, site := range sites {
		next.put(SiteID(i), site)
	}
	next.reorder(s)
	return &next
}

// WithSitesAndLocations replaces sites and locations and keeps the blocks, so that indexes with different places share them.
// Blocks of locations beyond the new list count as unknown to callers of Rank with a valid fallback.
func (s *Snapshot) WithSitesAndLocations(sites []Site, locations []Location) (*Snapshot, error) {
	next, err := New(sites, locations, nil)
	if err != nil {
		return nil, err
	}
	next.blocks, next.front, next.front6 = s.blocks, s.front, s.front6
	return next, nil
}

// reorder recomputes the orders of locations that have a site whose name or capacity differs from the old snapshot's.
func (s *Snapshot) reorder(old *Snapshot) {
	changed := make([]bool, len(s.seats))
	some := false
	for i, seat := range old.seats {
		changed[i] = seat.seed != s.seats[i].seed || seat.inverse != s.seats[i].inverse
		some = some || changed[i]
	}
	if !some {
		return
	}
	s.nears = slices.Clone(s.nears)
	for i := range s.locations {
		first := s.locations[i].first()
		if slices.ContainsFunc(first, func(id SiteID) bool { return changed[id] }) {
			s.nears[i] = newNear(s.seats, LocationID(i), first)
		}
	}
}

func (s *Snapshot) put(id SiteID, site Site) {
	shiftTo := uint16(0)
	if site.Shift.Share > 0 {
		shiftTo = s.region(site.Shift.To)
	}
	s.sites[id], s.seats[id] = site, newSeat(site, s.region(site.Region), shiftTo)
}

// Site returns the site with the id, which must be one of the snapshot's.
func (s *Snapshot) Site(id SiteID) Site { return s.sites[id] }

// Sites returns a copy of all sites in the order of their ids.
func (s *Snapshot) Sites() []Site { return slices.Clone(s.sites) }

// Region returns the region of a location, or "" for an unknown one.
func (s *Snapshot) Region(id LocationID) string {
	if int(id) >= len(s.locations) {
		return ""
	}
	return s.regions[s.locations[id].region]
}

// PrefixCount returns the number of client blocks.
func (s *Snapshot) PrefixCount() int { return s.blocks.Size() }

// Location returns the location of an address by longest match.
func (s *Snapshot) Location(client netip.Addr) (LocationID, bool) {
	client = client.Unmap()
	if client.Is4() {
		if id, known := s.front.lookup(client.As4()); known {
			return id, true
		}
	} else if client.Is6() {
		if id, known := s.front6.lookup(upper(client)); known {
			return id, true
		}
	}
	return s.blocks.Lookup(client)
}
