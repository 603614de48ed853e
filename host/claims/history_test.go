package claims

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"vanillatally/core/claim"
)

// claimModel is the sequential model of one key: a grant takes it, and the report that the request did not run frees it.
var claimModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, o := range history {
			byKey[o.Input.(string)] = append(byKey[o.Input.(string)], o)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return false },
	Step: func(state, _, output any) (bool, any) {
		switch output.(claim.State) {
		case claim.Granted:
			return !state.(bool), true
		case notRun:
			return true, false
		default:
			return true, state
		}
	},
}

// notRun is the output of an operation that frees a key.
const notRun = claim.State("not-run")

// runClient sends requests with three keys to random hosts and records the answers for the linearizability check.
func (f *fleet) runClient(t *testing.T, clock *atomic.Int64, id int, requests int, history *[]porcupine.Operation) error {
	f.mu.Lock()
	random := f.random.Uint64()
	f.mu.Unlock()
	next := func(n int) int {
		random = random*6364136223846793005 + 1442695040888963407
		return int(random>>33) % n
	}
	for range requests {
		time.Sleep(time.Duration(next(3000)) * time.Millisecond)
		key := fmt.Sprintf("k%d", next(3))
		f.mu.Lock()
		h := f.hosts[fmt.Sprintf("h%d", next(len(f.hosts)))]
		skip := h == nil || h.dead
		f.mu.Unlock()
		if skip {
			continue
		}
		request := claim.Request{Team: "t", Key: key, Fingerprint: 1}
		record := func(start int64, output claim.State) {
			*history = append(*history, porcupine.Operation{ClientId: id, Input: key, Call: start, Output: output, Return: clock.Add(1)})
		}
		start := clock.Add(1)
		answer, err := h.service.Begin(context.Background(), request)
		if err != nil {
			t.Error(err)
		}
		record(start, answer.State)
		if answer.State != claim.Granted {
			continue
		}
		time.Sleep(time.Duration(next(2000)) * time.Millisecond)
		result := claim.Result{Status: 200}
		runs := h.service.Valid(request) && next(4) > 0
		if runs {
			time.Sleep(time.Duration(next(20000)*next(2)) * time.Millisecond)
		} else {
			result = claim.Result{NotRun: true}
		}
		f.mu.Lock()
		dead := h.dead
		if runs && !dead {
			f.executed[key]++
		}
		f.mu.Unlock()
		if dead {
			continue
		}
		start = clock.Add(1)
		_ = h.service.Finish(context.Background(), request, result)
		if result.NotRun {
			record(start, notRun)
		}
	}
	return nil
}

// fault is a random fault or change. host, other and slot are taken modulo the number of hosts and slots.
type fault struct{ wait, kind, host, other, slot, flags int }

// applyFault applies one fault or change.
func (f *fleet) applyFault(d fault, slots []int) {
	inLedger := func(h *host) bool { return h.incarnation != 0 && claim.Incarnation(f.ledger, h.id) == h.incarnation }
	living := 0
	for _, h := range f.hosts {
		if !h.dead && inLedger(h) {
			living++
		}
	}
	a, b := f.hosts[fmt.Sprintf("h%d", d.host%len(f.hosts))], f.hosts[fmt.Sprintf("h%d", d.other%len(f.hosts))]
	switch d.kind {
	case 0:
		if !a.dead && living > 1 {
			f.kill(a)
		}
	case 1:
		f.setPaused(a, !a.paused)
	case 2:
		f.mu.Lock()
		f.cutLinks[[2]string{a.id, b.id}] = !f.cutLinks[[2]string{a.id, b.id}]
		f.mu.Unlock()
	case 3:
		if inLedger(a) && living > 1 {
			f.fence(a, b.id)
		}
	case 4:
		// A dead host restarts, or a fenced process joins again.
		if a.dead {
			a = f.start(a.id)
		}
		if !a.paused && !inLedger(a) {
			f.join(a)
		}
	case 5, 6:
		if inLedger(b) {
			f.assign(slots[d.slot%len(slots)], b.id)
		}
	case 7:
		if h := f.start(fmt.Sprintf("h%d", len(f.hosts))); d.flags&2 != 0 {
			f.join(h)
		}
	}
	// A slot whose holder is no longer in the ledger goes to a member.
	for _, slot := range slots {
		if claim.Incarnation(f.ledger, f.ledger.Slots[slot].Holder) == 0 && inLedger(b) {
			f.assign(slot, b.id)
		}
	}
	if d.flags&1 != 0 {
		f.publish()
	}
}

// runHistory runs one random history and returns a description of its violation, or an empty text.
func runHistory(t *testing.T, seed uint64, hosts int, faults []fault, disabled disabledSafeguards) string {
	f := newFleet(seed, disabled)
	keys := []string{"k0", "k1", "k2"}
	var slots []int
	for _, k := range keys {
		slots = append(slots, claim.SlotOf("t", k))
	}
	f.startMembers(hosts, keys...)
	f.mu.Lock()
	f.faults = true
	f.mu.Unlock()
	histories := make([][]porcupine.Operation, 4)
	var clients errgroup.Group
	var clock atomic.Int64
	for i := range histories {
		clients.Go(func() error { return f.runClient(t, &clock, i, 12, &histories[i]) })
	}
	for _, d := range faults {
		time.Sleep(time.Duration(d.wait) * time.Millisecond)
		f.applyFault(d, slots)
	}
	_ = clients.Wait()
	f.close()
	var all []porcupine.Operation
	for _, h := range histories {
		all = append(all, h...)
	}
	for key, n := range f.executed {
		if n > 1 {
			return fmt.Sprintf("key %s ran %d times, want at most once", key, n)
		}
	}
	if !porcupine.CheckOperations(claimModel, all) {
		return fmt.Sprintf("the grants are not linearizable; history: %+v", all)
	}
	return ""
}

// Guards against a keyed request that runs twice under random crashes, restarts, pauses, network partitions, fencing, slot
// moves, stale views of the ledger, and lost, late, duplicated and reordered messages.
func TestRunsAtMostOnce(t *testing.T) {
	number := func(limit int) *rapid.Generator[int] { return rapid.IntRange(0, limit) }
	rapid.Check(t, func(rt *rapid.T) {
		seed, hosts := rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(2, 5).Draw(rt, "hosts")
		faults := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) fault {
			return fault{
				number(4000).Draw(rt, "wait"), number(7).Draw(rt, "kind"), number(9).Draw(rt, "host"),
				number(9).Draw(rt, "other"), number(2).Draw(rt, "slot"), number(3).Draw(rt, "flags"),
			}
		}), 2, 14).Draw(rt, "faults")
		wrong := ""
		synctest.Test(t, func(t *testing.T) { wrong = runHistory(t, seed, hosts, faults, disabledSafeguards{}) })
		if wrong != "" {
			rt.Fatal(wrong)
		}
	})
}
