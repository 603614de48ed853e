package store

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// The published rate limits of the platform's store, in calls per second.
const (
	DefaultWritesPerSecond = 400
	DefaultReadsPerSecond  = 2000
)

// Faults are the faults that a test, or a user of Server, can inject.
type Faults struct {
	// Down makes each call fail with ErrUnavailable before it takes effect.
	Down bool `json:"down"`
	// LoseResponses makes each Put take effect and then fail with ErrUnknownOutcome.
	LoseResponses bool `json:"lose-answers"`
	// Delay is the delay before each call takes effect.
	Delay time.Duration `json:"delay"`
}

// CallCounts counts the calls of the store. Reads counts those of Get, Watch and List, Watches those of Watch alone, and Writes
// those of Put. RateLimited counts the calls that the rate limit rejected, which are not in the other counts.
type CallCounts struct {
	Reads       uint64 `json:"reads"`
	Writes      uint64 `json:"writes"`
	Watches     uint64 `json:"watches"`
	RateLimited uint64 `json:"limited"`
}

// Memory is an in-memory store with the semantics and rate limits of the platform's store. It keeps only the newest version of
// each object.
type Memory struct {
	mu sync.Mutex
	// objects holds the newest version of each object by key.
	objects map[string]Object
	// changed is closed and replaced by each write, which wakes the waiting watches.
	changed    chan struct{}
	faults     Faults
	callCounts CallCounts
	reads      rateWindow
	writes     rateWindow
	// now is the clock of the rate limits; tests replace it.
	now func() time.Time
}

// rateWindow is a fixed-window rate limiter of calls per second.
type rateWindow struct {
	limit int
	start time.Time
	calls int
}

// allow counts a call and reports whether it is within the limit.
func (w *rateWindow) allow(now time.Time) bool {
	if now.Sub(w.start) >= time.Second {
		w.start, w.calls = now, 0
	}
	w.calls++
	return w.limit <= 0 || w.calls <= w.limit
}

// NewMemory returns an empty store with rate limits; a limit of 0 means none.
func NewMemory(readsPerSecond, writesPerSecond int) *Memory {
	return &Memory{
		objects: map[string]Object{},
		changed: make(chan struct{}),
		now:     time.Now,
		reads:   rateWindow{limit: readsPerSecond},
		writes:  rateWindow{limit: writesPerSecond},
	}
}

// SetFaults replaces the injected faults.
func (m *Memory) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
}

// Counts returns the counts of calls so far.
func (m *Memory) Counts() CallCounts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.callCounts
}

// beginCall applies the injected delay, the injected outage and the rate limit to a call, and counts it.
func (m *Memory) beginCall(ctx context.Context, write bool) error {
	m.mu.Lock()
	delay := m.faults.Delay
	m.mu.Unlock()
	if delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return errors.Mark(ctx.Err(), ErrUnavailable)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.Down {
		return ErrUnavailable
	}
	window, count := &m.reads, &m.callCounts.Reads
	if write {
		window, count = &m.writes, &m.callCounts.Writes
	}
	if !window.allow(m.now()) {
		m.callCounts.RateLimited++
		return ErrRateLimited
	}
	*count++
	return nil
}

// Get implements Store.
func (m *Memory) Get(ctx context.Context, key string) (Object, error) {
	if err := m.beginCall(ctx, false); err != nil {
		return Object{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	object, ok := m.objects[key]
	if !ok {
		return Object{}, ErrNotFound
	}
	return object, nil
}

// Put implements Store.
func (m *Memory) Put(ctx context.Context, key string, value []byte, expect Version) (Version, error) {
	if len(value) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	if err := m.beginCall(ctx, true); err != nil {
		return 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.objects[key].Version != expect {
		return 0, ErrConflict
	}
	m.objects[key] = Object{Key: key, Value: append([]byte(nil), value...), Version: expect + 1}
	close(m.changed)
	m.changed = make(chan struct{})
	if m.faults.LoseResponses {
		return 0, ErrUnknownOutcome
	}
	return expect + 1, nil
}

// Watch implements Store. It returns ErrNotModified when ctx ends.
func (m *Memory) Watch(ctx context.Context, key string, after Version) (Object, error) {
	if err := m.beginCall(ctx, false); err != nil {
		return Object{}, err
	}
	m.mu.Lock()
	m.callCounts.Watches++
	m.mu.Unlock()
	for {
		m.mu.Lock()
		object, changed, down := m.objects[key], m.changed, m.faults.Down
		m.mu.Unlock()
		if down {
			return Object{}, ErrUnavailable
		}
		if object.Version > after {
			return object, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Object{}, ErrNotModified
		}
	}
}

// List implements Store.
func (m *Memory) List(ctx context.Context, prefix string) ([]Object, error) {
	if err := m.beginCall(ctx, false); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var found []Object
	for key, object := range m.objects {
		if strings.HasPrefix(key, prefix) {
			found = append(found, object)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found, nil
}
