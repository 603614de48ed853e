package membership

import (
	"slices"
	"strings"
	"time"
)

// View is one host's knowledge of the fleet. It is immutable: each method returns the next value.
type View struct {
	timing Timing
	self   string
	seeds  []string
	// members is sorted by host, holds the host itself and at most MaxMembers records.
	members []*entry
	// links is sorted by host and holds at most maxLinks.
	links   []link
	pending []pendingUpdate
	buckets [bucketCount]uint64
	// listed holds the addresses of the hosts on the platform list, at most MaxMembers.
	listed map[string]PlatformHost
	// contested holds hosts that are dead here and alive elsewhere; they are probed so that they refute.
	contested                             []string
	suspects                              int
	ticked, nextBeat, nextProbe, nextTidy time.Duration
}

// link is a host with which heartbeats are exchanged.
type link struct {
	host string
	// neighbour is false for a host that counts this one as its neighbour, but not the other way round.
	neighbour bool
	heard     time.Duration
	// patience is the silence after which the host is suspected.
	patience time.Duration
	mismatch int
}

type pendingUpdate struct {
	host string
	left int
}

// PlatformHost is an entry of the platform list.
type PlatformHost struct {
	PeerAddress string
	Leaving     bool
}

// OutgoingHeartbeat is a heartbeat to be sent.
type OutgoingHeartbeat struct {
	To        string
	Heartbeat Heartbeat
}

// Output is what the driver has to send.
type Output struct {
	Heartbeats []OutgoingHeartbeat
	// Updates is flooded: it goes to each of Links at once.
	Updates       []Member
	UpdateTargets []string
	// SyncTargets names hosts or addresses with which records are to be exchanged.
	SyncTargets []string
}

// New returns the view of a host that knows only itself and its seed addresses.
func New(timing Timing, self Member, seeds []string, now time.Duration) View {
	self.State = Alive
	v := View{timing: timing, self: self.Host, seeds: seeds, ticked: now, nextBeat: now, nextProbe: now, nextTidy: now}
	return v.put(newEntry(self, now))
}

// Self returns the host's own record.
func (v View) Self() Member { return v.member(v.self).Member }

// Members returns all records, the host itself and dead hosts included, sorted by host. A host
// that the platform list marks leaving is shown as leaving.
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

// Address returns the peer address of a host. The address of a seed stands for itself.
func (v View) Address(host string) (string, bool) {
	if e := v.member(host); e != nil {
		return e.PeerAddress, true
	}
	if l, ok := v.listed[host]; ok {
		return l.PeerAddress, true
	}
	return host, slices.Contains(v.seeds, host)
}

// Links returns the hosts with which heartbeats are exchanged.
func (v View) Links() []string {
	hosts := make([]string, len(v.links))
	for i, l := range v.links {
		hosts[i] = l.host
	}
	return hosts
}

// WithPlatformHosts takes over the platform list. It adds addresses to probe and marks hosts leaving; it
// never removes a member.
func (v View) WithPlatformHosts(listed map[string]PlatformHost) View {
	v.listed = listed
	return v
}

// WithLeaving announces that the host itself leaves.
func (v View) WithLeaving(now time.Duration) (View, Output) {
	self := v.Self()
	self.Incarnation++
	self.State = Leaving
	return v.change(now, []Member{self})
}

// WithStopped announces that the host itself has stopped, so that nobody waits for its heartbeats.
func (v View) WithStopped(now time.Duration) (View, Output) {
	self := v.Self()
	self.State = Dead
	return v.change(now, []Member{self})
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

// put stores one record; the slice is copied, the records are shared.
func (v View) put(e *entry) View {
	i, known := v.find(e.Host)
	members := make([]*entry, 0, len(v.members)+1)
	members = append(members, v.members[:i]...)
	members = append(members, e)
	if known {
		old := v.members[i]
		v.buckets[old.bucket()] ^= old.hash
		if old.State == Suspected {
			v.suspects--
		}
		i++
	}
	if e.State == Suspected {
		v.suspects++
	}
	v.members = append(members, v.members[i:]...)
	v.buckets[e.bucket()] ^= e.hash
	return v
}

// change stores records that are news, rebuilds the links and returns the flood.
func (v View) change(now time.Duration, news []Member) (View, Output) {
	if len(news) == 0 {
		return v, Output{}
	}
	before := v.Links()
	for _, m := range news {
		v = v.put(newEntry(m, now))
	}
	v = v.relink(now, news).enqueue(news)
	// The links of before are included so that a host that has just been declared dead hears of it.
	links := append(v.Links(), before...)
	slices.Sort(links)
	return v, Output{Updates: news, UpdateTargets: slices.Compact(links)}
}

// enqueue has the changes repeated in the next heartbeats.
func (v View) enqueue(news []Member) View {
	pending := slices.Clone(v.pending)
	for _, m := range news {
		pending = slices.DeleteFunc(pending, func(p pendingUpdate) bool { return p.host == m.Host })
		pending = append(pending, pendingUpdate{host: m.Host, left: updateRepeats})
	}
	v.pending = pending[max(0, len(pending)-maxPending):]
	return v
}

// MergeUpdates merges records that a peer sent. What is new is flooded on.
func (v View) MergeUpdates(now time.Duration, updates []Member) (View, Output) {
	var news []Member
	contested := v.contested
	space := MaxMembers - len(v.members)
	for _, u := range updates {
		if u.Host == "" || rank[u.State] == 0 {
			continue
		}
		old := v.member(u.Host)
		switch {
		case u.Host == v.self:
			if refuted, ok := refute(old.Member, u); ok {
				news = append(news, refuted)
				v = v.put(newEntry(refuted, now))
			}
		case old == nil:
			// A tombstone of an unknown host is ignored, otherwise hosts would pass it on forever.
			if u.State != Dead && space > 0 && u.PeerAddress != "" {
				space--
				news = append(news, u)
				v = v.put(newEntry(u, now))
			}
		case supersedes(u, old.Member):
			news = append(news, u)
			v = v.put(newEntry(u, now))
		case old.State == Dead && u.State != Dead && u.Incarnation == old.Incarnation && len(contested) < bucketCount:
			if !slices.Contains(contested, u.Host) {
				contested = append(slices.Clone(contested), u.Host)
			}
		}
	}
	v.contested = contested
	return v.change(now, news)
}

// refute returns the record that outdates what a peer says about this host.
func refute(self, said Member) (Member, bool) {
	if said.Incarnation < self.Incarnation || said == self {
		return self, false
	}
	if said.Incarnation == self.Incarnation && rank[said.State] <= rank[self.State] {
		return self, false
	}
	self.Incarnation = said.Incarnation + 1
	return self, true
}

// HandleHeartbeat takes a heartbeat from a peer.
func (v View) HandleHeartbeat(now time.Duration, from string, beat Heartbeat) (View, Output) {
	v, out := v.MergeUpdates(now, beat.Updates)
	e := v.member(from)
	if e == nil || e.Incarnation < beat.Incarnation {
		// The flood with the sender's record was lost or has not arrived yet.
		out.SyncTargets = append(out.SyncTargets, from)
		return v, out
	}
	if e.State == Dead || e.State == Suspected {
		// The sender lives: the exchange shows it our record, which it refutes.
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
	l.patience = v.timing.SuspectAfter
	if l.neighbour || !beat.NonNeighbour {
		l.heard = now
	}
	if beat.TableHash == v.table() {
		l.mismatch = 0
	} else if l.mismatch++; l.mismatch >= mismatchLimit {
		l.mismatch = 0
		out.SyncTargets = append(out.SyncTargets, from)
	}
	v.links = links
	if !known {
		// The sender waits for an answer: it counts this host as its neighbour.
		out.Heartbeats = append(out.Heartbeats, OutgoingHeartbeat{To: from, Heartbeat: v.heartbeat(true)})
	}
	return v, out
}

// heartbeat returns what this host tells its links; the driver adds the digest.
func (v View) heartbeat(guest bool) Heartbeat {
	beat := Heartbeat{NonNeighbour: guest, Incarnation: v.Self().Incarnation, TableHash: v.table()}
	// The newest changes go first.
	for i := len(v.pending) - 1; i >= 0 && len(beat.Updates) < MaxUpdates; i-- {
		if e := v.member(v.pending[i].host); e != nil {
			beat.Updates = append(beat.Updates, e.Member)
		}
	}
	return beat
}

func (v View) table() uint64 {
	sum := uint64(len(v.buckets))
	for _, b := range v.buckets {
		sum = sum*1099511628211 + b
	}
	return sum
}
