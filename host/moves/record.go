package moves

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"vanillatally/io/store"
)

const (
	// maxRecordedSteps bounds the steps that a record keeps for operators.
	maxRecordedSteps = 16
	// maxAcknowledged bounds the vetoes that a record acknowledges. Older ones were acknowledged by earlier versions of it.
	maxAcknowledged = 32
)

// Record is the state of a move that the driver writes to the store, with the driver's lease. The version of the object in the
// store orders the records of a move.
type Record struct {
	// Definition is the hash of the move's document without its cancellation.
	Definition uint64 `json:"definition" cbor:"d"`
	// Driver is the host that holds the lease, in the process with Incarnation. FencingToken rises by one with each takeover of
	// the lease, Writes with each write.
	Driver       string `json:"driver" cbor:"h"`
	Incarnation  uint64 `json:"incarnation" cbor:"i"`
	FencingToken uint64 `json:"fence" cbor:"f"`
	Writes       uint64 `json:"writes" cbor:"w"`
	// Changes rises by one with each write that does more than renew the lease. Hosts get a record again when it has changed.
	Changes    uint64  `json:"changes" cbor:"c"`
	Phase      string  `json:"phase" cbor:"p"`
	Step       int     `json:"step" cbor:"s"`
	Share      float64 `json:"share" cbor:"x"`
	Reductions int     `json:"retreats,omitempty" cbor:"r,omitempty"`
	// Elapsed is the time from the start of the move to this write.
	Elapsed time.Duration `json:"elapsed-ns" cbor:"e"`
	Reason  string        `json:"reason" cbor:"q"`
	// AcknowledgedVetoes holds the ids of the newest vetoes that this record takes into account, at most maxAcknowledged.
	AcknowledgedVetoes []string `json:"answered,omitempty" cbor:"a,omitempty"`
	// Steps holds the newest steps, at most maxRecordedSteps.
	Steps []Step `json:"steps,omitempty" cbor:"t,omitempty"`
}

// Step is one change of a move's share or phase, or a takeover, for operators.
type Step struct {
	Elapsed time.Duration `json:"elapsed-ns" cbor:"e"`
	Share   float64       `json:"share" cbor:"x"`
	Phase   string        `json:"phase" cbor:"p"`
	Reason  string        `json:"reason" cbor:"q"`
}

// isDrivenBy reports whether the given process of a host holds the lease.
func (r Record) isDrivenBy(host string, incarnation uint64) bool {
	return r.Driver == host && r.Incarnation == incarnation
}

// withStep returns the record with its current state appended to the steps.
func (r Record) withStep() Record {
	steps := append(slices.Clone(r.Steps), Step{Elapsed: r.Elapsed, Share: r.Share, Phase: r.Phase, Reason: r.Reason})
	r.Steps = steps[max(0, len(steps)-maxRecordedSteps):]
	return r
}

// withAcknowledged returns the record with more acknowledged vetoes.
func (r Record) withAcknowledged(ids []string) Record {
	acknowledged := append(slices.Clone(r.AcknowledgedVetoes), ids...)
	r.AcknowledgedVetoes = acknowledged[max(0, len(acknowledged)-maxAcknowledged):]
	return r
}

// errLeaseLost is returned when another host has taken over the lease.
var errLeaseLost = errors.New("another host drives the move")

// writeRecord writes r if the object still has the version expect, and returns the new version. If the response is lost, it
// reads the object to find out whether the write succeeded.
func (s *Service) writeRecord(
	ctx context.Context, key string, r Record, expect store.Version,
) (version store.Version, err error) {
	defer func() { err = errors.Wrapf(err, "write record %s", key) }()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := json.Marshal(r)
	if err != nil {
		return 0, err
	}
	version, err = s.opts.Store.Put(ctx, key, value, expect)
	switch {
	case err == nil:
		return version, nil
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrRateLimited), errors.Is(err, store.ErrTooLarge):
		return 0, err
	}
	stored, version, readErr := s.readRecord(ctx, key)
	if readErr != nil {
		return 0, errors.CombineErrors(err, readErr)
	}
	switch {
	case stored.isDrivenBy(r.Driver, r.Incarnation) && stored.FencingToken == r.FencingToken && stored.Writes == r.Writes:
		return version, nil
	case version == expect:
		return 0, err
	default:
		return 0, errLeaseLost
	}
}

// readRecord returns the stored record and its version; the version is 0 if there is none.
func (s *Service) readRecord(ctx context.Context, key string) (r Record, version store.Version, err error) {
	object, err := s.opts.Store.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return r, 0, nil
	}
	if err != nil {
		return r, 0, err
	}
	err = json.Unmarshal(object.Value, &r)
	return r, object.Version, errors.Wrapf(err, "decode record %s", key)
}
