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
	// locationsPerRegion spreads a region's clients over more precomputed orders than one location has.
	locationsPerRegion = 16
	// siteRetention is how long a site without hosts keeps its place in the hashing; until then its clients return to it.
	siteRetention = 15 * time.Minute
	// maxRegions bounds the region numbers, which are never reused.
	maxRegions = 1024
)

// view is what answers are made from. It is immutable.
type view struct {
	sequence uint64
	// routes is sorted by falling length of the path prefix.
	routes []routeView
	teams  map[string]config.Team
	// services holds an index for each service of a route.
	services map[string]*steering.Snapshot
	// sites holds the hosts of each site, in the order of the snapshots' site ids.
	sites []siteView
	// homeLocation is the first location of this host's region.
	homeLocation steering.LocationID
	// regions holds the regions' names in JSON.
	regions [][]byte
}

type routeView struct {
	name, prefix, service string
	// jsonName is the route's name in JSON.
	jsonName []byte
}

type siteView struct {
	name, region, failureDomain string
	hosts                       []hostView
	// fragment is the site's name in JSON.
	fragment []byte
}

type hostView struct {
	id   string
	hash uint64
	// fragment is the host's entry of an answer in JSON.
	fragment []byte
}

type inputs struct {
	now           time.Duration
	self          membership.Member
	members       []membership.Member
	servers       []platform.BackendServer
	configuration *config.Configuration
	loads         func(service string) map[string]float64
	shifts        func(service string) []Shift
}

// builder holds the state that lasts from one view to the next.
type builder struct {
	prefixes *steering.Snapshot
	// regions numbers the regions: region i has locations from i × locationsPerRegion.
	regions map[string]int
	// lastSeen is the last time at which a site had a host.
	lastSeen map[string]lastSeenSite
	// siteNames is the list of sites that services were built with.
	siteNames []string
	services  map[string]*serviceState
}

type lastSeenSite struct {
	region, failureDomain string
	at                    time.Duration
}

type serviceState struct {
	snapshot *steering.Snapshot
	feedback steering.Feedback
}

func newBuilder() *builder {
	empty, _ := steering.New(nil, nil, nil)
	return &builder{prefixes: empty, regions: map[string]int{}, lastSeen: map[string]lastSeenSite{}, services: map[string]*serviceState{}}
}

func (b *builder) regionNumber(name string) (int, bool) {
	i, ok := b.regions[name]
	if !ok && len(b.regions) < maxRegions {
		i, ok = len(b.regions), true
		b.regions[name] = i
	}
	return i, ok
}

// loadPrefixes maps each block to one of its region's locations, chosen by the block's hash. Blocks of regions beyond
// maxRegions are left out and answered as unknown.
func (b *builder) loadPrefixes(blocks iter.Seq2[netip.Prefix, string]) error {
	locations := make([]steering.Location, maxRegions*locationsPerRegion)
	next, err := steering.New(nil, locations, func(yield func(netip.Prefix, steering.LocationID) bool) {
		for prefix, name := range blocks {
			region, ok := b.regionNumber(name)
			part := int(steering.ClientKey(prefix.Masked().Addr())>>32) % locationsPerRegion
			if ok && !yield(prefix, steering.LocationID(region*locationsPerRegion+part)) {
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

func (b *builder) build(in inputs) (*view, error) {
	sites := b.sites(in)
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
	same := slices.Equal(names, b.siteNames)
	b.siteNames = names
	services := map[string]*serviceState{}
	for _, route := range v.routes {
		if services[route.service] != nil {
			continue
		}
		old := b.services[route.service]
		next, err := b.buildService(in, route.service, sites, old, same)
		if err != nil {
			return nil, err
		}
		services[route.service], v.services[route.service] = next, next.snapshot
	}
	b.services = services
	return v, nil
}

// sites groups the hosts that may be named by failure domain. A site that lost its hosts stays in the list.
func (b *builder) sites(in inputs) []siteView {
	members := in.members
	if !slices.ContainsFunc(members, func(m membership.Member) bool { return m.Host == in.self.Host }) && in.self.Host != "" {
		members = append(slices.Clone(members), in.self)
	}
	hosts := map[string][]hostView{}
	for _, m := range members {
		if m.State != membership.Alive || m.CallerAddress == "" || in.configuration.Hosts[m.Host].Drain || in.configuration.Regions[m.Region].Dead {
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

// buildService builds or adapts the index of one buildService.
func (b *builder) buildService(in inputs, name string, views []siteView, old *serviceState, same bool) (*serviceState, error) {
	slots := map[string]float64{}
	for _, server := range in.servers {
		if server.Service == name && !server.Leaving && !in.configuration.Servers[server.ID].Drain {
			slots[server.Region+"/"+server.FailureDomain] += float64(server.Slots)
		}
	}
	served := slices.ContainsFunc(views, func(v siteView) bool { return slots[v.name] > 0 })
	sites := make([]steering.Site, len(views))
	for i, v := range views {
		sites[i] = steering.NewSite(v.name, v.region, v.failureDomain, slots[v.name])
		if !served {
			// Without any server known, the list may be late: all sites count alike.
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
		if old != nil && same {
			was := old.snapshot.Site(steering.SiteID(i))
			sites[i].AdmittedShare, sites[i].FailoverShare = was.AdmittedShare, was.FailoverShare
		}
	}
	next := &serviceState{feedback: steering.NewFeedback(feedbackOptions)}
	var err error
	if old != nil && same {
		next.feedback, next.snapshot = old.feedback, old.snapshot.WithSites(sites)
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

// locations gives each region its own sites first, then the other regions' in an order that differs by location, so
// that the clients of a lost region spread over the others.
func (b *builder) locations(sites []steering.Site) []steering.Location {
	byRegion := map[string][]steering.SiteID{}
	for i, site := range sites {
		byRegion[site.Region] = append(byRegion[site.Region], steering.SiteID(i))
	}
	names := slices.Sorted(maps.Keys(byRegion))
	locations := make([]steering.Location, len(b.regions)*locationsPerRegion)
	for region, number := range b.regions {
		for part := range locationsPerRegion {
			l := steering.Location{Region: region, ExpectedLoad: 1}
			r := rand.New(rand.NewPCG(xxhash.Sum64String(region), uint64(part)))
			others := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == region })
			r.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
			for _, name := range append([]string{region}, others...) {
				ids := slices.Clone(byRegion[name])
				r.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
				for tier := range slices.Chunk(ids, steering.MaxTierSites) {
					if len(l.Tiers) < steering.MaxTiers {
						l.Tiers = append(l.Tiers, tier)
					}
				}
			}
			locations[number*locationsPerRegion+part] = l
		}
	}
	return locations
}

func newHost(m membership.Member, site string) hostView {
	fragment, _ := json.Marshal(Host{m.Host, m.CallerAddress, m.Region, m.FailureDomain, site}) // strings always encode
	return hostView{m.Host, xxhash.Sum64String(m.Host), fragment}
}

func toJSON(text string) []byte {
	quoted, _ := json.Marshal(text) // strings always encode
	return quoted
}
