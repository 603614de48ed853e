// Package peers carries messages between hosts over WebSocket with CBOR.
package peers

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// ErrUnreachable is returned when no connection to the host can be had within the deadline.
var ErrUnreachable = errors.New("peer host is unreachable")

// Caller sends messages to other hosts.
type Caller interface {
	// Call sends a request and waits for the answer within ctx.
	Call(ctx context.Context, to, kind string, body []byte) ([]byte, error)
	// Send queues a one-way message; it does not wait for delivery.
	Send(ctx context.Context, to, kind string, body []byte) error
}

// Handler answers one kind of message with encoded bodies.
type Handler func(ctx context.Context, from string, body []byte) ([]byte, error)

// HandlerTable maps kinds of messages to their handlers. It is filled before use and then only read.
type HandlerTable struct {
	handlers map[string]Handler
}

// NewHandlerTable returns an empty table.
func NewHandlerTable() *HandlerTable { return &HandlerTable{handlers: map[string]Handler{}} }

// Lookup returns the handler of kind.
func (t *HandlerTable) Lookup(kind string) (Handler, bool) {
	h, ok := t.handlers[kind]
	return h, ok
}

// Handle registers fn for kind; bodies are CBOR with unknown fields ignored.
func Handle[Req, Resp any](t *HandlerTable, kind string, fn func(ctx context.Context, from string, req Req) (Resp, error)) {
	t.handlers[kind] = func(ctx context.Context, from string, body []byte) ([]byte, error) {
		var req Req
		if err := cbor.Unmarshal(body, &req); err != nil {
			return nil, errors.Wrapf(err, "decode %s from %s", kind, from)
		}
		resp, err := fn(ctx, from, req)
		if err != nil {
			return nil, err
		}
		return cbor.Marshal(resp)
	}
}

// Call sends req to host to and decodes its answer.
func Call[Req, Resp any](ctx context.Context, p Caller, to, kind string, req Req) (resp Resp, err error) {
	defer func() { err = errors.Wrapf(err, "call %s at %s", kind, to) }()
	body, err := cbor.Marshal(req)
	if err != nil {
		return resp, err
	}
	answer, err := p.Call(ctx, to, kind, body)
	if err != nil {
		return resp, err
	}
	return resp, cbor.Unmarshal(answer, &resp)
}

// Send sends msg to host to without waiting for an answer.
func Send[Msg any](ctx context.Context, p Caller, to, kind string, msg Msg) (err error) {
	defer func() { err = errors.Wrapf(err, "send %s to %s", kind, to) }()
	body, err := cbor.Marshal(msg)
	if err != nil {
		return err
	}
	return p.Send(ctx, to, kind, body)
}
