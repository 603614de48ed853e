package entry

import (
	"context"
	"maps"
	"slices"
	"time"

	"vanillatally/core/rollout"
	"vanillatally/io/events"
)

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
