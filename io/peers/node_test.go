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

type note struct {
	Text string `cbor:"text"`
}

// listen starts a node on a loopback port of the system.
func listen(t *testing.T, host, secret string, table *HandlerTable) (*Node, string) {
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
	Handle(table, "echo", func(_ context.Context, from string, req note) (note, error) {
		return note{Text: from + ":" + req.Text}, nil
	})
	return table
}

// Guards against calls that are answered by the wrong connection direction or lose the sender's identity.
func TestCallWorksInBothDirections(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	a, addressA := listen(t, "a", "secret", echoTable())
	b, _ := listen(t, "b", "secret", echoTable())
	ctx := context.Background()
	got, err := Call[note, note](ctx, b, addressA, "echo", note{Text: "1"})
	if err != nil || got.Text != "b:1" {
		t.Fatalf("call over the dialled connection = %q, %v", got.Text, err)
	}
	// Host a knows no address of b: it must use the connection that b opened.
	got, err = Call[note, note](ctx, a, "b", "echo", note{Text: "2"})
	if err != nil || got.Text != "a:2" {
		t.Fatalf("call over the accepted connection = %q, %v", got.Text, err)
	}
}

// Guards against a host without the shared secret joining the fleet, on either side of the connection.
func TestWrongSecretIsRejected(t *testing.T) {
	a, addressA := listen(t, "a", "secret", echoTable())
	b, _ := listen(t, "b", "other", echoTable())
	_, err := Call[note, note](context.Background(), b, addressA, "echo", note{})
	if !errors.Is(err, ErrUnreachable) {
		t.Fatalf("call with a wrong secret: %v, want ErrUnreachable", err)
	}
	if _, ok := a.connections["b"]; ok {
		t.Fatal("the accepting host kept an unauthenticated connection")
	}
}

// Guards against an older version failing on a message that only a newer one knows.
func TestUnknownKindIsCountedAndAnswered(t *testing.T) {
	a, addressA := listen(t, "a", "secret", echoTable())
	b, _ := listen(t, "b", "secret", echoTable())
	if _, err := Call[note, note](context.Background(), b, addressA, "future", note{}); err == nil {
		t.Fatal("call of an unknown kind succeeded")
	}
	if got := a.Stats().UnknownKinds.Load(); got != 1 {
		t.Fatalf("unknown kinds = %d, want 1", got)
	}
	if _, err := Call[note, note](context.Background(), b, addressA, "echo", note{}); err != nil {
		t.Fatalf("the connection did not survive an unknown kind: %v", err)
	}
}

// Guards against a call that outlives its deadline when the peer never answers.
func TestCallEndsAtItsDeadline(t *testing.T) {
	table := NewHandlerTable()
	Handle(table, "stall", func(ctx context.Context, _ string, _ note) (note, error) {
		<-ctx.Done()
		return note{}, ctx.Err()
	})
	_, addressA := listen(t, "a", "secret", table)
	b, _ := listen(t, "b", "secret", echoTable())
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, err := Call[note, note](ctx, b, addressA, "stall", note{}); !errors.Is(err, ErrUnreachable) {
		t.Fatalf("call without an answer: %v, want ErrUnreachable", err)
	}
}

// Guards against torn or foreign bytes being taken for a message, or crashing the decoder.
func FuzzDecodeEnvelope(f *testing.F) {
	whole, _ := encodeEnvelope(envelope{Kind: "echo", ID: 7, Body: cbor.RawMessage{0xa0}})
	f.Add(whole)
	f.Add(whole[:len(whole)/2])
	f.Add(append(whole, 0))
	f.Fuzz(func(t *testing.T, data []byte) {
		message, err := decodeEnvelope(data)
		if err != nil {
			return
		}
		again, err := encodeEnvelope(message)
		if err != nil {
			t.Fatalf("decoded envelope does not encode: %v", err)
		}
		if _, err := decodeEnvelope(again); err != nil {
			t.Fatalf("re-encoded envelope does not decode: %v", err)
		}
	})
}
