package steering

import "math"

// maxPlanIterations bounds the iterations of PlanFailover. The failover shares fall towards a fixed point, because a
// site that refuses more clients sends more to the others.
const maxPlanIterations = 12

// PlanFailover returns a snapshot with each site's FailoverShare set so that the loss of any one more failure domain,
// or of any one region while no site is lost, brings no site above limit × Capacity. Planning for the loss of a second
// region would take the room from the clients of the first, and left 0.3% of all clients without a site. The plan has
// to be ready before the loss: answers that clients have cached name the next sites already, and measurements after the
// loss come too late.
//
// loads is the measured load of each site, with cached answers counted for their whole time to live.
func (s *Snapshot) PlanFailover(loads []float64, limit float64) *Snapshot {
	p := newFailoverPlanner(s, loads)
	failoverShares := make([]float64, len(s.sites))
	for i := range failoverShares {
		failoverShares[i] = 1
	}
	for range maxPlanIterations {
		p.computeOfferedLoads(failoverShares)
		change := 0.0
		for id, site := range s.sites {
			share := 1.0
			available := limit*site.Capacity*site.Health - p.ownLoad[id]
			if worst := p.offeredWorst[id]; available < worst {
				share = max(0, available/worst)
			}
			change = max(change, failoverShares[id]-share)
			failoverShares[id] = share
		}
		if change < 0.01 {
			break
		}
	}
	sites := s.Sites()
	for id, share := range failoverShares {
		// Each change of the share moves clients that sites refused, so small changes are left out. While sites are
		// lost the share is not raised, because that would leave too little room for the loss of a region.
		old := sites[id].FailoverShare
		if share < lowerFailoverBelow*old || !p.anyLost && (share > old+minFailoverRaise || share == 1) {
			sites[id].FailoverShare = share
		}
	}
	next := s.WithSites(sites)
	next.locationLoads = p.locationLoads
	return next
}

// A FailoverShare is raised by at least minFailoverRaise, and lowered only to less than lowerFailoverBelow of its old
// value. A share that therefore stays too high takes at most a tenth more of the site's room, which the gap between
// MaxPlannedUtilization and the full capacity covers.
const (
	minFailoverRaise   = 0.1
	lowerFailoverBelow = 0.9
)

// failoverPlanner computes the load that each possible loss would bring to each site.
type failoverPlanner struct {
	s *Snapshot
	// ownLoad is the estimated load that each site's own clients cause at it, and locationLoads the load of each
	// location.
	ownLoad       []float64
	locationLoads []float64
	// domainNumbers is the number of each site's failure domain. The possible losses are numbered too: the failure
	// domains first, then the regions; there are lossCount.
	domainNumbers []int
	lossCount     int
	// anyLost is set when a site is lost at present.
	anyLost bool
	// offeredNow is the load that tries each site because of the sites that are lost at present.
	// offeredExtra[loss*sites+site] is the change that a further loss makes to it, and offeredWorst is offeredNow with
	// the largest of these changes.
	offeredNow, offeredExtra, offeredWorst []float64
}

// noFurtherLoss stands for the present state, without a loss beyond the sites that are lost already.
const noFurtherLoss = -1

func newFailoverPlanner(s *Snapshot, loads []float64) *failoverPlanner {
	p := &failoverPlanner{
		s: s, ownLoad: make([]float64, len(s.sites)), locationLoads: s.locationLoads,
		offeredNow: make([]float64, len(s.sites)), offeredWorst: make([]float64, len(s.sites)),
	}
	copy(p.ownLoad, loads)
	domainNumbers := map[[2]string]int{}
	for _, site := range s.sites {
		name := [2]string{site.Region, site.FailureDomain}
		if _, ok := domainNumbers[name]; !ok {
			domainNumbers[name] = len(domainNumbers)
		}
		p.domainNumbers = append(p.domainNumbers, domainNumbers[name])
		p.anyLost = p.anyLost || site.Health <= 0
	}
	p.lossCount = len(domainNumbers) + len(s.regions)
	p.offeredExtra = make([]float64, p.lossCount*len(s.sites))
	p.estimateLoads()
	return p
}

// estimateLoads estimates the sites' own loads and the locations' loads. A location's load is its ExpectedLoad, scaled
// by the ratio of measured to expected load at its first-tier sites. While less than a fifth of its clients have a
// usable first site, the value of the last plan stays.
func (p *failoverPlanner) estimateLoads() {
	if len(p.locationLoads) == len(p.s.locations) {
		failoverShares := make([]float64, len(p.s.sites))
		for id, site := range p.s.sites {
			failoverShares[id] = site.FailoverShare
		}
		for i := range p.s.locations {
			p.spreadLostLoad(i, noFurtherLoss, failoverShares, func(id SiteID, offered float64) {
				p.ownLoad[id] = max(0, p.ownLoad[id]-offered*failoverShares[id])
			})
		}
	}
	expectedLoads := make([]float64, len(p.s.sites))
	for i := range p.s.locations {
		p.forEachPrimaryShare(i, func(id SiteID, share float64) {
			expectedLoads[id] += share * float64(p.s.locations[i].expectedLoad)
		})
	}
	locationLoads := make([]float64, len(p.s.locations))
	for i := range p.s.locations {
		expectedLoad, ratio, seenShare := float64(p.s.locations[i].expectedLoad), 0.0, 0.0
		p.forEachPrimaryShare(i, func(id SiteID, share float64) {
			if site := p.s.sites[id]; expectedLoads[id] > 0 && site.Health > 0 && site.AdmittedShare > 0 {
				ratio += share * p.ownLoad[id] / expectedLoads[id] / site.AdmittedShare
				seenShare += share
			}
		})
		switch {
		case seenShare >= 0.2:
			locationLoads[i] = expectedLoad * ratio / seenShare
		case i < len(p.locationLoads):
			locationLoads[i] = p.locationLoads[i]
		default:
			locationLoads[i] = expectedLoad
		}
	}
	p.locationLoads = locationLoads
}

// forEachPrimaryShare calls fn for each first-tier site with the fraction of the location's clients whose own site it
// is.
func (p *failoverPlanner) forEachPrimaryShare(i int, fn func(SiteID, float64)) {
	for k, id := range p.s.locations[i].firstTierSites() {
		fn(id, float64(p.s.firstTiers[i].primaryBuckets[k])/bucketsPerLocation)
	}
}

// computeOfferedLoads sets offeredNow, offeredExtra and offeredWorst for the given failover shares of the sites.
func (p *failoverPlanner) computeOfferedLoads(failoverShares []float64) {
	clear(p.offeredNow)
	clear(p.offeredExtra)
	for i := range p.s.locations {
		var lossBuffer [2 * MaxTierSites]int
		losses := lossBuffer[:0]
		p.forEachPrimaryShare(i, func(id SiteID, _ float64) {
			if loss := p.domainNumbers[id]; !contains(losses, loss) {
				losses = append(losses, loss)
			}
			if loss := p.lossCount - len(p.s.regions) + int(p.s.compactSites[id].region); !p.anyLost && !contains(losses, loss) {
				losses = append(losses, loss)
			}
		})
		p.spreadLostLoad(i, noFurtherLoss, failoverShares, func(id SiteID, offered float64) {
			p.offeredNow[id] += offered
			for _, loss := range losses {
				p.offeredExtra[loss*len(p.offeredWorst)+int(id)] -= offered
			}
		})
		for _, loss := range losses {
			p.spreadLostLoad(i, loss, failoverShares, func(id SiteID, offered float64) {
				p.offeredExtra[loss*len(p.offeredWorst)+int(id)] += offered
			})
		}
	}
	copy(p.offeredWorst, p.offeredNow)
	for loss := range p.lossCount {
		for id := range p.offeredWorst {
			p.offeredWorst[id] = max(p.offeredWorst[id], p.offeredNow[id]+p.offeredExtra[loss*len(p.offeredWorst)+id])
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

// isLost reports whether the site is lost at present, or would be by the loss.
func (p *failoverPlanner) isLost(loss int, id SiteID) bool {
	return p.s.sites[id].Health <= 0 || p.domainNumbers[id] == loss ||
		p.lossCount-len(p.s.regions)+int(p.s.compactSites[id].region) == loss
}

// spreadLostLoad distributes the load of the location's lost first-tier sites over its other sites: it calls offer with
// the part of the load that tries each site.
func (p *failoverPlanner) spreadLostLoad(i, loss int, failoverShares []float64, offer func(SiteID, float64)) {
	offered := 0.0
	p.forEachPrimaryShare(i, func(id SiteID, share float64) {
		if p.isLost(loss, id) {
			offered += share * p.locationLoads[i]
		}
	})
	if offered < 1e-9 {
		return
	}
	l := &p.s.locations[i]
	for t := range l.tiers() {
		var tier tierLoad
		for _, id := range l.tier(t) {
			if c := p.s.sites[id].Capacity; c > 0 && !p.isLost(loss, id) {
				tier.add(id, c, failoverShares[id])
			}
		}
		offeredShares, unaccepted := tier.offeredShares()
		for k, id := range tier.ids[:tier.n] {
			offer(id, offered*offeredShares[k])
		}
		if offered *= unaccepted; offered < 1e-9 {
			return
		}
	}
}

// tierLoad computes which fraction of the failed-over clients tries each site of one tier.
type tierLoad struct {
	n              int
	ids            [MaxTierSites]SiteID
	capacities     [MaxTierSites]float64
	failoverShares [MaxTierSites]float64
	totalCapacity  float64
	// anyRefusal is set when a site accepts only some of the clients.
	anyRefusal bool
}

func (t *tierLoad) add(id SiteID, capacity, failoverShare float64) {
	t.ids[t.n], t.capacities[t.n], t.failoverShares[t.n] = id, capacity, failoverShare
	t.n++
	t.totalCapacity += capacity
	t.anyRefusal = t.anyRefusal || failoverShare < 1
}

// integrationIntervals is the number of intervals of the numerical integration in offeredShares.
const integrationIntervals = 8

// offeredShares returns the fraction of the clients that tries each site, and the fraction that no site accepts.
//
// In weighted rendezvous hashing a client tries the sites in ascending order of exponentially distributed numbers with
// the capacities as rates. It tries site j, whose number is s, if no site with a smaller number accepted it. So the
// fraction is the integral over s of the density of j's number, times the product over the other sites i of 1 -
// failoverShare(i) × P(number of i < s).
func (t *tierLoad) offeredShares() (shares [MaxTierSites]float64, unaccepted float64) {
	if t.n == 0 {
		return shares, 1
	}
	if !t.anyRefusal {
		for j := range t.n {
			shares[j] = t.capacities[j] / t.totalCapacity
		}
		return shares, 0
	}
	unaccepted = 1
	var before, after [MaxTierSites]float64 // P(number of i >= s) at both ends of an interval
	for i := range t.n {
		before[i] = 1
		unaccepted *= 1 - t.failoverShares[i]
	}
	for k := range integrationIntervals {
		product := 1.0
		// The ends of the intervals are at equal quantiles for a site with the mean capacity.
		log := math.Log(1 - float64(k+1)/integrationIntervals)
		for i := range t.n {
			after[i] = math.Exp(log * t.capacities[i] * float64(t.n) / t.totalCapacity)
			product *= 1 - t.failoverShares[i]*(1-(before[i]+after[i])/2)
		}
		for j := range t.n {
			if own := 1 - t.failoverShares[j]*(1-(before[j]+after[j])/2); own > 1e-9 {
				shares[j] += (before[j] - after[j]) * product / own
			}
		}
		before = after
	}
	return shares, unaccepted
}
