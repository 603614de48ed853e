package store

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Server serves a Memory over the HTTP API of the platform's store, as a stand-in for it. PUT /control/faults injects faults, and
// GET /control/counts returns the counts of calls.
type Server struct {
	memory *Memory
	mux    *http.ServeMux
}

// NewServer returns a server for memory.
func NewServer(memory *Memory) *Server {
	s := &Server{memory: memory, mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /v1/objects/{key...}", s.get)
	s.mux.HandleFunc("PUT /v1/objects/{key...}", s.put)
	s.mux.HandleFunc("GET /v1/objects", s.list)
	s.mux.HandleFunc("PUT /control/faults", s.setFaults)
	s.mux.HandleFunc("GET /control/counts", s.counts)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	var object Object
	var err error
	if after := query.Get("after"); after != "" {
		object, err = s.watch(r, after, query.Get("timeout"))
	} else {
		object, err = s.memory.Get(r.Context(), r.PathValue("key"))
	}
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", formatETag(object.Version))
	_, _ = w.Write(object.Value)
}

// watch serves a long poll. An invalid timeout is replaced by watchTimeout.
func (s *Server) watch(r *http.Request, afterText, timeoutText string) (Object, error) {
	after, err := strconv.ParseUint(afterText, 10, 64)
	if err != nil {
		return Object{}, errors.Newf("after: %q is not a version", afterText)
	}
	timeout, err := time.ParseDuration(timeoutText)
	if err != nil || timeout <= 0 || timeout > time.Minute {
		timeout = watchTimeout
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	return s.memory.Watch(ctx, r.PathValue("key"), Version(after))
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, MaxValueBytes+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var expect Version
	if match := r.Header.Get("If-Match"); match != "" {
		if expect, err = parseETag(match); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	} else if r.Header.Get("If-None-Match") != "*" {
		http.Error(w, "If-Match or If-None-Match: * is required", http.StatusPreconditionRequired)
		return
	}
	version, err := s.memory.Put(r.Context(), r.PathValue("key"), value, expect)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", formatETag(version))
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	objects, err := s.memory.List(r.Context(), r.URL.Query().Get("prefix"))
	if err != nil {
		writeError(w, err)
		return
	}
	listed := make([]listedObject, 0, len(objects))
	for _, o := range objects {
		listed = append(listed, listedObject(o))
	}
	_ = json.NewEncoder(w).Encode(listed)
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.memory.SetFaults(f)
}

func (s *Server) counts(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.memory.Counts())
}

// writeError writes the status code of err according to statusErrors, or else 400.
func writeError(w http.ResponseWriter, err error) {
	for status, known := range statusErrors {
		if errors.Is(err, known) {
			if status == http.StatusNotModified {
				w.WriteHeader(status)
				return
			}
			http.Error(w, strings.TrimSpace(err.Error()), status)
			return
		}
	}
	http.Error(w, err.Error(), http.StatusBadRequest)
}
