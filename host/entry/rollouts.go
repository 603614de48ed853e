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
	// recordTimeout bounds one write of a rollout's phase; recordRetryDelay is the time between two attempts.
	recordTimeout    = 2 * time.Second
	recordRetryDelay = time.Second
	// judgeInterval is the time between two evaluations of the evidence.
	judgeInterval = 250 * time.Millisecond
	// slowFactor times the service time of a cold run is the time from which a response counts as slow.
	slowFactor = 2
)

// runningRollout is a running rollout as this host sees it: a canary release whose share of requests depends on the evidence
// of all hosts.
type runningRollout struct {
	mu    sync.Mutex
	state rollout.ShortRollout
	// ownEvidence holds this host's evidence since it first saw the rollout. judgedEvidence is the sum of all hosts'
	// evidence that was judged so far.
	ownEvidence, judgedEvidence rollout.Batch
	// pendingBatch holds the evidence since lastBatchAt, for the next batch of the sequential test.
	pendingBatch rollout.Batch
	lastBatchAt  time.Duration
	// reports holds the latest evidence of each other host.
	reports map[string]*hostReport
	// recordMayBeLost is set after a restore of the store until the order is listed again.
	recordMayBeLost bool
	// nextRecordAt is the time from which the phase may be written to the store again. Only judge uses it.
	nextRecordAt time.Duration
	// newVersionCredit grows with each request by the new version's share; the new version gets a request once it reaches 1.
	newVersionCredit float64
}

// hostReport is the latest evidence of another host.
type hostReport struct {
	started  int64
	counts   rollout.Batch
	foundBad bool
}

// merge adds a report of the process that started at the given time, and reports whether it contains new evidence. Reports of
// an earlier process are ignored.
func (r *hostReport) merge(started int64, report RolloutReport) (isNew bool) {
	if started < r.started {
		return false
	}
	if started > r.started || r.counts == nil {
		*r = hostReport{started: started, counts: rollout.Batch{}}
	}
	for route, counts := range report.Counts {
		if countResponses(counts) > countResponses(r.counts[route]) {
			r.counts[route], isNew = counts, true
		}
	}
	isNew = isNew || report.FoundBad && !r.foundBad
	r.foundBad = r.foundBad || report.FoundBad
	return isNew
}

// countResponses returns the number of responses on a route, over all versions and servers.
func countResponses(counts rollout.RouteCounts) (n uint64) {
	n = uint64(counts.Old.Requests)
	for _, c := range counts.New {
		n += uint64(c.Requests)
	}
	return n
}

// SetRollouts replaces the operators' rollouts. A rollout goes on as before if its target and its duration are the same.
func (h *Host) SetRollouts(specs []rollout.ShortRolloutSpec) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.setRollouts(specs)
}

// setRollouts applies a list of orders, together with the rollouts that outlive a restore of the store. The caller holds h.mu.
func (h *Host) setRollouts(listed []rollout.ShortRolloutSpec) {
	now := h.now()
	specs, next := h.restrictRollouts(now, listed)
	if next == nil {
		next = make(map[string]*runningRollout, len(specs))
	}
	for _, spec := range specs {
		current := h.rollouts[spec.Service]
		if current == nil {
			current = h.removedRollout(spec)
		}
		if current == nil || !current.follows(spec) {
			current = &runningRollout{
				state: rollout.NewShortRollout(now, spec, 0), reports: map[string]*hostReport{}, ownEvidence: rollout.Batch{},
				judgedEvidence: rollout.Batch{},
			}
			h.log.Emit(events.MoveStep, "service", spec.Service, "target", spec.TargetVersion, "within", spec.Within,
				"recorded", spec.RecordedPhase)
		}
		current.updateSpec(spec)
		next[spec.Service] = current
	}
	for service, running := range h.rollouts {
		if next[service] == nil {
			h.restore.removedRollouts.add(now, service, running)
		}
	}
	h.rollouts = next
	h.publishView()
}

// follows reports whether the rollout goes on under the operator's specification: its target and its duration are the same.
func (r *runningRollout) follows(spec rollout.ShortRolloutSpec) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Spec.TargetVersion == spec.TargetVersion && r.state.Spec.Within == spec.Within
}

// awaitRecord makes the next specification decide which phase is recorded, since the store may have lost the record. This host
// writes the phase again then.
func (r *runningRollout) awaitRecord() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordMayBeLost = true
}

// updateSpec replaces the operator's specification by a newer one. A recorded phase that the newer one lacks is kept, unless the
// store may have lost it.
func (r *runningRollout) updateSpec(spec rollout.ShortRolloutSpec) {
	r.mu.Lock()
	defer r.mu.Unlock()
	recorded := spec.RecordedPhase
	if recorded == "" && !r.recordMayBeLost {
		recorded = r.state.Spec.RecordedPhase
	}
	r.recordMayBeLost = false
	r.state.Spec = spec
	r.state = r.state.WithRecordedPhase(recorded)
}

// versionFilter restricts a request to some versions of its service while a rollout runs. The zero value allows all.
type versionFilter struct {
	// only is the new version if the request has to run on it, except is the new version if it must not.
	only, except string
	// finished is set once the rollout has finished, so that only the new version is used.
	finished bool
	// canary is set if the request is one of the few that test the new version.
	canary bool
}

// allowsVersion reports whether a server of the version may get the request.
func (v versionFilter) allowsVersion(version string) bool {
	return (v.only == "" || version == v.only) && (v.except == "" || version != v.except)
}

// versionFilter returns the filter for the next request of the service.
func (h *Host) versionFilter(v *view, service string) versionFilter {
	running := v.rollouts[service]
	if running == nil {
		return versionFilter{}
	}
	running.mu.Lock()
	defer running.mu.Unlock()
	target := running.state.Spec.TargetVersion
	share := running.state.Share(h.now(), h.limits.Load().ExposureShare)
	if share >= 1 {
		return versionFilter{only: target, finished: running.state.Phase == rollout.Finished}
	}
	running.newVersionCredit = min(running.newVersionCredit+share, 2)
	if running.newVersionCredit >= 1 {
		running.newVersionCredit--
		return versionFilter{only: target, canary: true}
	}
	return versionFilter{except: target}
}

// observation collects the evidence of one request about a rollout of its service. A nil observation does nothing.
type observation struct {
	runningRollout *runningRollout
	server         *server
	route          string
	timer          *time.Timer
	once           sync.Once
}

// observe starts the observation of a request to the server; it returns nil if no rollout of the service runs. A request
// without a response after slowAfter counts as slow immediately, since the responses of a slow version would come too late to
// revert it.
func (h *Host) observe(v *view, s *server, route string, slowAfter time.Duration) *observation {
	running := v.rollouts[s.Service]
	if running == nil {
		return nil
	}
	o := &observation{runningRollout: running, server: s, route: route}
	o.timer = time.AfterFunc(slowAfter, func() { o.record(false, true) })
	return o
}

// close ends the observation. If no outcome was recorded, the request does not count as evidence.
func (o *observation) close() {
	if o != nil {
		o.timer.Stop()
	}
}

// record adds the outcome of the request; only the first call counts. Only an error response of the server is a failure: a
// lost or damaged response counts as slow, because the network loses the responses of all versions alike.
func (o *observation) record(failed, slow bool) {
	if o != nil {
		o.once.Do(func() { o.runningRollout.addOutcome(o.server, o.route, failed, slow) })
	}
}

// addOutcome adds the outcome of a request to this host's evidence.
func (r *runningRollout) addOutcome(s *server, route string, failed, slow bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := rollout.Counts{Requests: 1, LatencySamples: 1}
	if failed {
		counts.Failed = 1
	}
	if slow {
		counts.Slow = 1
	}
	routeCounts := r.ownEvidence[route]
	if s.Version == r.state.Spec.TargetVersion {
		if routeCounts.New == nil {
			routeCounts.New = map[uint8]rollout.Counts{}
		}
		serverIndex := uint8(s.hash % rollout.MaxServers)
		routeCounts.New[serverIndex] = routeCounts.New[serverIndex].Plus(counts)
	} else {
		routeCounts.Old = routeCounts.Old.Plus(counts)
	}
	r.ownEvidence[route] = routeCounts
}

// handleRolloutMessage stores another host's report on a rollout, and returns whether it contains new evidence.
func (h *Host) handleRolloutMessage(now time.Duration, message *RolloutMessage) (isNew bool) {
	running := h.view.Load().rollouts[message.Report.Service]
	if running == nil {
		return false
	}
	running.mu.Lock()
	defer running.mu.Unlock()
	if running.state.Spec.Revision != message.Report.Revision {
		return false
	}
	previous := running.reports[message.Host]
	if previous == nil {
		previous = &hostReport{}
		running.reports[message.Host] = previous
	}
	isNew = previous.merge(message.Started, message.Report)
	running.state = running.state.WithElapsed(now, time.Duration(message.Report.ElapsedMS)*time.Millisecond)
	if message.Report.FoundBad {
		running.state = running.state.WithRevert("found bad by host " + message.Host)
	}
	return isNew
}

// rolloutReports returns this host's reports on running rollouts.
func (h *Host) rolloutReports() (reports []RolloutReport) {
	v := h.view.Load()
	now := h.now()
	for _, service := range slices.Sorted(maps.Keys(v.rollouts)) {
		running := v.rollouts[service]
		running.mu.Lock()
		if !running.state.Spec.RecordedPhase.Terminal() && len(reports) < maxRolloutReports {
			report := RolloutReport{
				Service: service, Revision: running.state.Spec.Revision, ElapsedMS: running.state.Elapsed(now).Milliseconds(),
				FoundBad: running.state.Phase == rollout.Reverted,
			}
			reports = append(reports, splitByRoute(report, running.ownEvidence)...)
		}
		running.mu.Unlock()
	}
	return reports
}

// splitByRoute splits the evidence into reports of one route each, since the evidence on several routes may not fit one
// message. Without evidence it returns one report, with the elapsed time and the verdict.
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

// judgeRollouts evaluates the running rollouts until ctx is cancelled.
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

// isWidening reports whether a rollout is widening, so that evidence has to spread quickly.
func (h *Host) isWidening() bool {
	for _, running := range h.view.Load().rollouts {
		running.mu.Lock()
		phase := running.state.Phase
		running.mu.Unlock()
		if phase == rollout.Widening {
			return true
		}
	}
	return false
}

// judge evaluates the new evidence, moves the rollout to its next phase if needed, and records the phase.
func (h *Host) judge(ctx context.Context, running *runningRollout) {
	running.mu.Lock()
	phaseBefore := running.state.Phase
	total := cloneBatch(running.ownEvidence)
	for _, report := range running.reports {
		total = total.Plus(report.counts)
	}
	batch := batchSince(total, running.judgedEvidence)
	running.judgedEvidence = total
	now := h.now()
	running.state = running.state.WithResponses(batch)
	running.pendingBatch = running.pendingBatch.Plus(batch)
	if now-running.lastBatchAt >= rollout.BatchInterval {
		running.state = running.state.WithBatch(running.pendingBatch)
		running.pendingBatch, running.lastBatchAt = nil, now
	}
	running.state = running.state.Next(now)
	state := running.state
	running.mu.Unlock()
	if state.Phase != phaseBefore {
		h.log.Emit(events.MoveStep, "service", state.Spec.Service, "target", state.Spec.TargetVersion, "phase", state.Phase,
			"reason", state.Reason, "answers", state.TargetResponses, "elapsed", state.Elapsed(h.now()))
	}
	h.recordPhase(ctx, running, state)
}

// batchSince returns the evidence in total that before does not contain yet.
func batchSince(total, before rollout.Batch) rollout.Batch {
	batch := rollout.Batch{}
	for route, counts := range total {
		old := before[route]
		diff := rollout.RouteCounts{Old: subtractCounts(counts.Old, old.Old), New: map[uint8]rollout.Counts{}}
		for serverIndex, c := range counts.New {
			if d := subtractCounts(c, old.New[serverIndex]); d.Requests > 0 {
				diff.New[serverIndex] = d
			}
		}
		if diff.Old.Requests > 0 || len(diff.New) > 0 {
			batch[route] = diff
		}
	}
	return batch
}

// subtractCounts returns total minus before. It returns zero counts if total is the lower one, since a host has restarted and
// counts from zero.
func subtractCounts(total, before rollout.Counts) rollout.Counts {
	if total.Requests < before.Requests {
		return rollout.Counts{}
	}
	sub := func(x, y uint32) uint32 { return x - min(x, y) }
	return rollout.Counts{
		Requests: total.Requests - before.Requests, Failed: sub(total.Failed, before.Failed),
		LatencySamples: sub(total.LatencySamples, before.LatencySamples),
		Slow:           sub(total.Slow, before.Slow),
	}
}

// recordPhase writes a new phase to the store. Any host records that a version is bad; other phases are recorded by the
// leader.
func (h *Host) recordPhase(ctx context.Context, running *runningRollout, state rollout.ShortRollout) {
	phase := state.Phase
	if phase == rollout.Widening {
		phase = rollout.Proving
	}
	if h.options.RolloutRecorder == nil || state.Spec.RecordedPhase == phase || h.now() < running.nextRecordAt ||
		phase != rollout.Reverted && !h.fleet.isLeader() {
		return
	}
	running.nextRecordAt = h.now() + recordRetryDelay
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	recorded, err := h.options.RolloutRecorder.Record(ctx, state.Spec, phase)
	if err != nil {
		h.log.Emit(events.MoveRecordFailed, "service", state.Spec.Service, "phase", phase, "error", err)
		return
	}
	h.log.Emit(phaseEvent(recorded), "service", state.Spec.Service, "target", state.Spec.TargetVersion, "reason", state.Reason)
	running.mu.Lock()
	running.state = running.state.WithRecordedPhase(recorded)
	running.mu.Unlock()
}

func phaseEvent(phase rollout.Phase) events.Event {
	switch phase {
	case rollout.Finished:
		return events.MoveFinished
	case rollout.Reverted:
		return events.MoveReverted
	}
	return events.MoveStep
}
