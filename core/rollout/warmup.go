package rollout

import "time"

// Warmup knows since when each of the new version's machines has served. It is an immutable value.
type Warmup struct {
	// since holds the time of each machine's first request plus one, 0 for none.
	since [MaxServers]time.Duration
}

// settled returns the batch without the latencies that a cold start explains: of machines that have served for less
// than the plan's Warm, and of all machines within the plan's Settle after a step. Failures always count.
func (w Warmup) settled(now, stepAt time.Duration, plan Plan, batch Batch) (Warmup, Batch) {
	kept := make(Batch, len(batch))
	for route, counts := range batch {
		warm := RouteCounts{Old: counts.Old, New: make(map[uint8]Counts, len(counts.New))}
		for machine, c := range counts.New {
			since := &w.since[machine%MaxServers]
			if *since == 0 && c.Requests > 0 {
				*since = now + 1
			}
			if now-stepAt < plan.StepWarmup || now+1-*since < plan.ServerWarmup {
				c.LatencySamples, c.Slow = 0, 0
			}
			warm.New[machine] = c
		}
		kept[route] = warm
	}
	return w, kept
}

// LocalJudge is the test that each host runs on its own evidence, so that a bad version is taken back with the driver dead
// and the store down. It is an immutable value.
type LocalJudge struct {
	plan   Plan
	judge  Judge
	warmth Warmup
	stepAt time.Duration
	step   int
}

// NewLocalJudge returns a host's test without evidence. The false alarm rate is shared among hosts.
func NewLocalJudge(now time.Duration, plan Plan, hosts int) LocalJudge {
	return LocalJudge{plan: plan, judge: NewJudge(int(plan.Within/BatchInterval), hosts), stepAt: now, step: -1}
}

// Next returns the test after a batch at a step, and the reason to lower the share to nothing, if there is one.
func (l LocalJudge) Next(now time.Duration, step int, batch Batch) (next LocalJudge, reason string, bad bool) {
	if step != l.step {
		l.step, l.stepAt = step, now
	}
	var settled Batch
	l.warmth, settled = l.warmth.settled(now, l.stepAt, l.plan, batch)
	l.judge = l.judge.Add(settled, EffectSize{Failures: MinDetectableFailures, Slow: MinDetectableSlow})
	reason, bad = l.judge.Regression()
	return l, reason, bad
}
