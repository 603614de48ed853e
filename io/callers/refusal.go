// Package callers is the HTTP server side towards callers: it accepts connections and requests, detects disconnects, streams
// responses, and encodes refusals (error responses of the host itself).
package callers

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Ran says whether a request that got no backend server's response may have been executed, so that a caller knows whether
// sending it again is safe. It is sent in the header X-Request-Ran.
type Ran string

// The values of Ran.
const (
	// NotRun is certain: no byte of the request reached a backend server, or the server stated that it did not process it.
	NotRun Ran = "not-run"
	// RunUnknown: the request may have been executed.
	RunUnknown Ran = "unknown"
)

// Refusal is the error response to a request that got no response of a backend server. It implements error.
type Refusal struct {
	// Status is the HTTP status, 400 to 599.
	Status int
	// Reason is a machine-readable reason in kebab case.
	Reason string
	Ran    Ran
	// RetryAfter is the time after which the caller may retry; 0 when a retry would be refused as well.
	RetryAfter time.Duration
	// Message is human-readable and must not contain secrets.
	Message string
}

// Error returns the reason and the message.
func (r *Refusal) Error() string { return r.Reason + " (" + string(r.Ran) + "): " + r.Message }

// Refuse returns a refusal of a request that was certainly not executed.
func Refuse(status int, reason, message string) *Refusal {
	return &Refusal{Status: status, Reason: reason, Ran: NotRun, Message: message}
}

// WithRetryAfter returns a copy that asks the caller to wait before it retries.
func (r *Refusal) WithRetryAfter(after time.Duration) *Refusal {
	clone := *r
	clone.RetryAfter = after
	return &clone
}

// WithRan returns a copy with another value of Ran.
func (r *Refusal) WithRan(ran Ran) *Refusal {
	clone := *r
	clone.Ran = ran
	return &clone
}

type refusalBody struct {
	Reason       string `json:"reason"`
	Ran          Ran    `json:"ran"`
	RetryAfterMS int64  `json:"retry-after-ms,omitempty"`
	Message      string `json:"message"`
}

// WriteRefusal writes the refusal to w. Retry-After is rounded up to whole seconds; the JSON body has milliseconds.
func WriteRefusal(w http.ResponseWriter, r *Refusal) {
	writeRefusal(w, r, strconv.FormatInt((r.retryAfterMS()+999)/1000, 10))
}

// WriteRefusalFractionalSeconds writes the refusal to w for callers that accept fractions of seconds in Retry-After.
func WriteRefusalFractionalSeconds(w http.ResponseWriter, r *Refusal) {
	writeRefusal(w, r, strconv.FormatFloat(float64(r.retryAfterMS())/1000, 'f', -1, 64))
}

func (r *Refusal) retryAfterMS() int64 {
	return int64((r.RetryAfter + time.Millisecond - 1) / time.Millisecond)
}

func writeRefusal(w http.ResponseWriter, r *Refusal, retryAfter string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("X-Refusal-Reason", r.Reason)
	h.Set("X-Request-Ran", string(r.Ran))
	ms := r.retryAfterMS()
	if ms > 0 {
		h.Set("Retry-After", retryAfter)
	}
	body, err := json.Marshal(refusalBody{r.Reason, r.Ran, ms, r.Message})
	if err != nil {
		body = []byte(`{}`)
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(r.Status)
	// A write error means that the caller has disconnected.
	_, _ = w.Write(body)
}
