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

// Class says how the requests of a route are queued.
type Class string

// The classes of routes, in the order in which queues serve them.
const (
	// Prompt requests are refused early rather than queued.
	Prompt Class = "prompt"
	// Patient requests may wait until their deadline.
	Patient Class = "patient"
	// Bulk requests wait behind the other classes.
	Bulk Class = "bulk"
)

// Template gives the parameters of the teams that are made from it.
type Template struct {
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
}

// Route maps a path prefix to a service.
type Route struct {
	// PathPrefix starts with a slash and matches whole path segments; the longest matching prefix wins.
	PathPrefix string `json:"path-prefix" toml:"path-prefix"`
	Service    string `json:"service" toml:"service"`
	Class      Class  `json:"class" toml:"class"`
	// Open routes need no key.
	Open bool `json:"open,omitempty" toml:"open,omitempty"`
	// Timeout bounds a request that states no deadline, above 0.
	Timeout Duration `json:"timeout" toml:"timeout"`
}

// Service is a set of backend servers. Version names the version that receives traffic outside rollouts.
type Service struct {
	Version string `json:"version,omitempty" toml:"version,omitempty"`
}

// Server overrides what the platform list says about a backend server.
type Server struct {
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

// Configuration is the whole configuration at one sequence number. It is immutable: edits return a new value.
type Configuration struct {
	// Sequence rises by one with every accepted change.
	Sequence uint64 `json:"sequence"`
	// ChangeID identifies the last change, so that its writer can recognize it after a lost answer.
	ChangeID  string                  `json:"change-id"`
	Templates map[string]Template     `json:"templates,omitempty"`
	Teams     map[string]Team         `json:"teams,omitempty"`
	Routes    map[string]Route        `json:"routes,omitempty"`
	Services  map[string]Service      `json:"services,omitempty"`
	Servers   map[string]Server       `json:"servers,omitempty"`
	Hosts     map[string]HostOverride `json:"hosts,omitempty"`
	Regions   map[string]Region       `json:"regions,omitempty"`
	Links     map[string]Link         `json:"links,omitempty"`
	Shifts    map[string]Shift        `json:"shifts,omitempty"`
	Rollouts  map[string]Rollout      `json:"rollouts,omitempty"`

	// lookup is built by WithEdits, WithChange, Parse and Indexed, and is nil in a literal.
	lookup *lookup
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
