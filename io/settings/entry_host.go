package settings

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// EntryHost holds the settings of an entry host: a host that reads its configuration and its list of backend servers
// from a store.
type EntryHost struct {
	// Host is the host's id. It must be unique among all hosts.
	Host          string `toml:"host"`
	Region        string `toml:"region"`
	FailureDomain string `toml:"failure-domain"`
	// The addresses are IP:port pairs to listen on. PeerAddress is used for TCP and UDP, and its port must be the same
	// on all hosts.
	CallerAddress   string `toml:"caller-address"`
	ReadyAddress    string `toml:"ready-address"`
	LookupAddress   string `toml:"lookup-address"`
	OperatorAddress string `toml:"operator-address"`
	PeerAddress     string `toml:"peer-address"`
	StoreEndpoint   string `toml:"store-endpoint"`
	LogLevel        string `toml:"log-level"`
	// FirstStart is set when all hosts start for the first time, long before the first callers arrive.
	FirstStart bool `toml:"first-start"`
	// Seeds lists IP:port pairs of hosts that may be running. Their ports are ignored.
	Seeds []string `toml:"seeds"`
	// Regions maps each failure domain to its region.
	Regions map[string]string `toml:"regions"`
	// MemoryBytes is the memory that the process may use. It may be a fraction, since some platforms state it in
	// megabytes.
	MemoryBytes float64 `toml:"memory-bytes"`
	// CPUShare is the part of a core that the host may use, and Cores the speed of that core relative to the usual one. LinkMbps
	// is the bandwidth of the network link in megabits per second. Callers are sent to the larger ones of several hosts; 0 says
	// that the value is not known.
	CPUShare float64         `toml:"cpu-share"`
	Cores    float64         `toml:"cores"`
	LinkMbps float64         `toml:"link-mbps"`
	Limits   EntryHostLimits `toml:"limits"`
}

// EntryHostLimits are limits that all entry hosts keep together, and limits of one host.
type EntryHostLimits struct {
	// LookupTTL is how long callers may cache a lookup response.
	LookupTTL Duration `toml:"lookup-ttl"`
	// GracePeriod is the time between the request to stop the process and its kill.
	GracePeriod Duration `toml:"grace"`
	// RetryShare is the fraction of a service's requests that may be retried on another backend server, and RetrySlack
	// the number of retries allowed beyond it in each window.
	RetryShare float64 `toml:"retry-share"`
	RetrySlack float64 `toml:"retry-slack"`
	// RateSlack is the number of requests by which a team may briefly exceed its rate and burst.
	RateSlack float64 `toml:"rate-slack"`
	// ExposureShare is the largest fraction of a service's requests that goes to a version which has not proved itself.
	ExposureShare float64 `toml:"exposure-share"`
	// RequestBytes is the largest request body.
	RequestBytes int64 `toml:"request-bytes"`
	// BodyBytes bounds the bytes of all large request bodies together, and CallerConnections the open connections of
	// callers. With 0 they follow from MemoryBytes and the limit of descriptors. They take effect at the start.
	BodyBytes         int64 `toml:"body-bytes"`
	CallerConnections int64 `toml:"caller-connections"`
	// LookupHosts is the largest number of hosts that the callers of one failure domain are sent to. With fewer hosts,
	// each reuses its connections to the backend servers more.
	LookupHosts int64 `toml:"lookup-hosts"`
}

// DefaultEntryHost returns the values of the settings that a file leaves out.
func DefaultEntryHost() EntryHost {
	return EntryHost{
		LogLevel:    "info",
		MemoryBytes: 256 << 20,
		Cores:       1,
		Limits: EntryHostLimits{
			LookupTTL: Duration(2 * time.Second), GracePeriod: Duration(6 * time.Second),
			RetryShare: 0.2, RetrySlack: 50, RateSlack: 20, ExposureShare: 0.1, RequestBytes: 64 << 20, LookupHosts: 4,
		},
	}
}

// entryHostRules lists the rules for EntryHost. An error reports the first violated rule.
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
	checkAmount("cpu-share", func(s EntryHost) float64 { return s.CPUShare }),
	checkAmount("cores", func(s EntryHost) float64 { return s.Cores }),
	checkAmount("link-mbps", func(s EntryHost) float64 { return s.LinkMbps }),
	checkDuration("limits.lookup-ttl", 100*time.Millisecond, time.Minute, func(s EntryHost) Duration { return s.Limits.LookupTTL }),
	checkDuration("limits.grace", time.Second, 10*time.Minute, func(s EntryHost) Duration { return s.Limits.GracePeriod }),
	checkShare("limits.retry-share", func(s EntryHost) float64 { return s.Limits.RetryShare }),
	checkShare("limits.exposure-share", func(s EntryHost) float64 { return s.Limits.ExposureShare }),
	checkAmount("limits.retry-slack", func(s EntryHost) float64 { return s.Limits.RetrySlack }),
	checkAmount("limits.rate-slack", func(s EntryHost) float64 { return s.Limits.RateSlack }),
	checkInteger("limits.lookup-hosts", 1, 64, func(s EntryHost) int64 { return s.Limits.LookupHosts }),
	checkInteger("limits.body-bytes", 0, 1<<40, func(s EntryHost) int64 { return s.Limits.BodyBytes }),
	checkInteger("limits.caller-connections", 0, 1<<20, func(s EntryHost) int64 { return s.Limits.CallerConnections }),
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

// ReadEntryHost reads and validates the settings of an entry host.
func ReadEntryHost(file string) (s EntryHost, err error) {
	defer func() { err = errors.Wrap(err, "read settings") }()
	data, err := os.ReadFile(file)
	if err != nil {
		return EntryHost{}, err
	}
	return parse(file, data, DefaultEntryHost(), entryHostRules)
}
