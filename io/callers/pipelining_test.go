package callers

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// testTimeout is the time within which the tests' conditions must become true; only a failing test reaches it.
const testTimeout = 10 * time.Second

func request(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n" }

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// Guards against a request whose context is not cancelled when its caller disconnects after pipelining further requests.
// net/http stops watching for a disconnect as soon as a byte of the next request arrives.
func TestDisconnectBehindPipelinedRequestsIsDetected(t *testing.T) {
	defer goleak.VerifyNone(t)
	entered, cancelled := make(chan bool, 1), make(chan bool, 2)
	s, address := start(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/first" {
			entered <- true
		}
		select {
		case <-r.Context().Done():
			cancelled <- true
		case <-time.After(testTimeout):
			cancelled <- false
		}
	})
	for _, pipelined := range []string{"", request("/second"), strings.Repeat(request("/second"), 100)} {
		conn := dial(t, address)
		fmt.Fprint(conn, request("/first"))
		<-entered
		fmt.Fprint(conn, pipelined)
		_ = conn.Close()
		if !<-cancelled {
			t.Errorf("the disconnect of a caller with %d pipelined bytes was not detected", len(pipelined))
		}
	}
	if err := s.Shutdown(t.Context()); err != nil {
		t.Error(err)
	}
}

// Guards against pipelined requests that are lost, or answered out of order or with another request's body.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	defer goleak.VerifyNone(t)
	s, address := start(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		fmt.Fprint(w, r.URL.Path, string(body))
	})
	conn := dial(t, address)
	defer conn.Close()
	const requests = 300
	for i := range requests {
		fmt.Fprintf(conn, "POST /%d HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody", i)
	}
	answers := bufio.NewReader(conn)
	for i := range requests {
		response, err := http.ReadResponse(answers, nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(response.Body); err != nil || string(body) != fmt.Sprintf("/%dbody", i) {
			t.Fatalf("response %d has body %q, error %v", i, body, err)
		}
	}
	_ = conn.Close()
	if err := s.Shutdown(t.Context()); err != nil {
		t.Error(err)
	}
}

// Guards against a last response that is cut off: closing a socket with unread pipelined requests sends a TCP reset.
func TestLastResponseIsCompleteWithUnreadPipelinedRequests(t *testing.T) {
	defer goleak.VerifyNone(t)
	const size = 512 << 10
	entered, finish := make(chan bool), make(chan bool)
	s, address := start(t, func(w http.ResponseWriter, _ *http.Request) {
		entered <- true
		<-finish
		w.Header().Set("Connection", "close")
		fmt.Fprint(w, strings.Repeat("x", size))
	})
	for range 20 {
		conn := dial(t, address)
		fmt.Fprint(conn, request("/first"))
		<-entered
		fmt.Fprint(conn, strings.Repeat(request("/second"), 50))
		time.Sleep(5 * time.Millisecond)
		finish <- true
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(response.Body); err != nil || len(body) != size {
			t.Errorf("received %d of %d body bytes, error %v", len(body), size, err)
		}
		_ = conn.Close()
	}
	if err := s.Shutdown(t.Context()); err != nil {
		t.Error(err)
	}
}

// Guards against forwarding requests whose callers disconnected before a busy host read them: the request's context is not
// cancelled yet at that time.
func TestCallerThatLeftBeforeItsRequestWasRead(t *testing.T) {
	defer goleak.VerifyNone(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const callers = 20
	disconnected := make(chan bool, callers+1)
	s := New(Options{
		Requests:    http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { disconnected <- Disconnected(r.Context()) }),
		DrainNotice: time.Millisecond,
	})
	for range callers {
		conn := dial(t, listener.Addr().String())
		fmt.Fprint(conn, request("/first"))
		_ = conn.Close()
	}
	s.Start(listener)
	for range callers {
		if !<-disconnected {
			t.Error("the handler did not see that the caller had disconnected")
		}
	}
	conn := dial(t, listener.Addr().String())
	fmt.Fprint(conn, request("/first"))
	if <-disconnected {
		t.Error("a waiting caller was taken for disconnected")
	}
	_ = conn.Close()
	if err := s.Shutdown(t.Context()); err != nil {
		t.Error(err)
	}
}
