package permit

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// quantum is the service time by which teams with equal claims alternate. A shorter one moves permits
// between hosts more often, a longer one lets a team with few permits wait longer.
const quantum = 100 * time.Millisecond

// maxHolders bounds the hosts in one book. A report of a further host gets no permit.
const maxHolders = 8192

// Pool is the owner's state for one server. It is immutable.
type Pool struct {
	// OwnerEpoch is the epoch at which this owner took over.
	OwnerEpoch uint64
	// ReadyAt is the time from which permits are granted.
	ReadyAt time.Duration
	slots   int
	// holders is sorted by host and instance. The sum of granted is at most slots, except for what
	// hosts already held when this owner took over or when slots was lowered.
	holders []holder
	// credits is the service that each active team has had, in permit seconds per weight.
	credits map[string]float64
	last    time.Duration
	// number is that of the last grant to any holder, so that a late grant to a holder that was
	// dropped and came back is known as such.
	number uint64
}

// holder is what the owner knows about one process.
type holder struct {
	host     string
	instance uint64
	// granted is the most that the process may believe to hold, limit what it was told last.
	granted, limit int
	number, acked  uint64
	expiry         time.Duration
	teams          []Usage
	shares         []Usage
}

// HandoverEntry is a holder as one owner passes it to the next.
type HandoverEntry struct {
	Host     string  `cbor:"host"`
	Instance uint64  `cbor:"instance"`
	Granted  int     `cbor:"granted"`
	Teams    []Usage `cbor:"teams,omitempty"`
}

// NewPool returns the state of an owner that has taken over. handed is what the former owner had
// granted; it is empty when that is not known, and the book settles first.
func NewPool(tenure uint64, slots int, handed []HandoverEntry, settle bool, now time.Duration) Pool {
	b := Pool{OwnerEpoch: tenure, ReadyAt: now, slots: slots, last: now}
	if settle {
		b.ReadyAt = now + SettleDelay
	}
	for _, h := range handed {
		b.holders = append(b.holders, holder{
			host: h.Host, instance: h.Instance, granted: h.Granted, limit: h.Granted, teams: h.Teams, expiry: now + ownerLifetime,
		})
	}
	slices.SortFunc(b.holders, compareHolders)
	return b
}

func compareHolders(a, b holder) int {
	if c := strings.Compare(a.host, b.host); c != 0 {
		return c
	}
	switch {
	case a.instance < b.instance:
		return -1
	case a.instance > b.instance:
		return 1
	}
	return 0
}

// Handover returns what the next owner has to know.
func (b Pool) Handover(now time.Duration) (handed []HandoverEntry) {
	for _, h := range b.holders {
		if now < h.expiry {
			handed = append(handed, HandoverEntry{Host: h.host, Instance: h.instance, Granted: h.granted, Teams: h.teams})
		}
	}
	return handed
}

// Granted returns the number of permits that hosts may hold.
func (b Pool) Granted() (sum int) {
	for _, h := range b.holders {
		sum += h.granted
	}
	return sum
}

// HandleReport takes in a host's state and returns the grants that changed, with that of the host itself.
func (b Pool) HandleReport(now time.Duration, from string, r Report, slots int, weights map[string]float64) (Pool, map[string]Grant) {
	b.holders = slices.Clone(b.holders)
	i, known := slices.BinarySearchFunc(b.holders, holder{host: from, instance: r.Instance}, compareHolders)
	if !known {
		if len(b.holders) >= maxHolders {
			return b, nil
		}
		b.holders = slices.Insert(b.holders, i, holder{host: from, instance: r.Instance, limit: r.Held})
	}
	if h := &b.holders[i]; !known || r.Sequence > h.acked {
		h.acked, h.expiry, h.teams = r.Sequence, now+ownerLifetime, r.Teams
		exact := h.number == 0 || r.OwnerEpoch == b.OwnerEpoch && r.AppliedGrant == h.number
		if exact {
			h.granted = r.Held
			h.limit = min(h.limit, r.Held)
		} else {
			h.granted = max(h.granted, r.Held)
		}
	}
	b, grants := b.allocate(now, slots, weights)
	i, _ = slices.BinarySearchFunc(b.holders, holder{host: from, instance: r.Instance}, compareHolders)
	if i < len(b.holders) && b.holders[i].host == from && b.holders[i].instance == r.Instance {
		if b.holders[i].number == 0 {
			b.number++
			b.holders[i].number = b.number
		}
		grants[from] = b.grant(r.Server, b.holders[i])
	}
	for host, g := range grants {
		g.Server = r.Server
		grants[host] = g
	}
	return b, grants
}

// Tick drops expired permits and returns the grants that changed.
func (b Pool) Tick(now time.Duration, server string, slots int, weights map[string]float64) (Pool, map[string]Grant) {
	b.holders = slices.Clone(b.holders)
	b, grants := b.allocate(now, slots, weights)
	for host, g := range grants {
		g.Server = server
		grants[host] = g
	}
	return b, grants
}

func (b Pool) grant(server string, h holder) Grant {
	return Grant{
		Server: server, Instance: h.instance, OwnerEpoch: b.OwnerEpoch, Number: h.number, AckedReport: h.acked, Limit: h.limit, Shares: h.shares,
	}
}

// allocate sets the limits of all holders. b.holders has been copied by the caller.
func (b Pool) allocate(now time.Duration, slots int, weights map[string]float64) (Pool, map[string]Grant) {
	b.slots = slots
	b.holders = slices.DeleteFunc(b.holders, func(h holder) bool { return now >= h.expiry })
	b = b.charge(now, weights)
	grants := map[string]Grant{}
	if now < b.ReadyAt {
		return b, grants
	}
	targets, shares := b.targets(weights)
	free := b.slots - b.Granted()
	for i := range b.holders {
		h := &b.holders[i]
		if h.acked == 0 {
			// Handed over by the former owner; it has not reported here yet.
			continue
		}
		limit := min(targets[i], h.granted)
		if more := min(targets[i]-h.granted, free); more > 0 {
			limit = h.granted + more
			free -= more
		}
		if limit == h.limit && h.number > 0 {
			h.shares = shares[i]
			continue
		}
		h.limit, h.shares = limit, shares[i]
		h.granted = max(h.granted, limit)
		b.number++
		h.number = b.number
		grants[h.host] = b.grant("", *h)
	}
	return b, grants
}

// charge adds the service since the last call to the credits of the active teams.
func (b Pool) charge(now time.Duration, weights map[string]float64) Pool {
	elapsed := (now - b.last).Seconds()
	b.last = now
	credits := map[string]float64{}
	lowest, found := 0.0, false
	for _, h := range b.holders {
		for _, u := range h.teams {
			if u.InUse+u.Waiting == 0 {
				continue
			}
			if c, active := b.credits[u.Team]; active {
				if _, charged := credits[u.Team]; !charged {
					credits[u.Team] = c
				}
				credits[u.Team] += float64(u.InUse) * elapsed / weight(weights, u.Team)
			}
		}
	}
	for _, c := range credits {
		if !found || c < lowest {
			lowest, found = c, true
		}
	}
	// A team that becomes active starts level with the one that had least, so that idle time is not saved.
	for team := range credits {
		credits[team] -= lowest
	}
	for _, h := range b.holders {
		for _, u := range h.teams {
			if _, active := credits[u.Team]; !active && u.InUse+u.Waiting > 0 {
				credits[u.Team] = 0
			}
		}
	}
	b.credits = credits
	return b
}

func weight(weights map[string]float64, team string) float64 {
	if w := weights[team]; w > 0 {
		return w
	}
	return 1
}

// demand is what one team wants at one holder.
type demand struct {
	holder, inUse, wanted, given int
	// oldest is the wait of the first waiting request, in seconds.
	oldest float64
}

// priority orders a team's hosts for the next permit: by the wait of the request that would get it. A
// running request counts as older, because moving its permit costs two messages.
func (d demand) priority() float64 {
	if d.given < d.inUse {
		return d.oldest + 2*quantum.Seconds()
	}
	return d.oldest / float64(d.given-d.inUse+1)
}

// targets divides the slots over the teams max-min fairly by weight, and each team's part over the
// hosts, running requests first. What nobody wants stays where it is.
func (b Pool) targets(weights map[string]float64) ([]int, [][]Usage) {
	targets, shares := make([]int, len(b.holders)), make([][]Usage, len(b.holders))
	teams := map[string][]demand{}
	for i, h := range b.holders {
		since := b.last - (h.expiry - ownerLifetime)
		for _, u := range h.teams {
			if n := u.InUse + u.Waiting; n > 0 {
				teams[u.Team] = append(teams[u.Team], demand{holder: i, inUse: u.InUse, wanted: n, oldest: (u.OldestWait + since).Seconds()})
			}
		}
	}
	names := slices.Sorted(maps.Keys(teams))
	given := make([]int, len(names))
	rest := b.slots
	for ; rest > 0; rest-- {
		best, bestKey := -1, 0.0
		for t, name := range names {
			if pick(teams[name]) < 0 {
				continue
			}
			key := b.credits[name] + float64(given[t]+1)*quantum.Seconds()/weight(weights, name)
			if best < 0 || key < bestKey {
				best, bestKey = t, key
			}
		}
		if best < 0 {
			break
		}
		given[best]++
		wants := teams[names[best]]
		wants[pick(wants)].given++
	}
	for _, name := range names {
		for _, d := range teams[name] {
			targets[d.holder] += d.given
			shares[d.holder] = append(shares[d.holder], Usage{Team: name, InUse: d.given})
		}
	}
	for i, h := range b.holders {
		idle := min(max(0, h.granted-targets[i]), rest)
		targets[i] += idle
		rest -= idle
	}
	return targets, shares
}

// pick returns the holder that gets the team's next permit, or -1 when all have what they want.
func pick(wants []demand) int {
	best := -1
	for i, d := range wants {
		if d.given < d.wanted && (best < 0 || d.priority() > wants[best].priority()) {
			best = i
		}
	}
	return best
}
