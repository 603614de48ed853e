package entry

import "time"

// demandReport is the demand of many teams as one other host reported it, in several parts.
type demandReport struct {
	Origin
	// parts holds each team's demand, in requests per second times demandScale, by the part's number and the hash of the
	// team's name.
	parts     map[uint8]map[uint32]uint32
	partCount uint8
	// lastSeen is the time of the last part.
	lastSeen time.Duration
}

// addPart stores one received part. A new number of parts or a restart of the sender discards the earlier ones.
func (r *demandReport) addPart(now time.Duration, part *DemandPart) {
	if r.parts == nil || r.partCount != part.Parts || r.Started != part.Started {
		r.parts, r.partCount = map[uint8]map[uint32]uint32{}, part.Parts
	}
	r.Origin, r.lastSeen = part.Origin, now
	r.parts[part.Part] = part.Demand
}

// perSecond returns a team's demand in requests per second.
func (r *demandReport) perSecond(team uint32) float64 {
	if r.partCount == 0 {
		return 0
	}
	return float64(r.parts[uint8(team%uint32(r.partCount))][team]) / demandScale
}

// sumDomainDemand sums up the demand of each team at the hosts of this host's failure domain, times demandScale. The caller
// holds f.mu.
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

// sumOutsideDemand sums up the demand of each team in the other failure domains, times demandScale, from their delegates'
// reports. The caller holds f.mu.
func (f *fleet) sumOutsideDemand(now time.Duration) map[uint32]uint32 {
	sum := map[uint32]uint32{}
	for name, d := range f.domains {
		source := d.demandSource(now, f.domainTimeout(name))
		if source == nil {
			continue
		}
		for _, part := range source.demandReport.parts {
			for team := range part {
				sum[team] += uint32(source.demand(now, team) * demandScale)
			}
		}
	}
	return sum
}

// demandPackets distributes the demand of teams over as few packets as hold it. Without demand it returns one empty part, so
// that the receiver drops earlier figures.
func demandPackets(origin Origin, scope Scope, demand map[uint32]uint32) []Packet {
	const maxParts = 255
	parts := min(1+len(demand)/teamsPerPart, maxParts)
	if parts > 1 {
		// The hash does not spread the teams quite evenly; leave room.
		parts = min(parts+1, maxParts)
	}
	packets := make([]Packet, parts)
	for i := range packets {
		packets[i].DemandPart = &DemandPart{
			Origin: origin, Scope: scope, Part: uint8(i), Parts: uint8(parts), Demand: map[uint32]uint32{},
		}
	}
	for team, rate := range demand {
		if rate > 0 {
			packets[team%uint32(parts)].DemandPart.Demand[team] = rate
		}
	}
	return packets
}
