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

// stores returns the same stand-in behind each adapter.
func stores(t *testing.T, memory *Memory) map[string]Store {
	server := httptest.NewServer(NewServer(memory))
	t.Cleanup(server.Close)
	adapter, err := Open(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	return map[string]Store{"memory": memory, "http": adapter}
}

// Guards against an adapter that loses the meaning of a conflict, a missing object or an oversized value.
func TestContract(t *testing.T) {
	for name, s := range stores(t, NewMemory(0, 0)) {
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

// Guards against a watch that misses a write or returns an old version.
func TestWatchReturnsTheNextVersion(t *testing.T) {
	memory := NewMemory(0, 0)
	for name, s := range stores(t, memory) {
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

// Guards against faults that are not visible to the caller: an outage, a lost answer, a used-up rate.
func TestFaultsReachTheCaller(t *testing.T) {
	cases := []struct {
		name   string
		limit  int
		faults Faults
		want   error
		// written says whether the write took effect.
		written bool
	}{
		{"down", 0, Faults{Down: true}, ErrUnavailable, false},
		{"answer-lost", 0, Faults{LoseResponses: true}, ErrUnknownOutcome, true},
		{"rate-limited", 1, Faults{}, ErrRateLimited, false},
	}
	for _, c := range cases {
		for adapter := range stores(t, NewMemory(0, 0)) {
			t.Run(c.name+"/"+adapter, func(t *testing.T) {
				memory := NewMemory(0, c.limit)
				memory.now = func() time.Time { return time.Time{}.Add(time.Hour) }
				s := stores(t, memory)[adapter]
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

// Guards against a write that the HTTP transport sends twice after the connection broke:
// the second one would meet the first one's version and be reported as another operator's change.
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
