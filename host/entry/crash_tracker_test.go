package entry

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"vanillatally/core/config"
	"vanillatally/core/quarantine"
	"vanillatally/io/platform"
)

// Guards against a request that crashes one server after the other. Also guards against refusing a request that only lost
// its response, ran at a server while another request crashed it, or succeeded since.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	const crashing, concurrent = 1, 2
	tracker := newCrashTracker()
	unanswered := func(ended time.Duration, address string, fingerprints ...uint64) {
		for _, fingerprint := range fingerprints {
			run := quarantine.Run{Started: ended - 500*time.Millisecond, Ended: ended}
			tracker.recordUnanswered(serverAt(address), fingerprint, run)
		}
	}
	crash := func(ended time.Duration, address string, fingerprints ...uint64) {
		unanswered(ended, address, fingerprints...)
		tracker.recordGone(ended+100*time.Millisecond, address)
	}
	unanswered(0, "a", concurrent)
	tracker.recordAnswer(time.Second, "a", 9, time.Second)
	tracker.recordGone(2*time.Second, "a")
	if tracker.isQuarantined(2*time.Second, concurrent) || len(tracker.histories) != 0 {
		t.Error("a lost response counts as a crash")
	}
	crash(3*time.Second, "a", crashing, concurrent)
	if tracker.isQuarantined(4*time.Second, crashing) || !tracker.isSuspect(crashing) {
		t.Error("the request is refused after one crash, or not suspected")
	}
	tracker.recordAnswer(4*time.Second, "b", concurrent, 3500*time.Millisecond)
	crash(5*time.Second, "b", crashing, concurrent)
	if !tracker.isQuarantined(6*time.Second, crashing) || tracker.isQuarantined(6*time.Second, concurrent) {
		t.Errorf("crashing request refused: %v, want true; concurrent request refused: %v, want false",
			tracker.isQuarantined(6*time.Second, crashing), tracker.isQuarantined(6*time.Second, concurrent))
	}
	other := newCrashTracker()
	for _, announced := range tracker.takeAnnouncements(6*time.Second, false) {
		other.recordReported(7*time.Second, announced)
	}
	if !other.isQuarantined(8*time.Second, crashing) || other.isQuarantined(8*time.Second, concurrent) {
		t.Error("a host that got the announcements does not refuse the request, or refuses the concurrent one")
	}
	expired := 5*time.Second + 2*crashTTL
	if tracker.isQuarantined(expired, crashing) {
		t.Error("the request is still refused after crashTTL")
	}
	crash(expired, "c", crashing)
	if !tracker.isQuarantined(expired+time.Second, crashing) {
		t.Error("the request is not refused after it crashed a server again")
	}
}

// Guards against a quarantine of innocent requests that were running at several servers when these crashed at once.
func TestRequestsAtServersThatCrashTogetherAreNotQuarantined(t *testing.T) {
	trackers := []*crashTracker{new(crashTracker), new(crashTracker)}
	for _, tracker := range trackers {
		*tracker = newCrashTracker()
	}
	for i, address := range []string{"a", "b", "c", "d"} {
		run := quarantine.Run{Started: time.Duration(i) * time.Millisecond, Ended: time.Second}
		trackers[i%2].recordUnanswered(serverAt(address), 1, run)
	}
	now := time.Second + 50*time.Millisecond
	for _, address := range []string{"a", "b", "c", "d"} {
		for _, tracker := range trackers {
			tracker.recordGone(now, address)
		}
	}
	for i, tracker := range trackers {
		for _, announced := range tracker.takeAnnouncements(now, false) {
			trackers[1-i].recordReported(now, announced)
		}
	}
	for _, tracker := range trackers {
		if tracker.isQuarantined(now, 1) {
			t.Error("the request is refused")
		}
	}
}

// Guards against a crash that goes unnoticed because the server's next process runs before anybody connects, and against crashes
// counted for a server whose entry only disappeared from the list for a while, or that answered another request before its crash.
func TestNewProcessIsEvidenceOfACrash(t *testing.T) {
	process := func(started int64) incarnation { return incarnation{server: 1, started: started} }
	for _, c := range []struct {
		name string
		next incarnation
		// answered is set if a server at the address answers a request before the list changes.
		answered bool
		listed   time.Duration
		want     int
	}{
		{"same process", process(1), false, time.Second, 0},
		{"next process", process(2), false, time.Second, 1},
		{"next process after an answer", process(2), true, time.Second, 0},
		{"other server at the address", incarnation{server: 2, started: 1}, false, time.Second, 1},
		{"next process much later", process(2), false, unansweredTTL, 0},
	} {
		tracker := newCrashTracker()
		s := serverAt("a")
		s.incarnation = process(1)
		tracker.recordUnanswered(s, 1, quarantine.Run{})
		if c.answered {
			tracker.recordAnswer(c.listed/2, "a", 2, c.listed/2)
		}
		if got := len(tracker.recordProcess(c.listed, "a", c.next)); got != c.want {
			t.Errorf("%s: %d crashes, want %d", c.name, got, c.want)
		}
	}
}

// serverAt returns a server with the address.
func serverAt(address string) *server {
	return newServer(platform.BackendServer{ID: "server-" + address, Address: address}, true, 0)
}

// Guards against memory that grows with the number of crashing requests, or with requests that stay unanswered.
func TestCrashTrackerIsBounded(t *testing.T) {
	tracker := newCrashTracker()
	for i := range uint64(3 * maxTrackedRequests) {
		tracker.recordReported(time.Duration(i), Crash{Fingerprint: i + 1, Number: 1})
		tracker.recordUnanswered(serverAt("a"), i, quarantine.Run{})
		tracker.recordUnanswered(serverAt(fmt.Sprint("address-", i)), i, quarantine.Run{})
	}
	if len(tracker.histories) > maxTrackedRequests {
		t.Errorf("%d requests are tracked, want at most %d", len(tracker.histories), maxTrackedRequests)
	}
	if got := len(tracker.unanswered["a"]); got > maxUnansweredPerServer {
		t.Errorf("%d unanswered requests of one server, want at most %d", got, maxUnansweredPerServer)
	}
	tracker.maintain(unansweredTTL)
	if len(tracker.unanswered) > 0 {
		t.Errorf("unanswered requests of %d servers are kept after unansweredTTL", len(tracker.unanswered))
	}
	tracker.maintain(3 * crashTTL)
	if len(tracker.histories) > 0 {
		t.Errorf("%d requests are tracked long after their last crash", len(tracker.histories))
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
