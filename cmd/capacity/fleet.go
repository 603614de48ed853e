package main

import (
	"fmt"
	"math/rand/v2"

	"vanillatally/core/steering"
)

// The size that the system has to reach within two years, from section 2 of the design page.
const (
	targetHosts      = 4500
	targetBlocks     = 630000
	targetSites      = 2900
	targetRegions    = 21
	targetDomains    = 71
	targetLocations  = 4096
	targetLookupRate = 4.9e6
)

// fleet is a synthetic fleet for simulations: the target or a scaled-down version of it.
type fleet struct {
	sites     []steering.Site
	locations []steering.Location
	// regionOrder lists the regions of each location in the order of preference, its own region first.
	regionOrder [][]int
	// sitesByRegion lists the sites of each region.
	sitesByRegion [][]steering.SiteID
	clientCount   int
	// clientLocations holds the location of each client.
	clientLocations []steering.LocationID
}

// newFleet returns a fleet with the given number of sites and a proportional part of the target's address blocks, with 4
// clients for each block. Capacities are scaled so that the clients use the given share of them. Each region overflows
// into the four nearest regions.
func newFleet(sites int, utilization float64) *fleet {
	rng := rand.New(rand.NewPCG(11, uint64(sites)))
	f := &fleet{sitesByRegion: make([][]steering.SiteID, targetRegions), clientCount: 4 * targetBlocks / targetSites * sites}
	totalCapacity := 0.0
	for i := range sites {
		domain := i % targetDomains
		region := domain % targetRegions
		capacity := float64(1 + i%4)
		totalCapacity += capacity
		f.sitesByRegion[region] = append(f.sitesByRegion[region], steering.SiteID(i))
		f.sites = append(f.sites, steering.NewSite(
			fmt.Sprintf("site-%04d", i), fmt.Sprintf("region-%02d", region), fmt.Sprintf("domain-%02d", domain), capacity))
	}
	regionCapacity := make([]float64, targetRegions)
	for i := range f.sites {
		f.sites[i].Capacity *= float64(f.clientCount) / totalCapacity / utilization
		regionCapacity[i%targetDomains%targetRegions] += f.sites[i].Capacity
	}
	undrawn := make([][]steering.SiteID, targetRegions)
	drawTier := func(region int) (tier []steering.SiteID) {
		// Sites are drawn without replacement until all were drawn, so each one is drawn about equally often.
		for len(tier) < min(steering.MaxTierSites, len(f.sitesByRegion[region])) {
			if len(undrawn[region]) == 0 {
				for _, index := range rng.Perm(len(f.sitesByRegion[region])) {
					undrawn[region] = append(undrawn[region], f.sitesByRegion[region][index])
				}
			}
			id := undrawn[region][0]
			undrawn[region] = undrawn[region][1:]
			if !contains(tier, id) {
				tier = append(tier, id)
			}
		}
		return tier
	}
	locationCount := targetLocations * sites / targetSites
	demand := make([]float64, locationCount)
	for i := range locationCount {
		region := i % targetDomains % targetRegions
		order := []int{region}
		for n := range 4 {
			step := []int{1, targetRegions - 1, 2, targetRegions - 2}[(i/targetRegions+n)%4]
			order = append(order, (region+step)%targetRegions)
		}
		location := steering.Location{Region: fmt.Sprintf("region-%02d", region)}
		for _, region := range order {
			location.Tiers = append(location.Tiers, drawTier(region))
		}
		for _, region := range order[1 : steering.MaxTiers-len(order)+1] {
			location.Tiers = append(location.Tiers, drawTier(region))
		}
		for _, id := range location.Tiers[0] {
			demand[i] += f.sites[id].Capacity
		}
		f.locations, f.regionOrder = append(f.locations, location), append(f.regionOrder, order)
	}
	// A location's demand is proportional to the capacity of its nearest sites.
	totalDemand := 0.0
	for _, d := range demand {
		totalDemand += d
	}
	for i := range f.locations {
		f.locations[i].ExpectedLoad = demand[i] / totalDemand * float64(f.clientCount)
		for range int(f.locations[i].ExpectedLoad) {
			f.clientLocations = append(f.clientLocations, steering.LocationID(i))
		}
	}
	f.clientCount = len(f.clientLocations)
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
