package permit

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// fairnessQuantum is the service time after which teams of equal standing take turns. A shorter one moves permits
// between hosts more often; a longer one lets a team with few permits wait longer.
const fairnessQuantum = 100 * time.Millisecond

// maxHolders bounds the holders in a pool. Reports of further hosts get no permit.
const maxHolders = 8192

// Pool is the owner's state for one server. It is immutable: methods return a new value.
type Pool struct {
	// OwnerEpoch is the ledger epoch at which this owner took over the server.
	OwnerEpoch uint64
	// ReadyAt is the time from which permits are granted.
	ReadyAt time.Duration
	slots   int
	// holders is sorted by host and instance. The sum of maxHeld is at most slots, except for permits that hosts
	// already held when this owner took over or when slots decreased.
	holders []holder
	// normalizedService is the service that each active team has received, in permit-seconds divided by its weight and
	// relative to the team with the least. The next permit goes to the team with the least service.
	normalizedService map[string]float64
	lastCharge        time.Duration
	// lastGrant is the number of the last grant to any holder. It is common to all holders so that a late grant to a
	// holder that was dropped and has come back is recognized as late.
	lastGrant uint64
}

// holder is the owner's state for one process that holds permits.
type holder struct {
	host     string
	instance uint64
	// maxHeld is the most permits that the process may hold by any grant it may have applied; limit is the last grant.
	maxHeld, limit           int
	grantNumber, ackedReport uint64
	expiry                   time.Duration
	teams                    []Usage
	shares                   []Usage
}

// HandoverEntry is a holder in the handover from one owner to the next.
type HandoverEntry struct {
	Host     string  `cbor:"host"`
	Instance uint64  `cbor:"instance"`
	Granted  int     `cbor:"granted"`
	Teams    []Usage `cbor:"teams,omitempty"`
}

// NewPool returns the state of an owner that takes over at now. handover holds the former owner's grants. If they are not
// known, settle is set and the pool grants nothing for SettleDelay.
func NewPool(ownerEpoch uint64, slots int, handover []HandoverEntry, settle bool, now time.Duration) Pool {
	p := Pool{OwnerEpoch: ownerEpoch, ReadyAt: now, slots: slots, lastCharge: now}
	if settle {
		p.ReadyAt = now + SettleDelay
	}
	for _, h := range handover {
		p.holders = append(p.holders, holder{
			host: h.Host, instance: h.Instance, maxHeld: h.Granted, limit: h.Granted, teams: h.Teams, expiry: now + ownerLifetime,
		})
	}
	slices.SortFunc(p.holders, compareHolders)
	return p
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

// Handover returns the unexpired holders for the next owner.
func (p Pool) Handover(now time.Duration) (entries []HandoverEntry) {
	for _, h := range p.holders {
		if now < h.expiry {
			entries = append(entries, HandoverEntry{Host: h.host, Instance: h.instance, Granted: h.maxHeld, Teams: h.teams})
		}
	}
	return entries
}

// Granted returns the number of permits that all hosts together may hold.
func (p Pool) Granted() (sum int) {
	for _, h := range p.holders {
		sum += h.maxHeld
	}
	return sum
}

// HandleReport processes a host's report and returns the grants to send, by host: those that changed and that of the
// reporting host.
func (p Pool) HandleReport(
	now time.Duration, from string, r Report, slots int, weights map[string]float64,
) (Pool, map[string]Grant) {
	p.holders = slices.Clone(p.holders)
	i, known := slices.BinarySearchFunc(p.holders, holder{host: from, instance: r.Instance}, compareHolders)
	if !known {
		if len(p.holders) >= maxHolders {
			return p, nil
		}
		p.holders = slices.Insert(p.holders, i, holder{host: from, instance: r.Instance, limit: r.Held})
	}
	if h := &p.holders[i]; !known || r.Sequence > h.ackedReport {
		h.ackedReport, h.expiry, h.teams = r.Sequence, now+ownerLifetime, r.Teams
		exact := h.grantNumber == 0 || r.OwnerEpoch == p.OwnerEpoch && r.AppliedGrant == h.grantNumber
		if exact {
			h.maxHeld = r.Held
			h.limit = min(h.limit, r.Held)
		} else {
			h.maxHeld = max(h.maxHeld, r.Held)
		}
	}
	p, grants := p.allocate(now, slots, weights)
	i, _ = slices.BinarySearchFunc(p.holders, holder{host: from, instance: r.Instance}, compareHolders)
	if i < len(p.holders) && p.holders[i].host == from && p.holders[i].instance == r.Instance {
		if p.holders[i].grantNumber == 0 {
			p.lastGrant++
			p.holders[i].grantNumber = p.lastGrant
		}
		grants[from] = p.grant(r.Server, p.holders[i])
	}
	for host, g := range grants {
		g.Server = r.Server
		grants[host] = g
	}
	return p, grants
}

// Tick drops expired permits and returns the grants that changed, by host.
func (p Pool) Tick(now time.Duration, server string, slots int, weights map[string]float64) (Pool, map[string]Grant) {
	p.holders = slices.Clone(p.holders)
	p, grants := p.allocate(now, slots, weights)
	for host, g := range grants {
		g.Server = server
		grants[host] = g
	}
	return p, grants
}

func (p Pool) grant(server string, h holder) Grant {
	return Grant{
		Server: server, Instance: h.instance, OwnerEpoch: p.OwnerEpoch, Number: h.grantNumber, AckedReport: h.ackedReport,
		Limit: h.limit, Shares: h.shares,
	}
}

// allocate drops expired holders, recomputes the limits of the others and returns the grants that changed. It modifies
// p.holders, which the caller has copied.
func (p Pool) allocate(now time.Duration, slots int, weights map[string]float64) (Pool, map[string]Grant) {
	p.slots = slots
	p.holders = slices.DeleteFunc(p.holders, func(h holder) bool { return now >= h.expiry })
	p = p.chargeService(now, weights)
	grants := map[string]Grant{}
	if now < p.ReadyAt {
		return p, grants
	}
	targets, shares := p.targets(weights)
	free := p.slots - p.Granted()
	for i := range p.holders {
		h := &p.holders[i]
		if h.ackedReport == 0 {
			// The holder comes from the former owner and has not reported to this one yet.
			continue
		}
		limit := min(targets[i], h.maxHeld)
		if more := min(targets[i]-h.maxHeld, free); more > 0 {
			limit = h.maxHeld + more
			free -= more
		}
		if limit == h.limit && h.grantNumber > 0 {
			h.shares = shares[i]
			continue
		}
		h.limit, h.shares = limit, shares[i]
		h.maxHeld = max(h.maxHeld, limit)
		p.lastGrant++
		h.grantNumber = p.lastGrant
		grants[h.host] = p.grant("", *h)
	}
	return p, grants
}

// chargeService adds the service since the last call to normalizedService.
func (p Pool) chargeService(now time.Duration, weights map[string]float64) Pool {
	elapsed := (now - p.lastCharge).Seconds()
	p.lastCharge = now
	service := map[string]float64{}
	lowest, found := 0.0, false
	for _, h := range p.holders {
		for _, u := range h.teams {
			if u.InUse+u.Waiting == 0 {
				continue
			}
			if c, active := p.normalizedService[u.Team]; active {
				if _, charged := service[u.Team]; !charged {
					service[u.Team] = c
				}
				service[u.Team] += float64(u.InUse) * elapsed / weight(weights, u.Team)
			}
		}
	}
	for _, c := range service {
		if !found || c < lowest {
			lowest, found = c, true
		}
	}
	// A team that becomes active starts with the least service of all active teams, so that idle time earns nothing.
	for team := range service {
		service[team] -= lowest
	}
	for _, h := range p.holders {
		for _, u := range h.teams {
			if _, active := service[u.Team]; !active && u.InUse+u.Waiting > 0 {
				service[u.Team] = 0
			}
		}
	}
	p.normalizedService = service
	return p
}

func weight(weights map[string]float64, team string) float64 {
	if w := weights[team]; w > 0 {
		return w
	}
	return 1
}

// demand is the demand of a team at one holder: running requests, running plus waiting ones, and permits assigned so far.
type demand struct {
	holder, inUse, wanted, assigned int
	// oldestWait is how long the first waiting request has waited, in seconds.
	oldestWait float64
}

// priority orders a team's holders for the next permit by the wait of the request that would get it. A running request
// counts as two quanta older, because moving its permit costs two messages.
func (d demand) priority() float64 {
	if d.assigned < d.inUse {
		return d.oldestWait + 2*fairnessQuantum.Seconds()
	}
	return d.oldestWait / float64(d.assigned-d.inUse+1)
}

// targets returns the number of permits and the shares of the teams for each holder. It divides the slots between the
// teams by weighted max-min fairness, and each team's slots between the holders by priority. Unrequested permits stay with
// their holders.
func (p Pool) targets(weights map[string]float64) ([]int, [][]Usage) {
	targets, shares := make([]int, len(p.holders)), make([][]Usage, len(p.holders))
	teams := map[string][]demand{}
	for i, h := range p.holders {
		since := p.lastCharge - (h.expiry - ownerLifetime)
		for _, u := range h.teams {
			if n := u.InUse + u.Waiting; n > 0 {
				teams[u.Team] = append(teams[u.Team], demand{
					holder: i, inUse: u.InUse, wanted: n, oldestWait: (u.OldestWait + since).Seconds(),
				})
			}
		}
	}
	names := slices.Sorted(maps.Keys(teams))
	teamGrants := make([]int, len(names))
	remaining := p.slots
	for ; remaining > 0; remaining-- {
		best, bestService := -1, 0.0
		for t, name := range names {
			if nextRecipient(teams[name]) < 0 {
				continue
			}
			service := p.normalizedService[name] + float64(teamGrants[t]+1)*fairnessQuantum.Seconds()/weight(weights, name)
			if best < 0 || service < bestService {
				best, bestService = t, service
			}
		}
		if best < 0 {
			break
		}
		teamGrants[best]++
		demands := teams[names[best]]
		demands[nextRecipient(demands)].assigned++
	}
	for _, name := range names {
		for _, d := range teams[name] {
			targets[d.holder] += d.assigned
			shares[d.holder] = append(shares[d.holder], Usage{Team: name, InUse: d.assigned})
		}
	}
	for i, h := range p.holders {
		idle := min(max(0, h.maxHeld-targets[i]), remaining)
		targets[i] += idle
		remaining -= idle
	}
	return targets, shares
}

// nextRecipient returns the index of the demand that gets the team's next permit, or -1 if all demands are met.
func nextRecipient(demands []demand) int {
	best := -1
	for i, d := range demands {
		if d.assigned < d.wanted && (best < 0 || d.priority() > demands[best].priority()) {
			best = i
		}
	}
	return best
}
