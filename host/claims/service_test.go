package claims

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"vanillatally/core/claim"
)

// alterGatherAnswer changes the answer to a gather request according to the disabled safeguards. With noBlocking it adds
// statements that all copies at the lost hosts were replaced.
func (f *fleet) alterGatherAnswer(body []byte) []byte {
	var answer gatherAnswer
	if cbor.Unmarshal(body, &answer) != nil {
		return body
	}
	if f.disabled.noGather {
		answer.Records = nil
	}
	if f.disabled.noBlocking {
		h := []claim.Process{{Host: "h0", Incarnation: 1}, {Host: "h1", Incarnation: 2}, {Host: "h2", Incarnation: 3}}
		answer.Rereplications = append(answer.Rereplications, claim.Rereplication{Owner: h[0], Lost: h[1], Slots: 1<<64 - 1},
			claim.Rereplication{Owner: h[2], Lost: h[0], Slots: 1<<64 - 1}, claim.Rereplication{Owner: h[2], Lost: h[1], Slots: 1<<64 - 1})
	}
	body, _ = cbor.Marshal(answer)
	return body
}

// dropCopies removes the records from a message that places copies, if noCopies is set.
func (f *fleet) dropCopies(body []byte) []byte {
	var message copyRequest
	if !f.disabled.noCopies || cbor.Unmarshal(body, &message) != nil {
		return body
	}
	message.Records = nil
	body, _ = cbor.Marshal(message)
	return body
}

var storedResult = claim.Result{Status: 201, Body: []byte("held")}

// Guards against a keyed request that runs twice because a fault falls between its two calls. Each scenario sends the same
// request before and after a fault. It must run at most once; with the safeguard of the scenario disabled it must run more
// than once, which shows that the scenario tests that safeguard.
func TestFaultBetweenTwoArrivals(t *testing.T) {
	const key = "k"
	slot := claim.SlotOf("t", key)
	scenarios := map[string]struct {
		without disabledSafeguards
		run     func(f *fleet, h []*host) claim.State
		want    claim.State
	}{
		"owner dies after the run": {disabledSafeguards{noGather: true}, func(f *fleet, h []*host) claim.State {
			f.request(h[1], key, 0, 0, storedResult)
			f.kill(h[0])
			f.fence(h[0], "h2")
			f.publish()
			time.Sleep(time.Second)
			return f.request(h[2], key, 0, 0, storedResult)
		}, claim.Done},
		"owner that ran the request itself dies": {disabledSafeguards{noCopies: true}, func(f *fleet, h []*host) claim.State {
			f.request(h[0], key, 0, 0, storedResult)
			f.kill(h[0])
			f.fence(h[0], "h2")
			f.publish()
			time.Sleep(time.Second)
			return f.request(h[2], key, 0, 0, storedResult)
		}, claim.Done},
		"slot moves during the run": {disabledSafeguards{noGather: true}, func(f *fleet, h []*host) claim.State {
			f.messages.Go(func() error { f.request(h[1], key, 0, 5*time.Second, storedResult); return nil })
			time.Sleep(time.Second)
			f.assign(slot, "h2")
			f.publish()
			time.Sleep(time.Second)
			state := f.request(h[2], key, 0, 0, storedResult)
			time.Sleep(5 * time.Second)
			return state
		}, claim.Running},
		"paused owner wakes up after its slot has moved": {disabledSafeguards{noLeaseCheck: true, noEpochFence: true}, func(
			f *fleet, h []*host,
		) claim.State {
			f.setPaused(h[0], true)
			f.fence(h[0], "h2")
			f.publish()
			time.Sleep(time.Second)
			f.request(h[2], key, 0, 0, storedResult)
			f.clearMinOwnerEpochs(slot)
			f.setPaused(h[0], false)
			return f.request(h[0], key, 0, 0, storedResult)
		}, claim.OwnerUnreachable},
		"grant of the former owner arrives late": {disabledSafeguards{noEpochFence: true}, func(f *fleet, h []*host) claim.State {
			f.messages.Go(func() error { f.request(h[1], key, 0, 0, storedResult); return nil })
			time.Sleep(1500 * time.Microsecond)
			f.setPaused(h[0], true)
			f.fence(h[0], "h2")
			f.publish()
			time.Sleep(200 * time.Millisecond)
			state := f.request(h[2], key, 0, 0, storedResult)
			f.clearMinOwnerEpochs(slot)
			f.setPaused(h[0], false)
			time.Sleep(time.Second)
			return state
		}, claim.Granted},
		"owner and executor die together": {disabledSafeguards{noBlocking: true}, func(f *fleet, h []*host) claim.State {
			f.request(h[1], key, 0, 0, storedResult)
			f.kill(h[0])
			f.kill(h[1])
			f.fence(h[1], "h2")
			f.publish()
			time.Sleep(100 * time.Millisecond)
			f.fence(h[0], "h2")
			f.publish()
			time.Sleep(time.Second)
			return f.request(h[3], key, 0, 0, storedResult)
		}, claim.Unknown},
		"owner and executor die together, later the next owner": {disabledSafeguards{noBlocking: true}, func(
			f *fleet, h []*host,
		) claim.State {
			f.request(h[1], key, 0, 0, storedResult)
			f.kill(h[0])
			f.kill(h[1])
			f.fence(h[1], "h2")
			f.publish()
			time.Sleep(100 * time.Millisecond)
			f.fence(h[0], "h2")
			f.publish()
			time.Sleep(time.Second)
			f.kill(h[2])
			f.fence(h[2], "h3")
			f.publish()
			time.Sleep(time.Second)
			return f.request(h[3], key, 0, 0, storedResult)
		}, claim.Unknown},
		"executor dies, later the owner": {disabledSafeguards{noCopies: true}, func(f *fleet, h []*host) claim.State {
			f.request(h[1], key, 0, 0, storedResult)
			f.kill(h[1])
			f.fence(h[1], "h2")
			f.publish()
			time.Sleep(time.Second)
			f.kill(h[0])
			f.fence(h[0], "h2")
			f.publish()
			time.Sleep(time.Second)
			return f.request(h[3], key, 0, 0, storedResult)
		}, claim.Done},
		"host outside the ledger runs, the owner dies": {disabledSafeguards{noCopies: true}, func(f *fleet, h []*host) claim.State {
			outside := f.start("x")
			f.publish()
			f.request(outside, key, 0, 0, storedResult)
			f.kill(h[0])
			f.fence(h[0], "h2")
			f.publish()
			time.Sleep(time.Second)
			return f.request(h[3], key, 0, 0, storedResult)
		}, claim.Done},
	}
	for name, scenario := range scenarios {
		for _, off := range []disabledSafeguards{{}, scenario.without} {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(1, off)
				hosts := f.startMembers(4, key)
				state := scenario.run(f, hosts)
				f.close()
				safe := f.executed[key] <= 1
				if off == (disabledSafeguards{}) && (!safe || state != scenario.want) {
					t.Errorf("%s: the request ran %d times, want at most once; the second call got %s, want %s",
						name, f.executed[key], state, scenario.want)
				}
				if off != (disabledSafeguards{}) && safe {
					t.Errorf("%s: the request ran at most once although safeguards are disabled: %+v", name, off)
				}
			})
		}
	}
}

// Guards against answers that do not match the result of the first run, against a key that stays taken although its request
// did not run, against a grant that is used after its lifetime, and against records that outlive their retention.
func TestAnswersMatchFirstRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, disabledSafeguards{})
		h := f.startMembers(3, "a", "b", "c", "d")
		defer f.close()
		ctx := context.Background()
		if state := f.request(h[1], "a", 0, 0, storedResult); state != claim.Granted {
			t.Fatal(state)
		}
		answer, _ := h[2].service.Begin(ctx, claim.Request{Team: "t", Key: "a", Fingerprint: 1})
		if answer.State != claim.Done || answer.Result.Status != 201 || string(answer.Result.Body) != "held" {
			t.Errorf("a resent request got %+v, want the stored response with status 201", answer)
		}
		if answer, _ = h[2].service.Begin(ctx, claim.Request{Team: "t", Key: "a", Fingerprint: 2}); answer.State != claim.Mismatch {
			t.Errorf("a request with another fingerprint got %+v, want Mismatch", answer)
		}
		f.request(h[1], "b", 0, 0, claim.Result{NotRun: true})
		if state := f.request(h[2], "b", 0, 0, storedResult); state != claim.Granted {
			t.Errorf("a request whose first call did not run got %s, want Granted", state)
		}
		f.request(h[1], "c", 0, 0, claim.Result{Status: 200, Body: make([]byte, claim.MaxBodyBytes+1)})
		if state := f.request(h[2], "c", 0, 0, storedResult); state != claim.Unknown {
			t.Errorf("a request whose response is too long to store got %s, want Unknown", state)
		}
		if state := f.request(h[1], "d", claim.GrantTTL, 0, storedResult); state != claim.OwnerUnreachable {
			t.Errorf("a request that was sent after the grant had expired got %s, want OwnerUnreachable", state)
		}
		time.Sleep(claim.Retention + 10*time.Second)
		sh := &h[0].service.shards[claim.SlotOf("t", "a")]
		sh.mu.Lock()
		n := len(sh.records)
		sh.mu.Unlock()
		if n != 0 || h[0].service.recordBytes.Load() != 0 {
			t.Errorf("%d records and %d bytes are left after the retention, want none", n, h[0].service.recordBytes.Load())
		}
	})
}

// Guards against claims that are evicted, and results that are stored, beyond the memory bound.
func TestMemoryBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, disabledSafeguards{})
		f.maxBytes = 2000
		h := f.startMembers(2, "a", "b", "c")
		f.request(h[1], "a", 0, 0, claim.Result{Status: 200, Body: make([]byte, 1500)})
		f.request(h[1], "b", 0, 0, claim.Result{Status: 200, Body: make([]byte, 1500)})
		for key, want := range map[string]claim.State{"a": claim.Done, "b": claim.Unknown, "c": claim.Full} {
			if state := f.request(h[1], key, 0, 0, storedResult); state != want {
				t.Errorf("the request with key %s got %s, want %s", key, state, want)
			}
		}
		f.close()
	})
}
