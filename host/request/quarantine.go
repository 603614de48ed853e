package request

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"vanillatally/core/claim"
	"vanillatally/core/quarantine"
	"vanillatally/core/retry"
	"vanillatally/io/backends"
	"vanillatally/io/callers"
)

// quarantineTable is the table of suspected and quarantined requests. It changes only on notices about crashes, so that requests
// read it without a lock.
type quarantineTable struct {
	service *Service
	mu      sync.Mutex
	table   atomic.Pointer[quarantine.Table]
}

func (s *quarantineTable) current() quarantine.Table {
	if t := s.table.Load(); t != nil {
		return *t
	}
	return quarantine.Table{}
}

func (s *quarantineTable) apply(notice quarantine.Notice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.current().WithNotice(notice, s.service.now())
	s.table.Store(&t)
	s.service.options.Hook.Event("request-"+string(notice.State), notice.Team+" "+notice.Method+" "+notice.Path)
}

// HandleQuarantineNotice applies a notice from another host.
func (s *Service) HandleQuarantineNotice(notice quarantine.Notice) { s.quarantineTable.apply(notice) }

// QuarantineEntries returns the suspected and the quarantined requests.
func (s *Service) QuarantineEntries() []quarantine.Entry {
	return s.quarantineTable.current().Entries(s.now())
}

// checkQuarantine refuses a quarantined request. It lets a suspected request run only as a trial, alone on its server.
func checkQuarantine(x *exchange) error {
	if err := x.readBody(); err != nil {
		return err
	}
	if x.service.quarantineTable.current().Len() > 0 {
		if err := x.beginTrial(); err != nil {
			return err
		}
	}
	defer x.endTrial()
	return x.next()
}

// trialClaim is the claim that a host needs for the trial of a suspected request. Its owner grants it to one host at a time, so
// that the request cannot crash servers through two hosts at once. It cannot collide with a claim of a team, since names of
// teams contain no slash.
func (x *exchange) trialClaim() claim.Request {
	return claim.Request{
		Team: "quarantine/" + x.team, Key: strconv.FormatUint(x.fingerprint, 16), Fingerprint: x.fingerprint,
	}
}

// beginTrial waits until a suspected request may run as a trial, or refuses it.
func (x *exchange) beginTrial() error {
	x.fingerprint = x.computeFingerprint(true)
	for attempt := 0; ; attempt++ {
		entry := x.service.quarantineTable.current().Find(x.fingerprint, x.service.now())
		switch entry.Notice.State {
		case quarantine.Clear:
			return nil
		case quarantine.Quarantined:
			return callers.Refuse(http.StatusServiceUnavailable, "quarantined", "the request crashed backend servers").
				WithRetryAfter(entry.Expiry - x.service.now())
		}
		ctx, cancel := context.WithDeadline(x.context, x.deadline)
		answer, err := x.service.options.Claims.Begin(ctx, x.trialClaim())
		cancel()
		switch {
		case err != nil || answer.State == claim.OwnerUnreachable || answer.State == claim.Full:
			return callers.Refuse(http.StatusServiceUnavailable, "quarantine-unavailable",
				"the request is suspected of crashing backend servers and cannot be tried now").WithRetryAfter(defaultRetryAfter)
		case answer.State == claim.Granted:
			x.alone = true
			return nil
		case answer.State != claim.Running:
			return callers.Refuse(http.StatusServiceUnavailable, "quarantined", "the request crashed backend servers").
				WithRetryAfter(quarantine.EntryTTL)
		}
		if err := x.sleep(retry.Backoff(attempt, 10*time.Millisecond, 100*time.Millisecond, rand.Float64())); err != nil {
			return err
		}
	}
}

// endTrial gives the claim of the trial back, unless the request crashed a server again. If the request got a response and was
// only suspected, it is cleared.
func (x *exchange) endTrial() {
	if !x.alone {
		return
	}
	x.alone = false
	state := x.service.quarantineTable.current().Find(x.fingerprint, x.service.now()).Notice.State
	if x.response != nil && state == quarantine.Suspect {
		x.announceState(quarantine.Clear)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.context), reportTimeout)
	defer cancel()
	result := claim.Result{NotRun: state != quarantine.Quarantined, Unknown: state == quarantine.Quarantined}
	if err := x.service.options.Claims.Finish(ctx, x.trialClaim(), result); err != nil {
		x.service.options.Hook.Event("claim-not-finished", x.trialClaim().Key)
	}
}

// sleep waits, or returns a refusal if the deadline would pass or the caller disconnects.
func (x *exchange) sleep(wait time.Duration) error {
	if time.Until(x.deadline) <= wait {
		return deadlinePassedRefusal()
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-x.context.Done():
		return callers.Refuse(statusClientClosedRequest, "cancelled", "the caller has gone")
	}
}

// detectCrash checks whether a server that broke off the connection, before or in the middle of the response, has crashed. If so,
// it notifies all hosts before the caller can resend the request. alone is set when no other request ran on the server.
func (x *exchange) detectCrash(failure *backends.Failure, alone bool) {
	brokenOff := failure.Cause == backends.CauseClosed || failure.Cause == backends.CauseTruncated
	if !brokenOff || !failure.Sent || !connectionRefused(x.server.Address) {
		return
	}
	x.server.markDown(x.service.now())
	if x.fingerprint == 0 {
		x.fingerprint = x.computeFingerprint(true)
	}
	x.serverCrashed = true
	x.announceState(x.service.quarantineTable.current().AfterCrash(x.fingerprint, alone, x.service.now()))
	if delay := x.service.options.NoticePropagationDelay; delay > 0 {
		// The response is held back even beyond the deadline, since a resent request must not arrive at another host before the
		// notice.
		time.Sleep(delay)
	}
}

// announceState applies a notice with the new state of the request and sends it to the other hosts.
func (x *exchange) announceState(state quarantine.State) {
	notice := quarantine.Notice{
		Fingerprint: x.fingerprint, State: state, Team: x.team, Method: x.r.Method, Path: x.r.URL.Path, Host: x.service.options.Host,
	}
	if x.server != nil {
		notice.Server = x.server.ID
	}
	x.service.quarantineTable.apply(notice)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.context), reportTimeout)
	defer cancel()
	if err := x.service.options.BroadcastQuarantineNotice(ctx, notice); err != nil {
		x.service.options.Hook.Event("quarantine-notice-not-sent", notice.Path)
	}
}

// connectionRefused reports whether nothing listens at address. A process that exits closes its connections and its listener in
// no fixed order, so a successful dial is repeated once after a short wait.
func connectionRefused(address string) bool {
	for attempt := range 2 {
		if attempt > 0 {
			time.Sleep(10 * time.Millisecond)
		}
		connection, err := net.DialTimeout("tcp", address, 200*time.Millisecond)
		if err != nil {
			return backends.IsConnectionRefused(err)
		}
		// The connection was opened only for the check.
		_ = connection.Close()
	}
	return false
}
