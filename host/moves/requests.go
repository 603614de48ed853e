package moves

import "vanillatally/core/rollout"

// Version returns the version of service that a rollout chooses for one request, or an empty string if no rollout runs. u is
// uniform in [0, 1).
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
		// A host that is cut off from the others can miss a veto, so it sends nothing to a version that isn't proved.
		return m.rollout.From
	}
	return m.rollout.To
}

// Place returns the region or backend server to which a shift moves a request that would go to place, or place itself if no
// shift applies or its destination is not usable. u is uniform in [0, 1).
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

// Observe counts one finished request for the moves that it belongs to.
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
