package request

import (
	"strings"
	"testing"

	"vanillatally/io/backends"
)

// Guards against lost requests, access without a permitted API key, and refusals with a wrong status, reason or statement of
// whether the request ran.
func TestRequestsAreServedOrRefused(t *testing.T) {
	f := newTestHost(t, 3, backends.StandInOptions{}, nil)
	for _, c := range []struct {
		name, method, path, body string
		headers                  []string
		status                   int
		reason, ran              string
		runs                     int
	}{
		{"search", "GET", "/search?q=1", "", nil, 200, "", "", 1},
		{"hold", "POST", "/hold/7", "body", nil, 200, "", "", 1},
		{"keyed", "POST", "/hold/8", "body", []string{"Idempotency-Key: a"}, 200, "", "", 1},
		{"open", "GET", "/open", "", []string{"Authorization: "}, 200, "", "", 1},
		{"no-key", "GET", "/search", "", []string{"Authorization: "}, 401, "key-required", "not-run", 0},
		{"bad-key", "GET", "/search", "", []string{"Authorization: Bearer x"}, 401, "key-unknown", "not-run", 0},
		{"prefix", "GET", "/searching", "", nil, 404, "route-unknown", "not-run", 0},
		{"dots", "GET", "/open/%2e%2e/hold", "", nil, 400, "path-invalid", "not-run", 0},
		{"late", "GET", "/search", "", []string{"X-Request-Deadline: 0"}, 504, "deadline-exceeded", "not-run", 0},
		{"shed", "POST", "/hold/9", "x", []string{"X-Stand-In-Fault: shed"}, 503, "shed", "not-run", 0},
		{"key-in-path", "GET", "/search/" + testKey, "", nil, 400, "key-in-path", "not-run", 0},
	} {
		got := f.send(c.method, c.path, c.body, append(c.headers, "X-Run-Tag: "+c.name)...)
		if got.err != nil || got.status != c.status || got.reason != c.reason || got.ran != c.ran || f.runs(c.name) != c.runs {
			t.Errorf("%s: got %+v with %d runs, want %+v", c.name, got, f.runs(c.name), c)
		}
		if c.status == 200 && !strings.Contains(got.body, `"tag":"`+c.name+`"`) {
			t.Errorf("%s: got the response of another request: %s", c.name, got.body)
		}
	}
}
