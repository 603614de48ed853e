package entry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"vanillatally/core/rollout"
	"vanillatally/io/events"
)

const (
	// recordTimeout bounds one write of a rollout's phase, recordPause the time between two tries.
	recordTimeout    = 2 * time.Second
	recordRetryDelay = time.Second
	// judgeInterval is the time between two looks at the evidence.
	judgeInterval = 250 * time.Millisecond
	// slowFactor times the time of a run without the object at hand makes an answer slow.
	slowFactor = 2
)

// runningRollout is a running rollout as this host sees it.
type runningRollout struct {
	mu    sync.Mutex
	state rollout.ShortRollout
	// ownEvidence is the evidence of this host since the order; judgedEvidence is the sum of all evidence that was judged.
	ownEvidence, judgedEvidence rollout.Batch
	// pendingBatch is the evidence since the last pendingBatch for the sequential test, which ends at batchAt.
	pendingBatch rollout.Batch
	lastBatchAt  time.Duration
	// reports holds the newest evidence of each other host.
	reports map[string]*hostReport
	// nextRecordAt is when the phase may be written again; only judge uses it.
	nextRecordAt time.Duration
	// requestCredit is the part of a request that the target is owed.
	requestCredit float64
}

// hostReport is the newest evidence of another host.
type hostReport struct {
	started  int64
	counts   rollout.Batch
	foundBad bool
}

// merge takes in a report and reports whether it says more than those before, of the same process or an earlier one.
func (r *hostReport) merge(started int64, report RolloutReport) (fresh bool) {
	if started < r.started {
		return false
	}
	if started > r.started || r.counts == nil {
		*r = hostReport{started: started, counts: rollout.Batch{}}
	}
	for route, counts := range report.Counts {
		if countAnswers(counts) > countAnswers(r.counts[route]) {
			r.counts[route], fresh = counts, true
		}
	}
	fresh = fresh || report.FoundBad && !r.foundBad
	r.foundBad = r.foundBad || report.FoundBad
	return fresh
}

// countAnswers counts the countAnswers of a route.
func countAnswers(counts rollout.RouteCounts) (n uint64) {
	n = uint64(counts.Old.Requests)
	for _, c := range counts.New {
		n += uint64(c.Requests)
	}
	return n
}

// SetRollouts takes in the operators' rollouts by service.
func (h *Host) SetRollouts(orders []rollout.ShortRolloutSpec) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	next := make(map[string]*runningRollout, len(orders))
	for _, order := range orders {
		known := h.rollouts[order.Service]
		if known == nil || known.state.Spec.TargetVersion != order.TargetVersion || known.state.Spec.Within != order.Within {
			known = &runningRollout{state: rollout.NewShortRollout(now, order, 0), reports: map[string]*hostReport{}, ownEvidence: rollout.Batch{}, judgedEvidence: rollout.Batch{}}
			h.log.Emit(events.MoveStep, "service", order.Service, "target", order.TargetVersion, "within", order.Within, "recorded", order.RecordedPhase)
		}
		known.updateOrder(order)
		next[order.Service] = known
	}
	h.rollouts = next
	h.publishView()
}

func (t *runningRollout) updateOrder(order rollout.ShortRolloutSpec) {
	t.mu.Lock()
	defer t.mu.Unlock()
	recorded := order.RecordedPhase
	if recorded == "" {
		recorded = t.state.Spec.RecordedPhase
	}
	t.state.Spec = order
	t.state = t.state.WithRecordedPhase(recorded)
}

// versionFilter restricts a request to some versionFilter of its service while a rollout runs.
type versionFilter struct {
	// only or except is the target of the rollout, the other one is empty.
	only, except string
	// finished is set when the service has finished to only for good.
	finished bool
	// partial is set while only is on trial with a part of the requests.
	partial bool
}

// allowsVersion reports whether a server of the version may get the request.
func (v versionFilter) allowsVersion(version string) bool {
	return (v.only == "" || version == v.only) && (v.except == "" || version != v.except)
}

// versionFilter tells which versionFilter the next request of the service may go to.
func (h *Host) versionFilter(v *view, service string) versionFilter {
	t := v.rollouts[service]
	if t == nil {
		return versionFilter{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	target := t.state.Spec.TargetVersion
	part := t.state.Share(h.now(), h.limits.Load().ExposureShare)
	if part >= 1 {
		return versionFilter{only: target, finished: t.state.Phase == rollout.Finished}
	}
	t.requestCredit = min(t.requestCredit+part, 2)
	if t.requestCredit >= 1 {
		t.requestCredit--
		return versionFilter{only: target, partial: true}
	}
	return versionFilter{except: target}
}

// observation is what one request tells about a rollout of its service; nil stands for no rollout.
type observation struct {
	runningRollout *runningRollout
	server         *server
	route          string
	timer          *time.Timer
	once           sync.Once
}

// observe begins the observation of a request to the server. A request without an answer after slowAfter counts as slow
// at once, since the answers of a slow version would come too late.
func (h *Host) observe(v *view, s *server, route string, slowAfter time.Duration) *observation {
	t := v.rollouts[s.Service]
	if t == nil {
		return nil
	}
	e := &observation{runningRollout: t, server: s, route: route}
	e.timer = time.AfterFunc(slowAfter, func() { e.record(false, true) })
	return e
}

// close ends the observation; a request without an outcome says nothing.
func (e *observation) close() {
	if e != nil {
		e.timer.Stop()
	}
}

// record notes the outcome of the request, the first one only. Only a server's own error is a failure: an answer that was
// lost or spoilt on its way counts as slow, because networks lose the answers of every version alike.
func (e *observation) record(failed, slow bool) {
	if e != nil {
		e.once.Do(func() { e.runningRollout.addOutcome(e.server, e.route, failed, slow) })
	}
}

func (t *runningRollout) addOutcome(s *server, route string, failed, slow bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := rollout.Counts{Requests: 1, LatencySamples: 1}
	if failed {
		counts.Failed = 1
	}
	if slow {
		counts.Slow = 1
	}
	of := t.ownEvidence[route]
	if s.Version == t.state.Spec.TargetVersion {
		if of.New == nil {
			of.New = map[uint8]rollout.Counts{}
		}
		machine := uint8(s.hash % rollout.MaxServers)
		of.New[machine] = of.New[machine].Plus(counts)
	} else {
		of.Old = of.Old.Plus(counts)
	}
	t.ownEvidence[route] = of
}

// handleRolloutMessage takes in what another host reports of a rollout, and reports whether it was not known.
func (h *Host) handleRolloutMessage(now time.Duration, m *RolloutMessage) (fresh bool) {
	t := h.view.Load().rollouts[m.Report.Service]
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state.Spec.Revision != m.Report.Revision {
		return false
	}
	heard := t.reports[m.Host]
	if heard == nil {
		heard = &hostReport{}
		t.reports[m.Host] = heard
	}
	fresh = heard.merge(m.Started, m.Report)
	t.state = t.state.WithElapsed(now, time.Duration(m.Report.ElapsedMS)*time.Millisecond)
	if m.Report.FoundBad {
		t.state = t.state.WithRevert("found bad by host " + m.Host)
	}
	return fresh
}

// rolloutReports returns what the other hosts need to know of running rollouts.
func (h *Host) rolloutReports() (reports []RolloutReport) {
	v := h.view.Load()
	now := h.now()
	for _, service := range slices.Sorted(maps.Keys(v.rollouts)) {
		t := v.rollouts[service]
		t.mu.Lock()
		if !t.state.Spec.RecordedPhase.Terminal() && len(reports) < maxRolloutReports {
			report := RolloutReport{
				Service: service, Revision: t.state.Spec.Revision, ElapsedMS: t.state.Elapsed(now).Milliseconds(),
				FoundBad: t.state.Phase == rollout.Reverted,
			}
			reports = append(reports, splitByRoute(report, t.ownEvidence)...)
		}
		t.mu.Unlock()
	}
	return reports
}

// splitByRoute divides evidence among reports of one route each, since several may not fit one message. Without evidence the time
// and the verdict are reported.
func splitByRoute(report RolloutReport, counts rollout.Batch) (reports []RolloutReport) {
	if len(counts) == 0 {
		return []RolloutReport{report}
	}
	routes := slices.Sorted(maps.Keys(counts))
	for _, route := range routes[:min(len(routes), maxRolloutRoutes)] {
		report.Counts = cloneBatch(rollout.Batch{route: counts[route]})
		reports = append(reports, report)
	}
	return reports
}

func cloneBatch(b rollout.Batch) rollout.Batch { return rollout.Batch{}.Plus(b) }

// judgeRollouts judges the running rollouts until ctx ends.
func (h *Host) judgeRollouts(ctx context.Context) error {
	ticker := time.NewTicker(judgeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		v := h.view.Load()
		for _, service := range slices.Sorted(maps.Keys(v.rollouts)) {
			h.judge(ctx, v.rollouts[service])
		}
	}
}

// isWidening reports whether a rollout is being widened, so that evidence has to travel fast.
func (h *Host) isWidening() bool {
	for _, t := range h.view.Load().rollouts {
		t.mu.Lock()
		phase := t.state.Phase
		t.mu.Unlock()
		if phase == rollout.Widening {
			return true
		}
	}
	return false
}

// judge takes one step of a rollout and records its end.
func (h *Host) judge(ctx context.Context, t *runningRollout) {
	t.mu.Lock()
	before := t.state.Phase
	total := cloneBatch(t.ownEvidence)
	for _, report := range t.reports {
		total = total.Plus(report.counts)
	}
	batch := batchSince(total, t.judgedEvidence)
	t.judgedEvidence = total
	now := h.now()
	t.state = t.state.WithResponses(batch)
	t.pendingBatch = t.pendingBatch.Plus(batch)
	if now-t.lastBatchAt >= rollout.BatchInterval {
		t.state = t.state.WithBatch(t.pendingBatch)
		t.pendingBatch, t.lastBatchAt = nil, now
	}
	t.state = t.state.Next(now)
	state := t.state
	t.mu.Unlock()
	if state.Phase != before {
		h.log.Emit(events.MoveStep, "service", state.Spec.Service, "target", state.Spec.TargetVersion, "phase", state.Phase,
			"reason", state.Reason, "answers", state.TargetResponses, "elapsed", state.Elapsed(h.now()))
	}
	h.recordPhase(ctx, t, state)
}

// batchSince returns what total has more than before.
func batchSince(total, before rollout.Batch) rollout.Batch {
	batch := rollout.Batch{}
	for route, counts := range total {
		old := before[route]
		diff := rollout.RouteCounts{Old: subtractCounts(counts.Old, old.Old), New: map[uint8]rollout.Counts{}}
		for machine, c := range counts.New {
			if d := subtractCounts(c, old.New[machine]); d.Requests > 0 {
				diff.New[machine] = d
			}
		}
		if diff.Old.Requests > 0 || len(diff.New) > 0 {
			batch[route] = diff
		}
	}
	return batch
}

// subtractCounts returns the difference, 0 where a restarted host's counts begin again.
func subtractCounts(a, b rollout.Counts) rollout.Counts {
	if a.Requests < b.Requests {
		return rollout.Counts{}
	}
	sub := func(x, y uint32) uint32 { return x - min(x, y) }
	return rollout.Counts{
		Requests: a.Requests - b.Requests, Failed: sub(a.Failed, b.Failed),
		LatencySamples: sub(a.LatencySamples, b.LatencySamples), Slow: sub(a.Slow, b.Slow),
	}
}

// recordPhase writes a new phase to the store. Any host records a bad version; one host records the rest.
func (h *Host) recordPhase(ctx context.Context, t *runningRollout, state rollout.ShortRollout) {
	due := state.Phase
	if due == rollout.Widening {
		due = rollout.Proving
	}
	if h.options.RolloutRecorder == nil || state.Spec.RecordedPhase == due || h.now() < t.nextRecordAt || due != rollout.Reverted && !h.fleet.isLeader() {
		return
	}
	t.nextRecordAt = h.now() + recordRetryDelay
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	recorded, err := h.options.RolloutRecorder.Record(ctx, state.Spec, due)
	if err != nil {
		h.log.Emit(events.MoveNotRecorded, "service", state.Spec.Service, "phase", due, "error", err)
		return
	}
	h.log.Emit(phaseEvent(recorded), "service", state.Spec.Service, "target", state.Spec.TargetVersion, "reason", state.Reason)
	t.mu.Lock()
	t.state = t.state.WithRecordedPhase(recorded)
	t.mu.Unlock()
}

func phaseEvent(phase rollout.Phase) events.Event {
	switch phase {
	case rollout.Finished:
		return events.MoveDone
	case rollout.Reverted:
		return events.MoveReverted
	}
	return events.MoveStep
}
