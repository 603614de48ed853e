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

// patience bounds the time in which a condition must come true; it is reached only by a failing test.
const patience = 10 * time.Second

func request(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n" }

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	if err := conn.SetDeadline(time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// Guards against work that goes on for a caller that has left while its next requests lie unread: net/http notices the end of
// a connection only while nothing lies unread.
func TestLeavingCallerIsNoticedBehindItsRequests(t *testing.T) {
	defer goleak.VerifyNone(t)
	entered, gone := make(chan bool, 1), make(chan bool, 2)
	s, address := start(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/first" {
			entered <- true
		}
		select {
		case <-r.Context().Done():
			gone <- true
		case <-time.After(patience):
			gone <- false
		}
	})
	for _, ahead := range []string{"", request("/second"), strings.Repeat(request("/second"), 100)} {
		conn := dial(t, address)
		fmt.Fprint(conn, request("/first"))
		<-entered
		fmt.Fprint(conn, ahead)
		_ = conn.Close()
		if !<-gone {
			t.Errorf("a caller that left with %d bytes ahead was not noticed", len(ahead))
		}
	}
	if err := s.Shutdown(t.Context()); err != nil {
		t.Error(err)
	}
}

// Guards against answers that are out of order or mixed, and against requests ahead that are lost.
func TestRequestsAheadAreAnsweredInOrder(t *testing.T) {
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
			t.Fatalf("answer %d is %q, %v", i, body, err)
		}
	}
	_ = conn.Close()
	if err := s.Shutdown(t.Context()); err != nil {
		t.Error(err)
	}
}

// Guards against an answer that is destroyed on its way: closing a connection with unread requests resets it.
func TestLastAnswerIsWholeBeforeRequestsAhead(t *testing.T) {
	defer goleak.VerifyNone(t)
	const size = 512 << 10
	entered, leave := make(chan bool), make(chan bool)
	s, address := start(t, func(w http.ResponseWriter, _ *http.Request) {
		entered <- true
		<-leave
		w.Header().Set("Connection", "close")
		fmt.Fprint(w, strings.Repeat("x", size))
	})
	for range 20 {
		conn := dial(t, address)
		fmt.Fprint(conn, request("/first"))
		<-entered
		fmt.Fprint(conn, strings.Repeat(request("/second"), 50))
		time.Sleep(5 * time.Millisecond)
		leave <- true
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(response.Body); err != nil || len(body) != size {
			t.Errorf("%d of %d bytes, %v", len(body), size, err)
		}
		_ = conn.Close()
	}
	if err := s.Shutdown(t.Context()); err != nil {
		t.Error(err)
	}
}

// Guards against requests that are passed on although their callers left before a busy host read them.
func TestCallerThatLeftBeforeItsRequestWasRead(t *testing.T) {
	defer goleak.VerifyNone(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const callers = 20
	left := make(chan bool, callers+1)
	s := New(Options{Requests: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { left <- Disconnected(r.Context()) }), DrainNotice: time.Millisecond})
	for range callers {
		conn := dial(t, listener.Addr().String())
		fmt.Fprint(conn, request("/first"))
		_ = conn.Close()
	}
	s.Start(listener)
	for range callers {
		if !<-left {
			t.Error("a caller that had left was not noticed")
		}
	}
	conn := dial(t, listener.Addr().String())
	fmt.Fprint(conn, request("/first"))
	if <-left {
		t.Error("a caller that waits counts as gone")
	}
	_ = conn.Close()
	if err := s.Shutdown(t.Context()); err != nil {
		t.Error(err)
	}
}
