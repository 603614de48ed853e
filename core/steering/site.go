// Package steering decides which sites a client should use: a prefix table maps the client's address to a
// location, and weighted rendezvous hashing with feedback ranks the location's candidate sites.
package steering

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Limits of the index. They bound the work of one decision and the memory of one snapshot.
const (
	// MaxRankedSites is the largest number of sites in one ranking.
	MaxRankedSites = 4
	// MaxTiers is the largest number of tiers of a location.
	MaxTiers = 8
	// MaxTierSites is the largest number of candidates in one tier.
	MaxTierSites = 8
)

// SiteID is the index of a site in a snapshot.
type SiteID uint32

// LocationID is the index of a location in a snapshot.
type LocationID uint32

// Site is a place that look-ups can name.
type Site struct {
	Name          string
	Region        string
	FailureDomain string
	// Capacity is the load that the site can serve, and its weight in the hashing. 0 gives it no clients.
	Capacity float64
	// Health in [0, 1] is the share of clients that the site can serve at all; 0 means lost.
	Health float64
	// AdmittedShare in [0, 1] is the share of the site's own clients that feedback admits.
	AdmittedShare float64
	// FailoverShare in [0, 1] is the share of the clients of other, lost sites that the site takes.
	FailoverShare float64
	// Shift is the running shift of the site's own clients to another region.
	Shift Shift
}

// Shift is the share of a site's own clients that a running shift has moved.
type Shift struct {
	// To is the region that receives the clients.
	To string
	// Share is in [0, 1].
	Share float64
}

// NewSite returns a healthy site that admits all its clients.
func NewSite(name, region, failureDomain string, capacity float64) Site {
	return Site{Name: name, Region: region, FailureDomain: failureDomain, Capacity: capacity, Health: 1, AdmittedShare: 1, FailoverShare: 1}
}

// Location is a set of client blocks that share one list of candidate sites.
type Location struct {
	Region string
	// Tiers holds candidates, nearest tier first; a later tier is used when the earlier ones take no more.
	Tiers [][]SiteID
	// ExpectedLoad estimates the load that the location's clients cause, in the unit of Site.Capacity.
	ExpectedLoad float64
}

// threshold is a share as the upper bound of a uniform 32-bit number.
type threshold uint32

const always = threshold(math.MaxUint32)

func newThreshold(share float64) threshold {
	if !(share > 0) {
		return 0
	}
	return threshold(min(share, 1) * math.MaxUint32)
}

// admits reports whether the uniform number u lies below the share.
func (t threshold) admits(u uint32) bool { return t == always || u < uint32(t) }

// seat is the compact form of a site that decisions read.
type seat struct {
	seed uint64
	// inverse is 1/Capacity, or +Inf for a site without capacity, which is never chosen.
	inverse float32
	// home and spare are the shares of the site's own clients and of other sites' clients that it takes.
	home, spare threshold
	shift       threshold
	region      uint16
	shiftTo     uint16
}

func newSeat(site Site, region, shiftTo uint16) seat {
	s := seat{
		inverse: float32(1 / site.Capacity),
		seed:    xxhash.Sum64String(site.Name), region: region, shiftTo: shiftTo,
		home: newThreshold(site.Health * site.AdmittedShare), spare: newThreshold(site.Health * site.FailoverShare),
		shift: newThreshold(site.Shift.Share),
	}
	if !(site.Capacity > 0) {
		s.inverse = float32(math.Inf(1))
	}
	if site.AdmittedShare <= 0 {
		s.spare = 0
	}
	return s
}
