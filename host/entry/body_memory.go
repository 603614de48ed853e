package entry

import (
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"vanillatally/core/memory"
	"vanillatally/io/backends"
	"vanillatally/io/callers"
)

const (
	// bodyWait bounds the time for which a body is left unread because the host's memory is full.
	bodyWait = 2 * time.Second
	// bodyWaitInterval is the time between two checks of a waiting body for holders that have stalled in the meantime.
	bodyWaitInterval = 200 * time.Millisecond
	// streamBytes is what a response that is being streamed takes, with the buffers of the connection to the server.
	streamBytes = callers.StreamChunkBytes + backends.UnreservedBytes
	// bodyChunkBytes is the unit in which bodies take bytes.
	bodyChunkBytes = memory.SmallBody
	// lookaheadBytes is the buffer that shows whether a body of unknown length goes on; longer reads bypass it.
	lookaheadBytes = 16
)

// errEvicted ends a response whose bytes are needed for others.
var errEvicted = errors.New("the response was evicted")

// pastDeadline is a deadline that ends a blocked read or write at once.
var pastDeadline = time.Unix(1, 0)

// bodyMemory is the owner of the bytes that a host holds for bodies. A reservation is open from the first bytes of a body until
// the exchange ends at the latest, so that there are at most as many as connections of callers.
type bodyMemory struct {
	host *Host

	mu sync.Mutex
	// budget and reservations are guarded by mu. reservations has the holders of budget.
	budget       *memory.Budget
	reservations map[memory.ID]*bodyReservation
}

// bodyReservation holds bytes of the budget. Only the goroutine of its exchange calls its methods.
type bodyReservation struct {
	owner *bodyMemory
	id    memory.ID
	// granted gets a value when the bytes are there or the reservation was evicted.
	granted chan struct{}
	// abort ends a blocked read or write of the caller's connection. It is called with owner.mu held, and not after release.
	abort func()
	// server is the address of the server whose connection the rest of the response occupies; guarded by owner.mu.
	server string
	// evicted is set when the bytes are needed for another body; guarded by owner.mu.
	evicted bool
}

func newBodyMemory(h *Host, limits memory.Limits) *bodyMemory {
	return &bodyMemory{host: h, budget: memory.New(limits), reservations: map[memory.ID]*bodyReservation{}}
}

func (m *bodyMemory) open(part memory.Part, abort func()) *bodyReservation {
	r := &bodyReservation{owner: m, granted: make(chan struct{}, 1), abort: abort}
	m.mu.Lock()
	defer m.mu.Unlock()
	r.id = m.budget.Open(m.host.now(), part)
	m.reservations[r.id] = r
	return r
}

// apply passes a change of the budget on to the reservations. The caller holds m.mu.
func (m *bodyMemory) apply(change memory.Change) {
	for _, id := range change.Granted {
		m.reservations[id].wake()
	}
	for _, id := range change.Evicted {
		r := m.reservations[id]
		r.evicted = true
		r.abort()
		r.wake()
		m.host.metrics.Count("body-evictions", "", "", "", 1)
	}
}

func (r *bodyReservation) wake() {
	select {
	case r.granted <- struct{}{}:
	default:
	}
}

// take takes n more bytes. If they are not there it waits, at most until deadline and for bodyWait, and reports whether it has
// them.
func (r *bodyReservation) take(n int64, deadline time.Time, left <-chan struct{}) bool {
	result := r.tryTake(n)
	if result != memory.Waiting {
		return result == memory.Granted
	}
	r.owner.host.metrics.Count("body-waits", "", "", "", 1)
	end := time.Now().Add(bodyWait)
	if deadline.Before(end) {
		end = deadline
	}
	timer := time.NewTimer(bodyWaitInterval)
	defer timer.Stop()
	for time.Now().Before(end) {
		select {
		case <-r.granted:
			return !r.isEvicted()
		case <-left:
			return false
		case <-timer.C:
			if result := r.tryTake(n); result != memory.Waiting {
				return result == memory.Granted
			}
			timer.Reset(bodyWaitInterval)
		}
	}
	return false
}

func (r *bodyReservation) tryTake(n int64) memory.Result {
	r.owner.mu.Lock()
	defer r.owner.mu.Unlock()
	select {
	case <-r.granted:
		// The bytes came just before this call.
		if !r.evicted {
			return memory.Granted
		}
	default:
	}
	r.owner.budget.SetOutside(int64(r.owner.host.callers.Connections()) * memory.ConnectionBytes)
	result, change := r.owner.budget.Take(r.owner.host.now(), r.id, n)
	r.owner.apply(change)
	return result
}

func (r *bodyReservation) isEvicted() bool {
	r.owner.mu.Lock()
	defer r.owner.mu.Unlock()
	return r.evicted
}

// moveToLarge is called when a body is longer than memory.SmallBody.
func (r *bodyReservation) moveToLarge() {
	r.owner.mu.Lock()
	defer r.owner.mu.Unlock()
	r.owner.apply(r.owner.budget.MoveToLarge(r.owner.host.now(), r.id))
}

// complete gives unused bytes back and keeps the others until release. It reports whether the reservation was not evicted.
func (r *bodyReservation) complete(unused int64) bool {
	r.owner.mu.Lock()
	defer r.owner.mu.Unlock()
	kept, change := r.owner.budget.Complete(r.owner.host.now(), r.id, unused)
	r.owner.apply(change)
	return kept
}

// reserve takes n more bytes for a response that a server is sending, and reports whether they are there.
func (r *bodyReservation) reserve(n int64) bool {
	r.owner.mu.Lock()
	defer r.owner.mu.Unlock()
	return r.owner.budget.Reserve(r.id, n)
}

// shrink keeps n bytes at most.
func (r *bodyReservation) shrink(n int64) {
	r.owner.mu.Lock()
	defer r.owner.mu.Unlock()
	r.owner.budget.Shrink(r.id, n)
}

// received records that the response, or its buffered part, is passed on to the caller from now on. It may be called on nil.
func (r *bodyReservation) received() {
	if r == nil {
		return
	}
	r.owner.mu.Lock()
	defer r.owner.mu.Unlock()
	r.owner.budget.Received(r.owner.host.now(), r.id)
}

// extendWrite records that the caller has read a part of the response and sets the deadline of the next write. It returns
// errEvicted if the bytes are needed for other responses; the deadline set by abort then stays.
func (r *bodyReservation) extendWrite(deadline time.Time, control *http.ResponseController) error {
	r.owner.mu.Lock()
	defer r.owner.mu.Unlock()
	if r.evicted {
		return errEvicted
	}
	r.owner.budget.Progress(r.owner.host.now(), r.id)
	// Writers that do not support deadlines return an error, which does not matter.
	_ = control.SetWriteDeadline(deadline)
	return nil
}

// streamFrom records that only the rest of a response is left, which is streamed from a server.
func (r *bodyReservation) streamFrom(server string) {
	r.owner.mu.Lock()
	defer r.owner.mu.Unlock()
	r.server = server
	r.owner.apply(r.owner.budget.Resize(r.owner.host.now(), r.id, streamBytes))
}

// evictStalledStream ends the response whose caller has not read for the longest time, if it occupies a connection to the
// server.
func (m *bodyMemory) evictStalledStream(server string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var streams []memory.ID
	for id, r := range m.reservations {
		if r.server == server {
			streams = append(streams, id)
		}
	}
	m.apply(m.budget.EvictStalled(m.host.now(), streams))
}

// release gives all bytes back. It may be called on nil and more than once.
func (r *bodyReservation) release() {
	if r == nil {
		return
	}
	r.owner.mu.Lock()
	defer r.owner.mu.Unlock()
	delete(r.owner.reservations, r.id)
	r.owner.apply(r.owner.budget.Release(r.owner.host.now(), r.id))
}

func (m *bodyMemory) used(part memory.Part) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.Used(part)
}
