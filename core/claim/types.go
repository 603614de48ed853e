// Package claim keeps the records by which a non-idempotent request with an idempotency key runs at most once. The owner
// of the key's slot grants the request to one executor, stores its response for resends, and replicates each record to
// one other host. Its functions do no input or output.
package claim

// Request identifies a non-idempotent request with an idempotency key.
type Request struct {
	Team string `json:"team"`
	Key  string `json:"key"`
	// Fingerprint is a hash of method, path and body. A request with the same key and another fingerprint is refused.
	Fingerprint uint64 `json:"fingerprint"`
}

// State is the state of a claim.
type State string

// States of a claim in the answer to Begin.
const (
	// Granted: the caller of Begin may run the request now.
	Granted State = "granted"
	// Running: an earlier call of Begin got the grant and the request is running.
	Running State = "running"
	// Done: the request has run; Answer.Result holds its response if that was stored.
	Done State = "done"
	// Unknown: the request may have run and its response is lost.
	Unknown State = "unknown"
	// Mismatch: the key was used with another request.
	Mismatch State = "mismatch"
	// Full: the owner is at its limit of records or memory; the request was not run.
	Full State = "claims-full"
	// OwnerUnreachable: the owner did not answer or its lease expired; the request was not run.
	OwnerUnreachable State = "owner-unreachable"
)

// Answer is the outcome of Begin.
type Answer struct {
	State  State   `json:"state"`
	Result *Result `json:"result,omitempty"`
}

// Result is the stored response of a request that ran, or states that there is none.
type Result struct {
	// NotRun is set when the request certainly didn't run. It releases the claim.
	NotRun bool `json:"not-run,omitempty"`
	// Unknown is set when the request may have run and its response is lost. The claim is kept.
	Unknown bool `json:"unknown,omitempty"`
	Status  int  `json:"status,omitempty"`
	// Header holds the headers of the response without hop-by-hop fields.
	Header map[string][]string `json:"header,omitempty"`
	// Body has at most MaxBodyBytes; a response with a longer body is stored as Unknown.
	Body []byte `json:"body,omitempty"`
}

// MaxBodyBytes is the maximum length of a stored response body.
const MaxBodyBytes = 64 << 10
