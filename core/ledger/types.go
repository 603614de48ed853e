// Package ledger decides which host holds which slot, by epochs that the store orders.
package ledger

// SlotCount is the number of slots. Each team's rate and each claim belongs to slots.
const SlotCount = 64

// StoreKey is the key of the ledger in the store.
const StoreKey = "ledger/current"

// Member is a host that may hold slots.
type Member struct {
	Host string `json:"host"`
	// Incarnation is the epoch at which this process joined; a restarted host has a higher one.
	Incarnation   uint64 `json:"incarnation"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure-domain"`
	// Witnesses holds at most 3 host ids, never the member itself.
	Witnesses []string `json:"witnesses,omitempty"`
	Leaving   bool     `json:"leaving,omitempty"`
}

// Slot names who may use one share of each budget.
type Slot struct {
	Holder string `json:"holder"`
	// Previous is the holder before the last change; its release, or its removal from Members, frees the slot.
	Previous string `json:"previous,omitempty"`
	// Since is the epoch of the last change.
	Since uint64 `json:"since"`
}

// Ledger is the state at one epoch. It is immutable: changes return a new value.
type Ledger struct {
	// Epoch rises by one with every change and is the fencing version.
	Epoch   uint64          `json:"epoch"`
	Members []Member        `json:"members"`
	Slots   [SlotCount]Slot `json:"slots"`
}
