package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/netip"
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
		if _, err := netip.ParseAddrPort(e.Address); err != nil {
			return ""
		}
		if e.Slots < 1 || e.Slots > MaxSlots || e.Connections < 1 || e.Service == "" {
			return ""
		}
		return e.ID
	})
}

// InvalidEntriesError says that entries of a list were left out because they are invalid. The other ones are returned with it.
type InvalidEntriesError struct {
	// Count is the number of invalid entries, at least 1, and First the index of the first one.
	Count, First int
}

func (e *InvalidEntriesError) Error() string {
	return fmt.Sprintf("%d entries are invalid, entry %d first: no id, service, slots, connections or address", e.Count, e.First)
}

// IsUsable reports whether a read with this error returned a list: err is nil or an InvalidEntriesError.
func IsUsable(err error) bool {
	invalid := new(InvalidEntriesError)
	return err == nil || errors.As(err, &invalid)
}

// fetch reads a JSON array. An entry for which id returns "" is invalid and left out; the error is an InvalidEntriesError then.
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return nil, err
	}
	var encoded []json.RawMessage
	if err := UnmarshalCuttingDeepValues(data, &encoded); err != nil {
		return nil, err
	}
	invalid := InvalidEntriesError{}
	for i, text := range encoded {
		var entry Entry
		if json.Unmarshal(text, &entry) == nil && id(entry) != "" {
			entries = append(entries, entry)
			continue
		}
		if invalid.Count == 0 {
			invalid.First = i
		}
		invalid.Count++
	}
	if invalid.Count > 0 {
		return entries, &invalid
	}
	return entries, nil
}
