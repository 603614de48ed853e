// Package membership decides which hosts are alive, from heartbeats between neighbours on a fixed-degree overlay.
package membership

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
