package callers

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against a caller that holds its connection for as long as it likes, because the body of its refused request never comes
// (review/7).
func TestUnreadBodyThatNeverComesEndsTheConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(Options{
		Requests:    http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) }),
		DrainNotice: time.Millisecond, UnreadBodyTimeout: 50 * time.Millisecond,
	})
	s.Start(listener)
	for _, length := range []string{"Content-Length: 100", "Transfer-Encoding: chunked"} {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		// Only a server that waits for the body lets this deadline pass.
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
		fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: x\r\n%s\r\n\r\n", length)
		reader := bufio.NewReader(conn)
		response, err := http.ReadResponse(reader, nil)
		if err != nil || response.StatusCode != http.StatusNotFound || !response.Close {
			t.Errorf("%s: got %+v, %v; want 404 and the end of the connection", length, response, err)
		}
		_ = conn.Close()
	}
	if err := s.Shutdown(t.Context()); err != nil {
		t.Error(err)
	}
}

// Guards against the timeout of unread bodies ending a connection whose bodies are read, or arrive late but in time.
func TestReadBodiesKeepTheConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(Options{Requests: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), DrainNotice: time.Millisecond})
	s.Start(listener)
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for range 3 {
		fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n")
		fmt.Fprint(conn, "body")
		response, err := http.ReadResponse(reader, nil)
		if err != nil || response.StatusCode != http.StatusOK || response.Close {
			t.Fatalf("got %+v, %v; want 200 on a kept connection", response, err)
		}
	}
	if err := s.Shutdown(t.Context()); err != nil {
		t.Error(err)
	}
}
