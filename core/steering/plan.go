package steering

import "math"

// planRounds bounds the iterations of Plan. The shares fall towards their fixed point, because a site that refuses
// more sends more clients to the others.
const planRounds = 12

// PlanFailover returns a snapshot with each site's Headroom set, so that the loss of any one more failure domain, or of any one
// region while no site is lost, brings no site above limit × Capacity. Room for a second region would have to be taken
// from the clients of the first: it left 0.3% of all clients without a site. It works ahead of the loss, because answers that callers have cached
// name the next sites already, and measurements after a loss come too late.
//
// loads is the measured load of each site, with cached answers counted for their whole time to live.
func (s *Snapshot) PlanFailover(loads []float64, limit float64) *Snapshot {
	p := newPlan(s, loads)
	spare := make([]float64, len(s.sites))
	for i := range spare {
		spare[i] = 1
	}
	for range planRounds {
		p.visits(spare)
		change := 0.0
		for id, site := range s.sites {
			share := 1.0
			room := limit*site.Capacity*site.Health - p.own[id]
			if worst := p.worst[id]; room < worst {
				share = max(0, room/worst)
			}
			change = max(change, spare[id]-share)
			spare[id] = share
		}
		if change < 0.01 {
			break
		}
	}
	sites := s.Sites()
	for id, share := range spare {
		// Each change moves clients that sites refused, so small ones are left out. While sites are lost there is no
		// raise, because it would leave too little room for a region's loss.
		old := sites[id].FailoverShare
		if share < lowerHeadroom*old || !p.lost && (share > old+raiseHeadroom || share == 1) {
			sites[id].FailoverShare = share
		}
	}
	next := s.WithSites(sites)
	next.demand = p.demand
	return next
}

// raiseHeadroom is the smallest raise of a site's Headroom, and lowerHeadroom the largest part that lowers it. What
// stays too high by less takes a tenth of the room at most, which the distance from PlanLimit to the capacity covers.
const (
	raiseHeadroom = 0.1
	lowerHeadroom = 0.9
)

// plan holds the load that each loss would bring to each site.
type plan struct {
	s *Snapshot
	// own is the estimated load of each site by its own clients, demand that of each location.
	own    []float64
	demand []float64
	// domains numbers the failure domains; losses are the domains first, then the regions.
	domains []int
	losses  int
	// lost reports that sites are lost now.
	lost bool
	// base is the load that tries each site because of the sites that are lost now. flow[loss*sites+site] is what a
	// loss adds, and worst is base with the largest addition.
	base, flow, worst []float64
}

// now stands for no further loss than the sites that are lost now.
const now = -1

func newPlan(s *Snapshot, loads []float64) *plan {
	p := &plan{
		s: s, own: make([]float64, len(s.sites)), demand: s.demand,
		base: make([]float64, len(s.sites)), worst: make([]float64, len(s.sites)),
	}
	copy(p.own, loads)
	numbers := map[[2]string]int{}
	for _, site := range s.sites {
		name := [2]string{site.Region, site.FailureDomain}
		if _, ok := numbers[name]; !ok {
			numbers[name] = len(numbers)
		}
		p.domains = append(p.domains, numbers[name])
		p.lost = p.lost || site.Health <= 0
	}
	p.losses = len(numbers) + len(s.regions)
	p.flow = make([]float64, p.losses*len(s.sites))
	p.fit()
	return p
}

// fit estimates the sites' own loads and each location's load. A location's load is its own estimate, scaled by the
// loads at its first sites; while most of those are lost, the last plan's value stays.
func (p *plan) fit() {
	if len(p.demand) == len(p.s.locations) {
		spare := make([]float64, len(p.s.sites))
		for id, site := range p.s.sites {
			spare[id] = site.FailoverShare
		}
		for i := range p.s.locations {
			p.spread(i, now, spare, func(id SiteID, visits float64) { p.own[id] = max(0, p.own[id]-visits*spare[id]) })
		}
	}
	expected := make([]float64, len(p.s.sites))
	for i := range p.s.locations {
		p.shares(i, func(id SiteID, share float64) { expected[id] += share * float64(p.s.locations[i].clients) })
	}
	demand := make([]float64, len(p.s.locations))
	for i := range p.s.locations {
		clients, ratio, seen := float64(p.s.locations[i].clients), 0.0, 0.0
		p.shares(i, func(id SiteID, share float64) {
			if site := p.s.sites[id]; expected[id] > 0 && site.Health > 0 && site.AdmittedShare > 0 {
				ratio += share * p.own[id] / expected[id] / site.AdmittedShare
				seen += share
			}
		})
		switch {
		case seen >= 0.2:
			demand[i] = clients * ratio / seen
		case i < len(p.demand):
			demand[i] = p.demand[i]
		default:
			demand[i] = clients
		}
	}
	p.demand = demand
}

// shares calls fn with the part of a location's clients whose own site each first-tier site is.
func (p *plan) shares(i int, fn func(SiteID, float64)) {
	for k, id := range p.s.locations[i].first() {
		fn(id, float64(p.s.nears[i].own[k])/buckets)
	}
}

// visits fills base, flow and worst for the given shares that sites take of other sites' clients.
func (p *plan) visits(spare []float64) {
	clear(p.base)
	clear(p.flow)
	for i := range p.s.locations {
		var done [2 * MaxTierSites]int
		losses := done[:0]
		p.shares(i, func(id SiteID, _ float64) {
			if loss := p.domains[id]; !contains(losses, loss) {
				losses = append(losses, loss)
			}
			if loss := p.losses - len(p.s.regions) + int(p.s.seats[id].region); !p.lost && !contains(losses, loss) {
				losses = append(losses, loss)
			}
		})
		p.spread(i, now, spare, func(id SiteID, visits float64) {
			p.base[id] += visits
			for _, loss := range losses {
				p.flow[loss*len(p.worst)+int(id)] -= visits
			}
		})
		for _, loss := range losses {
			p.spread(i, loss, spare, func(id SiteID, visits float64) { p.flow[loss*len(p.worst)+int(id)] += visits })
		}
	}
	copy(p.worst, p.base)
	for loss := range p.losses {
		for id := range p.worst {
			p.worst[id] = max(p.worst[id], p.base[id]+p.flow[loss*len(p.worst)+id])
		}
	}
}

func contains(list []int, n int) bool {
	for _, m := range list {
		if m == n {
			return true
		}
	}
	return false
}

// hit reports whether the site is lost now or by the loss.
func (p *plan) hit(loss int, id SiteID) bool {
	return p.s.sites[id].Health <= 0 || p.domains[id] == loss || p.losses-len(p.s.regions)+int(p.s.seats[id].region) == loss
}

// spread calls visit with the load of the location's lost first-tier sites that tries each other site.
func (p *plan) spread(i, loss int, spare []float64, visit func(SiteID, float64)) {
	moving := 0.0
	p.shares(i, func(id SiteID, share float64) {
		if p.hit(loss, id) {
			moving += share * p.demand[i]
		}
	})
	if moving < 1e-9 {
		return
	}
	l := &p.s.locations[i]
	for t := range l.tiers() {
		var tier tierLoad
		for _, id := range l.tier(t) {
			if c := p.s.sites[id].Capacity; c > 0 && !p.hit(loss, id) {
				tier.add(id, c, spare[id])
			}
		}
		visits, left := tier.visits()
		for k, id := range tier.ids[:tier.n] {
			visit(id, moving*visits[k])
		}
		if moving *= left; moving < 1e-9 {
			return
		}
	}
}

// tierLoad computes how often clients visit the sites of one tier.
type tierLoad struct {
	n        int
	ids      [MaxTierSites]SiteID
	capacity [MaxTierSites]float64
	spare    [MaxTierSites]float64
	weight   float64
	// refuses is set when a site takes less than all.
	refuses bool
}

func (t *tierLoad) add(id SiteID, capacity, spare float64) {
	t.ids[t.n], t.capacity[t.n], t.spare[t.n] = id, capacity, spare
	t.n++
	t.weight += capacity
	t.refuses = t.refuses || spare < 1
}

// integrationSteps is the number of intervals of visits' integral.
const integrationSteps = 8

// visits returns the share of the clients that visits each site, and the share that no site takes.
//
// In rendezvous hashing a client visits its sites in the order of exponential clocks with the capacities as rates.
// It visits site j at the time s if no earlier site took it, so the share is the integral over the density of j's
// clock times the product over the other sites i of 1 - spare(i) × P(clock i < s).
func (t *tierLoad) visits() (visits [MaxTierSites]float64, left float64) {
	if t.n == 0 {
		return visits, 1
	}
	if !t.refuses {
		for j := range t.n {
			visits[j] = t.capacity[j] / t.weight
		}
		return visits, 0
	}
	left = 1
	var before, after [MaxTierSites]float64 // P(clock i >= time) at both ends of an interval
	for i := range t.n {
		before[i] = 1
		left *= 1 - t.spare[i]
	}
	for k := range integrationSteps {
		product := 1.0
		// The ends have equal distances on the scale of a site with the mean capacity.
		log := math.Log(1 - float64(k+1)/integrationSteps)
		for i := range t.n {
			after[i] = math.Exp(log * t.capacity[i] * float64(t.n) / t.weight)
			product *= 1 - t.spare[i]*(1-(before[i]+after[i])/2)
		}
		for j := range t.n {
			if own := 1 - t.spare[j]*(1-(before[j]+after[j])/2); own > 1e-9 {
				visits[j] += (before[j] - after[j]) * product / own
			}
		}
		before = after
	}
	return visits, left
}
