package membership

import (
	"slices"
	"strings"
	"time"
)

// Tick advances the view to now. It is called every few hundred milliseconds; random selects the
// host that is probed.
func (v View) Tick(now time.Duration, random uint64) (View, Output) {
	if now-v.ticked > v.timing.HeartbeatInterval {
		v = v.resume(now)
	}
	v.ticked = now
	v, out := v.change(now, v.judge(now))
	if now >= v.nextBeat {
		v.nextBeat = now + v.timing.HeartbeatInterval
		beat := v.heartbeat(false)
		v = v.dropGuests(now).spend(len(beat.Updates))
		for _, l := range v.links {
			beat.NonNeighbour = !l.neighbour
			out.Heartbeats = append(out.Heartbeats, OutgoingHeartbeat{To: l.host, Heartbeat: beat})
		}
	}
	v, targets := v.probes(now, random)
	out.SyncTargets = append(out.SyncTargets, targets...)
	if now >= v.nextTidy {
		v.nextTidy = now + v.timing.TombstoneTTL/64
		v.members = slices.DeleteFunc(slices.Clone(v.members), func(e *entry) bool {
			return e.State == Dead && now-e.changed > v.timing.TombstoneTTL
		})
	}
	return v, out
}

// resume restarts all waits after this process was paused: the silence was its own.
func (v View) resume(now time.Duration) View {
	v.links = slices.Clone(v.links)
	for i := range v.links {
		v.links[i].heard = now
	}
	if v.suspects > 0 {
		for _, e := range v.members {
			if e.State == Suspected {
				v = v.put(newEntry(e.Member, now))
			}
		}
	}
	return v
}

// judge returns the members whose state changes by time alone.
func (v View) judge(now time.Duration) (news []Member) {
	for _, l := range v.links {
		e := v.member(l.host)
		if l.neighbour && (e.State == Alive || e.State == Leaving) && now-l.heard >= l.patience {
			m := e.Member
			m.State = Suspected
			news = append(news, m)
		}
	}
	if v.suspects == 0 {
		return news
	}
	for _, e := range v.members {
		if e.State == Suspected && e.Host != v.self && now-e.changed >= v.timing.DeadAfter {
			m := e.Member
			m.State = Dead
			news = append(news, m)
		}
	}
	return news
}

// dropGuests removes hosts that no longer count this one as their neighbour.
func (v View) dropGuests(now time.Duration) View {
	v.links = slices.DeleteFunc(slices.Clone(v.links), func(l link) bool {
		return !l.neighbour && now-l.heard > 2*v.timing.SuspectAfter
	})
	return v
}

// spend counts one round of the newest changes.
func (v View) spend(sent int) View {
	if sent == 0 {
		return v
	}
	pending := slices.Clone(v.pending)
	for i := max(0, len(pending)-sent); i < len(pending); i++ {
		pending[i].left--
	}
	v.pending = slices.DeleteFunc(pending, func(p pendingUpdate) bool { return p.left <= 0 })
	return v
}

// relink computes the neighbours: the successor and the predecessor on each ring of the hosts that
// are not dead.
func (v View) relink(now time.Duration, news []Member) View {
	links := make([]link, 0, 2*RingCount)
	if v.Self().State != Dead {
		for _, host := range v.neighbours() {
			links = append(links, link{host: host, neighbour: true, heard: now, patience: v.timing.SuspectAfter})
		}
	}
	for _, old := range v.links {
		e := v.member(old.host)
		if e == nil || e.State == Dead {
			continue
		}
		i, found := slices.BinarySearchFunc(links, old.host, func(l link, h string) int { return strings.Compare(l.host, h) })
		if !found {
			// A former neighbour may still count on this host's heartbeats until its table changes too.
			old.neighbour = false
			links = slices.Insert(links, i, old)
			continue
		}
		if old.neighbour {
			links[i] = old
		}
		for _, m := range news {
			if m.Host == old.host && m.State == Suspected {
				links[i].patience = min(2*links[i].patience, maxPatience)
			}
			if m.Host == old.host && m.State != Suspected {
				// The refutation came on another path; the silence counts from here.
				links[i].heard = now
			}
		}
	}
	v.links = links
	return v
}

// neighbours returns at most 2·RingCount hosts, sorted.
func (v View) neighbours() []string {
	me := v.member(v.self)
	var next, previous, lowest, highest [RingCount]*entry
	for _, e := range v.members {
		if e.State == Dead || e == me {
			continue
		}
		for r := range RingCount {
			if lowest[r] == nil || e.rings[r] < lowest[r].rings[r] {
				lowest[r] = e
			}
			if highest[r] == nil || e.rings[r] > highest[r].rings[r] {
				highest[r] = e
			}
			if e.rings[r] > me.rings[r] && (next[r] == nil || e.rings[r] < next[r].rings[r]) {
				next[r] = e
			}
			if e.rings[r] < me.rings[r] && (previous[r] == nil || e.rings[r] > previous[r].rings[r]) {
				previous[r] = e
			}
		}
	}
	var hosts []string
	for r := range RingCount {
		if lowest[r] == nil {
			return nil
		}
		if next[r] == nil {
			next[r] = lowest[r]
		}
		if previous[r] == nil {
			previous[r] = highest[r]
		}
		hosts = append(hosts, next[r].Host, previous[r].Host)
	}
	slices.Sort(hosts)
	return slices.Compact(hosts)
}

// probes selects the hosts outside the overlay that are tried next.
func (v View) probes(now time.Duration, random uint64) (View, []string) {
	var targets []string
	if n := min(len(v.contested), RingCount); n > 0 {
		targets = slices.Clone(v.contested[:n])
		v.contested = slices.Clone(v.contested[n:])
	}
	if now < v.nextProbe {
		return v, targets
	}
	candidates := v.candidates()
	v.nextProbe = now + v.timing.ProbeInterval
	tries := 1
	if len(v.links) == 0 {
		// A host without any connection tries several at once, and again soon.
		tries, v.nextProbe = RingCount, now+v.timing.HeartbeatInterval/2
	}
	for i := range min(tries, len(candidates)) {
		targets = append(targets, candidates[(random+uint64(i))%uint64(len(candidates))])
	}
	return v, targets
}

// candidates returns the seeds, listed hosts and dead members that are no members now, in a fixed order.
func (v View) candidates() (hosts []string) {
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

// NewSyncRequest returns the exchange that is sent to a host or a seed's address.
func (v View) NewSyncRequest(to string) SyncRequest {
	request := SyncRequest{Self: v.Self(), Buckets: slices.Clone(v.buckets[:])}
	if e := v.member(to); e != nil {
		request.Target = e.Member
	}
	return request
}

// HandleSyncRequest merges the sender's record and returns the records in which the tables differ.
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
	// Whole buckets are sent, so that a cut answer settles some of them; the start varies so that a
	// bucket which keeps differing does not hide the others.
	start := int(now / time.Millisecond)
	for i := range differing {
		if answer.More = len(answer.Members) >= maxExchange; answer.More {
			break
		}
		answer.Members = append(answer.Members, differing[(start+i)%bucketCount]...)
	}
	return v, answer, out
}

// HandleSyncResponse merges the answer of a host to an exchange.
func (v View) HandleSyncResponse(now time.Duration, to string, answer SyncResponse) (View, Output) {
	before := v.Self().Incarnation
	v, out := v.MergeUpdates(now, append([]Member{answer.Self}, answer.Members...))
	if answer.More && len(out.Updates) > 0 || v.Self().Incarnation != before {
		// For the rest of the table, or to show the refutation that the host has not seen.
		out.SyncTargets = append(out.SyncTargets, to)
	}
	return v, out
}
