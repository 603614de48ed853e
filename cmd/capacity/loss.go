package main

import (
	"encoding/binary"
	"net/netip"
	"time"

	"vanillatally/core/steering"
)

// The constants of the simulation, which advances in steps.
const (
	stepDuration = 500 * time.Millisecond
	// ttlSteps is the mean time for which clients cache a look-up response: 5 s, randomized by ± 20%.
	ttlSteps = 10
	// loadLagSteps is the age of the loads on which selections are based: 2 s.
	loadLagSteps = 4
	// lossStep is the step at which sites fail, and endStep the end of the simulation.
	lossStep = 120
	endStep  = 200
	// flapIntervalSteps is the time after which a flapping site fails or recovers again: 10 s.
	flapIntervalSteps = 20
)

// siteSelector is an algorithm that selects the sites of clients.
type siteSelector interface {
	// observeLoads passes the loads, as they were loadLagSteps ago, and the sites that are down now.
	observeLoads(now time.Duration, loads []float64, down []bool)
	// setDown passes the sites that are down, at the start and after each change.
	setDown(down []bool)
	// selectSite returns the site for a client, or -1 if there is none. It gets the client's current site (-1 for none)
	// and the current loads.
	selectSite(client int, current int32, loads []float64) int32
}

// lossResult is the result of one simulation.
type lossResult struct {
	// moved is the share of the clients that changed their site although it had not failed.
	moved float64
	// before and after are the highest ratio of load to capacity of a site that is up, before and after the loss. Clients
	// with cached responses count as load.
	before, after float64
	// unserved is the largest share of the clients that had no site at a step, once all had done their first look-up.
	unserved float64
}

// lossScenarios are the simulated failures. affects reports whether a site fails.
var lossScenarios = []struct {
	name     string
	affects  func(steering.Site) bool
	flapping bool
}{
	{"none", func(steering.Site) bool { return false }, false},
	{"site", func(s steering.Site) bool { return s.Name == "site-0035" }, false},
	{"domain", func(s steering.Site) bool { return s.FailureDomain == "domain-35" }, false},
	{"region", func(s steering.Site) bool { return s.Region == "region-14" }, false},
	{"flapping", func(s steering.Site) bool { return s.Name == "site-0035" }, true},
}

// simulateLoss simulates clients that look up their sites again whenever their cached response expires. At lossStep the
// affected sites fail, and their clients look up another site at once. Flapping sites recover and fail again in turns.
func simulateLoss(f *fleet, selector siteSelector, affects func(steering.Site) bool, flapping bool) (result lossResult) {
	loads := make([]float64, len(f.sites))
	loadHistory := make([][]float64, loadLagSteps+1)
	down := make([]bool, len(f.sites))
	current, expiry := make([]int32, f.clientCount), make([]int32, f.clientCount)
	affected, moved := make([]bool, f.clientCount), make([]bool, f.clientCount)
	for client := range current {
		current[client], expiry[client] = -1, int32(client%ttlSteps)
	}
	selector.setDown(down)
	served := 0
	lookUp := func(client, step int) {
		next := selector.selectSite(client, current[client], loads)
		if old := current[client]; next != old {
			if old >= 0 {
				loads[old]--
				served--
			}
			if next >= 0 {
				loads[next]++
				served++
			}
			if step >= lossStep && !affected[client] {
				moved[client] = true
			}
			current[client] = next
		}
		expiry[client] = int32(step) + ttlSteps - 2 + int32(clientHash(client, uint64(step))%5)
	}
	for step := range endStep {
		if step >= lossStep && (step == lossStep || flapping && (step-lossStep)%flapIntervalSteps == 0) {
			lost := !flapping || (step-lossStep)/flapIntervalSteps%2 == 0
			for id, site := range f.sites {
				down[id] = lost && affects(site)
			}
			selector.setDown(down)
			for client, id := range current {
				if id >= 0 && down[id] {
					affected[client] = true
					lookUp(client, step)
				}
			}
		}
		for client := range current {
			if expiry[client] == int32(step) {
				lookUp(client, step)
			}
		}
		for site, load := range loads {
			if down[site] {
				continue
			}
			if utilization := load / f.sites[site].Capacity; step >= lossStep {
				result.after = max(result.after, utilization)
			} else if step >= lossStep-2*ttlSteps {
				result.before = max(result.before, utilization)
			}
		}
		if step >= ttlSteps {
			result.unserved = max(result.unserved, 1-float64(served)/float64(f.clientCount))
		}
		loadHistory[step%len(loadHistory)] = append(loadHistory[step%len(loadHistory)][:0], loads...)
		if step%4 == 3 && step >= loadLagSteps {
			selector.observeLoads(time.Duration(step)*stepDuration, loadHistory[(step+1)%len(loadHistory)], down)
		}
	}
	for _, m := range moved {
		if m {
			result.moved += 1 / float64(f.clientCount)
		}
	}
	return result
}

// clientHash returns a pseudo-random number that depends on the client and salt.
func clientHash(client int, salt uint64) uint64 {
	return steering.ClientKey(clientAddress(client ^ int(salt*0x9e3779b9)))
}

// clientAddress returns the IP address of a client. The multiplication spreads the addresses over the address space.
func clientAddress(client int) netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], uint32(client)*2654435761)
	return netip.AddrFrom4(b)
}

// rendezvous is weighted rendezvous hashing with load feedback, the algorithm that hosts use.
type rendezvous struct {
	fleet    *fleet
	snapshot *steering.Snapshot
	feedback steering.Feedback
	planned  bool
}

func newRendezvous(f *fleet) *rendezvous {
	s, err := steering.New(f.sites, f.locations, nil)
	if err != nil {
		panic(err) // newFleet returns valid sites and locations
	}
	return &rendezvous{fleet: f, snapshot: s, feedback: steering.NewFeedback(steering.DefaultFeedback)}
}

func (r *rendezvous) setDown(down []bool) {
	sites := r.snapshot.Sites()
	for id := range sites {
		sites[id].Health = 1
		if down[id] {
			sites[id].Health = 0
		}
	}
	r.snapshot = r.snapshot.WithSites(sites)
}

func (r *rendezvous) observeLoads(now time.Duration, loads []float64, _ []bool) {
	if now < 2*ttlSteps*stepDuration {
		return // not all clients have done their first look-up yet
	}
	r.feedback, r.snapshot = r.feedback.Step(now, r.snapshot, loads)
	if r.feedback.Settled(now) && now%(10*time.Second) < 4*stepDuration {
		r.snapshot = r.snapshot.PlanFailover(loads, steering.MaxPlannedUtilization)
	}
}

func (r *rendezvous) selectSite(client int, _ int32, _ []float64) int32 {
	var out steering.Ranking
	if r.snapshot.Rank(steering.Query{
		Client: clientAddress(client), FallbackLocation: r.fleet.clientLocations[client],
	}, 1, &out); out.Len == 0 {
		return -1
	}
	return int32(out.Sites[0])
}
