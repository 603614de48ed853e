package entry

import "time"

// demandReport are the parts of the demandReport that one host stated.
type demandReport struct {
	Origin
	parts     map[uint8]map[uint32]uint32
	partCount uint8
	lastHeard time.Duration
}

// addPart takes in one part.
func (r *demandReport) addPart(now time.Duration, m *DemandPart) {
	if r.parts == nil || r.partCount != m.Parts || r.Started != m.Started {
		r.parts, r.partCount = map[uint8]map[uint32]uint32{}, m.Parts
	}
	r.Origin, r.lastHeard = m.Origin, now
	r.parts[m.Part] = m.Demand
}

// perSecond is the demand perSecond a team in requests per second.
func (r *demandReport) perSecond(team uint32) float64 {
	if r.partCount == 0 {
		return 0
	}
	return float64(r.parts[uint8(team%uint32(r.partCount))][team]) / demandScale
}

// sumDomainDemand sums up the demand of teams in the own failure domain. The caller holds f.mu.
func (f *fleet) sumDomainDemand(now time.Duration) map[uint32]uint32 {
	sum := map[uint32]uint32{}
	for team, rate := range f.host.teams.advertisedDemand() {
		sum[team] += uint32(rate)
	}
	for _, p := range f.peers {
		if p.FailureDomain != f.host.settings.FailureDomain {
			continue
		}
		for team := range p.Demand {
			sum[team] += uint32(f.reportedDemand(p, now, team) * demandScale)
		}
		for _, part := range p.demandReport.parts {
			for team := range part {
				sum[team] += uint32(f.reportedDemand(p, now, team) * demandScale)
			}
		}
	}
	return sum
}

// sumOutsideDemand sums up the demand of teams in the other failure domains, as their delegates told this host. The caller
// holds f.mu.
func (f *fleet) sumOutsideDemand(now time.Duration) map[uint32]uint32 {
	sum := map[uint32]uint32{}
	for name, d := range f.domains {
		s := d.demandSource(now, f.domainTimeout(name))
		if s == nil {
			continue
		}
		for _, part := range s.demandReport.parts {
			for team := range part {
				sum[team] += uint32(s.demand(now, team) * demandScale)
			}
		}
	}
	return sum
}

// demandPackets divides rates among as few messages as hold them. There is one even without rates, which says so.
func demandPackets(origin Origin, scope Scope, demand map[uint32]uint32) []Packet {
	const maxParts = 255
	parts := min(1+len(demand)/teamsPerPart, maxParts)
	if parts > 1 {
		// The teams are not spread quite evenly.
		parts = min(parts+1, maxParts)
	}
	packets := make([]Packet, parts)
	for i := range packets {
		packets[i].DemandPart = &DemandPart{Origin: origin, Scope: scope, Part: uint8(i), Parts: uint8(parts), Demand: map[uint32]uint32{}}
	}
	for team, rate := range demand {
		if rate > 0 {
			packets[team%uint32(parts)].DemandPart.Demand[team] = rate
		}
	}
	return packets
}
