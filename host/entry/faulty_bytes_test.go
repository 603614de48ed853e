package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"vanillatally/io/platform"
)

// scriptedServer is a backend server that writes what the test says.
type scriptedServer struct {
	address string
	// runs is the number of requests that the server ran.
	runs atomic.Int64
}

// newScriptedServer starts a server that calls answer for each request on a connection, until answer returns false.
func newScriptedServer(t *testing.T, answer func(s *scriptedServer, conn net.Conn, id string) bool) *scriptedServer {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedServer{address: listener.Addr().String()}
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			group.Go(func() error {
				defer func() { _ = conn.Close() }()
				for reader := bufio.NewReader(conn); ; {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return nil
					}
					_, _ = io.Copy(io.Discard, r.Body)
					if !answer(s, conn, r.Header.Get("Id")) {
						return nil
					}
				}
			})
		}
	})
	t.Cleanup(func() { _ = listener.Close() })
	return s
}

// list puts the servers into the host's list. started distinguishes the processes of a server.
func (s *scriptedServer) list(h *Host, started int64, others ...*scriptedServer) {
	var listed []platform.BackendServer
	for i, server := range append([]*scriptedServer{s}, others...) {
		listed = append(listed, platform.BackendServer{
			ID: fmt.Sprint("server-", i), Service: "search", Region: "north", FailureDomain: "north-a", Address: server.address,
			Slots: 4, Started: started,
		})
	}
	h.SetServers(listed)
}

func (s *scriptedServer) refuse(conn net.Conn, id string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\n%sNot-Run: 1\r\nContent-Length: 0\r\n\r\n", idLine(id))
}

func (s *scriptedServer) run(conn net.Conn, id string) {
	s.runs.Add(1)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sProof: yes\r\nContent-Length: 5\r\n\r\nwhole", idLine(id))
}

func idLine(id string) string {
	if id == "" {
		return ""
	}
	return "Id: " + id + "\r\n"
}

// send sends a request with the ID to the host. It returns the recorder also if the host broke the response off.
func send(h *Host, path, id string) (w *httptest.ResponseRecorder, aborted bool) {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader("body"))
	if id != "" {
		r.Header.Set("Id", id)
	}
	r.Header.Set("Left", "4000")
	r.Header.Set("Secret", "red-key")
	w = httptest.NewRecorder()
	defer func() { aborted = recover() != nil }()
	h.ServeHTTP(w, r)
	return w, false
}

// Guards against a refusal that a faulty server writes once more on a kept connection: callers would get "not run"
// for a request that has run, or it would run at a second server.
func TestCopyOfEarlierRefusalIsNotTakenForAnAnswer(t *testing.T) {
	for _, c := range []struct {
		name string
		// answer handles the second request on the connection, after a refusal of the request "first".
		answer func(s *scriptedServer, conn net.Conn, id string) bool
		// second is the ID of the second request.
		second string
		// statuses are the allowed ones.
		statuses string
	}{
		{"before the answer", func(s *scriptedServer, conn net.Conn, id string) bool {
			s.refuse(conn, "first")
			s.run(conn, id)
			return true
		}, "second", "200"},
		{"before an answer that takes some time", func(s *scriptedServer, conn net.Conn, id string) bool {
			s.refuse(conn, "first")
			time.Sleep(50 * time.Millisecond)
			s.run(conn, id)
			return true
		}, "second", "200"},
		{"instead of the answer", func(s *scriptedServer, conn net.Conn, _ string) bool {
			s.runs.Add(1)
			s.refuse(conn, "first")
			return false
		}, "second", "502"},
		{"without an ID", func(s *scriptedServer, conn net.Conn, id string) bool {
			s.refuse(conn, "")
			s.run(conn, id)
			return true
		}, "second", "502"},
		{"of a request that this host did not send", func(s *scriptedServer, conn net.Conn, id string) bool {
			s.refuse(conn, "unknown")
			s.run(conn, id)
			return true
		}, "second", "502"},
		{"before the answer to a request without an ID", func(s *scriptedServer, conn net.Conn, id string) bool {
			s.refuse(conn, "unknown")
			s.run(conn, id)
			return true
		}, "", "502"},
		{"of the same request", func(s *scriptedServer, conn net.Conn, id string) bool {
			s.refuse(conn, "first")
			s.run(conn, id)
			return true
		}, "first", "200"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var kept net.Conn
			answered := make(chan struct{})
			server := newScriptedServer(t, func(s *scriptedServer, conn net.Conn, id string) bool {
				switch kept {
				case nil:
					kept = conn
					s.refuse(conn, id)
					return true
				case conn:
					defer close(answered)
					return c.answer(s, conn, id)
				}
				s.run(conn, id)
				return true
			})
			h := newTestHost(t)
			server.list(h, 1)
			if w, _ := send(h, "/write/1", "first"); w.Code != http.StatusServiceUnavailable {
				t.Fatalf("status %d of a refused request, want 503", w.Code)
			}
			other := newScriptedServer(t, func(s *scriptedServer, conn net.Conn, id string) bool {
				s.run(conn, id)
				return true
			})
			// The other server is the second choice, for a wrong second attempt.
			server.list(h, 1, other)
			for range 20 {
				h.listedServer("server-1").recordResult(h.now(), true)
			}
			w, _ := send(h, "/write/1", c.second)
			if c.statuses == "502" {
				// The host may answer after the copy, before the server has counted its run.
				<-answered
			}
			if got := fmt.Sprint(w.Code); !strings.Contains(c.statuses, got) || server.runs.Load()+other.runs.Load() != 1 {
				t.Errorf("status %s, %d runs, want %s and one run", got, server.runs.Load()+other.runs.Load(), c.statuses)
			}
			close(h.stopping)
			_ = h.probes.Wait()
		})
	}
}

// Guards against a response that a server breaks off, in the head or later, and that reaches the caller as a whole one.
func TestResponseThatBreaksOffIsNeverWhole(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: request-1\r\nProof: yes\r\nKeep-Alive: timeout=12\r\n"
	for _, c := range []struct {
		name, response string
		// whole is the length from which the response counts as whole.
		whole int
	}{
		{"length", head + "Content-Length: 12\r\n\r\nbody of text", 0},
		{"length 0", head + "Content-Length: 0\r\n\r\n", 0},
		{"chunked", head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", 0},
		{"chunked with a trailer", head + "Transfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n5\r\nwhole\r\n0\r\nSum: 1\r\n\r\n", 0},
		{"until the connection ends", head + "\r\nwhole", len(head) + 2},
		{"line ends without carriage return", strings.ReplaceAll(head, "\r", "") + "Content-Length: 5\n\nwhole", 0},
		{"after an informational response", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + head + "Content-Length: 5\r\n\r\nwhole", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.whole == 0 {
				c.whole = len(c.response)
			}
			for _, path := range []string{"/read/1", "/write/1"} {
				for n := range len(c.response) {
					for _, reset := range []bool{false, true} {
						server := newScriptedServer(t, func(s *scriptedServer, conn net.Conn, _ string) bool {
							s.runs.Add(1)
							_, _ = io.WriteString(conn, c.response[:n])
							if reset {
								time.Sleep(time.Millisecond)
								_ = conn.(*net.TCPConn).SetLinger(0)
							}
							return false
						})
						h := newTestHost(t)
						server.list(h, 1)
						w, aborted := send(h, path, "request-1")
						allowed := w.Code == http.StatusBadGateway || n >= c.whole && !reset && w.Code == http.StatusOK
						if !aborted && !allowed || server.runs.Load() != 1 {
							t.Errorf("%s, %q and then reset: %v: status %d, body %q, %d runs", path, c.response[:n], reset, w.Code, w.Body,
								server.runs.Load())
						}
						close(h.stopping)
						_ = h.probes.Wait()
					}
				}
			}
		})
	}
}
