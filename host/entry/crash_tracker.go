package entry

import (
	"slices"
	"sync"
	"time"

	"vanillatally/core/quarantine"
)

const (
	// quarantineCrashes is the number of crashes in sequence after which a request is refused.
	quarantineCrashes = 2
	// crashTTL is the time for which a request is refused after its last crash. A request that crashes a server again after that
	// time is refused again at once: its history is kept for as long once more.
	crashTTL = 2 * time.Minute
	// unansweredTTL is the time for which an unanswered request may be the cause of a crash that becomes known later.
	unansweredTTL = 5 * time.Second
	// maxTrackedRequests bounds the requests with a history; beyond it the one that changed first is dropped.
	maxTrackedRequests = 512
	// maxUnansweredPerServer bounds the unanswered requests that are kept for a server; further ones are not kept.
	maxUnansweredPerServer = 64
	// crashAnnouncements is the number of messages that announce a crash to other hosts, since messages may be lost.
	crashAnnouncements = 6
)

// Crash reports that servers crashed while they ran a request.
type Crash struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	// Number is the number of crashes in sequence, at most quarantineCrashes. Earlier versions of the program send a hash of the
	// server's ID here, which counts as one crash.
	Number uint32
}

// crashTracker finds requests that crash the servers that run them. A request is a possible cause if its connection broke before
// the response was complete. The crash counts if the server, before it answered another request, refuses a connection, another
// process answers at its address, or the list names a later process.
type crashTracker struct {
	mu sync.Mutex
	// unanswered holds the requests whose connection broke within unansweredTTL and since the server's last answer, by the server's
	// address.
	unanswered map[string][]unansweredRequest
	// histories holds the crashes of at most maxTrackedRequests requests, by fingerprint.
	histories map[uint64]quarantine.History
	// announcements holds the requests whose crashes are announced to other hosts, with the number of messages left.
	announcements map[uint64]int
}

// unansweredRequest is a request whose connection broke at the end of its run.
type unansweredRequest struct {
	fingerprint uint64
	run         quarantine.Run
	// process is the server's process that got the request.
	process incarnation
}

func newCrashTracker() crashTracker {
	return crashTracker{
		unanswered: map[string][]unansweredRequest{}, histories: map[uint64]quarantine.History{}, announcements: map[uint64]int{},
	}
}

// recordUnanswered records that the connection of a request broke at the end of run, before the response was complete.
func (t *crashTracker) recordUnanswered(s *server, fingerprint uint64, run quarantine.Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.unanswered[s.Address]) < maxUnansweredPerServer {
		t.unanswered[s.Address] = append(t.unanswered[s.Address],
			unansweredRequest{fingerprint: fingerprint, run: run, process: s.incarnation})
	}
}

// hasUnanswered reports whether the server at the address left a request unanswered and has answered none since.
func (t *crashTracker) hasUnanswered(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.unanswered[address]) > 0
}

// recordGone records that the server at the address has ended, and counts a crash against each request that it left unanswered
// since its last answer. It returns the crashes that are new.
func (t *crashTracker) recordGone(now time.Duration, address string) []Crash {
	return t.countCrashes(now, address, func(unansweredRequest) bool { return true })
}

// recordProcess records that a process of a server started at the address. A crash counts against each request that an earlier
// process left unanswered since its last answer. It returns the crashes that are new.
func (t *crashTracker) recordProcess(now time.Duration, address string, process incarnation) []Crash {
	return t.countCrashes(now, address, func(r unansweredRequest) bool { return r.process != process })
}

// countCrashes counts a crash against the unanswered requests of the address for which crashed returns true.
func (t *crashTracker) countCrashes(
	now time.Duration, address string, crashed func(unansweredRequest) bool,
) (crashes []Crash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var kept []unansweredRequest
	for _, request := range t.unanswered[address] {
		switch {
		case now-request.run.Ended >= unansweredTTL:
		case !crashed(request):
			kept = append(kept, request)
		default:
			crash, isNew := t.update(request.fingerprint, func(h quarantine.History) quarantine.History {
				return h.WithRun(now, request.run)
			})
			if isNew {
				t.announcements[request.fingerprint] = crashAnnouncements
				crashes = append(crashes, crash)
			}
		}
	}
	t.setUnanswered(address, kept)
	return crashes
}

func (t *crashTracker) setUnanswered(address string, requests []unansweredRequest) {
	if len(requests) == 0 {
		delete(t.unanswered, address)
		return
	}
	t.unanswered[address] = requests
}

// update changes the history of a request, and reports whether the number of its crashes has grown. The caller holds t.mu.
func (t *crashTracker) update(
	fingerprint uint64, change func(quarantine.History) quarantine.History,
) (crash Crash, isNew bool) {
	before, known := t.histories[fingerprint]
	if !known && len(t.histories) >= maxTrackedRequests {
		t.evictOldest()
	}
	after := change(before)
	t.histories[fingerprint] = after
	return newCrash(fingerprint, after), after.Crashes() > before.Crashes()
}

func newCrash(fingerprint uint64, history quarantine.History) Crash {
	return Crash{Fingerprint: fingerprint, Number: uint32(min(history.Crashes(), quarantineCrashes))}
}

// recordAnswer records that the server at the address answered a request sent at started. The server was running at that time, so
// that the requests that it had left unanswered by then did not crash it.
func (t *crashTracker) recordAnswer(now time.Duration, address string, fingerprint uint64, started time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if history, known := t.histories[fingerprint]; known && history.Crashes() > 0 {
		t.histories[fingerprint] = history.WithAnswer(now)
		delete(t.announcements, fingerprint)
	}
	if requests := t.unanswered[address]; len(requests) > 0 {
		t.setUnanswered(address, slices.DeleteFunc(requests, func(r unansweredRequest) bool { return r.run.Ended <= started }))
	}
}

// recordReported records crashes that another host reported, and reports whether their number is new.
func (t *crashTracker) recordReported(now time.Duration, reported Crash) (crash Crash, isNew bool) {
	number := int(reported.Number)
	if number > quarantineCrashes {
		// An earlier version sent the hash of a server's ID.
		number = 1
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.update(reported.Fingerprint, func(h quarantine.History) quarantine.History { return h.WithReport(now, number) })
}

// announce adds the crashes of a request to the next announcements.
func (t *crashTracker) announce(fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.announcements) < maxTrackedRequests {
		t.announcements[fingerprint] = crashAnnouncements
	}
}

// evictOldest drops the history that changed first. The caller holds t.mu.
func (t *crashTracker) evictOldest() {
	var oldest uint64
	first := true
	for fingerprint, history := range t.histories {
		if first || history.ChangedAt() < t.histories[oldest].ChangedAt() {
			oldest, first = fingerprint, false
		}
	}
	delete(t.histories, oldest)
}

// isQuarantined reports whether the request crashed too many servers to be run again.
func (t *crashTracker) isQuarantined(now time.Duration, fingerprint uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	history, known := t.histories[fingerprint]
	return known && isInForce(now, history)
}

func isInForce(now time.Duration, history quarantine.History) bool {
	return history.Crashes() >= quarantineCrashes && now-history.ChangedAt() <= crashTTL
}

// isSuspect reports whether a server crashed while it ran the request and none has answered it since.
func (t *crashTracker) isSuspect(fingerprint uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	history, known := t.histories[fingerprint]
	return known && history.Crashes() > 0
}

// takeAnnouncements returns the crashes to announce in the next message. With refresh set, it adds quarantined requests that are
// no longer announced, for hosts that missed the announcements.
func (t *crashTracker) takeAnnouncements(now time.Duration, refresh bool) (crashes []Crash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for fingerprint, left := range t.announcements {
		if len(crashes) == maxCrashes {
			return crashes
		}
		if crash := newCrash(fingerprint, t.histories[fingerprint]); crash.Number > 0 {
			crashes = append(crashes, crash)
		}
		if left <= 1 {
			delete(t.announcements, fingerprint)
		} else {
			t.announcements[fingerprint] = left - 1
		}
	}
	if refresh {
		for _, crash := range t.inForce(now, maxCrashes-len(crashes)) {
			if !slices.Contains(crashes, crash) {
				crashes = append(crashes, crash)
			}
		}
	}
	return crashes
}

// quarantined returns the crashes of the requests that are quarantined, at most maxCrashes.
func (t *crashTracker) quarantined(now time.Duration) []Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inForce(now, maxCrashes)
}

// inForce returns the crashes of up to limit quarantined requests, in random order. The caller holds t.mu.
func (t *crashTracker) inForce(now time.Duration, limit int) (crashes []Crash) {
	for fingerprint, history := range t.histories {
		if len(crashes) == limit {
			break
		}
		if isInForce(now, history) {
			crashes = append(crashes, newCrash(fingerprint, history))
		}
	}
	return crashes
}

// maintain drops unanswered requests after unansweredTTL, and histories after twice crashTTL.
func (t *crashTracker) maintain(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, requests := range t.unanswered {
		t.setUnanswered(address, slices.DeleteFunc(requests, func(r unansweredRequest) bool {
			return now-r.run.Ended >= unansweredTTL
		}))
	}
	for fingerprint, history := range t.histories {
		if now-history.ChangedAt() > 2*crashTTL {
			delete(t.histories, fingerprint)
			delete(t.announcements, fingerprint)
		}
	}
}
