package entry

import (
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"vanillatally/core/config"
	"vanillatally/io/platform"
)

// Guards against requests that arrive together and are all sent to a cold server before the first one is counted.
func TestRequestsTogetherKeepToColdRate(t *testing.T) {
	cold := newBackend(t, answerOK)
	h := newTestHost(t, cold)
	next := *h.configuration
	next.Sequence, next.Services = 2, map[string]config.Service{"search": {ColdRate: 0.1, ColdFor: config.Duration(time.Minute)}}
	team, unlimited := next.Teams["red"], 0.0
	team.Rate = &unlimited
	next.Teams = map[string]config.Team{"red": team}
	next = next.WithIndex()
	h.SetConfiguration(&next)
	listed := h.listedServer("server-a").BackendServer
	listed.ColdFor = time.Minute
	h.SetServers([]platform.BackendServer{listed})
	const rounds = 200
	s := h.listedServer("server-a")
	for range rounds {
		s.mu.Lock()
		s.nextColdRequestAt = 0
		s.mu.Unlock()
		var group errgroup.Group
		for range 16 {
			group.Go(func() error { serve(h, "/write/1", "red-key"); return nil })
		}
		if err := group.Wait(); err != nil {
			t.Fatal(err)
		}
	}
	if got := cold.requests(); got != rounds {
		t.Errorf("the cold server got %d requests, want one in each of %d rounds", got, rounds)
	}
}

// Guards against the load report of another server that has taken over the address.
func TestLoadOfAnotherServerIsIgnored(t *testing.T) {
	b := newBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Load", "30,30,4")
		w.Header().Set("Limit", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	})
	h := newTestHost(t, b)
	serve(h, "/write/1", "red-key")
	s := h.listedServer("server-a")
	s.mu.Lock()
	outstanding := s.outstanding(h.now())
	s.mu.Unlock()
	if b.requests() != 1 || outstanding != 0 || statedLimit(h) != 0 {
		t.Errorf("after %d requests the load is %v and the limit %v, want none", b.requests(), outstanding, statedLimit(h))
	}
	close(h.stopping)
	_ = h.probes.Wait()
}
