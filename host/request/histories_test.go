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

// step is one logical request of a history, with its resends, or a fault of a server that begins before it.
type step struct {
	method, path, key, hide string
	fault                   string
	size                    int
	resends                 int
	event                   string
	server                  int
}

// told is what the caller of one arrival was told.
type told struct {
	tag, key   string
	idempotent bool
	reply      reply
}

func drawSteps(t *rapid.T) [][]step {
	faults := []string{
		"", "", "", "", "close", "truncate", "stall", "duplicate", "late", "crossed", "silent", "endless", "shed", "error", "crash:30", "slow:15",
	}
	callers := make([][]step, rapid.IntRange(1, 4).Draw(t, "callers"))
	for c := range callers {
		for range rapid.IntRange(1, 5).Draw(t, "requests") {
			s := step{
				method:  rapid.SampledFrom([]string{"GET", "POST", "PUT", "POST"}).Draw(t, "method"),
				path:    rapid.SampledFrom([]string{"/search", "/hold", "/export"}).Draw(t, "path"),
				key:     rapid.SampledFrom([]string{"", "key"}).Draw(t, "key"),
				size:    rapid.SampledFrom([]int{0, 1, 100 << 10}).Draw(t, "size"),
				hide:    rapid.SampledFrom([]string{"", "?k=" + testKey, "?" + testKey + "=1"}).Draw(t, "hide"),
				fault:   rapid.SampledFrom(faults).Draw(t, "fault"),
				resends: rapid.IntRange(0, 2).Draw(t, "resends"),
				event:   rapid.SampledFrom([]string{"", "", "", "", "silence", "crash", "drain"}).Draw(t, "event"),
				server:  rapid.IntRange(0, 2).Draw(t, "server"),
			}
			if s.method == "GET" {
				s.size = 0
			}
			callers[c] = append(callers[c], s)
		}
	}
	return callers
}

// setting returns a number from the environment.
func setting(t *testing.T, name string, otherwise int) int {
	n, err := strconv.Atoi(os.Getenv(name))
	if err != nil {
		n = otherwise
	}
	t.Logf("%s=%d", name, n)
	return n
}

// history is one drawn sequence of steps.
type history struct {
	callers [][]step
	size    int
}

// Guards against a request that runs twice, a false "not-run", a partial or crossed response, and a key at a server,
// under faults of servers, connections and requests. REQUEST_HISTORIES sets the number of histories, REQUEST_SEED the first seed.
func TestHistories(t *testing.T) {
	count, seed := setting(t, "REQUEST_HISTORIES", 240), setting(t, "REQUEST_SEED", 7)
	generator := rapid.Custom(func(r *rapid.T) history {
		return history{drawSteps(r), rapid.SampledFrom([]int{0, 100, 90 << 10}).Draw(r, "response size")}
	})
	var arrivals, answered, notRun, unknown atomic.Int64
	var group errgroup.Group
	// The histories mostly wait for silent connections.
	group.SetLimit(16)
	for i := range count {
		group.Go(func() error {
			drawn := generator.Example(seed + i)
			all, fleet, stop := runHistory(t, drawn.callers, drawn.size)
			defer stop()
			for _, one := range all {
				arrivals.Add(1)
				switch {
				case one.reply.err == nil && one.reply.reason == "":
					answered.Add(1)
				case one.reply.ran == "not-run":
					notRun.Add(1)
				default:
					unknown.Add(1)
				}
			}
			for _, violation := range judge(all, fleet) {
				t.Errorf("seed %d: %s", seed+i, violation)
			}
			return nil
		})
	}
	// The goroutines return no errors.
	_ = group.Wait()
	t.Logf("%d histories, %d arrivals: %d answered, %d not-run, %d unknown", count, arrivals.Load(), answered.Load(), notRun.Load(), unknown.Load())
}

// runHistory runs the steps of each caller one after the other, and the callers at once, through two hosts.
func runHistory(t *testing.T, callers [][]step, size int) (all []told, f *fleet, stop func()) {
	c := &cleanups{TB: t}
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
	// A transport that reuses connections would resend a request by itself.
	f = newFleet(c, 3, backends.StandInOptions{BodyBytes: size}, share)
	f.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	other := newFleet(c, 0, backends.StandInOptions{}, func(o *Options) {
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
				f.apply(s)
				for resend := range s.resends + 1 {
					one := told{tag: fmt.Sprintf("t-%d-%d", n, i), idempotent: s.method == "GET"}
					headers := []string{"X-Request-Deadline: 1000"}
					if s.fault != "" {
						headers = append(headers, "X-Stand-In-Fault: "+s.fault)
					}
					if s.key != "" {
						one.key = one.tag
						headers = append(headers, "Idempotency-Key: "+one.key)
					} else {
						one.tag += fmt.Sprintf("-%d", resend)
					}
					headers = append(headers, "X-Run-Tag: "+one.tag, "X-Copy: "+testKey)
					one.reply = f.sendTo(context.Background(), []string{f.url, other.url}[(n+resend)%2], s.method, s.path+s.hide, strings.Repeat("y", s.size), headers...)
					mu.Lock()
					all = append(all, one)
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

// apply begins a fault of a server.
func (f *fleet) apply(s step) {
	switch server := f.standIns[s.server]; s.event {
	case "silence":
		server.SilenceConnections()
	case "crash":
		f.control(server, "crash?down-ms=20")
	case "drain":
		f.control(server, "drain")
	}
}

// control sends a command to a stand-in. The connection may go silent under it, which leaves the command's outcome open.
func (f *fleet) control(server *backends.StandIn, command string) {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	f.sendTo(ctx, "http://"+server.Address(), "POST", "/control/"+command, "", "Authorization: ")
}

// judge compares what the callers were told with the runs at the servers.
func judge(all []told, f *fleet) (violations []string) {
	add := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	claimed := map[string]bool{}
	for _, one := range all {
		if one.reply.ran != "not-run" {
			claimed[one.tag] = true
		}
	}
	for _, one := range all {
		runs := f.runs(one.tag)
		if !one.idempotent && runs > 1 {
			add("%s ran %d times", one.tag, runs)
		}
		if one.reply.ran == "not-run" && !claimed[one.tag] && runs > 0 {
			add("%s was reported as not-run (%s) and ran %d times", one.tag, one.reply.reason, runs)
		}
		if one.reply.err != nil || one.reply.reason != "" || one.reply.status != 200 {
			continue
		}
		var body struct{ Tag string }
		if err := json.Unmarshal([]byte(one.reply.body), &body); err != nil || body.Tag != one.tag {
			at := max(strings.IndexByte(one.reply.body, '\r')-40, 0)
			add("%s got the response of %q, error %v, %d bytes, at %d: %.300q", one.tag, body.Tag, err, len(one.reply.body), at, one.reply.body[at:])
		}
		if runs == 0 {
			add("%s was answered and did not run", one.tag)
		}
	}
	if seen := f.seen(); len(seen) > 0 {
		add("keys seen: %v", seen)
	}
	return violations
}

// cleanups runs what newFleet registers at the end of one history rather than of the test.
type cleanups struct {
	testing.TB
	list []func()
}

// Cleanup registers fn.
func (c *cleanups) Cleanup(fn func()) { c.list = append(c.list, fn) }

func (c *cleanups) run() {
	for i := len(c.list) - 1; i >= 0; i-- {
		c.list[i]()
	}
}
