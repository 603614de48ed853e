// Package hosts is the caller's side of the system: it looks up which host to use and sends requests to it.
package hosts

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// lookupLimit bounds one look-up.
	lookupLimit = time.Second
	// maxAttempts bounds how often one request is sent, to the same or another host.
	maxAttempts = 4
	// firstDelay is doubled with every attempt.
	firstDelay = 50 * time.Millisecond
	// responseLimitBytes bounds a response body.
	responseLimitBytes = 16 << 20
)

// Host is one entry of a look-up answer, best first.
type Host struct {
	ID            string `json:"host"`
	Address       string `json:"address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure-domain"`
}

// LookupResponse is a look-up answer.
type LookupResponse struct {
	Hosts []Host `json:"hosts"`
	// TTLMS is how long the answer may be kept, in milliseconds.
	TTLMS    int64  `json:"ttl-ms"`
	Sequence uint64 `json:"configuration-sequence"`
}

// Refusal is the body of a refused request.
type Refusal struct {
	Reason string `json:"reason"`
	// Ran is "not-run" or "unknown".
	Ran          string `json:"ran"`
	RetryAfterMS int64  `json:"retry-after-ms"`
	Message      string `json:"message"`
}

// Request is one request of a caller.
type Request struct {
	Route  string
	Method string
	// Path is the path with its query.
	Path string
	Key  string
	// IdempotencyKey makes a resend safe; it stays the same over all attempts.
	IdempotencyKey string
	Body           []byte
	// RunTag returns the value of the X-Run-Tag header of one attempt.
	RunTag func(attempt int) string
}

// Response is the answer to the last attempt.
type Response struct {
	Status int
	Body   []byte
	// Refusal is set when the system refused the request.
	Refusal *Refusal
	// Attempts is the number of times that the request was sent.
	Attempts int
	Host     string
}

// Client looks up hosts and sends requests. It keeps one look-up answer for each route.
type Client struct {
	seeds   []string
	address string
	http    *http.Client

	mu sync.Mutex
	// answers holds at most one answer for each route that was asked for.
	answers map[string]cached
}

type cached struct {
	answer  LookupResponse
	expires time.Time
}

// New returns a client that asks the hosts at seeds (IP:port) on behalf of the client at address.
func New(seeds []string, address string) *Client {
	return &Client{
		seeds: seeds, address: address, answers: map[string]cached{},
		http: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
			MaxIdleConnsPerHost: 256,
			DisableCompression:  true,
		}},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Lookup returns the hosts for route, from the kept answer while it lasts.
func (c *Client) Lookup(ctx context.Context, route string) (LookupResponse, error) {
	c.mu.Lock()
	kept, ok := c.answers[route]
	c.mu.Unlock()
	if ok && time.Now().Before(kept.expires) {
		return kept.answer, nil
	}
	answer, err := c.ask(ctx, route)
	if err != nil {
		if ok {
			// An expired answer is better than none while no host answers look-ups.
			return kept.answer, nil
		}
		return LookupResponse{}, err
	}
	c.mu.Lock()
	c.answers[route] = cached{answer, time.Now().Add(time.Duration(answer.TTLMS) * time.Millisecond)}
	c.mu.Unlock()
	return answer, nil
}

// ask asks the seeds in order until one answers.
func (c *Client) ask(ctx context.Context, route string) (answer LookupResponse, err error) {
	query := url.Values{"route": {route}, "address": {c.address}}.Encode()
	for _, seed := range c.seeds {
		answer, err = c.askOne(ctx, "http://"+seed+"/v1/lookup?"+query)
		if err == nil && len(answer.Hosts) > 0 {
			return answer, nil
		}
	}
	return answer, errors.Wrapf(err, "no host answered the look-up of route %s", route)
}

func (c *Client) askOne(ctx context.Context, target string) (answer LookupResponse, err error) {
	ctx, cancel := context.WithTimeout(ctx, lookupLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return answer, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return answer, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return answer, errors.Newf("look-up answered %s", resp.Status)
	}
	return answer, json.NewDecoder(resp.Body).Decode(&answer)
}

// forget drops the kept answer, so that the next look-up asks again.
func (c *Client) forget(route string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.answers, route)
}

// Do sends a request to the hosts that the look-up names, best first. It sends again only when that is safe:
// an idempotent method, an idempotency key, or a refusal that says that the request did not run.
func (c *Client) Do(ctx context.Context, r Request) (response Response, err error) {
	delay := firstDelay
	for attempt := range maxAttempts {
		answer, lookupErr := c.Lookup(ctx, r.Route)
		if lookupErr != nil {
			return response, lookupErr
		}
		host := answer.Hosts[attempt%len(answer.Hosts)]
		response, err = c.send(ctx, host, r, attempt)
		response.Attempts = attempt + 1
		if err == nil && !tryElsewhere(response) {
			return response, nil
		}
		if err != nil && !r.resendable() {
			return response, err
		}
		if err != nil {
			c.forget(r.Route)
		}
		// A refusal that concerns one host needs no wait before the next host is tried.
		if err == nil && attempt+1 < len(answer.Hosts) {
			continue
		}
		timer := time.NewTimer(max(delay, response.retryAfter()))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return response, errors.CombineErrors(err, ctx.Err())
		}
		delay *= 2
	}
	return response, err
}

func (r Request) resendable() bool {
	return r.IdempotencyKey != "" || r.Method == http.MethodGet || r.Method == http.MethodHead
}

func (r Response) retryAfter() time.Duration {
	if r.Refusal == nil {
		return 0
	}
	return time.Duration(r.Refusal.RetryAfterMS) * time.Millisecond
}

// elsewhere holds the reasons that concern the host rather than the request or its team.
var elsewhere = map[string]bool{
	"host-draining": true, "configuration-stale": true, "owner-unreachable": true,
	"lease-lapsed": true, "claims-full": true, "not-ready": true, "no-configuration": true,
}

func tryElsewhere(r Response) bool {
	return r.Refusal != nil && r.Refusal.Ran == "not-run" && elsewhere[r.Refusal.Reason]
}

func (c *Client) send(ctx context.Context, host Host, r Request, attempt int) (response Response, err error) {
	defer func() { err = errors.Wrapf(err, "%s %s at %s", r.Method, r.Path, host.ID) }()
	response.Host = host.ID
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+host.Address+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return response, err
	}
	// The transport must not send a request twice on its own: the system would see two arrivals.
	req.GetBody = nil
	if r.Key != "" {
		req.Header.Set("Authorization", "Bearer "+r.Key)
	}
	if r.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", r.IdempotencyKey)
	}
	if r.RunTag != nil {
		req.Header.Set("X-Run-Tag", r.RunTag(attempt))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return response, err
	}
	defer func() { _ = resp.Body.Close() }()
	response.Status = resp.StatusCode
	response.Body, err = io.ReadAll(io.LimitReader(resp.Body, responseLimitBytes))
	if err != nil {
		return response, err
	}
	if resp.Header.Get("X-Refusal-Reason") != "" {
		response.Refusal = &Refusal{}
		err = json.Unmarshal(response.Body, response.Refusal)
	}
	return response, err
}
