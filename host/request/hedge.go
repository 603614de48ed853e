package request

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cockroachdb/errors"
)

// errHedgeLost is the error of an attempt whose response came after that of the other attempt.
var errHedgeLost = errors.New("another attempt answered")

// hedge is the state that the attempts of a hedged request share. It also exists for a request that is not hedged while its slow
// server is probed.
type hedge struct {
	// winner is the number of the first attempt that got a response, 1 or 2; 0 means none yet.
	winner atomic.Int32
	group  errgroup.Group
	cancel context.CancelFunc
	// second is the exchange of the hedged attempt, secondErr its error. They are read after group.Wait.
	second    *exchange
	secondErr error
	// panicked is the value with which the hedged attempt panicked, or nil. The goroutine of the first attempt panics with it,
	// since a panic in the group would end the process.
	panicked any
}

// tryWin reports whether the response of this attempt goes to the caller. If so, it aborts the other attempt.
func (x *exchange) tryWin() bool {
	if x.hedge == nil {
		return true
	}
	attemptNumber := int32(1)
	if x.isHedge {
		attemptNumber = 2
	}
	if !x.hedge.winner.CompareAndSwap(0, attemptNumber) {
		return false
	}
	if x.isHedge {
		// Aborting the first attempt also closes its connection, which may be unresponsive.
		x.abandonFirst()
	} else {
		x.hedge.cancel()
	}
	return true
}

// startHedge is called when an attempt has had no response for HedgeDelay. It probes the server over a new connection and starts
// a hedged attempt of an idempotent request on a second server. It reports whether it did the latter, in which case the first
// attempt may wait until the deadline.
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
		defer func() { h.panicked = recover() }()
		h.secondErr = second.pickServer()
		if h.secondErr == nil {
			defer second.server.assigned.Add(-1)
			h.secondErr = second.next()
		}
		return nil
	})
	return true
}

// joinHedge waits for the hedged attempt, if any, and returns the error of the attempt that determines the outcome.
func (x *exchange) joinHedge(err error) error {
	h := x.hedge
	if h == nil {
		return err
	}
	if h.second == nil || h.winner.Load() == 1 {
		h.cancel()
	}
	// The goroutines return no errors; the error of the second attempt is in the hedge.
	_ = h.group.Wait()
	h.cancel()
	x.hedge = nil
	if h.panicked != nil {
		panic(h.panicked)
	}
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

// abandonHedge ends the hedged attempt if the first attempt has panicked, so that nothing is written to the caller after the
// handler has returned.
func (x *exchange) abandonHedge() {
	h := x.hedge
	if h == nil {
		return
	}
	x.hedge = nil
	h.winner.CompareAndSwap(0, 1)
	h.cancel()
	// The goroutines return no errors.
	_ = h.group.Wait()
}

// probeTimeout bounds a probe of a server.
const probeTimeout = time.Second

// probe opens a new connection to the server, to tell a server that is down from a single unresponsive connection.
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
