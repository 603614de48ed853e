package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"vanillatally/core/config"
	"vanillatally/io/platform"
)

// endless is a backend server that answers each request with a beginning and then repeats bytes until the connection closes.
type endless struct {
	listener net.Listener
	group    errgroup.Group
	// closed receives once for each connection that the host closed.
	closed chan bool
}

// newEndless starts the server; pause is the time between two pieces.
func newEndless(t *testing.T, begin, repeat string, pause time.Duration) *endless {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &endless{listener: listener, closed: make(chan bool, 16)}
	e.group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			e.group.Go(func() error {
				defer func() {
					_ = conn.Close()
					e.closed <- true
				}()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return nil
				}
				begin := strings.ReplaceAll(begin, "ID", request.Header.Get("Id"))
				if _, err := io.WriteString(conn, begin); err != nil {
					return nil
				}
				for {
					if _, err := io.WriteString(conn, repeat); err != nil {
						return nil
					}
					time.Sleep(pause)
				}
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		_ = e.group.Wait()
	})
	return e
}

const endlessHead = "HTTP/1.1 200 OK\r\nId: ID\r\nProof: yes\r\n"

// Guards against bytes that are no answer and come without end, at full speed or slowly: they hold memory, or a request beyond
// its time, or reach the caller as a whole answer, or the host says of them that the request has not run.
func TestBytesWithoutEnd(t *testing.T) {
	const timeout = 800 * time.Millisecond
	long := strings.Repeat("x", 8<<10)
	for name, stream := range map[string]struct{ begin, repeat string }{
		"status line":       {"HTTP/1.1 200 ", long},
		"header line":       {"HTTP/1.1 200 OK\r\nX: ", long},
		"headers":           {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		"informational":     {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"no protocol":       {"", long},
		"chunk extension":   {endlessHead + "Transfer-Encoding: chunked\r\n\r\n1;", long},
		"chunk size":        {endlessHead + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		"chunks":            {endlessHead + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"trailers":          {endlessHead + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "X: y\r\n"},
		"body of no length": {endlessHead + "\r\n", long},
		"long body":         {endlessHead + "Content-Length: 1099511627776\r\n\r\n", long},
		"unproved body":     {"HTTP/1.1 200 OK\r\nId: ID\r\n\r\n", long},
		"second answers":    {"", "HTTP/1.1 200 OK\r\nId: other\r\nProof: yes\r\nContent-Length: 5\r\n\r\nwhole"},
	} {
		for _, pause := range []time.Duration{0, 5 * time.Millisecond} {
			t.Run(fmt.Sprint(name, " each ", pause), func(t *testing.T) {
				t.Parallel()
				e := newEndless(t, stream.begin, stream.repeat, pause)
				h := newEndlessHost(t, e, timeout)
				server := httptest.NewServer(h)
				defer server.Close()
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				begun := time.Now()
				request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, server.URL+"/write/1", strings.NewReader("body"))
				if err != nil {
					t.Fatal(err)
				}
				request.Header.Set("Id", "r1")
				request.Header.Set("Secret", "red-key")
				response, err := http.DefaultClient.Do(request)
				if err == nil {
					_, err = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
					if err == nil && response.StatusCode != http.StatusBadGateway && response.StatusCode != http.StatusGatewayTimeout {
						t.Errorf("a whole answer with status %d", response.StatusCode)
					}
				}
				if took := time.Since(begun); took > 10*timeout {
					t.Errorf("the request took %s", took)
				}
				select {
				case <-e.closed:
				case <-time.After(10 * time.Second):
					t.Error("the connection to the server stays open")
				}
				runtime.ReadMemStats(&after)
				const most = 64 << 20
				if after.HeapInuse > before.HeapInuse+most {
					t.Errorf("%d bytes of memory in use, %d before", after.HeapInuse, before.HeapInuse)
				}
				s := h.listedServer("server-a")
				s.mu.Lock()
				defer s.mu.Unlock()
				if s.successRate >= 1 {
					t.Error("the server's standing did not fall")
				}
			})
		}
	}
}

// newEndlessHost returns a host whose only backend server is e.
func newEndlessHost(t *testing.T, e *endless, timeout time.Duration) *Host {
	h := newTestHost(t)
	c := *h.configuration
	routes := map[string]config.Route{}
	for name, route := range c.Routes {
		route.Timeout, route.Objective = config.Duration(timeout), config.Duration(timeout/4)
		routes[name] = route
	}
	c.Routes = routes
	c.Sequence++
	c = c.WithIndex()
	h.SetConfiguration(&c)
	h.SetServers([]platform.BackendServer{{
		ID: "server-a", Service: "search", Region: "north", FailureDomain: "north-a", Address: e.listener.Addr().String(), Slots: 4,
	}})
	return h
}
