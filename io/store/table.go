package store

import (
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// formats maps the scheme of an endpoint to the adapter that speaks its wire format.
var formats = map[string]func(endpoint string) Store{
	"http": func(endpoint string) Store { return NewHTTP(endpoint) },
}

// Open returns the adapter for endpoint, such as "http://10.0.0.1:7000".
func Open(endpoint string) (Store, error) {
	scheme, _, _ := strings.Cut(endpoint, "://")
	open, ok := formats[scheme]
	if !ok {
		known := slices.Sorted(maps.Keys(formats))
		return nil, errors.Newf("store endpoint %q: unknown scheme, accepted: %s", endpoint, strings.Join(known, ", "))
	}
	return open(endpoint), nil
}
