package store

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// callTimeout bounds a call whose context has no earlier deadline.
	callTimeout = 2 * time.Second
	// watchTimeout is how long the server waits for a change before it ends a watch.
	watchTimeout = 10 * time.Second
	// maxListBytes is the maximum size of a response to List.
	maxListBytes = 64 << 20
)

// HTTP is the adapter for the platform's HTTP API, in which the version of an object is its ETag.
type HTTP struct {
	endpoint string
	client   *http.Client
}

// NewHTTP returns an adapter for the store at endpoint, such as "http://10.0.0.1:7000".
func NewHTTP(endpoint string) *HTTP {
	dialer := &net.Dialer{Timeout: time.Second}
	return &HTTP{
		endpoint: strings.TrimSuffix(endpoint, "/"),
		client: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: 8,
			IdleConnTimeout:     30 * time.Second,
		}},
	}
}

// Get implements Store.
func (h *HTTP) Get(ctx context.Context, key string) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return h.getObject(ctx, key, "")
}

// Watch implements Store by long polling.
func (h *HTTP) Watch(ctx context.Context, key string, after Version) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout+callTimeout)
	defer cancel()
	return h.getObject(ctx, key, fmt.Sprintf("?after=%d&timeout=%s", after, watchTimeout))
}

func (h *HTTP) getObject(ctx context.Context, key, query string) (object Object, err error) {
	defer func() { err = errors.Wrapf(err, "read %s", key) }()
	resp, err := h.do(ctx, http.MethodGet, h.objectURL(key)+query, nil, nil)
	if err != nil {
		return Object{}, errors.Mark(err, ErrUnavailable)
	}
	defer drainAndClose(resp)
	if err := statusError(resp); err != nil {
		return Object{}, err
	}
	value, err := io.ReadAll(io.LimitReader(resp.Body, MaxValueBytes+1))
	if err != nil {
		return Object{}, errors.Mark(err, ErrUnavailable)
	}
	if len(value) > MaxValueBytes {
		return Object{}, ErrTooLarge
	}
	version, err := parseETag(resp.Header.Get("ETag"))
	if err != nil {
		return Object{}, err
	}
	return Object{Key: key, Value: value, Version: version}, nil
}

// Put implements Store. It doesn't retry a write: if the response is lost, it returns ErrUnknownOutcome.
func (h *HTTP) Put(ctx context.Context, key string, value []byte, expect Version) (version Version, err error) {
	defer func() { err = errors.Wrapf(err, "write %s", key) }()
	if len(value) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	header := http.Header{}
	if expect == 0 {
		header.Set("If-None-Match", "*")
	} else {
		header.Set("If-Match", formatETag(expect))
	}
	resp, err := h.do(ctx, http.MethodPut, h.objectURL(key), value, header)
	if err != nil {
		return 0, errors.Mark(err, classifyPutError(err))
	}
	defer drainAndClose(resp)
	if err := statusError(resp); err != nil {
		return 0, err
	}
	return parseETag(resp.Header.Get("ETag"))
}

// classifyPutError distinguishes a write that was never sent from one whose response was lost.
func classifyPutError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrUnavailable
	}
	return ErrUnknownOutcome
}

// List implements Store.
func (h *HTTP) List(ctx context.Context, prefix string) (objects []Object, err error) {
	defer func() { err = errors.Wrapf(err, "list %s", prefix) }()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := h.do(ctx, http.MethodGet, h.endpoint+"/v1/objects?prefix="+url.QueryEscape(prefix), nil, nil)
	if err != nil {
		return nil, errors.Mark(err, ErrUnavailable)
	}
	defer drainAndClose(resp)
	if err := statusError(resp); err != nil {
		return nil, err
	}
	var listed []listedObject
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&listed); err != nil {
		return nil, errors.Mark(err, ErrUnavailable)
	}
	for _, l := range listed {
		objects = append(objects, Object(l))
	}
	return objects, nil
}

// listedObject is an object in the JSON response to List.
type listedObject struct {
	Key     string  `json:"key"`
	Value   []byte  `json:"value"`
	Version Version `json:"version"`
}

func (h *HTTP) objectURL(key string) string {
	return h.endpoint + "/v1/objects/" + (&url.URL{Path: key}).EscapedPath()
}

// do sends a request. The transport must not send a write again on another connection, since the store may have executed it.
func (h *HTTP) do(ctx context.Context, method, target string, body []byte, header http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	// Without GetBody the transport can't send the body a second time.
	req.GetBody = nil
	return h.client.Do(req)
}

// drainAndClose reads the rest of a short response, so that the connection can be reused, and closes it.
func drainAndClose(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, 4096)
	_ = resp.Body.Close()
}

// statusErrors maps the HTTP status codes of the store to errors.
var statusErrors = map[int]error{
	http.StatusNotModified:           ErrNotModified,
	http.StatusNotFound:              ErrNotFound,
	http.StatusPreconditionFailed:    ErrConflict,
	http.StatusRequestEntityTooLarge: ErrTooLarge,
	http.StatusTooManyRequests:       ErrRateLimited,
	http.StatusServiceUnavailable:    ErrUnavailable,
	// Server and HTTP gateways report with 504 that a write may have taken effect.
	http.StatusGatewayTimeout: ErrUnknownOutcome,
}

// statusError returns the error for a response, or nil if it is a success.
func statusError(resp *http.Response) error {
	if resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusCreated {
		return nil
	}
	if err, ok := statusErrors[resp.StatusCode]; ok {
		return err
	}
	return errors.Mark(errors.Newf("unexpected response status %s of the store", resp.Status), ErrUnavailable)
}

func formatETag(v Version) string { return strconv.Quote(strconv.FormatUint(uint64(v), 10)) }

func parseETag(tag string) (version Version, err error) {
	defer func() { err = errors.Wrapf(err, "parse ETag %q", tag) }()
	text, err := strconv.Unquote(tag)
	if err != nil {
		return 0, err
	}
	n, err := strconv.ParseUint(text, 10, 64)
	return Version(n), err
}
