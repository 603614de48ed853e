package entry

import (
	"math"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"vanillatally/core/dispatch"
	"vanillatally/core/rollout"
	"vanillatally/core/watchers"
)

const (
	// demandScale turns requests per second into the integers of messages; it leaves steps of 1/8 request per second.
	demandScale = 8
	// maxCrashes, maxHeartbeatTeams and maxPeerAddresses bound the lists in a message, so that it fits one datagram.
	maxCrashes        = 8
	maxHeartbeatTeams = 64
	// maxRolloutReports bounds the rollouts that a host reports on, and maxRolloutRoutes the routes of each.
	maxRolloutReports = 16
	maxRolloutRoutes  = 16
	maxPeerAddresses  = 12
	// teamsPerPart is the number of teams whose demand one DemandPart holds.
	teamsPerPart = 120
)

// State is a host's stage in its life cycle.
type State uint8

// The states of a host. A Leaving host is draining.
const (
	Starting State = iota
	Ready
	Leaving
)

// Packet is one datagram between hosts. Exactly one message is set. Its encoding must fit datagrams.MaxBytes.
type Packet struct {
	HostHeartbeat *Heartbeat
	DomainSummary *DomainSummary
	DemandPart    *DemandPart
	Rollout       *RolloutMessage
	ServerNotices *ServerNotices
	// Capacities holds the capacity of the sender of a HostHeartbeat, or of the Listed hosts of a DomainSummary in their order.
	// It is empty if none is known.
	Capacities []HostCapacity
}

// HostCapacity is the capacity of a host's machine, in hundredths of a core and megabits per second.
type HostCapacity struct {
	_        struct{} `cbor:",toarray"`
	Cores    uint16
	LinkMbps uint32
}

// coreScale turns cores into the integers of messages.
const coreScale = 100

func encodeCapacity(c dispatch.Capacity) HostCapacity {
	return HostCapacity{
		Cores: uint16(wholeUnits(c.Cores*coreScale, math.MaxUint16)), LinkMbps: uint32(wholeUnits(c.LinkMbps, math.MaxUint32)),
	}
}

// wholeUnits rounds an amount to an integer of at most largest, and at least 1 unless the amount is 0, which stands for unknown.
func wholeUnits(amount, largest float64) float64 {
	if amount <= 0 {
		return 0
	}
	return min(max(math.Round(amount), 1), largest)
}

func (c HostCapacity) decode() dispatch.Capacity {
	return dispatch.Capacity{Cores: float64(c.Cores) / coreScale, LinkMbps: float64(c.LinkMbps)}
}

// packetFields is the number of fields that every version of the program encodes. Hosts of earlier versions drop packets with
// more.
const packetFields = 4

// fields returns pointers to the fields in the order in which they are encoded.
func (p *Packet) fields() []any {
	return []any{&p.HostHeartbeat, &p.DomainSummary, &p.DemandPart, &p.Rollout, &p.ServerNotices, &p.Capacities}
}

// MarshalCBOR encodes the packet as an array of its fields. Later fields are left out if they are not set, so that hosts of
// earlier versions can decode the packet.
func (p Packet) MarshalCBOR() ([]byte, error) {
	fields := p.fields()
	switch {
	case len(p.Capacities) > 0:
	case p.ServerNotices != nil:
		fields = fields[:packetFields+1]
	default:
		fields = fields[:packetFields]
	}
	return cbor.Marshal(fields)
}

// UnmarshalCBOR decodes an array of fields. Fields of later versions are ignored.
func (p *Packet) UnmarshalCBOR(data []byte) (err error) {
	defer func() { err = errors.Wrap(err, "decode a packet") }()
	var encoded []cbor.RawMessage
	if err := cbor.Unmarshal(data, &encoded); err != nil {
		return err
	}
	fields := p.fields()
	for i := range min(len(fields), len(encoded)) {
		if err := cbor.Unmarshal(encoded[i], fields[i]); err != nil {
			return err
		}
	}
	return nil
}

// Heartbeat is what a host regularly sends to the hosts of its failure domain, and to addresses where it discovers hosts. Like
// all messages it is encoded as an array, by the position of its fields.
type Heartbeat struct {
	_    struct{} `cbor:",toarray"`
	Host string
	// Started is the Unix time of the host's start in milliseconds. It serves as the incarnation number: messages of an
	// earlier process are ignored.
	Started int64
	State   State
	// CallerAddr is the address for callers.
	CallerAddr    string
	FailureDomain string
	// Sequence is the sequence number of the host's configuration.
	Sequence uint64
	// Demand holds the smoothed requests per second of teams, times demandScale, by the hash of the team's name. It is empty
	// when there are more than maxHeartbeatTeams teams; DemandParts are sent then.
	Demand      map[uint32]uint16
	Crashes     []Crash
	StoreAccess watchers.StoreAccess
	// Digests and Revisions are set by hosts that watch the store.
	Digests   Digests
	Revisions Revisions
	// PeerAddresses are peer addresses of other hosts of the receiver's failure domain.
	PeerAddresses []netip.AddrPort
}

// Origin identifies the sender of a message, its failure domain and its incarnation. Of two messages of one incarnation, the
// one with the higher Number is newer.
type Origin struct {
	_             struct{} `cbor:",toarray"`
	FailureDomain string
	Host          string
	Started       int64
	Number        uint64
}

// newerThan reports whether the message of o is newer than the message of other, from the same host.
func (o Origin) newerThan(other Origin) bool {
	return o.Started > other.Started || o.Started == other.Started && o.Number > other.Number
}

// supersedes reports whether the message of o replaces the message of other, which the same host sent and which was received
// age ago. If the host has sent nothing for hostTimeout, a lower Started is accepted too, since the host may have restarted
// with its clock set back. The same message is never accepted again: it may have been forwarded after its host died.
func (o Origin) supersedes(other Origin, age time.Duration) bool {
	return o.newerThan(other) || o.Started < other.Started && age >= hostTimeout
}

// DomainSummary describes a failure domain. Its delegates send it to the delegates of the other domains, which forward it to
// the hosts of their own.
type DomainSummary struct {
	_ struct{} `cbor:",toarray"`
	Origin
	// Resigned is set when the sender is no longer a delegate.
	Resigned bool
	// LiveHosts is the number of live hosts of the domain, BusyHosts the number of those that get requests.
	LiveHosts uint16
	BusyHosts uint16
	// Listed holds the hosts of the domain that other domains know by name, the delegates first.
	Listed  []Listed
	Crashes []Crash
	// DemandComplete is set when Demand holds the demand of all teams of the domain. With more than maxHeartbeatTeams teams
	// DemandParts are sent instead.
	DemandComplete bool
	Demand         map[uint32]uint32
	// FreshestHost is a host of the domain that knows the newest objects; it is empty when none watches the store. Digests
	// and Revisions are the newest ones of each kind in the domain.
	FreshestHost string
	Digests      Digests
	Revisions    Revisions
}

// Listed is a host as other failure domains know it.
type Listed struct {
	_           struct{} `cbor:",toarray"`
	Host        string
	State       State
	CallerAddr  string
	PeerAddr    netip.AddrPort
	StoreAccess watchers.StoreAccess
}

// Scope is the set of hosts whose demand a DemandPart holds.
type Scope uint8

// The scopes: the demand at the sender, in the sender's failure domain, and in all other failure domains.
const (
	scopeHost Scope = iota
	scopeDomain
	scopeOtherDomains
)

// DemandPart holds the demand of teams, in requests per second times demandScale, by the hash of the team's name. Hosts with
// many teams send their own; delegates send the demand of their domain to other domains, and that of all other domains to
// the hosts of their own. It is split into Parts messages: message Part holds the teams whose hash modulo Parts is Part.
type DemandPart struct {
	_ struct{} `cbor:",toarray"`
	Origin
	Scope       Scope
	Part, Parts uint8
	Demand      map[uint32]uint32
}

// RolloutMessage carries a host's report on a running rollout. Delegates forward it to all hosts.
type RolloutMessage struct {
	_ struct{} `cbor:",toarray"`
	Origin
	Report RolloutReport
}

// RolloutReport is what a host observed of a running rollout.
type RolloutReport struct {
	_        struct{} `cbor:",toarray"`
	Service  string
	Revision uint64
	// ElapsedMS is the time since the operator started the rollout, as far as the host knows.
	ElapsedMS int64
	// FoundBad is set once the host found the new version bad.
	FoundBad bool
	// Counts holds all evidence on one route since the host first saw the rollout. It is cumulative, so that a lost message
	// does no harm.
	Counts rollout.Batch
}

// ServerNotices carries what backend servers said to single hosts that binds all hosts together. A host sends what it got from
// responses to the primary delegate of its domain, which passes it on to the hosts of the domain and to the other domains.
type ServerNotices struct {
	_ struct{} `cbor:",toarray"`
	Origin
	// Limits and Cold have up to noticesPerMessage entries together.
	Limits []ServerLimit
	Cold   []ColdServer
}

// ServerLimit is the newest statement of one process of a backend server.
type ServerLimit struct {
	_ struct{} `cbor:",toarray"`
	// Server and Started identify the process, see incarnation.
	Server  uint32
	Started int64
	// Rate is the limit in thousandths of a request per second; 0 says that the limit ended.
	Rate uint32
	// AgeMS is the time since the server's response, in milliseconds.
	AgeMS uint32
}

// ColdServer says for how long one process of a backend server is still cold.
type ColdServer struct {
	_ struct{} `cbor:",toarray"`
	// Server and Started identify the process, see incarnation.
	Server  uint32
	Started int64
	LeftMS  uint32
}
