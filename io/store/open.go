package store

import (
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// adapters maps the scheme of an endpoint to the adapter for it.
var adapters = map[string]func(endpoint string) Store{
	"http": func(endpoint string) Store { return NewHTTP(endpoint) },
}

// Open returns the adapter for the store at endpoint, such as "http://10.0.0.1:7000". It doesn't connect yet.
func Open(endpoint string) (Store, error) {
	scheme, _, _ := strings.Cut(endpoint, "://")
	open, ok := adapters[scheme]
	if !ok {
		known := slices.Sorted(maps.Keys(adapters))
		return nil, errors.Newf("store endpoint %q: unknown scheme, accepted: %s", endpoint, strings.Join(known, ", "))
	}
	return open(endpoint), nil
}
