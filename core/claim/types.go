// Package claim decides whether a keyed non-idempotent request may run, so that it runs at most once.
package claim

// Request identifies a keyed non-idempotent request.
type Request struct {
	Team string `json:"team"`
	Key  string `json:"key"`
	// Fingerprint is the hash of method, path and body; the same key with another fingerprint is refused.
	Fingerprint uint64 `json:"fingerprint"`
}

// State is what the claim's owner knows about the request.
type State string

// The states of a claim as answered to Begin.
const (
	// Granted: the caller of Begin may run the request now.
	Granted State = "granted"
	// Running: an earlier arrival is being run.
	Running State = "running"
	// Done: an earlier arrival has run; Answer.Result holds its answer if it was kept.
	Done State = "done"
	// Unknown: an earlier arrival may have run and its answer is lost.
	Unknown State = "unknown"
	// Mismatch: the key was used with another request.
	Mismatch State = "mismatch"
	// Full: the owner is at its memory bound; nothing was run.
	Full State = "claims-full"
	// OwnerUnreachable: the owner did not answer or its lease lapsed; nothing was run.
	OwnerUnreachable State = "owner-unreachable"
)

// Answer is the outcome of Begin.
type Answer struct {
	State  State   `json:"state"`
	Result *Result `json:"result,omitempty"`
}

// Result is the stored answer of a request that ran, or the note that it did not.
type Result struct {
	// NotRun releases the claim: the request is proved not to have run.
	NotRun bool `json:"not-run,omitempty"`
	// Unknown keeps the claim without an answer.
	Unknown bool `json:"unknown,omitempty"`
	Status  int  `json:"status,omitempty"`
	// Header holds the answer's headers without hop-by-hop fields.
	Header map[string][]string `json:"header,omitempty"`
	// Body is at most MaxBodyBytes; a longer body is stored as Unknown.
	Body []byte `json:"body,omitempty"`
}

// MaxBodyBytes is the longest answer body that a claim keeps.
const MaxBodyBytes = 64 << 10
