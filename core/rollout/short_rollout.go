package rollout

import (
	"math"
	"time"
)

// ShortRolloutSpec is an operator's request to move a service to another version in a time that is too short for the steps
// of Plan.
type ShortRolloutSpec struct {
	Service string
	// TargetVersion is the version that is to receive all requests.
	TargetVersion string
	Within        time.Duration
	// Revision changes with each request of an operator for the service.
	Revision uint64
	// RecordedPhase is the phase in the store, empty before one was recorded.
	RecordedPhase Phase
}

// The schedule of a short rollout: times as parts of the time from the operator's request to the deadline.
const (
	// provingEnd is when the share may rise above the proving share.
	provingEnd = 0.42
	// latestWidening is the latest begin of the widening from which the rollout can still finish in time.
	latestWidening = 0.55
	// All requests go to the target version for burstLength at the begin of the widening and again from secondBurstAt on,
	// and for good from allTrafficAt on. In between, the share is the proving share until the responses are known. These
	// times count from the begin of the widening.
	burstLength   = 0.03
	secondBurstAt = 0.13
	allTrafficAt  = 0.25
	// finishAt is when the rollout finishes. All requests went to the target version for some time before, so that the old
	// version's requests have ended.
	finishAt = 0.9
	// decideBy is when a version with too few responses or too many failures to decide is rolled back.
	decideBy = 0.8

	// evidenceSyncTime is the time in which a host that joins a running rollout receives the counts of the other hosts.
	evidenceSyncTime = 2 * time.Second
	// minTargetResponses is the number of the target version's responses below which its share isn't widened.
	minTargetResponses = 12
	// excludedFailures and excludedSlow are the fault size that has to be ruled out before the rollout finishes.
	excludedFailures = 0.2
	excludedSlow     = 0.5
	// A version is rolled back when its failures or slow responses exceed the old version's in the same time by
	// revertDeviations standard deviations; the sequential test alone would let it have too many requests. From
	// pauseDeviations on its share isn't raised.
	revertDeviations = 3.5
	pauseDeviations  = 2.5
	// minBaselineFailures and minBaselineSlow are lower bounds of the old version's shares of failed and of slow responses
	// in this comparison; more of the target version's responses are slow while its caches are empty.
	minBaselineFailures = 0.02
	minBaselineSlow     = 0.2
	// minIncrease is the increase of a share below which no immediate rollback happens, however many responses there are.
	minIncrease = 0.1
	// provingExposurePart is the part of the allowed exposure that the proving share uses; the rest is left for the widening
	// of a version that fails only under load. A service with little traffic uses more, up to maxProvingShare, to get
	// provingResponses in time.
	provingExposurePart = 0.6
	provingResponses    = 20
	maxProvingShare     = 0.25
)

// ShortRollout is a rollout with a short deadline at one moment. Each host decides it by itself, from the counts of all
// hosts. It is immutable: the methods return a new value.
type ShortRollout struct {
	Spec    ShortRolloutSpec
	Phase   Phase
	Started time.Duration
	Judge   Judge
	// TargetResponses counts the responses of the target version, allResponses those of all versions.
	TargetResponses, allResponses uint64
	// phaseNew and phaseOld count the responses of the target and the old version since the phase began.
	phaseNew, phaseOld Counts
	// widenedAt is when the widening began, joinedAt when this host began to follow the rollout.
	widenedAt, joinedAt time.Duration
	Reason              string
}

// NewShortRollout returns the rollout of a request that an operator made elapsed ago.
func NewShortRollout(now time.Duration, spec ShortRolloutSpec, elapsed time.Duration) ShortRollout {
	t := ShortRollout{
		Spec: spec, Phase: Proving, Started: now - elapsed, joinedAt: now,
		Judge: NewJudge(int(spec.Within/BatchInterval), 1), Reason: "started",
	}
	return t.WithRecordedPhase(spec.RecordedPhase)
}

// WithRecordedPhase returns the rollout after the phase was read from the store; a phase that ended the rollout is final.
func (t ShortRollout) WithRecordedPhase(phase Phase) ShortRollout {
	t.Spec.RecordedPhase = phase
	if phase.Terminal() && t.Phase != phase {
		t.Phase, t.Reason = phase, "recorded in the store"
	}
	return t
}

// WithElapsed returns the rollout after another host reported how long ago the operator's request was made.
func (t ShortRollout) WithElapsed(now, elapsed time.Duration) ShortRollout {
	t.Started = min(t.Started, now-elapsed)
	return t
}

// WithBatch returns the rollout with the counts of the last BatchInterval, summed over all hosts. It is called at most once
// for each interval.
func (t ShortRollout) WithBatch(batch Batch) ShortRollout {
	if !t.Phase.Terminal() {
		t.Judge = t.Judge.Add(batch, EffectSize{Failures: excludedFailures, Slow: excludedSlow})
	}
	return t
}

// WithResponses returns the rollout after more responses, summed over all hosts. They may be part of a later batch too.
func (t ShortRollout) WithResponses(responses Batch) ShortRollout {
	if t.Phase.Terminal() {
		return t
	}
	for _, counts := range responses {
		for _, c := range counts.New {
			t.TargetResponses += uint64(c.Requests)
			t.allResponses += uint64(c.Requests)
			t.phaseNew = t.phaseNew.Plus(c)
		}
		t.allResponses += uint64(counts.Old.Requests)
		t.phaseOld = t.phaseOld.Plus(counts.Old)
	}
	return t
}

// WithRevert returns the rollout after this host or another one found the version worse.
func (t ShortRollout) WithRevert(reason string) ShortRollout {
	if !t.Phase.Terminal() {
		t.Phase, t.Reason = Reverted, reason
	}
	return t
}

// Next returns the rollout at a later time.
func (t ShortRollout) Next(now time.Duration) ShortRollout {
	if t.Phase.Terminal() {
		return t
	}
	if reason, bad := t.Judge.Regression(); bad {
		return t.WithRevert(reason)
	}
	if t.regressedSinceWidening() {
		return t.WithRevert("fails since it was widened")
	}
	part := t.elapsedPart(now)
	ready := t.TargetResponses >= minTargetResponses && !t.maybeRegressed()
	switch {
	case part >= decideBy && t.TargetResponses < minTargetResponses:
		if now-t.joinedAt < evidenceSyncTime {
			return t
		}
		return t.WithRevert("too little traffic to judge the version in time")
	case part >= decideBy && (t.Phase == Proving && !t.joinedLate() || t.maybeRegressed()), part >= finishAt && t.likelyFaulty():
		return t.WithRevert("too much fails to tell whether the version is good")
	case part >= finishAt:
		t.Phase, t.Reason = Finished, "no evidence against the version"
	case t.Phase == Proving && t.joinedLate() && ready:
		// The other hosts widened the version before this one joined.
		t.Phase, t.Reason, t.widenedAt = Widening, "joined a running trial",
			t.Started+time.Duration(provingEnd*float64(t.Spec.Within))
	case t.Phase == Proving && part >= provingEnd && part <= latestWidening && ready:
		// The version may fail only above a certain load: responses from before the widening would hide that.
		t.Phase, t.Reason, t.widenedAt, t.phaseNew, t.phaseOld = Widening, "no evidence against the version so far", now, Counts{}, Counts{}
	}
	return t
}

// joinedLate reports whether the proving phase was over when this host began to follow the rollout.
func (t ShortRollout) joinedLate() bool { return t.elapsedPart(t.joinedAt) > provingEnd }

// likelyFaulty reports whether the failures on a route are more likely under a fault than without one.
func (t ShortRollout) likelyFaulty() bool {
	for _, v := range t.Judge.routes {
		if v.requests >= minTargetResponses && v.failures.passLogRatio < 0 {
			return true
		}
	}
	return false
}

// regressedSinceWidening reports whether the target version fails significantly more than the old one since the widening.
func (t ShortRollout) regressedSinceWidening() bool {
	return t.Phase == Widening && t.exceedsBaseline(revertDeviations)
}

// maybeRegressed reports whether the target version seems to fail more than the old one in this phase.
func (t ShortRollout) maybeRegressed() bool { return t.exceedsBaseline(pauseDeviations) }

// exceedsBaseline reports whether the target version's failures or slow responses in this phase exceed the old version's by
// the given number of standard deviations.
func (t ShortRollout) exceedsBaseline(deviations float64) bool {
	return exceeds(
		t.phaseNew.Requests, t.phaseNew.Failed, t.phaseOld.Requests, t.phaseOld.Failed, minBaselineFailures, deviations,
	) || exceeds(
		t.phaseNew.LatencySamples, t.phaseNew.Slow, t.phaseOld.LatencySamples, t.phaseOld.Slow, minBaselineSlow, deviations,
	)
}

// exceeds reports whether there are more hits among n requests than the old version's share of hits explains. That share is
// oldHits/oldN, but at least minPart.
func exceeds(n, hits, oldN, oldHits uint32, minPart, deviations float64) bool {
	part := max(float64(oldHits)/float64(max(oldN, 1)), minPart)
	mean := float64(n) * part
	return float64(hits) >= mean+max(deviations*math.Sqrt(mean*(1-part))+1, minIncrease*float64(n))
}

// elapsedPart returns the time since the operator's request as a part of the time that the rollout has.
func (t ShortRollout) elapsedPart(now time.Duration) float64 {
	return float64(now-t.Started) / float64(max(t.Spec.Within, time.Second))
}

// Elapsed is the time since the operator's request.
func (t ShortRollout) Elapsed(now time.Duration) time.Duration { return now - t.Started }

// Share is the part of the service's requests that go to the target version. exposure is the largest part that a version may
// get in the proving phase, unless the service has little traffic.
func (t ShortRollout) Share(now time.Duration, exposure float64) float64 {
	switch t.Phase {
	case Finished:
		return 1
	case Reverted:
		return 0
	case Widening:
		if t.maybeRegressed() {
			return t.provingShare(now, exposure)
		}
		part := t.elapsedPart(now) - t.elapsedPart(t.widenedAt)
		if part < burstLength || part >= secondBurstAt && part < secondBurstAt+burstLength || part >= allTrafficAt {
			return 1
		}
	}
	return t.provingShare(now, exposure)
}

// provingShare returns the target version's share in the proving phase, from the rate of responses so far.
func (t ShortRollout) provingShare(now time.Duration, exposure float64) float64 {
	minShare := exposure * provingExposurePart
	elapsed := t.Elapsed(now).Seconds()
	if elapsed < 1 || t.allResponses == 0 {
		return minShare
	}
	expected := float64(t.allResponses) / elapsed * provingEnd * t.Spec.Within.Seconds()
	return min(max(minShare, provingResponses/expected), max(maxProvingShare, minShare))
}
