package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"vanillatally/io/callers"
)

// statusRest is the rest of a response after its status line.
const statusRest = "\r\nID\r\nProof: yes\r\nContent-Length: 5\r\n\r\nwhole"

// Guards against a malformed status that makes the handler panic, so that the caller's connection breaks without a response, or
// that reaches the caller, or that is accepted as proof that the request was not run.
func TestMalformedStatusIsRefused(t *testing.T) {
	for name, response := range map[string]string{
		"000": "HTTP/1.1 000 Text" + statusRest, "001": "HTTP/1.1 001 Text" + statusRest, "099": "HTTP/1.1 099 Text" + statusRest,
		"600": "HTTP/1.1 600 Text" + statusRest, "999": "HTTP/1.1 999 Text" + statusRest, "two digits": "HTTP/1.1 20 OK" + statusRest,
		"four digits": "HTTP/1.1 2000 OK" + statusRest, "plus sign": "HTTP/1.1 +20 OK" + statusRest,
		"minus sign": "HTTP/1.1 -20 OK" + statusRest, "space within the digits": "HTTP/1.1 2 0 OK" + statusRest,
		"space and two digits": "HTTP/1.1  20 OK" + statusRest,
		"many informational":   strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 64) + "HTTP/1.1 200 OK" + statusRest,
		"unsolicited 101":      "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n",
	} {
		for _, c := range []struct {
			name, path, marker string
			status             int
		}{
			{"not idempotent", "/write/1", "Proof: yes", http.StatusBadGateway},
			{"not idempotent, said not to have run", "/write/1", "Not-Run: 1", http.StatusBadGateway},
			{"idempotent", "/read/1", "Proof: yes", http.StatusOK},
		} {
			response := strings.ReplaceAll(response, "Proof: yes", c.marker)
			t.Run(name+" "+c.name, func(t *testing.T) {
				faulty := newScriptedServer(t, func(s *scriptedServer, conn net.Conn, id string) bool {
					s.runs.Add(1)
					_, _ = io.WriteString(conn, strings.ReplaceAll(response, "ID\r\n", idLine(id)))
					return true
				})
				good := newScriptedServer(t, func(s *scriptedServer, conn net.Conn, id string) bool {
					s.run(conn, id)
					return true
				})
				h := newTestHost(t)
				faulty.list(h, 1, good)
				for range 20 {
					h.listedServer("server-1").recordResult(h.now(), true)
				}
				status, header, body, err := request(t, h, http.MethodPost, c.path)
				if err != nil || status != c.status || len(body) == 0 {
					t.Errorf("status %d, body %q, error %v, want a complete response with status %d", status, body, err, c.status)
				}
				if status == http.StatusBadGateway && header.Get("X-Request-Ran") != string(callers.RunUnknown) {
					t.Errorf("the refusal says %q, want that it is unknown whether the request ran", header.Get("X-Request-Ran"))
				}
				if status == http.StatusBadGateway && faulty.runs.Load()+good.runs.Load() != 1 {
					t.Errorf("%d runs, want 1", faulty.runs.Load()+good.runs.Load())
				}
				s := h.listedServer("server-0")
				if s.successRate >= 1 || s.inFlight != 0 || h.inFlight.Load() != 0 {
					t.Errorf("success rate %g, %d requests in flight at the server, %d at the host, want a lower rate and none",
						s.successRate, s.inFlight, h.inFlight.Load())
				}
			})
		}
	}
}

// Guards against a body that the status does not allow and that reaches the caller, or spoils a later response.
func TestBodyThatStatusDoesNotAllowIsDropped(t *testing.T) {
	for _, c := range []struct {
		method, response string
		status           int
	}{
		{http.MethodPost, "HTTP/1.1 204 No Content", http.StatusNoContent},
		{http.MethodPost, "HTTP/1.1 304 Not Modified", http.StatusNotModified},
		{http.MethodHead, "HTTP/1.1 200 OK", http.StatusOK},
	} {
		t.Run(c.method+c.response, func(t *testing.T) {
			server := newScriptedServer(t, func(s *scriptedServer, conn net.Conn, id string) bool {
				if s.runs.Load() > 0 {
					s.run(conn, id)
					return true
				}
				s.runs.Add(1)
				_, _ = fmt.Fprintf(conn, "%s\r\n%sProof: yes\r\nContent-Length: 5\r\n\r\nfirst", c.response, idLine(id))
				return true
			})
			h := newTestHost(t)
			server.list(h, 1)
			if status, _, body, err := request(t, h, c.method, "/read/1"); err != nil || status != c.status || len(body) > 0 {
				t.Errorf("status %d, body %q, error %v, want status %d without a body", status, body, err, c.status)
			}
			if status, _, body, err := request(t, h, http.MethodPost, "/read/2"); err != nil || status != 200 || body != "whole" {
				t.Errorf("the next request: status %d, body %q, error %v", status, body, err)
			}
		})
	}
}

// request sends a request to the host over a connection of its own.
func request(t *testing.T, h *Host, method, path string) (status int, header http.Header, body string, err error) {
	t.Helper()
	server := httptest.NewServer(h)
	defer server.Close()
	r, err := http.NewRequestWithContext(context.Background(), method, server.URL+path, strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Id", "request-"+path)
	r.Header.Set("Left", "4000")
	r.Header.Set("Secret", "red-key")
	response, err := server.Client().Do(r)
	if err != nil {
		return 0, nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	whole, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, string(whole), err
}
