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

// journal is the store; it keeps the change id of each sequence that was written.
type journal struct {
	timedStore
	mu  sync.Mutex
	ids map[uint64]string
}

func (j *journal) Put(ctx context.Context, key string, value []byte, expect store.Version) (store.Version, error) {
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

// Guards against histories of random faults in which a sequence goes down, two changes are told that they won one
// sequence, an accepted change is lost or not in force everywhere, a refused one was written, or hosts stay apart.
func TestRandomHistories(t *testing.T) {
	count, first := 12, 1
	for name, value := range map[string]*int{"VANILLATALLY_CONFIGS_HISTORIES": &count, "VANILLATALLY_CONFIGS_FIRST": &first} {
		if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
			*value = n
		}
	}
	states := map[configs.ChangeState]int{}
	for seed := first; seed < first+count; seed++ {
		synctest.Test(t, func(t *testing.T) { history(t, uint64(seed), states) })
	}
	t.Logf("%d histories: %v", count, states)
}

func history(t *testing.T, seed uint64, states map[configs.ChangeState]int) {
	f := newFleet(t, 6, 2)
	defer f.close()
	j := &journal{timedStore: timedStore{f.store}, ids: map[uint64]string{}}
	f.network.SetDelay(time.Millisecond)
	f.apply(f.hosts[0], template(1))
	r := rand.New(rand.NewPCG(seed, 5))
	for i, h := range f.hosts {
		h.stop()
		f.add(f.newHost(h.id, h.region, j)).run()
		time.Sleep(time.Duration(i) * 10 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	won := map[uint64]string{1: "first"}
	var lost []string
	var mu sync.Mutex
	for step := range 12 {
		f.fault(r)
		for range 1 + r.IntN(2) {
			h := f.hosts[r.IntN(len(f.hosts))]
			f.group.Go(func() error {
				out, err := h.Apply(f.ctx, h.Sequence(), template(step+2))
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					states["error"]++
					return nil
				}
				states[out.State]++
				switch out.State {
				case configs.Accepted, configs.Pending:
					if other, ok := won[out.Sequence]; ok {
						t.Errorf("seed %d: %s and %s both won sequence %d", seed, other, out.ChangeID, out.Sequence)
					}
					won[out.Sequence] = out.ChangeID
				case configs.Conflict:
					lost = append(lost, out.ChangeID)
				}
				if out.State == configs.Accepted && !f.allAt(out.Sequence)() {
					t.Errorf("seed %d: sequence %d was accepted and is not in force everywhere", seed, out.Sequence)
				}
				return nil
			})
		}
		time.Sleep(time.Duration(r.IntN(4000)) * time.Millisecond)
	}
	f.heal()
	time.Sleep(25 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	newest := f.hosts[0].Sequence()
	for _, h := range f.hosts {
		if h.Sequence() != newest || !h.Fresh("lax") {
			t.Errorf("seed %d: %s has sequence %d of %d, fresh %v", seed, h.id, h.Sequence(), newest, h.Fresh("lax"))
		}
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	for sequence, id := range won {
		if sequence > 1 && j.ids[sequence] != id {
			t.Errorf("seed %d: sequence %d was won by %s, and the store has %s", seed, sequence, id, j.ids[sequence])
		}
	}
}

func (f *fleet) fault(r *rand.Rand) {
	h := f.hosts[r.IntN(len(f.hosts))]
	switch r.IntN(6) {
	case 0:
		f.store.SetFaults(store.Faults{Down: r.IntN(2) == 0, LoseResponses: r.IntN(2) == 0, Delay: time.Duration(r.IntN(50)) * time.Millisecond})
	case 1:
		f.network.SetDuplicated(r.IntN(2) == 0)
	case 2:
		f.cut(true, h.id)
	case 3:
		h.mute.Store(true)
	case 4:
		f.network.SetLinkDown(h.id, f.hosts[0].id, true)
	default:
		f.heal()
	}
}

func (f *fleet) heal() {
	f.store.SetFaults(store.Faults{})
	f.network.SetDuplicated(false)
	for _, h := range f.hosts {
		f.cut(false, h.id)
		f.network.SetLinkDown(h.id, f.hosts[0].id, false)
		h.mute.Store(false)
	}
}

// TestSpreadFigures measures, in simulated time with 1 ms between hosts, how long a change takes to the last host, and
// what hosts send. It guards against a spread slower than 4 s and a steady state above the budget of 2 KB/s.
// VANILLATALLY_CONFIGS_FULL adds 90 and 900 hosts.
func TestSpreadFigures(t *testing.T) {
	sizes := []int{9}
	if os.Getenv("VANILLATALLY_CONFIGS_FULL") != "" {
		sizes = append(sizes, 90, 900)
	}
	for _, hosts := range sizes {
		scenario(t, hosts, 3, func(f *fleet) {
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
			m0, b0 := sent()
			time.Sleep(10 * time.Second)
			m1, b1 := sent()
			perHost := func(n uint64, by float64) float64 { return float64(n) / float64(hosts) / by }
			if perHost(b1-b0, 10) > 1000 {
				f.t.Errorf("%d hosts: %.0f bytes/s sent by each host", hosts, perHost(b1-b0, 10))
			}
			var last, answers []float64
			for i := range rounds {
				writer := f.hosts[i%hosts]
				out := f.apply(writer, template(i+2))
				var latest time.Duration
				for _, h := range f.hosts {
					h.mu.Lock()
					w := writer.inForce[out.Sequence]
					if h == writer {
						w = h.inForce[out.Sequence]
					}
					latest = max(latest, h.inForce[out.Sequence].Sub(w))
					h.mu.Unlock()
				}
				last, answers = append(last, latest.Seconds()*1000), append(answers, out.PropagationTime.Seconds()*1000)
			}
			m2, b2 := sent()
			slices.Sort(last)
			slices.Sort(answers)
			f.t.Logf("%s", fmt.Sprintf("%d hosts: steady %.2f messages/s and %.0f bytes/s sent by each host; change: %.2f messages, %.0f bytes sent by each host; last host after p50 %.1f p99 %.1f worst %.1f ms, answer p50 %.1f worst %.1f ms of %d",
				hosts, perHost(m1-m0, 10), perHost(b1-b0, 10), perHost(m2-m1, float64(rounds)), perHost(b2-b1, float64(rounds)),
				last[rounds/2], last[rounds*99/100], last[rounds-1], answers[rounds/2], answers[rounds-1], rounds))
		})
	}
}
