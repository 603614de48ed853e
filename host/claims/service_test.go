package claims

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"vanillatally/core/claim"
)

// tamper removes from a gather's answer what a switch turns off.
func (f *fleet) tamper(body []byte) []byte {
	var answer gatherAnswer
	if cbor.Unmarshal(body, &answer) != nil {
		return body
	}
	if f.off.noGather {
		answer.Records = nil
	}
	if f.off.noBlock {
		h := []claim.Process{{Host: "h0", Incarnation: 1}, {Host: "h1", Incarnation: 2}, {Host: "h2", Incarnation: 3}}
		answer.Covers = append(answer.Covers, claim.Rereplication{Owner: h[0], Lost: h[1], Slots: 1<<64 - 1},
			claim.Rereplication{Owner: h[2], Lost: h[0], Slots: 1<<64 - 1}, claim.Rereplication{Owner: h[2], Lost: h[1], Slots: 1<<64 - 1})
	}
	body, _ = cbor.Marshal(answer)
	return body
}

// dropCopies removes the records from a message that places second copies.
func (f *fleet) dropCopies(body []byte) []byte {
	var message replicate
	if !f.off.noSecond || cbor.Unmarshal(body, &message) != nil {
		return body
	}
	message.Records = nil
	body, _ = cbor.Marshal(message)
	return body
}

var done = claim.Result{Status: 201, Body: []byte("held")}

// Each scenario sends the same keyed request twice around a fault. It runs at most once in all, and
// a second time when the safeguard of the scenario is off.
func TestFaultBetweenTwoArrivals(t *testing.T) {
	const key = "k"
	slot := claim.SlotOf("t", key)
	scenarios := map[string]struct {
		without switches
		run     func(f *fleet, h []*host) claim.State
		want    claim.State
	}{
		"owner dies after the run": {switches{noGather: true}, func(f *fleet, h []*host) claim.State {
			f.request(h[1], key, 0, 0, done)
			f.kill(h[0])
			f.fence(h[0], "h2")
			f.publish()
			time.Sleep(time.Second)
			return f.request(h[2], key, 0, 0, done)
		}, claim.Done},
		"owner that ran the request itself dies": {switches{noSecond: true}, func(f *fleet, h []*host) claim.State {
			f.request(h[0], key, 0, 0, done)
			f.kill(h[0])
			f.fence(h[0], "h2")
			f.publish()
			time.Sleep(time.Second)
			return f.request(h[2], key, 0, 0, done)
		}, claim.Done},
		"slot moves during the run": {switches{noGather: true}, func(f *fleet, h []*host) claim.State {
			f.messages.Go(func() error { f.request(h[1], key, 0, 5*time.Second, done); return nil })
			time.Sleep(time.Second)
			f.assign(slot, "h2")
			f.publish()
			time.Sleep(time.Second)
			state := f.request(h[2], key, 0, 0, done)
			time.Sleep(5 * time.Second)
			return state
		}, claim.Running},
		"paused owner wakes up after its slot has moved": {switches{noLease: true, noFloor: true}, func(f *fleet, h []*host) claim.State {
			f.setPaused(h[0], true)
			f.fence(h[0], "h2")
			f.publish()
			time.Sleep(time.Second)
			f.request(h[2], key, 0, 0, done)
			f.forgetFloors(slot)
			f.setPaused(h[0], false)
			return f.request(h[0], key, 0, 0, done)
		}, claim.OwnerUnreachable},
		"grant of the former owner arrives late": {switches{noFloor: true}, func(f *fleet, h []*host) claim.State {
			f.messages.Go(func() error { f.request(h[1], key, 0, 0, done); return nil })
			time.Sleep(1500 * time.Microsecond)
			f.setPaused(h[0], true)
			f.fence(h[0], "h2")
			f.publish()
			time.Sleep(200 * time.Millisecond)
			state := f.request(h[2], key, 0, 0, done)
			f.forgetFloors(slot)
			f.setPaused(h[0], false)
			time.Sleep(time.Second)
			return state
		}, claim.Granted},
		"owner and executor die together": {switches{noBlock: true}, func(f *fleet, h []*host) claim.State {
			f.request(h[1], key, 0, 0, done)
			f.kill(h[0])
			f.kill(h[1])
			f.fence(h[1], "h2")
			f.publish()
			time.Sleep(100 * time.Millisecond)
			f.fence(h[0], "h2")
			f.publish()
			time.Sleep(time.Second)
			return f.request(h[3], key, 0, 0, done)
		}, claim.Unknown},
		"owner and executor die together, later the next owner": {switches{noBlock: true}, func(f *fleet, h []*host) claim.State {
			f.request(h[1], key, 0, 0, done)
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
			return f.request(h[3], key, 0, 0, done)
		}, claim.Unknown},
		"executor dies, later the owner": {switches{noSecond: true}, func(f *fleet, h []*host) claim.State {
			f.request(h[1], key, 0, 0, done)
			f.kill(h[1])
			f.fence(h[1], "h2")
			f.publish()
			time.Sleep(time.Second)
			f.kill(h[0])
			f.fence(h[0], "h2")
			f.publish()
			time.Sleep(time.Second)
			return f.request(h[3], key, 0, 0, done)
		}, claim.Done},
		"host outside the ledger runs, the owner dies": {switches{noSecond: true}, func(f *fleet, h []*host) claim.State {
			outside := f.start("x")
			f.publish()
			f.request(outside, key, 0, 0, done)
			f.kill(h[0])
			f.fence(h[0], "h2")
			f.publish()
			time.Sleep(time.Second)
			return f.request(h[3], key, 0, 0, done)
		}, claim.Done},
	}
	for name, scenario := range scenarios {
		for _, off := range []switches{{}, scenario.without} {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(1, off)
				hosts := f.grow(4, key)
				state := scenario.run(f, hosts)
				f.close()
				safe := f.executed[key] <= 1
				if off == (switches{}) && (!safe || state != scenario.want) {
					t.Errorf("%s: ran %d times, the second arrival got %s, want %s", name, f.executed[key], state, scenario.want)
				}
				if off != (switches{}) && safe {
					t.Errorf("%s: the check does not notice that %+v is off", name, off)
				}
			})
		}
	}
}

// Guards against answers that differ from what became of the request, and against a key that stays
// taken although its request did not run.
func TestAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, switches{})
		h := f.grow(3, "a", "b", "c", "d")
		defer f.close()
		ctx := context.Background()
		if state := f.request(h[1], "a", 0, 0, done); state != claim.Granted {
			t.Fatal(state)
		}
		answer, _ := h[2].service.Begin(ctx, claim.Request{Team: "t", Key: "a", Fingerprint: 1})
		if answer.State != claim.Done || answer.Result.Status != 201 || string(answer.Result.Body) != "held" {
			t.Errorf("resend got %+v", answer)
		}
		if answer, _ = h[2].service.Begin(ctx, claim.Request{Team: "t", Key: "a", Fingerprint: 2}); answer.State != claim.Mismatch {
			t.Errorf("other body got %+v", answer)
		}
		f.request(h[1], "b", 0, 0, claim.Result{NotRun: true})
		if state := f.request(h[2], "b", 0, 0, done); state != claim.Granted {
			t.Errorf("after a request that did not run: %s", state)
		}
		f.request(h[1], "c", 0, 0, claim.Result{Status: 200, Body: make([]byte, claim.MaxBodyBytes+1)})
		if state := f.request(h[2], "c", 0, 0, done); state != claim.Unknown {
			t.Errorf("after a long answer: %s", state)
		}
		if state := f.request(h[1], "d", claim.GrantTTL, 0, done); state != claim.OwnerUnreachable {
			t.Errorf("grant was used after its life: %s", state)
		}
		time.Sleep(claim.Retention + 10*time.Second)
		sh := &h[0].service.shards[claim.SlotOf("t", "a")]
		sh.mu.Lock()
		n := len(sh.records)
		sh.mu.Unlock()
		if n != 0 || h[0].service.bytes.Load() != 0 {
			t.Errorf("%d records and %d bytes are kept after their retention", n, h[0].service.bytes.Load())
		}
	})
}

// Guards against old claims that are evicted, or answers that are kept, at the memory bound.
func TestMemoryBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, switches{})
		f.maxBytes = 2000
		h := f.grow(2, "a", "b", "c")
		f.request(h[1], "a", 0, 0, claim.Result{Status: 200, Body: make([]byte, 1500)})
		f.request(h[1], "b", 0, 0, claim.Result{Status: 200, Body: make([]byte, 1500)})
		for key, want := range map[string]claim.State{"a": claim.Done, "b": claim.Unknown, "c": claim.Full} {
			if state := f.request(h[1], key, 0, 0, done); state != want {
				t.Errorf("%s got %s, want %s", key, state, want)
			}
		}
		f.close()
	})
}
