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

// endlessServer is a backend server that answers each request with some first bytes and then repeats others until the
// connection closes.
type endlessServer struct {
	listener net.Listener
	group    errgroup.Group
	// closed receives a value for each connection that the host closed.
	closed chan bool
}

// newEndlessServer starts the server; pause is the time between two repetitions.
func newEndlessServer(t *testing.T, begin, repeat string, pause time.Duration) *endlessServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &endlessServer{listener: listener, closed: make(chan bool, 16)}
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

const validResponseStart = "HTTP/1.1 200 OK\r\nId: ID\r\nProof: yes\r\n"

// Guards against endless responses, invalid ones and valid ones, sent at full speed or slowly: they could fill the memory,
// delay a request beyond its deadline, reach the caller as a complete response, or lead to a refusal which says that the
// request has not run.
func TestEndlessResponseIsCutOff(t *testing.T) {
	const timeout = 800 * time.Millisecond
	long := strings.Repeat("x", 8<<10)
	for name, stream := range map[string]struct{ begin, repeat string }{
		"status line":      {"HTTP/1.1 200 ", long},
		"header line":      {"HTTP/1.1 200 OK\r\nX: ", long},
		"headers":          {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		"informational":    {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"no HTTP":          {"", long},
		"chunk extension":  {validResponseStart + "Transfer-Encoding: chunked\r\n\r\n1;", long},
		"chunk size":       {validResponseStart + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		"chunks":           {validResponseStart + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"trailers":         {validResponseStart + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "X: y\r\n"},
		"unlimited body":   {validResponseStart + "\r\n", long},
		"long body":        {validResponseStart + "Content-Length: 1099511627776\r\n\r\n", long},
		"body, no marker":  {"HTTP/1.1 200 OK\r\nId: ID\r\n\r\n", long},
		"second responses": {"", "HTTP/1.1 200 OK\r\nId: other\r\nProof: yes\r\nContent-Length: 5\r\n\r\nwhole"},
	} {
		for _, pause := range []time.Duration{0, 5 * time.Millisecond} {
			t.Run(fmt.Sprint(name, " every ", pause), func(t *testing.T) {
				t.Parallel()
				e := newEndlessServer(t, stream.begin, stream.repeat, pause)
				h := newHostWithServer(t, e, timeout)
				server := httptest.NewServer(h)
				defer server.Close()
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				started := time.Now()
				request, err := http.NewRequestWithContext(
					context.Background(), http.MethodPost, server.URL+"/write/1", strings.NewReader("body"),
				)
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
						t.Errorf("the caller got a complete response with status %d", response.StatusCode)
					}
				}
				if took := time.Since(started); took > 10*timeout {
					t.Errorf("the request took %s, more than ten times its timeout", took)
				}
				select {
				case <-e.closed:
				case <-time.After(10 * time.Second):
					t.Error("the connection to the server was not closed")
				}
				runtime.ReadMemStats(&after)
				const maxGrowth = 64 << 20
				if after.HeapInuse > before.HeapInuse+maxGrowth {
					t.Errorf("%d bytes of heap in use after the request, %d before it", after.HeapInuse, before.HeapInuse)
				}
				s := h.listedServer("server-a")
				s.mu.Lock()
				defer s.mu.Unlock()
				if s.successRate >= 1 {
					t.Error("the success rate of the server did not fall")
				}
			})
		}
	}
}

// newHostWithServer returns a host whose only backend server is e.
func newHostWithServer(t *testing.T, e *endlessServer, timeout time.Duration) *Host {
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
