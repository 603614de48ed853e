package main

// part is a cost of a host: messages of one kind, in plus out.
type part struct {
	name string
	// sample names the measured message as BenchmarkMessage does.
	sample    string
	transport string
	// rate is the number of messages per second at a host, sent and received, averaged over n hosts.
	rate func(n float64) float64
	// basis says where the rate comes from.
	basis string
	// small is the sample below 900 hosts, if it is another.
	small string
}

const day = 86400

// neighbours is the number of overlay neighbours of a host: its successors and predecessors on 3 rings.
func neighbours(n float64) float64 { return min(6, n-1) }

// regionsOf is the number of regions of a fleet: 3 today, 21 at the target.
func regionsOf(n float64) float64 { return min(targetRegions, max(3, n/200)) }

// flood is the number of copies of a broadcast that a host sends and receives: it forwards to all other neighbours.
func flood(neighbours float64) float64 { return 2 * max(1, neighbours-1) }

// tree is the number of copies of a broadcast over a tree: one received and, on average, one sent.
const tree = 2

// slotHolders is the part of the hosts that holds a slot of the ledger.
func slotHolders(n float64) float64 { return min(1, 64/n) }

// designed holds the parts as sections 4 and 5 of the design page describe them.
var designed = []part{
	{"heartbeats", "heartbeat/entries=0", "tcp", func(n float64) float64 { return 2 * neighbours(n) }, "each second to and from 6 neighbours", ""},
	{"membership updates", "membership-update/entries=1", "tcp", func(n float64) float64 { return 4 * 251.0 / day * n / targetNodes * flood(neighbours(n)) }, "4 for each of 251 replaced or failed hosts a day, flooded", ""},
	{"configuration", "config-change/entries=1", "tcp", func(n float64) float64 { return 26000.0 / day * n / targetNodes * flood(neighbours(n)) }, "26,000 changes a day, flooded", ""},
	{"freshness", "freshness/entries=1", "tcp", func(n float64) float64 { return flood(min(6, n/regionsOf(n)-1)) }, "each second, flooded within the region", ""},
	{"leases", "lease-renew/entries=1", "tcp", func(n float64) float64 { return slotHolders(n) * 3 * 2 * 2 * 2 }, "each holder of slots: 3 witnesses, every 0.5 s, request and answer, at both ends", ""},
	{"lending", "loan/entries=1", "tcp", func(n float64) float64 { return min(8, n-1) * 3 * 2 }, "8 teams a host, a loan each second: request, grant, spent, at both ends", ""},
	{"permits", "permit/entries=1", "tcp", func(n float64) float64 { return min(10, n-1) * 2 * 2 }, "10 backend servers in use, renewed each second at their owners, at both ends", ""},
	{"move evidence", "evidence/entries=4", "tcp", func(float64) float64 { return 2 }, "1 rollout of 4 routes, each second to its driver, at both ends", ""},
	{"load reports", "load-classes/entries=2900", "tcp", func(n float64) float64 { return flood(neighbours(n)) / 5 }, "load classes of all sites every 5 s, flooded", "load-classes/entries=290"},
}

// changed holds the same parts with the changes that the page proposes for the target. They are not built.
var changed = []part{
	{"heartbeats", "compact-heartbeat/entries=1", "udp", func(n float64) float64 { return 2 * neighbours(n) / 2 }, "every 2 s, integer keys, UDP; membership updates ride along", ""},
	{"configuration", "config-change/entries=1", "tcp", func(n float64) float64 { return 26000.0 / day * n / targetNodes * tree }, "pushed over a tree; heartbeats show gaps", ""},
	{"freshness", "compact-freshness/entries=1", "udp", func(float64) float64 { return tree }, "each second over the region's tree", ""},
	{"leases", "compact-heartbeat/entries=0", "udp", func(n float64) float64 { return slotHolders(n) * 2 * 2 }, "1 witness each second, others when it is silent", ""},
	{"lending", "compact-loan/entries=1", "udp", func(float64) float64 { return 3 * 2 }, "1 loan a second, because look-ups send a team's callers to its share holders", ""},
	{"permits", "compact-loan/entries=8", "udp", func(float64) float64 { return 2 * 2 / 2.0 }, "permits of 2 s, one batch of 8 servers to one owner per region", ""},
	{"move evidence", "compact-evidence/entries=4", "udp", func(float64) float64 { return tree }, "summed up the tree each second", ""},
	{"load reports", "load-classes/entries=2900", "tcp", func(float64) float64 { return tree / 30.0 }, "every 30 s over the tree", "load-classes/entries=290"},
}

// The limits of section 2 of the design page.
const (
	limitBytes  = 2000.0
	limitCPU    = 0.023
	limitMemory = 256.0
)

// line is a part with its figures at n hosts.
type line struct {
	rate, size, bytes float64
	// cpu is in seconds per second.
	cpu float64
}

func (p part) at(n float64, r record) (line, error) {
	sample := p.sample
	if n < 900 && p.small != "" {
		sample = p.small
	}
	size, err := r.mean("Message/kind="+sample, p.transport+"-B")
	if err != nil {
		return line{}, err
	}
	code, err := r.mean("Message/kind="+sample, "sec/op")
	if err != nil {
		return line{}, err
	}
	exchange, err := r.mean("Exchange/bytes=400", "sec/op")
	if err != nil {
		return line{}, err
	}
	rate := p.rate(n)
	// A message is encoded or decoded at a host, and an exchange is two messages with two ends each.
	return line{rate, size, rate * size, rate * (code/2 + exchange/4)}, nil
}

func sum(parts []part, n float64, r record) (total line, err error) {
	for _, p := range parts {
		l, err := p.at(n, r)
		if err != nil {
			return total, err
		}
		total.bytes += l.bytes
		total.cpu += l.cpu
		total.rate += l.rate
	}
	return total, nil
}
