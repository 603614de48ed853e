package entry

import (
	"net/http"
	"testing"
	"time"

	"vanillatally/core/config"
)

func newCrashTracker() *crashTracker {
	return &crashTracker{
		unanswered: map[uint32][]unansweredRequest{}, crashedServers: map[uint64]map[uint32]time.Duration{},
		announcements: map[Crash]int{},
	}
}

// Guards against a request that crashes one server after the other. Also guards against refusing a request that only lost
// its response, ran at a server while another request crashed it, or succeeded since.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	const crashing, concurrent = 1, 2
	tracker := newCrashTracker()
	crash := func(now time.Duration, server string, fingerprints ...uint64) {
		for _, fingerprint := range fingerprints {
			tracker.recordUnanswered(now, server, fingerprint)
		}
		tracker.recordDown(now+100*time.Millisecond, server)
	}
	tracker.recordUnanswered(0, "a", concurrent)
	tracker.recordAnswer("a", 9, time.Second)
	tracker.recordDown(2*time.Second, "a")
	if tracker.isQuarantined(2*time.Second, concurrent) || len(tracker.crashedServers) != 0 {
		t.Error("a lost response counts as a crash")
	}
	crash(3*time.Second, "a", crashing, concurrent)
	if tracker.isQuarantined(4*time.Second, crashing) {
		t.Error("the request is refused after one crash")
	}
	tracker.recordAnswer("b", concurrent, 4*time.Second)
	crash(5*time.Second, "b", crashing, concurrent)
	if !tracker.isQuarantined(6*time.Second, crashing) || tracker.isQuarantined(6*time.Second, concurrent) {
		t.Errorf("crashing request refused: %v, want true; concurrent request refused: %v, want false",
			tracker.isQuarantined(6*time.Second, crashing), tracker.isQuarantined(6*time.Second, concurrent))
	}
	other := newCrashTracker()
	for _, announced := range tracker.takeAnnouncements() {
		other.recordReported(7*time.Second, announced)
	}
	if !other.isQuarantined(8*time.Second, crashing) {
		t.Error("a host that got the announcements does not refuse the request")
	}
	if tracker.isQuarantined(5*time.Second+2*crashTTL, crashing) {
		t.Error("the request is still refused after crashTTL")
	}
}

// Guards against memory that grows with the number of crashing requests.
func TestCrashTrackerIsBounded(t *testing.T) {
	tracker := newCrashTracker()
	for i := range uint64(3 * maxTrackedRequests) {
		tracker.recordReported(time.Duration(i), Crash{Fingerprint: i + 1, Server: 1})
	}
	if len(tracker.crashedServers) > maxTrackedRequests {
		t.Errorf("%d requests are tracked, want at most %d", len(tracker.crashedServers), maxTrackedRequests)
	}
}

// Guards against a request that runs outside the home regions of its route or team.
func TestRequestStaysWithinHomes(t *testing.T) {
	b := newBackend(t, answerOK)
	h := newTestHost(t, b)
	for _, c := range []struct {
		route, team []string
		status      int
	}{
		{nil, nil, http.StatusOK},
		{[]string{"north"}, []string{"north", "south"}, http.StatusOK},
		{[]string{"south"}, nil, http.StatusServiceUnavailable},
		{nil, []string{"south"}, http.StatusServiceUnavailable},
		{[]string{"north"}, []string{"south"}, http.StatusServiceUnavailable},
	} {
		next := *h.configuration
		next.Sequence++
		route, team := next.Routes["read"], next.Teams["red"]
		route.Homes, team.Homes = c.route, c.team
		next.Routes, next.Teams = map[string]config.Route{"read": route}, map[string]config.Team{"red": team}
		next = next.WithIndex()
		h.SetConfiguration(&next)
		if got := serve(h, "/read/1", "red-key"); got.Code != c.status {
			t.Errorf("route home %v, team home %v: status %d, want %d", c.route, c.team, got.Code, c.status)
		}
	}
}
