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
	recordTimeout = 2 * time.Second
	recordPause   = time.Second
	// judgeEvery is the time between two looks at the evidence.
	judgeEvery = 250 * time.Millisecond
	// slowFactor times the time of a run without the object at hand makes an answer slow.
	slowFactor = 2
)

// trial is a running rollout as this host sees it.
type trial struct {
	mu    sync.Mutex
	state rollout.ShortRollout
	// own is the evidence of this host since the order; seen is the sum of all evidence that was judged.
	own, seen rollout.Batch
	// batch is the evidence since the last batch for the sequential test, which ends at batchAt.
	batch   rollout.Batch
	batchAt time.Duration
	// reports holds the newest evidence of each other host.
	reports map[string]*hostReport
	// recordAt is when the phase may be written again; only judge uses it.
	recordAt time.Duration
	// credit is the part of a request that the target is owed.
	credit float64
}

// hostReport is the newest evidence of another host.
type hostReport struct {
	started int64
	counts  rollout.Batch
	bad     bool
}

// take takes in a report and reports whether it says more than those before, of the same process or an earlier one.
func (r *hostReport) take(started int64, report TrialReport) (fresh bool) {
	if started < r.started {
		return false
	}
	if started > r.started || r.counts == nil {
		*r = hostReport{started: started, counts: rollout.Batch{}}
	}
	for route, counts := range report.Counts {
		if answers(counts) > answers(r.counts[route]) {
			r.counts[route], fresh = counts, true
		}
	}
	fresh = fresh || report.Bad && !r.bad
	r.bad = r.bad || report.Bad
	return fresh
}

// answers counts the answers of a route.
func answers(counts rollout.RouteCounts) (n uint64) {
	n = uint64(counts.Old.Requests)
	for _, c := range counts.New {
		n += uint64(c.Requests)
	}
	return n
}

// SetOrders takes in the operators' rollouts by service.
func (h *Host) SetOrders(orders []rollout.ShortRolloutSpec) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	next := make(map[string]*trial, len(orders))
	for _, order := range orders {
		known := h.rollouts[order.Service]
		if known == nil || known.state.Spec.TargetVersion != order.TargetVersion || known.state.Spec.Within != order.Within {
			known = &trial{
				state: rollout.NewShortRollout(now, order, 0), reports: map[string]*hostReport{},
				own: rollout.Batch{}, seen: rollout.Batch{},
			}
			h.log.Emit(events.MoveStep, "service", order.Service, "target", order.TargetVersion, "within", order.Within,
				"recorded", order.RecordedPhase)
		}
		known.recorded(order)
		next[order.Service] = known
	}
	h.rollouts = next
	h.rebuild()
}

func (t *trial) recorded(order rollout.ShortRolloutSpec) {
	t.mu.Lock()
	defer t.mu.Unlock()
	recorded := order.RecordedPhase
	if recorded == "" {
		recorded = t.state.Spec.RecordedPhase
	}
	t.state.Spec = order
	t.state = t.state.WithRecordedPhase(recorded)
}

// versions restricts a request to some versions of its service while a rollout runs.
type versions struct {
	// only or except is the target of the rollout, the other one is empty.
	only, except string
	// moved is set when the service has moved to only for good.
	moved bool
	// packed is set while only is on trial with a part of the requests.
	packed bool
}

// allow reports whether a server of the version may get the request.
func (v versions) allow(version string) bool {
	return (v.only == "" || version == v.only) && (v.except == "" || version != v.except)
}

// versions tells which versions the next request of the service may go to.
func (h *Host) versions(v *view, service string) versions {
	t := v.rollouts[service]
	if t == nil {
		return versions{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	target := t.state.Spec.TargetVersion
	part := t.state.Share(h.now(), h.limits.Load().ExposureShare)
	if part >= 1 {
		return versions{only: target, moved: t.state.Phase == rollout.Finished}
	}
	t.credit = min(t.credit+part, 2)
	if t.credit >= 1 {
		t.credit--
		return versions{only: target, packed: true}
	}
	return versions{except: target}
}

// evidence is what one request tells about a rollout of its service; nil stands for no rollout.
type evidence struct {
	trial  *trial
	server *server
	route  string
	timer  *time.Timer
	once   sync.Once
}

// evidence begins the observation of a request to the server. A request without an answer after slowAfter counts as slow
// at once, since the answers of a slow version would come too late.
func (h *Host) evidence(v *view, s *server, route string, slowAfter time.Duration) *evidence {
	t := v.rollouts[s.Service]
	if t == nil {
		return nil
	}
	e := &evidence{trial: t, server: s, route: route}
	e.timer = time.AfterFunc(slowAfter, func() { e.add(false, true) })
	return e
}

// close ends the observation; a request without an outcome says nothing.
func (e *evidence) close() {
	if e != nil {
		e.timer.Stop()
	}
}

// add notes the outcome of the request, the first one only. Only a server's own error is a failure: an answer that was
// lost or spoilt on its way counts as slow, because networks lose the answers of every version alike.
func (e *evidence) add(failed, slow bool) {
	if e != nil {
		e.once.Do(func() { e.trial.observe(e.server, e.route, failed, slow) })
	}
}

func (t *trial) observe(s *server, route string, failed, slow bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := rollout.Counts{Requests: 1, LatencySamples: 1}
	if failed {
		counts.Failed = 1
	}
	if slow {
		counts.Slow = 1
	}
	of := t.own[route]
	if s.Version == t.state.Spec.TargetVersion {
		if of.New == nil {
			of.New = map[uint8]rollout.Counts{}
		}
		machine := uint8(s.hash % rollout.MaxServers)
		of.New[machine] = of.New[machine].Plus(counts)
	} else {
		of.Old = of.Old.Plus(counts)
	}
	t.own[route] = of
}

// hearTrial takes in what another host reports of a rollout, and reports whether it was not known.
func (h *Host) hearTrial(now time.Duration, m *TrialNews) (fresh bool) {
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
	fresh = heard.take(m.Started, m.Report)
	t.state = t.state.WithElapsed(now, time.Duration(m.Report.ElapsedMS)*time.Millisecond)
	if m.Report.Bad {
		t.state = t.state.WithRevert("found bad by host " + m.Host)
	}
	return fresh
}

// trialReports returns what the other hosts need to know of running rollouts.
func (h *Host) trialReports() (reports []TrialReport) {
	v := h.view.Load()
	now := h.now()
	for _, service := range slices.Sorted(maps.Keys(v.rollouts)) {
		t := v.rollouts[service]
		t.mu.Lock()
		if !t.state.Spec.RecordedPhase.Terminal() && len(reports) < maxTrials {
			report := TrialReport{
				Service: service, Revision: t.state.Spec.Revision, ElapsedMS: t.state.Elapsed(now).Milliseconds(),
				Bad: t.state.Phase == rollout.Reverted,
			}
			reports = append(reports, byRoute(report, t.own)...)
		}
		t.mu.Unlock()
	}
	return reports
}

// byRoute divides evidence among reports of one route each, since several may not fit one message. Without evidence the time
// and the verdict are reported.
func byRoute(report TrialReport, counts rollout.Batch) (reports []TrialReport) {
	if len(counts) == 0 {
		return []TrialReport{report}
	}
	routes := slices.Sorted(maps.Keys(counts))
	for _, route := range routes[:min(len(routes), maxTrialRoutes)] {
		report.Counts = cloneBatch(rollout.Batch{route: counts[route]})
		reports = append(reports, report)
	}
	return reports
}

func cloneBatch(b rollout.Batch) rollout.Batch { return rollout.Batch{}.Plus(b) }

// runTrials judges the running rollouts until ctx ends.
func (h *Host) runTrials(ctx context.Context) error {
	ticker := time.NewTicker(judgeEvery)
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

// widening reports whether a rollout is being widened, so that evidence has to travel fast.
func (h *Host) widening() bool {
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
func (h *Host) judge(ctx context.Context, t *trial) {
	t.mu.Lock()
	before := t.state.Phase
	total := cloneBatch(t.own)
	for _, report := range t.reports {
		total = total.Plus(report.counts)
	}
	batch := since(total, t.seen)
	t.seen = total
	now := h.now()
	t.state = t.state.WithResponses(batch)
	t.batch = t.batch.Plus(batch)
	if now-t.batchAt >= rollout.BatchInterval {
		t.state = t.state.WithBatch(t.batch)
		t.batch, t.batchAt = nil, now
	}
	t.state = t.state.Next(now)
	state := t.state
	t.mu.Unlock()
	if state.Phase != before {
		h.log.Emit(events.MoveStep, "service", state.Spec.Service, "target", state.Spec.TargetVersion, "phase", state.Phase,
			"reason", state.Reason, "answers", state.TargetResponses, "elapsed", state.Elapsed(h.now()))
	}
	h.record(ctx, t, state)
}

// since returns what total has more than before.
func since(total, before rollout.Batch) rollout.Batch {
	batch := rollout.Batch{}
	for route, counts := range total {
		old := before[route]
		diff := rollout.RouteCounts{Old: minus(counts.Old, old.Old), New: map[uint8]rollout.Counts{}}
		for machine, c := range counts.New {
			if d := minus(c, old.New[machine]); d.Requests > 0 {
				diff.New[machine] = d
			}
		}
		if diff.Old.Requests > 0 || len(diff.New) > 0 {
			batch[route] = diff
		}
	}
	return batch
}

// minus returns the difference, 0 where a restarted host's counts begin again.
func minus(a, b rollout.Counts) rollout.Counts {
	if a.Requests < b.Requests {
		return rollout.Counts{}
	}
	sub := func(x, y uint32) uint32 { return x - min(x, y) }
	return rollout.Counts{
		Requests: a.Requests - b.Requests, Failed: sub(a.Failed, b.Failed),
		LatencySamples: sub(a.LatencySamples, b.LatencySamples), Slow: sub(a.Slow, b.Slow),
	}
}

// record writes a new phase to the store. Any host records a bad version; one host records the rest.
func (h *Host) record(ctx context.Context, t *trial, state rollout.ShortRollout) {
	due := state.Phase
	if due == rollout.Widening {
		due = rollout.Proving
	}
	if h.options.Orders == nil || state.Spec.RecordedPhase == due || h.now() < t.recordAt ||
		due != rollout.Reverted && !h.fleet.leader() {
		return
	}
	t.recordAt = h.now() + recordPause
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	recorded, err := h.options.Orders.Record(ctx, state.Spec, due)
	if err != nil {
		h.log.Emit(events.MoveNotRecorded, "service", state.Spec.Service, "phase", due, "error", err)
		return
	}
	h.log.Emit(recordedEvent(recorded), "service", state.Spec.Service, "target", state.Spec.TargetVersion, "reason", state.Reason)
	t.mu.Lock()
	t.state = t.state.WithRecordedPhase(recorded)
	t.mu.Unlock()
}

func recordedEvent(phase rollout.Phase) events.Event {
	switch phase {
	case rollout.Finished:
		return events.MoveDone
	case rollout.Reverted:
		return events.MoveReverted
	}
	return events.MoveStep
}
