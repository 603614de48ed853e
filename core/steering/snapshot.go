package steering

import (
	"iter"
	"net/netip"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/gaissmai/bart"
)

// Snapshot is an immutable lookup index. Each change returns a new snapshot that shares the unchanged parts, so readers
// of the old one are never blocked. Its memory grows with the loaded prefixes, sites and locations only.
type Snapshot struct {
	prefixes *bart.Table[LocationID]
	// ipv4Index and ipv6Index are compact copies of prefixes that answer most lookups.
	ipv4Index    ipv4Index
	ipv6Index    ipv6Index
	sites        []Site
	compactSites []compactSite
	locations    []compactLocation
	// firstTiers holds the first tier of each location with its precomputed orders.
	firstTiers []*firstTier
	// locationLoads is the load of each location as the last PlanFailover estimated it, or nil before the first.
	locationLoads []float64
	// regions maps the region numbers of compactSites and locations to names.
	regions []string
}

// compactLocation is the memory-saving form of a Location.
type compactLocation struct {
	sites []SiteID
	// tierEnds holds the end index of each tier in sites; unused entries are 0.
	tierEnds     [MaxTiers]uint8
	tierCount    uint8
	region       uint16
	expectedLoad float32
}

func (l *compactLocation) tiers() int { return int(l.tierCount) }

// firstTierSites returns the sites of the first tier, which may be empty.
func (l *compactLocation) firstTierSites() []SiteID { return l.sites[:l.tierEnds[0]] }

func (l *compactLocation) tier(i int) []SiteID {
	start := uint8(0)
	if i > 0 {
		start = l.tierEnds[i-1]
	}
	return l.sites[start:l.tierEnds[i]]
}

// New builds a snapshot. It returns an error for invalid prefixes and for locations that exceed the limits or refer to
// a site that does not exist.
func New(sites []Site, locations []Location, prefixes iter.Seq2[netip.Prefix, LocationID]) (s *Snapshot, err error) {
	defer func() { err = errors.Wrap(err, "build lookup index") }()
	s = &Snapshot{prefixes: &bart.Table[LocationID]{}}
	s.ipv4Index, s.ipv6Index = newIPv4Index(s.prefixes), newIPv6Index(s.prefixes)
	s = s.WithSites(sites)
	if s.locations, err = s.compactLocations(locations); err != nil {
		return nil, err
	}
	if prefixes == nil {
		return s, nil
	}
	for prefix, id := range prefixes {
		if prefix, err = s.checkPrefix(prefix, id); err != nil {
			return nil, err
		}
		s.prefixes.Insert(prefix, id)
	}
	s.ipv4Index, s.ipv6Index = newIPv4Index(s.prefixes), newIPv6Index(s.prefixes)
	return s, nil
}

func (s *Snapshot) compactLocations(locations []Location) ([]compactLocation, error) {
	compact := make([]compactLocation, len(locations))
	for i, l := range locations {
		if len(l.Tiers) > MaxTiers {
			return nil, errors.Newf("location %d has %d tiers; accepted: at most %d", i, len(l.Tiers), MaxTiers)
		}
		compacted := compactLocation{
			tierCount: uint8(len(l.Tiers)), region: s.regionNumber(l.Region), expectedLoad: float32(l.ExpectedLoad),
		}
		for t, tier := range l.Tiers {
			if len(tier) > MaxTierSites {
				return nil, errors.Newf("location %d, tier %d has %d sites; accepted: at most %d", i, t, len(tier), MaxTierSites)
			}
			for _, id := range tier {
				if int(id) >= len(s.sites) {
					return nil, errors.Newf("location %d refers to site %d; accepted: 0 to %d", i, id, len(s.sites)-1)
				}
			}
			compacted.sites = append(compacted.sites, tier...)
			compacted.tierEnds[t] = uint8(len(compacted.sites))
		}
		compacted.sites = slices.Clip(compacted.sites)
		s.firstTiers = append(s.firstTiers, newFirstTier(s.compactSites, LocationID(i), compacted.firstTierSites()))
		compact[i] = compacted
	}
	return compact, nil
}

// regionNumber returns the number of a region. It may append the region to s, which must not be shared yet.
func (s *Snapshot) regionNumber(name string) uint16 {
	if i := slices.Index(s.regions, name); i >= 0 {
		return uint16(i)
	}
	s.regions = append(slices.Clone(s.regions), name)
	return uint16(len(s.regions) - 1)
}

func (s *Snapshot) checkPrefix(prefix netip.Prefix, id LocationID) (netip.Prefix, error) {
	if !prefix.IsValid() {
		return prefix, errors.Newf("client prefix %v is not valid", prefix)
	}
	if prefix.Addr().Is4In6() {
		return prefix, errors.Newf("client prefix %v is an IPv4-mapped IPv6 prefix; accepted: the IPv4 prefix", prefix)
	}
	if int(id) >= len(s.locations) {
		return prefix, errors.Newf("client prefix %v refers to location %d; accepted: 0 to %d", prefix, id, len(s.locations)-1)
	}
	return prefix.Masked(), nil
}

// WithPrefix maps a client prefix to a location. Longer prefixes take precedence over shorter ones.
func (s *Snapshot) WithPrefix(prefix netip.Prefix, id LocationID) (*Snapshot, error) {
	prefix, err := s.checkPrefix(prefix, id)
	if err != nil {
		return nil, err
	}
	next := *s
	next.prefixes = s.prefixes.InsertPersist(prefix, id)
	next.ipv4Index, next.ipv6Index =
		s.ipv4Index.withPrefixChange(next.prefixes, prefix), s.ipv6Index.withPrefixChange(next.prefixes, prefix)
	return &next, nil
}

// WithoutPrefix removes a client prefix. Its clients then match the next shorter prefix, if there is one.
func (s *Snapshot) WithoutPrefix(prefix netip.Prefix) *Snapshot {
	next, prefix := *s, prefix.Masked()
	next.prefixes = s.prefixes.DeletePersist(prefix)
	next.ipv4Index, next.ipv6Index =
		s.ipv4Index.withPrefixChange(next.prefixes, prefix), s.ipv6Index.withPrefixChange(next.prefixes, prefix)
	return &next
}

// WithSite replaces one site. An id that does not exist changes nothing.
func (s *Snapshot) WithSite(id SiteID, site Site) *Snapshot {
	if int(id) >= len(s.sites) {
		return s
	}
	next := *s
	next.sites, next.compactSites = slices.Clone(s.sites), slices.Clone(s.compactSites)
	next.setSite(id, site)
	next.recomputeOrders(s)
	return &next
}

// WithSites replaces all sites; a site's id is its position in the list. Since locations refer to these ids, sites may
// be changed and appended but not removed: for a shorter list, WithSites returns s unchanged.
func (s *Snapshot) WithSites(sites []Site) *Snapshot {
	if len(sites) < len(s.sites) {
		return s
	}
	next := *s
	next.sites, next.compactSites = slices.Clone(sites), make([]compactSite, len(sites))
	for i, site := range sites {
		next.setSite(SiteID(i), site)
	}
	next.recomputeOrders(s)
	return &next
}

// WithSitesAndLocations replaces the sites and locations and keeps the client prefixes, so that indexes for different
// sites share one prefix table. For prefixes that refer to a location beyond the new list, Rank uses the query's
// FallbackLocation.
func (s *Snapshot) WithSitesAndLocations(sites []Site, locations []Location) (*Snapshot, error) {
	next, err := New(sites, locations, nil)
	if err != nil {
		return nil, err
	}
	next.prefixes, next.ipv4Index, next.ipv6Index = s.prefixes, s.ipv4Index, s.ipv6Index
	return next, nil
}

// recomputeOrders rebuilds the precomputed orders of the locations whose first tier has a site with a changed name or
// capacity.
func (s *Snapshot) recomputeOrders(old *Snapshot) {
	changed := make([]bool, len(s.compactSites))
	anyChanged := false
	for i, oldSite := range old.compactSites {
		changed[i] = oldSite.seed != s.compactSites[i].seed || oldSite.inverseCapacity != s.compactSites[i].inverseCapacity
		anyChanged = anyChanged || changed[i]
	}
	if !anyChanged {
		return
	}
	s.firstTiers = slices.Clone(s.firstTiers)
	for i := range s.locations {
		first := s.locations[i].firstTierSites()
		if slices.ContainsFunc(first, func(id SiteID) bool { return changed[id] }) {
			s.firstTiers[i] = newFirstTier(s.compactSites, LocationID(i), first)
		}
	}
}

func (s *Snapshot) setSite(id SiteID, site Site) {
	shiftRegion := uint16(0)
	if site.Shift.Share > 0 {
		shiftRegion = s.regionNumber(site.Shift.To)
	}
	s.sites[id], s.compactSites[id] = site, newCompactSite(site, s.regionNumber(site.Region), shiftRegion)
}

// Site returns the site with the id, which must exist.
func (s *Snapshot) Site(id SiteID) Site { return s.sites[id] }

// Sites returns a copy of all sites in the order of their ids.
func (s *Snapshot) Sites() []Site { return slices.Clone(s.sites) }

// Region returns the name of a location's region, or "" if the location does not exist.
func (s *Snapshot) Region(id LocationID) string {
	if int(id) >= len(s.locations) {
		return ""
	}
	return s.regions[s.locations[id].region]
}

// PrefixCount returns the number of client prefixes.
func (s *Snapshot) PrefixCount() int { return s.prefixes.Size() }

// Location returns the location of an address by longest-prefix match, and false if no prefix contains the address.
func (s *Snapshot) Location(client netip.Addr) (LocationID, bool) {
	client = client.Unmap()
	if client.Is4() {
		if id, known := s.ipv4Index.lookup(client.As4()); known {
			return id, true
		}
	} else if client.Is6() {
		if id, known := s.ipv6Index.lookup(network64(client)); known {
			return id, true
		}
	}
	return s.prefixes.Lookup(client)
}
