package request

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"golang.org/x/sync/errgroup"

	"vanillatally/core/claim"
	"vanillatally/io/backends"
	"vanillatally/io/callers"
	"vanillatally/io/platform"
)

// newRawServer starts a backend server that sends the response to each request and counts the requests. ID in the response
// stands for the ID of the request.
func newRawServer(t *testing.T, response string, requests *atomic.Int64) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", uniqueLoopbackAddress())
	if err != nil {
		t.Fatal(err)
	}
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
					requests.Add(1)
					// A write error means that the host has closed the connection.
					_, _ = io.WriteString(conn, strings.ReplaceAll(response, "ID", r.Header.Get("X-Request-Id")))
				}
			})
		}
	})
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// Guards against a malformed status that makes the handler panic, or that reaches the caller.
func TestMalformedStatusIsRefused(t *testing.T) {
	const rest = "\r\nX-Request-Id: ID\r\nX-Shed: true\r\nContent-Length: 5\r\n\r\nwhole"
	for name, response := range map[string]string{
		"000": "HTTP/1.1 000 Text" + rest, "001": "HTTP/1.1 001 Text" + rest, "099": "HTTP/1.1 099 Text" + rest,
		"600": "HTTP/1.1 600 Text" + rest, "999": "HTTP/1.1 999 Text" + rest, "two digits": "HTTP/1.1 20 OK" + rest,
		"four digits": "HTTP/1.1 2000 OK" + rest, "plus sign": "HTTP/1.1 +20 OK" + rest, "minus sign": "HTTP/1.1 -20 OK" + rest,
		"many informational": strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 64) + "HTTP/1.1 200 OK" + rest,
		"unsolicited 101":    "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var requests atomic.Int64
			var listed atomic.Bool
			address := newRawServer(t, response, &requests)
			f := newTestHost(t, 1, backends.StandInOptions{}, func(o *Options) {
				shortTimeouts(o)
				good := o.BackendServers()
				o.BackendServers = func() []platform.BackendServer {
					if !listed.Load() {
						return good
					}
					return append([]platform.BackendServer{{
						ID: "faulty", Service: "main", Region: "r", FailureDomain: "d", Address: address, Slots: 4,
					}}, good...)
				}
			})
			// Each request adds a tenth of a retry to the budget, which the retries below must not use up.
			for range 100 {
				f.send("GET", "/search", "")
			}
			listed.Store(true)
			// Requests are sent until the faulty server was chosen for one.
			for requests.Load() == 0 {
				got := f.send("POST", "/hold", "x")
				if requests.Load() > 0 && (got.err != nil || got.status != 502 || got.ran != string(callers.RunUnknown)) {
					t.Errorf("a request that is not idempotent got %+v, want a complete response with status 502", got)
				}
			}
			for range 8 {
				if got := f.send("GET", "/search", ""); got.err != nil || got.status != 200 {
					t.Errorf("an idempotent request got %+v, want the response of the other server", got)
				}
			}
		})
	}
}

// Guards against the replay of a malformed status that another host stored with a claim.
func TestStoredMalformedStatusIsNotReplayed(t *testing.T) {
	f := newTestHost(t, 1, backends.StandInOptions{}, func(o *Options) {
		o.Claims = storedClaims{NewLocalClaims(), claim.Result{Status: 20, Body: []byte("whole")}}
	})
	if got := f.send("POST", "/hold", "x", "Idempotency-Key: a"); got.err != nil || got.status != 409 ||
		got.ran != string(callers.RunUnknown) {
		t.Errorf("got %+v, want a refusal with status 409", got)
	}
}

// storedClaims says of each claim that its request has run.
type storedClaims struct {
	*LocalClaims
	result claim.Result
}

func (c storedClaims) Begin(context.Context, claim.Request) (claim.Answer, error) {
	return claim.Answer{State: claim.Done, Result: &c.result}, nil
}
