package request

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"vanillatally/core/quarantine"
	"vanillatally/io/backends"
	"vanillatally/io/platform"
)

// step is a request of a caller, with its faults and resends, and an optional fault of a server that is injected before it.
type step struct {
	method, path, key, keyParameter string
	fault                           string
	size                            int
	resends                         int
	serverFault                     string
	server                          int
}

// attempt is one sending of a request, and the response to it.
type attempt struct {
	tag, key   string
	idempotent bool
	reply      response
}

// drawSteps draws the steps of concurrent callers.
func drawSteps(t *rapid.T) [][]step {
	faults := []string{
		"", "", "", "", "close", "truncate", "stall", "duplicate", "late", "crossed", "silent", "endless",
		"shed", "error", "crash:30", "slow:15",
	}
	callers := make([][]step, rapid.IntRange(1, 4).Draw(t, "callers"))
	for c := range callers {
		for range rapid.IntRange(1, 5).Draw(t, "requests") {
			s := step{
				method:       rapid.SampledFrom([]string{"GET", "POST", "PUT", "POST"}).Draw(t, "method"),
				path:         rapid.SampledFrom([]string{"/search", "/hold", "/export"}).Draw(t, "path"),
				key:          rapid.SampledFrom([]string{"", "key"}).Draw(t, "key"),
				size:         rapid.SampledFrom([]int{0, 1, 100 << 10}).Draw(t, "size"),
				keyParameter: rapid.SampledFrom([]string{"", "?k=" + testKey, "?" + testKey + "=1"}).Draw(t, "hide"),
				fault:        rapid.SampledFrom(faults).Draw(t, "fault"),
				resends:      rapid.IntRange(0, 2).Draw(t, "resends"),
				serverFault:  rapid.SampledFrom([]string{"", "", "", "", "silence", "crash", "drain"}).Draw(t, "event"),
				server:       rapid.IntRange(0, 2).Draw(t, "server"),
			}
			if s.method == "GET" {
				s.size = 0
			}
			callers[c] = append(callers[c], s)
		}
	}
	return callers
}

// intFromEnv returns a number from an environment variable, and logs it.
func intFromEnv(t *testing.T, name string, defaultValue int) int {
	n, err := strconv.Atoi(os.Getenv(name))
	if err != nil {
		n = defaultValue
	}
	t.Logf("%s=%d", name, n)
	return n
}

// requestHistory is one test case: the steps of each caller, and the size of the responses.
type requestHistory struct {
	callers [][]step
	size    int
}

// Guards against executing a request twice, a false "not-run", an incomplete or foreign response, and an API key that reaches a
// server, under random faults of servers, connections and requests. REQUEST_HISTORIES sets the number of random histories,
// REQUEST_SEED the first seed.
func TestRandomRequestHistories(t *testing.T) {
	count, seed := intFromEnv(t, "REQUEST_HISTORIES", 240), intFromEnv(t, "REQUEST_SEED", 7)
	generator := rapid.Custom(func(r *rapid.T) requestHistory {
		return requestHistory{drawSteps(r), rapid.SampledFrom([]int{0, 100, 90 << 10}).Draw(r, "response size")}
	})
	var sentRequests, served, notRun, unknown atomic.Int64
	var group errgroup.Group
	// The histories spend most of their time waiting for timeouts.
	group.SetLimit(16)
	for i := range count {
		group.Go(func() error {
			history := generator.Example(seed + i)
			all, host, stop := runHistory(t, history.callers, history.size)
			defer stop()
			for _, sent := range all {
				sentRequests.Add(1)
				switch {
				case sent.reply.err == nil && sent.reply.reason == "":
					served.Add(1)
				case sent.reply.ran == "not-run":
					notRun.Add(1)
				default:
					unknown.Add(1)
				}
			}
			for _, violation := range findViolations(all, host) {
				t.Errorf("seed %d: %s", seed+i, violation)
			}
			return nil
		})
	}
	// The goroutines return no errors.
	_ = group.Wait()
	t.Logf("%d histories, %d requests sent: %d served, %d not run, %d unknown",
		count, sentRequests.Load(), served.Load(), notRun.Load(), unknown.Load())
}

// runHistory runs a history through two hosts. Callers are concurrent; the steps of one caller follow each other.
func runHistory(t *testing.T, callers [][]step, size int) (all []attempt, f *testHost, stop func()) {
	c := &deferredCleanups{TB: t}
	claims := NewLocalClaims()
	var hosts []*Service
	share := func(o *Options) {
		o.HedgeDelay, o.InactivityTimeout, o.NoticePropagationDelay = 20*time.Millisecond, 60*time.Millisecond, time.Millisecond
		o.Backends.PingAfter = 20 * time.Millisecond
		o.Claims = claims
		o.BroadcastQuarantineNotice = func(_ context.Context, n quarantine.Notice) error {
			for _, h := range hosts {
				h.HandleQuarantineNotice(n)
			}
			return nil
		}
	}
	f = newTestHost(c, 3, backends.StandInOptions{BodyBytes: size}, share)
	// Without reused connections, the http.Transport of the test does not resend requests by itself.
	f.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	other := newTestHost(c, 0, backends.StandInOptions{}, func(o *Options) {
		share(o)
		o.Host = "h2"
		servers := f.service.options.BackendServers
		o.BackendServers = func() []platform.BackendServer { return servers() }
	})
	hosts = []*Service{f.service, other.service}
	var mu sync.Mutex
	var group errgroup.Group
	for n, steps := range callers {
		group.Go(func() error {
			for i, s := range steps {
				f.injectFault(s)
				for resend := range s.resends + 1 {
					sent := attempt{tag: fmt.Sprintf("t-%d-%d", n, i), idempotent: s.method == "GET"}
					headers := []string{"X-Request-Deadline: 1000"}
					if s.fault != "" {
						headers = append(headers, "X-Stand-In-Fault: "+s.fault)
					}
					if s.key != "" {
						sent.key = sent.tag
						headers = append(headers, "Idempotency-Key: "+sent.key)
					} else {
						sent.tag += fmt.Sprintf("-%d", resend)
					}
					headers = append(headers, "X-Run-Tag: "+sent.tag, "X-Copy: "+testKey)
					sent.reply = f.sendTo(context.Background(), []string{f.url, other.url}[(n+resend)%2],
						s.method, s.path+s.keyParameter, strings.Repeat("y", s.size), headers...)
					mu.Lock()
					all = append(all, sent)
					mu.Unlock()
				}
			}
			return nil
		})
	}
	// The goroutines return no errors.
	_ = group.Wait()
	return all, f, c.run
}

// injectFault injects the step's fault of a server.
func (f *testHost) injectFault(s step) {
	switch server := f.standIns[s.server]; s.serverFault {
	case "silence":
		server.SilenceConnections()
	case "crash":
		f.control(server, "crash?down-ms=20")
	case "drain":
		f.control(server, "drain")
	}
}

// control sends a command to a stand-in. The outcome is unknown, since a fault may make the connection unresponsive.
func (f *testHost) control(server *backends.StandIn, command string) {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	f.sendTo(ctx, "http://"+server.Address(), "POST", "/control/"+command, "", "Authorization: ")
}

// findViolations compares the responses to the callers with what the stand-ins executed.
func findViolations(all []attempt, f *testHost) (violations []string) {
	add := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	mayHaveRun := map[string]bool{}
	for _, sent := range all {
		if sent.reply.ran != "not-run" {
			mayHaveRun[sent.tag] = true
		}
	}
	for _, sent := range all {
		runs := f.runs(sent.tag)
		if !sent.idempotent && runs > 1 {
			add("%s is not idempotent and ran %d times", sent.tag, runs)
		}
		if sent.reply.ran == "not-run" && !mayHaveRun[sent.tag] && runs > 0 {
			add("%s was refused as not-run (%s) but ran %d times", sent.tag, sent.reply.reason, runs)
		}
		if sent.reply.err != nil || sent.reply.reason != "" || sent.reply.status != 200 {
			continue
		}
		var body struct{ Tag string }
		if err := json.Unmarshal([]byte(sent.reply.body), &body); err != nil || body.Tag != sent.tag {
			at := max(strings.IndexByte(sent.reply.body, '\r')-40, 0)
			add("%s got the response of %q; error %v, %d bytes, from byte %d: %.300q",
				sent.tag, body.Tag, err, len(sent.reply.body), at, sent.reply.body[at:])
		}
		if runs == 0 {
			add("%s got a response but did not run", sent.tag)
		}
	}
	if leaks := f.leakedSecrets(); len(leaks) > 0 {
		add("the API key reached a backend server: %v", leaks)
	}
	return violations
}

// deferredCleanups collects the cleanups of newTestHost, to run them after one history instead of at the end of the test.
type deferredCleanups struct {
	testing.TB
	functions []func()
}

// Cleanup registers fn.
func (c *deferredCleanups) Cleanup(fn func()) { c.functions = append(c.functions, fn) }

func (c *deferredCleanups) run() {
	for i := len(c.functions) - 1; i >= 0; i-- {
		c.functions[i]()
	}
}
