package main

// virtualHost is the virtual host of all routes.
const virtualHost = "shop.example"

// The keys of the two tenants.
const (
	firstKey  = "9anu6wsjnbanfqasnmgk"
	secondKey = "cuyj8pjbvk9m68k7b2ex"
)

type manifestService struct {
	Name, HealthPath     string
	MaxConns             int
	ColdStartS, ColdPerS float64
}

type manifestRoute struct {
	Name, PathPrefix, Kind, Service string
	TimeoutMs, TargetLatencyMs      int
	Priority, MaxAttempts           int
	Public, Sticky                  bool
}

// putManifest writes a manifest as the operator does.
func (r *run) putManifest(version string, services []manifestService, routes []manifestRoute) {
	r.store.put("config", "main", map[string]any{
		"Version": version, "Services": services,
		"Limits": map[string]any{
			"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000,
		},
		"Tenants":      []any{tenant("sese880", firstKey), tenant("oban112", secondKey)},
		"VirtualHosts": []any{map[string]any{"Host": virtualHost, "Paths": routes}},
	})
	r.note("the operator sends manifest %s", version)
}

// tenant returns a tenant of a manifest, with the allowance of the pages' example.
func tenant(name, key string) map[string]any {
	return map[string]any{
		"Name": name, "ApiKeys": []string{key}, "Priority": 1, "RatePerS": 249, "Burst": 249, "HomeRegions": []string{},
	}
}
