// Package memory owns the byte budget for the request and response bodies that a host holds. It decides which body may take
// more bytes, which waits, and which loses its bytes when there are too few.
package memory

import (
	"slices"
	"time"
)

// Part is a part of the budget.
type Part int

// The parts of the budget.
const (
	// Small holds bodies of requests up to SmallBody bytes, so that large ones cannot keep them out.
	Small Part = iota
	// Large holds all other bodies of requests.
	Large
	// Responses holds the buffered parts of responses that callers have not read yet.
	Responses
	parts
)

// SmallBody is the largest body that belongs to the part Small.
const SmallBody = 64 << 10

// Limits bounds the parts of a Budget.
type Limits struct {
	// Bytes is the limit of each part.
	Bytes [parts]int64
	// Single is the size up to which one body may exceed Bytes[Large] while no other body holds bytes of that part. What the other
	// parts and SetOutside count is subtracted.
	Single int64
	// StallAfter is the time without progress after which a holder loses its bytes to one that needs them.
	StallAfter time.Duration
}

// overdraft is the multiple of its limit that the part Responses may reach with holders that make progress. Responses cannot
// wait, because a server has already sent them.
const overdraft = 2

// ID identifies a holder. A lower one is older.
type ID uint64

// Result is the outcome of Take.
type Result int

// The results of Take.
const (
	// Granted: the holder has the bytes.
	Granted Result = iota
	// Waiting: the holder waits; Take may be called again with a later time.
	Waiting
	// Evicted: the holder has lost its bytes to another one.
	Evicted
)

// Change lists the other holders that a call affected.
type Change struct {
	// Granted holds the waiting holders that now have the bytes that they waited for.
	Granted []ID
	// Evicted holds the holders that must give up. Their bytes stay counted until they are released.
	Evicted []ID
}

// holder is a body that holds bytes.
type holder struct {
	id    ID
	part  Part
	bytes int64
	// wanted is the number of bytes that the holder waits for; 0 if it does not wait.
	wanted int64
	// progress is the time of the last progress.
	progress time.Duration
	// complete is set when all bytes have arrived. The holder then keeps them until it is released.
	complete bool
	// receiving is set while a server sends the response. The holder is not evicted then, since its caller cannot make progress.
	receiving bool
	evicted   bool
}

// Budget is the byte budget of a host. Its methods change it in place; its owner calls them under one lock. It has one entry
// for each open holder, of which there are at most as many as connections of callers. When a part is full, holders of Small
// and Large wait, and those of Responses exceed it by at most overdraft before the longest idle one is evicted.
type Budget struct {
	limits  Limits
	used    [parts]int64
	holders map[ID]*holder
	// waiting holds the IDs of the waiting holders of each part, the oldest first.
	waiting [parts][]ID
	// outside is the memory that callers take beside bodies.
	outside int64
	last    ID
}

// New returns an empty budget.
func New(limits Limits) *Budget {
	return &Budget{limits: limits, holders: map[ID]*holder{}}
}

// Open adds a holder without bytes.
func (b *Budget) Open(now time.Duration, part Part) ID {
	b.last++
	b.holders[b.last] = &holder{id: b.last, part: part, progress: now}
	return b.last
}

// Used returns the bytes that the holders of a part have.
func (b *Budget) Used(part Part) int64 { return b.used[part] }

// SetOutside sets the memory that callers take beside bodies.
func (b *Budget) SetOutside(bytes int64) { b.outside = bytes }

// Holders returns the number of holders.
func (b *Budget) Holders() int { return len(b.holders) }

// Take asks for n more bytes of Small or Large. A holder that waits may call it again, with the same n.
func (b *Budget) Take(now time.Duration, id ID, n int64) (result Result, change Change) {
	h := b.holders[id]
	if h == nil || h.evicted {
		return Evicted, Change{}
	}
	asked := h.wanted == 0
	if asked {
		// A holder gets here when it has used up its last bytes. Waiting is no stall, so that this time counts until it ends.
		h.progress, h.wanted = now, n
		b.enqueue(h)
	}
	change = b.grantWaiting(now, h.part)
	if h.wanted > 0 && h.part == Small && h.bytes == 0 && len(b.waiting[Large]) == 0 && b.fits(Large, h, n) {
		b.dequeue(h)
		h.part = Large
		b.give(now, h)
	}
	// Only a new waiting holder, or the passing of time for the oldest one, changes who can be evicted.
	if h.wanted > 0 && (asked || b.waiting[h.part][0] == id) {
		change.Evicted = b.evictFor(now, h.part)
	}
	if at := slices.Index(change.Granted, id); at >= 0 {
		change.Granted = slices.Delete(change.Granted, at, at+1)
	}
	switch {
	case h.evicted:
		return Evicted, change
	case h.wanted > 0:
		return Waiting, change
	}
	return Granted, change
}

// MoveToLarge moves a holder of Small, whose body turned out to be longer than SmallBody, to the part Large. The bytes that it
// has may exceed the limit of Large until it asks for more.
func (b *Budget) MoveToLarge(now time.Duration, id ID) Change {
	h := b.holders[id]
	if h == nil || h.part == Large {
		return Change{}
	}
	b.used[h.part] -= h.bytes
	b.used[Large] += h.bytes
	h.part = Large
	return b.grantWaiting(now, Small)
}

// Charge adds n bytes to a holder of Responses, which always gets them, and returns the holders that are evicted for them.
func (b *Budget) Charge(now time.Duration, id ID, n int64) Change {
	h := b.holders[id]
	if h == nil {
		return Change{}
	}
	h.bytes += n
	b.used[h.part] += n
	excess := b.used[h.part] - b.limits.Bytes[h.part]
	if excess <= 0 {
		return Change{}
	}
	excess -= b.evictedBytes(h.part)
	idle := b.sorted(h.part, func(o *holder) bool { return o.id != id && !o.receiving }, func(a, o *holder) bool { return a.progress < o.progress })
	var change Change
	for _, o := range idle {
		stalled := now-o.progress >= b.limits.StallAfter
		if excess <= 0 || !stalled && excess <= (overdraft-1)*b.limits.Bytes[h.part] {
			break
		}
		o.evicted = true
		excess -= o.bytes
		change.Evicted = append(change.Evicted, o.id)
	}
	return change
}

// Reserve gives n more bytes to a holder of Responses for a response that a server is sending, if they fit. Until Received is
// called, the holder is not evicted.
func (b *Budget) Reserve(id ID, n int64) bool {
	h := b.holders[id]
	if h == nil || b.used[h.part]+n > b.limits.Bytes[h.part] {
		return false
	}
	h.receiving = true
	h.bytes += n
	b.used[h.part] += n
	return true
}

// Received records that a holder of Responses has the whole response, or its buffered part, and starts to send it.
func (b *Budget) Received(now time.Duration, id ID) {
	if h := b.holders[id]; h != nil {
		h.receiving, h.progress = false, now
	}
}

// Resize sets the bytes of a holder of Responses to n, and returns the holders that are evicted if these are more.
func (b *Budget) Resize(now time.Duration, id ID, n int64) Change {
	b.Shrink(id, n)
	h := b.holders[id]
	if h == nil || h.bytes == n {
		return Change{}
	}
	return b.Charge(now, id, n-h.bytes)
}

// Shrink reduces a holder of Responses to n bytes, when the others have been sent.
func (b *Budget) Shrink(id ID, n int64) {
	if h := b.holders[id]; h != nil && h.bytes > n {
		b.used[h.part] -= h.bytes - n
		h.bytes = n
	}
}

// EvictStalled evicts the holder of Responses among those given that has stalled for the longest time, if one has.
func (b *Budget) EvictStalled(now time.Duration, among []ID) (change Change) {
	stalled := b.sorted(Responses, func(h *holder) bool {
		return now-h.progress >= b.limits.StallAfter && slices.Contains(among, h.id)
	}, func(a, o *holder) bool { return a.progress < o.progress })
	if len(stalled) > 0 {
		stalled[0].evicted = true
		change.Evicted = append(change.Evicted, stalled[0].id)
	}
	return change
}

// Progress records that bytes of a response were read by its caller.
func (b *Budget) Progress(now time.Duration, id ID) {
	if h := b.holders[id]; h != nil {
		h.progress = now
	}
}

// Complete records that a request's body has arrived with unused bytes left over, which are given back. It reports whether the
// holder may keep the others; one that was evicted before may not.
func (b *Budget) Complete(now time.Duration, id ID, unused int64) (kept bool, change Change) {
	h := b.holders[id]
	if h == nil || h.evicted {
		return false, Change{}
	}
	h.complete = true
	h.bytes -= unused
	b.used[h.part] -= unused
	return true, b.grantWaiting(now, h.part)
}

// Release removes a holder and gives its bytes back. It may be called again.
func (b *Budget) Release(now time.Duration, id ID) Change {
	h := b.holders[id]
	if h == nil {
		return Change{}
	}
	if h.wanted > 0 {
		b.dequeue(h)
	}
	b.used[h.part] -= h.bytes
	delete(b.holders, id)
	return b.grantWaiting(now, h.part)
}

// fits reports whether the holder may take n more bytes of the part.
func (b *Budget) fits(part Part, h *holder, n int64) bool {
	held := int64(0)
	if h.part == part {
		held = h.bytes
	}
	if b.used[part]+n <= b.limits.Bytes[part] {
		return true
	}
	others := b.used[Small] + b.used[Responses] + b.outside
	return part == Large && b.used[part] == held && held+n+others <= b.limits.Single
}

func (b *Budget) give(now time.Duration, h *holder) {
	h.bytes += h.wanted
	b.used[h.part] += h.wanted
	h.wanted, h.progress = 0, now
}

// grantWaiting gives the waiting holders of a part the bytes that they wait for, the oldest first, until one does not fit.
func (b *Budget) grantWaiting(now time.Duration, part Part) (change Change) {
	for len(b.waiting[part]) > 0 {
		h := b.holders[b.waiting[part][0]]
		if !b.fits(part, h, h.wanted) {
			break
		}
		b.dequeue(h)
		b.give(now, h)
		change.Granted = append(change.Granted, h.id)
	}
	return change
}

// evictFor evicts holders of a part until the oldest waiting one fits: first those that have stalled, then younger ones that
// wait as well. Without the latter, bodies that each hold some bytes could all wait for each other.
func (b *Budget) evictFor(now time.Duration, part Part) (evicted []ID) {
	oldest := b.holders[b.waiting[part][0]]
	coming := b.evictedBytes(part)
	candidates := b.sorted(part, func(h *holder) bool {
		return h != oldest && !h.complete && h.bytes > 0 && (h.wanted > 0 || now-h.progress >= b.limits.StallAfter)
	}, func(a, o *holder) bool {
		if (a.wanted > 0) != (o.wanted > 0) {
			return o.wanted > 0
		}
		if a.wanted > 0 {
			return a.id > o.id
		}
		return a.progress < o.progress
	})
	for _, h := range candidates {
		if b.used[part]-coming+oldest.wanted <= b.limits.Bytes[part] {
			break
		}
		if h.wanted > 0 {
			b.dequeue(h)
			h.wanted = 0
		}
		h.evicted = true
		coming += h.bytes
		evicted = append(evicted, h.id)
	}
	return evicted
}

// evictedBytes returns the bytes that evicted holders of a part have not given back yet.
func (b *Budget) evictedBytes(part Part) (bytes int64) {
	for _, h := range b.holders {
		if h.part == part && h.evicted {
			bytes += h.bytes
		}
	}
	return bytes
}

// sorted returns the holders of a part that were not evicted and that match, in the given order.
func (b *Budget) sorted(part Part, matches func(*holder) bool, before func(a, b *holder) bool) (found []*holder) {
	for _, h := range b.holders {
		if h.part == part && !h.evicted && matches(h) {
			found = append(found, h)
		}
	}
	slices.SortFunc(found, func(a, o *holder) int {
		switch {
		case before(a, o):
			return -1
		case before(o, a):
			return 1
		}
		return int(a.id) - int(o.id)
	})
	return found
}

func (b *Budget) enqueue(h *holder) {
	at, _ := slices.BinarySearch(b.waiting[h.part], h.id)
	b.waiting[h.part] = slices.Insert(b.waiting[h.part], at, h.id)
}

func (b *Budget) dequeue(h *holder) {
	if at, found := slices.BinarySearch(b.waiting[h.part], h.id); found {
		b.waiting[h.part] = slices.Delete(b.waiting[h.part], at, at+1)
	}
}
