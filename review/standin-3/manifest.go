package main

// route is one route of a manifest.
type route struct {
	name, prefix, kind, service string
	timeoutMs, aimMs            int
}

const (
	virtualHost = "front.example"
	tenantKey   = "key-of-red-0123456789"
)

// manifestOf returns a manifest with one tenant, the services of the routes and the routes.
func manifestOf(version string, routes ...route) map[string]any {
	services, paths, known := []any{}, []any{}, map[string]bool{}
	for _, r := range routes {
		if !known[r.service] {
			known[r.service] = true
			services = append(services, map[string]any{
				"Name": r.service, "HealthPath": "/health", "MaxConns": 330, "Protocol": "h1", "Tls": false, "ColdStartS": 3.0, "ColdPerS": 2.5,
			})
		}
		paths = append(paths, map[string]any{
			"Name": r.name, "PathPrefix": r.prefix, "Kind": r.kind, "TimeoutMs": r.timeoutMs, "TargetLatencyMs": r.aimMs, "Priority": 1,
			"Service": r.service, "MaxAttempts": 2, "Public": false, "Sticky": false, "HomeRegions": []string{},
		})
	}
	return map[string]any{
		"Version": version, "Services": services,
		"Limits":       map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":      []any{map[string]any{"Name": "red", "ApiKeys": []string{tenantKey}, "Priority": 1, "RatePerS": 1000, "Burst": 1000, "HomeRegions": []string{}}},
		"VirtualHosts": []any{map[string]any{"Host": virtualHost, "Paths": paths}},
	}
}
