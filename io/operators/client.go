package operators

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"vanillatally/core/config"
	"vanillatally/io/events"
)

// clientTimeout bounds one call; an apply waits up to 4 s for confirmations.
const clientTimeout = 15 * time.Second

// ErrRefused is returned when the host refused the call; the message gives its reason.
var ErrRefused = errors.New("the host refused the call")

// Client talks to the operators' API of any host.
type Client struct {
	address    string
	credential string
	http       *http.Client
}

// NewClient returns a client for the API at address (IP:port).
func NewClient(address, credential string) *Client {
	return &Client{address: address, credential: credential, http: &http.Client{Timeout: clientTimeout}}
}

// Status returns what the host knows.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return call[Status](ctx, c, http.MethodGet, "/v1/status", nil)
}

// Configuration returns the configuration in force at the host.
func (c *Client) Configuration(ctx context.Context) (config.Configuration, error) {
	return call[config.Configuration](ctx, c, http.MethodGet, "/v1/configuration", nil)
}

// Validate checks a change without applying it.
func (c *Client) Validate(ctx context.Context, change ChangeRequest) error {
	_, err := call[struct{}](ctx, c, http.MethodPost, "/v1/validate", change)
	return err
}

// Apply writes a change. A conflict is an answer, not an error.
func (c *Client) Apply(ctx context.Context, change ChangeRequest) (ChangeResult, error) {
	return call[ChangeResult](ctx, c, http.MethodPost, "/v1/apply", change)
}

// Decisions returns the newest decisions that match.
func (c *Client) Decisions(ctx context.Context, kind, subject string, limit int) ([]events.Decision, error) {
	query := url.Values{"kind": {kind}, "subject": {subject}, "limit": {fmt.Sprint(limit)}}
	return call[[]events.Decision](ctx, c, http.MethodGet, "/v1/decisions?"+query.Encode(), nil)
}

func call[Answer any](ctx context.Context, c *Client, method, path string, body any) (result Answer, err error) {
	defer func() { err = errors.Wrapf(err, "%s http://%s%s", method, c.address, path) }()
	encoded, err := json.Marshal(body)
	if err != nil {
		return result, err
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, bytes.NewReader(encoded))
	if err != nil {
		return result, err
	}
	// A change whose answer was lost must not be written again by the transport.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+c.credential)
	resp, err := c.http.Do(req)
	if err != nil {
		return result, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return result, err
	}
	if resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusConflict {
		return result, json.Unmarshal(data, &result)
	}
	var problem ErrorResponse
	if err := json.Unmarshal(data, &problem); err != nil || problem.Error == "" {
		problem.Error = resp.Status
	}
	return result, errors.Mark(errors.New(problem.Error), ErrRefused)
}
