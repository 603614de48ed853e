package host

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"vanillatally/core/membership"
	"vanillatally/io/hosts"
)

// lookup answers with the living hosts, those of this host's region first.
func (h *Host) lookup(w http.ResponseWriter, r *http.Request) {
	current := h.configs.Current()
	route := r.URL.Query().Get("route")
	_, err := netip.ParseAddr(r.URL.Query().Get("address"))
	if current == nil || err != nil || current.Routes[route].Service == "" {
		http.Error(w, "unknown route or bad address", http.StatusBadRequest)
		return
	}
	answer := hosts.Answer{TTLMS: time.Duration(h.settings.Limits.LookupTTL).Milliseconds(), Sequence: current.Sequence}
	for _, m := range h.members.Members() {
		if m.State == membership.Alive && !current.Hosts[m.Host].Drain {
			answer.Hosts = append(answer.Hosts, hosts.Host{ID: m.Host, Address: m.CallerAddress, Region: m.Region, FailureDomain: m.FailureDomain})
		}
	}
	slices.SortStableFunc(answer.Hosts, func(a, b hosts.Host) int {
		return distance(a, h.settings.Region) - distance(b, h.settings.Region)
	})
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

func distance(host hosts.Host, region string) int {
	if host.Region == region {
		return 0
	}
	return 1
}
