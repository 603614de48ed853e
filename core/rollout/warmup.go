package rollout

import "time"

// Warmup records when each server of the new version finished its first request. It is an immutable value.
type Warmup struct {
	// firstRequest holds the time of each server's first request plus 1 ns; 0 means none yet.
	firstRequest [MaxServers]time.Duration
}

// withoutColdLatency returns the batch without the latencies that a cold start explains: those of servers that had their
// first request less than the plan's ServerWarmup ago, and those of all servers within the plan's StepWarmup after a step.
// Failures always count.
func (w Warmup) withoutColdLatency(now, stepAt time.Duration, plan Plan, batch Batch) (Warmup, Batch) {
	kept := make(Batch, len(batch))
	for route, counts := range batch {
		filtered := RouteCounts{Old: counts.Old, New: make(map[uint8]Counts, len(counts.New))}
		for server, c := range counts.New {
			since := &w.firstRequest[server%MaxServers]
			if *since == 0 && c.Requests > 0 {
				*since = now + 1
			}
			if now-stepAt < plan.StepWarmup || now+1-*since < plan.ServerWarmup {
				c.LatencySamples, c.Slow = 0, 0
			}
			filtered.New[server] = c
		}
		kept[route] = filtered
	}
	return w, kept
}

// LocalJudge is the test that each host runs on its own requests, so that a faulty version is rolled back even while the
// host that drives the rollout is down and the store can't be reached. It is an immutable value.
type LocalJudge struct {
	plan   Plan
	judge  Judge
	warmth Warmup
	stepAt time.Duration
	step   int
}

// NewLocalJudge returns a host's test without data. FalsePositiveProbability is divided among the hosts.
func NewLocalJudge(now time.Duration, plan Plan, hosts int) LocalJudge {
	return LocalJudge{plan: plan, judge: NewJudge(int(plan.Within/BatchInterval), hosts), stepAt: now, step: -1}
}

// Next returns the test after a batch of a step, whether the version is worse, and why. The share then goes to 0.
func (l LocalJudge) Next(now time.Duration, step int, batch Batch) (next LocalJudge, reason string, bad bool) {
	if step != l.step {
		l.step, l.stepAt = step, now
	}
	var counted Batch
	l.warmth, counted = l.warmth.withoutColdLatency(now, l.stepAt, l.plan, batch)
	l.judge = l.judge.Add(counted, EffectSize{Failures: MinDetectableFailures, Slow: MinDetectableSlow})
	reason, bad = l.judge.Regression()
	return l, reason, bad
}
