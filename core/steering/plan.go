package steering

import "math"

// planRounds bounds the iterations of Plan. The shares fall towards their fixed point, because a site that refuses
// more sends more clients to the others.
const planRounds = 12

// Plan returns a snapshot with each site's Headroom set, so that the loss of any one failure domain or any one
// region brings no site above limit × Capacity. It works ahead of the loss, because answers that callers have cached
// name the next sites already, and measurements after a loss come too late.
//
// loads is the measured load of each site, with cached answers counted for their whole time to live.
func (s *Snapshot) Plan(loads []float64, limit float64) *Snapshot {
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
			room := limit*site.Capacity*site.Health - p.load(id)
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
	for id := range sites {
		sites[id].Headroom = spare[id]
	}
	return s.WithSites(sites)
}

// plan holds the load that each loss would bring to each site.
type plan struct {
	s     *Snapshot
	loads []float64
	// demand is the estimated load of each location.
	demand []float64
	// domains numbers the failure domains; losses are the domains first, then the regions.
	domains []int
	losses  int
	// flow[loss*sites+site] is the load that tries the site after the loss; worst is its maximum per site.
	flow  []float64
	worst []float64
}

func newPlan(s *Snapshot, loads []float64) *plan {
	p := &plan{s: s, loads: loads, demand: make([]float64, len(s.locations)), worst: make([]float64, len(s.sites))}
	numbers := map[[2]string]int{}
	for _, site := range s.sites {
		name := [2]string{site.Region, site.FailureDomain}
		if _, ok := numbers[name]; !ok {
			numbers[name] = len(numbers)
		}
		p.domains = append(p.domains, numbers[name])
	}
	p.losses = len(numbers) + len(s.regions)
	p.flow = make([]float64, p.losses*len(s.sites))
	p.fit()
	return p
}

func (p *plan) load(id int) float64 {
	if id < len(p.loads) {
		return p.loads[id]
	}
	return 0
}

// fit estimates each location's load: its own estimate, scaled by the loads measured at its sites.
func (p *plan) fit() {
	expected := make([]float64, len(p.s.sites))
	for i := range p.s.locations {
		p.shares(i, func(id SiteID, share float64) { expected[id] += share * float64(p.s.locations[i].clients) })
	}
	for i := range p.s.locations {
		p.shares(i, func(id SiteID, share float64) {
			if expected[id] > 0 {
				p.demand[i] += float64(p.s.locations[i].clients) * share * p.load(int(id)) / expected[id]
			}
		})
	}
}

// shares calls fn with the part of a location's clients whose own site each first-tier site is.
func (p *plan) shares(i int, fn func(SiteID, float64)) {
	for k, id := range p.s.locations[i].first() {
		fn(id, float64(p.s.nears[i].own[k])/buckets)
	}
}

// visits fills flow and worst for the given shares that sites take of other sites' clients.
func (p *plan) visits(spare []float64) {
	clear(p.flow)
	clear(p.worst)
	for i := range p.s.locations {
		if p.demand[i] == 0 {
			continue
		}
		var done [2 * MaxTierSites]int
		losses := done[:0]
		p.shares(i, func(id SiteID, _ float64) {
			for _, loss := range [2]int{p.domains[id], p.losses - len(p.s.regions) + int(p.s.seats[id].region)} {
				if !contains(losses, loss) {
					losses = append(losses, loss)
				}
			}
		})
		for _, loss := range losses {
			p.spread(i, loss, spare)
		}
	}
	for loss := range p.losses {
		for id := range p.worst {
			p.worst[id] = max(p.worst[id], p.flow[loss*len(p.worst)+id])
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

// hit reports whether the loss takes the site.
func (p *plan) hit(loss int, id SiteID) bool {
	return p.domains[id] == loss || p.losses-len(p.s.regions)+int(p.s.seats[id].region) == loss
}

// spread adds the load that leaves the location's lost first-tier sites to the sites that it tries next.
func (p *plan) spread(i, loss int, spare []float64) {
	moving := 0.0
	p.shares(i, func(id SiteID, share float64) {
		if p.hit(loss, id) {
			moving += share * p.demand[i]
		}
	})
	l := &p.s.locations[i]
	for t := range l.tiers() {
		var tier tierLoad
		for _, id := range l.tier(t) {
			if c := p.s.sites[id].Capacity; c > 0 && !p.hit(loss, id) && p.s.sites[id].Health > 0 {
				tier.add(id, c, spare[id])
			}
		}
		visits, left := tier.visits()
		for k, id := range tier.ids[:tier.n] {
			p.flow[loss*len(p.worst)+int(id)] += moving * visits[k]
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
