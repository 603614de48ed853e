package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var attempts atomic.Uint64

// nextAttempt returns a new Attempt-Id.
func nextAttempt() string { return fmt.Sprintf("a%06d", attempts.Add(1)) }

// answer is what a client saw of one request.
type answer struct {
	attempt string
	status  int
	seal    string
	body    string
	took    time.Duration
	err     error
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no answer after %.3f s: %v", a.took.Seconds(), a.err)
	}
	return fmt.Sprintf("status %d after %.3f s, seal %q, body %.60q", a.status, a.took.Seconds(), a.seal, a.body)
}

// head returns the head of a request. more holds further header lines with their line ends.
func head(method, target, attempt string, deadlineMs int, more string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nKey: %s\r\n%s\r\n",
		method, target, virtualHost, attempt, deadlineMs, tenantKey, more)
}

// channel is a client's channel to a host.
type channel struct {
	net.Conn
	reader *bufio.Reader
}

func dial(address string) (*channel, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn, bufio.NewReader(conn)}, nil
}

// read reads the next answer within limit.
func (c *channel) read(attempt, method string, limit time.Duration) answer {
	began := time.Now()
	_ = c.SetReadDeadline(began.Add(limit))
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return answer{attempt: attempt, took: time.Since(began), err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{
		attempt: attempt, status: response.StatusCode, seal: response.Header.Get("Server-Seal"), body: string(body), took: time.Since(began), err: err,
	}
}
