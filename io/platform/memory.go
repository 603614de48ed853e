package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
)

// MemoryList is an in-memory platform list for tests and demonstrations. It also serves the list over HTTP, where
// PUT /control/list replaces it.
type MemoryList struct {
	mu sync.Mutex
	// listing may lag behind the hosts and backend servers that really run.
	listing Listing
}

// Listing is the content of a MemoryList.
type Listing struct {
	Hosts          []Host          `json:"hosts"`
	BackendServers []BackendServer `json:"backend-servers"`
	// Down makes every read fail.
	Down bool `json:"down,omitempty"`
}

// NewMemoryList returns a list with the content listing.
func NewMemoryList(listing Listing) *MemoryList { return &MemoryList{listing: listing} }

// Set replaces the content of the list.
func (m *MemoryList) Set(listing Listing) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listing = listing
}

func (m *MemoryList) get() (Listing, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listing.Down {
		return Listing{}, errors.New("platform list is unavailable")
	}
	return m.listing, nil
}

// Hosts implements List.
func (m *MemoryList) Hosts(context.Context) ([]Host, error) {
	listing, err := m.get()
	return listing.Hosts, err
}

// BackendServers implements List.
func (m *MemoryList) BackendServers(context.Context) ([]BackendServer, error) {
	listing, err := m.get()
	return listing.BackendServers, err
}

// ServeHTTP serves the list in the format that HTTPList reads.
func (m *MemoryList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	listing, err := m.get()
	if r.Method == http.MethodPut && r.URL.Path == "/control/list" {
		var replacement Listing
		if err := json.NewDecoder(r.Body).Decode(&replacement); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		m.Set(replacement)
		return
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/v1/hosts":
		_ = json.NewEncoder(w).Encode(listing.Hosts)
	case "/v1/backend-servers":
		_ = json.NewEncoder(w).Encode(listing.BackendServers)
	default:
		http.NotFound(w, r)
	}
}
