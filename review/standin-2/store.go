package main

import (
	"encoding/json"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// object is an object of the store.
type object struct {
	Metadata struct {
		Name                string
		Rev, CreateRevision uint64
		Finalizers          []string
		Deleting            bool
	}
	Spec, Status json.RawMessage
}

// change is one change of the store's history.
type change struct {
	kind    string
	rev     uint64
	Object  object
	Deleted bool
}

// store is a stand-in for the platform's store.
type store struct {
	address string
	server  *http.Server
	group   errgroup.Group

	mu      sync.Mutex
	rev     uint64
	objects map[string]map[string]object
	history []change
	// changed is closed at the next change, and then replaced.
	changed chan struct{}
	// busy makes the store answer 503 to all calls and ends the open watches.
	busy bool
}

// startStore starts a store at a free port of 127.0.0.1.
func startStore() (s *store, err error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s = &store{address: listener.Addr().String(), rev: 10, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	s.group.Go(func() error {
		if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return s, nil
}

func (s *store) stop() error { return errors.CombineErrors(s.server.Close(), s.group.Wait()) }

// put writes the Spec of an object, as the operator or a backend server does.
func (s *store) put(kind, name, spec string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	if kind == "servers" && withoutSeq(string(o.Spec)) == withoutSeq(spec) {
		return
	}
	o.Metadata.Name, o.Spec = name, json.RawMessage(spec)
	s.save(kind, o)
}

var seqField = regexp.MustCompile(`"Seq":\d+`)

// withoutSeq removes Seq from an entry of a backend server: the entry changes when more than Seq changes.
func withoutSeq(spec string) string { return seqField.ReplaceAllString(spec, "") }

// setBusy sets whether the store turns all calls away.
func (s *store) setBusy(busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = busy
	s.wake()
}

// wake wakes the watches. The caller holds s.mu.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// save stores an object at a new revision. The caller holds s.mu.
func (s *store) save(kind string, o object) object {
	s.rev++
	o.Metadata.Rev = s.rev
	if o.Metadata.CreateRevision == 0 {
		o.Metadata.CreateRevision = s.rev
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][o.Metadata.Name] = o
	s.history = append(s.history, change{kind: kind, rev: s.rev, Object: o})
	s.wake()
	return o
}

// ServeHTTP serves the calls of the platform's page.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	name, part, _ := strings.Cut(name, "/")
	s.mu.Lock()
	busy := s.busy
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	switch {
	case busy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.Method == http.MethodGet && r.URL.Query().Get("Watch") != "":
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.read(w, r, kind, name)
	default:
		s.write(w, r, kind, name, part)
	}
}

// read answers a list, or the object with the name.
func (s *store) read(w http.ResponseWriter, r *http.Request, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if name != "" {
		o, ok := s.objects[kind][name]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		respond(w, o)
		return
	}
	items := []object{}
	for _, o := range s.objects[kind] {
		if o.Metadata.Name > r.URL.Query().Get("after") {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	respond(w, map[string]any{"items": items, "More": false, "At": s.rev})
}

// watch answers with the changes of a kind after a revision as soon as there are any.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, err := strconv.ParseUint(r.URL.Query().Get("Watch"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	if err != nil {
		wait = 0
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		events := []change{}
		for _, c := range s.history {
			if c.kind == kind && c.rev > after {
				events = append(events, c)
			}
		}
		at, changed, busy := s.rev, s.changed, s.busy
		s.mu.Unlock()
		switch {
		case busy:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case len(events) > 0 || over:
			respond(w, map[string]any{"events": events, "At": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// write executes a POST, PUT or DELETE.
func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name, part string) {
	var sent object
	if r.Method != http.MethodDelete && json.NewDecoder(r.Body).Decode(&sent) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Method == http.MethodPost {
		name = sent.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists, exists && sent.Metadata.Rev != 0 && sent.Metadata.Rev != o.Metadata.Rev:
		w.WriteHeader(http.StatusConflict)
		respond(w, o)
		return
	case r.Method != http.MethodPost && !exists:
		w.WriteHeader(http.StatusNotFound)
		return
	case r.Method == http.MethodDelete:
		delete(s.objects[kind], name)
		s.rev++
		s.history = append(s.history, change{kind: kind, rev: s.rev, Object: o, Deleted: true})
		s.wake()
		return
	}
	o.Metadata.Name = name
	if part == "status" {
		o.Status = sent.Status
	} else {
		o.Spec, o.Metadata.Finalizers = sent.Spec, sent.Metadata.Finalizers
	}
	respond(w, s.save(kind, o))
}

func respond(w http.ResponseWriter, answer any) {
	// A write error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(answer)
}
