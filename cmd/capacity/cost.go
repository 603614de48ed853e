package main

// trafficComponent is a part of a host's control traffic: the messages of one kind that it sends and receives.
type trafficComponent struct {
	name string
	// sample is the name of the sample message in BenchmarkMessage.
	sample string
	// transport is "tcp" or "udp".
	transport string
	// rate returns the mean number of messages per second that a host of a fleet of n hosts sends and receives.
	rate func(n float64) float64
	// basis explains the rate.
	basis string
	// smallFleetSample is the sample message for fleets of less than 900 hosts; empty means sample.
	smallFleetSample string
}

const secondsPerDay = 86400

// neighbourCount returns the number of overlay neighbours of a host: its successors and predecessors on 3 rings.
func neighbourCount(n float64) float64 { return min(6, n-1) }

// regionCount returns the number of regions of a fleet of n hosts: 3 today, 21 at the target.
func regionCount(n float64) float64 { return min(targetRegions, max(3, n/200)) }

// floodCopies returns the number of copies of a flooded broadcast that a host sends and receives. A host forwards a
// broadcast to all neighbours except the one that it came from.
func floodCopies(neighbours float64) float64 { return 2 * max(1, neighbours-1) }

// treeCopies is the number of copies of a broadcast over a tree that a host sends and receives: one received and, on
// average, one sent.
const treeCopies = 2

// slotHolderShare returns the share of the hosts that hold a slot of the ledger, which has 64 slots.
func slotHolderShare(n float64) float64 { return min(1, 64/n) }

// designedTraffic is the control traffic according to sections 4 and 5 of the design page.
var designedTraffic = []trafficComponent{
	{"heartbeats", "heartbeat/entries=0", "tcp", func(n float64) float64 { return 2 * neighbourCount(n) }, "each second to and from 6 neighbours", ""},
	{"membership updates", "membership-update/entries=1", "tcp", func(n float64) float64 {
		return 4 * 251.0 / secondsPerDay * n / targetHosts * floodCopies(neighbourCount(n))
	}, "4 for each of 251 replaced or failed hosts a day, flooded", ""},
	{"configuration", "config-change/entries=1", "tcp", func(n float64) float64 {
		return 26000.0 / secondsPerDay * n / targetHosts * floodCopies(neighbourCount(n))
	}, "26,000 changes a day, flooded", ""},
	{"freshness", "freshness/entries=1", "tcp", func(n float64) float64 { return floodCopies(min(6, n/regionCount(n)-1)) }, "each second, flooded within the region", ""},
	{"leases", "lease-renew/entries=1", "tcp", func(n float64) float64 { return slotHolderShare(n) * 3 * 2 * 2 * 2 }, "each holder of slots: 3 witnesses, every 0.5 s, request and answer, at both ends", ""},
	{"lending", "loan/entries=1", "tcp", func(n float64) float64 { return min(8, n-1) * 3 * 2 }, "8 teams a host, a loan each second: request, grant, spent, at both ends", ""},
	{"permits", "permit/entries=1", "tcp", func(n float64) float64 { return min(10, n-1) * 2 * 2 }, "10 backend servers in use, renewed each second at their owners, at both ends", ""},
	{"move evidence", "evidence/entries=4", "tcp", func(float64) float64 { return 2 }, "1 rollout of 4 routes, each second to its driver, at both ends", ""},
	{"load reports", "load-classes/entries=2900", "tcp", func(n float64) float64 { return floodCopies(neighbourCount(n)) / 5 }, "load classes of all sites every 5 s, flooded", "load-classes/entries=290"},
}

// proposedTraffic is the control traffic with the changes that the capacity page proposes for the target. They are not
// implemented.
var proposedTraffic = []trafficComponent{
	{"heartbeats", "compact-heartbeat/entries=1", "udp", func(n float64) float64 { return 2 * neighbourCount(n) / 2 }, "every 2 s, integer keys, UDP; membership updates ride along", ""},
	{"configuration", "config-change/entries=1", "tcp", func(n float64) float64 { return 26000.0 / secondsPerDay * n / targetHosts * treeCopies }, "pushed over a tree; heartbeats show gaps", ""},
	{"freshness", "compact-freshness/entries=1", "udp", func(float64) float64 { return treeCopies }, "each second over the region's tree", ""},
	{"leases", "compact-heartbeat/entries=0", "udp", func(n float64) float64 { return slotHolderShare(n) * 2 * 2 }, "1 witness each second, others when it is silent", ""},
	{"lending", "compact-loan/entries=1", "udp", func(float64) float64 { return 3 * 2 }, "1 loan a second, because look-ups send a team's callers to its share holders", ""},
	{"permits", "compact-loan/entries=8", "udp", func(float64) float64 { return 2 * 2 / 2.0 }, "permits of 2 s, one batch of 8 servers to one owner per region", ""},
	{"move evidence", "compact-evidence/entries=4", "udp", func(float64) float64 { return treeCopies }, "summed up the tree each second", ""},
	{"load reports", "load-classes/entries=2900", "tcp", func(float64) float64 { return treeCopies / 30.0 }, "every 30 s over the tree", "load-classes/entries=290"},
}

// The limits for a host in section 2 of the design page.
const (
	// limitBytes is in bytes of control traffic per second.
	limitBytes = 2000.0
	// limitCPU is in seconds of CPU time per second.
	limitCPU = 0.023
	// limitMemory is in MB.
	limitMemory = 256.0
)

// trafficCost is the cost of traffic for one host.
type trafficCost struct {
	// rate is in messages per second, size in bytes per message and bytes in bytes per second.
	rate, size, bytes float64
	// cpu is in seconds of CPU time per second.
	cpu float64
}

// cost returns the cost at a host of a fleet of n hosts, calculated from benchmark results.
func (p trafficComponent) cost(n float64, r benchmarkResults) (trafficCost, error) {
	sample := p.sample
	if n < 900 && p.smallFleetSample != "" {
		sample = p.smallFleetSample
	}
	size, err := r.mean("Message/kind="+sample, p.transport+"-B")
	if err != nil {
		return trafficCost{}, err
	}
	codecTime, err := r.mean("Message/kind="+sample, "sec/op")
	if err != nil {
		return trafficCost{}, err
	}
	exchangeTime, err := r.mean("Exchange/bytes=400", "sec/op")
	if err != nil {
		return trafficCost{}, err
	}
	rate := p.rate(n)
	// The CPU times are per message and end: a message is encoded at one end and decoded at the other, and an exchange
	// consists of two messages with two ends each.
	return trafficCost{rate, size, rate * size, rate * (codecTime/2 + exchangeTime/4)}, nil
}

// sumCosts returns the total cost of parts at a host of a fleet of n hosts.
func sumCosts(parts []trafficComponent, n float64, r benchmarkResults) (total trafficCost, err error) {
	for _, p := range parts {
		l, err := p.cost(n, r)
		if err != nil {
			return total, err
		}
		total.bytes += l.bytes
		total.cpu += l.cpu
		total.rate += l.rate
	}
	return total, nil
}
