package request

import (
	"math/rand/v2"
	"net"
	"net/http"

	"vanillatally/core/config"
	"vanillatally/io/callers"
)

// routeRequest finds the route, checks that the team may use it, and determines whether the request is idempotent.
func routeRequest(x *exchange) error {
	path := x.r.URL.Path
	if config.HasDotSegment(path) {
		return callers.Refuse(http.StatusBadRequest, "path-invalid", "the path must not contain dot segments")
	}
	found, ok := x.configuration.RouteByVirtualHost(hostName(x.r.Host), path)
	if !ok {
		return callers.Refuse(http.StatusNotFound, "route-unknown", "no route has this path")
	}
	x.routeName, x.route = found.Name, found.Route
	if len(x.route.Split) > 0 {
		x.route.Service = pickWeightedService(x.route.Split, rand.Float64())
	}
	if !x.route.Open {
		fresh := x.service.options.ConfigurationFresh(x.team)
		if newest := x.service.configuration(); newest != x.configuration {
			// ConfigurationFresh answered for the newest configuration, in which the API key may have been withdrawn. Route
			// the request again with that configuration.
			x.configuration = newest
			x.lookUpTeam()
			return routeRequest(x)
		}
		switch {
		case x.apiKey == "":
			return callers.Refuse(http.StatusUnauthorized, "key-required", "the route needs a key in the Authorization header")
		case !fresh:
			return callers.Refuse(http.StatusServiceUnavailable, "configuration-stale",
				"this host cannot tell whether its configuration is the newest").WithRetryAfter(defaultRetryAfter)
		case x.team == "":
			return callers.Refuse(http.StatusUnauthorized, "key-unknown", "the key is not known or was withdrawn")
		case !x.effectiveTeam.Allows(x.routeName):
			return callers.Refuse(http.StatusForbidden, "route-not-permitted", "the team may not use route "+x.routeName)
		}
	}
	switch x.r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		x.idempotent = true
	case http.MethodConnect, http.MethodTrace:
		return callers.Refuse(http.StatusMethodNotAllowed, "method-not-allowed", "the method is not forwarded")
	}
	switch x.route.Replay {
	case config.ReplayAllowed:
		x.idempotent = true
	case config.ReplayNever:
		x.idempotent = false
	}
	x.idempotencyKey = x.r.Header.Get("Idempotency-Key")
	return x.next()
}

// hostName returns the host of a Host header without the port.
func hostName(header string) string {
	if name, _, err := net.SplitHostPort(header); err == nil {
		return name
	}
	return header
}

// pickWeightedService chooses a service according to the weights; u is uniform in [0, 1).
func pickWeightedService(parts []config.WeightedService, u float64) string {
	total := 0.0
	for _, part := range parts {
		total += part.Weight
	}
	left := u * total
	for _, part := range parts {
		if left -= part.Weight; left < 0 {
			return part.Service
		}
	}
	return parts[len(parts)-1].Service
}
