package budgets

import (
	"time"

	"vanillatally/core/budget"
	"vanillatally/core/lease"
)

// The kinds of messages between hosts. All are one-way; answers have kinds of their own, so that a lost
// or late answer needs no special case.
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

type renewMessage struct {
	Incarnation uint64 `cbor:"incarnation"`
	// SentAt is the holder's clock, which the witness returns unread.
	SentAt time.Duration `cbor:"sent"`
	Epoch  uint64        `cbor:"epoch"`
}

type renewedMessage struct {
	Incarnation uint64        `cbor:"incarnation"`
	Sent        time.Duration `cbor:"sent"`
	Epoch       uint64        `cbor:"epoch"`
	Answer      lease.Answer  `cbor:"answer"`
	// WitnessIncarnation is the incarnation of the witness, 0 outside the ledger.
	WitnessIncarnation uint64 `cbor:"witness"`
}

// fenceMessage asks a witness whether a member is silent, or with Promise to vote for fencing it.
type fenceMessage struct {
	Host        string `cbor:"host"`
	Incarnation uint64 `cbor:"incarnation"`
	Epoch       uint64 `cbor:"epoch"`
	Binding     bool   `cbor:"promise"`
}

type voteMessage struct {
	fenceMessage
	// WitnessIncarnation is the incarnation of the witness that votes.
	WitnessIncarnation uint64 `cbor:"witness"`
}

type slotItem struct {
	Slot       int    `cbor:"slot"`
	SinceEpoch uint64 `cbor:"since"`
	// Transfers holds the tokens that go with the slot, by budget; empty in requests.
	Transfers map[string]budget.ShareTransfer `cbor:"carry,omitempty"`
}

type slotReleaseMessage struct {
	// Incarnation is the sender's.
	Incarnation uint64     `cbor:"incarnation"`
	Epoch       uint64     `cbor:"epoch"`
	Slots       []slotItem `cbor:"slots"`
}

// slotRequestMessage asks for slots; slotMessage alone releases them.
type slotRequestMessage slotReleaseMessage

type loanRequestMessage struct {
	Requests    []budget.LoanRequest `cbor:"requests,omitempty"`
	Settlements []budget.Settlement  `cbor:"settlements,omitempty"`
}

type loanGrantMessage struct {
	Grants []budget.LoanGrant `cbor:"grants"`
}

type ledgerRequestMessage struct {
	// Epoch is the newest that the sender knows.
	Epoch uint64 `cbor:"epoch"`
}

type ledgerMessage struct {
	// Epoch lets a receiver that knows the ledger skip the decoding.
	Epoch  uint64 `cbor:"epoch"`
	Ledger []byte `cbor:"value"`
}

// outgoingMessage is a message that the node wants to be sent.
type outgoingMessage struct {
	to, kind string
	body     any
}
