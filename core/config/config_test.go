package config_test

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"vanillatally/core/config"
)

const baseChangeFile = `
[templates.standard]
rate = 10.0
burst = 20.0
routes = ["search"]

[teams.alpha]
template = "standard"
rate = 50.0
keys = ["%s"]

[routes.search]
path-prefix = "/search"
service = "search"
class = "prompt"
timeout = "2s"

[routes.root]
path-prefix = "/"
service = "search"
class = "bulk"
timeout = "2s"

[services.search]
version = "v1"

[regions.gulf]
[regions.levant]
`

// baseConfiguration returns the configuration that baseChangeFile creates, in which team alpha has the API key
// "secret".
func baseConfiguration(t testing.TB) config.Configuration {
	t.Helper()
	edits, err := config.ParseChangeFile("base.toml", []byte(fmt.Sprintf(baseChangeFile, config.HashAPIKey("secret"))))
	if err != nil {
		t.Fatal(err)
	}
	c, err := config.Configuration{}.WithEdits(edits)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against errors about a change file that do not name the file, line, document, key and accepted range, and
// against invalid input being accepted.
func TestInvalidChangeFileErrorsNameLineAndRange(t *testing.T) {
	for name, c := range map[string]struct{ file, want string }{
		"range": {
			"\n[teams.beta]\ntemplate = \"standard\"\nrate = -1.0\n",
			`f.toml:4: teams/beta: rate = -1; accepted: a number in (0, 1e+09]`,
		},
		"unknown key":  {"[teams.beta]\ntemplat = \"x\"\n", `f.toml:2: teams.beta.templat: unknown key`},
		"unknown kind": {"[team.beta]\nrate = 1\n", `f.toml:1: team.beta: unknown key; accepted: delete and [templates`},
		"type":         {"[teams.beta]\ntemplate = \"s\"\nrate = \"x\"\n", `f.toml:3: `},
		"duration": {
			"[shifts.a]\nroute=\"search\"\nfrom=\"gulf\"\nto=\"levant\"\nshare=0.5\ncap=0.5\nwithin=\"-1s\"\n",
			`f.toml:7: shifts/a: within = "-1s"; accepted: a duration in (0s,`,
		},
		"above cap": {
			"[shifts.a]\nroute=\"search\"\nfrom=\"gulf\"\nto=\"levant\"\nshare=0.9\ncap=0.5\nwithin=\"1s\"\n",
			`f.toml:5: shifts/a: share = 0.9; accepted: a number in (0, 0.5]`,
		},
		"reference": {
			"[teams.beta]\ntemplate = \"none\"\n",
			`teams/beta: template = "none"; accepted: the name of one of the templates`,
		},
		"duplicate key": {
			"[teams.beta]\ntemplate = \"standard\"\nkeys = [\"" + config.HashAPIKey("secret") + "\"]\n",
			`accepted: a key of one team only; it is also in teams/alpha`,
		},
		"raw key": {
			"[teams.beta]\ntemplate = \"standard\"\nkeys = [\"mysecret\"]\n",
			`f.toml:3: teams/beta: keys = "(hidden)"; accepted: 64 hexadecimal digits`,
		},
		"referenced": {"delete = [\"templates/standard\"]\n", `teams/alpha: template = "standard"`},
		"absent":     {"delete = [\"teams/none\"]\n", `teams/none: does not exist`},
		"bad delete": {"\ndelete = [\"teams\"]\n", `f.toml:2: delete = "teams"`},
		"syntax":     {"[teams.beta]\nrate = \n", `f.toml:2:`},
	} {
		t.Run(name, func(t *testing.T) {
			edits, err := config.ParseChangeFile("f.toml", []byte(c.file))
			before := baseConfiguration(t)
			if err == nil {
				_, err = before.WithEdits(edits)
			}
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("error = %v, want it to contain %s", err, c.want)
			}
			if strings.Contains(err.Error(), "mysecret") {
				t.Fatal("the error message contains the API key")
			}
			if !reflect.DeepEqual(before, baseConfiguration(t)) {
				t.Fatal("a rejected change altered the configuration")
			}
		})
	}
}

// Guards against a prefix matching part of a segment, a shorter prefix winning over a longer one, and a route for a
// path that a backend server could resolve to another route.
func TestRouteByPathMatchesWholeSegments(t *testing.T) {
	c := baseConfiguration(t)
	for path, want := range map[string]string{
		"/search": "search", "/search/x": "search", "/searching": "root", "/": "root", "/other/search": "root",
		"": "", "search": "", "/search/../hold": "", "/search/.": "", "/search/..": "",
		"/search/.../x": "search", "/search/.x": "search",
	} {
		if got, _ := c.RouteByPath(path); got.Name != want {
			t.Errorf("RouteByPath(%q) = %q, want %q", path, got.Name, want)
		}
	}
}

// Guards against template values overriding the team's own, and against a changed template not reaching its teams.
func TestEffectiveTeamUsesTemplateDefaults(t *testing.T) {
	c := baseConfiguration(t)
	team, ok := c.TeamByAPIKey("secret")
	if !ok || team.Name != "alpha" || team.Rate != 50 || team.Burst != 20 || team.Weight != 1 ||
		!team.Allows("search") || team.Allows("root") {
		t.Fatalf("TeamByAPIKey(\"secret\") = %+v, %v", team, ok)
	}
	next, err := c.WithEdits([]config.Edit{{Kind: "templates", Name: "standard", Document: []byte(`{"rate":1,"burst":99}`)}})
	if err != nil {
		t.Fatal(err)
	}
	edited, _ := next.EffectiveTeam("alpha")
	if edited.Rate != 50 || edited.Burst != 99 || edited.Allows("search") || team.Burst != 20 {
		t.Fatalf("after the edit: %+v, before: %+v", edited, team)
	}
	if _, ok := next.TeamByAPIKey("other"); ok {
		t.Fatal("an unknown API key belongs to a team")
	}
}

// Guards against heap allocations in the lookups that each request makes.
func TestLookupsDoNotAllocate(t *testing.T) {
	c := baseConfiguration(t)
	if n := testing.AllocsPerRun(100, func() {
		c.RouteByPath("/search/by/name")
		c.TeamByAPIKey("secret")
		c.EffectiveTeam("alpha")
	}); n != 0 {
		t.Fatalf("%v allocations in three lookups, want 0", n)
	}
}

// Guards against edits that alter the configuration they apply to, changes that give another result at another host,
// and losses in encoding and decoding.
func TestChangesGiveTheSameConfigurationOnReplicas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, err := config.Configuration{}.WithEdits([]config.Edit{
			{Kind: "templates", Name: "t0", Document: []byte(`{"rate":1,"burst":1}`)},
		})
		if err != nil {
			t.Fatal(err)
		}
		writer, replica := first, first
		for i := range rapid.IntRange(1, 20).Draw(t, "changes") {
			edit := config.Edit{
				Kind: rapid.SampledFrom([]string{"templates", "teams", "servers"}).Draw(t, "kind"),
				Name: rapid.SampledFrom([]string{"t0", "t1", "t2"}).Draw(t, "name"),
			}
			if rapid.Bool().Draw(t, "set") {
				edit.Document = map[string][]byte{
					"templates": fmt.Appendf(nil, `{"rate":%d,"burst":1}`, i+1),
					"teams":     []byte(`{"template":"t0"}`), "servers": []byte(`{"drain":true}`),
				}[edit.Kind]
			}
			before, _ := writer.Encode()
			change := config.Change{Sequence: writer.Sequence + 1, ChangeID: fmt.Sprint(i), Edits: []config.Edit{edit}}
			next, err := writer.WithChange(change)
			if after, _ := writer.Encode(); string(before) != string(after) {
				t.Fatal("WithChange altered the configuration that it was called on")
			}
			if err != nil {
				continue
			}
			diff, err := config.Diff(&writer, &next)
			if err != nil {
				t.Fatal(err)
			}
			if len(diff) > 0 {
				if replica, err = replica.WithChange(config.Change{
					Sequence: change.Sequence, ChangeID: change.ChangeID, Edits: diff,
				}); err != nil {
					t.Fatal(err)
				}
			} else {
				replica = next
			}
			writer = next
			if _, err := replica.WithChange(change); err == nil {
				t.Fatal("a change was applied twice")
			}
		}
		encoded, err := writer.Encode()
		if err != nil {
			t.Fatal(err)
		}
		parsed, err := config.Parse(encoded)
		if err != nil {
			t.Fatal(err)
		}
		again, _ := parsed.Encode()
		other, _ := replica.Encode()
		if string(again) != string(encoded) || string(other) != string(encoded) {
			t.Fatalf("writer %s\nparsed %s\nreplica %s", encoded, again, other)
		}
	})
}

// Guards against accepting a stored configuration with an unknown key, an invalid value or a size over the limit.
func TestParseIsStrict(t *testing.T) {
	for _, data := range []string{
		`{"sequence":1,"tems":{}}`, `{"sequence":1,"teams":{"a":{"templat":"x"}}}`, `{"sequence":1} x`,
		`{"sequence":-1}`, `{"sequence":1,"teams":{"a":{"template":"none"}}}`,
		`{"change-id":"` + strings.Repeat("x", config.MaxEncodedBytes) + `"}`,
	} {
		if _, err := config.Parse([]byte(data)); err == nil {
			t.Errorf("Parse accepted %.60s", data)
		}
	}
}
