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

// withFleet runs fn in a synctest bubble with a fleet in which sequence 1 is in force at every host.
func withFleet(t *testing.T, hosts, regions int, fn func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, hosts, regions)
		defer f.close()
		f.network.SetDelay(time.Millisecond)
		f.store.SetFaults(store.Faults{Delay: 2 * time.Millisecond})
		f.mustApply(f.hosts[0], append(rateEdit(1),
			config.Edit{Kind: "teams", Name: "strict", Document: []byte(`{"template":"standard","when-region-cut":"refuse"}`)},
			config.Edit{Kind: "teams", Name: "lax", Document: []byte(`{"template":"standard"}`)}))
		time.Sleep(3 * time.Second)
		fn(f)
	})
}

// Guards against a lost response to a store write that counts as a failure, or that leads to a second write.
func TestLostAnswerIsReadBack(t *testing.T) {
	withFleet(t, 3, 1, func(f *fleet) {
		f.store.SetFaults(store.Faults{LoseResponses: true})
		if out := f.mustApply(f.hosts[1], rateEdit(2)); out.Sequence != 2 {
			f.t.Fatalf("sequence %d, want 2", out.Sequence)
		}
		object, _ := f.store.Get(f.ctx, config.StoreKey)
		if object.Version != 2 {
			f.t.Fatalf("the store was written %d times, want 2", object.Version)
		}
	})
}

// Guards against two concurrent changes that are both reported as accepted, and against a conflict that does not show the
// operator the change that was accepted.
func TestConcurrentChangesConflict(t *testing.T) {
	withFleet(t, 9, 3, func(f *fleet) {
		var accepted, conflicts atomic.Int64
		for i, h := range f.hosts[:4] {
			f.group.Go(func() error {
				out, err := h.Apply(f.ctx, 1, rateEdit(i+10))
				switch {
				case err != nil:
					return err
				case out.State == configs.Accepted:
					accepted.Add(1)
				case out.State == configs.Conflict && out.ConflictingChange != nil && out.Sequence == 2 &&
					len(out.ConflictingChange.Edits) == 1:
					conflicts.Add(1)
				default:
					f.t.Errorf("outcome %+v", out)
				}
				return nil
			})
		}
		time.Sleep(5 * time.Second)
		if accepted.Load() != 1 || conflicts.Load() != 3 {
			f.t.Fatalf("%d accepted and %d conflicts, want 1 and 3", accepted.Load(), conflicts.Load())
		}
	})
}

// Guards against an accepted change that is not in force at every host within 4 s, also when the store fails right after
// the write, and when the writer crashes before it broadcasts the change.
func TestAcceptedChangeReachesEveryHost(t *testing.T) {
	for name, fault := range map[string]func(f *fleet){
		"no fault": func(*fleet) {},
		"store fails right after the write": func(f *fleet) {
			f.group.Go(func() error {
				for f.hosts[4].Sequence() < 2 {
					time.Sleep(100 * time.Microsecond)
				}
				f.store.SetFaults(store.Faults{Down: true})
				return nil
			})
		},
		"writer crashes right after the write": func(f *fleet) {
			f.hosts[4].muted.Store(true)
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
			withFleet(t, 9, 3, func(f *fleet) {
				fault(f)
				f.group.Go(func() error {
					_, err := f.hosts[4].Apply(f.ctx, 1, rateEdit(2))
					return err
				})
				f.eventually(configs.ConfirmTimeout, "sequence 2 at every host", f.allAt(2))
			})
		})
	}
}

// Guards against a host without a connection to the store and its peers that still serves requests with API keys, against
// an outcome that omits such a host from the unconfirmed ones, and against a host that does not recover afterwards.
func TestPartitionedHostIsNotFresh(t *testing.T) {
	withFleet(t, 9, 3, func(f *fleet) {
		partitioned := f.hosts[5]
		hostStore := &unreachableStore{Store: timedStore{f.store}}
		partitioned.stop()
		partitioned = f.add(f.newHost(partitioned.id, partitioned.region, hostStore))
		partitioned.run()
		f.eventually(4*time.Second, "the restarted host is fresh", func() bool { return partitioned.Fresh("lax") })
		hostStore.down.Store(true)
		f.partition(true, partitioned.id)
		time.Sleep(configs.FreshnessTTL + 10*time.Millisecond)
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			if partitioned.Fresh("lax") {
				f.t.Fatal("the partitioned host is still fresh")
			}
			for _, h := range f.hosts[:5] {
				if !h.Fresh("strict") {
					f.t.Fatalf("%s is not fresh", h.id)
				}
			}
			if time.Until(end) < 15*time.Second {
				for _, h := range f.hosts {
					f.setDead(partitioned.id, h.id, h != partitioned)
				}
			}
		}
		out, err := f.hosts[0].Apply(f.ctx, 1, rateEdit(2))
		if err != nil || out.State != configs.Pending || strings.Join(out.Unconfirmed, " ") != partitioned.id {
			f.t.Fatalf("outcome %+v, error %v, want pending for %s", out, err, partitioned.id)
		}
		f.partition(false, partitioned.id)
		// The host cannot reach the store yet, so a freshness statement has to make it pull the change.
		f.eventually(configs.ConfirmTimeout, "sequence 2 after the partition", func() bool {
			if partitioned.Sequence() < 2 && partitioned.Fresh("lax") {
				f.t.Fatal("the host is fresh without sequence 2")
			}
			return partitioned.Sequence() == 2
		})
		hostStore.down.Store(false)
		f.eventually(configs.ConfirmTimeout, "fresh after the partition", func() bool { return partitioned.Fresh("strict") })
	})
}

// unreachableStore is a store that one host cannot reach while down is set.
type unreachableStore struct {
	store.Store
	down atomic.Bool
}

func (o *unreachableStore) Watch(ctx context.Context, key string, after store.Version) (store.Object, error) {
	if o.down.Load() {
		return store.Object{}, store.ErrUnavailable
	}
	return o.Store.Watch(ctx, key, after)
}

func (o *unreachableStore) Get(ctx context.Context, key string) (store.Object, error) {
	if o.down.Load() {
		return store.Object{}, store.ErrUnavailable
	}
	return o.Store.Get(ctx, key)
}

// Guards against a store outage during which ordinary teams are refused, or a team with when-region-cut = "refuse" is
// served. Also guards against a host that starts during the outage and is fresh without a configuration, or never gets one.
func TestStoreOutage(t *testing.T) {
	withFleet(t, 9, 3, func(f *fleet) {
		f.store.SetFaults(store.Faults{Down: true})
		time.Sleep(storeContactLost)
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			for _, h := range f.hosts {
				if !h.Fresh("lax") || h.Fresh("strict") {
					f.t.Fatalf("%s: fresh for the lax team %v, for the strict team %v; want true, false",
						h.id, h.Fresh("lax"), h.Fresh("strict"))
				}
			}
		}
		if _, err := f.hosts[3].Apply(f.ctx, 1, rateEdit(2)); !errors.Is(err, store.ErrUnavailable) {
			f.t.Fatalf("apply during the outage: %v", err)
		}
		newHost := f.add(f.newHost("late", "region-0", timedStore{f.store}))
		if newHost.Fresh("lax") || newHost.Current() != nil {
			f.t.Fatal("a host without a configuration is fresh")
		}
		newHost.run()
		f.eventually(3*time.Second, "the new host is fresh", func() bool { return newHost.Sequence() == 1 && newHost.Fresh("lax") })
	})
}

// storeContactLost is FreshnessTTL, the longest age of a store contact and some slack.
const storeContactLost = configs.FreshnessTTL + 2500*time.Millisecond

// Guards against hosts that stop serving requests with API keys when a relay crashes.
func TestRelayFailureKeepsOtherHostsFresh(t *testing.T) {
	for i := range 3 {
		withFleet(t, 3, 1, func(f *fleet) {
			f.hosts[i].stop()
			f.network.Leave(f.hosts[i].id)
			for range 100 {
				time.Sleep(100 * time.Millisecond)
				for j, h := range f.hosts {
					if j != i && !h.Fresh("strict") {
						f.t.Fatalf("%s is not fresh after %s crashed", h.id, f.hosts[i].id)
					}
				}
			}
		})
	}
}

// Guards against a validation that changes the configuration, or that ignores the expected sequence.
func TestValidateWritesNothing(t *testing.T) {
	withFleet(t, 1, 1, func(f *fleet) {
		next, err := f.hosts[0].Validate(1, rateEdit(5))
		if err != nil || next.Sequence != 2 || f.hosts[0].Sequence() != 1 {
			f.t.Fatalf("validate: %d, %v", next.Sequence, err)
		}
		if _, err := f.hosts[0].Validate(0, rateEdit(5)); err == nil {
			f.t.Fatal("edits for another sequence were valid")
		}
		if _, err := f.hosts[0].Apply(f.ctx, 1, rateEdit(-5)); err == nil ||
			!strings.Contains(err.Error(), "templates/standard: rate = -5") {
			f.t.Fatalf("error %v", err)
		}
	})
}
