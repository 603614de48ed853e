package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// metadata and object are the store's objects as PROTOCOL.md describes them.
type metadata struct {
	Name           string
	Rev            uint64   `json:",omitempty"`
	CreateRevision uint64   `json:",omitempty"`
	Finalizers     []string `json:",omitempty"`
	Deleting       bool     `json:",omitempty"`
}

type object struct {
	Metadata metadata
	Spec     json.RawMessage `json:",omitempty"`
	Status   json.RawMessage `json:",omitempty"`
}

type event struct {
	Object  object
	Deleted bool
}

type change struct {
	event
	kind string
	rev  uint64
}

// store is a stand-in for the platform's metadata store. It keeps its whole history and loses nothing.
type store struct {
	address string
	server  *http.Server
	// note records what the store does.
	note    func(format string, arguments ...any)
	mu      sync.Mutex
	changed chan struct{}
	// cutAfter is the time after which a waiting watch is cut off; 0 is never.
	cutAfter time.Duration
	rev      uint64
	objects  map[string]map[string]object
	history  []change
}

func newStore(note func(format string, arguments ...any)) (*store, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: listener.Addr().String(), note: note, rev: 10, objects: map[string]map[string]object{},
		changed: make(chan struct{}),
	}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *store) stop() { _ = s.server.Close() }

// put writes the Spec of an object, as the operator or an instance does, and returns once the store has accepted it.
func (s *store) put(kind, name string, spec any) {
	encoded, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Metadata.Name, o.Spec = name, encoded
	s.keep(kind, o)
}

// remove deletes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, exists := s.objects[kind][name]
	if !exists {
		return
	}
	delete(s.objects[kind], name)
	s.rev++
	s.history = append(s.history, change{event{o, true}, kind, s.rev})
	s.wake()
}

// cutWatchesAfter makes the store cut off each watch that has waited for limit, without an answer, from now on.
func (s *store) cutWatchesAfter(limit time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutAfter = limit
	s.wake()
}

// keep stores an object at the next revision. The caller holds s.mu.
func (s *store) keep(kind string, o object) object {
	s.rev++
	o.Metadata.Rev = s.rev
	if o.Metadata.CreateRevision == 0 {
		o.Metadata.CreateRevision = s.rev
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][o.Metadata.Name] = o
	s.history = append(s.history, change{event{o, false}, kind, s.rev})
	s.wake()
	return o
}

// wake wakes the watches. The caller holds s.mu.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers one call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	query := r.URL.Query()
	switch {
	case r.Method != http.MethodGet:
		s.write(w, r, kind, name)
	case name != "":
		s.mu.Lock()
		o, exists := s.objects[kind][name]
		s.mu.Unlock()
		if !exists {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer(w, http.StatusOK, o)
	case query.Get("Watch") != "":
		s.watch(w, r, kind)
	default:
		s.list(w, kind)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := []object{}
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	at := s.rev
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	answer(w, http.StatusOK, map[string]any{"items": items, "More": false, "At": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("Watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	begin := time.Now()
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for timedOut := false; ; {
		s.mu.Lock()
		events := []event{}
		for _, c := range s.history {
			if c.kind == kind && c.rev > after {
				events = append(events, c.event)
			}
		}
		at, changed, cutAfter := s.rev, s.changed, s.cutAfter
		s.mu.Unlock()
		if len(events) > 0 || timedOut {
			answer(w, http.StatusOK, map[string]any{"events": events, "At": at})
			return
		}
		var cut <-chan time.Time
		if cutAfter > 0 {
			cut = time.After(time.Until(begin.Add(cutAfter)))
		}
		select {
		case <-r.Context().Done():
			return
		case <-cut:
			s.note("the store cuts off a watch of %s from %s", kind, r.RemoteAddr)
			panic(http.ErrAbortHandler)
		case <-timer.C:
			timedOut = true
		case <-changed:
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, path string) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	name, part, _ := strings.Cut(path, "/")
	if r.Method == http.MethodPost {
		name = o.Metadata.Name
	}
	s.mu.Lock()
	before, exists := s.objects[kind][name]
	status := http.StatusOK
	switch {
	case !exists && r.Method == http.MethodPut:
		status = http.StatusNotFound
	case exists && r.Method == http.MethodPost, o.Metadata.Rev != 0 && o.Metadata.Rev != before.Metadata.Rev:
		status = http.StatusConflict
	case part == "status":
		before.Status = o.Status
		before = s.keep(kind, before)
	default:
		before.Metadata.Name, before.Spec = name, o.Spec
		before = s.keep(kind, before)
	}
	s.mu.Unlock()
	answer(w, status, before)
}
