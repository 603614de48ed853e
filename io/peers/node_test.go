package peers

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/goleak"
)

type testMessage struct {
	Text string `cbor:"text"`
}

// startNode starts a node on a free loopback port.
func startNode(t *testing.T, host, secret string, table *HandlerTable) (*Node, string) {
	t.Helper()
	node := New(Options{
		Host: host, Secret: []byte(secret), Table: table,
		Address: func(string) (string, bool) { return "", false },
	})
	server := httptest.NewServer(node)
	t.Cleanup(func() {
		node.Close()
		server.Close()
	})
	return node, strings.TrimPrefix(server.URL, "http://")
}

func echoTable() *HandlerTable {
	table := NewHandlerTable()
	Handle(table, "echo", func(_ context.Context, from string, req testMessage) (testMessage, error) {
		return testMessage{Text: from + ":" + req.Text}, nil
	})
	return table
}

// Guards against a connection that carries calls only in the direction in which it was opened, and against handlers that get
// a wrong sender.
func TestCallWorksInBothDirections(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	a, addressA := startNode(t, "a", "secret", echoTable())
	b, _ := startNode(t, "b", "secret", echoTable())
	ctx := context.Background()
	got, err := Call[testMessage, testMessage](ctx, b, addressA, "echo", testMessage{Text: "1"})
	if err != nil || got.Text != "b:1" {
		t.Fatalf("call over the dialed connection = %q, %v", got.Text, err)
	}
	// Host a doesn't know the address of b, so that it has to use the connection that b opened.
	got, err = Call[testMessage, testMessage](ctx, a, "b", "echo", testMessage{Text: "2"})
	if err != nil || got.Text != "a:2" {
		t.Fatalf("call over the accepted connection = %q, %v", got.Text, err)
	}
}

// Guards against connections with a host that doesn't know the shared secret, in either direction.
func TestWrongSecretIsRejected(t *testing.T) {
	a, addressA := startNode(t, "a", "secret", echoTable())
	b, _ := startNode(t, "b", "other", echoTable())
	_, err := Call[testMessage, testMessage](context.Background(), b, addressA, "echo", testMessage{})
	if !errors.Is(err, ErrUnreachable) {
		t.Fatalf("call with a wrong secret: %v, want ErrUnreachable", err)
	}
	if _, ok := a.connections["b"]; ok {
		t.Fatal("the accepting host kept an unauthenticated connection")
	}
}

// Guards against a host that closes the connection when a host of a newer version sends a message kind that it doesn't know.
func TestUnknownMessageKindIsCountedAndRejected(t *testing.T) {
	a, addressA := startNode(t, "a", "secret", echoTable())
	b, _ := startNode(t, "b", "secret", echoTable())
	if _, err := Call[testMessage, testMessage](context.Background(), b, addressA, "future", testMessage{}); err == nil {
		t.Fatal("call with an unknown message kind succeeded")
	}
	if got := a.Stats().UnknownKinds.Load(); got != 1 {
		t.Fatalf("UnknownKinds = %d, want 1", got)
	}
	if _, err := Call[testMessage, testMessage](context.Background(), b, addressA, "echo", testMessage{}); err != nil {
		t.Fatalf("call after one with an unknown message kind: %v", err)
	}
}

// Guards against a call that doesn't end at its deadline when the peer never replies.
func TestCallEndsAtItsDeadline(t *testing.T) {
	table := NewHandlerTable()
	Handle(table, "stall", func(ctx context.Context, _ string, _ testMessage) (testMessage, error) {
		<-ctx.Done()
		return testMessage{}, ctx.Err()
	})
	_, addressA := startNode(t, "a", "secret", table)
	b, _ := startNode(t, "b", "secret", echoTable())
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, err := Call[testMessage, testMessage](ctx, b, addressA, "stall", testMessage{}); !errors.Is(err, ErrUnreachable) {
		t.Fatalf("call without a reply: %v, want ErrUnreachable", err)
	}
}

// Guards against incomplete or random bytes that crash the decoder, or that it accepts as a message that can't be encoded again.
func FuzzDecodeEnvelope(f *testing.F) {
	complete, _ := encodeEnvelope(envelope{Kind: "echo", ID: 7, Body: cbor.RawMessage{0xa0}})
	f.Add(complete)
	f.Add(complete[:len(complete)/2])
	f.Add(append(complete, 0))
	f.Fuzz(func(t *testing.T, data []byte) {
		message, err := decodeEnvelope(data)
		if err != nil {
			return
		}
		encoded, err := encodeEnvelope(message)
		if err != nil {
			t.Fatalf("decoded envelope does not encode: %v", err)
		}
		if _, err := decodeEnvelope(encoded); err != nil {
			t.Fatalf("re-encoded envelope does not decode: %v", err)
		}
	})
}
