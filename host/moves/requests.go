package moves

import "vanillatally/core/rollout"

// Version picks the version of service for one request; u is uniform in [0, 1). The empty string means that the
// configured version applies.
func (s *Service) Version(service, _ string, u float64) string {
	list := s.table.Load().rolloutsByService[service]
	if len(list) == 0 {
		return ""
	}
	m := list[0]
	if u >= m.share() {
		return m.rollout.From
	}
	if !m.ended.Load() && !s.opts.Configs.Fresh("") {
		// A host that hears of no other could miss a veto, so an unproved version gets nothing.
		return m.rollout.From
	}
	return m.rollout.To
}

// Place returns the region or backend server to which shifts move a request that would go to place; u is uniform in
// [0, 1). Requests never go to a place that is not usable.
func (s *Service) Place(route, team, place string, u float64) string {
	for _, m := range s.table.Load().shiftsBySource[place] {
		if m.shift.Route != "" && m.shift.Route != route || m.shift.Team != "" && m.shift.Team != team {
			continue
		}
		if u < m.share() && s.opts.Places.Usable(m.shift.To) {
			return m.shift.To
		}
	}
	return place
}

// Observe adds one finished request to the evidence.
func (s *Service) Observe(o rollout.Observation) {
	t := s.table.Load()
	if list := t.rolloutsByService[o.Service]; len(list) > 0 && !list[0].ended.Load() {
		m := list[0]
		if c := (*m.counters.Load())[o.Route]; c != nil && (o.Version == m.rollout.To || o.Version == m.rollout.From) {
			c.observe(&o, o.Version == m.rollout.To)
		}
	}
	if len(t.allShifts) == 0 {
		return
	}
	region := s.opts.Places.Region(o.Server)
	for _, m := range t.allShifts {
		if m.ended.Load() {
			continue
		}
		isNew := m.shift.To == o.Server || m.shift.To == region
		if c := (*m.counters.Load())[o.Route]; c != nil && (isNew || m.shift.From == o.Server || m.shift.From == region) {
			c.observe(&o, isNew)
		}
	}
}
