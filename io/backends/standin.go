package backends

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// StandInOptions configures a StandIn.
type StandInOptions struct {
	ID, Service, Version string
	// Address is the listening address; with port 0 the system chooses a port at the first Start.
	Address string
	// Slots is the maximum number of concurrent requests; further ones are shed. 0 means 4.
	Slots int
	// Latency is the processing time of a request.
	Latency time.Duration
	// BodyBytes is the number of bytes of padding in the response body.
	BodyBytes int
}

// RunRecord is the log entry of a request that the stand-in began to execute.
type RunRecord struct {
	Key       string `json:"key,omitempty"`
	Tag       string `json:"tag,omitempty"`
	RequestID string `json:"request-id"`
	Method    string `json:"method"`
	Target    string `json:"target"`
	Server    string `json:"server"`
	Version   string `json:"version,omitempty"`
	AtMS      int64  `json:"at-ms"`
}

// maxRuns bounds the log of runs. When it is full, its oldest half is dropped.
const maxRuns = 200_000

// StandIn is a fake backend server for tests, demonstrations and benchmarks. It echoes X-Request-Id, executes at most Slots
// requests at a time and sheds the rest. Faults are injected by SetFaults, over HTTP under /control, or with a request header.
type StandIn struct {
	options  StandInOptions
	slots    chan struct{}
	mu       sync.Mutex
	runs     []RunRecord
	leaks    []string
	secrets  []string
	faults   []*Fault
	conns    map[*standInConn]struct{}
	server   *http.Server
	listener net.Listener
	group    errgroup.Group
	ctx      context.Context
	cancel   context.CancelFunc
	draining atomic.Bool
	stopped  bool
	shed     atomic.Int64
	crashes  atomic.Int64
}

// NewStandIn returns a stand-in. It does not listen before Start.
func NewStandIn(options StandInOptions) *StandIn {
	if options.Slots == 0 {
		options.Slots = 4
	}
	if options.Address == "" {
		options.Address = "127.0.0.1:0"
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &StandIn{
		options: options, slots: make(chan struct{}, options.Slots),
		conns: map[*standInConn]struct{}{}, ctx: ctx, cancel: cancel,
	}
}

// Start starts the server. After a crash, it listens on the same address again.
func (s *StandIn) Start() (err error) {
	defer func() { err = errors.Wrapf(err, "start stand-in backend server %s", s.options.ID) }()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return errors.New("stopped")
	}
	listener, err := net.Listen("tcp", s.options.Address)
	if err != nil {
		return err
	}
	s.options.Address = listener.Addr().String()
	s.listener = listener
	server := &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second, MaxHeaderBytes: 64 << 10, ConnContext: withConn, ConnState: trackState}
	s.server = server
	s.group.Go(func() error {
		// Serve always returns an error: the listener is closed by a stop or a crash.
		_ = server.Serve(standInListener{listener, s})
		return nil
	})
	return nil
}

// Address returns the listening address.
func (s *StandIn) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.options.Address
}

// Stop closes every connection and waits for all goroutines.
func (s *StandIn) Stop() {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.cancel()
	s.closeAll()
	// The goroutines return no errors.
	_ = s.group.Wait()
}

// closeAll closes the listener and resets all connections, as happens when a process is killed.
func (s *StandIn) closeAll() {
	s.mu.Lock()
	server, listener, conns := s.server, s.listener, s.conns
	s.conns = map[*standInConn]struct{}{}
	s.mu.Unlock()
	if server != nil {
		// Close the listener first, so that new connections are refused before the existing ones are reset.
		_ = listener.Close()
		for c := range conns {
			c.reset()
		}
		_ = server.Close()
	}
}

// crash closes the listener and all connections, and restarts the server after down; 0 means no restart.
func (s *StandIn) crash(down time.Duration) {
	s.crashes.Add(1)
	s.group.Go(func() error {
		s.closeAll()
		if down == 0 {
			return nil
		}
		timer := time.NewTimer(down)
		defer timer.Stop()
		select {
		case <-timer.C:
			// When the restart fails, the server stays down and the test that waits for it fails.
			_ = s.Start()
		case <-s.ctx.Done():
		}
		return nil
	})
}

// Crashes returns the number of simulated crashes.
func (s *StandIn) Crashes() int { return int(s.crashes.Load()) }

// Shed returns the number of requests that were shed.
func (s *StandIn) Shed() int { return int(s.shed.Load()) }

// Runs returns the log of requests that the stand-in began to execute.
func (s *StandIn) Runs() []RunRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]RunRecord(nil), s.runs...)
}

// LeakedSecrets returns the places (part of the request and path) in which a watched secret or an Authorization header arrived.
func (s *StandIn) LeakedSecrets() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.leaks...)
}

// WatchForSecrets makes the stand-in search all further requests for secrets that must not reach a backend server.
func (s *StandIn) WatchForSecrets(secrets ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.secrets = append(s.secrets, secrets...)
}

// ServeHTTP serves a request or a control command.
func (s *StandIn) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/control/") {
		s.serveControl(w, r)
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	fault := s.faultFor(r)
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		s.writeShed(w)
		return
	}
	w.Header().Set("X-Load", fmt.Sprintf("%d/%d", len(s.slots), s.options.Slots))
	if fault.beforeRun(s, w, r) {
		return
	}
	s.recordRun(r, id)
	body, err := io.ReadAll(io.LimitReader(r.Body, 8<<20))
	s.detectSecrets(r, body)
	if err != nil || fault.duringRun(s, w, r) {
		return
	}
	if !s.simulateWork(r, fault) {
		return
	}
	fault.writeResponse(s, w, r, s.responseBody(r, id, body))
}

func (s *StandIn) writeShed(w http.ResponseWriter) {
	s.shed.Add(1)
	w.Header().Set("X-Shed", "true")
	w.Header().Set("Retry-After", "1")
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (s *StandIn) recordRun(r *http.Request, id string) {
	run := RunRecord{
		Key: r.Header.Get("Idempotency-Key"), Tag: r.Header.Get("X-Run-Tag"), RequestID: id, Method: r.Method,
		Target: r.URL.RequestURI(), Server: s.options.ID, Version: s.options.Version, AtMS: time.Now().UnixMilli(),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.runs) >= maxRuns {
		s.runs = append(s.runs[:0], s.runs[maxRuns/2:]...)
	}
	s.runs = append(s.runs, run)
}

// detectSecrets records in which part of the request a watched secret arrived: target, query, headers, trailers or body.
func (s *StandIn) detectSecrets(r *http.Request, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Header.Get("Authorization") != "" {
		s.leaks = append(s.leaks, "authorization of "+r.URL.Path)
	}
	for _, secret := range s.secrets {
		decoded, _, _ := strings.Cut(fmt.Sprint(r.URL.Query()), "\n")
		for place, text := range map[string]string{
			"target": r.RequestURI, "query": decoded, "header": fmt.Sprint(r.Header), "trailer": fmt.Sprint(r.Trailer), "body": string(body),
		} {
			if strings.Contains(text, secret) && len(s.leaks) < 1000 {
				s.leaks = append(s.leaks, place+" of "+r.URL.Path)
			}
		}
	}
}

// simulateWork waits for the processing time of a request. It returns false when the request is cancelled or the server stops
// first.
func (s *StandIn) simulateWork(r *http.Request, fault *Fault) bool {
	latency := s.options.Latency
	if fault != nil && fault.Kind == FaultSlow {
		latency = time.Duration(fault.LatencyMS) * time.Millisecond
	}
	if latency == 0 {
		return true
	}
	timer := time.NewTimer(latency)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	case <-s.ctx.Done():
		return false
	}
}

// responseBody returns a body that identifies the request, so that a caller can check that it got its own response.
func (s *StandIn) responseBody(r *http.Request, id string, body []byte) []byte {
	document, err := json.Marshal(map[string]any{
		"server": s.options.ID, "request-id": id, "target": r.URL.RequestURI(), "tag": r.Header.Get("X-Run-Tag"),
		"key": r.Header.Get("Idempotency-Key"), "received": len(body), "padding": strings.Repeat("x", s.options.BodyBytes),
	})
	if err != nil {
		return nil
	}
	return document
}

func (s *StandIn) serveControl(w http.ResponseWriter, r *http.Request) {
	reply := func(v any) {
		w.Header().Set("Content-Type", "application/json")
		// A write error means that the client has disconnected.
		_ = json.NewEncoder(w).Encode(v)
	}
	switch r.Method + " " + strings.TrimPrefix(r.URL.Path, "/control/") {
	case "GET runs":
		runs := s.Runs()
		if key := r.URL.Query().Get("key"); key != "" {
			kept := runs[:0]
			for _, run := range runs {
				if run.Key == key {
					kept = append(kept, run)
				}
			}
			runs = kept
		}
		reply(runs)
	case "GET seen":
		reply(s.LeakedSecrets())
	case "POST watch":
		var secrets []string
		if err := json.NewDecoder(r.Body).Decode(&secrets); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.WatchForSecrets(secrets...)
		reply(len(secrets))
	case "PUT faults":
		var faults []Fault
		if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if err := s.SetFaults(faults...); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		reply(len(faults))
	case "POST silence":
		reply(s.SilenceConnections())
	case "POST drain":
		s.draining.Store(r.URL.Query().Get("off") == "")
		reply(s.draining.Load())
	case "POST crash":
		ms, err := strconv.Atoi(r.URL.Query().Get("down-ms"))
		if err != nil {
			ms = 0
		}
		reply("crashing")
		s.crash(time.Duration(ms) * time.Millisecond)
	case "GET stats":
		reply(map[string]int{"runs": len(s.Runs()), "shed": s.Shed(), "crashes": s.Crashes(), "in-flight": len(s.slots)})
	default:
		http.Error(w, "unknown control command", http.StatusNotFound)
	}
}
