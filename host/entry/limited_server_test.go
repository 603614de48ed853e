package entry

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"vanillatally/io/platform"
)

const (
	// limitWindow is the time over which the requests to a limited server are counted.
	limitWindow = 4 * time.Second
	// limitFactor times the limit, plus limitSlack requests, is what a limited server may get in limitWindow.
	limitFactor = 1.5
	limitSlack  = 5
	// toldDelay is the time after the first response with a limit from which a host's requests count.
	toldDelay = 500 * time.Millisecond
)

// limitedServer is a backend server that states a limit while one is set.
type limitedServer struct {
	*backend
	mu    sync.Mutex
	limit string
	// answer, if set, may answer a request instead; it reports whether it did.
	answer func(w http.ResponseWriter, r *http.Request) bool
}

func newLimitedServer(t *testing.T) *limitedServer {
	s := &limitedServer{}
	s.backend = newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		if s.limit != "" {
			w.Header().Set("Limit", s.limit)
		}
		s.mu.Unlock()
		if s.answer == nil || !s.answer(w, r) {
			answerOK(w, r)
		}
	})
	return s
}

func (s *limitedServer) setLimit(limit string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
}

// sentRequest is a request that reached a server.
type sentRequest struct {
	host string
	at   time.Duration
}

// sent returns the requests that reached the server, from their IDs.
func (s *limitedServer) sent() (all []sentRequest) {
	s.backend.mu.Lock()
	defer s.backend.mu.Unlock()
	for _, header := range s.received {
		host, at, _ := strings.Cut(header.Get("Id"), " ")
		sentAt, _ := strconv.ParseInt(at, 10, 64)
		all = append(all, sentRequest{host, time.Duration(sentAt)})
	}
	return all
}

// limitFleet is a fleet of hosts of one region that send requests to the same servers.
type limitFleet struct {
	*testFleet
	servers []*limitedServer
	random  *rand.Rand
	start   time.Time
	// told holds the time of the first response with a limit that each host passed on.
	told map[string]time.Duration
	// refused counts the refusals, by reason; retryAfter holds the Retry-After of each.
	refused    map[string]int
	retryAfter []string
	served     int
}

// newLimitFleet starts hosts in two failure domains of a region, and waits until they know each other.
func newLimitFleet(t *testing.T, hosts int, servers []*limitedServer) *limitFleet {
	f := &limitFleet{
		testFleet: &testFleet{network: &network{t: t, hosts: map[netip.AddrPort]*Host{}}, stops: map[*Host]context.CancelFunc{}},
		servers:   servers, random: rand.New(rand.NewPCG(7, 11)), start: time.Now(),
		told: map[string]time.Duration{}, refused: map[string]int{},
	}
	for i := range hosts {
		f.addHost(i)
	}
	f.run(4*time.Second, 0)
	return f
}

// addHost starts a process of host number i. An earlier one has to be killed first.
func (f *limitFleet) addHost(i int) *Host {
	backends := make([]*backend, len(f.servers))
	for j, s := range f.servers {
		backends[j] = s.backend
	}
	h := newTestHost(f.t, backends...)
	h.settings.Regions = map[string]string{"north-a": "north", "north-b": "north"}
	h.settings.FailureDomain = []string{"north-a", "north-b"}[i%2]
	h.settings.Host = fmt.Sprintf("host-%02d", i)
	h.settings.PeerAddress = fmt.Sprintf("10.0.0.%d:7000", i+1)
	h.settings.CallerAddress = fmt.Sprintf("10.0.0.%d:80", i+1)
	f.running = append(f.running, h)
	f.testFleet.start(h)
	for _, seed := range f.running[:min(len(f.running), 3)] {
		h.AddPeerAddress(seed.settings.PeerAddress, "")
	}
	return h
}

// run sends perSecond requests at random times to random hosts, for the duration.
func (f *limitFleet) run(d time.Duration, perSecond float64) {
	end := time.Now().Add(d)
	for perSecond > 0 {
		time.Sleep(time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second)))
		if !time.Now().Before(end) {
			return
		}
		f.send(f.running[f.random.IntN(len(f.running))])
	}
	time.Sleep(time.Until(end))
}

// send sends one request through the host.
func (f *limitFleet) send(h *Host) {
	at := time.Since(f.start)
	r := httptest.NewRequest(http.MethodPost, "/write/1", strings.NewReader("body"))
	r.Header.Set("Id", fmt.Sprint(h.settings.Host, " ", int64(at)))
	r.Header.Set("Left", "4000")
	r.Header.Set("Secret", "red-key")
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	if _, known := f.told[h.settings.Host]; !known && w.Header().Get("Limit") != "" {
		f.told[h.settings.Host] = at
	}
	if w.Code == http.StatusOK {
		f.served++
		return
	}
	f.refused[w.Header().Get("X-Refusal-Reason")]++
	f.retryAfter = append(f.retryAfter, w.Header().Get("Retry-After"))
}

// restart kills the first host and starts it again.
func (f *limitFleet) restart() {
	killed := f.running[0]
	f.kill(killed)
	delete(f.told, killed.settings.Host)
	f.run(time.Second, limitTestRate)
	number, _ := strconv.Atoi(strings.TrimPrefix(killed.settings.Host, "host-"))
	f.addHost(number)
}

// losePackets lets a share of the packets between hosts be lost.
func (f *limitFleet) losePackets(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	random := rand.New(rand.NewPCG(13, 17))
	f.lose = func() bool { return random.Float64() < share }
}

// checkLimit checks, in each window, the requests that the server got since the time from, from hosts that passed on a limit.
func (f *limitFleet) checkLimit(s *limitedServer, from time.Duration, perSecond float64) {
	f.t.Helper()
	var counted []time.Duration
	for _, request := range s.sent() {
		if told, known := f.told[request.host]; known && request.at >= max(told+toldDelay, from) {
			counted = append(counted, request.at)
		}
	}
	slices.Sort(counted)
	allowed := int(math.Ceil(limitFactor*perSecond*limitWindow.Seconds() + limitSlack))
	for i := range counted {
		n := 1
		for _, at := range counted[i+1:] {
			if at < counted[i]+limitWindow {
				n++
			}
		}
		if n > allowed {
			f.t.Errorf("a server with a limit of %v/s got %d requests in the %v after %v, want at most %d",
				perSecond, n, limitWindow, counted[i], allowed)
			return
		}
	}
}

// requestsIn returns the number of requests that the server got in the duration after a time.
func (s *limitedServer) requestsIn(from, d time.Duration) (n int) {
	for _, request := range s.sent() {
		if request.at >= from && request.at < from+d {
			n++
		}
	}
	return n
}

// limitTestRate is the rate of the requests to the whole fleet, per second.
const limitTestRate = 40.0

// Guards against hosts that together send a server more requests than the limit that it states.
func TestHostsTogetherKeepToStatedLimit(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		hosts int
		limit string
		// during is what happens while the server states its limit.
		during func(f *limitFleet)
	}{
		{"8 hosts", 8, "1.8", func(f *limitFleet) { f.run(12*time.Second, limitTestRate) }},
		{"40 hosts", 40, "1", func(f *limitFleet) { f.run(12*time.Second, limitTestRate) }},
		{"high limit", 8, "6", func(f *limitFleet) { f.run(12*time.Second, limitTestRate) }},
		{"no requests at all", 8, "0", func(f *limitFleet) { f.run(12*time.Second, limitTestRate) }},
		{"host restarts", 8, "1.8", func(f *limitFleet) {
			f.run(4*time.Second, limitTestRate)
			f.restart()
			f.run(2*time.Second, limitTestRate)
			f.restart()
			f.run(6*time.Second, limitTestRate)
		}},
		{"messages between hosts are lost", 8, "1.8", func(f *limitFleet) {
			f.losePackets(0.4)
			f.run(12*time.Second, limitTestRate)
		}},
		{"hosts die one after the other", 8, "1", func(f *limitFleet) {
			for range 5 {
				f.run(3*time.Second, limitTestRate)
				f.kill(f.running[0])
			}
		}},
		{"hosts join", 4, "1", func(f *limitFleet) {
			for i := range 8 {
				f.run(2*time.Second, limitTestRate)
				f.addHost(4 + i)
			}
		}},
		{"limit falls", 8, "3", func(f *limitFleet) {
			f.run(6*time.Second, limitTestRate)
			lowered := time.Since(f.start)
			f.servers[0].setLimit("0.8")
			f.run(12*time.Second, limitTestRate)
			f.checkLimit(f.servers[0], lowered+2*time.Second, 0.8)
		}},
		{"limit flaps", 8, "1.8", func(f *limitFleet) {
			for range 6 {
				f.run(1500*time.Millisecond, limitTestRate)
				f.servers[0].setLimit("")
				f.run(20*time.Millisecond, limitTestRate)
				f.servers[0].setLimit("1.8")
			}
			f.run(6*time.Second, limitTestRate)
			f.checkLimit(f.servers[0], time.Since(f.start)-6*time.Second, 1.8)
		}},
		{"server is missing from the list for a moment", 8, "1.8", func(f *limitFleet) {
			f.run(4*time.Second, limitTestRate)
			for _, h := range f.running {
				h.mu.Lock()
				listed := make([]platform.BackendServer, 0, len(h.servers))
				for _, s := range h.servers {
					listed = append(listed, s.BackendServer)
				}
				h.mu.Unlock()
				slices.SortFunc(listed, func(a, b platform.BackendServer) int { return strings.Compare(a.ID, b.ID) })
				h.SetServers(listed[1:])
				h.SetServers(listed)
			}
			f.run(8*time.Second, limitTestRate)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			servers := []*limitedServer{newLimitedServer(t), newLimitedServer(t), newLimitedServer(t)}
			synctest.Test(t, func(t *testing.T) {
				f := newLimitFleet(t, c.hosts, servers)
				defer f.stop()
				f.run(2*time.Second, limitTestRate)
				servers[0].setLimit(c.limit)
				stated := time.Since(f.start)
				c.during(f)
				perSecond, _ := strconv.ParseFloat(c.limit, 64)
				f.checkLimit(servers[0], stated, perSecond)
				if len(f.refused) > 0 {
					t.Errorf("refusals although two servers have no limit: %v", f.refused)
				}
			})
		})
	}
}

// Guards against requests that wait or are sent although every server has reached its limit, against refusals without a true
// Retry-After, and against limits that are left unused.
func TestRequestsBeyondAllLimitsAreRefusedAtOnce(t *testing.T) {
	servers := []*limitedServer{newLimitedServer(t), newLimitedServer(t), newLimitedServer(t)}
	synctest.Test(t, func(t *testing.T) {
		const limit, duration = 2.0, 20 * time.Second
		f := newLimitFleet(t, 8, servers)
		defer f.stop()
		f.run(time.Second, limitTestRate)
		for _, s := range servers {
			s.setLimit(fmt.Sprint(limit))
		}
		stated := time.Since(f.start)
		f.run(duration, limitTestRate)
		for _, s := range servers {
			f.checkLimit(s, stated, limit)
			if got, want := s.requestsIn(stated, duration), int(0.6*limit*duration.Seconds()); got < want {
				t.Errorf("a server with a limit of %v/s got %d requests in %v, want at least %d", limit, got, duration, want)
			}
		}
		if len(f.refused) != 1 || f.refused["server-limit"] == 0 {
			t.Errorf("refusals: %v, want only server-limit", f.refused)
		}
		for _, retryAfter := range f.retryAfter {
			if wait, err := strconv.ParseFloat(retryAfter, 64); err != nil || wait <= 0 || wait > 2 {
				t.Fatalf("Retry-After is %q, want more than 0 s and at most 2 s at %v/s", retryAfter, limit)
			}
		}
	})
}

// Guards against a Retry-After after which the request is refused again.
func TestRetryAfterOfLimitIsTrue(t *testing.T) {
	server := newLimitedServer(t)
	synctest.Test(t, func(t *testing.T) {
		h := newTestHost(t, server.backend)
		server.setLimit("0.5")
		for i := range 5 {
			if got := serve(h, "/write/1", "red-key"); got.Code != http.StatusOK {
				t.Fatalf("request %d after its Retry-After: status %d", i, got.Code)
			}
			refused := serve(h, "/write/1", "red-key")
			wait, err := strconv.ParseFloat(refused.Header().Get("Retry-After"), 64)
			if refused.Code != http.StatusServiceUnavailable || refused.Header().Get("X-Request-Ran") != "not-run" || err != nil {
				t.Fatalf("request %d beyond the limit: status %d, Retry-After %q", i, refused.Code, refused.Header().Get("Retry-After"))
			}
			time.Sleep(time.Duration(wait * float64(time.Second)))
		}
	})
}

// Guards against servers that are avoided for long after their limit ended, also where no host that may use them has requests.
func TestEndOfLimitIsNoticed(t *testing.T) {
	for _, c := range []struct {
		name string
		// senders is the number of hosts that get requests after the end of the limit.
		senders int
	}{{"all hosts get requests", 8}, {"one host gets requests", 1}} {
		t.Run(c.name, func(t *testing.T) {
			servers := []*limitedServer{newLimitedServer(t), newLimitedServer(t)}
			synctest.Test(t, func(t *testing.T) {
				const noticed = 10 * time.Second
				f := newLimitFleet(t, 8, servers)
				defer f.stop()
				servers[0].setLimit("1")
				f.run(6*time.Second, limitTestRate)
				servers[0].setLimit("")
				all := f.running
				f.running = all[:c.senders]
				ended := time.Since(f.start)
				f.run(noticed+4*time.Second, limitTestRate)
				f.running = all
				if got := servers[0].requestsIn(ended+noticed, 4*time.Second); got < limitTestRate {
					t.Errorf("%v after the end of the limit the server gets %d requests in 4 s, want at least %v", noticed, got, limitTestRate)
				}
			})
		})
	}
}
