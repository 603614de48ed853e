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
	requestLimitBytes = 2 << 20
	// defaultDecisions and maxDecisions bound the answer to explain.
	defaultDecisions = 50
	maxDecisions     = 1000
)

// ErrorResponse is the body of every refusal.
type ErrorResponse struct {
	Error string `json:"error"`
}

// Server is the operators' API of one host. Liveness, readiness and metrics need no credential.
type Server struct {
	control    HostControl
	credential [sha256.Size]byte
	mux        *http.ServeMux
}

// NewServer returns the API; metrics renders the host's metrics as text.
func NewServer(control HostControl, credential string, metrics http.Handler) *Server {
	s := &Server{control: control, credential: sha256.Sum256([]byte(credential)), mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	s.mux.HandleFunc("GET /readyz", s.ready)
	s.mux.Handle("GET /metrics", metrics)
	s.mux.HandleFunc("GET /v1/status", s.guard(func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, control.Status()) }))
	s.mux.HandleFunc("GET /v1/configuration", s.guard(s.configuration))
	s.mux.HandleFunc("POST /v1/validate", s.guard(s.validate))
	s.mux.HandleFunc("POST /v1/apply", s.guard(s.apply))
	s.mux.HandleFunc("GET /v1/decisions", s.guard(s.decisions))
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// guard refuses requests without the operators' credential. It compares hashes in constant time.
func (s *Server) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		given, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(given))
		if subtle.ConstantTimeCompare(sum[:], s.credential[:]) != 1 {
			answer(w, http.StatusUnauthorized, ErrorResponse{"the operator credential is missing or wrong"})
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
	answer(w, http.StatusOK, current)
}

func (s *Server) validate(w http.ResponseWriter, r *http.Request) {
	change, ok := readChange(w, r)
	if !ok {
		return
	}
	if err := s.control.Validate(change.Edits); err != nil {
		answer(w, http.StatusUnprocessableEntity, ErrorResponse{err.Error()})
		return
	}
	answer(w, http.StatusOK, struct{}{})
}

func (s *Server) apply(w http.ResponseWriter, r *http.Request) {
	change, ok := readChange(w, r)
	if !ok {
		return
	}
	result, err := s.control.Apply(r.Context(), change)
	if err != nil {
		answer(w, applyStatus(err), ErrorResponse{err.Error()})
		return
	}
	status := http.StatusOK
	if result.State == Conflict {
		status = http.StatusConflict
	}
	answer(w, status, result)
}

// applyStatus tells a change that was invalid from a store that could not be reached.
func applyStatus(err error) int {
	var problem *config.ValidationError
	var problems config.ValidationErrors
	if errors.As(err, &problem) || errors.As(err, &problems) {
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
			answer(w, http.StatusBadRequest, ErrorResponse{"limit: " + strconv.Quote(text) + " is not accepted; accepted: 1 to 1000"})
			return
		}
		limit = n
	}
	answer(w, http.StatusOK, s.control.Decisions(query.Get("kind"), query.Get("subject"), limit))
}

func readChange(w http.ResponseWriter, r *http.Request) (change ChangeRequest, ok bool) {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, requestLimitBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&change); err != nil {
		answer(w, http.StatusBadRequest, ErrorResponse{"request body: " + err.Error()})
		return change, false
	}
	if len(change.Edits) == 0 {
		answer(w, http.StatusBadRequest, ErrorResponse{"edits: empty; accepted: 1 or more"})
		return change, false
	}
	return change, true
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
