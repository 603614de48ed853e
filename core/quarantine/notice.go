// Package quarantine decides which requests are kept from running because they crash backend servers.
package quarantine

// Notice tells other hosts about a request that was running when a backend server crashed.
type Notice struct {
	// Fingerprint identifies the request.
	Fingerprint uint64 `json:"fingerprint"`
	State       State  `json:"state"`
	// Team, Method and Path tell operators which request it is.
	Team   string `json:"team"`
	Method string `json:"method"`
	Path   string `json:"path"`
	// Host saw the crash of Server.
	Host   string `json:"host"`
	Server string `json:"server"`
}

// State is what is known about a request.
type State string

// The states.
const (
	// Clear requests run as usual.
	Clear State = "clear"
	// Suspect requests were running on a server that crashed; they run alone next.
	Suspect State = "suspect"
	// Quarantined requests crashed a server while they ran alone; they are refused.
	Quarantined State = "quarantined"
)
