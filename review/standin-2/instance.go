package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// instance is a stand-in for a backend server.
type instance struct {
	*record
	id, service, zone, address string
	slots                      int
	// work is the time that a request takes.
	work    time.Duration
	born    int64
	server  *http.Server
	group   errgroup.Group
	running atomic.Int64

	mu  sync.Mutex
	seq int
	// leaving makes the instance say in all answers that it leaves.
	leaving bool
	// runs holds what has run.
	runs []execution
}

// execution is one run of a request.
type execution struct {
	attempt string
	at      time.Time
}

// startInstance starts a stand-in at a free port of 127.0.0.1.
func startInstance(r *record, id, service, zone string, slots int, work time.Duration) (i *instance, err error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	i = &instance{
		record: r, id: id, service: service, zone: zone, address: listener.Addr().String(), slots: slots, work: work,
		born: time.Now().UnixMilli(),
	}
	i.server = &http.Server{Handler: i, ReadHeaderTimeout: 5 * time.Second}
	i.group.Go(func() error {
		if err := i.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return i, nil
}

// stop ends the instance: its channels are closed, whatever runs on them.
func (i *instance) stop() error { return errors.CombineErrors(i.server.Close(), i.group.Wait()) }

// beat returns the entry that the instance writes into the store.
func (i *instance) beat(state string) string {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.seq++
	return fmt.Sprintf(
		`{"Service":%q,"Address":%q,"Zone":%q,"Version":"v1","Slots":%d,"State":%q,"ColdLeftMs":0,"Seq":%d,"born":%d}`,
		i.service, i.address, i.zone, i.slots, state, i.seq, i.born,
	)
}

// executions returns what has run so far.
func (i *instance) executions() []execution {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]execution(nil), i.runs...)
}

// tellLeaving says in an answer that the instance leaves, if it does.
func (i *instance) tellLeaving(h http.Header) (leaving bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.leaving {
		h.Set("Server-Leaving", "1")
	}
	return i.leaving
}

// ServeHTTP answers a request as PROTOCOL.md describes.
func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	if r.URL.Path == "/health" {
		h.Set("Instance-Id", i.id)
		if i.tellLeaving(h) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	attempt := r.Header.Get("Attempt-Id")
	h.Set("Attempt-Id", attempt)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != i.id {
		h.Set("Instance-Id", i.id)
		i.tellLeaving(h)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	running := i.running.Add(1)
	defer i.running.Add(-1)
	h.Set("Server-Load", strconv.FormatInt(min(running, int64(i.slots)), 10)+",0,"+strconv.Itoa(i.slots))
	if running > int64(i.slots) {
		h.Set("Not-Executed", "1")
		i.tellLeaving(h)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	i.mu.Lock()
	i.runs = append(i.runs, execution{attempt, time.Now()})
	i.mu.Unlock()
	i.write("instance %s runs %s %s %s", i.id, attempt, r.Method, r.URL.Path)
	select {
	case <-time.After(i.work):
	case <-r.Context().Done():
		i.write("instance %s drops %s", i.id, attempt)
		return
	}
	h.Set("Server-Seal", "seal-"+attempt)
	i.tellLeaving(h)
	// A write error means that the host has disconnected.
	_, _ = fmt.Fprintf(w, "body of %s", attempt)
}
