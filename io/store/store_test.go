package store

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// newAdapters returns memory itself and an HTTP adapter for a server of it.
func newAdapters(t *testing.T, memory *Memory) map[string]Store {
	server := httptest.NewServer(NewServer(memory))
	t.Cleanup(server.Close)
	adapter, err := Open(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	return map[string]Store{"memory": memory, "http": adapter}
}

// Guards against an implementation that reports a missing object, a version conflict or an oversized value with another error,
// or returns another value, version or list than was written.
func TestStoreContract(t *testing.T) {
	for name, s := range newAdapters(t, NewMemory(0, 0)) {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			key := "dir/" + name
			if _, err := s.Get(ctx, key); !errors.Is(err, ErrNotFound) {
				t.Errorf("get of a missing object: %v", err)
			}
			version, err := s.Put(ctx, key, []byte("one"), 0)
			if err != nil || version != 1 {
				t.Fatalf("create = %d, %v", version, err)
			}
			if _, err := s.Put(ctx, key, []byte("two"), 0); !errors.Is(err, ErrConflict) {
				t.Errorf("second create: %v", err)
			}
			if _, err := s.Put(ctx, key, []byte("two"), 7); !errors.Is(err, ErrConflict) {
				t.Errorf("put over another version: %v", err)
			}
			if _, err := s.Put(ctx, key, make([]byte, MaxValueBytes+1), 1); !errors.Is(err, ErrTooLarge) {
				t.Errorf("put of an oversized value: %v", err)
			}
			object, err := s.Get(ctx, key)
			if err != nil || !bytes.Equal(object.Value, []byte("one")) || object.Version != 1 {
				t.Errorf("get = %+v, %v", object, err)
			}
			listed, err := s.List(ctx, key)
			if err != nil || len(listed) != 1 || listed[0].Key != key {
				t.Errorf("list = %+v, %v", listed, err)
			}
		})
	}
}

// Guards against a watch that doesn't end at a write, or returns the old version.
func TestWatchReturnsTheNextVersion(t *testing.T) {
	memory := NewMemory(0, 0)
	for name, s := range newAdapters(t, memory) {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			key := "watch/" + name
			_, _ = s.Put(ctx, key, []byte("old"), 0)
			timer := time.AfterFunc(time.Millisecond, func() { _, _ = memory.Put(ctx, key, []byte("new"), 1) })
			defer timer.Stop()
			object, err := s.Watch(ctx, key, 1)
			if err != nil || string(object.Value) != "new" || object.Version != 2 {
				t.Fatalf("watch = %+v, %v", object, err)
			}
		})
	}
}

// Guards against faults that the caller gets with the wrong error (an outage, a lost response, an exceeded rate limit), and
// against a failed write that takes effect although it shouldn't, or the reverse.
func TestFaultsReachTheCaller(t *testing.T) {
	cases := []struct {
		name   string
		limit  int
		faults Faults
		want   error
		// written is whether the write takes effect.
		written bool
	}{
		{"down", 0, Faults{Down: true}, ErrUnavailable, false},
		{"response-lost", 0, Faults{LoseResponses: true}, ErrUnknownOutcome, true},
		{"rate-limited", 1, Faults{}, ErrRateLimited, false},
	}
	for _, c := range cases {
		for adapter := range newAdapters(t, NewMemory(0, 0)) {
			t.Run(c.name+"/"+adapter, func(t *testing.T) {
				memory := NewMemory(0, c.limit)
				memory.now = func() time.Time { return time.Time{}.Add(time.Hour) }
				s := newAdapters(t, memory)[adapter]
				if c.limit > 0 {
					_, _ = s.Put(context.Background(), "other", nil, 0)
				}
				memory.SetFaults(c.faults)
				if _, err := s.Put(context.Background(), "key", nil, 0); !errors.Is(err, c.want) {
					t.Errorf("put: %v, want %v", err, c.want)
				}
				memory.SetFaults(Faults{})
				_, err := memory.Get(context.Background(), "key")
				if written := err == nil; written != c.written {
					t.Errorf("written = %v, want %v", written, c.written)
				}
			})
		}
	}
}

// Guards against a write that the HTTP transport sends again after the connection broke. The first one may have succeeded; then
// the second one fails with a conflict, which looks as if somebody else had changed the object.
func TestPutIsSentOnceWhenTheConnectionBreaks(t *testing.T) {
	var received atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			w.Header().Set("ETag", `"1"`)
			return
		}
		received.Add(1)
		conn, _, _ := http.NewResponseController(w).Hijack()
		_ = conn.Close()
	}))
	defer server.Close()
	s := NewHTTP(server.URL)
	_, _ = s.Get(context.Background(), "key")
	if _, err := s.Put(context.Background(), "key", []byte("x"), 1); !errors.Is(err, ErrUnknownOutcome) {
		t.Errorf("put over a broken connection: %v, want ErrUnknownOutcome", err)
	}
	if received.Load() != 1 {
		t.Errorf("the server received the write %d times, want once", received.Load())
	}
}
