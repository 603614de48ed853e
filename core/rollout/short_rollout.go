package rollout

import (
	"math"
	"time"
)

// ShortRolloutSpec is an operator's request to move a service to a version within a time that is too short for the steps of Plan.
type ShortRolloutSpec struct {
	Service string
	// TargetVersion is the version that shall receive all requests.
	TargetVersion string
	Within        time.Duration
	// Revision changes with each order for the service.
	Revision uint64
	// RecordedPhase is the phase that the store has, empty before one was recorded.
	RecordedPhase Phase
}

// The schedule of a trial, as parts of the order's time.
const (
	// provingEnd is the part in which the share stays at the proving share.
	provingEnd = 0.42
	// lastWidening is the latest begin of the widening that can still finish in time.
	lastWidening = 0.55
	// pulse is how long all requests go to the target, at the begin of the widening and again at secondPulse. In between and
	// until allAt the answers are awaited at the proving share. All count from the begin of the widening.
	pulse       = 0.03
	secondPulse = 0.13
	allAt       = 0.25
	// finishAt ends the trial; before it all requests go to the target, so that the old version's requests have ended.
	finishAt = 0.9
	// giveUpAt is when a trial without enough evidence is taken back.
	giveUpAt = 0.8

	// reportsHeard is the time in which a host that joins hears the evidence of the others.
	reportsHeard = 2 * time.Second
	// minEvidence is the number of answers of the target below which it is not widened.
	minEvidence = 12
	// excludedFailures and excludedSlow are the sizes of fault that a trial has to exclude before it finishes.
	excludedFailures = 0.2
	excludedSlow     = 0.5
	// badDeviations standard deviations more failures, or slow answers, than the old version has in the same time take the
	// version back: the sequential test would let it have too many requests. doubtDeviations keep it from getting more.
	badDeviations   = 3.5
	doubtDeviations = 2.5
	// leastFailures and leastSlow are the parts of failures and slow answers that the old version counts as having at least;
	// more of the target's are slow while its caches are empty.
	leastFailures = 0.02
	leastSlow     = 0.2
	// leastEffect is the part of additional failures below which many answers are no reason to act at once.
	leastEffect = 0.1
	// provingPart of the allowed exposure leaves room for the widening of a version that fails only under load. A service
	// with little traffic proves its target with more of it, up to maxProving, to get provingAnswers in time.
	provingPart    = 0.6
	provingAnswers = 20
	maxProving     = 0.25
)

// ShortRollout is a short rollout at one moment, as one host sees it. It is immutable.
type ShortRollout struct {
	Spec    ShortRolloutSpec
	Phase   Phase
	Started time.Duration
	Judge   Judge
	// TargetResponses counts the answers of the target, allResponses those of every version.
	TargetResponses, allResponses uint64
	// recentNew and recentOld count the answers since the phase began.
	recentNew, recentOld Counts
	// widened is when the widening began, joined when this host began to follow the trial.
	widened, joined time.Duration
	Reason          string
}

// NewShortRollout returns the trial of an order that was given elapsed ago.
func NewShortRollout(now time.Duration, order ShortRolloutSpec, elapsed time.Duration) ShortRollout {
	t := ShortRollout{Spec: order, Phase: Proving, Started: now - elapsed, joined: now, Judge: NewJudge(int(order.Within/BatchInterval), 1), Reason: "started"}
	return t.WithRecordedPhase(order.RecordedPhase)
}

// WithRecordedPhase returns the trial after the store's phase was read; a phase that ended the rollout is final.
func (t ShortRollout) WithRecordedPhase(phase Phase) ShortRollout {
	t.Spec.RecordedPhase = phase
	if phase.Terminal() && t.Phase != phase {
		t.Phase, t.Reason = phase, "recorded in the store"
	}
	return t
}

// WithElapsed returns the trial after another host stated how long ago the order was given.
func (t ShortRollout) WithElapsed(now, elapsed time.Duration) ShortRollout {
	t.Started = min(t.Started, now-elapsed)
	return t
}

// WithBatch returns the trial with the evidence of the last BatchEvery over all hosts, at most one call for each.
func (t ShortRollout) WithBatch(batch Batch) ShortRollout {
	if !t.Phase.Terminal() {
		t.Judge = t.Judge.Add(batch, EffectSize{Failures: excludedFailures, Slow: excludedSlow})
	}
	return t
}

// WithResponses returns the trial after more answers over all hosts, which may be part of a later batch.
func (t ShortRollout) WithResponses(answers Batch) ShortRollout {
	if t.Phase.Terminal() {
		return t
	}
	for _, counts := range answers {
		for _, c := range counts.New {
			t.TargetResponses += uint64(c.Requests)
			t.allResponses += uint64(c.Requests)
			t.recentNew = t.recentNew.Plus(c)
		}
		t.allResponses += uint64(counts.Old.Requests)
		t.recentOld = t.recentOld.Plus(counts.Old)
	}
	return t
}

// WithRevert returns the trial after another host found the version bad.
func (t ShortRollout) WithRevert(reason string) ShortRollout {
	if !t.Phase.Terminal() {
		t.Phase, t.Reason = Reverted, reason
	}
	return t
}

// Next returns the trial at a later time.
func (t ShortRollout) Next(now time.Duration) ShortRollout {
	if t.Phase.Terminal() {
		return t
	}
	if reason, bad := t.Judge.Regression(); bad {
		return t.WithRevert(reason)
	}
	if t.failsWide() {
		return t.WithRevert("fails since it was widened")
	}
	part := t.part(now)
	ready := t.TargetResponses >= minEvidence && !t.doubtful()
	switch {
	case part >= giveUpAt && t.TargetResponses < minEvidence:
		if now-t.joined < reportsHeard {
			return t
		}
		return t.WithRevert("too little traffic to judge the version in time")
	case part >= giveUpAt && (t.Phase == Proving && !t.late() || t.doubtful()), part >= finishAt && t.unproved():
		return t.WithRevert("too much fails to tell whether the version is good")
	case part >= finishAt:
		t.Phase, t.Reason = Finished, "no evidence against the version"
	case t.Phase == Proving && t.late() && ready:
		// The other hosts widened the version before this one joined.
		t.Phase, t.Reason, t.widened = Widening, "joined a running trial", t.Started+time.Duration(provingEnd*float64(t.Spec.Within))
	case t.Phase == Proving && part >= provingEnd && part <= lastWidening && ready:
		// A version may fail from a certain load on; what it did before would hide that.
		t.Phase, t.Reason, t.widened, t.recentNew, t.recentOld = Widening, "no evidence against the version so far", now, Counts{}, Counts{}
	}
	return t
}

// late reports whether this host joined when the others had proved the version.
func (t ShortRollout) late() bool { return t.part(t.joined) > provingEnd }

// unproved reports whether the answers of a route speak rather for a fault than against it.
func (t ShortRollout) unproved() bool {
	for _, v := range t.Judge.routes {
		if v.requests >= minEvidence && v.failures.passed < 0 {
			return true
		}
	}
	return false
}

// failsWide reports whether the target fails more than the old version since it was widened.
func (t ShortRollout) failsWide() bool { return t.Phase == Widening && t.worse(badDeviations) }

// doubtful reports whether the target seems to fail more than the old version in this phase.
func (t ShortRollout) doubtful() bool { return t.worse(doubtDeviations) }

// worse reports whether the target's failures or slow answers in this phase lie above the old version's part of them.
func (t ShortRollout) worse(deviations float64) bool {
	return above(t.recentNew.Requests, t.recentNew.Failed, t.recentOld.Requests, t.recentOld.Failed, leastFailures, deviations) ||
		above(t.recentNew.LatencySamples, t.recentNew.Slow, t.recentOld.LatencySamples, t.recentOld.Slow, leastSlow, deviations)
}

// above reports whether hits of n are more than the part oldHits of oldN, which is at least least, explains.
func above(n, hits, oldN, oldHits uint32, least, deviations float64) bool {
	part := max(float64(oldHits)/float64(max(oldN, 1)), least)
	mean := float64(n) * part
	return float64(hits) >= mean+max(deviations*math.Sqrt(mean*(1-part))+1, leastEffect*float64(n))
}

func (t ShortRollout) part(now time.Duration) float64 {
	return float64(now-t.Started) / float64(max(t.Spec.Within, time.Second))
}

// Elapsed is the time since the order was given.
func (t ShortRollout) Elapsed(now time.Duration) time.Duration { return now - t.Started }

// Share is the part of the service's requests that go to the target; exposure is the part that an unproved version may get.
func (t ShortRollout) Share(now time.Duration, exposure float64) float64 {
	switch t.Phase {
	case Finished:
		return 1
	case Reverted:
		return 0
	case Widening:
		if t.doubtful() {
			return t.provingShare(now, exposure)
		}
		part := t.part(now) - t.part(t.widened)
		if part < pulse || part >= secondPulse && part < secondPulse+pulse || part >= allAt {
			return 1
		}
	}
	return t.provingShare(now, exposure)
}

// provingShare is the share with which the target is proved at the rate of answers so far.
func (t ShortRollout) provingShare(now time.Duration, exposure float64) float64 {
	least := exposure * provingPart
	elapsed := t.Elapsed(now).Seconds()
	if elapsed < 1 || t.allResponses == 0 {
		return least
	}
	expected := float64(t.allResponses) / elapsed * provingEnd * t.Spec.Within.Seconds()
	return min(max(least, provingAnswers/expected), max(maxProving, least))
}
