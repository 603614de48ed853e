package budgets

import (
	"time"

	"vanillatally/core/budget"
	"vanillatally/core/lease"
)

// Kinds of the messages between hosts. All messages are one-way: an answer is a message of its own kind, so a lost or late
// answer needs no special handling.
const (
	kindRenew         = "lease-renew"
	kindRenewed       = "lease-renewed"
	kindFence         = "lease-fence"
	kindVote          = "lease-vote"
	kindSlotRequest   = "slot-ask"
	kindSlotRelease   = "slot-release"
	kindLoanRequest   = "loan-request"
	kindLoanGrant     = "loan-grant"
	kindLedgerRequest = "ledger-ask"
	kindLedger        = "ledger"
)

// renewMessage asks a witness to renew the lease of the sender.
type renewMessage struct {
	Incarnation uint64 `cbor:"incarnation"`
	// SentAt is the time of sending on the holder's clock. The witness returns it unchanged.
	SentAt time.Duration `cbor:"sent"`
	Epoch  uint64        `cbor:"epoch"`
}

// renewedMessage is the answer of a witness to a renewMessage.
type renewedMessage struct {
	Incarnation uint64        `cbor:"incarnation"`
	SentAt      time.Duration `cbor:"sent"`
	Epoch       uint64        `cbor:"epoch"`
	Answer      lease.Answer  `cbor:"answer"`
	// WitnessIncarnation is 0 when the witness is not in the ledger.
	WitnessIncarnation uint64 `cbor:"witness"`
}

// fenceMessage asks a witness whether a member is silent or, with Binding, to vote to fence it. A vote binds the witness
// until the next epoch.
type fenceMessage struct {
	Host        string `cbor:"host"`
	Incarnation uint64 `cbor:"incarnation"`
	Epoch       uint64 `cbor:"epoch"`
	Binding     bool   `cbor:"promise"`
}

// voteMessage is the answer of a witness to a fenceMessage, whose fields it repeats.
type voteMessage struct {
	fenceMessage
	// WitnessIncarnation is the incarnation of the witness that votes.
	WitnessIncarnation uint64 `cbor:"witness"`
}

// slotItem is a slot that is requested or released.
type slotItem struct {
	Slot       int    `cbor:"slot"`
	SinceEpoch uint64 `cbor:"since"`
	// Transfers holds the tokens and outstanding loans that go to the next holder, by budget; it is empty in requests.
	Transfers map[string]budget.ShareTransfer `cbor:"carry,omitempty"`
}

// slotReleaseMessage informs the new holder of slots that the sender has stopped using them.
type slotReleaseMessage struct {
	// Incarnation is the sender's.
	Incarnation uint64     `cbor:"incarnation"`
	Epoch       uint64     `cbor:"epoch"`
	Slots       []slotItem `cbor:"slots"`
}

// slotRequestMessage asks previous holders to release slots; they answer with a slotReleaseMessage.
type slotRequestMessage slotReleaseMessage

// loanRequestMessage asks a lender for loans and settles earlier ones.
type loanRequestMessage struct {
	Requests    []budget.LoanRequest `cbor:"requests,omitempty"`
	Settlements []budget.Settlement  `cbor:"settlements,omitempty"`
}

type loanGrantMessage struct {
	Grants []budget.LoanGrant `cbor:"grants"`
}

type ledgerRequestMessage struct {
	// Epoch is that of the newest ledger that the sender knows.
	Epoch uint64 `cbor:"epoch"`
}

type ledgerMessage struct {
	// Epoch lets a receiver that already has the ledger skip the decoding.
	Epoch  uint64 `cbor:"epoch"`
	Ledger []byte `cbor:"value"`
}

// outgoingMessage is a message of the node that waits to be sent.
type outgoingMessage struct {
	to, kind string
	body     any
}
