package request

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"vanillatally/core/balance"
	"vanillatally/io/backends"
)

// loadTarget is an HTTP server to which a benchmark sends requests.
type loadTarget struct {
	url    string
	client *http.Client
}

func newTarget(url string) *loadTarget {
	return &loadTarget{url, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
}

func (t *loadTarget) get(path string) (status int, err error) {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, t.url+path, nil)
	if err != nil {
		return 0, err
	}
	r.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := t.client.Do(r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// runClosedLoop sends n requests from concurrent workers, each of which waits for its response, and returns the requests per
// second.
func (t *loadTarget) runClosedLoop(b *testing.B, workers, n int) float64 {
	b.Helper()
	var group errgroup.Group
	var left atomic.Int64
	left.Store(int64(n))
	start := time.Now()
	for range workers {
		group.Go(func() error {
			for left.Add(-1) >= 0 {
				if status, err := t.get("/search?q=1"); err != nil || status != 200 {
					return fmt.Errorf("status %d, error %w", status, err)
				}
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		b.Fatal(err)
	}
	return float64(n) / time.Since(start).Seconds()
}

// runOpenLoop sends n requests at a fixed rate, to the targets in turn, and returns the sorted latencies of each target and the
// number of failures. By taking turns, the targets are exposed to the same disturbances of the machine.
func runOpenLoop(rate float64, n int, targets ...*loadTarget) (latencies [][]time.Duration, failed int) {
	var group errgroup.Group
	latencies = make([][]time.Duration, len(targets))
	for i := range latencies {
		latencies[i] = make([]time.Duration, n/len(targets))
	}
	var failures atomic.Int64
	start := time.Now()
	for i := range n / len(targets) * len(targets) {
		at := start.Add(time.Duration(float64(i) / rate * float64(time.Second)))
		time.Sleep(time.Until(at))
		group.Go(func() error {
			sent := time.Now()
			if status, err := targets[i%len(targets)].get("/search?q=1"); err != nil || status != 200 {
				failures.Add(1)
			}
			latencies[i%len(targets)][i/len(targets)] = time.Since(sent)
			return nil
		})
	}
	// The goroutines return no errors.
	_ = group.Wait()
	for _, l := range latencies {
		slices.Sort(l)
	}
	return latencies, int(failures.Load())
}

func quantile(sorted []time.Duration, q float64) float64 {
	return float64(sorted[int(q*float64(len(sorted)-1))].Microseconds())
}

// BenchmarkAddedTime measures the latency that a host adds to a direct connection, at half of the host's throughput.
func BenchmarkAddedTime(b *testing.B) {
	f := newTestHost(b, 1, backends.StandInOptions{Slots: 256, BodyBytes: 512}, nil)
	direct, through := newTarget("http://"+f.standIns[0].Address()), newTarget(f.url)
	for b.Loop() {
		direct.runClosedLoop(b, 8, 2000)
		rate := through.runClosedLoop(b, 8, 20_000) / 2
		l, _ := runOpenLoop(rate, 60_000, direct, through)
		b.ReportMetric(rate, "req/s")
		b.ReportMetric(quantile(l[0], 0.5), "direct-p50-µs")
		b.ReportMetric(quantile(l[0], 0.99), "direct-p99-µs")
		b.ReportMetric(quantile(l[1], 0.5)-quantile(l[0], 0.5), "added-p50-µs")
		b.ReportMetric(quantile(l[1], 0.99)-quantile(l[0], 0.99), "added-p99-µs")
	}
}

// BenchmarkThroughput compares the requests per second through a host with those over direct connections in the same run.
func BenchmarkThroughput(b *testing.B) {
	f := newTestHost(b, 1, backends.StandInOptions{Slots: 256, BodyBytes: 512}, nil)
	direct, through := newTarget("http://"+f.standIns[0].Address()), newTarget(f.url)
	direct.runClosedLoop(b, 16, 2000)
	through.runClosedLoop(b, 16, 2000)
	for b.Loop() {
		var directRate, hostRate float64
		for range 4 {
			directRate += direct.runClosedLoop(b, 16, 10_000) / 4
			hostRate += through.runClosedLoop(b, 16, 10_000) / 4
		}
		b.ReportMetric(directRate, "direct-req/s")
		b.ReportMetric(hostRate, "host-req/s")
		b.ReportMetric(hostRate/directRate, "ratio")
	}
}

// discardWriter is a ResponseWriter that discards the body.
type discardWriter struct {
	header http.Header
	status int
}

func (w *discardWriter) Header() http.Header         { return w.header }
func (w *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (w *discardWriter) WriteHeader(status int)      { w.status = status }

// startFixedResponseServer starts a server whose responses differ only in the request ID, without allocations per request.
func startFixedResponseServer(b *testing.B) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	var group errgroup.Group
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(func() { cancel(); listener.Close(); _ = group.Wait() })
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return err
			}
			context.AfterFunc(ctx, func() { conn.Close() })
			group.Go(func() error { return serveFixedResponse(conn) })
		}
	})
	return listener
}

func serveFixedResponse(conn net.Conn) error {
	defer conn.Close()
	in, out := make([]byte, 8<<10), make([]byte, 0, 8<<10)
	for {
		n, err := conn.Read(in)
		if err != nil {
			return err
		}
		request := in[:n]
		out = append(out[:0], "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Request-Id: "...)
		if i := indexOf(request, "X-Request-Id: "); i >= 0 {
			rest := request[i+len("X-Request-Id: "):]
			out = append(out, rest[:indexOf(rest, "\r\n")]...)
		}
		if _, err := conn.Write(append(out, "\r\n\r\nok"...)); err != nil {
			return err
		}
	}
}

func indexOf(b []byte, s string) int {
	for i := 0; i+len(s) <= len(b); i++ {
		if string(b[i:i+len(s)]) == s {
			return i
		}
	}
	return -1
}

// BenchmarkChain measures the time and allocations of the filter chain with a real connection to the backend server, but without
// the HTTP server for callers.
func BenchmarkChain(b *testing.B) {
	listener := startFixedResponseServer(b)
	f := newTestHost(b, 1, backends.StandInOptions{}, func(o *Options) {
		servers := o.BackendServers()
		servers[0].Address, servers[0].Slots = listener.Addr().String(), 64
		o.Hook = nil
	})
	w := &discardWriter{header: http.Header{}}
	base, err := http.NewRequest(http.MethodGet, "/search?q=1", http.NoBody)
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	base = base.WithContext(ctx)
	authorization := []string{"Bearer " + testKey}
	b.ReportAllocs()
	for b.Loop() {
		clear(w.header)
		clear(base.Header)
		base.Header["Authorization"] = authorization
		f.service.ServeHTTP(w, base)
		if w.status != http.StatusOK {
			b.Fatal(w.status)
		}
	}
}

// BenchmarkIdleConnection measures the memory of an idle connection to a backend server.
func BenchmarkIdleConnection(b *testing.B) {
	const connections = 200
	memory := func() uint64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapInuse + m.StackInuse
	}
	listener := startFixedResponseServer(b)
	client := backends.New(backends.Options{MaxConnections: connections})
	for b.Loop() {
		before := memory()
		for i := range connections {
			// Each probe opens a new connection and leaves it idle in the pool.
			if err := client.Probe(context.Background(), listener.Addr().String()); err != nil {
				b.Fatal(i, err)
			}
		}
		// This includes two 8 KiB buffers and a goroutine per connection on the side of the server.
		b.ReportMetric(float64(memory()-before)/connections, "B/backend-conn+stand-in")
	}
}

// BenchmarkPolicy compares the balancing policies while one of twelve servers is slow or fails fast.
func BenchmarkPolicy(b *testing.B) {
	for _, state := range []struct {
		name  string
		fault *backends.Fault
		slow  time.Duration
	}{
		{"healthy", nil, 0},
		{"slow", &backends.Fault{Kind: backends.FaultSlow, LatencyMS: 60}, 0},
		{"slow-hedged-15ms", &backends.Fault{Kind: backends.FaultSlow, LatencyMS: 60}, 15 * time.Millisecond},
		{"failing-fast", &backends.Fault{Kind: backends.FaultError}, 0},
	} {
		for _, policy := range []balance.Policy{
			balance.PowerOfTwo, balance.HotColdLexicographic, balance.UniformRandom, balance.RoundRobin,
		} {
			b.Run(state.name+"/"+string(policy), func(b *testing.B) {
				for b.Loop() {
					f := newTestHost(b, 12, backends.StandInOptions{Slots: 5, Latency: 3 * time.Millisecond}, func(o *Options) {
						o.Policy, o.HedgeDelay = policy, state.slow
					})
					if state.fault != nil {
						if err := f.standIns[0].SetFaults(*state.fault); err != nil {
							b.Fatal(err)
						}
					}
					latencies, failed := runOpenLoop(3000, 9000, newTarget(f.url))
					b.ReportMetric(quantile(latencies[0], 0.5), "p50-µs")
					b.ReportMetric(quantile(latencies[0], 0.99), "p99-µs")
					b.ReportMetric(float64(failed), "failed")
					b.ReportMetric(float64(len(f.standIns[0].Runs()))/9000*12, "share-of-fair")
				}
			})
		}
	}
}
