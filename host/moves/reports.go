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

// The kinds of messages between hosts.
const (
	KindRecord   = "move-record"
	KindVeto     = "move-veto"
	KindEvidence = "move-evidence"
)

// versionedRecord is a record with its store version.
type versionedRecord struct {
	Key     string        `cbor:"k"`
	Version store.Version `cbor:"v"`
	Record  Record        `cbor:"r"`
}

// report is what a host knows of one move: its counts of the last second, and how new its record is.
type report struct {
	Key        string        `cbor:"k"`
	Definition uint64        `cbor:"d"`
	Version    store.Version `cbor:"v,omitempty"`
	Changes    uint64        `cbor:"c,omitempty"`
	Fence      uint64        `cbor:"f,omitempty"`
	Batch      rollout.Batch `cbor:"b,omitempty"`
	// Vetoes repeats the unanswered ones, since a broadcast may have been lost.
	Vetoes []veto `cbor:"o,omitempty"`
}

type reportRequest struct {
	Moves []report `cbor:"m"`
}

// reportResponse holds the records and vetoes that the sender lacks.
type reportResponse struct {
	Records []versionedRecord `cbor:"r,omitempty"`
	Vetoes  []veto            `cbor:"o,omitempty"`
}

func (s *Service) registerHandlers(t *peers.HandlerTable) {
	peers.Handle(t, KindRecord, func(_ context.Context, _ string, k versionedRecord) (struct{}, error) {
		s.apply([]versionedRecord{k}, nil)
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

// apply puts records and vetoes of others in force.
func (s *Service) apply(records []versionedRecord, vetoes []veto) {
	t := s.table.Load()
	for _, k := range records {
		if m := t.find(k.Key); m != nil {
			m.mu.Lock()
			m.applyRecord(s.now(), k.Record, k.Version)
			m.mu.Unlock()
		}
	}
	for _, v := range vetoes {
		if m := t.find(v.Key); m != nil && m.definition == v.Definition {
			m.mu.Lock()
			if m.applyVeto(v) {
				s.opts.Log.Warn("move lowered by a veto", "move", v.Key, "host", v.Host, "share", v.Share, "reason", v.Reason)
			}
			m.mu.Unlock()
		}
	}
}

// handleReports takes a host's evidence and tells it what it lacks.
func (s *Service) handleReports(from string, req reportRequest) (answer reportResponse) {
	s.mu.Lock()
	s.lastReportAt[from] = s.now()
	s.mu.Unlock()
	t := s.table.Load()
	for _, e := range req.Moves {
		m := t.find(e.Key)
		if m == nil || m.definition != e.Definition {
			continue
		}
		s.apply(nil, e.Vetoes)
		m.mu.Lock()
		if m.lease.driving {
			m.lease.unjudged = m.lease.unjudged.Plus(e.Batch)
		}
		if m.version > e.Version && (m.record.Changes != e.Changes || m.record.FencingToken != e.Fence) {
			answer.Records = append(answer.Records, versionedRecord{Key: m.key, Version: m.version, Record: m.record})
		}
		for _, v := range m.vetoes {
			answer.Vetoes = append(answer.Vetoes, v)
		}
		m.mu.Unlock()
	}
	return answer
}

// sendReports seals the counts of the last second, tests them here, and sends them to the drivers.
func (s *Service) sendReports(ctx context.Context) {
	hosts := s.liveHosts()
	outgoing := map[string][]report{}
	for _, m := range s.table.Load().all {
		if m.ended.Load() {
			continue
		}
		e, driver, vetoed := s.newReport(m, len(hosts))
		if vetoed != nil {
			s.broadcast(ctx, KindVeto, *vetoed)
		}
		if driver == "" || driver == s.opts.Host && e.Version == 0 {
			driver = s.randomOtherHost(hosts)
		}
		outgoing[driver] = append(outgoing[driver], e)
	}
	var group errgroup.Group
	group.SetLimit(16)
	for driver, list := range outgoing {
		group.Go(func() error {
			s.sendTo(ctx, driver, list)
			return nil
		})
	}
	_ = group.Wait() // the functions return no errors; what is not sent is lost, and the driver holds
}

// newReport seals one move's counts and runs this host's own test on them. vetoed is the veto that follows, if any.
func (s *Service) newReport(m *move, hosts int) (e report, driver string, vetoed *veto) {
	e = report{Key: m.key, Definition: m.definition, Batch: rollout.Batch{}}
	for route, c := range *m.counters.Load() {
		if counts, found := c.takeCounts(); found {
			e.Batch[route] = counts
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	e.Version, e.Changes, e.Fence = m.version, m.record.Changes, m.record.FencingToken
	if !m.localStarted {
		m.localJudge, m.localStarted = m.kind.newLocalJudge(s.now(), m, hosts), true
	}
	var reason string
	var bad bool
	m.localJudge, reason, bad = m.localJudge.Next(s.now(), m.record.Step, e.Batch)
	if bad && m.share() > 0 {
		v := s.newVeto(m, 0, reason)
		m.applyVeto(v)
		// The next evidence is about what comes after the veto.
		m.localJudge = m.kind.newLocalJudge(s.now(), m, hosts)
		s.opts.Log.Warn("move lowered on own evidence", "move", m.key, "reason", reason)
		vetoed = &v
	}
	for _, v := range m.vetoes {
		e.Vetoes = append(e.Vetoes, v)
	}
	return e, m.record.Driver, vetoed
}

// newVeto returns a veto with an id of its own.
func (s *Service) newVeto(m *move, share float64, reason string) veto {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastVetoNumber++
	return veto{
		ID: fmt.Sprintf("%s/%d/%d", s.opts.Host, s.opts.Incarnation, s.lastVetoNumber), Key: m.key, Host: s.opts.Host, Share: share,
		Reason: reason, Definition: m.definition,
	}
}

func (s *Service) sendTo(ctx context.Context, driver string, list []report) {
	if driver == s.opts.Host || driver == "" {
		s.handleReports(s.opts.Host, reportRequest{Moves: list})
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := peers.Call[reportRequest, reportResponse](ctx, s.opts.Peers, driver, KindEvidence, reportRequest{Moves: list})
	if err != nil {
		if !errors.Is(err, context.Canceled) {
			s.opts.Log.Debug("evidence was not sent", "driver", driver, "error", err)
		}
		s.rebroadcastVetoes(ctx, list)
		return
	}
	s.apply(answer.Records, answer.Vetoes)
}

// rebroadcastVetoes broadcasts the own vetoes again while the driver does not answer: the first broadcast may have been lost.
func (s *Service) rebroadcastVetoes(ctx context.Context, list []report) {
	for _, e := range list {
		for _, v := range e.Vetoes {
			if v.Host == s.opts.Host {
				s.broadcast(ctx, KindVeto, v)
			}
		}
	}
}

func (s *Service) broadcast(ctx context.Context, kind string, message any) {
	body, err := cbor.Marshal(message)
	if err == nil {
		err = s.opts.Members.Broadcast(ctx, kind, body)
	}
	if err != nil && ctx.Err() == nil {
		s.opts.Log.Warn("broadcast failed", "kind", kind, "error", err)
	}
}
