// Package membership decides which hosts are alive, from heartbeats between neighbours on a fixed-degree overlay.
package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Member is what a host knows about another host.
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

// State is a member's state.
type State string

// The states of a member.
const (
	Alive     State = "alive"
	Suspected State = "suspected"
	Dead      State = "dead"
	Leaving   State = "leaving"
)

// rank orders the states of one incarnation; a record with a higher rank replaces one with a lower.
// Suspected is above Leaving so that a leaving host that stops is detected as well.
var rank = map[State]int{Alive: 1, Leaving: 2, Suspected: 3, Dead: 4}

// supersedes says whether record a replaces record b of the same host.
func supersedes(a, b Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return rank[a.State] > rank[b.State]
}

// Versions is what each heartbeat tells about the sender's configuration and ledger.
type Versions struct {
	Sequence uint64
	Epoch    uint64
}

// Heartbeat is sent each second on each link. The keys have one letter because heartbeats are
// the largest part of the control traffic of an idle host.
type Heartbeat struct {
	Incarnation uint64 `cbor:"i"`
	Sequence    uint64 `cbor:"s"`
	Epoch       uint64 `cbor:"e"`
	// TableHash is a hash of the records of all members that are not dead.
	TableHash uint64 `cbor:"t"`
	// NonNeighbour says that the receiver is not a neighbour of the sender. Such a heartbeat asks for no
	// answer, otherwise two former neighbours would keep their link forever.
	NonNeighbour bool `cbor:"g,omitempty"`
	// Updates holds at most MaxUpdates recent changes.
	Updates []Member `cbor:"u,omitempty"`
}

// SyncRequest asks a host for the records in which its table differs. It is also how a host joins.
type SyncRequest struct {
	Self Member `cbor:"self"`
	// Target is the sender's record of the receiver, so that the receiver can refute it.
	Target Member `cbor:"target"`
	// Buckets holds one hash for each of bucketCount shares of the table.
	Buckets []uint64 `cbor:"buckets"`
}

// SyncResponse holds the receiver's records in the buckets that differ.
type SyncResponse struct {
	Self    Member   `cbor:"self"`
	Members []Member `cbor:"members"`
	// More says that the answer was cut at maxExchange records.
	More bool `cbor:"more,omitempty"`
}

// Limits and periods of the overlay.
const (
	// RingCount gives each host at most 2·RingCount neighbours whatever the fleet's size.
	RingCount = 3
	// MaxUpdates bounds the changes in one heartbeat; the hash of the table finds what was left out.
	MaxUpdates = 8
	// MaxMembers bounds the table, tombstones included; records of further hosts are ignored.
	MaxMembers = 8192

	bucketCount = 64
	maxExchange = 512
	// maxLinks bounds neighbours and the hosts that count this one as their neighbour while tables differ.
	maxLinks = 32
	// maxPending bounds the changes that wait for heartbeats; the oldest is dropped.
	maxPending = 256
	// updateRepeats is the number of rounds of heartbeats that carry a change. The flood is the main path.
	updateRepeats = 3
	// mismatchLimit is the number of heartbeats with a differing table before records are exchanged;
	// a change in flight makes tables differ for less than that.
	mismatchLimit = 3
)

// Timing holds the periods of the failure detector.
type Timing struct {
	HeartbeatInterval time.Duration
	// SuspectAfter is the silence of a neighbour after which it is suspected.
	SuspectAfter time.Duration
	// DeadAfter is the time that a suspect has for its refutation.
	DeadAfter time.Duration
	// ProbeInterval is the period of one attempt to reach a host that is listed, a seed or dead.
	ProbeInterval time.Duration
	// TombstoneTTL is the time after which a dead host's record is dropped. It exceeds the longest
	// partition that is expected (1 h), because dead hosts are probed from these records.
	TombstoneTTL time.Duration
}

// DefaultTiming returns the periods of the design page. A host counts as dead only after its last proof of a fresh
// configuration has run out, which may have been sent until its connections were retired.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatInterval: time.Second, SuspectAfter: 1500 * time.Millisecond, DeadAfter: 4 * time.Second,
		ProbeInterval: 5 * time.Second, TombstoneTTL: 24 * time.Hour,
	}
}

// maxPatience bounds the growth of SuspectAfter for a neighbour whose refutations arrive on other
// paths only, such as behind a one-way partition.
const maxPatience = 30 * time.Second

// entry is an immutable record with what is derived from it.
type entry struct {
	Member
	rings [RingCount]uint64
	hash  uint64
	// changed is when this host learnt the state.
	changed time.Duration
}

func newEntry(m Member, now time.Duration) *entry {
	e := &entry{Member: m, changed: now}
	for i := range e.rings {
		e.rings[i] = ringHash(m.Host, i)
	}
	if m.State != Dead {
		var digest xxhash.Digest
		_, _ = digest.WriteString(m.Host)
		_, _ = digest.WriteString(string(m.State))
		var number [8]byte
		for i := range number {
			number[i] = byte(m.Incarnation >> (8 * i))
		}
		_, _ = digest.Write(number[:])
		e.hash = digest.Sum64()
	}
	return e
}

func ringHash(host string, ring int) uint64 {
	return xxhash.Sum64String(string(rune('0'+ring)) + host)
}

func (e *entry) bucket() int { return int(e.rings[0] % bucketCount) }
