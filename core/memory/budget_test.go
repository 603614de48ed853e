package memory

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	mib = 1 << 20
)

// testLimits has room for 4 chunks of Small, 16 of Large and 8 of Responses, and a single body of 32 chunks.
func testLimits() Limits {
	l := Limits{Single: 32 * SmallBody, StallAfter: time.Second}
	l.Bytes = [parts]int64{4 * SmallBody, 16 * SmallBody, 8 * SmallBody}
	return l
}

// fill lets a new holder take n chunks and fails if it does not get them.
func fill(t *testing.T, b *Budget, now time.Duration, part Part, n int) ID {
	t.Helper()
	id := b.Open(now, part)
	for i := range n {
		if result, _ := b.Take(now, id, SmallBody); result != Granted {
			t.Fatalf("chunk %d of %d: result %d, want granted", i+1, n, result)
		}
	}
	return id
}

func expect(t *testing.T, what string, got, want Result) {
	t.Helper()
	if got != want {
		t.Fatalf("%s: result %d, want %d", what, got, want)
	}
}

// Guards against large bodies that exceed their part, and against small ones that they keep out.
func TestLargeBodiesLeaveRoomForSmallOnes(t *testing.T) {
	b := New(testLimits())
	first, second := fill(t, b, 0, Large, 15), fill(t, b, 0, Large, 1)
	third := b.Open(0, Large)
	result, change := b.Take(0, third, SmallBody)
	expect(t, "a full part", result, Waiting)
	if len(change.Evicted) > 0 {
		t.Errorf("evicted %v, which make progress", change.Evicted)
	}
	for range 4 {
		fill(t, b, 0, Small, 1)
	}
	change = b.Release(0, second)
	if !slices.Equal(change.Granted, []ID{third}) {
		t.Errorf("granted %v after a release, want the waiting holder", change.Granted)
	}
	b.Release(0, first)
	if used := b.Used(Large); used != SmallBody {
		t.Errorf("%d bytes are used, want one chunk", used)
	}
	// A small body takes from the part for large ones when its own is full.
	if result, _ := b.Take(0, b.Open(0, Small), SmallBody); result != Granted {
		t.Errorf("a small body beyond its part: result %d, want granted", result)
	}
}

// Guards against a body that stops short of its end and keeps its bytes from one that arrives.
func TestStalledBodyIsEvictedForAnother(t *testing.T) {
	b := New(testLimits())
	stalled, lively := fill(t, b, 0, Large, 8), fill(t, b, 500*time.Millisecond, Large, 8)
	next := b.Open(600*time.Millisecond, Large)
	result, change := b.Take(600*time.Millisecond, next, SmallBody)
	expect(t, "before anybody has stalled", result, Waiting)
	if len(change.Evicted) > 0 {
		t.Fatalf("evicted %v early", change.Evicted)
	}
	result, change = b.Take(time.Second, next, SmallBody)
	expect(t, "while the evicted holder has its bytes", result, Waiting)
	if !slices.Equal(change.Evicted, []ID{stalled}) {
		t.Fatalf("evicted %v, want %d", change.Evicted, stalled)
	}
	if kept, _ := b.Complete(time.Second, stalled, 0); kept {
		t.Error("an evicted body was completed")
	}
	result, _ = b.Take(time.Second, stalled, SmallBody)
	expect(t, "the evicted holder", result, Evicted)
	if change = b.Release(time.Second, stalled); !slices.Equal(change.Granted, []ID{next}) {
		t.Errorf("granted %v, want %d", change.Granted, next)
	}
	if kept, _ := b.Complete(time.Second, lively, 0); !kept {
		t.Error("a body that made progress lost its bytes")
	}
}

// Guards against a body that arrived whole, and may be running at a server, losing its bytes.
func TestCompleteBodyKeepsItsBytes(t *testing.T) {
	b := New(testLimits())
	whole := fill(t, b, 0, Large, 16)
	if kept, _ := b.Complete(0, whole, 100); !kept || b.Used(Large) != 16*SmallBody-100 {
		t.Errorf("kept %v with %d bytes used", kept, b.Used(Large))
	}
	result, change := b.Take(time.Hour, b.Open(time.Hour, Large), SmallBody)
	expect(t, "beside a complete body", result, Waiting)
	if len(change.Evicted) > 0 {
		t.Errorf("evicted %v", change.Evicted)
	}
}

// Guards against bodies that each hold a part of the budget and wait for each other.
func TestOldestBodyFinishesWhenAllWait(t *testing.T) {
	b := New(testLimits())
	ids := []ID{fill(t, b, 0, Large, 4), fill(t, b, 0, Large, 4), fill(t, b, 0, Large, 4), fill(t, b, 0, Large, 4)}
	for taken := 4; taken < 16; {
		for i, id := range slices.Backward(ids) {
			result, _ := b.Take(0, id, SmallBody)
			switch {
			case result == Evicted && i == 0:
				t.Fatal("the oldest body was evicted")
			case result == Evicted:
				b.Release(0, id)
			case result == Granted && i == 0:
				taken++
			}
		}
		if b.Holders() == 1 && b.holders[ids[0]].wanted > 0 {
			t.Fatal("the oldest body waits without others")
		}
		taken = max(taken, int(b.holders[ids[0]].bytes/SmallBody))
	}
}

// Guards against a body that exceeds its part being refused on a host that has the memory, and admitted on one that has not.
func TestSingleBodyMayExceedThePart(t *testing.T) {
	b := New(testLimits())
	single := fill(t, b, 0, Large, 32)
	if result, _ := b.Take(0, single, SmallBody); result != Waiting {
		t.Errorf("beyond the limit of a single body: result %d, want waiting", result)
	}
	b = New(testLimits())
	b.SetOutside(10 * SmallBody)
	single = fill(t, b, 0, Large, 22)
	if result, _ := b.Take(0, single, SmallBody); result != Waiting {
		t.Errorf("beyond what other memory leaves: result %d, want waiting", result)
	}
	b = New(testLimits())
	fill(t, b, 0, Large, 1)
	second := fill(t, b, 0, Large, 15)
	if result, _ := b.Take(0, second, SmallBody); result != Waiting {
		t.Errorf("beside another body: result %d, want waiting", result)
	}
}

// Guards against default limits that one client with a single legal body reaches, and against parts that exceed the memory.
func TestLimitsOfHosts(t *testing.T) {
	const legalBody = 64 * mib
	for _, memory := range []int64{136e6, 184e6, 284e6, 536e6} {
		l := LimitsFor(memory, 0)
		b := New(l)
		b.SetOutside(20 * ConnectionBytes)
		fill(t, b, 0, Large, legalBody/SmallBody)
		total := l.Bytes[Small] + l.Bytes[Large] + l.Bytes[Responses] + MaxHeadBytes(memory) +
			int64(MaxConnections(memory, 1<<20))*ConnectionBytes
		if total+baseBytes/2 > memory {
			t.Errorf("memory of %d: the limits together are %d", memory, total)
		}
	}
	if l := LimitsFor(284e6, 0); l.Bytes[Large] < legalBody {
		t.Errorf("large bodies get %d of 284 MB, want more than one legal body", l.Bytes[Large])
	}
	if l := LimitsFor(284e6, 10*mib); l.Bytes[Large] != 10*mib {
		t.Errorf("large bodies get %d, the settings state 10 MiB", l.Bytes[Large])
	}
	if got := MaxConnections(536e6, 2870); got != 1435 {
		t.Errorf("%d connections with 2,870 descriptors, want half", got)
	}
}

// Guards against responses that callers do not read holding memory without a bound, and against a caller that reads being cut
// off for one that does not.
func TestUnreadResponsesAreEvicted(t *testing.T) {
	b := New(testLimits())
	charge := func(now time.Duration, chunks int64) (ID, Change) {
		id := b.Open(now, Responses)
		return id, b.Charge(now, id, chunks*SmallBody)
	}
	slow, _ := charge(0, 4)
	reading, _ := charge(0, 4)
	b.Progress(900*time.Millisecond, reading)
	last, change := charge(time.Second, 2)
	if !slices.Equal(change.Evicted, []ID{slow}) {
		t.Errorf("evicted %v, want %d, which has stalled", change.Evicted, slow)
	}
	b.Release(time.Second, slow)
	if _, change = charge(time.Second, 8); len(change.Evicted) > 0 {
		t.Errorf("evicted %v, which make progress, within the overdraft", change.Evicted)
	}
	if _, change = charge(time.Second, 8); !slices.Equal(change.Evicted, []ID{reading, last}) {
		t.Errorf("evicted %v beyond the overdraft, want the longest idle ones %d and %d", change.Evicted, reading, last)
	}
	b.Shrink(last, SmallBody)
	if b.holders[last].bytes != SmallBody {
		t.Error("a response kept the bytes that it had sent")
	}
}

// Guards against a connection to a server that a caller occupies by not reading its response.
func TestStalledStreamIsEvicted(t *testing.T) {
	b := New(testLimits())
	first, second, other := b.Open(0, Responses), b.Open(100, Responses), b.Open(0, Responses)
	if change := b.EvictStalled(time.Second/2, []ID{first, second}); len(change.Evicted) > 0 {
		t.Errorf("evicted %v, which have not stalled", change.Evicted)
	}
	b.Progress(time.Second, first)
	if change := b.EvictStalled(1500*time.Millisecond, []ID{first, second}); !slices.Equal(change.Evicted, []ID{second}) {
		t.Errorf("evicted %v, want %d and not %d, which was not named", change.Evicted, second, other)
	}
}

// Guards against bytes that are lost or counted twice in any order of calls, parts that exceed their limits, and holders that
// wait although there is room.
func TestBudgetKeepsCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := testLimits()
		b, now := New(limits), time.Duration(0)
		var open []ID
		pick := func() ID { return rapid.SampledFrom(open).Draw(t, "holder") }
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				open = append(open, b.Open(now, rapid.SampledFrom([]Part{Small, Large}).Draw(t, "part")))
			},
			"take": func(t *rapid.T) {
				if len(open) == 0 {
					t.Skip()
				}
				if h := b.holders[pick()]; !h.complete {
					n := rapid.Int64Range(1, SmallBody).Draw(t, "bytes")
					if h.wanted > 0 {
						n = h.wanted
					}
					b.Take(now, h.id, n)
				}
			},
			"complete": func(t *rapid.T) {
				if len(open) == 0 {
					t.Skip()
				}
				if h := b.holders[pick()]; h.wanted == 0 && !h.complete {
					b.Complete(now, h.id, rapid.Int64Range(0, h.bytes).Draw(t, "unused"))
				}
			},
			"release": func(t *rapid.T) {
				if len(open) == 0 {
					t.Skip()
				}
				id := pick()
				b.Release(now, id)
				open = slices.DeleteFunc(open, func(o ID) bool { return o == id })
			},
			"pass": func(t *rapid.T) { now += time.Duration(rapid.IntRange(0, 600).Draw(t, "ms")) * time.Millisecond },
			"": func(t *rapid.T) {
				var sums [parts]int64
				for _, h := range b.holders {
					sums[h.part] += h.bytes
				}
				if sums != b.used {
					t.Fatalf("used %v, the holders have %v", b.used, sums)
				}
				if b.used[Small] > limits.Bytes[Small] || b.used[Large] > limits.Single {
					t.Fatalf("used %v exceeds the limits", b.used)
				}
				for part, ids := range b.waiting {
					if len(ids) > 0 && b.fits(Part(part), b.holders[ids[0]], b.holders[ids[0]].wanted) {
						t.Fatalf("holder %d waits although there is room", ids[0])
					}
					if !slices.IsSorted(ids) {
						t.Fatalf("waiting holders %v are not in order", ids)
					}
				}
				if len(b.holders) != len(open) {
					t.Fatalf("%d holders, %d are open", len(b.holders), len(open))
				}
			},
		})
	})
}

// Guards against a response that is cut off although responses cut off just before already make enough room.
func TestResponsesWaitForEvictedOnes(t *testing.T) {
	b := New(testLimits())
	var ids []ID
	for range 8 {
		id := b.Open(0, Responses)
		b.Charge(0, id, SmallBody)
		ids = append(ids, id)
	}
	next := b.Open(time.Second, Responses)
	if change := b.Charge(time.Second, next, SmallBody); !slices.Equal(change.Evicted, ids[:1]) {
		t.Fatalf("evicted %v, want the first one", change.Evicted)
	}
	b.Shrink(next, 0)
	if change := b.Charge(time.Second, next, SmallBody); len(change.Evicted) > 0 {
		t.Errorf("evicted %v before the first one was released", change.Evicted)
	}
}

// Guards against responses that servers are sending and that exceed the part, lose their bytes meanwhile, or keep them from
// eviction for ever.
func TestReceivedResponsesStayInTheirPart(t *testing.T) {
	limits := testLimits()
	b := New(limits)
	receiving, other := b.Open(0, Responses), b.Open(0, Responses)
	if !b.Reserve(receiving, limits.Bytes[Responses]-SmallBody) || !b.Reserve(other, SmallBody) {
		t.Fatal("responses that fill the part have no room")
	}
	if b.Reserve(other, 1) || b.Used(Responses) != limits.Bytes[Responses] {
		t.Errorf("%d bytes of %d are used, and one more was granted", b.Used(Responses), limits.Bytes[Responses])
	}
	now := time.Minute
	stream := b.Open(now, Responses)
	if change := b.Resize(now, stream, SmallBody); len(change.Evicted) > 0 {
		t.Errorf("evicted %v, whose servers are still sending", change.Evicted)
	}
	b.Received(now, receiving)
	now += limits.StallAfter
	if change := b.Resize(now, stream, 2*SmallBody); !slices.Equal(change.Evicted, []ID{receiving}) {
		t.Errorf("evicted %v, want %d, whose caller does not read", change.Evicted, receiving)
	}
	if change := b.Resize(now, stream, 1); len(change.Evicted) > 0 || b.holders[stream].bytes != 1 {
		t.Errorf("a stream that shrinks to 1 byte has %d and evicts %v", b.holders[stream].bytes, change.Evicted)
	}
	if b.Reserve(ID(99), 1) {
		t.Error("a holder that is not open was given a byte")
	}
}
