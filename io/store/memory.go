package store

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// The platform's published limits.
const (
	DefaultWritesPerSecond = 400
	DefaultReadsPerSecond  = 2000
)

// Faults are the ways in which a test or an operator of the stand-in makes the store fail.
type Faults struct {
	// Down makes every call fail with ErrUnavailable before it takes effect.
	Down bool `json:"down"`
	// LoseResponses makes every Put take effect and then fail with ErrUnknownOutcome.
	LoseResponses bool `json:"lose-answers"`
	// Delay is added before each call.
	Delay time.Duration `json:"delay"`
}

// CallCounts are the calls that the store has served or refused.
type CallCounts struct {
	Reads       uint64 `json:"reads"`
	Writes      uint64 `json:"writes"`
	Watches     uint64 `json:"watches"`
	RateLimited uint64 `json:"limited"`
}

// Memory is an in-memory store with the platform's semantics and rate limits.
// It keeps only the newest value of each object.
type Memory struct {
	mu sync.Mutex
	// objects holds the newest version of each key; deleted keys do not exist.
	objects map[string]Object
	// changed is closed and replaced at every write, to wake waiting watches.
	changed chan struct{}
	faults  Faults
	counts  CallCounts
	reads   window
	writes  window
	// now gives the time for the rate limits; tests replace it.
	now func() time.Time
}

// window counts calls in the current second.
type window struct {
	limit int
	start time.Time
	used  int
}

func (w *window) take(now time.Time) bool {
	if now.Sub(w.start) >= time.Second {
		w.start, w.used = now, 0
	}
	w.used++
	return w.limit <= 0 || w.used <= w.limit
}

// NewMemory returns an empty store; a limit of 0 calls per second means no limit.
func NewMemory(readsPerSecond, writesPerSecond int) *Memory {
	return &Memory{
		objects: map[string]Object{},
		changed: make(chan struct{}),
		now:     time.Now,
		reads:   window{limit: readsPerSecond},
		writes:  window{limit: writesPerSecond},
	}
}

// SetFaults replaces the faults in force.
func (m *Memory) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
}

// Counts returns the calls so far.
func (m *Memory) Counts() CallCounts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

// enter applies the delay, the outage and the rate limit to one call.
func (m *Memory) enter(ctx context.Context, write bool) error {
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
	calls, count := &m.reads, &m.counts.Reads
	if write {
		calls, count = &m.writes, &m.counts.Writes
	}
	if !calls.take(m.now()) {
		m.counts.RateLimited++
		return ErrRateLimited
	}
	*count++
	return nil
}

// Get implements Store.
func (m *Memory) Get(ctx context.Context, key string) (Object, error) {
	if err := m.enter(ctx, false); err != nil {
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
	if err := m.enter(ctx, true); err != nil {
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

// Watch implements Store. The wait ends with ErrNotModified when ctx ends.
func (m *Memory) Watch(ctx context.Context, key string, after Version) (Object, error) {
	if err := m.enter(ctx, false); err != nil {
		return Object{}, err
	}
	m.mu.Lock()
	m.counts.Watches++
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
	if err := m.enter(ctx, false); err != nil {
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
