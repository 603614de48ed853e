package main

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"vanillatally/core/steering"
)

const (
	// loadBoundFactor is the maximum load of a site relative to the mean; 1.25 is usual in the literature.
	loadBoundFactor = 1.25
	// pointsPerMeanSite is the number of points on the hash ring of a site with the mean capacity.
	pointsPerMeanSite = 100
	// maxRingSteps is the maximum number of points on a ring that are examined for one client.
	maxRingSteps = 1024
)

// boundedLoads is consistent hashing with bounded loads. Each region has a hash ring of its sites. The search for a
// client's site begins at the client's hash on the ring of its region, goes on through the rings of the next regions and
// ends at the first site with a load below its bound.
type boundedLoads struct {
	fleet    *fleet
	rings    [][]ringPoint
	down     []bool
	maxLoads []float64
	// oracle makes selectSite use the current loads and prefer the client's current site. A host that answers
	// look-ups knows neither; this variant is only for comparison.
	oracle bool
	// measuredLoads are the latest loads passed to observeLoads.
	measuredLoads []float64
}

// ringPoint is a point on a hash ring.
type ringPoint struct {
	hash uint64
	site int32
}

func newBoundedLoads(f *fleet, oracle bool) *boundedLoads {
	b := &boundedLoads{
		fleet: f, oracle: oracle,
		measuredLoads: make([]float64, len(f.sites)), maxLoads: make([]float64, len(f.sites)),
	}
	mean := 0.0
	for _, s := range f.sites {
		mean += s.Capacity / float64(len(f.sites))
	}
	for _, ids := range f.sitesByRegion {
		var ring []ringPoint
		for _, id := range ids {
			siteHash := xxhash.Sum64String(f.sites[id].Name)
			for i := range int(math.Round(pointsPerMeanSite * f.sites[id].Capacity / mean)) {
				ring = append(ring, ringPoint{clientHash(int(siteHash>>33), uint64(i)), int32(id)})
			}
		}
		slices.SortFunc(ring, func(x, y ringPoint) int {
			if x.hash < y.hash {
				return -1
			}
			return 1
		})
		b.rings = append(b.rings, ring)
	}
	return b
}

func (b *boundedLoads) setDown(down []bool) {
	b.down = slices.Clone(down)
	load, capacity := float64(b.fleet.clientCount), 0.0
	for id, s := range b.fleet.sites {
		if !down[id] {
			capacity += s.Capacity
		}
	}
	for id, s := range b.fleet.sites {
		b.maxLoads[id] = s.Capacity * min(1, loadBoundFactor*load/capacity)
	}
}

func (b *boundedLoads) observeLoads(_ time.Duration, loads []float64, _ []bool) {
	b.measuredLoads = slices.Clone(loads)
}

func (b *boundedLoads) selectSite(client int, current int32, loads []float64) int32 {
	if !b.oracle {
		loads = b.measuredLoads
	}
	key := steering.ClientKey(clientAddress(client))
	for _, region := range b.fleet.regionOrder[b.fleet.clientLocations[client]] {
		ring := b.rings[region]
		start, _ := slices.BinarySearchFunc(ring, key, func(p ringPoint, key uint64) int {
			if p.hash < key {
				return -1
			}
			return 1
		})
		for i := range min(len(ring), maxRingSteps) {
			site := ring[(start+i)%len(ring)].site
			if !b.down[site] && (b.oracle && site == current || loads[site]+1 <= b.maxLoads[site]) {
				return site
			}
		}
	}
	return -1
}
