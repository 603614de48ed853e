// Package steering decides which sites a client should use. A longest-prefix-match table maps the client's address to a
// location; weighted rendezvous hashing ranks the location's candidate sites, and a feedback loop on the measured loads
// adjusts how many clients each site admits.
package steering

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Limits of the lookup index. They bound the work of one decision and the memory of one snapshot.
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

// Site is a set of hosts in one failure domain that a lookup can return.
type Site struct {
	Name          string
	Region        string
	FailureDomain string
	// Capacity is the load that the site can serve, and its weight in rendezvous hashing. A site with 0 gets no
	// clients.
	Capacity float64
	// Health in [0, 1] is the fraction of clients that the site can serve at all; 0 means that the site is lost.
	Health float64
	// AdmittedShare in [0, 1] is the fraction of its own clients (those whose first choice it is) that the feedback
	// loop lets the site keep; the rest go to their next sites.
	AdmittedShare float64
	// FailoverShare in [0, 1] is the fraction of the clients of other sites that the site accepts when those sites are
	// lost or refuse them. PlanFailover sets it.
	FailoverShare float64
	// Shift is the running traffic shift of the site's own clients to another region.
	Shift Shift
}

// Shift is the fraction of a site's own clients that a running traffic shift has moved to another region.
type Shift struct {
	// To is the region that receives the clients.
	To string
	// Share is in [0, 1].
	Share float64
}

// NewSite returns a healthy site that admits all its clients.
func NewSite(name, region, failureDomain string, capacity float64) Site {
	return Site{
		Name: name, Region: region, FailureDomain: failureDomain,
		Capacity: capacity, Health: 1, AdmittedShare: 1, FailoverShare: 1,
	}
}

// Location is a set of client prefixes that share one list of candidate sites.
type Location struct {
	Region string
	// Tiers holds the candidate sites, nearest tier first. A later tier is used when the sites of the earlier ones
	// refuse the client.
	Tiers [][]SiteID
	// ExpectedLoad estimates the load that the location's clients cause, in the unit of Site.Capacity.
	ExpectedLoad float64
}

// threshold is a fraction, scaled to the range of a uniform 32-bit number: a client is admitted if its number is below.
type threshold uint32

// everyClient is the threshold for a fraction of 1.
const everyClient = threshold(math.MaxUint32)

func newThreshold(share float64) threshold {
	if !(share > 0) {
		return 0
	}
	return threshold(min(share, 1) * math.MaxUint32)
}

// admits reports whether a client with the uniform number u is among the fraction.
func (t threshold) admits(u uint32) bool { return t == everyClient || u < uint32(t) }

// compactSite holds the values of a Site that a decision reads.
type compactSite struct {
	// seed is the hash of the site's name.
	seed uint64
	// inverseCapacity is 1/Capacity, or +Inf for a site without capacity, which is never chosen.
	inverseCapacity float32
	// primaryShare is the fraction of its own clients, and failoverShare that of other sites' clients, that the site
	// accepts.
	primaryShare, failoverShare threshold
	shiftShare                  threshold
	region                      uint16
	shiftRegion                 uint16
}

func newCompactSite(site Site, region, shiftRegion uint16) compactSite {
	s := compactSite{
		inverseCapacity: float32(1 / site.Capacity),
		seed:            xxhash.Sum64String(site.Name), region: region, shiftRegion: shiftRegion,
		primaryShare:  newThreshold(site.Health * site.AdmittedShare),
		failoverShare: newThreshold(site.Health * site.FailoverShare),
		shiftShare:    newThreshold(site.Shift.Share),
	}
	if !(site.Capacity > 0) {
		s.inverseCapacity = float32(math.Inf(1))
	}
	if site.AdmittedShare <= 0 { // a site that admits none of its own clients accepts no others either
		s.failoverShare = 0
	}
	return s
}
