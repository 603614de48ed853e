package claim

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"vanillatally/core/ledger"
)

// Limits of the claims that a host keeps.
const (
	// MaxRecordsPerSlot bounds the records of one slot; at the bound new claims are refused with Full.
	MaxRecordsPerSlot = 4096
	// MaxBytes bounds the stored answers of a host; at the bound new claims are refused with Full and
	// the answers of running ones are dropped, which leaves them Unknown.
	MaxBytes = 64 << 20
	// Retention is how long a record is kept after its grant. A resend after that runs again.
	Retention = 10 * time.Minute
	// GrantTTL is the time within which a granted request must be sent. It is far below Retention, so
	// that a paused executor cannot send a request whose record has expired.
	GrantTTL = 30 * time.Second
)

// Phase is how far a granted request has come.
type Phase uint8

// The phases in the order in which they replace each other for the same grant.
const (
	PhaseRunning Phase = iota + 1
	// PhaseUnknown: the executor was lost, or the answer was not kept.
	PhaseUnknown
	PhaseDone
	// PhaseReleased: the executor reported that the request did not run; the key may be granted again.
	PhaseReleased
)

// Process is one process of a host.
type Process struct {
	Host        string `cbor:"host"`
	Incarnation uint64 `cbor:"incarnation"`
}

// CallID identifies one call of Begin, so that its repetition gets the same grant.
type CallID struct {
	Executor string `cbor:"executor"`
	Nonce    uint64 `cbor:"nonce"`
}

// Record is the state of a claim. Copies of it are merged, see Merge.
type Record struct {
	Request Request `cbor:"request"`
	CallID  CallID  `cbor:"arrival"`
	// Grant orders the grants of a key over all owners: the tenure in the upper 40 bits, then a count.
	Grant uint64 `cbor:"grant"`
	Phase Phase  `cbor:"phase"`
	// Result is set in PhaseDone only.
	Result *Result `cbor:"result,omitempty"`
	// CopyHolder is the process other than the owner that holds the record; zero in a fleet of one host.
	CopyHolder Process `cbor:"copy"`
	// GrantedAt is the age of the grant on the clock of whoever holds this value; messages carry ages.
	GrantedAt time.Duration `cbor:"created"`
}

const grantCountBits = 24

// GrantBase returns the number below the grants of a tenure.
func GrantBase(tenure uint64) uint64 { return tenure << grantCountBits }

// SlotOf returns the slot to which a keyed request belongs.
func SlotOf(team, key string) int {
	var digest xxhash.Digest
	_, _ = digest.WriteString(team)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(key)
	return int(digest.Sum64() % ledger.SlotCount)
}

// OwnerEpoch identifies one host's ownership of a slot; each change of owner or restart raises it.
func OwnerEpoch(l ledger.Ledger, slot int) uint64 {
	s := l.Slots[slot]
	return max(s.SinceEpoch, Incarnation(l, s.Holder))
}

// Incarnation returns the incarnation of a member, or 0 when host is no member.
func Incarnation(l ledger.Ledger, host string) uint64 {
	for _, m := range l.Members {
		if m.Host == host {
			return m.Incarnation
		}
	}
	return 0
}

// IsMember says whether this process of a host is in the ledger.
func IsMember(l ledger.Ledger, h Process) bool {
	return h.Host != "" && h.Incarnation != 0 && Incarnation(l, h.Host) == h.Incarnation
}

// IsLeaving says whether this process of a host is a member that is about to stop.
func IsLeaving(l ledger.Ledger, h Process) bool {
	m, ok := l.Member(h.Host)
	return ok && m.Incarnation == h.Incarnation && m.Leaving
}

// Decide answers an arrival at the owner. The key's record is the zero Record when there is none. When
// the answer is Granted and fresh, the returned record has to be stored, with its copy, first.
func Decide(known Record, request Request, arrival CallID, next uint64, now time.Duration) (record Record, answer Answer, fresh bool) {
	switch {
	case known.Phase == 0, known.Phase == PhaseReleased && known.CallID != arrival:
		return Record{Request: request, CallID: arrival, Grant: next, Phase: PhaseRunning, GrantedAt: now}, Answer{State: Granted}, true
	case known.Phase == PhaseReleased:
		// A late duplicate of an arrival that its executor has given up.
		return known, Answer{State: OwnerUnreachable}, false
	case known.Request.Fingerprint != request.Fingerprint:
		return known, Answer{State: Mismatch}, false
	case known.Phase == PhaseRunning && known.CallID == arrival:
		// The first answer was lost.
		return known, Answer{State: Granted}, false
	case known.Phase == PhaseRunning:
		return known, Answer{State: Running}, false
	case known.Phase == PhaseDone:
		return known, Answer{State: Done, Result: known.Result}, false
	}
	return known, Answer{State: Unknown}, false
}

// ApplyResult applies what the executor reports. Only the grant that it names is changed.
func ApplyResult(known Record, grant uint64, result Result) Record {
	if known.Phase == 0 || known.Grant != grant || known.Phase >= PhaseDone {
		return known
	}
	switch {
	case result.NotRun:
		known.Phase = PhaseReleased
	case result.Unknown || len(result.Body) > MaxBodyBytes:
		known.Phase = PhaseUnknown
	default:
		known.Phase, known.Result = PhaseDone, &result
	}
	return known
}

// Merge joins two copies of a key's record: the later grant wins, then the later phase.
func Merge(a, b Record) Record {
	if b.Grant > a.Grant || (b.Grant == a.Grant && b.Phase > a.Phase) {
		return b
	}
	return a
}

// Bytes is what a record counts against MaxBytes.
func (r Record) Bytes() int64 {
	size := int64(len(r.Request.Team) + len(r.Request.Key) + 256)
	if r.Result != nil {
		size += int64(len(r.Result.Body))
		for name, values := range r.Result.Header {
			size += int64(len(name))
			for _, v := range values {
				size += int64(len(v))
			}
		}
	}
	return size
}
