package platform

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	requestTimeout = 2 * time.Second
	maxListBytes   = 16 << 20
)

// adapters maps the scheme of an endpoint to the constructor of the adapter for it.
var adapters = map[string]func(endpoint string) List{
	"http": func(endpoint string) List { return NewHTTPList(endpoint) },
}

// Open returns the adapter for the scheme of endpoint, such as "http://10.0.0.1:7000".
func Open(endpoint string) (List, error) {
	scheme, _, _ := strings.Cut(endpoint, "://")
	newAdapter, ok := adapters[scheme]
	if !ok {
		accepted := slices.Sorted(maps.Keys(adapters))
		return nil, errors.Newf("platform endpoint %q: unknown scheme, accepted: %s", endpoint, strings.Join(accepted, ", "))
	}
	return newAdapter(endpoint), nil
}

// HTTPList reads the platform list as JSON over HTTP.
type HTTPList struct {
	endpoint string
	client   *http.Client
}

// NewHTTPList returns an adapter for the platform list at endpoint.
func NewHTTPList(endpoint string) *HTTPList {
	return &HTTPList{endpoint: strings.TrimSuffix(endpoint, "/"), client: &http.Client{Timeout: requestTimeout}}
}

// Hosts implements List.
func (h *HTTPList) Hosts(ctx context.Context) ([]Host, error) {
	return fetch[Host](ctx, h.client, h.endpoint+"/v1/hosts", func(e Host) string { return e.ID })
}

// BackendServers implements List.
func (h *HTTPList) BackendServers(ctx context.Context) ([]BackendServer, error) {
	return fetch[BackendServer](ctx, h.client, h.endpoint+"/v1/backend-servers", func(e BackendServer) string {
		if e.Slots < 1 || e.Connections < 1 || e.Address == "" || e.Service == "" {
			return ""
		}
		return e.ID
	})
}

// fetch reads a JSON array. An entry for which id returns "" is invalid and makes the whole list invalid.
func fetch[Entry any](
	ctx context.Context, client *http.Client, listURL string, id func(Entry) string,
) (entries []Entry, err error) {
	defer func() { err = errors.Wrapf(err, "read %s", listURL) }()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, listURL, nil)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("platform returned status %s", resp.Status)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&entries); err != nil {
		return nil, err
	}
	for i, entry := range entries {
		if id(entry) == "" {
			return nil, errors.Newf("entry %d has no id, address, service, slots or connections", i)
		}
	}
	return entries, nil
}
