package moves

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"

	"vanillatally/core/rollout"
	"vanillatally/io/peers"
	"vanillatally/io/store"
)

// The kinds of messages between hosts. KindEvidence messages are called reports in this package.
const (
	KindRecord   = "move-record"
	KindVeto     = "move-veto"
	KindEvidence = "move-evidence"
)

// versionedRecord is a move's record with its version in the store.
type versionedRecord struct {
	Key     string        `cbor:"k"`
	Version store.Version `cbor:"v"`
	Record  Record        `cbor:"r"`
}

// report is what a host sends to the driver of a move each second: its request counts, and which record and vetoes it has.
type report struct {
	Key          string        `cbor:"k"`
	Definition   uint64        `cbor:"d"`
	Version      store.Version `cbor:"v,omitempty"`
	Changes      uint64        `cbor:"c,omitempty"`
	FencingToken uint64        `cbor:"f,omitempty"`
	Batch        rollout.Batch `cbor:"b,omitempty"`
	// Vetoes holds the vetoes that no record has acknowledged yet. They are repeated, since a broadcast may get lost.
	Vetoes []veto `cbor:"o,omitempty"`
}

// reportRequest holds a host's reports about the moves of one driver.
type reportRequest struct {
	Moves []report `cbor:"m"`
}

// reportResponse holds records that are newer than the reporting host's, and vetoes that aren't acknowledged yet.
type reportResponse struct {
	Records []versionedRecord `cbor:"r,omitempty"`
	Vetoes  []veto            `cbor:"o,omitempty"`
}

// registerHandlers registers the handlers for messages of other hosts.
func (s *Service) registerHandlers(t *peers.HandlerTable) {
	peers.Handle(t, KindRecord, func(_ context.Context, _ string, record versionedRecord) (struct{}, error) {
		s.apply([]versionedRecord{record}, nil)
		return struct{}{}, nil
	})
	peers.Handle(t, KindVeto, func(_ context.Context, _ string, v veto) (struct{}, error) {
		s.apply(nil, []veto{v})
		return struct{}{}, nil
	})
	peers.Handle(t, KindEvidence, func(_ context.Context, from string, req reportRequest) (reportResponse, error) {
		return s.handleReports(from, req), nil
	})
}

// apply applies records and vetoes that other hosts sent.
func (s *Service) apply(records []versionedRecord, vetoes []veto) {
	t := s.table.Load()
	for _, record := range records {
		if m := t.find(record.Key); m != nil {
			m.mu.Lock()
			m.applyRecord(s.now(), record.Record, record.Version)
			m.mu.Unlock()
		}
	}
	for _, v := range vetoes {
		if m := t.find(v.Key); m != nil && m.definition == v.Definition {
			m.mu.Lock()
			if m.applyVeto(v) {
				s.opts.Log.Warn("move's share reduced by a host's veto", "move", v.Key, "host", v.Host, "share", v.Share, "reason", v.Reason)
			}
			m.mu.Unlock()
		}
	}
}

// handleReports adds a host's counts to those of the moves that this host drives, and returns what the reporting host lacks.
func (s *Service) handleReports(from string, req reportRequest) (response reportResponse) {
	s.mu.Lock()
	s.lastReportAt[from] = s.now()
	s.mu.Unlock()
	t := s.table.Load()
	for _, rep := range req.Moves {
		m := t.find(rep.Key)
		if m == nil || m.definition != rep.Definition {
			continue
		}
		s.apply(nil, rep.Vetoes)
		m.mu.Lock()
		if m.lease.driving {
			m.lease.unjudged = m.lease.unjudged.Plus(rep.Batch)
		}
		if m.version > rep.Version && (m.record.Changes != rep.Changes || m.record.FencingToken != rep.FencingToken) {
			response.Records = append(response.Records, versionedRecord{Key: m.key, Version: m.version, Record: m.record})
		}
		for _, v := range m.vetoes {
			response.Vetoes = append(response.Vetoes, v)
		}
		m.mu.Unlock()
	}
	return response
}

// sendReports tests the request counts of the last second on this host and reports them to the drivers of the moves.
func (s *Service) sendReports(ctx context.Context) {
	hosts := s.liveHosts()
	outgoing := map[string][]report{}
	for _, m := range s.table.Load().all {
		if m.ended.Load() {
			continue
		}
		rep, driver, ownVeto := s.newReport(m, len(hosts))
		if ownVeto != nil {
			s.broadcast(ctx, KindVeto, *ownVeto)
		}
		if driver == "" || driver == s.opts.Host && rep.Version == 0 {
			// This host has no record of the move. Another host may return it in its response.
			driver = s.randomOtherHost(hosts)
		}
		outgoing[driver] = append(outgoing[driver], rep)
	}
	var group errgroup.Group
	group.SetLimit(16)
	for driver, reports := range outgoing {
		group.Go(func() error {
			s.sendTo(ctx, driver, reports)
			return nil
		})
	}
	_ = group.Wait() // the functions return no errors; without a host's report the driver doesn't raise a share
}

// newReport takes one move's request counts, runs this host's own test on them, and returns the report and the move's
// driver. ownVeto is set when the test failed; it is already in force on this host.
func (s *Service) newReport(m *move, hosts int) (rep report, driver string, ownVeto *veto) {
	rep = report{Key: m.key, Definition: m.definition, Batch: rollout.Batch{}}
	for route, c := range *m.counters.Load() {
		if counts, found := c.takeCounts(); found {
			rep.Batch[route] = counts
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	rep.Version, rep.Changes, rep.FencingToken = m.version, m.record.Changes, m.record.FencingToken
	if !m.localStarted {
		m.localJudge, m.localStarted = m.kind.newLocalJudge(s.now(), m, hosts), true
	}
	var reason string
	var bad bool
	m.localJudge, reason, bad = m.localJudge.Next(s.now(), m.record.Step, rep.Batch)
	if bad && m.share() > 0 {
		v := s.newVeto(m, 0, reason)
		m.applyVeto(v)
		// A new test begins, so that only requests after the veto count.
		m.localJudge = m.kind.newLocalJudge(s.now(), m, hosts)
		s.opts.Log.Warn("move's share reduced by this host's own test", "move", m.key, "reason", reason)
		ownVeto = &v
	}
	for _, v := range m.vetoes {
		rep.Vetoes = append(rep.Vetoes, v)
	}
	return rep, m.record.Driver, ownVeto
}

// newVeto returns a veto of this host with a unique id.
func (s *Service) newVeto(m *move, share float64, reason string) veto {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastVetoNumber++
	return veto{
		ID: fmt.Sprintf("%s/%d/%d", s.opts.Host, s.opts.Incarnation, s.lastVetoNumber), Key: m.key, Host: s.opts.Host, Share: share,
		Reason: reason, Definition: m.definition,
	}
}

// sendTo sends reports to a driver and applies its response.
func (s *Service) sendTo(ctx context.Context, driver string, reports []report) {
	if driver == s.opts.Host || driver == "" {
		s.handleReports(s.opts.Host, reportRequest{Moves: reports})
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := peers.Call[reportRequest, reportResponse](
		ctx, s.opts.Peers, driver, KindEvidence, reportRequest{Moves: reports},
	)
	if err != nil {
		if !errors.Is(err, context.Canceled) {
			s.opts.Log.Debug("report to the driver of a move failed", "driver", driver, "error", err)
		}
		s.rebroadcastVetoes(ctx, reports)
		return
	}
	s.apply(response.Records, response.Vetoes)
}

// rebroadcastVetoes broadcasts this host's vetoes again, since the first broadcast may have been lost. It is called when the
// driver doesn't respond.
func (s *Service) rebroadcastVetoes(ctx context.Context, reports []report) {
	for _, rep := range reports {
		for _, v := range rep.Vetoes {
			if v.Host == s.opts.Host {
				s.broadcast(ctx, KindVeto, v)
			}
		}
	}
}

// broadcast sends a message to all hosts.
func (s *Service) broadcast(ctx context.Context, kind string, message any) {
	body, err := cbor.Marshal(message)
	if err == nil {
		err = s.opts.Members.Broadcast(ctx, kind, body)
	}
	if err != nil && ctx.Err() == nil {
		s.opts.Log.Warn("broadcast failed", "kind", kind, "error", err)
	}
}
