package configs_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"vanillatally/core/config"
	"vanillatally/host/configs"
	"vanillatally/io/store"
)

// recordingStore is a store that records the change id of each sequence that was written.
type recordingStore struct {
	timedStore
	mu  sync.Mutex
	ids map[uint64]string
}

func (j *recordingStore) Put(ctx context.Context, key string, value []byte, expect store.Version) (store.Version, error) {
	version, err := j.timedStore.Put(ctx, key, value, expect)
	if object, getErr := j.timedStore.Get(ctx, key); getErr == nil {
		if c, parseErr := config.Parse(object.Value); parseErr == nil {
			j.mu.Lock()
			j.ids[c.Sequence] = c.ChangeID
			j.mu.Unlock()
		}
	}
	return version, err
}

// Guards against sequences of random faults in which a host's sequence decreases, two changes are accepted with the same
// sequence, an accepted change is lost or is not in force at every host, or hosts don't converge afterwards.
func TestRandomHistories(t *testing.T) {
	count, first := 12, 1
	for name, value := range map[string]*int{"VANILLATALLY_CONFIGS_HISTORIES": &count, "VANILLATALLY_CONFIGS_FIRST": &first} {
		if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
			*value = n
		}
	}
	states := map[configs.ChangeState]int{}
	for seed := first; seed < first+count; seed++ {
		synctest.Test(t, func(t *testing.T) { runRandomFaults(t, uint64(seed), states) })
	}
	t.Logf("%d histories: %v", count, states)
}

func runRandomFaults(t *testing.T, seed uint64, states map[configs.ChangeState]int) {
	f := newFleet(t, 6, 2)
	defer f.close()
	recorder := &recordingStore{timedStore: timedStore{f.store}, ids: map[uint64]string{}}
	f.network.SetDelay(time.Millisecond)
	f.mustApply(f.hosts[0], rateEdit(1))
	random := rand.New(rand.NewPCG(seed, 5))
	for i, h := range f.hosts {
		h.stop()
		f.add(f.newHost(h.id, h.region, recorder)).run()
		time.Sleep(time.Duration(i) * 10 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	written := map[uint64]string{1: "first"}
	var conflicts []string
	var mu sync.Mutex
	for step := range 12 {
		f.injectFault(random)
		for range 1 + random.IntN(2) {
			h := f.hosts[random.IntN(len(f.hosts))]
			f.group.Go(func() error {
				out, err := h.Apply(f.ctx, h.Sequence(), rateEdit(step+2))
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					states["error"]++
					return nil
				}
				states[out.State]++
				switch out.State {
				case configs.Accepted, configs.Pending:
					if other, ok := written[out.Sequence]; ok {
						t.Errorf("seed %d: %s and %s were both written as sequence %d", seed, other, out.ChangeID, out.Sequence)
					}
					written[out.Sequence] = out.ChangeID
				case configs.Conflict:
					conflicts = append(conflicts, out.ChangeID)
				}
				if out.State == configs.Accepted && !f.allAt(out.Sequence)() {
					t.Errorf("seed %d: sequence %d was accepted but is not in force at every host", seed, out.Sequence)
				}
				return nil
			})
		}
		time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
	}
	f.removeFaults()
	time.Sleep(25 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	newest := f.hosts[0].Sequence()
	for _, h := range f.hosts {
		if h.Sequence() != newest || !h.Fresh("lax") {
			t.Errorf("seed %d: %s has sequence %d of %d, fresh %v", seed, h.id, h.Sequence(), newest, h.Fresh("lax"))
		}
	}
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	for sequence, id := range written {
		if sequence > 1 && recorder.ids[sequence] != id {
			t.Errorf("seed %d: sequence %d was reported as written by %s, but the store has %s",
				seed, sequence, id, recorder.ids[sequence])
		}
	}
}

func (f *fleet) injectFault(random *rand.Rand) {
	h := f.hosts[random.IntN(len(f.hosts))]
	switch random.IntN(6) {
	case 0:
		f.store.SetFaults(store.Faults{
			Down: random.IntN(2) == 0, LoseResponses: random.IntN(2) == 0, Delay: time.Duration(random.IntN(50)) * time.Millisecond,
		})
	case 1:
		f.network.SetDuplicated(random.IntN(2) == 0)
	case 2:
		f.partition(true, h.id)
	case 3:
		h.muted.Store(true)
	case 4:
		f.network.SetLinkDown(h.id, f.hosts[0].id, true)
	default:
		f.removeFaults()
	}
}

func (f *fleet) removeFaults() {
	f.store.SetFaults(store.Faults{})
	f.network.SetDuplicated(false)
	for _, h := range f.hosts {
		f.partition(false, h.id)
		f.network.SetLinkDown(h.id, f.hosts[0].id, false)
		h.muted.Store(false)
	}
}

// TestSpreadFigures measures how long a change takes to reach the last host and how much the hosts send, in simulated time
// with a delay of 1 ms between hosts. It guards against a change that takes longer than 4 s, and against more than
// 1,000 bytes/s sent by each host without changes, half of the budget of 2 KB/s. VANILLATALLY_CONFIGS_FULL adds fleets of 90
// and 900 hosts.
func TestSpreadFigures(t *testing.T) {
	sizes := []int{9}
	if os.Getenv("VANILLATALLY_CONFIGS_FULL") != "" {
		sizes = append(sizes, 90, 900)
	}
	for _, hosts := range sizes {
		withFleet(t, hosts, 3, func(f *fleet) {
			rounds := max(4, 360/hosts)
			if hosts == 9 && len(sizes) > 1 {
				rounds = 1000
			}
			sent := func() (messages, bytes uint64) {
				for _, h := range f.hosts {
					m, b := f.network.Sent(h.id)
					messages, bytes = messages+m, bytes+b
				}
				return messages, bytes
			}
			messages0, bytes0 := sent()
			time.Sleep(10 * time.Second)
			messages1, bytes1 := sent()
			perHost := func(n uint64, divisor float64) float64 { return float64(n) / float64(hosts) / divisor }
			if perHost(bytes1-bytes0, 10) > 1000 {
				f.t.Errorf("%d hosts: %.0f bytes/s sent by each host", hosts, perHost(bytes1-bytes0, 10))
			}
			var lastHostMs, answerMs []float64
			for i := range rounds {
				writer := f.hosts[i%hosts]
				out := f.mustApply(writer, rateEdit(i+2))
				var latest time.Duration
				for _, h := range f.hosts {
					h.mu.Lock()
					writtenAt := writer.inForce[out.Sequence]
					if h == writer {
						writtenAt = h.inForce[out.Sequence]
					}
					latest = max(latest, h.inForce[out.Sequence].Sub(writtenAt))
					h.mu.Unlock()
				}
				lastHostMs, answerMs = append(lastHostMs, latest.Seconds()*1000), append(answerMs, out.PropagationTime.Seconds()*1000)
			}
			messages2, bytes2 := sent()
			slices.Sort(lastHostMs)
			slices.Sort(answerMs)
			f.t.Logf("%s", fmt.Sprintf("%d hosts: steady %.2f messages/s and %.0f bytes/s sent by each host; change: %.2f messages, %.0f bytes sent by each host; last host after p50 %.1f p99 %.1f worst %.1f ms, answer p50 %.1f worst %.1f ms of %d",
				hosts, perHost(messages1-messages0, 10), perHost(bytes1-bytes0, 10),
				perHost(messages2-messages1, float64(rounds)), perHost(bytes2-bytes1, float64(rounds)),
				lastHostMs[rounds/2], lastHostMs[rounds*99/100], lastHostMs[rounds-1], answerMs[rounds/2], answerMs[rounds-1], rounds))
		})
	}
}
