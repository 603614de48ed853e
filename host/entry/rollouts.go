package entry

import (
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
