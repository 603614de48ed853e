package entry

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"vanillatally/io/platform"
)

// eventually waits for a condition that another goroutine brings about.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("not within 10 s: ", what)
		}
	}
}

// newCrashingBackend returns a backend server that ends, with its listener, when it gets a request.
func newCrashingBackend(t *testing.T) *backend {
	var b *backend
	b = newBackend(t, func(http.ResponseWriter, *http.Request) {
		_ = b.Listener.Close()
		panic(http.ErrAbortHandler)
	})
	return b
}

// Guards against a request that crashes one server after the other because no other request goes to a crashed server and finds
// it down (review/1).
func TestCrashingRequestIsQuarantinedWithoutOtherRequests(t *testing.T) {
	for _, path := range []string{"/read/1", "/write/1"} {
		backends := []*backend{newCrashingBackend(t), newCrashingBackend(t), newCrashingBackend(t), newCrashingBackend(t)}
		h := newTestHost(t, backends...)
		arrivals := func() (n int) {
			for _, b := range backends {
				n += b.requests()
			}
			return n
		}
		for arrivals() < quarantineCrashes {
			if got := serve(h, path, "red-key"); got.Code != http.StatusBadGateway {
				t.Errorf("%s: status %d of a request that crashed a server, want 502", path, got.Code)
			}
			eventually(t, "the crash counts", func() bool {
				h.crashTracker.mu.Lock()
				defer h.crashTracker.mu.Unlock()
				for _, history := range h.crashTracker.histories {
					return history.Crashes() == arrivals()
				}
				return false
			})
		}
		if got := serve(h, path, "red-key"); got.Code != http.StatusServiceUnavailable || arrivals() != quarantineCrashes {
			t.Errorf("%s: status %d, %d servers crashed, want 503 and %d", path, got.Code, arrivals(), quarantineCrashes)
		}
		close(h.stopping)
		_ = h.probes.Wait()
	}
}

// Guards against a request that goes on to another server although it crashed one before.
func TestSuspectRequestIsNotSentToAnotherServer(t *testing.T) {
	first, second := newBackend(t, abortConnection), newBackend(t, abortConnection)
	h := newTestHost(t, first, second)
	r, _ := http.NewRequest(http.MethodPost, "/read/1", http.NoBody)
	r.RequestURI, r.Host = "/read/1", "example.com"
	team, _ := h.view.Load().configuration.TeamByAPIKey("red-key")
	fingerprint := (&exchange{host: h, r: r, team: team, body: bufferedBody{chunks: [][]byte{[]byte("body")}, length: 4}}).computeFingerprint()
	h.crashTracker.recordReported(h.now(), Crash{Fingerprint: fingerprint, Number: 1})
	if got := serve(h, "/read/1", "red-key"); got.Code != http.StatusBadGateway || first.requests()+second.requests() != 1 {
		t.Errorf("status %d after %d requests, want 502 after 1", got.Code, first.requests()+second.requests())
	}
	close(h.stopping)
	_ = h.probes.Wait()
}

// Guards against a quarantine of requests that lost their connection for another reason than a crash: the server runs on, is
// leaving, or has left the list. Also guards against a crash that is missed because the server was back before the check.
func TestBrokenConnectionAloneIsNoCrash(t *testing.T) {
	restart := func(s platform.BackendServer) []platform.BackendServer {
		s.Started++
		return []platform.BackendServer{s}
	}
	leave := func(s platform.BackendServer) []platform.BackendServer {
		s.Leaving = true
		return []platform.BackendServer{s}
	}
	remove := func(platform.BackendServer) []platform.BackendServer { return nil }
	for _, c := range []struct {
		name string
		// before and after change the list before the connection breaks and after it.
		before, after func(platform.BackendServer) []platform.BackendServer
		suspect       bool
	}{
		{"runs on", nil, nil, false},
		{"restarted", nil, restart, true},
		{"leaving, then replaced", leave, restart, false},
		{"removed, then replaced", remove, restart, false},
	} {
		var h *Host
		var listed platform.BackendServer
		b := newBackend(t, func(http.ResponseWriter, *http.Request) {
			if c.before != nil {
				h.SetServers(c.before(listed))
			}
			panic(http.ErrAbortHandler)
		})
		h = newTestHost(t, b)
		listed = h.listedServer("server-a").BackendServer
		serve(h, "/read/1", "red-key")
		if c.after != nil {
			h.SetServers(c.after(listed))
		}
		h.crashTracker.mu.Lock()
		got := len(h.crashTracker.histories) > 0
		h.crashTracker.mu.Unlock()
		if got != c.suspect {
			t.Errorf("%s: the request is suspected: %v, want %v", c.name, got, c.suspect)
		}
		close(h.stopping)
		_ = h.probes.Wait()
	}
}

// Guards against a crash that does not count because the response had begun, and the request counts as answered.
func TestCrashInTheMiddleOfAResponseCounts(t *testing.T) {
	var b *backend
	b = newBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Proof", "yes")
		_, _ = io.WriteString(w, string(make([]byte, 2*responseBufferBytes)))
		_ = b.Listener.Close()
		panic(http.ErrAbortHandler)
	})
	h := newTestHost(t, b)
	func() {
		defer func() { _ = recover() }()
		serve(h, "/read/1", "red-key")
	}()
	eventually(t, "the crash counts", func() bool {
		h.crashTracker.mu.Lock()
		defer h.crashTracker.mu.Unlock()
		return len(h.crashTracker.histories) == 1
	})
	close(h.stopping)
	_ = h.probes.Wait()
}

// Guards against a request that crashes servers through one host after the other: hosts in other failure domains that learn of
// the crashes too late, hosts that were cut off meanwhile, and hosts that were restarted.
func TestFleetLearnsOfQuarantinedRequest(t *testing.T) {
	t.Parallel()
	for _, hosts := range []int{9, 45, 135} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, hosts, 0)
				defer f.stop()
				f.sendRequests(8*time.Second, 1)
				expect := func(when string, within time.Duration, fingerprint uint64, hosts ...*Host) {
					t.Helper()
					time.Sleep(within)
					for _, h := range hosts {
						if !h.crashTracker.isQuarantined(h.now(), fingerprint) {
							t.Errorf("%s: %s does not refuse the request after %v", when, h.settings.Host, within)
						}
					}
				}
				observer, cutOff := f.running[hosts-1], f.running[hosts-2]
				crash := func(fingerprint uint64) {
					crashed := Crash{Fingerprint: fingerprint, Number: quarantineCrashes}
					observer.crashTracker.recordReported(observer.now(), crashed)
					observer.crashTracker.announce(fingerprint)
					observer.announceCrashes([]Crash{crashed}, "", connectionRefused)
				}
				f.setRunning(cutOff, false)
				crash(1)
				others := f.running[:hosts-2]
				expect("all hosts", time.Second, 1, others...)
				time.Sleep(10 * time.Second)
				f.setRunning(cutOff, true)
				expect("a host that was cut off", 5*time.Second, 1, cutOff)
				restarted := f.running[0]
				restarted.crashTracker.mu.Lock()
				clear(restarted.crashTracker.histories)
				restarted.crashTracker.mu.Unlock()
				address := netip.MustParseAddrPort(restarted.settings.PeerAddress)
				for _, h := range f.running[1:] {
					h.fleet.answerFirstHeartbeat(address, restarted.settings.FailureDomain)
				}
				expect("a host that was restarted", 100*time.Millisecond, 1, restarted)
			})
		})
	}
}
