package host

import (
	"sync/atomic"
	"time"

	"vanillatally/core/config"
	"vanillatally/core/membership"
	"vanillatally/core/shift"
	"vanillatally/io/platform"
)

const (
	// maxLoadReportAge is the maximum age of a load that a backend server reported.
	maxLoadReportAge = 2 * time.Second
	// maxListAge is the age of the list of backend servers from which loads count as unknown.
	maxListAge = 5 * time.Second
)

// placesSnapshot holds the regions and backend servers of one list. It is immutable.
type placesSnapshot struct {
	at      time.Duration
	regions map[string]string
	usable  map[string]bool
	servers []platform.BackendServer
}

// places lists for shifts and rollouts where requests may be moved. It implements moves.Places.
type places struct {
	host     *Host
	snapshot atomic.Pointer[placesSnapshot]
}

func newPlaces(h *Host) *places {
	p := &places{host: h}
	p.snapshot.Store(&placesSnapshot{})
	return p
}

// rebuild replaces the snapshot after a new list of backend servers.
func (p *places) rebuild(servers []platform.BackendServer) {
	next := &placesSnapshot{at: p.host.now(), regions: map[string]string{}, usable: map[string]bool{}, servers: servers}
	current := p.host.configs.Current()
	regionHasHosts := map[string]bool{}
	for _, m := range p.host.members.Members() {
		if m.State == membership.Alive || m.State == membership.Suspected {
			regionHasHosts[m.Region] = true
		}
	}
	for _, s := range servers {
		next.regions[s.ID] = s.Region
		drained := current != nil && (current.Servers[s.ID].Drain || current.Regions[s.Region].Dead)
		if !s.Leaving && !drained {
			next.usable[s.ID] = true
			// A region without a live host has probably failed as a whole.
			next.usable[s.Region] = next.usable[s.Region] || regionHasHosts[s.Region]
		}
	}
	p.snapshot.Store(next)
}

// Region returns the region of a backend server, or the empty string.
func (p *places) Region(server string) string { return p.snapshot.Load().regions[server] }

// Usable reports whether requests may be moved to a region or backend server.
func (p *places) Usable(place string) bool { return p.snapshot.Load().usable[place] }

// DestinationLoad returns the load of the destination of a shift and of the link to it.
func (p *places) DestinationLoad(s config.Shift) (to, link shift.Load) {
	snapshot := p.snapshot.Load()
	service := ""
	if current := p.host.configs.Current(); current != nil {
		service = current.Routes[s.Route].Service
	}
	toInFlight, toSlots := p.requestsAndSlots(snapshot, s.To, service)
	fromInFlight, _ := p.requestsAndSlots(snapshot, s.From, service)
	to = shift.Load{Known: p.host.now()-snapshot.at < maxListAge && toSlots > 0}
	if toSlots > 0 {
		to.Utilization, to.UtilizationPerShare = float64(toInFlight)/float64(toSlots), float64(fromInFlight)/float64(toSlots)
	}
	return to, p.linkLoad(snapshot, s)
}

// requestsAndSlots returns the total requests in flight and slots of a region or backend server, for one service or, if service
// is empty, for all.
func (p *places) requestsAndSlots(snapshot *placesSnapshot, place, service string) (inFlight, slots int) {
	for _, s := range snapshot.servers {
		if (s.Region == place || s.ID == place) && (service == "" || s.Service == service) {
			inFlight += p.host.requests.ServerLoad(s.ID, maxLoadReportAge)
			slots += s.Slots
		}
	}
	return inFlight, slots
}

// linkLoad estimates the load of the link between the two regions: the demand of this host times the number of hosts.
func (p *places) linkLoad(snapshot *placesSnapshot, s config.Shift) shift.Load {
	load := shift.Load{Known: true}
	from, to := s.From, s.To
	if region := snapshot.regions[from]; region != "" {
		from = region
	}
	if region := snapshot.regions[to]; region != "" {
		to = region
	}
	name, ok := p.host.links.name(from, to)
	current := p.host.configs.Current()
	if !ok || current == nil {
		return load
	}
	status := p.host.budgets.Status()
	load.Utilization = status.Links[name].Demand * float64(max(1, status.Members)) / current.Links[name].BytesPerSecond
	return load
}

// siteLoads returns the requests in flight of a service by site; a site is named "region/failure-domain".
func (p *places) siteLoads(service string) map[string]float64 {
	loads := map[string]float64{}
	for _, s := range p.snapshot.Load().servers {
		if s.Service == service {
			loads[s.Region+"/"+s.FailureDomain] += float64(p.host.requests.ServerLoad(s.ID, maxLoadReportAge))
		}
	}
	return loads
}
