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

// clientTimeout bounds one request. It leaves room for an apply, in which the host waits up to 4 s for confirmations.
const clientTimeout = 15 * time.Second

// ErrRefused marks an error response of the host; the error's message is the one in the response.
var ErrRefused = errors.New("the host refused the request")

// Client is a client for the operator API of one host.
type Client struct {
	address    string
	credential string
	http       *http.Client
}

// NewClient returns a client for the operator API at address (IP:port).
func NewClient(address, credential string) *Client {
	return &Client{address: address, credential: credential, http: &http.Client{Timeout: clientTimeout}}
}

// Status returns the status of the host.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return call[Status](ctx, c, http.MethodGet, "/v1/status", nil)
}

// Configuration returns the configuration in force at the host.
func (c *Client) Configuration(ctx context.Context) (config.Configuration, error) {
	return call[config.Configuration](ctx, c, http.MethodGet, "/v1/configuration", nil)
}

// Validate checks the edits of a change without applying them.
func (c *Client) Validate(ctx context.Context, change ChangeRequest) error {
	_, err := call[struct{}](ctx, c, http.MethodPost, "/v1/validate", change)
	return err
}

// Apply writes a change. A conflict is reported in the result, not as an error.
func (c *Client) Apply(ctx context.Context, change ChangeRequest) (ChangeResult, error) {
	return call[ChangeResult](ctx, c, http.MethodPost, "/v1/apply", change)
}

// Decisions returns the newest decisions that match.
func (c *Client) Decisions(ctx context.Context, kind, subject string, limit int) ([]events.Decision, error) {
	query := url.Values{"kind": {kind}, "subject": {subject}, "limit": {fmt.Sprint(limit)}}
	return call[[]events.Decision](ctx, c, http.MethodGet, "/v1/decisions?"+query.Encode(), nil)
}

// call sends body as JSON and decodes the JSON response.
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
	// Without GetBody the transport cannot resend a change whose response was lost, which would write it again.
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
	var failure ErrorResponse
	if err := json.Unmarshal(data, &failure); err != nil || failure.Error == "" {
		failure.Error = resp.Status
	}
	return result, errors.Mark(errors.New(failure.Error), ErrRefused)
}
