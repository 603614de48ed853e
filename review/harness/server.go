package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// instanceOptions describe an instance, as its entry in the store does.
type instanceOptions struct {
	service, zone string
	slots, queue  int
	// work is the time that a request takes.
	work time.Duration
	// crashes reports whether a request crashes the instance that begins to run it; nil means that none does.
	crashes func(*http.Request) bool
}

// running is a request at an instance.
type running struct {
	attempt, instance, path string
	at                      time.Duration
	// done is set once the run came to its end, crashed once it ended with the instance.
	done, crashed bool
}

// instance is a stand-in for a server of a service, in one boot. It answers as PROTOCOL.md says, with its entry in the store.
type instance struct {
	instanceOptions
	run     *run
	id      string
	address string
	born    int64
	server  *http.Server
	slotsCh chan struct{}
	onCrash func(*instance)

	mu      sync.Mutex
	waiting int
	ended   chan struct{}
	once    sync.Once
	runs    []*running
	// coldLeft is the length of the cold phase, 0 if the instance is not cold; the store has its entry since coldFrom.
	coldLeft, coldFrom time.Duration
	// arrivals holds the time at which each attempt reached the instance.
	arrivals map[string]time.Duration
}

// startInstance starts an instance at address, or at a free one, and registers it in the store.
func (r *run) startInstance(id, address string, options instanceOptions) (*instance, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	i := &instance{
		instanceOptions: options, run: r, id: id, address: listener.Addr().String(), born: time.Now().UnixMilli(),
		slotsCh: make(chan struct{}, options.slots), ended: make(chan struct{}), arrivals: map[string]time.Duration{},
	}
	i.server = &http.Server{Handler: i, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = i.server.Serve(listener) }()
	r.note("instance %s of %s starts at %s", id, options.service, i.address)
	i.register("ready")
	return i, nil
}

// register writes the instance's entry into the store.
func (i *instance) register(state string) {
	i.mu.Lock()
	cold := i.coldLeft.Milliseconds()
	i.mu.Unlock()
	i.run.store.put("servers", i.id, map[string]any{
		"Service": i.service, "Address": i.address, "Zone": i.zone, "Version": "v1", "Slots": i.slots, "State": state,
		"ColdLeftMs": cold, "Seq": 1, "born": i.born,
	})
}

// end ends the process of the instance: its listener and its channels are closed, and its requests end.
func (i *instance) end() {
	i.once.Do(func() {
		close(i.ended)
		_ = i.server.Close()
	})
}

// hasEnded reports whether the process of the instance has ended.
func (i *instance) hasEnded() bool {
	select {
	case <-i.ended:
		return true
	default:
		return false
	}
}

// requests returns copies of all requests that began to run at the instance.
func (i *instance) requests() (all []running) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, run := range i.runs {
		all = append(all, *run)
	}
	return all
}

// ServeHTTP answers a status check or runs a request.
func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Instance-Id", i.id)
	w.Header().Set("Server-Load", fmt.Sprintf("%d,%d,%d", len(i.slotsCh), i.queued(0), i.slots))
	if r.URL.Path == "/health" {
		i.mu.Lock()
		if left := i.coldFrom + i.coldLeft - i.run.now(); i.coldLeft > 0 && left > 0 {
			w.Header().Set("Cold-Ms", strconv.FormatInt(left.Milliseconds(), 10))
		}
		i.mu.Unlock()
		return
	}
	attempt := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", attempt)
	switch {
	case r.Header.Get("Expect-Instance") != i.id:
		i.run.note("instance %s rejects %s: not the one that it expects", i.id, attempt)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case attempt == "":
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	i.mu.Lock()
	i.arrivals[attempt] = i.run.now()
	i.mu.Unlock()
	i.run.note("%s reaches instance %s", attempt, i.id)
	if i.isOverloadedCold() {
		i.run.note("instance %s crashes: it is cold and got %d requests within a second", i.id, coldCrash)
		i.end()
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	deadline, err := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	if err != nil {
		deadline = 60_000
	}
	limit := time.NewTimer(time.Duration(deadline) * time.Millisecond)
	defer limit.Stop()
	if !i.takeSlot(w, limit.C) {
		return
	}
	defer func() { <-i.slotsCh }()
	i.execute(w, r, attempt, body, limit.C)
}

// queued adds n to the number of waiting requests and returns it.
func (i *instance) queued(n int) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.waiting += n
	return i.waiting
}

// takeSlot waits for a slot. If the queue is full or the time limit passes, it rejects the request.
func (i *instance) takeSlot(w http.ResponseWriter, limit <-chan time.Time) bool {
	defer i.queued(-1)
	if i.queued(1) > i.queue+i.slots {
		i.run.note("instance %s rejects a request: its queue is full", i.id)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	select {
	case i.slotsCh <- struct{}{}:
		return true
	case <-limit:
		i.run.note("instance %s rejects a request: its time limit has passed in the queue", i.id)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case <-i.ended:
	}
	return false
}

// execute runs a request.
func (i *instance) execute(w http.ResponseWriter, r *http.Request, attempt string, body []byte, limit <-chan time.Time) {
	run := &running{attempt: attempt, instance: i.id, path: r.URL.Path, at: i.run.now()}
	i.mu.Lock()
	i.runs = append(i.runs, run)
	i.mu.Unlock()
	i.run.note("instance %s runs %s (%s %.40s, tenant %s)", i.id, attempt, r.Method, r.URL.Path, r.Header.Get("Tenant"))
	if i.crashes != nil && i.crashes(r) {
		i.run.note("instance %s crashes on %s", i.id, attempt)
		i.end()
		if i.onCrash != nil {
			i.onCrash(i)
		}
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(i.work):
	case <-limit:
		i.run.note("instance %s: the time limit of %s has passed", i.id, attempt)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		i.run.note("instance %s: the channel of %s has closed", i.id, attempt)
		return
	case <-i.ended:
		i.mu.Lock()
		run.crashed = true
		i.mu.Unlock()
		i.run.note("instance %s: the run of %s ends with the instance", i.id, attempt)
		panic(http.ErrAbortHandler)
	}
	text := "answer to " + attempt + " of " + strconv.Itoa(len(body)) + " bytes\n"
	w.Header().Set("Server-Seal", seal(attempt, text))
	_, _ = io.WriteString(w, text)
	i.mu.Lock()
	run.done = true
	i.mu.Unlock()
	i.run.note("instance %s answers %s", i.id, attempt)
}

// seal is the MAC of an answer.
func seal(attempt, text string) string {
	sum := sha256.Sum256([]byte(attempt + "\n" + text))
	return hex.EncodeToString(sum[:12])
}
