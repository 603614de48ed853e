// Package ledger decides which host holds which slot, by epochs that the store orders.
package ledger

// SlotCount is the number of slots. Each team's rate and each claim belongs to slots.
const SlotCount = 64

// StoreKey is the key of the ledger in the store.
const StoreKey = "ledger/current"

// Bounds of the ledger's collections.
const (
	MaxWitnesses = 3
	MaxMembers   = 8192
	// MaxUnreleased bounds Slot.Unreleased; a slot at the bound stays with its living holder.
	MaxUnreleased = 8
)

// Member is a host that may hold slots.
type Member struct {
	Host string `json:"host"`
	// Incarnation is the epoch at which this process joined; a restarted host has a higher one.
	Incarnation   uint64 `json:"incarnation"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure-domain"`
	// Witnesses holds at most 3 host ids, never the member itself. A member without witnesses holds its
	// lease always, so only the member itself may go from none to some (Adopt).
	// A witness is dropped only when it is no longer a member.
	Witnesses []string `json:"witnesses,omitempty"`
	// WitnessesSinceEpoch is the epoch at which a witness was last dropped, or 0. The remaining witnesses count the
	// member's silence anew from then, because a renewal by the dropped one may still hold.
	WitnessesSinceEpoch uint64 `json:"witnesses-since,omitempty"`
	Leaving             bool   `json:"leaving,omitempty"`
}

// Process is one incarnation of a host.
type Process struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
}

// Slot names who may use one share of each budget.
type Slot struct {
	Holder string `json:"holder"`
	// PreviousHolder is the holder before the last change.
	PreviousHolder string `json:"previous,omitempty"`
	// SinceEpoch is the epoch of the last change.
	SinceEpoch uint64 `json:"since"`
	// Unreleased lists the earlier holders that may still use the slot. The holder starts when each of them
	// has released it to the holder or is no longer a member with that incarnation.
	Unreleased []Process `json:"unreleased,omitempty"`
}

// Ledger is the state at one epoch. It is immutable: changes return a new value.
type Ledger struct {
	// Epoch rises by one with every change and is the fencing version.
	Epoch uint64 `json:"epoch"`
	// LostCount counts the members that were removed without having left: fenced, replaced or declared dead.
	// What only they remembered is gone. It never falls.
	LostCount uint64          `json:"lost,omitempty"`
	Members   []Member        `json:"members"`
	Slots     [SlotCount]Slot `json:"slots"`
}

// Member returns the entry of host.
func (l Ledger) Member(host string) (Member, bool) {
	for _, m := range l.Members {
		if m.Host == host {
			return m, true
		}
	}
	return Member{}, false
}

// IsMember reports whether this incarnation is a member.
func (l Ledger) IsMember(o Process) bool {
	m, ok := l.Member(o.Host)
	return ok && m.Incarnation == o.Incarnation
}

// AssignedSlots returns the set of slots that name host as their holder, one bit for each slot.
func (l Ledger) AssignedSlots(host string) (slots uint64) {
	for i, s := range l.Slots {
		if s.Holder == host {
			slots |= 1 << i
		}
	}
	return slots
}
