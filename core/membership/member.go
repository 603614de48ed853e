// Package membership is a gossip membership protocol in the style of SWIM. Hosts exchange heartbeats with their
// neighbours on a few hash rings, suspect and then declare dead an unresponsive neighbour, flood changes to all hosts and
// repair differences between member tables by anti-entropy sync. Its functions do no input or output.
package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Member is the membership record of a host.
type Member struct {
	Host string `cbor:"host" json:"host"`
	// Incarnation rises with every restart and every refuted suspicion.
	Incarnation   uint64 `cbor:"incarnation" json:"incarnation"`
	Region        string `cbor:"region" json:"region"`
	FailureDomain string `cbor:"failure-domain" json:"failure-domain"`
	// PeerAddress and CallerAddress are IP:port pairs.
	PeerAddress   string `cbor:"peer-address" json:"peer-address"`
	CallerAddress string `cbor:"caller-address" json:"caller-address"`
	State         State  `cbor:"state" json:"state"`
}

// State is the liveness of a member.
type State string

// Member states.
const (
	Alive     State = "alive"
	Suspected State = "suspected"
	Dead      State = "dead"
	Leaving   State = "leaving"
)

// rank orders the states within one incarnation; a record of higher rank replaces one of lower rank.
// Suspected ranks above Leaving so that the failure of a leaving host is detected too.
var rank = map[State]int{Alive: 1, Leaving: 2, Suspected: 3, Dead: 4}

// supersedes reports whether record a replaces record b of the same host.
func supersedes(a, b Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return rank[a.State] > rank[b.State]
}

// Versions holds the configuration sequence and the ledger epoch that the sender of a heartbeat has applied.
type Versions struct {
	Sequence uint64
	Epoch    uint64
}

// Heartbeat is sent on each link once per HeartbeatInterval. Its keys have one letter because heartbeats are the
// largest part of an idle host's control traffic.
type Heartbeat struct {
	Incarnation uint64 `cbor:"i"`
	Sequence    uint64 `cbor:"s"`
	Epoch       uint64 `cbor:"e"`
	// TableHash is a hash over the records of all members that are not dead.
	TableHash uint64 `cbor:"t"`
	// NonNeighbour is set when the receiver is not a neighbour of the sender. The receiver doesn't answer such a
	// heartbeat, otherwise two former neighbours would keep their link forever.
	NonNeighbour bool `cbor:"g,omitempty"`
	// Updates holds at most MaxUpdates recently changed records.
	Updates []Member `cbor:"u,omitempty"`
}

// SyncRequest asks a host for the records in which its table differs from the sender's. A host joins by sending one.
type SyncRequest struct {
	Self Member `cbor:"self"`
	// Target is the sender's record of the receiver, so that the receiver can refute it.
	Target Member `cbor:"target"`
	// Buckets holds one hash for each of the bucketCount buckets of the table.
	Buckets []uint64 `cbor:"buckets"`
}

// SyncResponse holds the responder's records in the buckets whose hashes differ.
type SyncResponse struct {
	Self    Member   `cbor:"self"`
	Members []Member `cbor:"members"`
	// More is set when the response was truncated at maxSyncRecords records or a few more.
	More bool `cbor:"more,omitempty"`
}

// Limits of the overlay and the member table.
const (
	// RingCount is the number of hash rings. A host has at most 2·RingCount neighbours at any fleet size.
	RingCount = 3
	// MaxUpdates bounds the changes in one heartbeat; a differing TableHash reveals what was left out.
	MaxUpdates = 8
	// MaxMembers bounds the table, tombstones included; records of further hosts are ignored.
	MaxMembers = 8192

	bucketCount    = 64
	maxSyncRecords = 512
	// maxLinks bounds the neighbours plus the hosts that treat this host as a neighbour while the tables differ.
	maxLinks = 32
	// maxPendingUpdates bounds the changes queued for heartbeats; the oldest is dropped.
	maxPendingUpdates = 256
	// updateTransmissions is the number of heartbeat rounds that repeat a change. Changes spread mainly by flooding.
	updateTransmissions = 3
	// mismatchLimit is the number of consecutive heartbeats with a differing TableHash that starts a sync. A change
	// that is still spreading makes tables differ for a shorter time.
	mismatchLimit = 3
)

// Timing holds the intervals and timeouts of the failure detector.
type Timing struct {
	HeartbeatInterval time.Duration
	// SuspectAfter is the time without heartbeats after which a neighbour is suspected.
	SuspectAfter time.Duration
	// DeadAfter is the time that a suspected member has to refute the suspicion.
	DeadAfter time.Duration
	// ProbeInterval is the time between attempts to reach a seed, a dead host or an unknown host of the platform list.
	ProbeInterval time.Duration
	// TombstoneTTL is how long the record of a dead host is kept. It exceeds the longest expected partition
	// (1 h), because dead hosts are probed from these records.
	TombstoneTTL time.Duration
}

// DefaultTiming returns the timing for production. SuspectAfter plus DeadAfter is long enough that a host is declared
// dead only after its last proof of a fresh configuration has expired; it may send that proof until its connections
// are retired.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatInterval: time.Second, SuspectAfter: 1500 * time.Millisecond, DeadAfter: 4 * time.Second,
		ProbeInterval: 5 * time.Second, TombstoneTTL: 24 * time.Hour,
	}
}

// maxSuspectAfter bounds the suspicion timeout of a link, which doubles each time that the neighbour is suspected and
// no heartbeat arrives in between. That happens in a one-way partition, where refutations come on other paths only.
const maxSuspectAfter = 30 * time.Second

// entry is an immutable member record with derived values.
type entry struct {
	Member
	// rings holds the host's position on each ring.
	rings [RingCount]uint64
	// hash covers host, state and incarnation; 0 for a dead member.
	hash uint64
	// changedAt is when this host stored the record.
	changedAt time.Duration
}

func newEntry(m Member, now time.Duration) *entry {
	e := &entry{Member: m, changedAt: now}
	for i := range e.rings {
		e.rings[i] = ringHash(m.Host, i)
	}
	if m.State != Dead {
		var hasher xxhash.Digest
		_, _ = hasher.WriteString(m.Host)
		_, _ = hasher.WriteString(string(m.State))
		var incarnation [8]byte
		for i := range incarnation {
			incarnation[i] = byte(m.Incarnation >> (8 * i))
		}
		_, _ = hasher.Write(incarnation[:])
		e.hash = hasher.Sum64()
	}
	return e
}

func ringHash(host string, ring int) uint64 {
	return xxhash.Sum64String(string(rune('0'+ring)) + host)
}

func (e *entry) bucket() int { return int(e.rings[0] % bucketCount) }
