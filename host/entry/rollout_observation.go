package entry

import (
	"sync"
	"time"

	"vanillatally/core/rollout"
)

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
