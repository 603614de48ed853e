package operators

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"vanillatally/core/config"
)

const (
	maxRequestBytes = 2 << 20
	// defaultDecisions and maxDecisions limit the decisions in a response.
	defaultDecisions = 50
	maxDecisions     = 1000
)

// ErrorResponse is the body of every error response.
type ErrorResponse struct {
	Error string `json:"error"`
}

// Server serves the operator API of one host. Liveness, readiness and metrics need no credential.
type Server struct {
	control    HostControl
	credential [sha256.Size]byte
	mux        *http.ServeMux
}

// NewServer returns a server for the operator API; metrics serves the host's metrics as text.
func NewServer(control HostControl, credential string, metrics http.Handler) *Server {
	s := &Server{control: control, credential: sha256.Sum256([]byte(credential)), mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	s.mux.HandleFunc("GET /readyz", s.ready)
	s.mux.Handle("GET /metrics", metrics)
	s.mux.HandleFunc("GET /v1/status", s.requireCredential(func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, control.Status())
	}))
	s.mux.HandleFunc("GET /v1/configuration", s.requireCredential(s.configuration))
	s.mux.HandleFunc("POST /v1/validate", s.requireCredential(s.validate))
	s.mux.HandleFunc("POST /v1/apply", s.requireCredential(s.apply))
	s.mux.HandleFunc("GET /v1/decisions", s.requireCredential(s.decisions))
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// requireCredential refuses requests without the operator credential. It compares hashes in constant time, so that the
// response time reveals nothing about the credential.
func (s *Server) requireCredential(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		credential, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(credential))
		if subtle.ConstantTimeCompare(sum[:], s.credential[:]) != 1 {
			writeJSON(w, http.StatusUnauthorized, ErrorResponse{"the operator credential is missing or wrong"})
			return
		}
		next(w, r)
	}
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if !s.control.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (s *Server) configuration(w http.ResponseWriter, _ *http.Request) {
	current := s.control.Configuration()
	if current == nil {
		current = &config.Configuration{}
	}
	writeJSON(w, http.StatusOK, current)
}

func (s *Server) validate(w http.ResponseWriter, r *http.Request) {
	change, ok := readChange(w, r)
	if !ok {
		return
	}
	if err := s.control.Validate(change.Edits); err != nil {
		writeJSON(w, http.StatusUnprocessableEntity, ErrorResponse{err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func (s *Server) apply(w http.ResponseWriter, r *http.Request) {
	change, ok := readChange(w, r)
	if !ok {
		return
	}
	result, err := s.control.Apply(r.Context(), change)
	if err != nil {
		writeJSON(w, applyErrorStatus(err), ErrorResponse{err.Error()})
		return
	}
	status := http.StatusOK
	if result.State == Conflict {
		status = http.StatusConflict
	}
	writeJSON(w, status, result)
}

// applyErrorStatus returns 422 for an invalid change, and 503 for other errors, such as an unreachable store.
func applyErrorStatus(err error) int {
	var invalid *config.ValidationError
	var manyInvalid config.ValidationErrors
	if errors.As(err, &invalid) || errors.As(err, &manyInvalid) {
		return http.StatusUnprocessableEntity
	}
	return http.StatusServiceUnavailable
}

func (s *Server) decisions(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit := defaultDecisions
	if text := query.Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxDecisions {
			writeJSON(w, http.StatusBadRequest, ErrorResponse{"limit: " + strconv.Quote(text) + " is not accepted; accepted: 1 to 1000"})
			return
		}
		limit = n
	}
	writeJSON(w, http.StatusOK, s.control.Decisions(query.Get("kind"), query.Get("subject"), limit))
}

// readChange decodes the request body. If it is invalid, readChange writes the error response and returns false.
func readChange(w http.ResponseWriter, r *http.Request) (change ChangeRequest, ok bool) {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&change); err != nil {
		writeJSON(w, http.StatusBadRequest, ErrorResponse{"request body: " + err.Error()})
		return change, false
	}
	if len(change.Edits) == 0 {
		writeJSON(w, http.StatusBadRequest, ErrorResponse{"edits: empty; accepted: 1 or more"})
		return change, false
	}
	return change, true
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
