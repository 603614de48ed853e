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
	// maxAcknowledged bounds the vetoes that a record answers; older ones were answered by earlier versions.
	maxAcknowledged = 32
)

// Record is a move's object in the store. Its store version orders all records of a move.
type Record struct {
	// Definition identifies the document that the record belongs to.
	Definition uint64 `json:"definition" cbor:"d"`
	// Driver holds the lease with Incarnation; Fence rises by one with each takeover and Writes with each write.
	Driver       string `json:"driver" cbor:"h"`
	Incarnation  uint64 `json:"incarnation" cbor:"i"`
	FencingToken uint64 `json:"fence" cbor:"f"`
	Writes       uint64 `json:"writes" cbor:"w"`
	// Changes rises with each write that is more than a renewal; hosts ask for records by it.
	Changes    uint64        `json:"changes" cbor:"c"`
	Phase      string        `json:"phase" cbor:"p"`
	Step       int           `json:"step" cbor:"s"`
	Share      float64       `json:"share" cbor:"x"`
	Reductions int           `json:"retreats,omitempty" cbor:"r,omitempty"`
	Elapsed    time.Duration `json:"elapsed-ns" cbor:"e"`
	Reason     string        `json:"reason" cbor:"q"`
	// AcknowledgedVetoes holds the newest vetoes that this record takes into account, at most maxAnswered.
	AcknowledgedVetoes []string `json:"answered,omitempty" cbor:"a,omitempty"`
	// Steps holds the newest steps, at most maxSteps.
	Steps []Step `json:"steps,omitempty" cbor:"t,omitempty"`
}

// Step is one change of a share, for operators.
type Step struct {
	Elapsed time.Duration `json:"elapsed-ns" cbor:"e"`
	Share   float64       `json:"share" cbor:"x"`
	Phase   string        `json:"phase" cbor:"p"`
	Reason  string        `json:"reason" cbor:"q"`
}

func (r Record) isDrivenBy(host string, incarnation uint64) bool {
	return r.Driver == host && r.Incarnation == incarnation
}

// withStep returns the record with its current state added to the steps.
func (r Record) withStep() Record {
	steps := append(slices.Clone(r.Steps), Step{Elapsed: r.Elapsed, Share: r.Share, Phase: r.Phase, Reason: r.Reason})
	r.Steps = steps[max(0, len(steps)-maxRecordedSteps):]
	return r
}

func (r Record) withAcknowledged(ids []string) Record {
	answered := append(slices.Clone(r.AcknowledgedVetoes), ids...)
	r.AcknowledgedVetoes = answered[max(0, len(answered)-maxAcknowledged):]
	return r
}

// errLeaseLost is returned when another driver has written the record.
var errLeaseLost = errors.New("the move has another driver")

// writeRecord records r on the version that the driver read, and returns the new version. After a lost answer it reads back.
func (s *Service) writeRecord(ctx context.Context, key string, r Record, expect store.Version) (version store.Version, err error) {
	defer func() { err = errors.Wrapf(err, "record %s", key) }()
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

// readRecord returns the stored record; version 0 stands for none.
func (s *Service) readRecord(ctx context.Context, key string) (r Record, version store.Version, err error) {
	object, err := s.opts.Store.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return r, 0, nil
	}
	if err != nil {
		return r, 0, err
	}
	err = json.Unmarshal(object.Value, &r)
	return r, object.Version, errors.Wrapf(err, "object %s", key)
}
