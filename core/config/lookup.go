package config

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// index is the index of one configuration. It is immutable once built.
type index struct {
	// teams holds the effective values of each team.
	teams map[string]*EffectiveTeam
	// keys maps the SHA-256 of each key to its team.
	keys map[[sha256.Size]byte]*EffectiveTeam
	// virtualHosts holds the routes by host name; the empty name holds those for every name.
	virtualHosts map[string]*prefixRoutes
}

// prefixRoutes finds routes by path prefix.
type prefixRoutes struct {
	routes map[string]NamedRoute
	// maxPrefixLength is the length of the maxPrefixLength prefix, which bounds the work of a look-up.
	maxPrefixLength int
}

// NamedRoute is a route with its name.
type NamedRoute struct {
	Name string
	Route
}

// EffectiveTeam is a team with the values of its template filled in. It must not be changed.
type EffectiveTeam struct {
	Name string
	// Rate, Burst and Weight are above 0.
	Rate, Burst, Weight float64
	Routes              []string
	// Priority ranks the team's requests, 1 being the most urgent; 0 leaves the ranking to the route.
	Priority int
	// HomeRegions names the regions in which the team's requests may run; an empty list allows all.
	HomeRegions []string
	// RefuseWhenRegionCut is set when keyed requests are refused once the region's relay lost the store.
	RefuseWhenRegionCut bool

	allowedRoutes map[string]struct{}
}

// AllRoutes in a team's list allows every route.
const AllRoutes = "*"

// Allows tells whether the team may use the named route.
func (t *EffectiveTeam) Allows(route string) bool {
	if _, all := t.allowedRoutes[AllRoutes]; all {
		return true
	}
	_, ok := t.allowedRoutes[route]
	return ok
}

// HashAPIKey returns the form in which a team's document holds a key.
func HashAPIKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// WithIndex returns the configuration with its index built. Look-ups without it build one at each call.
func (c Configuration) WithIndex() Configuration {
	c.cachedIndex = buildIndex(&c)
	return c
}

func (c *Configuration) currentIndex() *index {
	if c.cachedIndex != nil {
		return c.cachedIndex
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
		Priority: team.Priority, HomeRegions: team.HomeRegions, RefuseWhenRegionCut: team.WhenRegionCut == "refuse",
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

// EffectiveTeam returns a team's values with those of its template filled in.
func (c *Configuration) EffectiveTeam(name string) (*EffectiveTeam, bool) {
	team, ok := c.currentIndex().teams[name]
	return team, ok
}

// TeamByAPIKey returns the team that holds key.
func (c *Configuration) TeamByAPIKey(key string) (*EffectiveTeam, bool) {
	// The buffer keeps keys of ordinary length off the heap.
	var buffer [256]byte
	team, ok := c.currentIndex().keys[sha256.Sum256(append(buffer[:0], key...))]
	return team, ok
}

// TeamByAPIKeyHash returns the team that holds the key with this SHA-256.
func (c *Configuration) TeamByAPIKeyHash(sum [sha256.Size]byte) (*EffectiveTeam, bool) {
	team, ok := c.currentIndex().keys[sum]
	return team, ok
}

// RouteByPath returns the route without a virtual host whose prefix matches the most whole segments of a decoded path.
func (c *Configuration) RouteByPath(path string) (NamedRoute, bool) {
	return c.RouteByVirtualHost("", path)
}

// RouteByVirtualHost returns the route of a virtual host whose prefix matches the most whole segments of a decoded path, or
// else such a route without a virtual host. A path with a . or .. segment matches none, because a backend server
// could resolve it to another route.
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

// longestMatch returns the route with the longest prefix; a nil receiver holds none.
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
