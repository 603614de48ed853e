package entry

import (
	"context"
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"vanillatally/core/config"
	"vanillatally/core/era"
	"vanillatally/core/rollout"
	"vanillatally/io/events"
	"vanillatally/io/platform"
	"vanillatally/io/settings"
)

// newRestoreHost returns a host with a configuration of sequence 5 and the servers a and b.
func newRestoreHost(t *testing.T, recorder RolloutRecorder) *Host {
	t.Helper()
	s := settings.DefaultEntryHost()
	s.Host, s.Region, s.FailureDomain, s.Regions = "host-1", "north", "north-a", map[string]string{"north-a": "north"}
	h := New(Options{Settings: s, Log: events.NewLog(io.Discard, 0, "host-1"), RolloutRecorder: recorder})
	h.SetConfiguration(configurationWithSequence(5))
	h.SetServers([]platform.BackendServer{restoredServer("a", 1), restoredServer("b", 1)})
	return h
}

func configurationWithSequence(n uint64) *config.Configuration {
	c := config.Configuration{Sequence: n, Services: map[string]config.Service{"search": {}}}.WithIndex()
	return &c
}

// restoredServer returns the entry of a server whose process started at the given time.
func restoredServer(id string, started int64) platform.BackendServer {
	return platform.BackendServer{
		ID: id, Service: "search", Region: "north", FailureDomain: "north-a", Address: "10.0.0.1:80", Slots: 1, Started: started,
	}
}

func leavingServer(id string, started int64) platform.BackendServer {
	s := restoredServer(id, started)
	s.Leaving = true
	return s
}

// usable returns the servers that get requests.
func (h *Host) usable() (ids []string) {
	for _, s := range h.view.Load().services["search"] {
		ids = append(ids, s.ID)
	}
	return ids
}

func expectUsable(t *testing.T, h *Host, when string, want ...string) {
	t.Helper()
	if got := h.usable(); !slices.Equal(got, want) {
		t.Errorf("%s: servers %v get requests, want %v", when, got, want)
	}
}

// passRestoreHold lets the time of the hold pass.
func (h *Host) passRestoreHold() {
	h.start = h.start.Add(-restoreHold)
	h.endRestoreHolds()
	h.expireUnlisted()
}

// Guards against a configuration that goes back with the store, so that a revoked key works again.
func TestRestoreKeepsConfiguration(t *testing.T) {
	h := newRestoreHost(t, nil)
	h.StoreRestored(2)
	h.SetConfiguration(configurationWithSequence(3))
	h.passRestoreHold()
	h.SetConfiguration(configurationWithSequence(4))
	if got := h.view.Load().configuration.Sequence; got != 5 {
		t.Errorf("configuration %d is in force after a restore, want 5", got)
	}
	h.SetConfiguration(configurationWithSequence(6))
	if got := h.view.Load().configuration.Sequence; got != 6 {
		t.Errorf("configuration %d is in force after the operator wrote again, want 6", got)
	}
}

// Guards against an evacuated failure domain that gets requests because the restored store lacks the evacuation, against one that
// stays evacuated for ever, and against an end of an evacuation that the operator wrote after the restore and that is ignored.
func TestRestoreKeepsEvacuations(t *testing.T) {
	h := newRestoreHost(t, nil)
	expect := func(when string, want bool) {
		t.Helper()
		if got := h.view.Load().evacuated["north-a"]; got != want {
			t.Errorf("%s: evacuated %v, want %v", when, got, want)
		}
	}
	h.SetEvacuations([]string{"north-a"})
	h.StoreRestored(2)
	h.SetEvacuations(nil)
	expect("after the restore", true)
	h.start = h.start.Add(-restoreHold / 2)
	h.endRestoreHolds()
	h.SetEvacuations([]string{"south-a"})
	expect("while the hold lasts", true)
	h.StoreRestored(3)
	h.SetEvacuations(nil)
	h.start = h.start.Add(-restoreHold * 3 / 4)
	h.endRestoreHolds()
	expect("after a second restore within the hold", true)
	h.passRestoreHold()
	expect("after the hold", false)

	h.SetEvacuations([]string{"north-a"})
	h.StoreRestored(4)
	h.SetEvacuations(nil)
	h.SetEvacuations([]string{"north-a"})
	expect("after the operator wrote it again", true)
	h.SetEvacuations(nil)
	expect("after the operator ended it", false)

	h.SetEvacuations([]string{"north-a"})
	h.StoreRestored(5)
	h.passRestoreHold()
	expect("after the hold while the store cannot be listed", true)
	h.SetEvacuations(nil)
	expect("when the store can be listed again", true)
	h.passRestoreHold()
	expect("at the end", false)
}

// Guards against requests to servers that were leaving, removed or replaced by a later process before the restore, and against
// servers that are kept out although they were written again.
func TestRestoreKeepsServersOut(t *testing.T) {
	before := []platform.BackendServer{restoredServer("a", 1), restoredServer("b", 1), restoredServer("c", 1), restoredServer("d", 1)}
	for _, c := range []struct {
		name string
		// written are the servers in the store after the copy.
		written []platform.BackendServer
		// usable are those that get requests then, and usableLater those after the hold.
		usable, usableLater []string
	}{
		{"nothing is written again", before, []string{"a", "d"}, []string{"a", "b", "c", "d"}},
		{
			"all is written again",
			[]platform.BackendServer{restoredServer("a", 1), leavingServer("b", 1), restoredServer("d", 2)},
			[]string{"a", "d"},
			[]string{"a", "d"},
		},
		{
			"other processes",
			[]platform.BackendServer{restoredServer("a", 1), restoredServer("b", 2), restoredServer("c", 2)},
			// The list lacks d, which is kept for the grace period.
			[]string{"a", "b", "c", "d"},
			[]string{"a", "b", "c"},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newRestoreHost(t, nil)
			h.SetServers(before)
			h.SetServers([]platform.BackendServer{restoredServer("a", 1), leavingServer("b", 1), restoredServer("d", 2)})
			expectUsable(t, h, "before the restore", "a", "d")
			h.StoreRestored(2)
			h.SetServers(before)
			expectUsable(t, h, "after the restore", "a", "d")
			if got := h.servers["d"].Started; got != 2 {
				t.Errorf("the process of d that started at %d replaced a later one", got)
			}
			h.SetServers(c.written)
			expectUsable(t, h, "after the servers wrote again", c.usable...)
			h.passRestoreHold()
			expectUsable(t, h, "after the hold", c.usableLater...)
		})
	}
}

// Guards against servers without an entry in the copy that get no requests before they could write it again, and against servers
// that are kept for ever.
func TestRestoreKeepsMissingServers(t *testing.T) {
	h := newRestoreHost(t, nil)
	h.StoreRestored(2)
	// Another kind of objects was listed first.
	h.start = h.start.Add(-lapsedServerGrace)
	h.SetServers([]platform.BackendServer{restoredServer("a", 1)})
	h.start = h.start.Add(-2 * time.Second)
	h.expireUnlisted()
	expectUsable(t, h, "2 s after the list", "a", "b")
	h.start = h.start.Add(-lapsedServerGrace)
	h.expireUnlisted()
	expectUsable(t, h, "at the end of the grace period", "a")
}

// fakeRecorder records the phases that a host writes.
type fakeRecorder struct{ phases []rollout.Phase }

func (r *fakeRecorder) Record(_ context.Context, _ rollout.ShortRolloutSpec, phase rollout.Phase) (rollout.Phase, error) {
	r.phases = append(r.phases, phase)
	return phase, nil
}

// Guards against a reverted version that gets requests again because the restored store lacks the order or its recorded phase,
// against a phase that is not written again, and against an order of after the restore that is ignored.
func TestRestoreKeepsRollouts(t *testing.T) {
	order := func(target string, revision uint64, recorded rollout.Phase) rollout.ShortRolloutSpec {
		return rollout.ShortRolloutSpec{
			Service: "search", TargetVersion: target, Within: 12 * time.Second, Revision: revision, RecordedPhase: recorded,
		}
	}
	reverted, proving := order("v2", 20, rollout.Reverted), order("v2", 20, rollout.Proving)
	older, next := order("v1", 11, rollout.Finished), order("v3", 15, "")
	for _, c := range []struct {
		name string
		// before is in force at the restore, copied the restored list, written the list after it.
		before, copied, written []rollout.ShortRolloutSpec
		// target is the target afterwards, and targetLater the one after the hold; "" is none.
		target, targetLater string
		recorded            bool
	}{
		{"phase lost", list(reverted), list(proving), list(proving), "v2", "v2", true},
		{"order lost", list(reverted), nil, nil, "v2", "", false},
		{"order lost and written again", list(reverted), nil, list(order("v2", 14, "")), "v2", "v2", true},
		{"order lost and another one written", list(reverted), nil, list(next), "v3", "v3", true},
		{"older order in the copy", list(reverted), list(older), list(older), "v2", "v1", false},
		{"older order replaced", list(reverted), list(older), list(next), "v3", "v3", true},
		{"removed order in the copy", nil, list(proving), list(proving), "v2", "v2", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			recorder := &fakeRecorder{}
			h := newRestoreHost(t, recorder)
			h.SetRollouts(list(reverted))
			h.SetRollouts(c.before)
			h.StoreRestored(2)
			expect := func(when, want string) {
				t.Helper()
				got := ""
				running := h.view.Load().rollouts["search"]
				if running != nil {
					got = running.state.Spec.TargetVersion
				}
				if got != want || got == "v2" && running.state.Phase != rollout.Reverted {
					t.Errorf("%s: the rollout is to %q, want %q, and one to v2 is reverted", when, got, want)
				}
			}
			h.SetRollouts(c.copied)
			expect("after the restore", "v2")
			h.SetRollouts(c.written)
			expect("after the next list", c.target)
			if running := h.view.Load().rollouts["search"]; running != nil {
				h.judge(t.Context(), running)
			}
			if got := len(recorder.phases) == 1; got != c.recorded {
				t.Errorf("recorded the phases %v", recorder.phases)
			}
			h.passRestoreHold()
			expect("after the hold", c.targetLater)
		})
	}
}

func list(specs ...rollout.ShortRolloutSpec) []rollout.ShortRolloutSpec { return specs }

// Guards against a host that counts as outdated by a higher revision of before a restore, or whose objects of before the restore
// are not listed again because of it.
func TestStalenessComparesErasFirst(t *testing.T) {
	position := func(e era.Era, revision uint64) era.Position { return era.Position{Era: e, Revision: revision} }
	for _, c := range []struct {
		own, other era.Position
		stale      bool
	}{
		{position(0, 20), position(0, 21), true},
		{position(0, 21), position(0, 20), false},
		{position(1, 900), position(2, 20), true},
		{position(2, 20), position(1, 900), false},
		{position(2, 20), position(0, 900), false},
	} {
		h := &Host{stalenessDetector: newStalenessDetector(), log: events.NewLog(io.Discard, 0, "host-1")}
		h.stalenessDetector.setDigest(Evacuations, 5, c.own.Packed())
		h.stalenessDetector.comparePeer(time.Second, "host-2", Digests{Evacuations: 6}, Revisions{Evacuations: c.other.Packed()})
		if got := len(h.stalenessDetector.takeStale(time.Minute, staleGrace)) == 1; got != c.stale {
			t.Errorf("own position %+v, other one %+v: stale %v, want %v", c.own, c.other, got, c.stale)
		}
	}
}

// Guards against a record of removed servers that grows without bound.
func TestRemovalsAreBounded(t *testing.T) {
	var removed removals[int]
	for i := range 2 * maxRemovals {
		removed.add(0, fmt.Sprint(i), i)
	}
	if got := len(removed.entries); got != maxRemovals {
		t.Errorf("%d removals are remembered, want maxRemovals", got)
	}
	removed.add(removalTTL+1, "x", 0)
	if got := len(removed.entries); got != 1 {
		t.Errorf("%d removals are remembered after removalTTL, want 1", got)
	}
}

// Guards against a removal of long ago that a restore brings back into force, because no other removal followed it.
func TestOldRemovalsAreForgotten(t *testing.T) {
	h := newRestoreHost(t, nil)
	old := h.now() - 2*removalTTL
	h.restore.removedServers.add(old, "c", processOf(restoredServer("c", 1)))
	h.restore.removedRollouts.add(old, "search", &runningRollout{})
	h.restore.removedServers.add(h.now()-removalTTL/2, "d", processOf(restoredServer("d", 1)))
	h.StoreRestored(1)
	if gone := h.restore.gone; len(gone) != 1 || gone["d"] == (serverProcess{}) {
		t.Errorf("gone servers %v, want the one that was removed recently", gone)
	}
	if rollouts := h.restore.removedRollouts.entries; len(rollouts) != 0 {
		t.Errorf("removed rollouts %v, want none", rollouts)
	}
}
