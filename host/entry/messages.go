package entry

import (
	"net/netip"
	"time"

	"vanillatally/core/rollout"
	"vanillatally/core/watchers"
)

const (
	// rateScale turns rates per second into the integers of messages.
	rateScale = 8
	// maxCrashes, maxDemands and maxContacts bound a message.
	maxCrashes = 8
	maxDemands = 64
	maxTrials  = 16
	// maxTrialRoutes bounds the routes of a rollout whose evidence is told.
	maxTrialRoutes = 16
	maxContacts    = 12
	// partRates is the number of teams whose rates one Rates message holds.
	partRates = 120
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
	_       struct{} `cbor:",toarray"`
	Host    *Message
	Summary *Summary
	Rates   *Rates
	Trial   *TrialNews
}

// Message is what a host tells the hosts of its failure domain, and those that it greets.
type Message struct {
	_    struct{} `cbor:",toarray"`
	Host string
	// Started is the Unix time of the host's start in milliseconds; messages of an earlier process are ignored.
	Started       int64
	State         State
	Caller        string
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
	// Contacts are peer addresses of hosts of the receiver's failure domain.
	Contacts []netip.AddrPort
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

// newer reports whether the message of o replaces that of before, of the same host.
func (o Origin) newer(before Origin) bool {
	return o.Started > before.Started || o.Started == before.Started && o.Number > before.Number
}

// replaces reports whether the message of o replaces that of before, of the same host, which was heard silent ago. After a
// silence an earlier start is that of a host whose clock was set back; a message that was heard already never counts again,
// since it may have been passed on after its host died.
func (o Origin) replaces(before Origin, silent time.Duration) bool {
	return o.newer(before) || o.Started < before.Started && silent >= silentAfter
}

// Summary is what the delegates of a failure domain tell those of the other domains, who pass it on to their hosts.
type Summary struct {
	_ struct{} `cbor:",toarray"`
	Origin
	// Ends is set when the host is no longer a delegate.
	Ends bool
	// Hosts is the number of hosts of the domain that live, Busy that of those with requests. Listed are the first of them, the delegates before the others.
	Hosts   uint16
	Busy    uint16
	Listed  []Listed
	Crashes []Crash
	// Demand holds the rates of the domain's teams when there are at most maxDemands, and Whole is set; otherwise Rates follow.
	Whole  bool
	Demand map[uint32]uint32
	// NewerAt is the host of the domain that knows the objects with Digests and Revisions, empty when none watches the store.
	NewerAt   string
	Digests   Digests
	Revisions Revisions
}

// Listed is a host that other failure domains know by name.
type Listed struct {
	_      struct{} `cbor:",toarray"`
	Host   string
	State  State
	Caller string
	Peer   netip.AddrPort
	Store  watchers.StoreAccess
}

// Scope says whose demand Rates hold.
type Scope uint8

// The scopes: that of the origin's host, of its failure domain, and of all other domains.
const (
	ofHost Scope = iota
	ofDomain
	elsewhere
)

// Rates holds the demand of teams by the hash of their names, in requests per second times rateScale. A delegate tells other
// domains that of its own domain, and the hosts of its domain that of all others. It comes in Parts: Part holds the teams
// whose hash modulo Parts is Part.
type Rates struct {
	_ struct{} `cbor:",toarray"`
	Origin
	Scope       Scope
	Part, Parts uint8
	Demand      map[uint32]uint32
}

// TrialNews is what one host saw of a running rollout. Delegates pass it on to all hosts.
type TrialNews struct {
	_ struct{} `cbor:",toarray"`
	Origin
	Report TrialReport
}

// TrialReport is what a host saw of a running rollout.
type TrialReport struct {
	_        struct{} `cbor:",toarray"`
	Service  string
	Revision uint64
	// ElapsedMS is the time since the order as the host knows it.
	ElapsedMS int64
	// Bad is set once the host found the version bad.
	Bad bool
	// Counts holds all evidence of one route since the host first saw the order, so that a lost message loses nothing.
	Counts rollout.Batch
}
