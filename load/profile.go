// Package load is the caller program: it sends the requests of a deployment's teams and checks the promises
// that can be checked from outside.
package load

import (
	"bytes"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"vanillatally/core/config"
)

// Profile is what the teams of one deployment send.
type Profile struct {
	// Hosts are the caller addresses that look-ups are sent to.
	Hosts []string `toml:"hosts"`
	// PlatformEndpoint is the endpoint that lists the backend servers.
	PlatformEndpoint string `toml:"platform"`
	Teams            []Team `toml:"teams"`
}

// Team is one team's traffic.
type Team struct {
	Name string `toml:"name"`
	Key  string `toml:"key"`
	// ClientAddress is the address that look-ups are made for.
	ClientAddress string `toml:"client"`
	// Rate (requests/s) and Burst (requests) are the team's limits in the configuration.
	Rate    float64  `toml:"rate"`
	Burst   float64  `toml:"burst"`
	Streams []Stream `toml:"streams"`
}

// Stream is one kind of request that a team sends.
type Stream struct {
	Route  string `toml:"route"`
	Method string `toml:"method"`
	Path   string `toml:"path"`
	// Rate is the mean number of requests per second; arrivals are random.
	Rate      float64         `toml:"rate"`
	Deadline  config.Duration `toml:"deadline"`
	BodyBytes int             `toml:"bytes"`
}

// ReadProfile reads and checks a profile.
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
