package request

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cockroachdb/errors"
)

// errHedgeLost ends an attempt whose request was answered by another attempt.
var errHedgeLost = errors.New("another attempt answered")

// hedge joins the attempts of one request that got no response for too long.
type hedge struct {
	// winner is 0 until an attempt has a response, then the number of that attempt.
	winner atomic.Int32
	group  errgroup.Group
	cancel context.CancelFunc
	// second is the state of the second attempt; it is read after group.Wait.
	second    *exchange
	secondErr error
}

// tryWin reports whether this attempt is the one that answers the caller.
func (x *exchange) tryWin() bool {
	if x.hedge == nil {
		return true
	}
	number := int32(1)
	if x.isHedge {
		number = 2
	}
	if !x.hedge.winner.CompareAndSwap(0, number) {
		return false
	}
	if x.isHedge {
		// The silent attempt is given up, and its connection is retired.
		x.abandonFirst()
	} else {
		x.hedge.cancel()
	}
	return true
}

// startHedge is called when the attempt got no response for a while: the server is probed on a new connection,
// and an idempotent request is sent to a second server.
// It reports whether the first attempt may wait until the deadline, since a second one is under way.
func (x *exchange) startHedge(abandon func()) bool {
	h := &hedge{}
	x.hedge = h
	ctx, cancel := context.WithDeadline(x.context, x.deadline)
	h.cancel = cancel
	first := x.server
	h.group.Go(func() error { x.service.probe(ctx, first); return nil })
	if !x.idempotent || x.alone || !x.body.replayable() || !x.pool.retryBudget.takeRetry() {
		return false
	}
	second := *x
	second.isHedge, second.abandonFirst, second.context = true, abandon, ctx
	second.limiterAcquired, second.releasePermit, second.alone = false, nil, false
	second.nextFilter = x.attemptStart
	second.backendTime, second.queueTime = 0, 0
	second.r = x.r.Clone(ctx)
	second.tried = append(append([]*server(nil), x.tried...), first)
	h.second = &second
	h.group.Go(func() error {
		h.secondErr = second.pickServer()
		if h.secondErr == nil {
			chosen := second.server
			h.secondErr = second.next()
			chosen.assigned.Add(-1)
		}
		return nil
	})
	return true
}

// joinHedge waits for the second attempt and returns the outcome of both.
func (x *exchange) joinHedge(err error) error {
	h := x.hedge
	if h == nil {
		return err
	}
	if h.second == nil || h.winner.Load() == 1 {
		h.cancel()
	}
	// The goroutines return no errors; their outcome is in the hedge.
	_ = h.group.Wait()
	h.cancel()
	x.hedge = nil
	if h.second == nil {
		return err
	}
	x.mayHaveRun = x.mayHaveRun || h.second.mayHaveRun
	if h.second.serverCrashed {
		x.serverCrashed, x.fingerprint = true, h.second.fingerprint
	}
	if h.winner.Load() == 2 {
		x.status, x.response, x.version, x.serverID = h.second.status, h.second.response, h.second.version, h.second.serverID
		return h.secondErr
	}
	x.tried = append(x.tried, h.second.server)
	return err
}

// probeTimeout bounds a probe of a server.
const probeTimeout = time.Second

// probe opens a new connection to the server, so that a silent connection is not taken for a dead server.
func (s *Service) probe(ctx context.Context, target *server) {
	if !target.probing.CompareAndSwap(false, true) {
		return
	}
	defer target.probing.Store(false)
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if err := s.client.Probe(probeCtx, target.Address); err != nil && ctx.Err() == nil {
		target.markDown(s.now())
		s.options.Hook.Event("server-probe-failed", target.ID)
	}
}
