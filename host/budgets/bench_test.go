package budgets

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"vanillatally/core/budget"
	"vanillatally/core/ledger"
	"vanillatally/io/peers"
	"vanillatally/io/store"

	"github.com/fxamacker/cbor/v2"
)

// newSoleService returns a service that is the only member of its ledger and holds all slots, with full buckets.
func newSoleService(b *testing.B, teams int) (*Service, []string) {
	limits, names := map[string]budget.Limits{}, make([]string, teams)
	for i := range names {
		names[i] = fmt.Sprintf("team-%d", i)
		limits[names[i]] = budget.Limits{Rate: 1e12, Burst: 1e12}
	}
	table, err := budget.NewLimitTable(limits)
	if err != nil {
		b.Fatal(err)
	}
	s := New(Options{Host: "a", Store: store.NewMemory(0, 0), Peers: peers.NewHandlerTable(), Seed: 1}).WithTeams(table)
	for s.node.heldSlots == 0 {
		if _, err := s.node.syncWithStore(context.Background(), s.options.Store, s.options.Clock, false); err != nil {
			b.Fatal(err)
		}
	}
	time.Sleep(10 * time.Millisecond)
	return s, names
}

// BenchmarkAdmit measures an admission; run it with -cpu 1,10. In the control each goroutine has its own service and so
// shares no state, which shows how far the machine scales in the same run.
func BenchmarkAdmit(b *testing.B) {
	b.Run("control", func(b *testing.B) {
		var next atomic.Int32
		services := make([]*Service, 64)
		for i := range services {
			services[i], _ = newSoleService(b, 1)
		}
		b.ResetTimer()
		b.RunParallel(func(pb *testing.PB) {
			s := services[next.Add(1)%64]
			for pb.Next() {
				_, _ = s.Admit(context.Background(), "team-0", 1)
			}
		})
	})
	for _, teams := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			s, names := newSoleService(b, teams)
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for i := int(time.Now().UnixNano() % 1000); pb.Next(); i++ {
					if d, err := s.Admit(context.Background(), names[i%teams], 1); err != nil || !d.Admitted {
						b.Error(d, err)
						return
					}
				}
			})
		})
	}
}

// BenchmarkTraffic reports the messages and bytes that a host sends per second without demand, with the demand of eight
// teams spread evenly, and with all of it on one host. One iteration is 5 s of simulated time.
func BenchmarkTraffic(b *testing.B) {
	for _, hosts := range []int{9, 90, 900} {
		for _, mix := range []string{"idle", "even", "one"} {
			b.Run(fmt.Sprintf("hosts=%d/%s", hosts, mix), func(b *testing.B) {
				limits := map[string]budget.Limits{}
				for i := range 8 {
					limits[fmt.Sprintf("team-%d", i)] = budget.Limits{Rate: 200, Burst: 200}
				}
				s := newJoinedFleet(b, hosts, limits)
				const step = 10 * time.Millisecond
				run := func(d time.Duration) {
					for end := s.now + d; s.now < end; {
						s.step(step)
						for i, id := range s.ids() {
							fraction := 1 / float64(hosts)
							if mix == "one" && i > 0 || mix == "idle" {
								continue
							} else if mix == "one" {
								fraction = 1
							}
							for _, team := range sortedKeys(limits) {
								if s.rng.Float64() < 0.9*200*step.Seconds()*fraction-float64(int(0.9*200*step.Seconds()*fraction)) {
									s.admit(s.hosts[id], team, 1)
								}
								for range int(0.9 * 200 * step.Seconds() * fraction) {
									s.admit(s.hosts[id], team, 1)
								}
							}
						}
					}
				}
				run(3 * time.Second)
				s.sentMessages, s.sentBytes = map[string]int{}, map[string]int{}
				for range b.N {
					run(5 * time.Second)
				}
				messages, bytes, most := 0, 0, 0
				for _, id := range s.ids() {
					messages, bytes, most = messages+s.sentMessages[id], bytes+s.sentBytes[id], max(most, s.sentBytes[id])
				}
				seconds := 5 * float64(b.N)
				b.ReportMetric(float64(messages)/float64(hosts)/seconds, "messages/s/host")
				b.ReportMetric(float64(bytes)/float64(hosts)/seconds, "B/s/host")
				b.ReportMetric(float64(most)/seconds, "B/s/busiest")
			})
		}
	}
}

// newJoinedFleet returns a simulated fleet whose hosts are all members of the ledger.
func newJoinedFleet(b testing.TB, hosts int, limits map[string]budget.Limits) *simulation {
	s := newSimulation(1, limits)
	var l ledger.Ledger
	for i := range hosts {
		id := fmt.Sprintf("%c-%03d", 'a'+i%3, i)
		s.start(id, 1)
		l, _ = l.Join(s.hosts[id].node.self)
		s.hosts[id].node.joinIncarnation, s.hosts[id].node.joinSentAt = l.Epoch, s.hosts[id].clock(s)
	}
	first := l.Members[0]
	l, _ = l.AddWitnesses(ledger.Process{Host: first.Host, Incarnation: first.Incarnation})
	for i := range l.Slots {
		l.Slots[i].Unreleased = nil
	}
	value, err := l.Encode()
	if err != nil {
		b.Fatal(err)
	}
	if _, err := s.store.Memory.Put(context.Background(), ledger.StoreKey, value, 0); err != nil {
		b.Fatal(err)
	}
	for _, h := range s.hosts {
		h.node.adoptLedger(h.clock(s), l)
		h.nextSync = h.clock(s) + time.Hour
	}
	s.encode = func(m any) int {
		body, _ := cbor.Marshal(m)
		return len(body)
	}
	return s
}

// BenchmarkRecovery reports the simulated time from a fault at one of nine hosts until every slot is in use again,
// over 20 seeds. The regions are 55 ms apart.
func BenchmarkRecovery(b *testing.B) {
	victim := host(4)
	for _, c := range []struct {
		name  string
		fault func(*simulation)
	}{
		{"death", func(s *simulation) { delete(s.hosts, victim) }},
		{"restart-at-once", func(s *simulation) { s.start(victim, 1) }},
		{"pause-5s", func(s *simulation) { s.hosts[victim].pausedUntil = s.now + 5*time.Second }},
		{"join", func(s *simulation) { s.start(host(9), 1) }},
		{"leave", func(s *simulation) { s.hosts[victim].leaving = true }},
		{"cut-off", func(s *simulation) {
			for i := range fleetSize {
				s.cutLinks[[2]string{victim, host(i)}], s.cutLinks[[2]string{host(i), victim}] = true, true
			}
			// A host that reaches no peer cannot recover, so only the recovery of the others is measured.
			s.hosts[victim].nextSync = 1 << 62
		}},
		{"death-in-a-60s-outage", func(s *simulation) {
			s.store.SetFaults(store.Faults{Down: true})
			delete(s.hosts, victim)
			for end := s.now + time.Minute; s.now < end; {
				s.step(5 * time.Millisecond)
			}
			s.store.SetFaults(store.Faults{})
		}},
	} {
		b.Run(c.name, func(b *testing.B) {
			var sum, most time.Duration
			for range b.N {
				for seed := range 20 {
					tr := newTraffic(uint64(seed + 1))
					tr.weights = demandOnlyAt(0)
					tr.run(5 * time.Second)
					epoch := tr.hosts[host(0)].node.ledger.Epoch
					c.fault(tr.simulation)
					from := tr.now
					for end := tr.now + 30*time.Second; tr.now < end; {
						tr.step(5 * time.Millisecond)
						if joined := tr.hosts[host(9)]; (joined == nil || joined.node.heldSlots != 0) &&
							tr.usableSlots() == ledger.SlotCount && tr.hosts[host(0)].node.ledger.Epoch > epoch {
							break
						}
					}
					sum, most = sum+tr.now-from, max(most, tr.now-from)
				}
			}
			b.ReportMetric(sum.Seconds()/20/float64(b.N), "s/mean")
			b.ReportMetric(most.Seconds(), "s/worst")
		})
	}
}
