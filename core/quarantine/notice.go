// Package quarantine decides which requests crash backend servers. A Table holds the requests that are refused, and those that are
// suspected and run alone. A History counts the crashes of one request where suspected requests do not run alone. The functions do
// no input or output.
package quarantine

// Notice informs other hosts of the state of a request that was running when a backend server crashed.
type Notice struct {
	// Fingerprint identifies the request.
	Fingerprint uint64 `json:"fingerprint"`
	State       State  `json:"state"`
	// Team, Method and Path identify the request to operators.
	Team   string `json:"team"`
	Method string `json:"method"`
	Path   string `json:"path"`
	// Host is the host that detected the crash of Server.
	Host   string `json:"host"`
	Server string `json:"server"`
}

// State is the quarantine state of a request.
type State string

// States of a request.
const (
	// Clear: the request runs normally.
	Clear State = "clear"
	// Suspect: the request was running on a server that crashed. It is run alone next time.
	Suspect State = "suspect"
	// Quarantined: the request was running alone on a server that crashed. It is refused.
	Quarantined State = "quarantined"
)
