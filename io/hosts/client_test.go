package hosts

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
)

// Guards against a caller that takes a look-up without hosts for an answer, caches it, and crashes when it chooses one of them.
func TestLookupWithoutHostsIsAnError(t *testing.T) {
	for _, c := range []struct {
		name    string
		answers []string
		// want is the ID of the host that the look-up returns first; empty for an error.
		want string
	}{
		{"no seeds", nil, ""},
		{"an empty list", []string{`{"hosts":[],"ttl-ms":5000}`}, ""},
		{"empty lists only", []string{`{"ttl-ms":5000}`, `{"hosts":null,"ttl-ms":5000}`}, ""},
		{"an empty list, then a host", []string{`{"hosts":[]}`, `{"hosts":[{"host":"host-1"}],"ttl-ms":5000}`}, "host-1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var seeds []string
			for _, answer := range c.answers {
				seed := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(answer)) }))
				defer seed.Close()
				seeds = append(seeds, seed.Listener.Addr().String())
			}
			client := New(seeds, "10.0.0.1")
			defer client.Close()
			found, err := client.Lookup(context.Background(), "search")
			if (err != nil) != (c.want == "") || err == nil && found.Hosts[0].ID != c.want {
				t.Errorf("got %+v, %v; want host %q", found, err, c.want)
			}
			if _, err := client.Do(context.Background(), Request{Route: "search", Method: http.MethodGet}); c.want == "" && err == nil {
				t.Error("a request without hosts succeeded")
			}
		})
	}
}
