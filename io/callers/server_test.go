package callers

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"
)

func start(t *testing.T, handler http.HandlerFunc) (*Server, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(Options{Requests: handler, MaxHeaderBytes: 1 << 10, DrainNotice: 50 * time.Millisecond})
	s.Start(listener)
	return s, listener.Addr().String()
}

// Guards against a shutdown that cuts off a request in flight, or one that a caller sends on an idle connection during the
// drain notice.
func TestShutdownCompletesAcceptedRequests(t *testing.T) {
	defer goleak.VerifyNone(t)
	entered, finish := make(chan bool, 2), make(chan bool)
	s, address := start(t, func(w http.ResponseWriter, r *http.Request) {
		entered <- true
		if r.URL.Path == "/slow" {
			<-finish
		}
		fmt.Fprint(w, "whole")
	})
	client := &http.Client{Transport: &http.Transport{}}
	get := func(path string) error {
		resp, err := client.Get("http://" + address + path)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "whole" {
			return fmt.Errorf("got %q, %w", body, err)
		}
		return nil
	}
	var requests errgroup.Group
	requests.Go(func() error { return get("/slow") })
	<-entered
	idle, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	var stop errgroup.Group
	stop.Go(func() error { return s.Shutdown(context.Background()) })
	for !s.draining.Load() {
		time.Sleep(time.Millisecond)
	}
	fmt.Fprint(idle, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(idle), nil)
	if err != nil || !resp.Close {
		t.Errorf("a request during the drain notice got response %+v, error %v; want Connection: close", resp, err)
	}
	close(finish)
	if err := requests.Wait(); err != nil {
		t.Error(err)
	}
	if err := stop.Wait(); err != nil {
		t.Error(err)
	}
	client.CloseIdleConnections()
	if _, err := net.Dial("tcp", address); err == nil {
		t.Error("the server still listens after its shutdown")
	}
}

// Guards against request headers of unbounded size that exhaust the memory.
func TestLongHeadersAreRefused(t *testing.T) {
	s, address := start(t, func(http.ResponseWriter, *http.Request) {})
	defer func() { _ = s.Shutdown(context.Background()) }()
	raw, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	fmt.Fprintf(raw, "GET / HTTP/1.1\r\nHost: x\r\nA: %s\r\n\r\n", strings.Repeat("a", 8<<10))
	resp, err := http.ReadResponse(bufio.NewReader(raw), nil)
	if err != nil || resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("got response %+v, error %v; want status 431", resp, err)
	}
}
