package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"vanillatally/core/rollout"
	"vanillatally/io/platform"
)

// Guards against a slow version that looks good at first because only its fast responses have arrived, against a request
// that counts twice, and against a lost response that counts as a failure of the version.
func TestPendingRequestCountsAsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		running := &runningRollout{
			state: rollout.NewShortRollout(
				0, rollout.ShortRolloutSpec{Service: "search", TargetVersion: "v2", Within: 12 * time.Second}, 0,
			),
			ownEvidence: rollout.Batch{},
		}
		v := &view{rollouts: map[string]*runningRollout{"search": running}}
		server := newServer(platform.BackendServer{ID: "s1", Service: "search", Version: "v2"}, true, 0)
		h := &Host{}
		total := func() (sum rollout.Counts) {
			running.mu.Lock()
			defer running.mu.Unlock()
			for _, counts := range running.ownEvidence["r"].New {
				sum = sum.Plus(counts)
			}
			return sum
		}
		slow := h.observe(v, server, "r", time.Second)
		fast := h.observe(v, server, "r", time.Second)
		fast.record(false, false)
		fast.close()
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if got, want := total(), (rollout.Counts{Requests: 2, LatencySamples: 2, Slow: 1}); got != want {
			t.Errorf("evidence while the slow request runs: %+v, want %+v", got, want)
		}
		slow.record(true, true)
		slow.close()
		if got := total(); got.Requests != 2 || got.Failed != 0 {
			t.Errorf("evidence after its response: %+v, want 2 requests without a failure", got)
		}
		if h.observe(v, newServer(platform.BackendServer{Service: "other"}, true, 0), "r", time.Second) != nil {
			t.Error("a request to a service without a rollout is observed")
		}
	})
}
