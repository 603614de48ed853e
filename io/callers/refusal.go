// Package callers speaks HTTP to the callers: it accepts their requests and encodes refusals.
package callers

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Ran says what is known about a request that did not get a backend server's response.
type Ran string

// The values of Ran.
const (
	// NotRun is a proof: no byte of the request reached a backend server, or the server said that it did not process it.
	NotRun Ran = "not-run"
	// RunUnknown means that the request may have run.
	RunUnknown Ran = "unknown"
)

// Refusal is the answer to a request that got no backend server's response. It is an error.
type Refusal struct {
	// Status is the HTTP status, 400 to 599.
	Status int
	// Reason is a kebab case word for programs.
	Reason string
	Ran    Ran
	// RetryAfter is 0 when a repetition would be refused as well.
	RetryAfter time.Duration
	// Message is for people; it contains nothing secret.
	Message string
}

// Error returns the reason and the message.
func (r *Refusal) Error() string { return r.Reason + " (" + string(r.Ran) + "): " + r.Message }

// Refuse returns a refusal of a request that was proved not to have run.
func Refuse(status int, reason, message string) *Refusal {
	return &Refusal{Status: status, Reason: reason, Ran: NotRun, Message: message}
}

// WithRetryAfter returns a copy that asks the caller to wait.
func (r *Refusal) WithRetryAfter(after time.Duration) *Refusal {
	c := *r
	c.RetryAfter = after
	return &c
}

// WithRan returns a copy with another statement about the run.
func (r *Refusal) WithRan(ran Ran) *Refusal {
	c := *r
	c.Ran = ran
	return &c
}

type refusalDocument struct {
	Reason       string `json:"reason"`
	Ran          Ran    `json:"ran"`
	RetryAfterMS int64  `json:"retry-after-ms,omitempty"`
	Message      string `json:"message"`
}

// WriteRefusal writes the refusal to w. Retry-After counts whole seconds; the JSON document has the exact time.
func WriteRefusal(w http.ResponseWriter, r *Refusal) {
	writeRefusal(w, r, strconv.FormatInt((r.retryAfterMS()+999)/1000, 10))
}

// WriteRefusalFractionalSeconds writes the refusal to w for callers that read fractions of seconds in Retry-After.
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
	body, err := json.Marshal(refusalDocument{r.Reason, r.Ran, ms, r.Message})
	if err != nil {
		body = []byte(`{}`)
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(r.Status)
	// A caller that has gone does not need the body.
	_, _ = w.Write(body)
}
