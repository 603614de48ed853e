package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// metadata, object, event and page are what the platform's store sends.
type metadata struct {
	Name           string
	Rev            uint64
	CreateRevision uint64
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

// change is an event with its kind, revision and time.
type change struct {
	kind string
	rev  uint64
	at   time.Time
	event
}

// historyTime is HistoryS: how long the store keeps a change.
const historyTime = 20 * time.Second

// store plays the platform's store.
type store struct {
	// listeners has one entry for each address at which the store is reached, so that it can turn single machines away.
	listeners []*http.Server
	group     sync.WaitGroup

	mu      sync.Mutex
	rev     uint64
	objects map[string]map[string]object
	history []change
	// forgotten is the revision of the last change that is no longer in the history.
	forgotten uint64
	changed   chan struct{}
}

func newStore() *store {
	return &store{rev: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// door is one address of the store.
type door struct {
	*store
	addr string
	// refuses makes the store turn the callers of this address away: it gives them no answer.
	refuses atomic.Bool
}

// open opens an address of the store.
func (s *store) open(address string) (*door, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	d := &door{store: s, addr: listener.Addr().String()}
	server := &http.Server{Handler: d, ReadHeaderTimeout: 5 * time.Second}
	s.listeners = append(s.listeners, server)
	s.group.Go(func() { _ = server.Serve(listener) })
	return d, nil
}

// refuse sets whether callers of this address are turned away. Calls that wait get no answer any more.
func (d *door) refuse(refuses bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refuses.Store(refuses)
	d.wake()
}

func (s *store) close() {
	for _, server := range s.listeners {
		_ = server.Close()
	}
	s.group.Wait()
}

// wake ends the wait of all watches. The caller holds s.mu.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes the Spec of an object.
func (s *store) put(kind, name string, spec any) {
	encoded, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, func(o *object) { o.Spec = encoded })
}

// write changes an object, or creates it. The caller holds s.mu.
func (s *store) write(kind, name string, edit func(*object)) object {
	s.rev++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o, ok := s.objects[kind][name]
	if !ok {
		o.Metadata = metadata{Name: name, CreateRevision: s.rev}
	}
	edit(&o)
	o.Metadata.Rev = s.rev
	s.objects[kind][name] = o
	s.history = append(s.history, change{kind, s.rev, time.Now(), event{Object: o}})
	s.wake()
	return o
}

// remove deletes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.rev++
	delete(s.objects[kind], name)
	o.Metadata.Rev = s.rev
	s.history = append(s.history, change{kind, s.rev, time.Now(), event{Object: o, Deleted: true}})
	s.wake()
}

// ServeHTTP answers a call of a host.
func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rest, ok := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	parts := strings.Split(rest, "/")
	switch {
	case d.refuses.Load():
		<-r.Context().Done()
	case r.Method == http.MethodGet && len(parts) == 1 && r.URL.Query().Has("Watch"):
		d.watch(w, r, parts[0])
	case r.Method == http.MethodGet && len(parts) == 1:
		d.list(w, parts[0], r.URL.Query().Get("after"))
	case r.Method == http.MethodGet:
		d.get(w, parts[0], parts[1])
	default:
		d.change(w, r, parts)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// pageItems and pageBytes bound a page of a list, as the platform's pages say.
const pageItems, pageBytes = 500, 1 << 20

// list returns the objects of a kind after a name, in the order of their names.
func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	items := make([]object, 0, len(s.objects[kind]))
	for name, o := range s.objects[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	at := s.rev
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	n, size := 0, 0
	for n < len(items) && n < pageItems && (n == 0 || size+len(items[n].Spec) <= pageBytes) {
		size += len(items[n].Spec)
		n++
	}
	reply(w, http.StatusOK, map[string]any{"items": items[:n], "More": n < len(items), "At": at})
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, o)
}

func (d *door) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("Watch"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	timer := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		d.mu.Lock()
		if d.refuses.Load() {
			d.mu.Unlock()
			<-r.Context().Done()
			return
		}
		d.forget()
		if after < d.forgotten {
			d.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		found := []event{}
		for _, c := range d.history {
			if c.kind == kind && c.rev > after {
				found = append(found, c.event)
			}
		}
		at, changed := d.rev, d.changed
		d.mu.Unlock()
		if len(found) > 0 || over {
			reply(w, http.StatusOK, map[string]any{"events": found, "At": at})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timer.C:
			over = true
		case <-changed:
		}
	}
}

// forget drops changes older than historyTime. The caller holds s.mu.
func (s *store) forget() {
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyTime {
		s.forgotten, s.history = s.history[0].rev, s.history[1:]
	}
}

// change executes a write of a host.
func (s *store) change(w http.ResponseWriter, r *http.Request, parts []string) {
	var sent object
	if r.Method != http.MethodDelete && json.NewDecoder(r.Body).Decode(&sent) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	name := sent.Metadata.Name
	if len(parts) > 1 {
		name = parts[1]
	}
	s.mu.Lock()
	current, exists := s.objects[parts[0]][name]
	status, answer := http.StatusOK, current
	switch {
	case r.Method == http.MethodPost && exists, exists && sent.Metadata.Rev != 0 && sent.Metadata.Rev != current.Metadata.Rev:
		status = http.StatusConflict
	case r.Method == http.MethodPost:
		status, answer = http.StatusCreated, s.write(parts[0], name, func(o *object) { o.Spec = sent.Spec })
	case !exists:
		status = http.StatusNotFound
	case r.Method == http.MethodPut && len(parts) == 3:
		answer = s.write(parts[0], name, func(o *object) { o.Status = sent.Status })
	case r.Method == http.MethodPut:
		answer = s.write(parts[0], name, func(o *object) { o.Spec, o.Metadata.Finalizers = sent.Spec, sent.Metadata.Finalizers })
	}
	s.mu.Unlock()
	reply(w, status, answer)
}
