package main

import (
	"fmt"
	"math/rand/v2"

	"vanillatally/core/steering"
)

// The target of two years, from section 2 of the design page.
const (
	targetNodes     = 4500
	targetBlocks    = 630000
	targetSites     = 2900
	targetRegions   = 21
	targetDomains   = 71
	targetLocations = 4096
	targetLookups   = 4.9e6
)

// fleet is a part of the target with a utilization of its sites.
type fleet struct {
	sites     []steering.Site
	locations []steering.Location
	// regions lists each location's regions, own region first.
	regions [][]int
	// byRegion lists the sites of each region.
	byRegion [][]steering.SiteID
	clients  int
	// location is the location of each client.
	location []steering.LocationID
}

// newFleet returns a fleet of the given number of sites whose clients, 4 for each of its part of the blocks, use the
// given part of the capacity. Each region spills over into its four nearest ones.
func newFleet(sites int, utilization float64) *fleet {
	r := rand.New(rand.NewPCG(11, uint64(sites)))
	f := &fleet{byRegion: make([][]steering.SiteID, targetRegions), clients: 4 * targetBlocks / targetSites * sites}
	total := 0.0
	for i := range sites {
		domain := i % targetDomains
		region := domain % targetRegions
		capacity := float64(1 + i%4)
		total += capacity
		f.byRegion[region] = append(f.byRegion[region], steering.SiteID(i))
		f.sites = append(f.sites, steering.NewSite(fmt.Sprintf("site-%04d", i), fmt.Sprintf("region-%02d", region), fmt.Sprintf("domain-%02d", domain), capacity))
	}
	weights := make([]float64, targetRegions)
	for i := range f.sites {
		f.sites[i].Capacity *= float64(f.clients) / total / utilization
		weights[i%targetDomains%targetRegions] += f.sites[i].Capacity
	}
	decks := make([][]steering.SiteID, targetRegions)
	deal := func(region int) (tier []steering.SiteID) {
		// Dealing from a shuffled deck names each site about equally often.
		for len(tier) < min(steering.MaxTierSites, len(f.byRegion[region])) {
			if len(decks[region]) == 0 {
				for _, k := range r.Perm(len(f.byRegion[region])) {
					decks[region] = append(decks[region], f.byRegion[region][k])
				}
			}
			id := decks[region][0]
			decks[region] = decks[region][1:]
			if !contains(tier, id) {
				tier = append(tier, id)
			}
		}
		return tier
	}
	count := targetLocations * sites / targetSites
	demand := make([]float64, count)
	for i := range count {
		region := i % targetDomains % targetRegions
		order := []int{region}
		for k := range 4 {
			step := []int{1, targetRegions - 1, 2, targetRegions - 2}[(i/targetRegions+k)%4]
			order = append(order, (region+step)%targetRegions)
		}
		l := steering.Location{Region: fmt.Sprintf("region-%02d", region)}
		for _, region := range order {
			l.Tiers = append(l.Tiers, deal(region))
		}
		for _, region := range order[1 : steering.MaxTiers-len(order)+1] {
			l.Tiers = append(l.Tiers, deal(region))
		}
		for _, id := range l.Tiers[0] {
			demand[i] += f.sites[id].Capacity
		}
		f.locations, f.regions = append(f.locations, l), append(f.regions, order)
	}
	// A location's demand follows the capacity that it is near to.
	sum := 0.0
	for _, d := range demand {
		sum += d
	}
	for i := range f.locations {
		f.locations[i].ExpectedLoad = demand[i] / sum * float64(f.clients)
		for range int(f.locations[i].ExpectedLoad) {
			f.location = append(f.location, steering.LocationID(i))
		}
	}
	f.clients = len(f.location)
	return f
}

func contains(list []steering.SiteID, id steering.SiteID) bool {
	for _, other := range list {
		if other == id {
			return true
		}
	}
	return false
}
