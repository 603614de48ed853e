package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// client is one client with its own channels to a host.
type client struct {
	run  *run
	name string
	key  string
	http *http.Client
}

func (r *run) newClient(name, key string) *client {
	return &client{run: r, name: name, key: key, http: &http.Client{Transport: &http.Transport{DisableCompression: true}}}
}

// call is a request and what became of it.
type call struct {
	attempt, method, path string
	body                  []byte
	limit                 time.Duration
	sent, ended           time.Duration
	// status is 0 if the channel closed without a whole answer.
	status int
	valid  bool
	err    error
}

var attempts atomic.Int64

// send sends one request and waits for its answer.
func (c *client) send(host *hostProcess, method, path string, body []byte, limit time.Duration) call {
	k := call{
		attempt: fmt.Sprintf("%s-%04d", c.name, attempts.Add(1)), method: method, path: path, body: body, limit: limit,
		sent: c.run.now(),
	}
	c.run.note("client %s sends %s (%s %s, %d bytes) to %s", c.name, k.attempt, method, path, len(body), host.name)
	k.exchange(c, host)
	k.ended = c.run.now()
	switch {
	case k.err != nil:
		c.run.note("client %s: %s ends without an answer: %v", c.name, k.attempt, k.err)
	default:
		c.run.note("client %s: %s gets %d, valid seal: %v", c.name, k.attempt, k.status, k.valid)
	}
	return k
}

func (k *call) exchange(c *client, host *hostProcess) {
	ctx, cancel := context.WithTimeout(context.Background(), k.limit)
	defer cancel()
	var body io.Reader = http.NoBody
	if len(k.body) > 0 {
		body = bytes.NewReader(k.body)
	}
	request, err := http.NewRequestWithContext(ctx, k.method, "http://"+host.caller+k.path, body)
	if err != nil {
		k.err = err
		return
	}
	request.Host = virtualHost
	request.Header.Set("Attempt-Id", k.attempt)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(k.limit.Milliseconds(), 10))
	request.Header.Set("Key", c.key)
	response, err := c.http.Do(request)
	if err != nil {
		k.err = err
		return
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		k.err = err
		return
	}
	k.status = response.StatusCode
	k.valid = response.Header.Get("Server-Seal") == seal(k.attempt, string(text))
}

// calls collects the calls of several clients.
type calls struct {
	mu  sync.Mutex
	all []call
}

func (c *calls) add(k call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, k)
}

func (c *calls) list() []call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]call(nil), c.all...)
}
