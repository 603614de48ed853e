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

const (
	hostName  = "jepu9.example"
	clientKey = "9anu6wsjnbanfqasnmgk"
	// connectTime is the time that callers allow a new channel to be established.
	connectTime = time.Second
)

// manifest returns the operator's manifest: a safe route /look/ and an unsafe route /post/ of one service.
func manifest(version int) string {
	return fmt.Sprintf(`{"Version":"r%d","Services":[{"Name":"bitacora","HealthPath":"/health","MaxConns":330,"Protocol":"h1",`+
		`"Tls":false,"ColdStartS":3.0,"ColdPerS":12.0}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,`+
		`"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[{"Name":"sese880","ApiKeys":[%q],"Priority":1,"RatePerS":0,`+
		`"Burst":0,"HomeRegions":[]}],"VirtualHosts":[{"Host":%q,"Paths":[{"Name":"r-look","PathPrefix":"/look/","Kind":"safe",`+
		`"TimeoutMs":2000,"TargetLatencyMs":400,"Priority":2,"Service":"bitacora","MaxAttempts":2,"Public":false,"Sticky":false,`+
		`"HomeRegions":[]},{"Name":"r-post","PathPrefix":"/post/","Kind":"unsafe","TimeoutMs":2500,"TargetLatencyMs":400,`+
		`"Priority":2,"Service":"bitacora","MaxAttempts":2,"Public":false,"Sticky":false,"HomeRegions":[]}]}]}`,
		version, clientKey, hostName)
}

var attempts atomic.Uint64

// newAttempt returns the id of a new attempt.
func newAttempt() string { return fmt.Sprintf("a%015x", attempts.Add(1)) }

// result is what a client got for one attempt.
type result struct {
	attempt string
	// sent and received are the times of the attempt and its answer.
	sent, received time.Time
	// status is 0 if there was no answer; text is the body or the error.
	status int
	text   string
	header http.Header
}

// send sends one attempt on a new channel and reads the answer.
func send(r *record, address, method, path string, deadline time.Duration) (got result) {
	got.attempt, got.sent = newAttempt(), time.Now()
	defer func() { got.received = time.Now() }()
	defer func() { r.write("client %s %s to %s: %d %s", got.attempt, path, address, got.status, got.text) }()
	conn, err := net.DialTimeout("tcp4", address, connectTime)
	if err != nil {
		got.text = err.Error()
		return got
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(deadline)); err != nil {
		got.text = err.Error()
		return got
	}
	length := ""
	if method != http.MethodGet {
		length = "Content-Length: 0\r\n"
	}
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nKey: %s\r\n%sConnection: close\r\n\r\n",
		method, path, hostName, got.attempt, deadline.Milliseconds(), clientKey, length)
	if err != nil {
		got.text = err.Error()
		return got
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		got.text = err.Error()
		return got
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		got.text = err.Error()
		return got
	}
	got.status, got.text, got.header = response.StatusCode, string(body), response.Header
	return got
}
