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

// known is a record with its store version.
type known struct {
	Key     string        `cbor:"k"`
	Version store.Version `cbor:"v"`
	Record  Record        `cbor:"r"`
}

// evidence is what a host knows of one move: its counts of the last second, and how new its record is.
type evidence struct {
	Key        string        `cbor:"k"`
	Definition uint64        `cbor:"d"`
	Version    store.Version `cbor:"v,omitempty"`
	Changes    uint64        `cbor:"c,omitempty"`
	Fence      uint64        `cbor:"f,omitempty"`
	Batch      rollout.Batch `cbor:"b,omitempty"`
	// Vetoes repeats the unanswered ones, since a broadcast may have been lost.
	Vetoes []veto `cbor:"o,omitempty"`
}

type evidenceRequest struct {
	Moves []evidence `cbor:"m"`
}

// evidenceAnswer holds the records and vetoes that the sender lacks.
type evidenceAnswer struct {
	Records []known `cbor:"r,omitempty"`
	Vetoes  []veto  `cbor:"o,omitempty"`
}

func (s *Service) register(t *peers.HandlerTable) {
	peers.Handle(t, KindRecord, func(_ context.Context, _ string, k known) (struct{}, error) {
		s.learn([]known{k}, nil)
		return struct{}{}, nil
	})
	peers.Handle(t, KindVeto, func(_ context.Context, _ string, v veto) (struct{}, error) {
		s.learn(nil, []veto{v})
		return struct{}{}, nil
	})
	peers.Handle(t, KindEvidence, func(_ context.Context, from string, req evidenceRequest) (evidenceAnswer, error) {
		return s.receive(from, req), nil
	})
}

// learn puts records and vetoes of others in force.
func (s *Service) learn(records []known, vetoes []veto) {
	t := s.table.Load()
	for _, k := range records {
		if m := t.find(k.Key); m != nil {
			m.mu.Lock()
			m.take(s.now(), k.Record, k.Version)
			m.mu.Unlock()
		}
	}
	for _, v := range vetoes {
		if m := t.find(v.Key); m != nil && m.definition == v.Definition {
			m.mu.Lock()
			if m.lower(v) {
				s.opts.Log.Warn("move lowered by a veto", "move", v.Key, "host", v.Host, "share", v.Share, "reason", v.Reason)
			}
			m.mu.Unlock()
		}
	}
}

// receive takes a host's evidence and tells it what it lacks.
func (s *Service) receive(from string, req evidenceRequest) (answer evidenceAnswer) {
	s.mu.Lock()
	s.reports[from] = s.now()
	s.mu.Unlock()
	t := s.table.Load()
	for _, e := range req.Moves {
		m := t.find(e.Key)
		if m == nil || m.definition != e.Definition {
			continue
		}
		s.learn(nil, e.Vetoes)
		m.mu.Lock()
		if m.lease.driving {
			m.lease.pending = m.lease.pending.Plus(e.Batch)
		}
		if m.version > e.Version && (m.record.Changes != e.Changes || m.record.FencingToken != e.Fence) {
			answer.Records = append(answer.Records, known{Key: m.key, Version: m.version, Record: m.record})
		}
		for _, v := range m.vetoes {
			answer.Vetoes = append(answer.Vetoes, v)
		}
		m.mu.Unlock()
	}
	return answer
}

// collect seals the counts of the last second, tests them here, and sends them to the drivers.
func (s *Service) collect(ctx context.Context) {
	hosts := s.alive()
	outgoing := map[string][]evidence{}
	for _, m := range s.table.Load().all {
		if m.ended.Load() {
			continue
		}
		e, driver, vetoed := s.evidence(m, len(hosts))
		if vetoed != nil {
			s.flood(ctx, KindVeto, *vetoed)
		}
		if driver == "" || driver == s.opts.Host && e.Version == 0 {
			driver = s.anyone(hosts)
		}
		outgoing[driver] = append(outgoing[driver], e)
	}
	var group errgroup.Group
	group.SetLimit(16)
	for driver, list := range outgoing {
		group.Go(func() error {
			s.send(ctx, driver, list)
			return nil
		})
	}
	_ = group.Wait() // the functions return no errors; what is not sent is lost, and the driver holds
}

// evidence seals one move's counts and runs this host's own test on them. vetoed is the veto that follows, if any.
func (s *Service) evidence(m *move, hosts int) (e evidence, driver string, vetoed *veto) {
	e = evidence{Key: m.key, Definition: m.definition, Batch: rollout.Batch{}}
	for route, c := range *m.cells.Load() {
		if counts, found := c.seal(); found {
			e.Batch[route] = counts
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	e.Version, e.Changes, e.Fence = m.version, m.record.Changes, m.record.FencingToken
	if !m.begun {
		m.local, m.begun = m.variant.local(s.now(), m, hosts), true
	}
	var reason string
	var bad bool
	m.local, reason, bad = m.local.Next(s.now(), m.record.Step, e.Batch)
	if bad && m.share() > 0 {
		v := s.newVeto(m, 0, reason)
		m.lower(v)
		// The next evidence is about what comes after the veto.
		m.local = m.variant.local(s.now(), m, hosts)
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
	s.vetoes++
	return veto{
		ID: fmt.Sprintf("%s/%d/%d", s.opts.Host, s.opts.Incarnation, s.vetoes), Key: m.key, Host: s.opts.Host, Share: share,
		Reason: reason, Definition: m.definition,
	}
}

func (s *Service) send(ctx context.Context, driver string, list []evidence) {
	if driver == s.opts.Host || driver == "" {
		s.receive(s.opts.Host, evidenceRequest{Moves: list})
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := peers.Call[evidenceRequest, evidenceAnswer](ctx, s.opts.Peers, driver, KindEvidence, evidenceRequest{Moves: list})
	if err != nil {
		if !errors.Is(err, context.Canceled) {
			s.opts.Log.Debug("evidence was not sent", "driver", driver, "error", err)
		}
		s.repeat(ctx, list)
		return
	}
	s.learn(answer.Records, answer.Vetoes)
}

// repeat broadcasts the own vetoes again while the driver does not answer: the first broadcast may have been lost.
func (s *Service) repeat(ctx context.Context, list []evidence) {
	for _, e := range list {
		for _, v := range e.Vetoes {
			if v.Host == s.opts.Host {
				s.flood(ctx, KindVeto, v)
			}
		}
	}
}

func (s *Service) flood(ctx context.Context, kind string, message any) {
	body, err := cbor.Marshal(message)
	if err == nil {
		err = s.opts.Members.Broadcast(ctx, kind, body)
	}
	if err != nil && ctx.Err() == nil {
		s.opts.Log.Warn("broadcast failed", "kind", kind, "error", err)
	}
}
