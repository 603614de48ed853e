package rollout

import (
	"maps"
	"time"
)

// Counts are finished requests of one version on one route.
type Counts struct {
	// Requests counts all requests, of which Failed failed.
	Requests uint32 `cbor:"n" json:"n"`
	Failed   uint32 `cbor:"f,omitempty" json:"failed,omitempty"`
	// LatencySamples counts the requests whose latency was compared with the old version's, of which Slow were above it.
	LatencySamples uint32 `cbor:"t,omitempty" json:"timed,omitempty"`
	Slow           uint32 `cbor:"s,omitempty" json:"slow,omitempty"`
}

// Plus returns the sum.
func (c Counts) Plus(o Counts) Counts {
	return Counts{Requests: c.Requests + o.Requests, Failed: c.Failed + o.Failed, LatencySamples: c.LatencySamples + o.LatencySamples, Slow: c.Slow + o.Slow}
}

// MaxServers bounds the servers of a version that are told apart; further ones share the cells of others.
const MaxServers = 32

// RouteCounts compare the two versions on one route over the same time.
type RouteCounts struct {
	Old Counts `cbor:"o" json:"old"`
	// New holds the new version's counts by server, so that one bad machine can be told from a bad version.
	New map[uint8]Counts `cbor:"n,omitempty" json:"new,omitempty"`
}

// Batch is the evidence of one second by route, from one host or summed over hosts.
type Batch map[string]RouteCounts

// Plus returns the sum of two batches.
func (b Batch) Plus(o Batch) Batch {
	sum := maps.Clone(b)
	if sum == nil {
		sum = Batch{}
	}
	for route, add := range o {
		have := sum[route]
		merged := RouteCounts{Old: have.Old.Plus(add.Old), New: maps.Clone(have.New)}
		if merged.New == nil {
			merged.New = map[uint8]Counts{}
		}
		for machine, counts := range add.New {
			merged.New[machine] = merged.New[machine].Plus(counts)
		}
		sum[route] = merged
	}
	return sum
}

// SlowThreshold returns the latency above which a request counts as slow, from the old version's 90th percentile over
// the same time. The margin keeps small differences, such as another failure domain, from counting.
func SlowThreshold(oldP90 time.Duration) time.Duration { return oldP90 + oldP90/4 + time.Millisecond }
