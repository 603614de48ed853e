package entry

import "time"

// rates are the parts of the rates that one host stated.
type rates struct {
	Origin
	parts   map[uint8]map[uint32]uint32
	count   uint8
	heardAt time.Duration
}

// with takes in one part.
func (r *rates) with(now time.Duration, m *DemandPart) {
	if r.parts == nil || r.count != m.Parts || r.Started != m.Started {
		r.parts, r.count = map[uint8]map[uint32]uint32{}, m.Parts
	}
	r.Origin, r.heardAt = m.Origin, now
	r.parts[m.Part] = m.Demand
}

// of is the demand of a team in requests per second.
func (r *rates) of(team uint32) float64 {
	if r.count == 0 {
		return 0
	}
	return float64(r.parts[uint8(team%uint32(r.count))][team]) / rateScale
}

// ownRates sums up the demand of teams in the own failure domain. The caller holds f.mu.
func (f *fleet) ownRates(now time.Duration) map[uint32]uint32 {
	sum := map[uint32]uint32{}
	for team, rate := range f.host.teams.told() {
		sum[team] += uint32(rate)
	}
	for _, p := range f.peers {
		if p.FailureDomain != f.host.settings.FailureDomain {
			continue
		}
		for team := range p.Demand {
			sum[team] += uint32(f.statedDemand(p, now, team) * rateScale)
		}
		for _, part := range p.rates.parts {
			for team := range part {
				sum[team] += uint32(f.statedDemand(p, now, team) * rateScale)
			}
		}
	}
	return sum
}

// ratesElsewhere sums up the demand of teams in the other failure domains, as their delegates told this host. The caller
// holds f.mu.
func (f *fleet) ratesElsewhere(now time.Duration) map[uint32]uint32 {
	sum := map[uint32]uint32{}
	for name, d := range f.domains {
		s := d.rateSource(now, f.domainSilence(name))
		if s == nil {
			continue
		}
		for _, part := range s.rates.parts {
			for team := range part {
				sum[team] += uint32(s.demand(now, team) * rateScale)
			}
		}
	}
	return sum
}

// ratePackets divides rates among as few messages as hold them. There is one even without rates, which says so.
func ratePackets(origin Origin, scope DemandScope, demand map[uint32]uint32) []Packet {
	const maxParts = 255
	parts := min(1+len(demand)/partRates, maxParts)
	if parts > 1 {
		// The teams are not spread quite evenly.
		parts = min(parts+1, maxParts)
	}
	packets := make([]Packet, parts)
	for i := range packets {
		packets[i].Demand = &DemandPart{Origin: origin, Scope: scope, Part: uint8(i), Parts: uint8(parts), Demand: map[uint32]uint32{}}
	}
	for team, rate := range demand {
		if rate > 0 {
			packets[team%uint32(parts)].Demand.Demand[team] = rate
		}
	}
	return packets
}
