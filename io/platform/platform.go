// Package platform reads the platform list: the hosts and backend servers that run or are about to leave.
package platform

import (
	"context"
	"time"
)

// Host is a host in the platform list. The list lags behind the hosts that really run.
type Host struct {
	ID            string `json:"id"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure-domain"`
	// PeerAddress and CallerAddress are IP:port pairs.
	PeerAddress   string `json:"peer-address"`
	CallerAddress string `json:"caller-address"`
	// Leaving is set when the host is about to stop.
	Leaving bool `json:"leaving"`
}

// BackendServer is a backend server in the platform list. The list lags behind the servers that really run.
type BackendServer struct {
	ID            string `json:"id"`
	Service       string `json:"service"`
	Version       string `json:"version"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure-domain"`
	// Address is an IP:port pair.
	Address string `json:"address"`
	// Slots is the maximum number of concurrent requests of the server, at least 1.
	Slots int `json:"slots"`
	// Connections is the maximum number of open connections to the server, at least 1.
	Connections int `json:"connections"`
	// Leaving is set when the server is about to stop.
	Leaving bool `json:"leaving"`
	// ColdFor is the remaining time in which the server, recently started, is cold and takes fewer requests.
	ColdFor time.Duration `json:"cold-for,omitempty"`
	// Started is the Unix time of the server's start in milliseconds, or 0 if unknown. It distinguishes a restarted
	// server from the previous one with the same id.
	Started int64 `json:"started,omitempty"`
	// Report is the number of the server's report that the entry was written from, counted from 1 after each start, or 0 if
	// unknown. Of two entries of one process, the one with the higher number is newer, whichever was listed last.
	Report uint64 `json:"report,omitempty"`
}

// MaxSlots bounds the slots that a server may state. A server with an absurd number would look idle and get all requests.
const MaxSlots = 100_000

// List is the interface through which the system reads the platform list. If entries are invalid, the others are returned with an
// InvalidEntriesError.
type List interface {
	Hosts(ctx context.Context) ([]Host, error)
	BackendServers(ctx context.Context) ([]BackendServer, error)
}
