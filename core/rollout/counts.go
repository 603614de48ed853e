package rollout

import (
	"maps"
	"time"
)

// Counts holds the numbers of finished requests of one version on one route.
type Counts struct {
	// Requests counts all finished requests; Failed counts those of them that failed.
	Requests uint32 `cbor:"n" json:"n"`
	Failed   uint32 `cbor:"f,omitempty" json:"failed,omitempty"`
	// LatencySamples counts the requests whose latency was measured; Slow counts those of them above SlowThreshold.
	LatencySamples uint32 `cbor:"t,omitempty" json:"timed,omitempty"`
	Slow           uint32 `cbor:"s,omitempty" json:"slow,omitempty"`
}

// Plus returns the sum of two counts.
func (c Counts) Plus(o Counts) Counts {
	return Counts{
		Requests: c.Requests + o.Requests, Failed: c.Failed + o.Failed,
		LatencySamples: c.LatencySamples + o.LatencySamples, Slow: c.Slow + o.Slow,
	}
}

// MaxServers bounds how many backend servers of the new version are counted separately. When there are more, several
// servers share one counter.
const MaxServers = 32

// RouteCounts holds the counts of the old and the new version on one route over the same time.
type RouteCounts struct {
	Old Counts `cbor:"o" json:"old"`
	// New holds the new version's counts by server, so that one faulty server can be distinguished from a
	// faulty version.
	New map[uint8]Counts `cbor:"n,omitempty" json:"new,omitempty"`
}

// Batch holds the counts of one BatchInterval by route, from one host or summed over hosts.
type Batch map[string]RouteCounts

// Plus returns the sum of two batches.
func (b Batch) Plus(o Batch) Batch {
	sum := maps.Clone(b)
	if sum == nil {
		sum = Batch{}
	}
	for route, added := range o {
		previous := sum[route]
		merged := RouteCounts{Old: previous.Old.Plus(added.Old), New: maps.Clone(previous.New)}
		if merged.New == nil {
			merged.New = map[uint8]Counts{}
		}
		for server, counts := range added.New {
			merged.New[server] = merged.New[server].Plus(counts)
		}
		sum[route] = merged
	}
	return sum
}

// SlowThreshold returns the latency above which a request counts as slow, given the old version's 90th percentile over
// the same time. The margin of 25% and 1 ms keeps small differences, such as the distance to another failure domain,
// from counting.
func SlowThreshold(oldP90 time.Duration) time.Duration { return oldP90 + oldP90/4 + time.Millisecond }
