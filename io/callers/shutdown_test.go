package callers

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// heldListener accepts one connection whose Read returns the bytes of a request marked "held" only after hold has returned.
type heldListener struct {
	net.Listener
	hold func(closed <-chan struct{})
}

func (l heldListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldConn{Conn: conn, hold: l.hold, closed: make(chan struct{})}, nil
}

type heldConn struct {
	net.Conn
	hold   func(closed <-chan struct{})
	closed chan struct{}
	once   sync.Once
}

func (c *heldConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if bytes.Contains(p[:n], []byte("held")) {
		c.hold(c.closed)
	}
	return n, err
}

func (c *heldConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// startHeld starts a server that answers each request with its path, and returns its address.
func startHeld(t *testing.T, hold func(s *Server, closed <-chan struct{})) (s *Server, address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s = New(Options{
		Requests:    http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, r.URL.Path) }),
		DrainNotice: 10 * time.Millisecond,
	})
	s.Start(heldListener{listener, func(closed <-chan struct{}) { hold(s, closed) }})
	return s, listener.Addr().String()
}

// ask sends a request on the connection and returns the body of the response.
func ask(conn net.Conn, path string) (string, error) {
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path); err != nil {
		return "", err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// Guards against a planned stop that closes a connection on which the process has already read a request: it would be passed on,
// and its caller would get no answer.
func TestRequestThatIsReadWhileIdleConnectionsCloseIsAnswered(t *testing.T) {
	var reading, stopping errgroup.Group
	isRead := make(chan struct{})
	s, address := startHeld(t, func(s *Server, closed <-chan struct{}) {
		close(isRead)
		<-s.Done()
		// The server closes idle connections just after its listener.
		select {
		case <-closed:
		case <-time.After(100 * time.Millisecond):
		}
	})
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if body, err := ask(conn, "/first"); err != nil || body != "/first" {
		t.Fatalf("the first request got %q, %v", body, err)
	}
	reading.Go(func() error {
		body, err := ask(conn, "/held")
		if err != nil || body != "/held" {
			return fmt.Errorf("a request that was read while idle connections closed got %q, %w", body, errors.Join(err))
		}
		return nil
	})
	<-isRead
	stopping.Go(func() error { return s.Shutdown(context.Background()) })
	if err := reading.Wait(); err != nil {
		t.Error(err)
	}
	if err := stopping.Wait(); err != nil {
		t.Error(err)
	}
}
