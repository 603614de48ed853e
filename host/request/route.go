package request

import (
	"net/http"

	"vanillatally/core/config"
	"vanillatally/io/callers"
)

// routeRequest finds the route and checks that the team may use it.
func routeRequest(x *exchange) error {
	path := x.r.URL.Path
	if config.HasDotSegment(path) {
		return callers.Refuse(http.StatusBadRequest, "path-invalid", "the path must not contain dot segments")
	}
	found, ok := x.configuration.RouteByPath(path)
	if !ok {
		return callers.Refuse(http.StatusNotFound, "route-unknown", "no route has this path")
	}
	x.routeName, x.route = found.Name, found.Route
	if !x.route.Open {
		switch {
		case x.token == "":
			return callers.Refuse(http.StatusUnauthorized, "key-required", "the route needs a key in the Authorization header")
		case !x.service.options.Fresh(x.team):
			return callers.Refuse(http.StatusServiceUnavailable, "configuration-stale",
				"this host cannot tell whether its configuration is the newest").WithRetryAfter(retryLater)
		case x.team == "":
			return callers.Refuse(http.StatusUnauthorized, "key-unknown", "the key is not known or was withdrawn")
		case !x.effective.Allows(x.routeName):
			return callers.Refuse(http.StatusForbidden, "route-not-permitted", "the team may not use route "+x.routeName)
		}
	}
	switch x.r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		x.idempotent = true
	case http.MethodConnect, http.MethodTrace:
		return callers.Refuse(http.StatusMethodNotAllowed, "method-not-allowed", "the method is not forwarded")
	}
	x.key = x.r.Header.Get("Idempotency-Key")
	return x.next()
}
