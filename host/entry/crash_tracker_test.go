package entry

import (
	"net/http"
	"testing"
	"time"

	"vanillatally/core/config"
)

func newSuspects() *crashTracker {
	return &crashTracker{
		unanswered: map[uint32][]unansweredRequest{}, crashedServers: map[uint64]map[uint32]time.Duration{},
		announcements: map[Crash]int{},
	}
}

// Guards against a request that crashes one server after the other. Also guards against refusing a request that only lost
// its response, ran at a server while another request crashed it, or succeeded since.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	const crashing, bystander = 1, 2
	s := newSuspects()
	crash := func(now time.Duration, server string, fingerprints ...uint64) {
		for _, fingerprint := range fingerprints {
			s.recordUnanswered(now, server, fingerprint)
		}
		s.recordDown(now+100*time.Millisecond, server)
	}
	s.recordUnanswered(0, "a", bystander)
	s.recordAnswer("a", 9, time.Second)
	s.recordDown(2*time.Second, "a")
	if s.isQuarantined(2*time.Second, bystander) || len(s.crashedServers) != 0 {
		t.Error("a lost response counts as a crash")
	}
	crash(3*time.Second, "a", crashing, bystander)
	if s.isQuarantined(4*time.Second, crashing) {
		t.Error("the request is refused after one crash")
	}
	s.recordAnswer("b", bystander, 4*time.Second)
	crash(5*time.Second, "b", crashing, bystander)
	if !s.isQuarantined(6*time.Second, crashing) || s.isQuarantined(6*time.Second, bystander) {
		t.Errorf("crashing request refused: %v, want true; other request refused: %v, want false",
			s.isQuarantined(6*time.Second, crashing), s.isQuarantined(6*time.Second, bystander))
	}
	other := newSuspects()
	for _, news := range s.takeAnnouncements() {
		other.recordReported(7*time.Second, news)
	}
	if !other.isQuarantined(8*time.Second, crashing) {
		t.Error("a host that got the announcements does not refuse the request")
	}
	if s.isQuarantined(5*time.Second+2*crashTTL, crashing) {
		t.Error("the request is still refused after crashTTL")
	}
}

// Guards against memory that grows with the number of crashing requests.
func TestCrashTrackerIsBounded(t *testing.T) {
	s := newSuspects()
	for i := range uint64(3 * maxTrackedRequests) {
		s.recordReported(time.Duration(i), Crash{Fingerprint: i + 1, Server: 1})
	}
	if len(s.crashedServers) > maxTrackedRequests {
		t.Errorf("%d requests are tracked, want at most %d", len(s.crashedServers), maxTrackedRequests)
	}
}

// Guards against a request that runs outside the home regions of its route or team.
func TestRequestStaysInHomeRegions(t *testing.T) {
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
		route.HomeRegions, team.HomeRegions = c.route, c.team
		next.Routes, next.Teams = map[string]config.Route{"read": route}, map[string]config.Team{"red": team}
		next = next.WithIndex()
		h.SetConfiguration(&next)
		if got := serve(h, "/read/1", "red-key"); got.Code != c.status {
			t.Errorf("route home %v, team home %v: status %d, want %d", c.route, c.team, got.Code, c.status)
		}
	}
}
