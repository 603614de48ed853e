package config

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// index holds the maps for lookups in one configuration. It is immutable once built.
type index struct {
	// teams maps team names to the teams' effective values.
	teams map[string]*EffectiveTeam
	// keys maps the SHA-256 of each API key to the key's team.
	keys map[[sha256.Size]byte]*EffectiveTeam
	// virtualHosts maps host names to their routes. The empty name has the routes for all host names.
	virtualHosts map[string]*prefixRoutes
}

// prefixRoutes finds routes by path prefix.
type prefixRoutes struct {
	routes map[string]NamedRoute
	// maxPrefixLength is the length of the longest prefix, which bounds the work of a lookup.
	maxPrefixLength int
}

// NamedRoute is a route with its name.
type NamedRoute struct {
	Name string
	Route
}

// EffectiveTeam is a team with its template's values filled in. It must not be changed.
type EffectiveTeam struct {
	Name string
	// Rate, Burst and Weight are above 0.
	Rate, Burst, Weight float64
	Routes              []string
	// Priority ranks the team's requests, 1 being the most urgent; 0 leaves the ranking to the route.
	Priority int
	// Homes names the regions in which the team's requests may run; an empty list allows all.
	Homes []string
	// RefuseWhenRegionCut is set when requests with the team's API keys are refused while the region's relay cannot
	// reach the store.
	RefuseWhenRegionCut bool

	allowedRoutes map[string]struct{}
}

// AllRoutes in a team's list of routes allows every route.
const AllRoutes = "*"

// Allows reports whether the team may use the route with this name.
func (t *EffectiveTeam) Allows(route string) bool {
	if _, all := t.allowedRoutes[AllRoutes]; all {
		return true
	}
	_, ok := t.allowedRoutes[route]
	return ok
}

// HashAPIKey returns the hash of an API key as Team.Keys holds it.
func HashAPIKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// WithIndex returns the configuration with its index built. Without it, each lookup builds an index.
func (c Configuration) WithIndex() Configuration {
	c.index = buildIndex(&c)
	return c
}

func (c *Configuration) currentIndex() *index {
	if c.index != nil {
		return c.index
	}
	return buildIndex(c)
}

func buildIndex(c *Configuration) *index {
	built := &index{
		teams:        make(map[string]*EffectiveTeam, len(c.Teams)),
		keys:         make(map[[sha256.Size]byte]*EffectiveTeam, len(c.Teams)),
		virtualHosts: map[string]*prefixRoutes{},
	}
	for name, team := range c.Teams {
		effective := effectiveTeam(name, team, c.Templates[team.Template])
		built.teams[name] = effective
		for _, key := range team.Keys {
			var sum [sha256.Size]byte
			if n, err := hex.Decode(sum[:], []byte(key[:min(len(key), 2*sha256.Size)])); err == nil && n == len(sum) {
				built.keys[sum] = effective
			}
		}
	}
	for name, route := range c.Routes {
		host := built.virtualHosts[route.VirtualHost]
		if host == nil {
			host = &prefixRoutes{routes: map[string]NamedRoute{}}
			built.virtualHosts[route.VirtualHost] = host
		}
		host.routes[route.PathPrefix] = NamedRoute{Name: name, Route: route}
		host.maxPrefixLength = max(host.maxPrefixLength, len(route.PathPrefix))
	}
	return built
}

func effectiveTeam(name string, team Team, template TeamTemplate) *EffectiveTeam {
	effective := &EffectiveTeam{
		Name: name, Rate: template.Rate, Burst: template.Burst, Weight: template.Weight, Routes: template.Routes,
		Priority: team.Priority, Homes: team.Homes, RefuseWhenRegionCut: team.WhenRegionCut == "refuse",
	}
	if team.Rate != nil {
		effective.Rate = *team.Rate
	}
	if team.Burst != nil {
		effective.Burst = *team.Burst
	}
	if team.Weight != nil {
		effective.Weight = *team.Weight
	}
	if effective.Weight == 0 {
		effective.Weight = 1
	}
	if team.Routes != nil {
		effective.Routes = team.Routes
	}
	effective.allowedRoutes = make(map[string]struct{}, len(effective.Routes))
	for _, route := range effective.Routes {
		effective.allowedRoutes[route] = struct{}{}
	}
	return effective
}

// EffectiveTeam returns a team with its template's values filled in.
func (c *Configuration) EffectiveTeam(name string) (*EffectiveTeam, bool) {
	team, ok := c.currentIndex().teams[name]
	return team, ok
}

// TeamByAPIKey returns the team to which an API key belongs.
func (c *Configuration) TeamByAPIKey(key string) (*EffectiveTeam, bool) {
	// The buffer avoids a heap allocation for keys of ordinary length.
	var buffer [256]byte
	team, ok := c.currentIndex().keys[sha256.Sum256(append(buffer[:0], key...))]
	return team, ok
}

// TeamByAPIKeyHash returns the team to which the API key with this SHA-256 belongs.
func (c *Configuration) TeamByAPIKeyHash(sum [sha256.Size]byte) (*EffectiveTeam, bool) {
	team, ok := c.currentIndex().keys[sum]
	return team, ok
}

// RouteByPath returns the route without a virtual host that has the longest prefix of whole segments of a decoded path.
func (c *Configuration) RouteByPath(path string) (NamedRoute, bool) {
	return c.RouteByVirtualHost("", path)
}

// RouteByVirtualHost returns the virtual host's route that has the longest prefix of whole segments of a decoded path,
// or such a route without a virtual host if the virtual host has none. A path with a . or .. segment matches no route,
// because a backend server could resolve it to the path of another route.
func (c *Configuration) RouteByVirtualHost(virtualHost, path string) (NamedRoute, bool) {
	if HasDotSegment(path) {
		return NamedRoute{}, false
	}
	built := c.currentIndex()
	if route, ok := built.virtualHosts[virtualHost].longestMatch(path); ok || virtualHost == "" {
		return route, ok
	}
	return built.virtualHosts[""].longestMatch(path)
}

// longestMatch returns the route with the longest prefix of the path. A nil receiver has no routes.
func (p *prefixRoutes) longestMatch(path string) (NamedRoute, bool) {
	if p == nil {
		return NamedRoute{}, false
	}
	for end := min(len(path), p.maxPrefixLength); end > 0; end-- {
		// A prefix ends at the end of the path, before a slash, or with a slash.
		if end != len(path) && path[end] != '/' && path[end-1] != '/' {
			continue
		}
		if route, ok := p.routes[path[:end]]; ok {
			return route, true
		}
	}
	return NamedRoute{}, false
}

// HasDotSegment reports whether a decoded path has a . or .. segment.
func HasDotSegment(path string) bool {
	for rest := path; ; {
		i := strings.Index(rest, "/.")
		if i < 0 {
			return false
		}
		rest = rest[i+2:]
		after := strings.TrimPrefix(rest, ".")
		if rest == "" || rest[0] == '/' || after == "" || (len(after) < len(rest) && after[0] == '/') {
			return true
		}
	}
}
