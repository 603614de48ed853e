// Package config holds the operators' configuration: its documents, their validation, edits and changes.
package config

import "time"

// Duration is a time.Duration that is written as text, such as "5s".
type Duration time.Duration

// MarshalText returns the duration in the notation of time.Duration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText parses the notation of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// QueueClass says how the requests of a route are queued.
type QueueClass string

// The classes of routes, in the order in which queues serve them.
const (
	// ClassPrompt requests are refused early rather than queued.
	ClassPrompt QueueClass = "prompt"
	// ClassPatient requests may wait until their deadline.
	ClassPatient QueueClass = "patient"
	// ClassBulk requests wait behind the other classes.
	ClassBulk QueueClass = "bulk"
)

// TeamTemplate gives the parameters of the teams that are made from it.
type TeamTemplate struct {
	// Rate is in requests per second, above 0.
	Rate float64 `json:"rate" toml:"rate"`
	// Burst is in requests, at least 1.
	Burst float64 `json:"burst" toml:"burst"`
	// Weight is the team's part in fair sharing, above 0; 0 means 1.
	Weight float64 `json:"weight,omitempty" toml:"weight,omitempty"`
	// Routes names the routes that the teams may use; an empty list allows open routes only.
	Routes []string `json:"routes,omitempty" toml:"routes,omitempty"`
}

// Team is a customer. A nil parameter takes the value of the team's template.
type Team struct {
	Template string   `json:"template" toml:"template"`
	Rate     *float64 `json:"rate,omitempty" toml:"rate,omitempty"`
	Burst    *float64 `json:"burst,omitempty" toml:"burst,omitempty"`
	Weight   *float64 `json:"weight,omitempty" toml:"weight,omitempty"`
	Routes   []string `json:"routes,omitempty" toml:"routes,omitempty"`
	// Keys holds the hexadecimal SHA-256 of each key, never a key.
	Keys []string `json:"keys,omitempty" toml:"keys,omitempty"`
	// WhenRegionCut is "serve" (default) or "refuse": what a host does when its relay lost the store.
	WhenRegionCut string `json:"when-region-cut,omitempty" toml:"when-region-cut,omitempty"`
	// Priority ranks the team's requests, 1 being the most urgent; 0 leaves the ranking to the route.
	Priority int `json:"priority,omitempty" toml:"priority,omitempty"`
	// HomeRegions names the regions in which the team's requests may run; an empty list allows all.
	HomeRegions []string `json:"homes,omitempty" toml:"homes,omitempty"`
}

// WeightedService is a service's part in a weighted split of a route.
type WeightedService struct {
	Service string `json:"service" toml:"service"`
	// Weight is above 0; a part gets its weight over the sum of all weights.
	Weight float64 `json:"weight" toml:"weight"`
}

// Replay says whether a request of a route may run more than once.
type Replay string

// The values of Replay.
const (
	// ReplayByMethod allows it for GET, HEAD and OPTIONS.
	ReplayByMethod Replay = ""
	ReplayAllowed  Replay = "allowed"
	ReplayNever    Replay = "never"
)

// Route maps a path prefix to a service.
type Route struct {
	// PathPrefix starts with a slash and matches whole path segments; the longest matching prefix wins.
	PathPrefix string     `json:"path-prefix" toml:"path-prefix"`
	Service    string     `json:"service" toml:"service"`
	Class      QueueClass `json:"class" toml:"class"`
	// Open routes need no key.
	Open bool `json:"open,omitempty" toml:"open,omitempty"`
	// Timeout bounds a request that states no deadline, above 0.
	Timeout Duration `json:"timeout" toml:"timeout"`
	// VirtualHost is the host name of the requests that the route serves; empty serves every name that no other
	// route with the same path claims.
	VirtualHost string `json:"virtual-host,omitempty" toml:"virtual-host,omitempty"`
	// Split replaces Service by weighted parts.
	Split []WeightedService `json:"split,omitempty" toml:"split,omitempty"`
	// Replay says whether a request may run more than once.
	Replay Replay `json:"replay,omitempty" toml:"replay,omitempty"`
	// Attempts is the largest number of backend servers for one request; 0 leaves it to the host.
	Attempts int `json:"attempts,omitempty" toml:"attempts,omitempty"`
	// Objective is the latency below which a response is fully useful; 0 means half of Timeout.
	Objective Duration `json:"objective,omitempty" toml:"objective,omitempty"`
	// Priority ranks the route, 0 being the most urgent.
	Priority int `json:"priority,omitempty" toml:"priority,omitempty"`
	// Sticky routes run faster at a backend server that handled the request's object lately.
	Sticky bool `json:"sticky,omitempty" toml:"sticky,omitempty"`
	// HomeRegions names the regions in which the route's requests may run; an empty list allows all.
	HomeRegions []string `json:"homes,omitempty" toml:"homes,omitempty"`
}

// Service is a set of backend servers. Version names the version that receives traffic outside rollouts.
type Service struct {
	Version string `json:"version,omitempty" toml:"version,omitempty"`
	// HealthPath answers 200 while a backend server is healthy; empty turns probes off.
	HealthPath string `json:"health-path,omitempty" toml:"health-path,omitempty"`
	// ColdFor is the time after its start in which a backend server takes at most ColdRate requests per second.
	ColdFor Duration `json:"cold-for,omitempty" toml:"cold-for,omitempty"`
	// ColdRate counts the requests of all hosts together; 0 means no limit.
	ColdRate float64 `json:"cold-rate,omitempty" toml:"cold-rate,omitempty"`
	// Connections bounds the connections of all hosts to one backend server; 0 leaves it to the platform list.
	Connections int `json:"connections,omitempty" toml:"connections,omitempty"`
}

// Evacuation asks that the backend servers of a failure domain get no new requests. Its name is the failure domain's.
type Evacuation struct {
	// Reason is for operators.
	Reason string `json:"reason,omitempty" toml:"reason,omitempty"`
}

// ServerOverride overrides what the platform list says about a backend server.
type ServerOverride struct {
	Drain bool `json:"drain,omitempty" toml:"drain,omitempty"`
}

// HostOverride overrides what the platform list says about a host.
type HostOverride struct {
	Drain bool `json:"drain,omitempty" toml:"drain,omitempty"`
	// Dead is the operator's assertion that no process of the host runs. It releases the host's budget shares.
	Dead bool `json:"dead,omitempty" toml:"dead,omitempty"`
}

// Region is a region that operators know.
type Region struct {
	// Dead is the operator's assertion that no host of the region runs. It releases the region's budget shares.
	Dead bool `json:"dead,omitempty" toml:"dead,omitempty"`
	// Blocks holds the prefixes of client addresses that are nearest to the region, at most 10,000.
	Blocks []string `json:"blocks,omitempty" toml:"blocks,omitempty"`
}

// Link is the capacity of one direction between two regions.
type Link struct {
	From string `json:"from" toml:"from"`
	To   string `json:"to" toml:"to"`
	// BytesPerSecond is above 0.
	BytesPerSecond float64 `json:"bytes-per-second" toml:"bytes-per-second"`
}

// Shift is a planned move of a share of traffic between regions or backend servers.
type Shift struct {
	// Route or Team selects the traffic; one of them is set.
	Route string `json:"route,omitempty" toml:"route,omitempty"`
	Team  string `json:"team,omitempty" toml:"team,omitempty"`
	// From and To name two regions, or two backend servers.
	From string `json:"from" toml:"from"`
	To   string `json:"to" toml:"to"`
	// Share is the part of From's traffic to move, in (0, Cap].
	Share float64 `json:"share" toml:"share"`
	// Cap is the largest share that may be moved at any instant, in (0, 1].
	Cap float64 `json:"cap" toml:"cap"`
	// Within is the time from the start to the deadline, above 0.
	Within    Duration `json:"within" toml:"within"`
	Cancelled bool     `json:"cancelled,omitempty" toml:"cancelled,omitempty"`
}

// Rollout is a move of a service's traffic to a new version.
type Rollout struct {
	Service string `json:"service" toml:"service"`
	From    string `json:"from" toml:"from"`
	To      string `json:"to" toml:"to"`
	// Cap is the largest share of an unproved version, in (0, 1].
	Cap float64 `json:"cap" toml:"cap"`
	// Within is the time from the start to the deadline, above 0.
	Within Duration `json:"within" toml:"within"`
	// OnTooLittleTraffic is "finish" or "revert": the outcome at the deadline without enough evidence.
	OnTooLittleTraffic string `json:"on-too-little-traffic" toml:"on-too-little-traffic"`
	Cancelled          bool   `json:"cancelled,omitempty" toml:"cancelled,omitempty"`
}

// Limit bounds what callers may send.
type Limit struct {
	// BodyBytes bounds a request body; 0 leaves the bound to the settings.
	BodyBytes int64 `json:"body-bytes,omitempty" toml:"body-bytes,omitempty"`
}

// Configuration is the whole configuration at one sequence number. It is immutable: edits return a new value.
type Configuration struct {
	// Sequence rises by one with every accepted change.
	Sequence uint64 `json:"sequence"`
	// ChangeID identifies the last change, so that its writer can recognize it after a lost answer.
	ChangeID  string                    `json:"change-id"`
	Templates map[string]TeamTemplate   `json:"templates,omitempty"`
	Teams     map[string]Team           `json:"teams,omitempty"`
	Routes    map[string]Route          `json:"routes,omitempty"`
	Services  map[string]Service        `json:"services,omitempty"`
	Servers   map[string]ServerOverride `json:"servers,omitempty"`
	Hosts     map[string]HostOverride   `json:"hosts,omitempty"`
	Regions   map[string]Region         `json:"regions,omitempty"`
	Links     map[string]Link           `json:"links,omitempty"`
	Shifts    map[string]Shift          `json:"shifts,omitempty"`
	Rollouts  map[string]Rollout        `json:"rollouts,omitempty"`
	// Evacuations is keyed by failure domain.
	Evacuations map[string]Evacuation `json:"evacuations,omitempty"`
	// Limits is keyed by who is limited; "callers" is the only name.
	Limits map[string]Limit `json:"limits,omitempty"`

	// cachedIndex is built by WithEdits, WithChange, Parse and Indexed, and is nil in a literal.
	cachedIndex *index
}

// StoreKey is the key of the configuration in the store.
const StoreKey = "config/current"

// Edit sets or deletes one document. It is the unit of a change.
type Edit struct {
	// Kind is the plural name of the document's collection, such as "teams".
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Document is the JSON document, or empty to delete it.
	Document []byte `json:"document,omitempty"`
}

// Change is what hosts tell each other: edits that lead from Sequence-1 to Sequence.
type Change struct {
	Sequence uint64 `json:"sequence"`
	ChangeID string `json:"change-id"`
	Edits    []Edit `json:"edits"`
}
