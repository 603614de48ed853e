package claim

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"vanillatally/core/ledger"
)

// Limits of the claims at a host.
const (
	// MaxRecordsPerSlot bounds the records of a slot. At this bound new claims are refused with Full.
	MaxRecordsPerSlot = 4096
	// MaxBytes bounds the records of a host. At this bound new claims are refused with Full, and the responses of
	// running requests are dropped, which makes their claims Unknown.
	MaxBytes = 64 << 20
	// Retention is how long a record is kept after its grant. A request that is sent again later runs again.
	Retention = 10 * time.Minute
	// GrantTTL is the time within which the executor has to send a granted request. It is far below Retention, so
	// that an executor that was paused cannot send a request whose record has expired.
	GrantTTL = 30 * time.Second
)

// Phase is the progress of a granted request.
type Phase uint8

// Phases of a grant. A later one replaces an earlier one.
const (
	PhaseRunning Phase = iota + 1
	// PhaseUnknown: the executor was lost, or the response was not stored.
	PhaseUnknown
	PhaseDone
	// PhaseReleased: the executor reported that the request did not run. The key may be granted again.
	PhaseReleased
)

// Process is one incarnation of a host.
type Process struct {
	Host        string `cbor:"host"`
	Incarnation uint64 `cbor:"incarnation"`
}

// CallID identifies a call of Begin, so that a retransmission of the call gets the same grant.
type CallID struct {
	Executor string `cbor:"executor"`
	Nonce    uint64 `cbor:"nonce"`
}

// Record is the state of a claim. Copies of it are combined by Merge.
type Record struct {
	Request Request `cbor:"request"`
	CallID  CallID  `cbor:"arrival"`
	// Grant orders the grants of a key over all its owners: OwnerEpoch in the upper 40 bits, a counter in the others.
	Grant uint64 `cbor:"grant"`
	Phase Phase  `cbor:"phase"`
	// Result is set in PhaseDone only.
	Result *Result `cbor:"result,omitempty"`
	// CopyHolder is the process that holds the copy of the owner's record; zero in a fleet of one host.
	CopyHolder Process `cbor:"copy"`
	// GrantedAt is the time of the grant on the local clock; messages carry the age of the grant instead.
	GrantedAt time.Duration `cbor:"created"`
}

const grantCounterBits = 24

// GrantBase returns the number below the first Grant of an owner epoch.
func GrantBase(ownerEpoch uint64) uint64 { return ownerEpoch << grantCounterBits }

// SlotOf returns the slot of a team's idempotency key.
func SlotOf(team, key string) int {
	var hasher xxhash.Digest
	_, _ = hasher.WriteString(team)
	_, _ = hasher.Write([]byte{0})
	_, _ = hasher.WriteString(key)
	return int(hasher.Sum64() % ledger.SlotCount)
}

// OwnerEpoch returns the epoch at which the current owner of a slot became its owner. Each change of owner and each
// restart of the owner raises it.
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

// IsMember reports whether the process is a member of the ledger.
func IsMember(l ledger.Ledger, p Process) bool {
	return p.Host != "" && p.Incarnation != 0 && Incarnation(l, p.Host) == p.Incarnation
}

// IsLeaving reports whether the process is a member that is leaving.
func IsLeaving(l ledger.Ledger, p Process) bool {
	m, ok := l.Member(p.Host)
	return ok && m.Incarnation == p.Incarnation && m.Leaving
}

// Decide returns the owner's answer to a call of Begin. existing is the key's record, or the zero Record if there is none.
// If fresh is set, the call gets a new grant: the returned record and its copy have to be stored before the answer is sent.
func Decide(
	existing Record, request Request, call CallID, nextGrant uint64, now time.Duration,
) (record Record, answer Answer, fresh bool) {
	switch {
	case existing.Phase == 0, existing.Phase == PhaseReleased && existing.CallID != call:
		return Record{
			Request: request, CallID: call, Grant: nextGrant, Phase: PhaseRunning, GrantedAt: now,
		}, Answer{State: Granted}, true
	case existing.Phase == PhaseReleased:
		// A late duplicate of a call that its executor has abandoned.
		return existing, Answer{State: OwnerUnreachable}, false
	case existing.Request.Fingerprint != request.Fingerprint:
		return existing, Answer{State: Mismatch}, false
	case existing.Phase == PhaseRunning && existing.CallID == call:
		// A retransmission; the first answer was lost.
		return existing, Answer{State: Granted}, false
	case existing.Phase == PhaseRunning:
		return existing, Answer{State: Running}, false
	case existing.Phase == PhaseDone:
		return existing, Answer{State: Done, Result: existing.Result}, false
	}
	return existing, Answer{State: Unknown}, false
}

// ApplyResult returns the record after the executor's report about a grant. A report about another grant is ignored.
func ApplyResult(existing Record, grant uint64, result Result) Record {
	if existing.Phase == 0 || existing.Grant != grant || existing.Phase >= PhaseDone {
		return existing
	}
	switch {
	case result.NotRun:
		existing.Phase = PhaseReleased
	case result.Unknown || len(result.Body) > MaxBodyBytes:
		existing.Phase = PhaseUnknown
	default:
		existing.Phase, existing.Result = PhaseDone, &result
	}
	return existing
}

// Merge returns the newer of two copies of a key's record, which has the later grant or, for the same grant, the later
// phase.
func Merge(a, b Record) Record {
	if b.Grant > a.Grant || (b.Grant == a.Grant && b.Phase > a.Phase) {
		return b
	}
	return a
}

// Bytes returns the approximate size of the record, which counts against MaxBytes.
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
