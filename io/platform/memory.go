package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
)

// MemoryList is an in-memory stand-in for the platform's list, also served over HTTP by ServeHTTP.
// PUT /control/list replaces the whole list.
type MemoryList struct {
	mu sync.Mutex
	// listed is what the list shows, which may lag behind reality.
	listed Listing
}

// Listing is the content of the list.
type Listing struct {
	Hosts          []Host          `json:"hosts"`
	BackendServers []BackendServer `json:"backend-servers"`
	// Down makes every call fail.
	Down bool `json:"down,omitempty"`
}

// NewMemoryList returns a stand-in that shows listing.
func NewMemoryList(listing Listing) *MemoryList { return &MemoryList{listed: listing} }

// Set replaces what the list shows.
func (m *MemoryList) Set(listing Listing) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listed = listing
}

func (m *MemoryList) get() (Listing, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listed.Down {
		return Listing{}, errors.New("platform list is unavailable")
	}
	return m.listed, nil
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

// ServeHTTP serves the list in the platform's format.
func (m *MemoryList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	listing, err := m.get()
	if r.Method == http.MethodPut && r.URL.Path == "/control/list" {
		var next Listing
		if err := json.NewDecoder(r.Body).Decode(&next); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		m.Set(next)
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
