package host

import (
	"math/bits"
	"slices"
	"sync/atomic"

	"vanillatally/core/budget"
	"vanillatally/core/config"
	"vanillatally/core/ledger"
	"vanillatally/host/permits"
	"vanillatally/io/events"
	"vanillatally/io/platform"
)

// linkNames maps pairs of regions to the name of the link between them. The map is replaced with each configuration.
type linkNames struct {
	byRegions atomic.Pointer[map[[2]string]string]
}

func (l *linkNames) name(from, to string) (string, bool) {
	names := l.byRegions.Load()
	if names == nil {
		return "", false
	}
	name, ok := (*names)[[2]string{from, to}]
	return name, ok
}

// applyLimits passes the limits, weights and hosts declared dead of a configuration to the services that use them.
func (h *Host) applyLimits(configuration *config.Configuration) {
	teams, weights := map[string]budget.Limits{}, map[string]float64{}
	for name := range configuration.Teams {
		if team, ok := configuration.EffectiveTeam(name); ok {
			teams[name] = budget.Limits{Rate: team.Rate, Burst: team.Burst}
			weights[name] = team.Weight
		}
	}
	capacities, names := map[string]budget.Limits{}, map[[2]string]string{}
	for name, link := range configuration.Links {
		// The burst of a link is the capacity of one second.
		capacities[name] = budget.Limits{Rate: link.BytesPerSecond, Burst: link.BytesPerSecond}
		names[[2]string{link.From, link.To}] = name
	}
	h.setLimits(h.budgets.SetTeams, teams)
	h.setLimits(h.budgets.SetLinks, capacities)
	h.permits.SetTeamWeights(weights)
	h.links.byRegions.Store(&names)
	h.budgets.SetDeclaredDead(func(m ledger.Member) bool {
		return configuration.Hosts[m.Host].Dead || configuration.Regions[m.Region].Dead
	})
	h.log.Emit(events.ConfigApplied, "sequence", configuration.Sequence)
}

func (h *Host) setLimits(set func(budget.LimitTable), limits map[string]budget.Limits) {
	table, err := budget.NewLimitTable(limits)
	if err != nil {
		// This should not happen, since the validation of configurations is at least as strict.
		h.log.Emit(events.ConfigInvalid, "error", err)
		return
	}
	set(table)
}

// rateShareHolders returns the hosts that hold shares of a team's rate. Look-ups direct callers of the team to them.
func (h *Host) rateShareHolders(team string) []string {
	current := h.configs.Current()
	if current == nil {
		return nil
	}
	effective, ok := current.EffectiveTeam(team)
	if !ok {
		return nil
	}
	slots := budget.Limits{Rate: effective.Rate, Burst: effective.Burst}.Slots(team)
	assigned := h.budgets.Ledger().Slots
	var holders []string
	for ; slots != 0; slots &= slots - 1 {
		holder := assigned[bits.TrailingZeros64(slots)].Holder
		if holder != "" && !slices.Contains(holders, holder) {
			holders = append(holders, holder)
		}
	}
	return holders
}

// onBackendServersListed passes a new list of backend servers to the services that use it.
func (h *Host) onBackendServersListed(listed []platform.BackendServer) {
	capacities := make(map[string]permits.Server, len(listed))
	for _, s := range listed {
		capacities[s.ID] = permits.Server{Slots: s.Slots, Region: s.Region, FailureDomain: s.FailureDomain}
	}
	h.permits.SetServers(capacities)
	h.places.rebuild(listed)
}
