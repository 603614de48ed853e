package request

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"vanillatally/core/config"
)

// index is the configuration in the form that the request path needs. It is immutable.
type index struct {
	configuration *config.Configuration
	// teams maps the SHA-256 of each key to its team.
	teams map[[sha256.Size]byte]string
	// routes is ordered by falling length of the prefix.
	routes []namedRoute
	// permitted holds the routes of each team.
	permitted map[string]map[string]bool
	// weights holds the weight of each team in fair queues.
	weights map[string]float64
}

type namedRoute struct {
	name  string
	route config.Route
}

// currentIndex returns the index of the configuration in force, or nil.
func (s *Service) currentIndex() *index {
	configuration := s.options.Configuration()
	if configuration == nil {
		return nil
	}
	current := s.index.Load()
	if current == nil || current.configuration != configuration {
		current = newIndex(configuration)
		s.index.Store(current)
	}
	return current
}

func newIndex(configuration *config.Configuration) *index {
	ix := &index{
		configuration: configuration,
		teams:         map[[sha256.Size]byte]string{},
		permitted:     map[string]map[string]bool{},
		// Requests without a team share the weight of one.
		weights: map[string]float64{"": 1},
	}
	for name, team := range configuration.Teams {
		for _, key := range team.Keys {
			var hash [sha256.Size]byte
			// The configuration's validation rules out other lengths; a bad entry matches no key.
			if raw, err := hex.DecodeString(key); err == nil && len(raw) == len(hash) {
				copy(hash[:], raw)
				ix.teams[hash] = name
			}
		}
		routes := team.Routes
		if routes == nil {
			routes = configuration.Templates[team.Template].Routes
		}
		set := make(map[string]bool, len(routes))
		for _, route := range routes {
			set[route] = true
		}
		ix.permitted[name] = set
		weight := configuration.Templates[team.Template].Weight
		if team.Weight != nil {
			weight = *team.Weight
		}
		if weight == 0 {
			weight = 1
		}
		ix.weights[name] = weight
	}
	for name, route := range configuration.Routes {
		ix.routes = append(ix.routes, namedRoute{name, route})
	}
	slices.SortFunc(ix.routes, func(a, b namedRoute) int {
		if d := len(b.route.PathPrefix) - len(a.route.PathPrefix); d != 0 {
			return d
		}
		return strings.Compare(a.name, b.name)
	})
	return ix
}

// find returns the route with the longest prefix that ends at a path segment of path.
func (ix *index) find(path string) (namedRoute, bool) {
	for _, r := range ix.routes {
		prefix := r.route.PathPrefix
		if !strings.HasPrefix(path, prefix) {
			continue
		}
		if len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/' {
			return r, true
		}
	}
	return namedRoute{}, false
}

// teamOf returns the team of a key. Only the hash of the key is compared, so that the time tells nothing about keys.
func (ix *index) teamOf(key string) (string, bool) {
	team, ok := ix.teams[sha256.Sum256([]byte(key))]
	return team, ok
}
