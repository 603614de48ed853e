// Package ledger holds the assignment of slots and witnesses to hosts. The ledger is one value in the store, replaced by
// conditional writes, each of which raises its epoch. Its functions do no input or output.
package ledger

// SlotCount is the number of slots into which budgets and claims are partitioned.
const SlotCount = 64

// StoreKey is the key of the ledger in the store.
const StoreKey = "ledger/current"

// Limits of the ledger's collections.
const (
	MaxWitnesses = 3
	MaxMembers   = 8192
	// MaxUnreleased bounds Slot.Unreleased. At this bound a slot is not moved while its holder is a member.
	MaxUnreleased = 8
)

// Member is a host that may hold slots.
type Member struct {
	Host string `json:"host"`
	// Incarnation is the epoch at which this process joined; a restarted host gets a higher one.
	Incarnation   uint64 `json:"incarnation"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure-domain"`
	// Witnesses holds at most 3 host ids, never the member itself. The lease of a member without witnesses doesn't
	// expire, so only the member itself may add its first ones (AddWitnesses).
	// A witness is dropped only when it is no longer a member.
	Witnesses []string `json:"witnesses,omitempty"`
	// WitnessesSinceEpoch is the epoch at which a witness was last dropped, or 0. The remaining witnesses restart
	// their timeout for the member then, because a renewal by the dropped witness may still be valid.
	WitnessesSinceEpoch uint64 `json:"witnesses-since,omitempty"`
	Leaving             bool   `json:"leaving,omitempty"`
}

// Process is one incarnation of a host.
type Process struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
}

// Slot is the assignment of one partition of the budgets and claims to a host.
type Slot struct {
	Holder string `json:"holder"`
	// PreviousHolder is the holder before SinceEpoch.
	PreviousHolder string `json:"previous,omitempty"`
	// SinceEpoch is the epoch at which Holder got the slot, or at which a new incarnation of it joined.
	SinceEpoch uint64 `json:"since"`
	// Unreleased lists the earlier holders that may still use the slot. Holder starts to use it when each of them has
	// released it to Holder or is no longer a member with that incarnation.
	Unreleased []Process `json:"unreleased,omitempty"`
}

// Ledger is the state at one epoch. It is immutable: transitions return a new value.
type Ledger struct {
	// Epoch rises by one with every change. It is the fencing token.
	Epoch uint64 `json:"epoch"`
	// LostCount counts the members that were fenced, replaced or declared dead. What was only in their memory is
	// lost, unlike that of members that left. It never decreases.
	LostCount uint64          `json:"lost,omitempty"`
	Members   []Member        `json:"members"`
	Slots     [SlotCount]Slot `json:"slots"`
}

// Member returns the member with the host id.
func (l Ledger) Member(host string) (Member, bool) {
	for _, m := range l.Members {
		if m.Host == host {
			return m, true
		}
	}
	return Member{}, false
}

// IsMember reports whether this incarnation is a member.
func (l Ledger) IsMember(p Process) bool {
	m, ok := l.Member(p.Host)
	return ok && m.Incarnation == p.Incarnation
}

// AssignedSlots returns the slots whose holder is host, one bit for each slot.
func (l Ledger) AssignedSlots(host string) (slots uint64) {
	for i, s := range l.Slots {
		if s.Holder == host {
			slots |= 1 << i
		}
	}
	return slots
}
