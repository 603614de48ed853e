package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is one request that an instance began to work on.
type arrival struct {
	attempt, target, tenant string
	at                      time.Time
}

// instance plays a backend server of the platform as its pages describe a sound one.
type instance struct {
	id, service, version string
	at                   place
	slots                int
	// work returns how long a request runs; nil is 5 ms.
	work func() time.Duration
	// before may answer a request itself and then returns true; nil does not.
	before func(w http.ResponseWriter, r *http.Request) bool
	// fails reports whether the next answer is a failure; nil is never.
	fails func() bool

	record  *record
	server  *http.Server
	addr    string
	born    int64
	seq     atomic.Uint64
	leaving atomic.Bool
	running atomic.Int64

	group sync.WaitGroup

	mu       sync.Mutex
	arrivals []arrival
}

// start listens at the address and serves.
func (i *instance) start(address string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	i.addr, i.born = listener.Addr().String(), time.Now().UnixMilli()
	i.server = &http.Server{Handler: i, ReadHeaderTimeout: 10 * time.Second}
	i.group.Go(func() { _ = i.server.Serve(listener) })
	return nil
}

// close ends the instance at once: its channels are reset.
func (i *instance) close() {
	if i.server != nil {
		_ = i.server.Close()
	}
	i.group.Wait()
}

// entry returns what the instance writes into the store about itself.
func (i *instance) entry(state string) map[string]any {
	return map[string]any{
		"Service": i.service, "Address": i.addr, "Zone": i.at.zone, "Version": i.version, "Slots": i.slots, "State": state, "ColdLeftMs": 0,
		"Seq": i.seq.Add(1) - 1, "born": i.born,
	}
}

// report writes the entry.
func (i *instance) report(s *store) {
	state := "ready"
	if i.leaving.Load() {
		state = "draining"
	}
	s.put("servers", i.id, i.entry(state))
}

// ServeHTTP answers status checks and requests.
func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", i.running.Load(), i.slots))
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	if i.leaving.Load() {
		w.Header().Set("Server-Leaving", "1")
	}
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", i.id)
		if i.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != i.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.Header.Get("Attempt-Id") == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if i.before != nil && i.before(w, r) {
		return
	}
	if i.running.Add(1) > int64(i.slots) {
		i.running.Add(-1)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer i.running.Add(-1)
	i.ran(r)
	work := 5 * time.Millisecond
	if i.work != nil {
		work = i.work()
	}
	select {
	case <-r.Context().Done():
		return
	case <-time.After(work):
	}
	if i.fails != nil && i.fails() {
		w.Header().Set("Server-Seal", "seal-"+r.Header.Get("Attempt-Id"))
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	body := "done " + r.Header.Get("Attempt-Id")
	w.Header().Set("Server-Seal", "seal-"+r.Header.Get("Attempt-Id"))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write([]byte(body))
}

// ran records that the instance began to work on the request.
func (i *instance) ran(r *http.Request) {
	a := arrival{attempt: r.Header.Get("Attempt-Id"), target: r.RequestURI, tenant: r.Header.Get("Tenant"), at: time.Now()}
	i.mu.Lock()
	i.arrivals = append(i.arrivals, a)
	i.mu.Unlock()
	i.record.note("instance %s runs %s %s %s", i.id, a.attempt, r.Method, a.target)
}

// all returns the requests that the instance ran.
func (i *instance) all() []arrival {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]arrival(nil), i.arrivals...)
}
