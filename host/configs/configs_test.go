package configs_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"vanillatally/core/config"
	"vanillatally/host/configs"
	"vanillatally/io/store"
)

// scenario runs fn with a fleet on the fake clock; the first configuration is in force everywhere.
func scenario(t *testing.T, hosts, regions int, fn func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, hosts, regions)
		defer f.close()
		f.network.SetDelay(time.Millisecond)
		f.store.SetFaults(store.Faults{Delay: 2 * time.Millisecond})
		f.apply(f.hosts[0], append(template(1), config.Edit{Kind: "teams", Name: "strict", Document: []byte(`{"template":"standard","when-region-cut":"refuse"}`)},
			config.Edit{Kind: "teams", Name: "lax", Document: []byte(`{"template":"standard"}`)}))
		time.Sleep(3 * time.Second)
		fn(f)
	})
}

// Guards against a lost store answer that is taken for a refusal or leads to a second write.
func TestLostAnswerIsReadBack(t *testing.T) {
	scenario(t, 3, 1, func(f *fleet) {
		f.store.SetFaults(store.Faults{LoseResponses: true})
		if out := f.apply(f.hosts[1], template(2)); out.Sequence != 2 {
			f.t.Fatalf("sequence %d, want 2", out.Sequence)
		}
		object, _ := f.store.Get(f.ctx, config.StoreKey)
		if object.Version != 2 {
			f.t.Fatalf("the store was written %d times, want 2", object.Version)
		}
	})
}

// Guards against two operators who both believe that they won, or a loser who is not shown the other change.
func TestConflictShowsTheOtherChange(t *testing.T) {
	scenario(t, 9, 3, func(f *fleet) {
		var won, lost atomic.Int64
		for i, h := range f.hosts[:4] {
			f.group.Go(func() error {
				out, err := h.Apply(f.ctx, 1, template(i+10))
				switch {
				case err != nil:
					return err
				case out.State == configs.Accepted:
					won.Add(1)
				case out.State == configs.Conflict && out.ConflictingChange != nil && out.Sequence == 2 && len(out.ConflictingChange.Edits) == 1:
					lost.Add(1)
				default:
					f.t.Errorf("outcome %+v", out)
				}
				return nil
			})
		}
		time.Sleep(5 * time.Second)
		if won.Load() != 1 || lost.Load() != 3 {
			f.t.Fatalf("%d won and %d lost, want 1 and 3", won.Load(), lost.Load())
		}
	})
}

// Guards against an accepted change that is not in force everywhere within 4 s: with the store down right after the
// write, and with a writer that cannot tell its peers and dies.
func TestAcceptedChangeReachesEveryHost(t *testing.T) {
	for name, fault := range map[string]func(f *fleet){
		"ordinary": func(*fleet) {},
		"store down right after the write": func(f *fleet) {
			f.group.Go(func() error {
				for f.hosts[4].Sequence() < 2 {
					time.Sleep(100 * time.Microsecond)
				}
				f.store.SetFaults(store.Faults{Down: true})
				return nil
			})
		},
		"writer dies after the write": func(f *fleet) {
			f.hosts[4].mute.Store(true)
			f.group.Go(func() error {
				for f.hosts[4].Sequence() < 2 {
					time.Sleep(100 * time.Microsecond)
				}
				f.network.Leave(f.hosts[4].id)
				return nil
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			scenario(t, 9, 3, func(f *fleet) {
				fault(f)
				f.group.Go(func() error {
					_, err := f.hosts[4].Apply(f.ctx, 1, template(2))
					return err
				})
				f.until(configs.ConfirmTimeout, "sequence 2 at every host", f.allAt(2))
			})
		})
	}
}

// Guards against a host that is cut off from everything and still honours keys, an answer "accepted" that leaves it
// out, and a host that does not recover.
func TestCutOffHostIsIsolatedAndNamed(t *testing.T) {
	scenario(t, 9, 3, func(f *fleet) {
		lost := f.hosts[5]
		unreachable := &outage{Store: timedStore{f.store}}
		lost.stop()
		lost = f.add(f.newHost(lost.id, lost.region, unreachable))
		lost.run()
		f.until(4*time.Second, "the restarted host is fresh", func() bool { return lost.Fresh("lax") })
		unreachable.down.Store(true)
		f.cut(true, lost.id)
		time.Sleep(configs.FreshnessTTL + 10*time.Millisecond)
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			if lost.Fresh("lax") {
				f.t.Fatal("the host that is cut off is still fresh")
			}
			for _, h := range f.hosts[:5] {
				if !h.Fresh("strict") {
					f.t.Fatalf("%s is not fresh", h.id)
				}
			}
			if time.Until(end) < 15*time.Second {
				for _, h := range f.hosts {
					f.setDead(lost.id, h.id, h != lost)
				}
			}
		}
		out, err := f.hosts[0].Apply(f.ctx, 1, template(2))
		if err != nil || out.State != configs.Pending || strings.Join(out.Unconfirmed, " ") != lost.id {
			f.t.Fatalf("outcome %+v, error %v, want pending for %s", out, err, lost.id)
		}
		f.cut(false, lost.id)
		// Its own store stays down, so that it has to learn of the gap by a statement.
		f.until(configs.ConfirmTimeout, "sequence 2 after the cut", func() bool {
			if lost.Sequence() < 2 && lost.Fresh("lax") {
				f.t.Fatal("the host is fresh and lacks sequence 2")
			}
			return lost.Sequence() == 2
		})
		unreachable.down.Store(false)
		f.until(configs.ConfirmTimeout, "fresh after the cut", func() bool { return lost.Fresh("strict") })
	})
}

// outage is the store as seen by one host that loses it.
type outage struct {
	store.Store
	down atomic.Bool
}

func (o *outage) Watch(ctx context.Context, key string, after store.Version) (store.Object, error) {
	if o.down.Load() {
		return store.Object{}, store.ErrUnavailable
	}
	return o.Store.Watch(ctx, key, after)
}

func (o *outage) Get(ctx context.Context, key string) (store.Object, error) {
	if o.down.Load() {
		return store.Object{}, store.ErrUnavailable
	}
	return o.Store.Get(ctx, key)
}

// Guards against an outage of the store that refuses ordinary teams, or that serves a team that chose refusal;
// and against a host that starts in the outage and serves before it has a configuration, or never gets one.
func TestStoreOutage(t *testing.T) {
	scenario(t, 9, 3, func(f *fleet) {
		f.store.SetFaults(store.Faults{Down: true})
		time.Sleep(contactLost)
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			for _, h := range f.hosts {
				if !h.Fresh("lax") || h.Fresh("strict") {
					f.t.Fatalf("%s: ordinary team %v, strict team %v; want true, false", h.id, h.Fresh("lax"), h.Fresh("strict"))
				}
			}
		}
		if _, err := f.hosts[3].Apply(f.ctx, 1, template(2)); !errors.Is(err, store.ErrUnavailable) {
			f.t.Fatalf("apply in the outage: %v", err)
		}
		late := f.add(f.newHost("late", "region-0", timedStore{f.store}))
		if late.Fresh("lax") || late.Current() != nil {
			f.t.Fatal("a host without a configuration is fresh")
		}
		late.run()
		f.until(3*time.Second, "the late host serves", func() bool { return late.Sequence() == 1 && late.Fresh("lax") })
	})
}

// contactLost is FreshFor and the age that a store contact may have.
const contactLost = configs.FreshnessTTL + 2500*time.Millisecond

// Guards against keyed requests that are refused when a relay dies or freezes.
func TestRelayDeathLeavesTheOthersFresh(t *testing.T) {
	for i := range 3 {
		scenario(t, 3, 1, func(f *fleet) {
			f.hosts[i].stop()
			f.network.Leave(f.hosts[i].id)
			for range 100 {
				time.Sleep(100 * time.Millisecond)
				for j, h := range f.hosts {
					if j != i && !h.Fresh("strict") {
						f.t.Fatalf("%s is not fresh after the death of %s", h.id, f.hosts[i].id)
					}
				}
			}
		})
	}
}

// Guards against validation that writes, and against checks that depend on the sequence being ignored.
func TestValidateWritesNothing(t *testing.T) {
	scenario(t, 1, 1, func(f *fleet) {
		next, err := f.hosts[0].Validate(1, template(5))
		if err != nil || next.Sequence != 2 || f.hosts[0].Sequence() != 1 {
			f.t.Fatalf("validate: %d, %v", next.Sequence, err)
		}
		if _, err := f.hosts[0].Validate(0, template(5)); err == nil {
			f.t.Fatal("validated against another sequence")
		}
		if _, err := f.hosts[0].Apply(f.ctx, 1, template(-5)); err == nil || !strings.Contains(err.Error(), "templates/standard: rate = -5") {
			f.t.Fatalf("error %v", err)
		}
	})
}
