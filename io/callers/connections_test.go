package callers

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"
)

// startLimited starts a server with limits. Requests below /wait/ are served until release is closed; those below /long write
// until it fails.
func startLimited(t *testing.T, connections int, headBytes int64) (s *Server, address string, entered, release chan bool, failed *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	entered, release, failed = make(chan bool, 100), make(chan bool), &atomic.Int64{}
	s = New(Options{
		Requests: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			entered <- true
			switch {
			case strings.HasPrefix(r.URL.Path, "/wait"):
				<-release
			case strings.HasPrefix(r.URL.Path, "/long"):
				for {
					if _, err := w.Write(make([]byte, 1<<20)); err != nil {
						failed.Add(1)
						return
					}
				}
			}
			fmt.Fprint(w, "whole")
		}),
		MaxConnections: connections, MaxHeadBytes: headBytes, MaxHeaderBytes: 64 << 10, DrainNotice: time.Millisecond,
	})
	s.Start(listener)
	return s, listener.Addr().String(), entered, release, failed
}

// expectAnswer sends a request and reports whether its response is whole.
func expectAnswer(t *testing.T, conn net.Conn, what, path string) {
	t.Helper()
	fmt.Fprint(conn, request(path))
	readAnswer(t, conn, what)
}

func readAnswer(t *testing.T, conn net.Conn, what string) {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("%s: %v", what, err)
	}
	if body, err := io.ReadAll(response.Body); err != nil || string(body) != "whole" {
		t.Fatalf("%s: body %q, error %v", what, body, err)
	}
}

// expectClosed waits until the server has closed the connection. net/http answers a part of a request line with status 400.
func expectClosed(t *testing.T, conn net.Conn, what string) {
	t.Helper()
	got, err := io.ReadAll(conn)
	timeout := net.Error(nil)
	if errors.As(err, &timeout) && timeout.Timeout() || len(got) > 0 && !strings.HasPrefix(string(got), "HTTP/1.1 400 ") {
		t.Errorf("%s: read %q and error %v, want a closed connection", what, got, err)
	}
}

// awaitIdle waits until net/http has reported that n connections are idle, which it does after the caller has the response.
func awaitIdle(t *testing.T, s *Server, n int) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		idle := 0
		s.table.mu.Lock()
		for c := range s.table.open {
			if c.phase.Load() == phaseIdle {
				idle++
			}
		}
		s.table.mu.Unlock()
		if idle == n {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d connections are idle, want %d", idle, n)
		}
	}
}

// await waits until the handler has been entered.
func await(t *testing.T, entered <-chan bool) {
	t.Helper()
	select {
	case <-entered:
	case <-time.After(testTimeout):
		t.Fatal("the request did not arrive")
	}
}

// stopAndCheck stops the server and checks that the table is empty.
func stopAndCheck(t *testing.T, s *Server, conns ...net.Conn) {
	t.Helper()
	for _, conn := range conns {
		_ = conn.Close()
	}
	if err := s.Shutdown(t.Context()); err != nil {
		t.Error(err)
	}
	for end := time.Now().Add(testTimeout); s.table.count() > 0 || s.table.headBytes.Load() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections and %d bytes of heads are left", s.table.count(), s.table.headBytes.Load())
		}
	}
}

// Guards against idle connections that keep new callers out, and against requests in flight that are cut off for new ones.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	defer goleak.VerifyNone(t)
	s, address, entered, release, _ := startLimited(t, 3, 0)
	busy, idle, fresh := dial(t, address), dial(t, address), dial(t, address)
	fmt.Fprint(busy, request("/wait"))
	await(t, entered)
	expectAnswer(t, idle, "a connection below the limit", "/")
	await(t, entered)
	awaitIdle(t, s, 1)
	fmt.Fprint(fresh, "GET / HT")
	second := dial(t, address)
	expectAnswer(t, second, "a new connection in place of one that has sent no request", "/")
	await(t, entered)
	awaitIdle(t, s, 2)
	expectClosed(t, fresh, "the connection without a request")
	third := dial(t, address)
	expectAnswer(t, third, "a new connection in place of an idle one", "/")
	await(t, entered)
	awaitIdle(t, s, 2)
	expectClosed(t, idle, "the connection that was idle for the longest time")
	for _, conn := range []net.Conn{second, third} {
		fmt.Fprint(conn, request("/wait"))
		await(t, entered)
	}
	refused := dial(t, address)
	expectClosed(t, refused, "a connection beside requests in flight only")
	close(release)
	for _, conn := range []net.Conn{busy, second, third} {
		readAnswer(t, conn, "a request in flight")
	}
	stopAndCheck(t, s, busy, idle, fresh, second, third, refused)
}

// Guards against heads of requests that never end and together take more memory than the limit.
func TestLongHeadsMakeRoom(t *testing.T) {
	defer goleak.VerifyNone(t)
	s, address, entered, _, _ := startLimited(t, 0, 40<<10)
	head := strings.Replace(request("/"), "\r\n\r\n", "\r\nH: "+strings.Repeat("x", 20<<10)+"\r\n", 1)
	var conns []net.Conn
	for i := range 6 {
		conn := dial(t, address)
		conns = append(conns, conn)
		fmt.Fprint(conn, head)
		// The head must have been read before the next one, so that the order of the connections is known.
		for end := time.Now().Add(testTimeout); s.table.headBytes.Load() < min(int64(i)+1, 2)*(16<<10); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%d bytes of %d heads are counted", s.table.headBytes.Load(), i+1)
			}
		}
	}
	expectClosed(t, conns[0], "the connection with the oldest head")
	last := conns[len(conns)-1]
	fmt.Fprint(last, "\r\n")
	readAnswer(t, last, "the newest head")
	await(t, entered)
	ordinary := dial(t, address)
	expectAnswer(t, ordinary, "an ordinary request", "/")
	await(t, entered)
	stopAndCheck(t, s, append(conns, ordinary)...)
}

// Guards against a handler that is blocked for good by a caller that does not read.
func TestBlockedWriteEnds(t *testing.T) {
	defer goleak.VerifyNone(t)
	s, address, entered, _, failed := startLimited(t, 0, 0)
	conn := dial(t, address)
	fmt.Fprint(conn, request("/long"))
	await(t, entered)
	for end := time.Now().Add(testTimeout); failed.Load() == 0; time.Sleep(time.Millisecond) {
		s.table.closeBlocked(time.Now().Add(2 * WriteTimeout))
		if time.Now().After(end) {
			t.Fatal("the write is still blocked")
		}
	}
	stopAndCheck(t, s, conn)
}

// eventConn is a connection that calls onDeadline before a read deadline takes effect.
type eventConn struct {
	net.Conn
	onDeadline func()
	deadline   time.Time
}

func (c *eventConn) SetReadDeadline(at time.Time) error {
	if call := c.onDeadline; call != nil {
		c.onDeadline = nil
		call()
	}
	c.deadline = at
	return nil
}

// Guards against a request that is cut off because it arrived whole while its idle connection was being evicted.
func TestEvictionSparesArrivedRequest(t *testing.T) {
	conn := &eventConn{}
	c := &pipeliningConn{Conn: conn, connectionState: connectionState{table: newConnectionTable(Options{})}}
	c.setPhase(http.StateIdle)
	var group errgroup.Group
	arrive := func() error {
		c.setPhase(http.StateActive)
		return nil
	}
	conn.onDeadline = func() {
		if !c.mu.TryLock() {
			// The request has to wait for the eviction.
			group.Go(arrive)
			return
		}
		c.mu.Unlock()
		_ = arrive()
	}
	c.evict()
	_ = group.Wait()
	if !conn.deadline.IsZero() {
		t.Errorf("the request is served with the read deadline %v", conn.deadline)
	}
}

// Guards against a caller that loses a connection, which it has kept idle for long, to heads that other callers never end.
func TestLongHeadAfterIdleTimeIsNotTheOldest(t *testing.T) {
	table := newConnectionTable(Options{MaxHeadBytes: 20 << 10, OnClosed: func(string) {}})
	var conns []*pipeliningConn
	for i := range 2 {
		c := &pipeliningConn{Conn: &eventConn{}, connectionState: connectionState{table: table}}
		c.since.Store(int64(i + 1))
		table.add(c)
		conns = append(conns, c)
	}
	idle, endless := conns[0], conns[1]
	if !endless.countHead(20 << 10) {
		t.Fatal("a head below the limit was cut off")
	}
	if !idle.countHead(10<<10) || idle.evicted.Load() || !endless.evicted.Load() {
		t.Errorf("evicted: idle connection %v, endless head %v; want the endless head", idle.evicted.Load(), endless.evicted.Load())
	}
}
