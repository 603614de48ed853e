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
	// loadAge is how old a backend server's own statement of its load may be.
	loadAge = 2 * time.Second
	// listAge is the age of the platform list at which loads count as not measured.
	listAge = 5 * time.Second
)

// placesView is what moves know of regions and backend servers. It is immutable.
type placesView struct {
	at      time.Duration
	regions map[string]string
	usable  map[string]bool
	servers []platform.BackendServer
}

// places tells the moves where requests may go. It implements moves.Places.
type places struct {
	host *Host
	view atomic.Pointer[placesView]
}

func newPlaces(h *Host) *places {
	p := &places{host: h}
	p.view.Store(&placesView{})
	return p
}

// rebuild replaces the view after a reading of the platform list.
func (p *places) rebuild(servers []platform.BackendServer) {
	next := &placesView{at: p.host.now(), regions: map[string]string{}, usable: map[string]bool{}, servers: servers}
	current := p.host.configs.Current()
	hostsAlive := map[string]bool{}
	for _, m := range p.host.members.Members() {
		if m.State == membership.Alive || m.State == membership.Suspected {
			hostsAlive[m.Region] = true
		}
	}
	for _, s := range servers {
		next.regions[s.ID] = s.Region
		drained := current != nil && (current.Servers[s.ID].Drain || current.Regions[s.Region].Dead)
		if !s.Leaving && !drained {
			next.usable[s.ID] = true
			// A region whose hosts are all gone has most likely failed as a whole.
			next.usable[s.Region] = next.usable[s.Region] || hostsAlive[s.Region]
		}
	}
	p.view.Store(next)
}

// Region returns the region of a backend server, or the empty string.
func (p *places) Region(server string) string { return p.view.Load().regions[server] }

// Usable tells whether a region or backend server may receive moved requests.
func (p *places) Usable(place string) bool { return p.view.Load().usable[place] }

// DestinationLoad returns the use of the receiver of a shift and of the link to it.
func (p *places) DestinationLoad(s config.Shift) (to, link shift.Load) {
	view := p.view.Load()
	service := ""
	if current := p.host.configs.Current(); current != nil {
		service = current.Routes[s.Route].Service
	}
	toUse, toSlots := p.use(view, s.To, service)
	fromUse, _ := p.use(view, s.From, service)
	to = shift.Load{Known: p.host.now()-view.at < listAge && toSlots > 0}
	if toSlots > 0 {
		to.Utilization, to.UtilizationPerShare = float64(toUse)/float64(toSlots), float64(fromUse)/float64(toSlots)
	}
	return to, p.link(view, s)
}

// use sums up the requests in flight and the slots of a region or server for one service, or for all.
func (p *places) use(view *placesView, place, service string) (inFlight, slots int) {
	for _, s := range view.servers {
		if (s.Region == place || s.ID == place) && (service == "" || s.Service == service) {
			inFlight += p.host.requests.ServerLoad(s.ID, loadAge)
			slots += s.Slots
		}
	}
	return inFlight, slots
}

// link estimates the use of the link between the two regions from this host's own demand and the number of hosts.
func (p *places) link(view *placesView, s config.Shift) shift.Load {
	load := shift.Load{Known: true}
	from, to := s.From, s.To
	if region := view.regions[from]; region != "" {
		from = region
	}
	if region := view.regions[to]; region != "" {
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

// siteLoads returns the requests in flight of a service at each site, "region/failure-domain".
func (p *places) siteLoads(service string) map[string]float64 {
	loads := map[string]float64{}
	for _, s := range p.view.Load().servers {
		if s.Service == service {
			loads[s.Region+"/"+s.FailureDomain] += float64(p.host.requests.ServerLoad(s.ID, loadAge))
		}
	}
	return loads
}
