package main

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"vanillatally/core/steering"
)

const (
	// boundedFactor is the bound of a site's load over the mean, the usual choice of the literature.
	boundedFactor = 1.25
	// pointsPerSite is the number of points of a site with the mean capacity on its region's ring.
	pointsPerSite = 100
	// maxPoints limits how far a client walks on one ring.
	maxPoints = 1024
)

// bounded is consistent hashing with bounded loads: a client walks its region's ring from its own point and takes the
// first site below its bound, then walks the rings of the next regions.
type bounded struct {
	f     *fleet
	rings [][]point
	down  []bool
	bound []float64
	// exact decides with the loads of this instant and lets a client keep its site; no look-up server knows either.
	exact  bool
	lagged []float64
}

type point struct {
	at   uint64
	site int32
}

func newBounded(f *fleet, exact bool) *bounded {
	b := &bounded{f: f, exact: exact, lagged: make([]float64, len(f.sites)), bound: make([]float64, len(f.sites))}
	mean := 0.0
	for _, s := range f.sites {
		mean += s.Capacity / float64(len(f.sites))
	}
	for _, ids := range f.byRegion {
		var ring []point
		for _, id := range ids {
			h := xxhash.Sum64String(f.sites[id].Name)
			for i := range int(math.Round(pointsPerSite * f.sites[id].Capacity / mean)) {
				ring = append(ring, point{clientHash(int(h>>33), uint64(i)), int32(id)})
			}
		}
		slices.SortFunc(ring, func(x, y point) int {
			if x.at < y.at {
				return -1
			}
			return 1
		})
		b.rings = append(b.rings, ring)
	}
	return b
}

func (b *bounded) change(down []bool) {
	b.down = slices.Clone(down)
	load, capacity := float64(b.f.clients), 0.0
	for id, s := range b.f.sites {
		if !down[id] {
			capacity += s.Capacity
		}
	}
	for id, s := range b.f.sites {
		b.bound[id] = s.Capacity * min(1, boundedFactor*load/capacity)
	}
}

func (b *bounded) measure(_ time.Duration, loads []float64, _ []bool) { b.lagged = slices.Clone(loads) }

func (b *bounded) place(client int, current int32, loads []float64) int32 {
	if !b.exact {
		loads = b.lagged
	}
	at := steering.ClientKey(clientAddress(client))
	for _, region := range b.f.regions[b.f.location[client]] {
		ring := b.rings[region]
		start, _ := slices.BinarySearchFunc(ring, at, func(p point, at uint64) int {
			if p.at < at {
				return -1
			}
			return 1
		})
		for i := range min(len(ring), maxPoints) {
			site := ring[(start+i)%len(ring)].site
			if !b.down[site] && (b.exact && site == current || loads[site]+1 <= b.bound[site]) {
				return site
			}
		}
	}
	return -1
}
