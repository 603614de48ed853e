package membership

import (
	"slices"
	"strings"
	"time"
)

// Tick runs the timers that are due at now. It is called every few hundred milliseconds; random selects the host
// that is probed.
func (v View) Tick(now time.Duration, random uint64) (View, Output) {
	if now-v.lastTick > v.timing.HeartbeatInterval {
		v = v.restartTimers(now)
	}
	v.lastTick = now
	v, out := v.applyUpdates(now, v.detectFailures(now))
	if now >= v.nextHeartbeat {
		v.nextHeartbeat = now + v.timing.HeartbeatInterval
		beat := v.newHeartbeat(false)
		v = v.dropStaleLinks(now).countTransmission(len(beat.Updates))
		for _, l := range v.links {
			beat.NonNeighbour = !l.neighbour
			out.Heartbeats = append(out.Heartbeats, OutgoingHeartbeat{To: l.host, Heartbeat: beat})
		}
	}
	v, targets := v.selectProbes(now, random)
	out.SyncTargets = append(out.SyncTargets, targets...)
	if now >= v.nextPurge {
		v.nextPurge = now + v.timing.TombstoneTTL/64
		v.members = slices.DeleteFunc(slices.Clone(v.members), func(e *entry) bool {
			return e.State == Dead && now-e.changedAt > v.timing.TombstoneTTL
		})
	}
	return v, out
}

// restartTimers restarts the failure detector's timeouts after this process was paused, since it could not receive
// heartbeats in the meantime.
func (v View) restartTimers(now time.Duration) View {
	v.links = slices.Clone(v.links)
	for i := range v.links {
		v.links[i].lastSeen = now
	}
	if v.suspectCount > 0 {
		for _, e := range v.members {
			if e.State == Suspected {
				v = v.put(newEntry(e.Member, now))
			}
		}
	}
	return v
}

// detectFailures returns the members whose timeout has expired: unresponsive neighbours become suspected, suspects dead.
func (v View) detectFailures(now time.Duration) (changes []Member) {
	for _, l := range v.links {
		e := v.member(l.host)
		if l.neighbour && (e.State == Alive || e.State == Leaving) && now-l.lastSeen >= l.suspectAfter {
			m := e.Member
			m.State = Suspected
			changes = append(changes, m)
		}
	}
	if v.suspectCount == 0 {
		return changes
	}
	for _, e := range v.members {
		if e.State == Suspected && e.Host != v.self && now-e.changedAt >= v.timing.DeadAfter {
			m := e.Member
			m.State = Dead
			changes = append(changes, m)
		}
	}
	return changes
}

// dropStaleLinks removes links to hosts that no longer treat this host as a neighbour.
func (v View) dropStaleLinks(now time.Duration) View {
	v.links = slices.DeleteFunc(slices.Clone(v.links), func(l link) bool {
		return !l.neighbour && now-l.lastSeen > 2*v.timing.SuspectAfter
	})
	return v
}

// countTransmission counts one heartbeat round for the newest pending updates and drops those that are done.
func (v View) countTransmission(sent int) View {
	if sent == 0 {
		return v
	}
	pending := slices.Clone(v.pending)
	for i := max(0, len(pending)-sent); i < len(pending); i++ {
		pending[i].remaining--
	}
	v.pending = slices.DeleteFunc(pending, func(p pendingUpdate) bool { return p.remaining <= 0 })
	return v
}

// updateLinks recomputes the neighbours, which are the successor and the predecessor on each ring of the hosts that
// are not dead, and keeps the state of existing links.
func (v View) updateLinks(now time.Duration, changes []Member) View {
	links := make([]link, 0, 2*RingCount)
	if v.Self().State != Dead {
		for _, host := range v.neighbours() {
			links = append(links, link{host: host, neighbour: true, lastSeen: now, suspectAfter: v.timing.SuspectAfter})
		}
	}
	for _, old := range v.links {
		e := v.member(old.host)
		if e == nil || e.State == Dead {
			continue
		}
		i, found := slices.BinarySearchFunc(links, old.host, func(l link, h string) int { return strings.Compare(l.host, h) })
		if !found {
			// A former neighbour expects this host's heartbeats until its own table has changed.
			old.neighbour = false
			links = slices.Insert(links, i, old)
			continue
		}
		if old.neighbour {
			links[i] = old
		}
		for _, m := range changes {
			if m.Host == old.host && m.State == Suspected {
				links[i].suspectAfter = min(2*links[i].suspectAfter, maxSuspectAfter)
			}
			if m.Host == old.host && m.State != Suspected {
				// The refutation may have come on another path, so the timeout starts anew.
				links[i].lastSeen = now
			}
		}
	}
	v.links = links
	return v
}

// neighbours returns this host's successor and predecessor on each ring, sorted and without duplicates.
func (v View) neighbours() []string {
	self := v.member(v.self)
	var successors, predecessors, lowest, highest [RingCount]*entry
	for _, e := range v.members {
		if e.State == Dead || e == self {
			continue
		}
		for r := range RingCount {
			if lowest[r] == nil || e.rings[r] < lowest[r].rings[r] {
				lowest[r] = e
			}
			if highest[r] == nil || e.rings[r] > highest[r].rings[r] {
				highest[r] = e
			}
			if e.rings[r] > self.rings[r] && (successors[r] == nil || e.rings[r] < successors[r].rings[r]) {
				successors[r] = e
			}
			if e.rings[r] < self.rings[r] && (predecessors[r] == nil || e.rings[r] > predecessors[r].rings[r]) {
				predecessors[r] = e
			}
		}
	}
	var hosts []string
	for r := range RingCount {
		if lowest[r] == nil {
			return nil
		}
		if successors[r] == nil {
			successors[r] = lowest[r]
		}
		if predecessors[r] == nil {
			predecessors[r] = highest[r]
		}
		hosts = append(hosts, successors[r].Host, predecessors[r].Host)
	}
	slices.Sort(hosts)
	return slices.Compact(hosts)
}

// selectProbes returns the hosts outside the overlay to which a SyncRequest is due.
func (v View) selectProbes(now time.Duration, random uint64) (View, []string) {
	var targets []string
	if n := min(len(v.disputed), RingCount); n > 0 {
		targets = slices.Clone(v.disputed[:n])
		v.disputed = slices.Clone(v.disputed[n:])
	}
	if now < v.nextProbe {
		return v, targets
	}
	candidates := v.probeCandidates()
	v.nextProbe = now + v.timing.ProbeInterval
	count := 1
	if len(v.links) == 0 {
		// An isolated host probes several hosts at once and repeats this soon.
		count, v.nextProbe = RingCount, now+v.timing.HeartbeatInterval/2
	}
	for i := range min(count, len(candidates)) {
		targets = append(targets, candidates[(random+uint64(i))%uint64(len(candidates))])
	}
	return v, targets
}

// probeCandidates returns the dead members and the seeds and platform hosts that are not members, sorted.
func (v View) probeCandidates() (hosts []string) {
	connected := make(map[string]bool, len(v.members))
	for _, e := range v.members {
		if e.State != Dead {
			connected[e.PeerAddress] = true
			connected[e.Host] = true
		} else {
			hosts = append(hosts, e.Host)
		}
	}
	for _, address := range v.seeds {
		if !connected[address] {
			hosts = append(hosts, address)
		}
	}
	for host, l := range v.listed {
		if !connected[host] && !connected[l.PeerAddress] && v.member(host) == nil {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	return slices.Compact(hosts)
}

// NewSyncRequest returns the sync request to a host or to a seed's address.
func (v View) NewSyncRequest(to string) SyncRequest {
	request := SyncRequest{Self: v.Self(), Buckets: slices.Clone(v.buckets[:])}
	if e := v.member(to); e != nil {
		request.Target = e.Member
	}
	return request
}

// HandleSyncRequest merges the sender's record and returns this host's records in the buckets that differ.
func (v View) HandleSyncRequest(now time.Duration, request SyncRequest) (View, SyncResponse, Output) {
	updates := []Member{request.Self}
	if request.Target.Host == v.self {
		updates = append(updates, request.Target)
	}
	buckets := v.buckets
	v, out := v.MergeUpdates(now, updates)
	answer := SyncResponse{Self: v.Self()}
	if e := v.member(request.Self.Host); e != nil {
		answer.Members = append(answer.Members, e.Member)
	}
	if len(request.Buckets) != bucketCount {
		return v, answer, out
	}
	differing := make([][]Member, bucketCount)
	for _, e := range v.members {
		b := e.bucket()
		if request.Buckets[b] != buckets[b] && e.Host != v.self && e.Host != request.Self.Host {
			differing[b] = append(differing[b], e.Member)
		}
	}
	// Whole buckets are sent, so that a truncated response still makes some of them equal. The first bucket varies,
	// so that a bucket that keeps differing doesn't starve the others.
	start := int(now / time.Millisecond)
	for i := range differing {
		if answer.More = len(answer.Members) >= maxSyncRecords; answer.More {
			break
		}
		answer.Members = append(answer.Members, differing[(start+i)%bucketCount]...)
	}
	return v, answer, out
}

// HandleSyncResponse merges a host's response to a sync request.
func (v View) HandleSyncResponse(now time.Duration, to string, answer SyncResponse) (View, Output) {
	before := v.Self().Incarnation
	v, out := v.MergeUpdates(now, append([]Member{answer.Self}, answer.Members...))
	if answer.More && len(out.Updates) > 0 || v.Self().Incarnation != before {
		// Another sync fetches the rest of the table, or sends the refutation that the host has not seen.
		out.SyncTargets = append(out.SyncTargets, to)
	}
	return v, out
}
