// Package hosts implements the client of a caller: it looks up which hosts to use for a route and sends requests to them.
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
	// lookupTimeout bounds the look-up at one seed.
	lookupTimeout = time.Second
	// maxAttempts is the maximum number of attempts to send a request, to the same or another host.
	maxAttempts = 4
	// initialRetryDelay is the delay before the first retry that waits; it doubles after each wait.
	initialRetryDelay = 50 * time.Millisecond
	// maxResponseBytes bounds a response body.
	maxResponseBytes = 16 << 20
)

// errNoHosts: a look-up returned no hosts.
var errNoHosts = errors.New("the look-up returned no hosts")

// Host is an entry of a look-up response.
type Host struct {
	ID            string `json:"host"`
	Address       string `json:"address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure-domain"`
}

// LookupResponse is the response to a look-up.
type LookupResponse struct {
	// Hosts are in descending order of preference.
	Hosts []Host `json:"hosts"`
	// TTLMS is the time in milliseconds for which the response may be cached.
	TTLMS    int64  `json:"ttl-ms"`
	Sequence uint64 `json:"configuration-sequence"`
}

// Refusal is the body of the response to a refused request.
type Refusal struct {
	Reason string `json:"reason"`
	// Ran is "not-run" if the request was certainly not executed, and "unknown" if it may have been.
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
	// IdempotencyKey makes a retry safe; it is the same in all attempts.
	IdempotencyKey string
	Body           []byte
	// RunTag returns the X-Run-Tag header of an attempt, by which the records of stand-in servers identify it.
	RunTag func(attempt int) string
}

// Response is the response to the last attempt.
type Response struct {
	Status int
	Body   []byte
	// Refusal is set if the system refused the request.
	Refusal *Refusal
	// Attempts is the number of times that the request was sent.
	Attempts int
	// Host is the id of the host of the last attempt.
	Host string
}

// Client looks up hosts and sends requests. It caches one look-up response for each route.
type Client struct {
	seedAddresses []string
	clientAddress string
	http          *http.Client

	mu sync.Mutex
	// cache maps routes to their latest look-up responses. It grows with the number of routes used.
	cache map[string]cachedLookup
}

type cachedLookup struct {
	response LookupResponse
	expires  time.Time
}

// New returns a client that looks up hosts at seeds (IP:port), for callers at the IP address address.
func New(seeds []string, address string) *Client {
	return &Client{
		seedAddresses: seeds, clientAddress: address, cache: map[string]cachedLookup{},
		http: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
			MaxIdleConnsPerHost: 256,
			DisableCompression:  true,
		}},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Lookup returns the hosts for route. It uses the cached response until that expires.
func (c *Client) Lookup(ctx context.Context, route string) (LookupResponse, error) {
	c.mu.Lock()
	cached, ok := c.cache[route]
	c.mu.Unlock()
	if ok && time.Now().Before(cached.expires) {
		return cached.response, nil
	}
	response, err := c.askSeeds(ctx, route)
	if err != nil {
		if ok {
			// While no seed answers, an expired response is better than none.
			return cached.response, nil
		}
		return LookupResponse{}, err
	}
	c.mu.Lock()
	c.cache[route] = cachedLookup{response, time.Now().Add(time.Duration(response.TTLMS) * time.Millisecond)}
	c.mu.Unlock()
	return response, nil
}

// askSeeds asks the seeds in order until one returns hosts.
func (c *Client) askSeeds(ctx context.Context, route string) (response LookupResponse, err error) {
	query := url.Values{"route": {route}, "address": {c.clientAddress}}.Encode()
	err = errNoHosts
	for _, seed := range c.seedAddresses {
		response, err = c.askSeed(ctx, "http://"+seed+"/v1/lookup?"+query)
		if err == nil && len(response.Hosts) > 0 {
			return response, nil
		}
		if err == nil {
			err = errNoHosts
		}
	}
	return response, errors.Wrapf(err, "no host answered the look-up of route %s", route)
}

func (c *Client) askSeed(ctx context.Context, lookupURL string) (response LookupResponse, err error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, lookupURL, nil)
	if err != nil {
		return response, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return response, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return response, errors.Newf("look-up returned status %s", resp.Status)
	}
	return response, json.NewDecoder(resp.Body).Decode(&response)
}

// invalidate drops the cached response, so that the next look-up asks the seeds.
func (c *Client) invalidate(route string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.cache, route)
}

// Do sends a request to the hosts of the look-up in their order of preference. It retries only if that is safe: the
// method is GET or HEAD, the request has an idempotency key, or a refusal says that it was not executed.
func (c *Client) Do(ctx context.Context, r Request) (response Response, err error) {
	delay := initialRetryDelay
	for attempt := range maxAttempts {
		lookup, lookupErr := c.Lookup(ctx, r.Route)
		if lookupErr != nil {
			return response, lookupErr
		}
		host := lookup.Hosts[attempt%len(lookup.Hosts)]
		response, err = c.send(ctx, host, r, attempt)
		response.Attempts = attempt + 1
		if err == nil && !retryOnOtherHost(response) {
			return response, nil
		}
		if err != nil && !r.safeToResend() {
			return response, err
		}
		if err != nil {
			c.invalidate(r.Route)
		}
		// The refusal concerns only this host, so the next one is tried without a delay.
		if err == nil && attempt+1 < len(lookup.Hosts) {
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

// safeToResend reports whether the request may be sent again after a failure that leaves open whether it was executed.
func (r Request) safeToResend() bool {
	return r.IdempotencyKey != "" || r.Method == http.MethodGet || r.Method == http.MethodHead
}

func (r Response) retryAfter() time.Duration {
	if r.Refusal == nil {
		return 0
	}
	return time.Duration(r.Refusal.RetryAfterMS) * time.Millisecond
}

// hostSpecificReasons are the reasons for refusals that concern the host, not the request or its team.
var hostSpecificReasons = map[string]bool{
	"host-draining": true, "configuration-stale": true, "owner-unreachable": true,
	"lease-lapsed": true, "claims-full": true, "not-ready": true, "no-configuration": true,
}

// retryOnOtherHost reports whether the request was not executed and another host may accept it.
func retryOnOtherHost(r Response) bool {
	return r.Refusal != nil && r.Refusal.Ran == "not-run" && hostSpecificReasons[r.Refusal.Reason]
}

func (c *Client) send(ctx context.Context, host Host, r Request, attempt int) (response Response, err error) {
	defer func() { err = errors.Wrapf(err, "%s %s at %s", r.Method, r.Path, host.ID) }()
	response.Host = host.ID
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+host.Address+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return response, err
	}
	// Without GetBody the transport does not retry by itself, which the system would count as two requests.
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
	response.Body, err = io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return response, err
	}
	if resp.Header.Get("X-Refusal-Reason") != "" {
		response.Refusal = &Refusal{}
		err = json.Unmarshal(response.Body, response.Refusal)
	}
	return response, err
}
