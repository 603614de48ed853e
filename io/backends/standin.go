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

// StandInOptions sets up a StandIn.
type StandInOptions struct {
	ID, Service, Version string
	// Address is the listening address; port 0 lets the system choose at the first Start.
	Address string
	// Slots is the number of requests that run at once; a request beyond them is shed. 0 means 4.
	Slots int
	// Latency is the time that a request takes.
	Latency time.Duration
	// BodyBytes is the length of the response body beyond the identifying line.
	BodyBytes int
}

// RunRecord is one request that the stand-in began to run.
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

// maxRuns bounds the log of runs; the oldest half is dropped beyond it.
const maxRuns = 200_000

// StandIn is a backend server for tests, demonstrations and benchmarks. It echoes X-Request-Id, runs at most
// Slots requests at once, sheds the rest, and has faults that are switched over HTTP under /control.
type StandIn struct {
	options  StandInOptions
	slots    chan struct{}
	mu       sync.Mutex
	runs     []RunRecord
	seen     []string
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

// NewStandIn returns a stand-in that does not listen yet.
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

// Start listens; after a crash it listens at the same address again.
func (s *StandIn) Start() (err error) {
	defer func() { err = errors.Wrapf(err, "start backend server stand-in %s", s.options.ID) }()
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
	server := &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second, MaxHeaderBytes: 64 << 10, ConnContext: withConn, ConnState: noteState}
	s.server = server
	s.group.Go(func() error {
		// Serve always returns an error, which a stop or a crash causes.
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
	s.kill()
	// The goroutines return no errors.
	_ = s.group.Wait()
}

// kill closes the listener and resets every connection, as the end of a process does.
func (s *StandIn) kill() {
	s.mu.Lock()
	server, listener, conns := s.server, s.listener, s.conns
	s.conns = map[*standInConn]struct{}{}
	s.mu.Unlock()
	if server != nil {
		// The listener closes first, so that a new connection is refused before the old ones are reset.
		_ = listener.Close()
		for c := range conns {
			c.reset()
		}
		_ = server.Close()
	}
}

// crash kills the server and restarts it after down; 0 leaves it down.
func (s *StandIn) crash(down time.Duration) {
	s.crashes.Add(1)
	s.group.Go(func() error {
		s.kill()
		if down == 0 {
			return nil
		}
		timer := time.NewTimer(down)
		defer timer.Stop()
		select {
		case <-timer.C:
			// A failed restart leaves the server down, which a test notices.
			_ = s.Start()
		case <-s.ctx.Done():
		}
		return nil
	})
}

// Crashes returns how often the server crashed.
func (s *StandIn) Crashes() int { return int(s.crashes.Load()) }

// Shed returns the number of requests that were shed.
func (s *StandIn) Shed() int { return int(s.shed.Load()) }

// Runs returns the log of requests that began to run.
func (s *StandIn) Runs() []RunRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]RunRecord(nil), s.runs...)
}

// LeakedSecrets returns the places in which a secret or an Authorization header was seen.
func (s *StandIn) LeakedSecrets() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.seen...)
}

// WatchForSecrets makes the stand-in look for secrets in every request.
func (s *StandIn) WatchForSecrets(secrets ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.secrets = append(s.secrets, secrets...)
}

// ServeHTTP runs one request or a control command.
func (s *StandIn) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/control/") {
		s.control(w, r)
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	fault := s.fault(r)
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		s.writeShed(w)
		return
	}
	w.Header().Set("X-Load", fmt.Sprintf("%d/%d", len(s.slots), s.options.Slots))
	if fault.before(s, w, r) {
		return
	}
	s.record(r, id)
	body, err := io.ReadAll(io.LimitReader(r.Body, 8<<20))
	s.inspect(r, body)
	if err != nil || fault.during(s, w, r) {
		return
	}
	if !s.work(r, fault) {
		return
	}
	fault.answer(s, w, r, s.response(r, id, body))
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

func (s *StandIn) record(r *http.Request, id string) {
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

// inspect notes where a secret reached the server: target, headers, trailers or body.
func (s *StandIn) inspect(r *http.Request, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Header.Get("Authorization") != "" {
		s.seen = append(s.seen, "authorization of "+r.URL.Path)
	}
	for _, secret := range s.secrets {
		decoded, _, _ := strings.Cut(fmt.Sprint(r.URL.Query()), "\n")
		for place, text := range map[string]string{
			"target": r.RequestURI, "query": decoded, "header": fmt.Sprint(r.Header), "trailer": fmt.Sprint(r.Trailer), "body": string(body),
		} {
			if strings.Contains(text, secret) && len(s.seen) < 1000 {
				s.seen = append(s.seen, place+" of "+r.URL.Path)
			}
		}
	}
}

// work takes the time of a request and reports whether it ended before a cancellation or the deadline.
func (s *StandIn) work(r *http.Request, fault *Fault) bool {
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

// response returns a body that names the request, so that a caller can tell whether it got its own response.
func (s *StandIn) response(r *http.Request, id string, body []byte) []byte {
	document, err := json.Marshal(map[string]any{
		"server": s.options.ID, "request-id": id, "target": r.URL.RequestURI(), "tag": r.Header.Get("X-Run-Tag"),
		"key": r.Header.Get("Idempotency-Key"), "received": len(body), "padding": strings.Repeat("x", s.options.BodyBytes),
	})
	if err != nil {
		return nil
	}
	return document
}

func (s *StandIn) control(w http.ResponseWriter, r *http.Request) {
	reply := func(v any) {
		w.Header().Set("Content-Type", "application/json")
		// A reader of the control answer that has gone needs no error.
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
