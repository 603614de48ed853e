package membership

import (
	"slices"
	"strings"
	"time"
)

// View is one host's member table with the state of its failure detector. It is immutable: methods return a new value.
type View struct {
	timing Timing
	self   string
	seeds  []string
	// members is sorted by host and includes the host itself. It has at most MaxMembers records.
	members []*entry
	// links is sorted by host and has at most maxLinks entries.
	links   []link
	pending []pendingUpdate
	buckets [bucketCount]uint64
	// listed holds the hosts of the platform list, at most MaxMembers.
	listed map[string]PlatformHost
	// disputed holds hosts that are dead here and alive at a peer in the same incarnation. They are probed so that
	// they refute their death.
	disputed                                      []string
	suspectCount                                  int
	lastTick, nextHeartbeat, nextProbe, nextPurge time.Duration
}

// link is the state of a host with which this host exchanges heartbeats.
type link struct {
	host string
	// neighbour is false for a host that treats this host as a neighbour although this host's table has others.
	neighbour bool
	// lastSeen is the time of the last heartbeat, or the time at which the timeout was restarted.
	lastSeen time.Duration
	// suspectAfter is the time without heartbeats after which the host is suspected.
	suspectAfter time.Duration
	mismatches   int
}

// pendingUpdate is a changed record that is repeated in the next heartbeats.
type pendingUpdate struct {
	host      string
	remaining int
}

// PlatformHost is a host on the platform's list of hosts.
type PlatformHost struct {
	PeerAddress string
	Leaving     bool
}

// OutgoingHeartbeat is a heartbeat with its receiver.
type OutgoingHeartbeat struct {
	To        string
	Heartbeat Heartbeat
}

// Output holds the messages that the caller has to send.
type Output struct {
	Heartbeats []OutgoingHeartbeat
	// Updates are the records that changed. They are flooded, that is, sent to all UpdateTargets at once.
	Updates       []Member
	UpdateTargets []string
	// SyncTargets holds the hosts or seed addresses to which a SyncRequest is to be sent.
	SyncTargets []string
}

// New returns the view of a host that knows only itself and its seed addresses.
func New(timing Timing, self Member, seeds []string, now time.Duration) View {
	self.State = Alive
	v := View{timing: timing, self: self.Host, seeds: seeds, lastTick: now, nextHeartbeat: now, nextProbe: now, nextPurge: now}
	return v.put(newEntry(self, now))
}

// Self returns the host's own record.
func (v View) Self() Member { return v.member(v.self).Member }

// Members returns all records sorted by host, including this host and dead hosts. An alive host that is leaving by the
// platform list is returned as leaving.
func (v View) Members() []Member {
	members := make([]Member, len(v.members))
	for i, e := range v.members {
		members[i] = e.Member
		if e.State == Alive && v.listed[e.Host].Leaving {
			members[i].State = Leaving
		}
	}
	return members
}

// Address returns the peer address of a host. A seed's address is returned as it is.
func (v View) Address(host string) (string, bool) {
	if e := v.member(host); e != nil {
		return e.PeerAddress, true
	}
	if l, ok := v.listed[host]; ok {
		return l.PeerAddress, true
	}
	return host, slices.Contains(v.seeds, host)
}

// Links returns the hosts with which this host exchanges heartbeats.
func (v View) Links() []string {
	hosts := make([]string, len(v.links))
	for i, l := range v.links {
		hosts[i] = l.host
	}
	return hosts
}

// WithPlatformHosts sets the platform's list of hosts. The list adds probe candidates and marks hosts as leaving; it
// never removes a member.
func (v View) WithPlatformHosts(listed map[string]PlatformHost) View {
	v.listed = listed
	return v
}

// WithLeaving announces that this host is leaving.
func (v View) WithLeaving(now time.Duration) (View, Output) {
	self := v.Self()
	self.Incarnation++
	self.State = Leaving
	return v.applyUpdates(now, []Member{self})
}

// WithStopped announces that this host has stopped, so that peers need not wait for a timeout.
func (v View) WithStopped(now time.Duration) (View, Output) {
	self := v.Self()
	self.State = Dead
	return v.applyUpdates(now, []Member{self})
}

func (v View) find(host string) (int, bool) {
	return slices.BinarySearchFunc(v.members, host, func(e *entry, h string) int { return strings.Compare(e.Host, h) })
}

func (v View) member(host string) *entry {
	if i, ok := v.find(host); ok {
		return v.members[i]
	}
	return nil
}

// put stores a record. It copies the member slice but shares the records.
func (v View) put(e *entry) View {
	i, known := v.find(e.Host)
	members := make([]*entry, 0, len(v.members)+1)
	members = append(members, v.members[:i]...)
	members = append(members, e)
	if known {
		old := v.members[i]
		v.buckets[old.bucket()] ^= old.hash
		if old.State == Suspected {
			v.suspectCount--
		}
		i++
	}
	if e.State == Suspected {
		v.suspectCount++
	}
	v.members = append(members, v.members[i:]...)
	v.buckets[e.bucket()] ^= e.hash
	return v
}

// applyUpdates stores changed records, recomputes the links and returns the records to flood.
func (v View) applyUpdates(now time.Duration, changes []Member) (View, Output) {
	if len(changes) == 0 {
		return v, Output{}
	}
	before := v.Links()
	for _, m := range changes {
		v = v.put(newEntry(m, now))
	}
	v = v.updateLinks(now, changes).enqueue(changes)
	// The previous links are included so that a host that was just declared dead learns of it.
	links := append(v.Links(), before...)
	slices.Sort(links)
	return v, Output{Updates: changes, UpdateTargets: slices.Compact(links)}
}

// enqueue schedules the changes for repetition in the next heartbeats.
func (v View) enqueue(changes []Member) View {
	pending := slices.Clone(v.pending)
	for _, m := range changes {
		pending = slices.DeleteFunc(pending, func(p pendingUpdate) bool { return p.host == m.Host })
		pending = append(pending, pendingUpdate{host: m.Host, remaining: updateTransmissions})
	}
	v.pending = pending[max(0, len(pending)-maxPendingUpdates):]
	return v
}

// MergeUpdates merges records that a peer sent and floods those that changed the table.
func (v View) MergeUpdates(now time.Duration, updates []Member) (View, Output) {
	var changes []Member
	disputed := v.disputed
	capacity := MaxMembers - len(v.members)
	for _, u := range updates {
		if u.Host == "" || rank[u.State] == 0 {
			continue
		}
		old := v.member(u.Host)
		switch {
		case u.Host == v.self:
			if refuted, ok := refute(old.Member, u); ok {
				changes = append(changes, refuted)
				v = v.put(newEntry(refuted, now))
			}
		case old == nil:
			// The tombstone of an unknown host is ignored, otherwise it would circulate forever after its TTL.
			if u.State != Dead && capacity > 0 && u.PeerAddress != "" {
				capacity--
				changes = append(changes, u)
				v = v.put(newEntry(u, now))
			}
		case supersedes(u, old.Member):
			changes = append(changes, u)
			v = v.put(newEntry(u, now))
		case old.State == Dead && u.State != Dead && u.Incarnation == old.Incarnation && len(disputed) < bucketCount:
			if !slices.Contains(disputed, u.Host) {
				disputed = append(slices.Clone(disputed), u.Host)
			}
		}
	}
	v.disputed = disputed
	return v.applyUpdates(now, changes)
}

// refute returns this host's record with an incarnation that supersedes a peer's wrong record of it, and whether a
// refutation is needed.
func refute(self, claimed Member) (Member, bool) {
	if claimed.Incarnation < self.Incarnation || claimed == self {
		return self, false
	}
	if claimed.Incarnation == self.Incarnation && rank[claimed.State] <= rank[self.State] {
		return self, false
	}
	self.Incarnation = claimed.Incarnation + 1
	return self, true
}

// HandleHeartbeat processes a heartbeat from a peer.
func (v View) HandleHeartbeat(now time.Duration, from string, beat Heartbeat) (View, Output) {
	v, out := v.MergeUpdates(now, beat.Updates)
	e := v.member(from)
	if e == nil || e.Incarnation < beat.Incarnation {
		// The flooded record of the sender was lost or has not arrived yet.
		out.SyncTargets = append(out.SyncTargets, from)
		return v, out
	}
	if e.State == Dead || e.State == Suspected {
		// The sender is alive. The sync sends it this host's record of it, which it refutes.
		out.SyncTargets = append(out.SyncTargets, from)
	}
	if e.State == Dead {
		return v, out
	}
	links := slices.Clone(v.links)
	i, known := slices.BinarySearchFunc(links, from, func(l link, h string) int { return strings.Compare(l.host, h) })
	if !known {
		if beat.NonNeighbour || len(links) >= maxLinks {
			return v, out
		}
		links = slices.Insert(links, i, link{host: from})
	}
	l := &links[i]
	l.suspectAfter = v.timing.SuspectAfter
	if l.neighbour || !beat.NonNeighbour {
		l.lastSeen = now
	}
	if beat.TableHash == v.tableHash() {
		l.mismatches = 0
	} else if l.mismatches++; l.mismatches >= mismatchLimit {
		l.mismatches = 0
		out.SyncTargets = append(out.SyncTargets, from)
	}
	v.links = links
	if !known {
		// The sender treats this host as a neighbour and expects heartbeats.
		out.Heartbeats = append(out.Heartbeats, OutgoingHeartbeat{To: from, Heartbeat: v.newHeartbeat(true)})
	}
	return v, out
}

// newHeartbeat returns the heartbeat of this host without Sequence and Epoch, which the caller sets.
func (v View) newHeartbeat(nonNeighbour bool) Heartbeat {
	beat := Heartbeat{NonNeighbour: nonNeighbour, Incarnation: v.Self().Incarnation, TableHash: v.tableHash()}
	// The newest changes come first.
	for i := len(v.pending) - 1; i >= 0 && len(beat.Updates) < MaxUpdates; i-- {
		if e := v.member(v.pending[i].host); e != nil {
			beat.Updates = append(beat.Updates, e.Member)
		}
	}
	return beat
}

func (v View) tableHash() uint64 {
	sum := uint64(len(v.buckets))
	for _, b := range v.buckets {
		sum = sum*1099511628211 + b
	}
	return sum
}
