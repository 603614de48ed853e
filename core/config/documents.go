// Package config holds the configuration that operators manage: its documents, their validation, and the changes to
// them.
package config

import "time"

// Duration is a time.Duration that is written as text, such as "5s".
type Duration time.Duration

// MarshalText returns the format of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText accepts the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// QueueClass determines how the requests of a route are queued.
type QueueClass string

// The classes of routes, in the order in which queues serve them.
const (
	// ClassPrompt is for requests that are refused early rather than queued.
	ClassPrompt QueueClass = "prompt"
	// ClassPatient is for requests that may wait until their deadline.
	ClassPatient QueueClass = "patient"
	// ClassBulk is for requests that wait behind the other classes.
	ClassBulk QueueClass = "bulk"
)

// TeamTemplate gives default parameters to the teams that refer to it.
type TeamTemplate struct {
	// Rate is in requests per second, above 0.
	Rate float64 `json:"rate" toml:"rate"`
	// Burst is the size of the team's token bucket in requests, at least 1.
	Burst float64 `json:"burst" toml:"burst"`
	// Weight is the team's weight in fair sharing, above 0; 0 means 1.
	Weight float64 `json:"weight,omitempty" toml:"weight,omitempty"`
	// Routes names the routes that the teams may use. With an empty list they may use open routes only.
	Routes []string `json:"routes,omitempty" toml:"routes,omitempty"`
}

// Team is a customer. A nil parameter takes the value of the team's template.
type Team struct {
	Template string   `json:"template" toml:"template"`
	Rate     *float64 `json:"rate,omitempty" toml:"rate,omitempty"`
	Burst    *float64 `json:"burst,omitempty" toml:"burst,omitempty"`
	Weight   *float64 `json:"weight,omitempty" toml:"weight,omitempty"`
	Routes   []string `json:"routes,omitempty" toml:"routes,omitempty"`
	// Keys holds the SHA-256 of each API key in hexadecimal, never the key itself.
	Keys []string `json:"keys,omitempty" toml:"keys,omitempty"`
	// WhenRegionCut determines what a host does with the team's requests while the relay of its region cannot reach the
	// store: "serve" (the default) or "refuse".
	WhenRegionCut string `json:"when-region-cut,omitempty" toml:"when-region-cut,omitempty"`
	// Priority ranks the team's requests; 1 is the most urgent, and 0 leaves the ranking to the route.
	Priority int `json:"priority,omitempty" toml:"priority,omitempty"`
	// Homes names the regions in which the team's requests may run; an empty list allows all.
	Homes []string `json:"homes,omitempty" toml:"homes,omitempty"`
}

// WeightedService is one destination of a route whose traffic is split between services.
type WeightedService struct {
	Service string `json:"service" toml:"service"`
	// Weight is above 0. The service gets its weight, divided by the sum of all weights of the route, as its share.
	Weight float64 `json:"weight" toml:"weight"`
}

// Replay determines whether a request of a route may run more than once, for example in a retry.
type Replay string

// The values of Replay.
const (
	// ReplayByMethod allows a second run for the methods GET, HEAD and OPTIONS.
	ReplayByMethod Replay = ""
	ReplayAllowed  Replay = "allowed"
	ReplayNever    Replay = "never"
)

// Route maps a path prefix to a service.
type Route struct {
	// PathPrefix starts with a slash and matches whole path segments. The longest matching prefix wins.
	PathPrefix string     `json:"path-prefix" toml:"path-prefix"`
	Service    string     `json:"service" toml:"service"`
	Class      QueueClass `json:"class" toml:"class"`
	// Open routes need no API key.
	Open bool `json:"open,omitempty" toml:"open,omitempty"`
	// Timeout is the deadline of a request that states none, above 0.
	Timeout Duration `json:"timeout" toml:"timeout"`
	// VirtualHost is the host name of the requests that the route serves. If it is empty, the route serves the host
	// names for which no route with a virtual host matches the path.
	VirtualHost string `json:"virtual-host,omitempty" toml:"virtual-host,omitempty"`
	// Split distributes the requests over several services by weight. It is set instead of Service.
	Split []WeightedService `json:"split,omitempty" toml:"split,omitempty"`
	// Replay determines whether a request may run more than once.
	Replay Replay `json:"replay,omitempty" toml:"replay,omitempty"`
	// Attempts is the largest number of backend servers that one request is sent to; 0 leaves it to the host.
	Attempts int `json:"attempts,omitempty" toml:"attempts,omitempty"`
	// Objective is the latency up to which a response has its full value; 0 means half of Timeout.
	Objective Duration `json:"objective,omitempty" toml:"objective,omitempty"`
	// Priority ranks the route's requests; 0 is the most urgent.
	Priority int `json:"priority,omitempty" toml:"priority,omitempty"`
	// Sticky is set when requests run faster at a backend server that handled the same object recently.
	Sticky bool `json:"sticky,omitempty" toml:"sticky,omitempty"`
	// Homes names the regions in which the route's requests may run; an empty list allows all.
	Homes []string `json:"homes,omitempty" toml:"homes,omitempty"`
}

// Service is a set of backend servers.
type Service struct {
	// Version is the version that receives the traffic while no rollout runs.
	Version string `json:"version,omitempty" toml:"version,omitempty"`
	// HealthPath is the path of health checks, which a healthy backend server answers with 200. Without it there are no
	// health checks.
	HealthPath string `json:"health-path,omitempty" toml:"health-path,omitempty"`
	// ColdFor is the warm-up time: for this long after its start, a backend server gets at most ColdRate requests per
	// second.
	ColdFor Duration `json:"cold-for,omitempty" toml:"cold-for,omitempty"`
	// ColdRate is the sum over all hosts; 0 means no limit.
	ColdRate float64 `json:"cold-rate,omitempty" toml:"cold-rate,omitempty"`
	// Connections limits the connections of all hosts together to one backend server; 0 leaves the limit to the
	// platform's list.
	Connections int `json:"connections,omitempty" toml:"connections,omitempty"`
}

// Evacuation asks that the backend servers of a failure domain get no new requests. The document's name is the failure
// domain's name.
type Evacuation struct {
	// Reason is a note for operators.
	Reason string `json:"reason,omitempty" toml:"reason,omitempty"`
}

// ServerOverride overrides the entry of a backend server in the platform's list.
type ServerOverride struct {
	Drain bool `json:"drain,omitempty" toml:"drain,omitempty"`
}

// HostOverride overrides the entry of a host in the platform's list.
type HostOverride struct {
	Drain bool `json:"drain,omitempty" toml:"drain,omitempty"`
	// Dead is the operator's assertion that no process of the host runs. It releases the host's budget shares.
	Dead bool `json:"dead,omitempty" toml:"dead,omitempty"`
}

// Region is a region that operators have declared.
type Region struct {
	// Dead is the operator's assertion that no host of the region runs. It releases the region's budget shares.
	Dead bool `json:"dead,omitempty" toml:"dead,omitempty"`
	// Blocks lists the prefixes (CIDR blocks) of the client addresses that are nearest to the region, at most 10,000.
	Blocks []string `json:"blocks,omitempty" toml:"blocks,omitempty"`
}

// Link states the capacity of the network from one region to another. Each direction has a document of its own.
type Link struct {
	From string `json:"from" toml:"from"`
	To   string `json:"to" toml:"to"`
	// BytesPerSecond is above 0.
	BytesPerSecond float64 `json:"bytes-per-second" toml:"bytes-per-second"`
}

// Shift is a planned move of a share of traffic from one region or backend server to another.
type Shift struct {
	// Route or Team selects the traffic; exactly one of them is set.
	Route string `json:"route,omitempty" toml:"route,omitempty"`
	Team  string `json:"team,omitempty" toml:"team,omitempty"`
	// From and To name two regions, or two backend servers.
	From string `json:"from" toml:"from"`
	To   string `json:"to" toml:"to"`
	// Share is the fraction of From's traffic to move, in (0, Cap].
	Share float64 `json:"share" toml:"share"`
	// Cap is the largest share that may be moved at any time, in (0, 1].
	Cap float64 `json:"cap" toml:"cap"`
	// Within is the time from the start to the deadline, above 0.
	Within    Duration `json:"within" toml:"within"`
	Cancelled bool     `json:"cancelled,omitempty" toml:"cancelled,omitempty"`
}

// Rollout moves a service's traffic to a new version step by step.
type Rollout struct {
	Service string `json:"service" toml:"service"`
	From    string `json:"from" toml:"from"`
	To      string `json:"to" toml:"to"`
	// Cap is the largest share of the traffic that the new version gets before it has proved itself, in (0, 1].
	Cap float64 `json:"cap" toml:"cap"`
	// Within is the time from the start to the deadline, above 0.
	Within Duration `json:"within" toml:"within"`
	// OnTooLittleTraffic determines how the rollout ends if there is too little evidence about the new version at the
	// deadline: "finish" or "revert".
	OnTooLittleTraffic string `json:"on-too-little-traffic" toml:"on-too-little-traffic"`
	Cancelled          bool   `json:"cancelled,omitempty" toml:"cancelled,omitempty"`
}

// Limit bounds the size of what callers may send.
type Limit struct {
	// BodyBytes is the largest request body; 0 leaves the limit to the host's settings.
	BodyBytes int64 `json:"body-bytes,omitempty" toml:"body-bytes,omitempty"`
}

// Configuration is the whole configuration at one sequence number. It is immutable: changes return a new value.
type Configuration struct {
	// Sequence rises by one with every accepted change.
	Sequence uint64 `json:"sequence"`
	// ChangeID identifies the last change, so that the writer can recognize its own change when the response was lost.
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
	// Evacuations maps failure domains to their documents.
	Evacuations map[string]Evacuation `json:"evacuations,omitempty"`
	// Limits has at most one document, "callers".
	Limits map[string]Limit `json:"limits,omitempty"`

	// index is built by WithEdits, WithChange, Parse and WithIndex, and is nil in other values.
	index *index
}

// StoreKey is the configuration's key in the store.
const StoreKey = "config/current"

// Edit sets or deletes one document. A change consists of edits.
type Edit struct {
	// Kind is the name of the document's collection in the plural, such as "teams".
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Document is the new document as JSON; if it is empty, the edit deletes the document.
	Document []byte `json:"document,omitempty"`
}

// Change is the message by which hosts pass on a change of the configuration: the edits that lead from Sequence-1 to
// Sequence.
type Change struct {
	Sequence uint64 `json:"sequence"`
	ChangeID string `json:"change-id"`
	Edits    []Edit `json:"edits"`
}
