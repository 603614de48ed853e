package terminal

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"vanillatally/core/config"
)

var nameArgument = argument{"name", "name of the team or template"}

var templateListCommand = command{
	name: "template-list", description: "list the templates", example: "template-list",
	run: func(ctx context.Context, s *session, _ values) error {
		current, err := s.client.Configuration(ctx)
		if err != nil {
			return err
		}
		var lines []string
		for _, name := range current.Names("templates") {
			t := current.Templates[name]
			lines = append(lines, fmt.Sprintf("%-20s rate %g/s burst %g weight %g routes %s",
				name, t.Rate, t.Burst, t.Weight, strings.Join(t.Routes, ",")))
		}
		return s.print(current.Templates, strings.Join(lines, "\n"))
	},
}

var teamListCommand = command{
	name: "team-list", description: "list the teams with their limits, including those inherited from templates",
	example: "team-list",
	run: func(ctx context.Context, s *session, _ values) error {
		current, err := s.client.Configuration(ctx)
		if err != nil {
			return err
		}
		index := current.WithIndex()
		var lines []string
		for _, name := range current.Names("teams") {
			if t, ok := index.EffectiveTeam(name); ok {
				lines = append(lines, fmt.Sprintf("%-20s rate %g/s burst %g weight %g keys %d",
					name, t.Rate, t.Burst, t.Weight, len(current.Teams[name].Keys)))
			}
		}
		return s.print(current.Teams, strings.Join(lines, "\n"))
	},
}

var limitFlags = []flag{
	{"rate", "requests per second, above 0", ""},
	{"burst", "requests, at least 1", ""},
	{"weight", "weight in fair queueing, above 0", ""},
	{"routes", "names of routes, separated by commas", ""},
}

var templateEditCommand = command{
	name: "template-edit", description: "create a template or change its values and thereby those of its teams",
	example: "template-edit standard --rate 50 --burst 100", arguments: []argument{nameArgument}, flags: limitFlags,
	run: func(ctx context.Context, s *session, v values) error {
		return editDocument(ctx, s, "templates", v.get("name"), func(t *config.TeamTemplate) error {
			for _, n := range []struct {
				flag  string
				value *float64
			}{{"rate", &t.Rate}, {"burst", &t.Burst}, {"weight", &t.Weight}} {
				given, err := parseNumberFlag(v, n.flag)
				if err != nil {
					return err
				}
				if given != nil {
					*n.value = *given
				}
			}
			t.Routes = parseListFlag(v, "routes", t.Routes)
			return nil
		})
	},
}

var teamEditCommand = command{
	name: "team-edit", description: "create a team or change its values",
	example: "team-edit alpha --template standard --rate 80", arguments: []argument{nameArgument},
	flags: append([]flag{
		{"template", "name of the team's template", ""},
		{"when-region-cut", "serve or refuse: what a host does while its region cannot reach the store", ""},
	}, limitFlags...),
	run: func(ctx context.Context, s *session, v values) error {
		return editDocument(ctx, s, "teams", v.get("name"), func(t *config.Team) error {
			for _, n := range []struct {
				flag  string
				value **float64
			}{{"rate", &t.Rate}, {"burst", &t.Burst}, {"weight", &t.Weight}} {
				given, err := parseNumberFlag(v, n.flag)
				if err != nil {
					return err
				}
				if given != nil {
					*n.value = given
				}
			}
			if given := v.get("template"); given != "" {
				t.Template = given
			}
			if given := v.get("when-region-cut"); given != "" {
				t.WhenRegionCut = given
			}
			t.Routes = parseListFlag(v, "routes", t.Routes)
			return nil
		})
	},
}

// generatedKeyBytes is the number of random bytes in a generated API key.
const generatedKeyBytes = 24

var keyGrantCommand = command{
	name: "key-grant", description: "grant a team an API key; without --key, generate one and print it once",
	example: "key-grant alpha", arguments: []argument{{"team", "name of the team"}},
	flags: []flag{{"key", "API key to grant", ""}},
	run: func(ctx context.Context, s *session, v values) error {
		key := v.get("key")
		if key == "" {
			random := make([]byte, generatedKeyBytes)
			_, _ = rand.Read(random)
			key = hex.EncodeToString(random)
		}
		err := editDocument(ctx, s, "teams", v.get("team"), func(t *config.Team) error {
			if t.Template == "" {
				return errors.Newf("team %q does not exist", v.get("team"))
			}
			t.Keys = append(t.Keys, config.HashAPIKey(key))
			return nil
		})
		if err != nil {
			return err
		}
		return s.print(map[string]string{"key": key}, "key: "+key)
	},
}

var keyWithdrawCommand = command{
	name: "key-withdraw", description: "revoke a team's API key; every host rejects it within 3 s",
	example: "key-withdraw alpha --key 3f…", arguments: []argument{{"team", "name of the team"}},
	flags: []flag{{"key", "API key to revoke", ""}},
	run: func(ctx context.Context, s *session, v values) error {
		hash := config.HashAPIKey(v.get("key"))
		return editDocument(ctx, s, "teams", v.get("team"), func(t *config.Team) error {
			if !slices.Contains(t.Keys, hash) {
				return errors.Newf("team %q does not have this key", v.get("team"))
			}
			t.Keys = slices.DeleteFunc(t.Keys, func(k string) bool { return k == hash })
			return nil
		})
	},
}

// parseNumberFlag returns the value of a flag, or nil if the flag was not given.
func parseNumberFlag(v values, name string) (*float64, error) {
	if v.get(name) == "" {
		return nil, nil
	}
	n, err := strconv.ParseFloat(v.get(name), 64)
	if err != nil {
		return nil, errors.Newf("--%s: %q is not a number", name, v.get(name))
	}
	return &n, nil
}

// parseListFlag splits the value of a flag at its commas, or returns current if the flag was not given.
func parseListFlag(v values, name string, current []string) []string {
	if v.get(name) == "" {
		return current
	}
	return strings.Split(v.get(name), ",")
}
