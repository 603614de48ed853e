package entry

import (
	"net/netip"
	"time"

	"vanillatally/core/rollout"
	"vanillatally/core/watchers"
)

const (
	// demandScale turns rates per second into the integers of messages.
	demandScale = 8
	// maxCrashes, maxDemands and maxContacts bound a message.
	maxCrashes        = 8
	maxHeartbeatTeams = 64
	maxRolloutReports = 16
	// maxRolloutRoutes bounds the routes of a rollout whose evidence is told.
	maxRolloutRoutes = 16
	maxPeerAddresses = 12
	// teamsPerPart is the number of teams whose rates one Rates message holds.
	teamsPerPart = 120
)

// State says how far a host is in its life.
type State uint8

// The states of a host.
const (
	Starting State = iota
	Ready
	Leaving
)

// Packet is one datagram between hosts; exactly one field is set. It must fit datagrams.MaxBytes.
type Packet struct {
	_             struct{} `cbor:",toarray"`
	HostHeartbeat *Heartbeat
	DomainSummary *DomainSummary
	DemandPart    *DemandPart
	Rollout       *RolloutMessage
}

// Heartbeat is what a host tells the hosts of its failure domain, and those that it greets.
type Heartbeat struct {
	_    struct{} `cbor:",toarray"`
	Host string
	// Started is the Unix time of the host's start in milliseconds; messages of an earlier process are ignored.
	Started       int64
	State         State
	CallerAddr    string
	FailureDomain string
	Sequence      uint64
	// Demand holds the smoothed requests per second of teams, times rateScale, by the hash of the team's name. With more than
	// maxDemands teams it is empty, and Rates follow.
	Demand  map[uint32]uint16
	Crashes []Crash
	Store   watchers.StoreAccess
	// Digests and Revisions are stated by hosts that watch the store.
	Digests   Digests
	Revisions Revisions
	// PeerAddresses are peer addresses of hosts of the receiver's failure domain.
	PeerAddresses []netip.AddrPort
}

// Origin says which host sent a message, and for which failure domain. Of two messages of one process the one with the higher Number
// is the newer.
type Origin struct {
	_             struct{} `cbor:",toarray"`
	FailureDomain string
	Host          string
	Started       int64
	Number        uint64
}

// newerThan reports whether the message of o replaces that of before, of the same host.
func (o Origin) newerThan(before Origin) bool {
	return o.Started > before.Started || o.Started == before.Started && o.Number > before.Number
}

// supersedes reports whether the message of o supersedes that of before, of the same host, which was heard silent ago. After a
// silence an earlier start is that of a host whose clock was set back; a message that was heard already never counts again,
// since it may have been passed on after its host died.
func (o Origin) supersedes(before Origin, silent time.Duration) bool {
	return o.newerThan(before) || o.Started < before.Started && silent >= hostTimeout
}

// DomainSummary is what the delegates of a failure domain tell those of the other domains, who pass it on to their hosts.
type DomainSummary struct {
	_ struct{} `cbor:",toarray"`
	Origin
	// Resigned is set when the host is no longer a delegate.
	Resigned bool
	// LiveHosts is the number of hosts of the domain that live, Busy that of those with requests. Listed are the first of them, the delegates before the others.
	LiveHosts uint16
	BusyHosts uint16
	Listed    []Listed
	Crashes   []Crash
	// Demand holds the rates of the domain's teams when there are at most maxDemands, and DemandComplete is set; otherwise Rates follow.
	DemandComplete bool
	Demand         map[uint32]uint32
	// FreshestHost is the host of the domain that knows the objects with Digests and Revisions, empty when none watches the store.
	FreshestHost string
	Digests      Digests
	Revisions    Revisions
}

// Listed is a host that other failure domains know by name.
type Listed struct {
	_          struct{} `cbor:",toarray"`
	Host       string
	State      State
	CallerAddr string
	PeerAddr   netip.AddrPort
	Store      watchers.StoreAccess
}

// Scope says whose demand Rates hold.
type Scope uint8

// The scopes: that of the origin's host, of its failure domain, and of all other domains.
const (
	scopeHost Scope = iota
	scopeDomain
	scopeOtherDomains
)

// DemandPart holds the demand of teams by the hash of their names, in requests per second times rateScale. A delegate tells other
// domains that of its own domain, and the hosts of its domain that of all others. It comes in Parts: Part holds the teams
// whose hash modulo Parts is Part.
type DemandPart struct {
	_ struct{} `cbor:",toarray"`
	Origin
	Scope       Scope
	Part, Parts uint8
	Demand      map[uint32]uint32
}

// RolloutMessage is what one host saw of a running rollout. Delegates pass it on to all hosts.
type RolloutMessage struct {
	_ struct{} `cbor:",toarray"`
	Origin
	Report RolloutReport
}

// RolloutReport is what a host saw of a running rollout.
type RolloutReport struct {
	_        struct{} `cbor:",toarray"`
	Service  string
	Revision uint64
	// ElapsedMS is the time since the order as the host knows it.
	ElapsedMS int64
	// FoundBad is set once the host found the version bad.
	FoundBad bool
	// Counts holds all evidence of one route since the host first saw the order, so that a lost message loses nothing.
	Counts rollout.Batch
}
