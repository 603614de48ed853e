package lookup

import (
	"cmp"
	"encoding/json"
	"iter"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"vanillatally/core/config"
	"vanillatally/core/membership"
	"vanillatally/core/steering"
	"vanillatally/io/platform"
)

const (
	// locationsPerRegion gives a region's clients more than one location, so that they spread over more of the
	// precomputed site orders.
	locationsPerRegion = 16
	// siteRetention is how long a site without hosts stays in the hashing. If it gets hosts again within this time, its
	// clients return to it.
	siteRetention = 15 * time.Minute
	// maxRegions bounds the region numbers, which are never reused.
	maxRegions = 1024
)

// view is the immutable state from which lookups are answered.
type view struct {
	sequence uint64
	// routes is sorted by the length of the path prefix, longest first.
	routes []routeView
	teams  map[string]config.Team
	// services maps the service of each route to its lookup index.
	services map[string]*steering.Snapshot
	// sites holds the hosts of each site. A site's position is its id in the lookup indexes.
	sites []siteView
	// homeLocation is the first location of this host's region.
	homeLocation steering.LocationID
	// regions holds the regions' names as JSON, by region number.
	regions [][]byte
}

// routeView is a route with its name encoded as JSON.
type routeView struct {
	name, prefix, service string
	jsonName              []byte
}

// siteView is a site, which comprises the hosts of one failure domain, with its name encoded as JSON.
type siteView struct {
	name, region, failureDomain string
	hosts                       []hostView
	jsonName                    []byte
}

// hostView is a host with its entry in a response encoded as JSON.
type hostView struct {
	id        string
	hash      uint64
	jsonEntry []byte
}

// inputs are the sources of one update of the view.
type inputs struct {
	now           time.Duration
	self          membership.Member
	members       []membership.Member
	servers       []platform.BackendServer
	configuration *config.Configuration
	loads         func(service string) map[string]float64
	shifts        func(service string) []Shift
}

// builder holds the state that is kept from one view to the next.
type builder struct {
	// prefixes has the client prefixes, which the indexes of all services share.
	prefixes *steering.Snapshot
	// regions maps names to region numbers. Region i has the locations from i × locationsPerRegion.
	regions map[string]int
	// lastSeen maps each site to the last time at which it had a host.
	lastSeen map[string]lastSeenSite
	// siteNames lists the sites that the services' indexes were last built with.
	siteNames []string
	services  map[string]*serviceState
}

// lastSeenSite is a site and the last time at which it had a host.
type lastSeenSite struct {
	region, failureDomain string
	at                    time.Duration
}

// serviceState is the lookup index and the feedback loop of one service.
type serviceState struct {
	snapshot *steering.Snapshot
	feedback steering.Feedback
}

func newBuilder() *builder {
	empty, _ := steering.New(nil, nil, nil)
	return &builder{
		prefixes: empty, regions: map[string]int{}, lastSeen: map[string]lastSeenSite{}, services: map[string]*serviceState{},
	}
}

// regionNumber returns the number of a region and assigns the next one to a new region. It returns false if there are
// already maxRegions.
func (b *builder) regionNumber(name string) (int, bool) {
	i, ok := b.regions[name]
	if !ok && len(b.regions) < maxRegions {
		i, ok = len(b.regions), true
		b.regions[name] = i
	}
	return i, ok
}

// loadPrefixes maps each client prefix to one of its region's locations, chosen by the prefix's hash. Prefixes of
// regions beyond maxRegions are left out, so that their clients count as unknown.
func (b *builder) loadPrefixes(prefixes iter.Seq2[netip.Prefix, string]) error {
	locations := make([]steering.Location, maxRegions*locationsPerRegion)
	next, err := steering.New(nil, locations, func(yield func(netip.Prefix, steering.LocationID) bool) {
		for prefix, name := range prefixes {
			region, ok := b.regionNumber(name)
			variant := int(steering.ClientKey(prefix.Masked().Addr())>>32) % locationsPerRegion
			if ok && !yield(prefix, steering.LocationID(region*locationsPerRegion+variant)) {
				return
			}
		}
	})
	if err != nil {
		return err
	}
	b.prefixes, b.siteNames = next, nil
	return nil
}

// build returns the view for the inputs.
func (b *builder) build(in inputs) (*view, error) {
	sites := b.groupSites(in)
	home, _ := b.regionNumber(in.self.Region)
	v := &view{
		sequence: in.configuration.Sequence, teams: in.configuration.Teams, sites: sites,
		services: map[string]*steering.Snapshot{}, homeLocation: steering.LocationID(home * locationsPerRegion),
	}
	v.regions = make([][]byte, len(b.regions))
	for name, i := range b.regions {
		v.regions[i] = toJSON(name)
	}
	for name, route := range in.configuration.Routes {
		v.routes = append(v.routes, routeView{name: name, prefix: route.PathPrefix, service: route.Service, jsonName: toJSON(name)})
	}
	slices.SortFunc(v.routes, func(x, y routeView) int {
		return cmp.Or(len(y.prefix)-len(x.prefix), strings.Compare(x.name, y.name))
	})
	names := make([]string, len(sites))
	for i, s := range sites {
		names[i] = s.name
	}
	sitesUnchanged := slices.Equal(names, b.siteNames)
	b.siteNames = names
	services := map[string]*serviceState{}
	for _, route := range v.routes {
		if services[route.service] != nil {
			continue
		}
		previous := b.services[route.service]
		next, err := b.buildService(in, route.service, sites, previous, sitesUnchanged)
		if err != nil {
			return nil, err
		}
		services[route.service], v.services[route.service] = next, next.snapshot
	}
	b.services = services
	return v, nil
}

// groupSites groups the hosts that lookups may return into sites by failure domain. A site without hosts stays in the
// list for siteRetention.
func (b *builder) groupSites(in inputs) []siteView {
	members := in.members
	if !slices.ContainsFunc(members, func(m membership.Member) bool { return m.Host == in.self.Host }) && in.self.Host != "" {
		members = append(slices.Clone(members), in.self)
	}
	hosts := map[string][]hostView{}
	for _, m := range members {
		if m.State != membership.Alive || m.CallerAddress == "" ||
			in.configuration.Hosts[m.Host].Drain || in.configuration.Regions[m.Region].Dead {
			continue
		}
		name := m.Region + "/" + m.FailureDomain
		b.lastSeen[name] = lastSeenSite{m.Region, m.FailureDomain, in.now}
		hosts[name] = append(hosts[name], newHost(m, name))
	}
	var sites []siteView
	for _, name := range slices.Sorted(maps.Keys(b.lastSeen)) {
		seen := b.lastSeen[name]
		if in.now-seen.at > siteRetention {
			delete(b.lastSeen, name)
			continue
		}
		b.regionNumber(seen.region)
		sites = append(sites, siteView{name, seen.region, seen.failureDomain, hosts[name], toJSON(name)})
	}
	return sites
}

// buildService returns the next state of one service. If the sites are unchanged, it updates the previous index;
// otherwise it builds a new one.
func (b *builder) buildService(
	in inputs, name string, views []siteView, previous *serviceState, sitesUnchanged bool,
) (*serviceState, error) {
	slots := map[string]float64{}
	for _, server := range in.servers {
		if server.Service == name && !server.Leaving && !in.configuration.Servers[server.ID].Drain {
			slots[server.Region+"/"+server.FailureDomain] += float64(server.Slots)
		}
	}
	anySlots := slices.ContainsFunc(views, func(v siteView) bool { return slots[v.name] > 0 })
	sites := make([]steering.Site, len(views))
	for i, v := range views {
		sites[i] = steering.NewSite(v.name, v.region, v.failureDomain, slots[v.name])
		if !anySlots {
			// No site has a backend server of the service. The list may be late, so all sites get the same capacity.
			sites[i].Capacity = 1
		}
		if len(v.hosts) == 0 {
			sites[i].Health = 0
		}
		if in.shifts != nil {
			for _, shift := range in.shifts(name) {
				if shift.From == v.region {
					sites[i].Shift = steering.Shift{To: shift.To, Share: shift.Share}
				}
			}
		}
		if previous != nil && sitesUnchanged {
			previousSite := previous.snapshot.Site(steering.SiteID(i))
			sites[i].AdmittedShare, sites[i].FailoverShare = previousSite.AdmittedShare, previousSite.FailoverShare
		}
	}
	next := &serviceState{feedback: steering.NewFeedback(feedbackOptions)}
	var err error
	if previous != nil && sitesUnchanged {
		next.feedback, next.snapshot = previous.feedback, previous.snapshot.WithSites(sites)
	} else if next.snapshot, err = b.prefixes.WithSitesAndLocations(sites, b.locations(sites)); err != nil {
		return nil, err
	}
	if in.loads == nil {
		return next, nil
	}
	measured := in.loads(name)
	loads := make([]float64, len(sites))
	for i, site := range sites {
		loads[i] = measured[site.Name]
	}
	next.feedback, next.snapshot = next.feedback.Step(in.now, next.snapshot, loads)
	if next.feedback.Settled(in.now) {
		next.snapshot = next.snapshot.PlanFailover(loads, steering.MaxPlannedUtilization)
	}
	return next, nil
}

// locations returns the locations of all regions. Their first sites are those of their own region, followed by those of
// the other regions in an order that differs by location, so that the clients of a lost region spread over all others.
func (b *builder) locations(sites []steering.Site) []steering.Location {
	byRegion := map[string][]steering.SiteID{}
	for i, site := range sites {
		byRegion[site.Region] = append(byRegion[site.Region], steering.SiteID(i))
	}
	names := slices.Sorted(maps.Keys(byRegion))
	locations := make([]steering.Location, len(b.regions)*locationsPerRegion)
	for region, number := range b.regions {
		for variant := range locationsPerRegion {
			l := steering.Location{Region: region, ExpectedLoad: 1}
			random := rand.New(rand.NewPCG(xxhash.Sum64String(region), uint64(variant)))
			others := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == region })
			random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
			for _, name := range append([]string{region}, others...) {
				ids := slices.Clone(byRegion[name])
				random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
				for tier := range slices.Chunk(ids, steering.MaxTierSites) {
					if len(l.Tiers) < steering.MaxTiers {
						l.Tiers = append(l.Tiers, tier)
					}
				}
			}
			locations[number*locationsPerRegion+variant] = l
		}
	}
	return locations
}

// newHost returns the host with its response entry.
func newHost(m membership.Member, site string) hostView {
	jsonEntry, _ := json.Marshal(Host{m.Host, m.CallerAddress, m.Region, m.FailureDomain, site}) // strings always encode
	return hostView{m.Host, xxhash.Sum64String(m.Host), jsonEntry}
}

// toJSON returns the text as a JSON string.
func toJSON(text string) []byte {
	quoted, _ := json.Marshal(text) // strings always encode
	return quoted
}
