// Package settings reads the settings of a host from a TOML file and validates them.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Duration is a time.Duration that is written with a unit, such as "30s".
type Duration time.Duration

// UnmarshalText accepts the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Newf("%q is not a duration with a unit, such as \"30s\"", text)
	}
	*d = Duration(parsed)
	return nil
}

// Settings are the settings of one host.
type Settings struct {
	// Host is the host's id. It must be unique among all hosts.
	Host          string `toml:"host"`
	Region        string `toml:"region"`
	FailureDomain string `toml:"failure-domain"`
	// CallerAddress, PeerAddress and OperatorAddress are the IP:port pairs on which the host listens for callers, other
	// hosts and operators.
	CallerAddress   string `toml:"caller-address"`
	PeerAddress     string `toml:"peer-address"`
	OperatorAddress string `toml:"operator-address"`
	StoreEndpoint   string `toml:"store-endpoint"`
	// PlatformEndpoint is the URL of the platform's API, which lists the hosts and backend servers.
	PlatformEndpoint string `toml:"platform-endpoint"`
	// PeerSecret authenticates the hosts to each other. All hosts have the same one.
	PeerSecret string `toml:"peer-secret"`
	// OperatorCredential authenticates operators.
	OperatorCredential string `toml:"operator-credential"`
	LogLevel           string `toml:"log-level"`
	// Seeds maps the ids of other hosts to their peer addresses, for joining the membership.
	Seeds  map[string]string `toml:"seeds"`
	Limits Limits            `toml:"limits"`
}

// Limits bound the requests and waits of one host.
type Limits struct {
	// DrainTimeout is how long a stopping host waits for its running requests.
	DrainTimeout Duration `toml:"drain-timeout"`
	// RequestBytes is the largest request body.
	RequestBytes int64 `toml:"request-bytes"`
	// LookupTTL is how long callers may cache a lookup response.
	LookupTTL Duration `toml:"lookup-ttl"`
	// BudgetWait is how long a request may wait for rate-limit tokens that the host borrows from others.
	BudgetWait Duration `toml:"budget-wait"`
}

// Default returns the values of the settings that a file leaves out.
func Default() Settings {
	return Settings{
		LogLevel: "info",
		Limits: Limits{
			DrainTimeout: Duration(30 * time.Second),
			RequestBytes: 8 << 20,
			LookupTTL:    Duration(5 * time.Second),
			BudgetWait:   Duration(250 * time.Millisecond),
		},
	}
}

// rule checks one setting. The function violated returns the value that breaks the rule, and whether it does.
type rule[S any] struct {
	key      string
	accepted string
	violated func(s S) (value any, violated bool)
}

// settingsRules lists the rules for Settings. An error reports the first violated rule.
var settingsRules = []rule[Settings]{
	checkName("host", func(s Settings) string { return s.Host }),
	checkName("region", func(s Settings) string { return s.Region }),
	checkName("failure-domain", func(s Settings) string { return s.FailureDomain }),
	checkAddress("caller-address", func(s Settings) string { return s.CallerAddress }),
	checkAddress("peer-address", func(s Settings) string { return s.PeerAddress }),
	checkAddress("operator-address", func(s Settings) string { return s.OperatorAddress }),
	checkEndpoint("store-endpoint", func(s Settings) string { return s.StoreEndpoint }),
	checkEndpoint("platform-endpoint", func(s Settings) string { return s.PlatformEndpoint }),
	checkSecret("peer-secret", func(s Settings) string { return s.PeerSecret }),
	checkSecret("operator-credential", func(s Settings) string { return s.OperatorCredential }),
	{"log-level", "debug, info, warn or error", func(s Settings) (any, bool) {
		switch s.LogLevel {
		case "debug", "info", "warn", "error":
			return nil, false
		}
		return s.LogLevel, true
	}},
	{"seeds", "host ids with IP:port addresses", func(s Settings) (any, bool) {
		for host, addr := range s.Seeds {
			if _, err := netip.ParseAddrPort(addr); err != nil {
				return host + " = " + addr, true
			}
		}
		return nil, false
	}},
	checkDuration("limits.drain-timeout", time.Second, 10*time.Minute, func(s Settings) Duration { return s.Limits.DrainTimeout }),
	checkDuration("limits.lookup-ttl", 100*time.Millisecond, time.Minute, func(s Settings) Duration { return s.Limits.LookupTTL }),
	checkDuration("limits.budget-wait", 0, 5*time.Second, func(s Settings) Duration { return s.Limits.BudgetWait }),
	checkInteger("limits.request-bytes", 1024, 64<<20, func(s Settings) int64 { return s.Limits.RequestBytes }),
}

func checkName[S any](key string, get func(S) string) rule[S] {
	return rule[S]{key, "1 to 64 letters, digits, '-' or '.'", func(s S) (any, bool) {
		v := get(s)
		invalidAt := strings.IndexFunc(v, func(r rune) bool {
			return r != '-' && r != '.' && (r < '0' || r > '9') && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z')
		})
		return v, v == "" || len(v) > 64 || invalidAt >= 0
	}}
}

func checkAddress[S any](key string, get func(S) string) rule[S] {
	return rule[S]{key, "IP:port", func(s S) (any, bool) {
		_, err := netip.ParseAddrPort(get(s))
		return get(s), err != nil
	}}
}

func checkEndpoint[S any](key string, get func(S) string) rule[S] {
	return rule[S]{key, "scheme://IP:port", func(s S) (any, bool) {
		_, rest, ok := strings.Cut(get(s), "://")
		_, err := netip.ParseAddrPort(rest)
		return get(s), !ok || err != nil
	}}
}

// checkSecret reports the length of a secret instead of its value.
func checkSecret[S any](key string, get func(S) string) rule[S] {
	return rule[S]{key, "16 to 256 bytes", func(s S) (any, bool) {
		n := len(get(s))
		return fmt.Sprintf("(%d bytes)", n), n < 16 || n > 256
	}}
}

func checkDuration[S any](key string, lowest, highest time.Duration, get func(S) Duration) rule[S] {
	return rule[S]{key, fmt.Sprintf("%s to %s", lowest, highest), func(s S) (any, bool) {
		d := time.Duration(get(s))
		return d, d < lowest || d > highest
	}}
}

func checkInteger[S any](key string, lowest, highest int64, get func(S) int64) rule[S] {
	return rule[S]{key, fmt.Sprintf("%d to %d", lowest, highest), func(s S) (any, bool) {
		n := get(s)
		return n, n < lowest || n > highest
	}}
}

// Read reads and validates the settings in a file.
func Read(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(file, data)
}

// Parse validates settings that were read from file. Its errors name the file, line, key and accepted range.
func Parse(file string, data []byte) (Settings, error) {
	return parse(file, data, Default(), settingsRules)
}

// parse decodes data over the default values and applies the rules.
func parse[S any](file string, data []byte, defaults S, rules []rule[S]) (s S, err error) {
	s = defaults
	decoder := toml.NewDecoder(strings.NewReader(string(data))).DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return defaults, decodeError(file, err)
	}
	lines := keyLines(data)
	for _, r := range rules {
		value, broken := r.violated(s)
		if broken && lines[r.key] == 0 {
			return defaults, errors.Newf("%s: %s: missing; accepted: %s", file, r.key, r.accepted)
		}
		if broken {
			return defaults, errors.Newf("%s:%d: %s: %v is not accepted; accepted: %s",
				file, lines[r.key], r.key, value, r.accepted)
		}
	}
	return s, nil
}

// decodeError returns an error with the file, line and key of an unknown key, a value of a wrong type or a syntax
// error.
func decodeError(file string, err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		first := unknown.Errors[0]
		line, _ := first.Position()
		return errors.Newf("%s:%d: %s: unknown key", file, line, strings.Join(first.Key(), "."))
	}
	var bad *toml.DecodeError
	if errors.As(err, &bad) {
		line, _ := bad.Position()
		reason := strings.TrimPrefix(bad.Error(), "toml: ")
		if key := strings.Join(bad.Key(), "."); key != "" {
			reason = key + ": " + reason
		}
		return errors.Newf("%s:%d: %s", file, line, reason)
	}
	return errors.Wrap(err, file)
}

// keyLines maps dotted keys to their line numbers. A missing key gives 0.
func keyLines(data []byte) map[string]int {
	lines := map[string]int{}
	parser := unstable.Parser{}
	parser.Reset(data)
	table := ""
	for parser.NextExpression() {
		node := parser.Expression()
		var parts []string
		line := 0
		for it := node.Key(); it.Next(); {
			part := it.Node()
			parts = append(parts, string(part.Data))
			line = parser.Shape(part.Raw).Start.Line
		}
		key := strings.Join(parts, ".")
		if node.Kind == unstable.Table {
			table = key + "."
			lines[key] = line
			continue
		}
		lines[table+key] = line
	}
	return lines
}
