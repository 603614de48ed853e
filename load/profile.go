// Package load implements a load generator: it sends the requests of a deployment's teams and checks the system's
// guarantees to callers, as far as callers and backend servers can observe them.
package load

import (
	"bytes"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"vanillatally/core/config"
)

// Profile is the load profile of a deployment: the traffic of its teams.
type Profile struct {
	// Hosts are the addresses (IP:port) at which hosts answer look-ups.
	Hosts []string `toml:"hosts"`
	// PlatformEndpoint is the endpoint of the platform list, which contains the backend servers.
	PlatformEndpoint string `toml:"platform"`
	Teams            []Team `toml:"teams"`
}

// Team is the traffic of one team.
type Team struct {
	Name string `toml:"name"`
	// Key is the team's API key.
	Key string `toml:"key"`
	// ClientAddress is the IP address of the team's clients, for which hosts are looked up.
	ClientAddress string `toml:"client"`
	// Rate (requests/s) and Burst (requests) repeat the team's limits in the configuration.
	Rate    float64  `toml:"rate"`
	Burst   float64  `toml:"burst"`
	Streams []Stream `toml:"streams"`
}

// Stream is a series of similar requests of a team.
type Stream struct {
	Route  string `toml:"route"`
	Method string `toml:"method"`
	Path   string `toml:"path"`
	// Rate is the mean number of requests per second. The arrivals are a Poisson process.
	Rate float64 `toml:"rate"`
	// Deadline is the time after which the caller gives up, above 0.
	Deadline config.Duration `toml:"deadline"`
	// BodyBytes is the size of the request body.
	BodyBytes int `toml:"bytes"`
}

// ReadProfile reads and validates a profile.
func ReadProfile(file string) (p Profile, err error) {
	defer func() { err = errors.Wrapf(err, "load profile %s", file) }()
	data, err := os.ReadFile(file)
	if err != nil {
		return p, err
	}
	if err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(&p); err != nil {
		return p, err
	}
	if len(p.Hosts) == 0 || len(p.Teams) == 0 {
		return p, errors.New("hosts and teams must not be empty")
	}
	for _, t := range p.Teams {
		for _, s := range t.Streams {
			if s.Rate <= 0 || time.Duration(s.Deadline) <= 0 {
				return p, errors.Newf("team %s, route %s: rate and deadline must be above 0", t.Name, s.Route)
			}
		}
	}
	return p, nil
}
