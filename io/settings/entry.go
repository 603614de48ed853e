package settings

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// EntryHost holds the settings of an entry host: a host whose configuration and backend servers come from a store.
type EntryHost struct {
	// Host is the host's id, unique in the fleet.
	Host          string `toml:"host"`
	Region        string `toml:"region"`
	FailureDomain string `toml:"failure-domain"`
	// The addresses are IP:port pairs to listen on. PeerAddress is used for TCP and UDP; each host of the fleet has the
	// same peer port.
	CallerAddress   string `toml:"caller-address"`
	ReadyAddress    string `toml:"ready-address"`
	LookupAddress   string `toml:"lookup-address"`
	OperatorAddress string `toml:"operator-address"`
	PeerAddress     string `toml:"peer-address"`
	StoreEndpoint   string `toml:"store-endpoint"`
	LogLevel        string `toml:"log-level"`
	// FirstStart is set when the whole fleet starts for the first time, long before its callers come.
	FirstStart bool `toml:"first-start"`
	// Seeds are IP:port pairs of hosts that may be running; their ports are not used.
	Seeds []string `toml:"seeds"`
	// Regions maps each failure domain to its region.
	Regions map[string]string `toml:"regions"`
	// MemoryBytes is the memory that the process may use. A fraction is accepted, since a platform may state megabytes.
	MemoryBytes float64         `toml:"memory-bytes"`
	Limits      EntryHostLimits `toml:"limits"`
}

// EntryHostLimits are the bounds that a fleet of entry hosts keeps together, and those of one host.
type EntryHostLimits struct {
	// LookupTTL is how long callers may keep a look-up answer.
	LookupTTL Duration `toml:"lookup-ttl"`
	// GracePeriod is the time between the request to stop and the kill.
	GracePeriod Duration `toml:"grace"`
	// RetryShare of a service's requests, and RetrySlack more in each window, may be sent to another backend server.
	RetryShare float64 `toml:"retry-share"`
	RetrySlack float64 `toml:"retry-slack"`
	// RateSlack is the number of requests by which a team may exceed its rate and burst for a moment.
	RateSlack float64 `toml:"rate-slack"`
	// ExposureShare bounds the part of a service's requests that an unproved version gets.
	ExposureShare float64 `toml:"exposure-share"`
	// RequestBytes is the largest request body.
	RequestBytes int64 `toml:"request-bytes"`
	// LookupHosts bounds the hosts that the callers of one place are sent to. With few of them each reuses its connections
	// to the backend servers.
	LookupHosts int64 `toml:"lookup-hosts"`
}

// DefaultEntryHost returns the settings that a file may leave out.
func DefaultEntryHost() EntryHost {
	return EntryHost{
		LogLevel:    "info",
		MemoryBytes: 256 << 20,
		Limits: EntryHostLimits{
			LookupTTL: Duration(2 * time.Second), GracePeriod: Duration(6 * time.Second),
			RetryShare: 0.2, RetrySlack: 50, RateSlack: 20, ExposureShare: 0.1, RequestBytes: 64 << 20, LookupHosts: 4,
		},
	}
}

// entryHostRules lists every rule in the order in which errors are reported.
var entryHostRules = []rule[EntryHost]{
	checkName("host", func(s EntryHost) string { return s.Host }),
	checkName("region", func(s EntryHost) string { return s.Region }),
	checkName("failure-domain", func(s EntryHost) string { return s.FailureDomain }),
	checkAddress("caller-address", func(s EntryHost) string { return s.CallerAddress }),
	checkAddress("ready-address", func(s EntryHost) string { return s.ReadyAddress }),
	checkAddress("lookup-address", func(s EntryHost) string { return s.LookupAddress }),
	checkAddress("operator-address", func(s EntryHost) string { return s.OperatorAddress }),
	checkAddress("peer-address", func(s EntryHost) string { return s.PeerAddress }),
	checkEndpoint("store-endpoint", func(s EntryHost) string { return s.StoreEndpoint }),
	{"log-level", "debug, info, warn or error", func(s EntryHost) (any, bool) {
		switch s.LogLevel {
		case "debug", "info", "warn", "error":
			return nil, false
		}
		return s.LogLevel, true
	}},
	checkInteger("memory-bytes", 16<<20, 1<<40, func(s EntryHost) int64 { return int64(s.MemoryBytes) }),
	checkDuration("limits.lookup-ttl", 100*time.Millisecond, time.Minute, func(s EntryHost) Duration { return s.Limits.LookupTTL }),
	checkDuration("limits.grace", time.Second, 10*time.Minute, func(s EntryHost) Duration { return s.Limits.GracePeriod }),
	checkShare("limits.retry-share", func(s EntryHost) float64 { return s.Limits.RetryShare }),
	checkShare("limits.exposure-share", func(s EntryHost) float64 { return s.Limits.ExposureShare }),
	checkAmount("limits.retry-slack", func(s EntryHost) float64 { return s.Limits.RetrySlack }),
	checkAmount("limits.rate-slack", func(s EntryHost) float64 { return s.Limits.RateSlack }),
	checkInteger("limits.lookup-hosts", 1, 64, func(s EntryHost) int64 { return s.Limits.LookupHosts }),
	checkInteger("limits.request-bytes", 1024, 1<<30, func(s EntryHost) int64 { return s.Limits.RequestBytes }),
}

func checkShare[S any](key string, get func(S) float64) rule[S] {
	return rule[S]{key, "0 to 1", func(s S) (any, bool) {
		v := get(s)
		return v, !(v >= 0 && v <= 1)
	}}
}

func checkAmount[S any](key string, get func(S) float64) rule[S] {
	const highest = 1e6
	return rule[S]{key, "0 to 1000000", func(s S) (any, bool) {
		v := get(s)
		return v, !(v >= 0 && v <= highest)
	}}
}

// ReadEntryHost reads and checks the settings of an entry host.
func ReadEntryHost(file string) (s EntryHost, err error) {
	defer func() { err = errors.Wrap(err, "read settings") }()
	data, err := os.ReadFile(file)
	if err != nil {
		return EntryHost{}, err
	}
	return parse(file, data, DefaultEntryHost(), entryHostRules)
}
