package request

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cockroachdb/errors"
)

// errLost ends an attempt whose request was answered by another attempt.
var errLost = errors.New("another attempt answered")

// hedge joins the attempts of one request that got no response for too long.
type hedge struct {
	// answered is 0 until an attempt has a response, then the number of that attempt.
	answered atomic.Int32
	group    errgroup.Group
	cancel   context.CancelFunc
	// second is the state of the second attempt; it is read after group.Wait.
	second *exchange
	err    error
}

// win reports whether this attempt is the one that answers the caller.
func (x *exchange) win() bool {
	if x.hedge == nil {
		return true
	}
	number := int32(1)
	if x.isSecond {
		number = 2
	}
	if !x.hedge.answered.CompareAndSwap(0, number) {
		return false
	}
	if x.isSecond {
		// The silent attempt is given up, and its connection is retired.
		x.abandon()
	} else {
		x.hedge.cancel()
	}
	return true
}

// slow is called when the attempt got no response for a while: the server is probed on a new connection,
// and an idempotent request is sent to a second server.
// It reports whether the first attempt may wait until the deadline, since a second one is under way.
func (x *exchange) slow(abandon func()) bool {
	h := &hedge{}
	x.hedge = h
	ctx, cancel := context.WithDeadline(x.context, x.deadline)
	h.cancel = cancel
	first := x.server
	h.group.Go(func() error { x.service.probe(ctx, first); return nil })
	if !x.idempotent || x.alone || !x.body.replayable() || !x.pool.retries.retry() {
		return false
	}
	second := *x
	second.isSecond, second.abandon, second.context = true, abandon, ctx
	second.holds, second.releasePermit, second.alone = false, nil, false
	second.position = x.attempts
	second.backend, second.queued = 0, 0
	second.r = x.r.Clone(ctx)
	second.tried = append(append([]*server(nil), x.tried...), first)
	h.second = &second
	h.group.Go(func() error {
		h.err = second.pick()
		if h.err == nil {
			chosen := second.server
			h.err = second.next()
			chosen.assigned.Add(-1)
		}
		return nil
	})
	return true
}

// join waits for the second attempt and returns the outcome of both.
func (x *exchange) join(err error) error {
	h := x.hedge
	if h == nil {
		return err
	}
	if h.second == nil || h.answered.Load() == 1 {
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
	if h.second.crashed {
		x.crashed, x.print = true, h.second.print
	}
	if h.answered.Load() == 2 {
		x.status, x.response, x.version, x.serverID = h.second.status, h.second.response, h.second.version, h.second.serverID
		return h.err
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
		target.down(s.now())
		s.options.Hook.Event("server-probe-failed", target.ID)
	}
}
