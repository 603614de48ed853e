// Package peers sends messages between hosts: CBOR-encoded requests, replies and one-way messages over authenticated WebSocket
// connections.
package peers

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// ErrUnreachable is returned when the host can't be connected to, or doesn't reply before the deadline.
var ErrUnreachable = errors.New("peer host is unreachable")

// Caller sends messages to other hosts.
type Caller interface {
	// Call sends a request and waits for the reply until ctx ends.
	Call(ctx context.Context, to, kind string, body []byte) ([]byte, error)
	// Send queues a one-way message. It doesn't wait for its delivery.
	Send(ctx context.Context, to, kind string, body []byte) error
}

// Handler handles one kind of message. It gets the encoded body, and returns that of the reply.
type Handler func(ctx context.Context, from string, body []byte) ([]byte, error)

// HandlerTable maps message kinds to their handlers. All handlers have to be added before the table is used.
type HandlerTable struct {
	handlers map[string]Handler
}

// NewHandlerTable returns an empty table.
func NewHandlerTable() *HandlerTable { return &HandlerTable{handlers: map[string]Handler{}} }

// Lookup returns the handler of a message kind.
func (t *HandlerTable) Lookup(kind string) (Handler, bool) {
	h, ok := t.handlers[kind]
	return h, ok
}

// Handle registers fn as the handler of a message kind. Bodies are encoded in CBOR; unknown fields are ignored.
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

// Call sends req to a host and decodes the reply.
func Call[Req, Resp any](ctx context.Context, p Caller, to, kind string, req Req) (resp Resp, err error) {
	defer func() { err = errors.Wrapf(err, "call %s on %s", kind, to) }()
	body, err := cbor.Marshal(req)
	if err != nil {
		return resp, err
	}
	reply, err := p.Call(ctx, to, kind, body)
	if err != nil {
		return resp, err
	}
	return resp, cbor.Unmarshal(reply, &resp)
}

// Send sends msg to a host without waiting for a reply.
func Send[Msg any](ctx context.Context, p Caller, to, kind string, msg Msg) (err error) {
	defer func() { err = errors.Wrapf(err, "send %s to %s", kind, to) }()
	body, err := cbor.Marshal(msg)
	if err != nil {
		return err
	}
	return p.Send(ctx, to, kind, body)
}
